#include "daemon.h"

static void
forget_team (team_live_t *team, void *ctx)
{
  (void)ctx;
  team->part = 0;
}

static void
forget_upstream (upstream_live_t *upstream, void *ctx)
{
  (void)ctx;
  upstream->part = 0;
}

static void
hold (escrow_t *escrow, uint32_t part, bool gate_open)
{
  uint32_t held = escrow_share (escrow);
  uint32_t share = share_effective (held, part, gate_open);

  if (share != held)
    escrow_set_share (escrow, share);
}

static void
hold_team (team_live_t *team, void *ctx)
{
  const bool *gate_open = ctx;

  hold (team->permits, team->part, *gate_open);
}

static void
hold_upstream (upstream_live_t *upstream, void *ctx)
{
  const bool *gate_open = ctx;

  hold (upstream->slots, upstream->part, *gate_open);
}

void
shares_apply (const view_t *view, bool gate_open)
{
  /* What the view no longer lists has no share.  */
  live_teams (forget_team, NULL);
  live_upstreams (forget_upstream, NULL);
  for (uint32_t i = 0; i < view->teams_count; i++)
    view->teams[i].live->part = view->teams[i].part;
  for (uint32_t i = 0; i < view->services_count; i++)
    for (uint32_t j = 0; j < view->services[i].upstreams_count; j++)
      view->services[i].upstreams[j].live->part
          = view->services[i].upstreams[j].part;
  live_teams (hold_team, &gate_open);
  live_upstreams (hold_upstream, &gate_open);
}

static void
check_team (team_live_t *team, void *ctx)
{
  bool *settled = ctx;

  *settled = *settled && escrow_free_count (team->permits) >= 0;
}

static void
check_upstream (upstream_live_t *upstream, void *ctx)
{
  bool *settled = ctx;

  *settled = *settled && escrow_free_count (upstream->slots) >= 0;
}

bool
shares_are_settled (void)
{
  bool settled = true;

  live_teams (check_team, &settled);
  live_upstreams (check_upstream, &settled);
  return settled;
}
