/* emptied - asks for the upkeep of all machines of a service whose work items
   last

   RULES.md, LOST: a work item that lasts has nothing running for 3 s, from 6 s
   after its last run, while there is capacity for it.  */

#include "machines.h"

#define DAEMONS 3
#define MACHINES 3
#define CPU 8000
#define ITEMS 6
#define CAP 3
#define WAVE_S 12
#define STEP_MAX_MS 20000
/* Before the job is submitted, so that the owner knows all minions.  */
#define SETTLE_MS 3000
/* After the upkeep was asked for.  */
#define WATCH_MS 45000
/* 6 s after its last run, for 3 s, and 1 s for the stand-ins' own times.  */
#define MISSING_MAX_MS 10000

static void
put_wave (bed_t *bed, store_t *store)
{
  g_autofree char *text = g_strdup_printf (
      "{\"wave\":1,\"machines\":[\"machine-0\",\"machine-1\",\"machine-2\"],"
      "\"duration_s\":%u,\"cap\":%u}",
      WAVE_S, CAP);

  store_put (store, "keyed.op", "wave/1", text);
  bed_note (bed, "operator: wave/1 %s", text);
}

static uint32_t
count_items (minions_t *minions)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < MACHINES; i++)
    count += minions_items (minions, i);
  return count;
}

static void
note_items (bed_t *bed, minions_t *minions, machines_t *machines)
{
  bed_note (bed,
            "work items on the minions: %u, %u, %u; at work: %u of %u; "
            "upkeeps begun: %u",
            minions_items (minions, 0), minions_items (minions, 1),
            minions_items (minions, 2), minions_count (minions).serving, ITEMS,
            machines_begun (machines));
}

/* The longest time for which a work item had no run.  */
static int64_t
watch (bed_t *bed, minions_t *minions, machines_t *machines)
{
  int64_t end_ms = bed_ms (bed) + WATCH_MS;
  int64_t whole_ms = bed_ms (bed);
  int64_t note_ms = bed_ms (bed);
  int64_t missing_ms = 0;

  while (bed_ms (bed) < end_ms)
    {
      bed_sleep_ms (20);
      if (count_items (minions) >= ITEMS)
        whole_ms = bed_ms (bed);
      missing_ms = MAX (missing_ms, bed_ms (bed) - whole_ms);
      if (bed_ms (bed) < note_ms)
        continue;
      note_items (bed, minions, machines);
      note_ms += 5000;
    }
  return missing_ms;
}

int
main (int argc, char **argv)
{
  g_autofree char *more = NULL;
  g_autofree char *body = NULL;
  machines_t *machines;
  minions_t *minions;
  int64_t missing_ms;
  int64_t end_ms;
  store_t *store;
  bool broken;
  bed_t bed;

  bed_open (&bed, argc, argv);
  store = store_start ();
  bed_put_config (&bed, store);
  minions = minions_start (&bed, store, "shop", MACHINES, CPU);
  minions_set_users (minions, 5, 0);
  machines = machines_start (&bed, minions, "shop", MACHINES, CAP);
  more = g_strdup_printf ("hosts_api: 127.0.0.1:%u\n",
                          machines_port (machines));
  for (uint32_t i = 0; i < DAEMONS; i++)
    bed_add_daemon (&bed, store_port (store), more);
  for (uint32_t i = 0; i < DAEMONS; i++)
    bed_await_ready (&bed, i);
  bed_sleep_ms (SETTLE_MS);
  body = g_strdup_printf ("{\"spec\":\"serve\",\"steps\":[{\"count\":%u,"
                          "\"cpu\":1000,\"mem_mb\":64,\"long_running\":true,"
                          "\"may_miss\":1}]}",
                          ITEMS);
  bed_submit (&bed, "00000000000000a1", body);
  end_ms = bed_ms (&bed) + STEP_MAX_MS;
  while (minions_count (minions).serving < ITEMS && bed_ms (&bed) < end_ms)
    bed_sleep_ms (20);
  if (minions_count (minions).serving < ITEMS)
    bed_give_up (&bed, "the work items are not at work");
  note_items (&bed, minions, machines);
  if (bed.trouble)
    put_wave (&bed, store);
  missing_ms = watch (&bed, minions, machines);
  note_items (&bed, minions, machines);
  broken = missing_ms > MISSING_MAX_MS;
  bed_note (&bed,
            "a work item that is to last had no run for %" G_GINT64_FORMAT
            " ms on end",
            missing_ms);
  bed_close (&bed, broken ? BED_BROKEN : BED_HELD);
  machines_stop (machines);
  minions_stop (minions);
  store_stop (store);
  return broken ? BED_BROKEN : BED_HELD;
}
