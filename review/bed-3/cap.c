/* cap - has an order for an upkeep carried out late, after its sender was
   killed and another owner has gone on with the wave

   RULES.md, LIMIT: an upkeep begins while `cap` machines of its wave are down
   for theirs.  */

#include "machines.h"
#include <string.h>

#define DAEMONS 3
#define MACHINES 9
#define CAP 1
#define CPU 8000
#define WAVE_S 90
#define WATCH_MS 60000
/* It is dark for so long.  */
#define RESTART_MS 3500
#define STEP_MAX_MS 20000
/* A stream of short jobs, as hosts under load are drained in another order
   than idle ones.  */
#define JOB_INTERVAL_MS 100
#define JOB_MS 1500

typedef struct traffic
{
  bed_t *bed;
  bool stopping;
  uint32_t sent;
  uint32_t accepted;
} traffic_t;

static gpointer
run_traffic (gpointer data)
{
  traffic_t *traffic = data;
  bed_t *bed = traffic->bed;

  for (uint32_t i = 0; !traffic->stopping; i++)
    {
      g_autofree char *path = g_strdup_printf (BED_PREFIX "%016x", 0x1000 + i);
      g_autofree char *body = g_strdup_printf (
          "{\"spec\":\"fill %u\",\"steps\":[{\"count\":1,\"cpu\":1000,"
          "\"mem_mb\":64,\"estimate_ms\":%u}]}",
          JOB_MS, JOB_MS);
      g_autoptr (GString) answer = g_string_new (NULL);
      client_t client;

      bed_sleep_ms (JOB_INTERVAL_MS);
      client_open (&client, bed, bed->daemons[i % DAEMONS].front);
      traffic->accepted
          += client_call (&client, "POST", path, body, answer, 1000) == 200;
      client_close (&client);
      traffic->sent++;
    }
  return NULL;
}

static void
put_wave (bed_t *bed, store_t *store)
{
  g_autoptr (GString) text = g_string_new ("{\"wave\":1,\"machines\":[");

  for (uint32_t i = 0; i < MACHINES; i++)
    g_string_append_printf (text, "%s\"machine-%u\"", i ? "," : "", i);
  g_string_append_printf (text, "],\"duration_s\":%u,\"cap\":%u}", WAVE_S,
                          CAP);
  store_put (store, "keyed.op", "wave/1", text->str);
  bed_note (bed, "operator: wave/1 %s", text->str);
}

/* Kills the daemon whose order has got no answer, once it has sent that.  */
static void
kill_sender (bed_t *bed, machines_t *machines, uint32_t owner)
{
  int64_t end_ms = bed_ms (bed) + STEP_MAX_MS;

  while (machines_delayed (machines) < 0 && bed_ms (bed) < end_ms)
    bed_sleep_ms (5);
  if (machines_delayed (machines) < 0)
    bed_give_up (bed, "no upkeep is ordered");
  bed_kill (bed, owner);
  bed_sleep_ms (RESTART_MS);
  bed_restart (bed, owner);
}

int
main (int argc, char **argv)
{
  g_autofree char *more = NULL;
  traffic_t traffic = { 0 };
  machines_t *machines;
  minions_t *minions;
  GThread *thread;
  int64_t end_ms;
  store_t *store;
  bool broken;
  int owner;
  bed_t bed;

  bed_open (&bed, argc, argv);
  store = store_start ();
  bed_put_config (&bed, store);
  minions = minions_start (&bed, store, "shop", MACHINES, CPU);
  machines = machines_start (&bed, minions, "shop", MACHINES, CAP);
  more = g_strdup_printf ("hosts_api: 127.0.0.1:%u\n",
                          machines_port (machines));
  for (uint32_t i = 0; i < DAEMONS; i++)
    bed_add_daemon (&bed, store_port (store), more);
  for (uint32_t i = 0; i < DAEMONS; i++)
    bed_await_ready (&bed, i);
  traffic.bed = &bed;
  thread = g_thread_new ("traffic", run_traffic, &traffic);
  owner = bed_find_owner (&bed);
  if (owner < 0)
    bed_give_up (&bed, "no daemon is the owner");
  bed_note (&bed, "d%d is the owner", owner);
  if (bed.trouble)
    machines_delay_upkeep (machines);
  put_wave (&bed, store);
  if (bed.trouble)
    kill_sender (&bed, machines, (uint32_t)owner);
  end_ms = bed_ms (&bed) + WATCH_MS;
  while (machines_begun (machines) < MACHINES
         && machines_over_cap (machines) == 0 && bed_ms (&bed) < end_ms)
    bed_sleep_ms (50);
  traffic.stopping = true;
  g_thread_join (thread);
  broken = machines_over_cap (machines) > 0;
  bed_note (&bed,
            "%u of %u machines have begun their upkeep, %u with the cap of %u "
            "used up; %u of %u jobs were accepted",
            machines_begun (machines), MACHINES, machines_over_cap (machines),
            CAP, traffic.accepted, traffic.sent);
  if (!broken && machines_begun (machines) < MACHINES)
    bed_give_up (&bed, "the wave hasn't come to its end");
  bed_close (&bed, broken ? BED_BROKEN : BED_HELD);
  machines_stop (machines);
  minions_stop (minions);
  store_stop (store);
  return broken ? BED_BROKEN : BED_HELD;
}
