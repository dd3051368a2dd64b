/* waves - asks for another upkeep of machines that are just back from one

   RULES.md, LIMIT: an upkeep begins while `cap` machines of its wave are down
   for theirs.  */

#include "machines.h"

#define DAEMONS 3
#define MACHINES 18
#define CPU 8000
#define FIRST_CAP 3
#define LATER_CAP 1
#define WAVE_S 25
/* Machines of each later wave.  */
#define BATCH 3
#define WATCH_MS 60000
#define POLL_MS 50

/* The operator asks for the upkeep of COUNT machines.  */
static void
put_wave (bed_t *bed, store_t *store, machines_t *machines, uint32_t wave,
          const uint32_t *list, uint32_t count, uint32_t cap)
{
  g_autofree char *key = g_strdup_printf ("wave/%u", wave);
  g_autoptr (GString) text = g_string_new (NULL);

  g_string_append_printf (text, "{\"wave\":%u,\"machines\":[", wave);
  for (uint32_t i = 0; i < count; i++)
    g_string_append_printf (text, "%s\"machine-%u\"", i ? "," : "", list[i]);
  g_string_append_printf (text, "],\"duration_s\":%u,\"cap\":%u}", WAVE_S,
                          cap);
  machines_set_cap (machines, wave, cap);
  store_put (store, "keyed.op", key, text->str);
  bed_note (bed, "operator: %s %s", key, text->str);
}

/* Asks again for the machines that are back from the first wave, BATCH at a
   time, until an upkeep begins over the cap or all have been asked for.  */
static void
ask_again (bed_t *bed, store_t *store, machines_t *machines)
{
  int64_t end_ms = bed_ms (bed) + WATCH_MS;
  bool asked[MACHINES] = { false };
  uint32_t wave = 1;

  while (wave <= MACHINES / BATCH && machines_over_cap (machines) == 0
         && bed_ms (bed) < end_ms)
    {
      uint32_t list[BATCH];
      uint32_t count = 0;

      bed_sleep_ms (POLL_MS);
      for (uint32_t i = 0; i < MACHINES && count < BATCH; i++)
        if (!asked[i] && machines_is_back (machines, i, 1))
          list[count++] = i;
      if (count < BATCH)
        continue;
      for (uint32_t i = 0; i < BATCH; i++)
        asked[list[i]] = true;
      put_wave (bed, store, machines, ++wave, list, BATCH, LATER_CAP);
    }
}

int
main (int argc, char **argv)
{
  g_autofree char *more = NULL;
  uint32_t list[MACHINES];
  machines_t *machines;
  minions_t *minions;
  uint32_t expected;
  int64_t end_ms;
  store_t *store;
  bool broken;
  bed_t bed;

  bed_open (&bed, argc, argv);
  expected = bed.trouble ? 2 * MACHINES : MACHINES;
  store = store_start ();
  bed_put_config (&bed, store);
  minions = minions_start (&bed, store, "shop", MACHINES, CPU);
  machines = machines_start (&bed, minions, "shop", MACHINES, LATER_CAP);
  more = g_strdup_printf ("hosts_api: 127.0.0.1:%u\n",
                          machines_port (machines));
  for (uint32_t i = 0; i < DAEMONS; i++)
    bed_add_daemon (&bed, store_port (store), more);
  for (uint32_t i = 0; i < DAEMONS; i++)
    bed_await_ready (&bed, i);
  for (uint32_t i = 0; i < MACHINES; i++)
    list[i] = i;
  put_wave (&bed, store, machines, 1, list, MACHINES, FIRST_CAP);
  if (bed.trouble)
    ask_again (&bed, store, machines);
  end_ms = bed_ms (&bed) + WATCH_MS;
  while (machines_begun (machines) < expected
         && machines_over_cap (machines) == 0 && bed_ms (&bed) < end_ms)
    bed_sleep_ms (50);
  broken = machines_over_cap (machines) > 0;
  bed_note (&bed, "%u of %u upkeeps have begun, %u with their cap used up",
            machines_begun (machines), expected, machines_over_cap (machines));
  if (!broken && machines_begun (machines) < expected)
    bed_give_up (&bed, "the waves haven't come to their end");
  bed_close (&bed, broken ? BED_BROKEN : BED_HELD);
  machines_stop (machines);
  minions_stop (minions);
  store_stop (store);
  return broken ? BED_BROKEN : BED_HELD;
}
