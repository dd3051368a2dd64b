/* filler - has work items that fill paced down beside one that serves, and
   lets the users of that go later

   usage: filler DAEMON RECORD kill|late

   kill: the owner is killed while the fillers are at pace 0.
   late: the first orders of a pace get no answer, and the worker carries them
   out late.

   RULES.md, LOST: for 3 s, a job has nothing running while a work item's turn
   has come, there is capacity for it twice over, its tenant has under half of
   `cap`, and under half of the service's capacity is in use.  A work item at
   pace 0 doesn't work: it is counted as not running here, as PROTOCOL.md says
   of /pace that it lets the work item work at that share.  */

#include "minions.h"
#include <string.h>

#define DAEMONS 2
#define CPU 8000
#define FILLERS 2
#define FILL_MS 24000
#define TARGET_MS 100
/* With these users the tail of what serves is at 60 % of its target without
   fillers, and far above it with one at full pace.  */
#define MANY_USERS_MS 60
#define FEW_USERS_MS 5
/* What a filler at full pace adds, beside many users and beside few.  */
#define HARM_MS 100
#define SMALL_HARM_MS 15
#define STEP_MAX_MS 20000
/* How long the fillers have stayed at 0 before the owner is killed.  */
#define SETTLED_MS 2000
#define RESTART_MS 500
/* A new owner has been at work for so long before the users go.  */
#define OWNER_MS 6000
/* The fillers need 24 s at full pace.  The rule allows 3 s without any.  */
#define FINISH_MS 50000
/* How late a worker carries an order out: 2 to 12 s.  */
#define LATE_MS 11000

/* Waits until the fillers have been at pace 0 for SETTLED_MS.  */
static void
await_paused (bed_t *bed, minions_t *minions)
{
  int64_t end_ms = bed_ms (bed) + STEP_MAX_MS;
  int64_t since_ms = -1;

  while (bed_ms (bed) < end_ms)
    {
      if (minions_count (minions).paused < FILLERS)
        since_ms = -1;
      else if (since_ms < 0)
        since_ms = bed_ms (bed);
      else if (bed_ms (bed) - since_ms >= SETTLED_MS)
        return;
      bed_sleep_ms (20);
    }
  bed_give_up (bed, "the fillers are not paced down to 0");
}

static void
kill_owner (bed_t *bed, minions_t *minions)
{
  uint64_t token = minions_count (minions).token;
  int64_t end_ms = bed_ms (bed) + STEP_MAX_MS;
  int owner = bed_find_owner (bed);

  if (owner < 0)
    bed_give_up (bed, "no daemon is the owner");
  bed_kill (bed, (uint32_t)owner);
  bed_sleep_ms (RESTART_MS);
  bed_restart (bed, (uint32_t)owner);
  while (minions_count (minions).token == token && bed_ms (bed) < end_ms)
    bed_sleep_ms (20);
  if (minions_count (minions).token == token)
    bed_give_up (bed, "no other owner gives orders");
  bed_note (bed, "another owner gives orders");
  bed_await_ready (bed, (uint32_t)owner);
}

int
main (int argc, char **argv)
{
  g_autoptr (GString) answer = g_string_new (NULL);
  g_autofree char *fill = NULL;
  minions_count_t count;
  minions_t *minions;
  int64_t worked_ms = 0;
  int64_t still_ms = 0;
  int64_t stillest_ms = 0;
  int64_t end_ms;
  store_t *store;
  bool late = argc > 3 && strcmp (argv[3], "late") == 0;
  bool broken;
  bed_t bed;

  bed_open (&bed, argc, argv);
  store = store_start ();
  bed_put_config (&bed, store);
  minions = minions_start (&bed, store, "shop", 1, CPU);
  minions_set_users (minions, MANY_USERS_MS, HARM_MS);
  if (bed.trouble && late)
    minions_delay_paces (minions, FILLERS, LATE_MS);
  for (uint32_t i = 0; i < DAEMONS; i++)
    bed_add_daemon (&bed, store_port (store), "hosts_api: \"\"\n");
  for (uint32_t i = 0; i < DAEMONS; i++)
    bed_await_ready (&bed, i);
  bed_submit (&bed, "00000000000000a1",
              "{\"spec\":\"serve\",\"steps\":[{\"count\":1,\"cpu\":1000,"
              "\"mem_mb\":64,\"long_running\":true,\"target_ms\":100,"
              "\"image\":\"counter\"}]}");
  end_ms = bed_ms (&bed) + STEP_MAX_MS;
  while (minions_count (minions).serving < 1 && bed_ms (&bed) < end_ms)
    bed_sleep_ms (20);
  if (minions_count (minions).serving < 1)
    bed_give_up (&bed, "the work item that serves is not at work");
  fill = g_strdup_printf ("{\"spec\":\"fill %u\",\"steps\":[{\"count\":%u,"
                          "\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":%u,"
                          "\"fills\":true,\"image\":\"batch\"}]}",
                          FILL_MS, FILLERS, FILL_MS);
  bed_submit (&bed, "00000000000000b2", fill);
  await_paused (&bed, minions);
  bed_note (&bed, "both fillers have been at pace 0 for %u ms", SETTLED_MS);
  if (bed.trouble && !late)
    kill_owner (&bed, minions);
  if (!late)
    bed_sleep_ms (OWNER_MS);
  minions_set_users (minions, FEW_USERS_MS, SMALL_HARM_MS);
  bed_note (&bed, "the users have gone: the tail is %u ms of %u from here on",
            FEW_USERS_MS, TARGET_MS);
  end_ms = bed_ms (&bed) + FINISH_MS;
  still_ms = bed_ms (&bed);
  do
    {
      bed_sleep_ms (20);
      count = minions_count (minions);
      if (count.working_ms != worked_ms || count.done > 0)
        still_ms = bed_ms (&bed);
      worked_ms = count.working_ms;
      stillest_ms = MAX (stillest_ms, bed_ms (&bed) - still_ms);
    }
  while (count.done < FILLERS && bed_ms (&bed) < end_ms);
  bed_note (&bed,
            "%u of %u fillers are done, %u are at pace 0; the job had no work "
            "item that works for %" G_GINT64_FORMAT " ms on end",
            count.done, FILLERS, count.paused, stillest_ms);
  bed_call (&bed, 0, "GET", "00000000000000b2", NULL, answer);
  /* Not a slow owner: the job hasn't gone on in all that time.  */
  broken = count.done == 0 && stillest_ms > 3000 && count.paused == FILLERS;
  bed_close (&bed, broken ? BED_BROKEN : BED_HELD);
  minions_stop (minions);
  store_stop (store);
  return broken ? BED_BROKEN : BED_HELD;
}
