#include "machines.h"
#include <jansson.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#define UPKEEP_MS 2000
#define TICK_MS 10
/* An order is late by 2 to 12 s.  */
#define LATE_MS 6000
#define WAVES_MAX 16

typedef struct machine
{
  uint64_t token;
  int64_t up_at_ms; /* 0: it is up */
  uint64_t wave;    /* of its last upkeep; 0: none */
} machine_t;

typedef struct upkeep
{
  uint32_t machine;
  uint64_t wave;
  uint64_t token;
  char *holder;
} upkeep_t;

struct machines
{
  bed_t *bed;
  minions_t *minions;
  const char *pool;
  uint32_t count;
  uint32_t caps[WAVES_MAX]; /* by wave */
  machine_t *list;
  http_server_t *server;
  GMutex lock;
  GThread *thread;
  bool delay_next;
  upkeep_t delayed;
  int64_t delayed_since_ms; /* 0: no order is delayed */
  int delayed_machine;
  uint32_t begun;
  uint32_t over_cap;
  bool stopping;
};

/* The machines that are down for their upkeep of WAVE.  */
static uint32_t
count_down (const machines_t *all, uint64_t wave)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < all->count; i++)
    count += all->list[i].up_at_ms != 0 && all->list[i].wave == wave;
  return count;
}

/* Carries ORDER out; the reason why not, or NULL.  */
static const char *
carry_out (machines_t *all, const upkeep_t *order)
{
  machine_t *machine = &all->list[order->machine];
  uint32_t down = count_down (all, order->wave);
  uint32_t cap = all->caps[order->wave];

  if (order->token < machine->token)
    {
      bed_note (all->bed,
                "upkeep of machine-%u by %s, token %u: refused, token %u was "
                "seen",
                order->machine, order->holder, (unsigned)order->token,
                (unsigned)machine->token);
      return "fence";
    }
  machine->token = order->token;
  if (machine->wave == order->wave)
    return NULL; /* done already */
  if (machine->up_at_ms != 0)
    return "busy";
  machine->wave = order->wave;
  machine->up_at_ms = bed_ms (all->bed) + UPKEEP_MS;
  all->begun++;
  all->over_cap += down >= cap;
  bed_note (all->bed,
            "wave %u: upkeep of machine-%u by %s, token %u, begins; %u of %u "
            "down already%s",
            (unsigned)order->wave, order->machine, order->holder,
            (unsigned)order->token, down, cap,
            down >= cap ? ": OVER THE CAP" : "");
  minions_take_down (all->minions, order->machine);
  return NULL;
}

static gpointer
run_machines (gpointer data)
{
  machines_t *all = data;

  g_mutex_lock (&all->lock);
  while (!all->stopping)
    {
      int64_t now_ms = bed_ms (all->bed);

      for (uint32_t i = 0; i < all->count; i++)
        if (all->list[i].up_at_ms != 0 && all->list[i].up_at_ms <= now_ms)
          {
            all->list[i].up_at_ms = 0;
            bed_note (all->bed, "machine-%u is up again", i);
            minions_bring_up (all->minions, i);
          }
      if (all->delayed_since_ms != 0
          && now_ms - all->delayed_since_ms >= LATE_MS)
        {
          bed_note (all->bed,
                    "the order that had no answer is carried out %.1f s late",
                    (double)(now_ms - all->delayed_since_ms) / 1000);
          all->delayed_since_ms = 0;
          carry_out (all, &all->delayed);
        }
      g_mutex_unlock (&all->lock);
      bed_sleep_ms (TICK_MS);
      g_mutex_lock (&all->lock);
    }
  g_mutex_unlock (&all->lock);
  return NULL;
}

static void
reply (struct MHD_Connection *conn, uint32_t status, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);

  http_reply (conn, status, text, strlen (text));
  free (text);
  json_decref (root);
}

static void
list_machines (machines_t *all, struct MHD_Connection *conn)
{
  json_t *rows = json_array ();

  for (uint32_t i = 0; i < all->count; i++)
    {
      g_autofree char *name = g_strdup_printf ("machine-%u", i);
      g_autofree char *id = minions_id (all->minions, i);

      json_array_append_new (
          rows, json_pack ("{s:s,s:s,s:s,s:s,s:[s,s],s:{s:i,s:i,s:i},s:s}",
                           "machine", name, "pool", all->pool, "state",
                           all->list[i].up_at_ms ? "upkeep" : "up", "zone",
                           "dc-0", "labels", "a", "r1", "room", "cpu", 8000,
                           "mem_mb", 65536, "gpu", 0, "id", id));
    }
  reply (conn, 200, json_pack ("{s:o,s:n}", "machines", rows, "next_token"));
}

static void
order_upkeep (machines_t *all, struct MHD_Connection *conn, const json_t *body)
{
  const char *name = json_string_value (json_object_get (body, "machine"));
  const char *token
      = MHD_lookup_connection_value (conn, MHD_HEADER_KIND, "X-Fencing-Token");
  const char *holder
      = MHD_lookup_connection_value (conn, MHD_HEADER_KIND, "X-Lease-Holder");
  upkeep_t order = { 0 };
  const char *refused;

  if (!name || !token || !holder || !g_str_has_prefix (name, "machine-"))
    {
      http_reply (conn, 400, "", 0);
      return;
    }
  order.machine = (uint32_t)strtoul (name + strlen ("machine-"), NULL, 10);
  order.wave = (uint64_t)json_integer_value (json_object_get (body, "wave"));
  order.token = strtoull (token, NULL, 10);
  order.holder = g_strdup (holder);
  if (order.machine >= all->count || order.wave >= WAVES_MAX)
    {
      http_reply (conn, 400, "", 0);
      return;
    }
  if (all->delay_next)
    {
      all->delayed = order;
      all->delayed_machine = (int)order.machine;
      all->delayed_since_ms = bed_ms (all->bed);
      all->delay_next = false;
      bed_note (all->bed,
                "upkeep of machine-%u by %s, token %u: gets no answer, and "
                "will be carried out late",
                order.machine, holder, (unsigned)order.token);
      http_close_unanswered (conn);
      return;
    }
  refused = carry_out (all, &order);
  reply (conn, refused ? 409 : 200,
         refused ? json_pack ("{s:s}", "reason", refused) : json_object ());
}

static void
handle (void *ctx, struct MHD_Connection *conn, const char *method,
        const char *path, const GByteArray *body)
{
  machines_t *all = ctx;
  json_t *root = json_loadb ((const char *)body->data, body->len, 0, NULL);

  (void)method;
  g_mutex_lock (&all->lock);
  if (strcmp (path, "/machines") == 0)
    list_machines (all, conn);
  else if (strcmp (path, "/machine-upkeep") == 0 && root)
    order_upkeep (all, conn, root);
  else
    http_reply (conn, 400, "", 0); /* there is no other pool */
  g_mutex_unlock (&all->lock);
  json_decref (root);
}

machines_t *
machines_start (bed_t *bed, minions_t *minions, const char *pool,
                uint32_t count, uint32_t cap)
{
  machines_t *all = g_new0 (machines_t, 1);

  all->bed = bed;
  all->minions = minions;
  all->pool = pool;
  all->count = count;
  for (uint32_t i = 0; i < WAVES_MAX; i++)
    all->caps[i] = cap;
  all->list = g_new0 (machine_t, count);
  all->delayed_machine = -1;
  g_mutex_init (&all->lock);
  all->server = http_server_start (handle, all);
  all->thread = g_thread_new ("machines", run_machines, all);
  return all;
}

void
machines_stop (machines_t *all)
{
  g_mutex_lock (&all->lock);
  all->stopping = true;
  g_mutex_unlock (&all->lock);
  g_thread_join (all->thread);
  http_server_stop (all->server);
}

uint16_t
machines_port (machines_t *all)
{
  return http_server_port (all->server);
}

void
machines_set_cap (machines_t *all, uint32_t wave, uint32_t cap)
{
  g_mutex_lock (&all->lock);
  all->caps[wave] = cap;
  g_mutex_unlock (&all->lock);
}

bool
machines_is_back (machines_t *all, uint32_t machine, uint32_t wave)
{
  bool is_back;

  g_mutex_lock (&all->lock);
  is_back
      = all->list[machine].wave == wave && all->list[machine].up_at_ms == 0;
  g_mutex_unlock (&all->lock);
  return is_back;
}

void
machines_delay_upkeep (machines_t *all)
{
  g_mutex_lock (&all->lock);
  all->delay_next = true;
  g_mutex_unlock (&all->lock);
}

int
machines_delayed (machines_t *all)
{
  int machine;

  g_mutex_lock (&all->lock);
  machine = all->delayed_machine;
  g_mutex_unlock (&all->lock);
  return machine;
}

uint32_t
machines_begun (machines_t *all)
{
  uint32_t count;

  g_mutex_lock (&all->lock);
  count = all->begun;
  g_mutex_unlock (&all->lock);
  return count;
}

uint32_t
machines_over_cap (machines_t *all)
{
  uint32_t count;

  g_mutex_lock (&all->lock);
  count = all->over_cap;
  g_mutex_unlock (&all->lock);
  return count;
}
