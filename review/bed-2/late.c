/* late - a job that was given up and cancelled comes into being afterwards

   The store turns the owner away for CUT_MS.  A client hands a job in at the
   owner meanwhile, gets 504, and cancels the job at another daemon.
   With the argument "freeze" a daemon that is not the owner stands still for
   FREEZE_MS instead, and the client gets no answer.  */

#include "bed2.h"
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define DAEMONS 3
/* `platform_down`, "nodes leader": for_s 7.0, count 1.  */
#define CUT_MS 7000
/* `node_freeze`: for_s 4.0, count 1.  */
#define FREEZE_MS 4000
/* When the job is due, after the beginning of the cut: the store has been
   sound for over contact_ms by then.  */
#define DUE_MS 16000
#define END_MS 24000
#define ID "5c0e7a21d94b36f8"
#define PATH BED_PREFIX ID

static void
get_state (bed_t *bed, uint32_t index)
{
  g_autoptr (GString) text = g_string_new (NULL);
  int status = bed_call (bed->daemons[index].address, BED_FRONT, "GET", PATH,
                         NULL, 2000, text);

  bed_note ("GET at edge-%u: %d %s", index, status, text->str);
}

/* Begins or ends the disruption of the daemon INDEX.  */
static void
disrupt (bed_t *bed, uint32_t index, bool freeze, bool begin)
{
  if (freeze)
    kill (bed->daemons[index].pid, begin ? SIGSTOP : SIGCONT);
  else
    store_cut_port (bed->store, bed->daemons[index].store_port, begin);
  if (freeze)
    bed_note ("edge-%u %s", index, begin ? "freezes" : "wakes");
  else
    bed_note ("the store %s edge-%u", begin ? "turns away" : "serves again",
              index);
}

int
main (int argc, char **argv)
{
  bed_t *bed = bed_new (DAEMONS);
  bool trouble = bed_trouble ();
  bool freeze = argc > 1 && strcmp (argv[1], "freeze") == 0;
  int64_t disrupted_ms = freeze ? FREEZE_MS : CUT_MS;
  uint32_t owner;
  uint32_t other;
  g_autofree char *job = NULL;
  int64_t from_ms;
  int64_t acked_ms = 0;
  bool cut_ended = !trouble;
  bool broken = false;
  int status;

  bed_publish_config (bed);
  bed->workers = workers_start (bed->store, "s", 4, 16, 1);
  bed_start_all (bed);
  g_usleep (1500000);
  owner = bed_owner (bed);
  bed_require (bed, owner != UINT32_MAX, "no owner");
  bed_note ("edge-%u is the owner", owner);
  other = freeze ? owner : (owner + 1) % DAEMONS;
  owner = freeze ? (owner + 1) % DAEMONS : owner; /* that is disrupted */
  from_ms = bed_ms ();
  job = g_strdup_printf (
      "{\"spec\":\"1000\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":64,"
      "\"estimate_ms\":1000}],\"repeats\":1,\"start_ms\":%" PRId64
      ",\"interval_ms\":1000}",
      g_get_real_time () / 1000 + DUE_MS);
  if (trouble)
    disrupt (bed, owner, freeze, true);
  g_usleep (100000);
  bed_note ("POST " ID " at edge-%u", owner);
  status = bed_call (bed->daemons[owner].address, BED_FRONT, "POST", PATH, job,
                     3000, NULL);
  bed_note ("answer to POST: %d", status);
  bed_require (bed, trouble ? status != 200 : status == 200,
               "the job was not handed in as intended");
  /* As a daemon may answer 503 while there is no owner, the client repeats. */
  while (acked_ms == 0)
    {
      bed_require (bed, bed_ms () - from_ms < disrupted_ms - 100,
                   "no ack of the cancelling during the disruption");
      status = bed_call (bed->daemons[other].address, BED_FRONT, "DELETE",
                         PATH, NULL, 3000, NULL);
      bed_note ("DELETE " ID " at edge-%u: %d", other, status);
      if (status == 200 || status == 410)
        acked_ms = bed_ms ();
      else
        g_usleep (200000);
    }
  get_state (bed, other);
  while (bed_ms () - from_ms < END_MS)
    {
      if (!cut_ended && bed_ms () - from_ms >= disrupted_ms)
        {
          disrupt (bed, owner, freeze, false);
          cut_ended = true;
        }
      if (!broken && workers_starts (bed->workers, WORKERS_ALL_ZONES) > 0)
        {
          int64_t late_ms = bed_ms () - acked_ms;

          bed_note ("a work item of " ID " has started, %" PRId64
                    " ms after the ack of the cancelling and %" PRId64
                    " ms after the end of the disruption",
                    late_ms, bed_ms () - from_ms - disrupted_ms);
          broken = late_ms > BED_CANCEL_MS
                   && bed_ms () - from_ms > disrupted_ms + BED_CONTACT_MS;
          get_state (bed, other);
        }
      g_usleep (20000);
    }
  get_state (bed, other);
  bed_note ("%u work items have started",
            workers_starts (bed->workers, WORKERS_ALL_ZONES));
  broken |= workers_violations (bed->workers) > 0;
  printf ("broken %d\n", broken);
  bed_end (bed, broken);
}
