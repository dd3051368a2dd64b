#include "exchange.h"
#include <string.h>

#define LOAN_ASK_MAX 1000
#define PEERS_MAX 64

struct lending
{
  const settings_t *settings;
  loop_config_t *config;
  link_t *link;
  loans_t *loans;
};

static bool
send_to (void *ctx, const char *peer, const msg_t *msg)
{
  return link_send (((lending_t *)ctx)->link, peer, msg);
}

static escrow_t *
find (void *ctx, loan_kind_t kind, const char *name)
{
  (void)ctx;
  return live_permits (kind, name);
}

static bool
may_lend (void *ctx)
{
  const lending_t *lending = ctx;
  const view_t *view;
  bool may;

  rcu_read_lock ();
  view = view_get ();
  may = view && !atomic_load (&lending->config->stopping)
        && currency_judge (view, clock_mono_us (), 0) != STALE;
  rcu_read_unlock ();
  return may;
}

/* Requests that wait for it are granted at once.  */
static void
arrived (void *ctx, loan_kind_t kind, const char *name)
{
  const view_t *view;

  (void)ctx;
  (void)kind;
  (void)name;
  rcu_read_lock ();
  view = view_get ();
  if (view)
    admission_pump_all (view, clock_mono_us ());
  rcu_read_unlock ();
}

lending_t *
lending_new (const settings_t *settings, loop_config_t *config, link_t *link)
{
  lending_t *lending = g_new0 (lending_t, 1);
  loans_config_t loans = { .send = send_to,
                           .find = find,
                           .may_lend = may_lend,
                           .arrived = arrived,
                           .ctx = lending };

  lending->settings = settings;
  lending->config = config;
  lending->link = link;
  lending->loans = loans_new (&loans);
  return lending;
}

void
lending_free (lending_t *lending)
{
  loans_free (lending->loans);
  g_free (lending);
}

/* Fills PEERS with the live ones, those of DATA_CENTRE first; their number. */
static uint32_t
list_peers (const lending_t *lending, const char *data_centre,
            const char **peers, int64_t now_us)
{
  const member_list_t *members = link_members (lending->link);
  uint32_t count = 0;

  for (uint32_t pass = 0; pass < 2; pass++)
    for (uint32_t i = 0; i < members->count && count < PEERS_MAX; i++)
      {
        const member_t *member = &members->members[i];
        bool near = strcmp (member->data_centre, data_centre) == 0;

        if (near == (pass == 0)
            && member_judge (member, now_us) == MEMBER_ALIVE)
          peers[count++] = member->name;
      }
  return count;
}

void
lending_ask (lending_t *lending, const view_t *view, int64_t now_us)
{
  const char *peers[PEERS_MAX];
  uint32_t count
      = list_peers (lending, lending->settings->data_centre, peers, now_us);

  for (uint32_t i = 0; i < view->teams_count; i++)
    {
      team_live_t *team = view->teams[i].live;
      uint32_t wanted = atomic_exchange (&team->wanted, 0);

      if (wanted > 0)
        loans_want (lending->loans, LOAN_TEAM, team->name,
                    MIN (wanted, LOAN_ASK_MAX), peers, count, now_us);
    }
}

void
lending_take (lending_t *lending, const char *peer, const msg_t *msg)
{
  loans_take (lending->loans, peer, msg, clock_mono_us (), clock_wall_ms ());
}

void
lending_tick (lending_t *lending, int64_t now_us)
{
  loans_tick (lending->loans, now_us);
}
