/* wide - a tenant hands in a few jobs with many work items */

#include "bed2.h"
#include <stdio.h>

#define DAEMONS 3
#define JOBS 40
#define ITEMS 100000
#define ITEMS_USUAL 8
#define PAUSE_MS 250
/* recovery_s is 12, finish_s is 14.  */
#define SETTLE_MS 14000
#define OBSERVED_MS 40000
#define IDLE_MS 3000

static int
submit (bed_t *bed, const char *id, uint32_t items, int64_t ms)
{
  g_autofree char *job = g_strdup_printf (
      "{\"spec\":\"500\",\"steps\":[{\"count\":%u,\"cpu\":1000,"
      "\"mem_mb\":64,\"estimate_ms\":500}]}",
      items);

  return bed_submit (bed, id, job, ms);
}

/* Whether a job that was accepted waits for 3 s although nothing runs: its
   turn has come, and all capacity is free.  */
static bool
waits_in_vain (bed_t *bed, const char *id, int64_t ms)
{
  int64_t idle_ms = bed_ms ();
  int64_t end_ms = bed_ms () + ms;

  while (bed_ms () < end_ms)
    {
      if (workers_running (bed->workers) > 0)
        idle_ms = bed_ms ();
      if (bed_ms () - idle_ms > IDLE_MS)
        {
          bool complete = bed_get (bed, id, "complete", 0);

          bed_note ("no work item has run for %" PRId64 " ms; job %s is %s",
                    bed_ms () - idle_ms, id,
                    complete ? "complete" : "not complete");
          return !complete;
        }
      bed_run (bed, 20);
    }
  return false;
}

int
main (void)
{
  bed_t *bed = bed_new (DAEMONS);
  bool trouble = bed_trouble ();
  uint32_t accepted = 0;
  uint32_t hosts = 0;
  uint32_t crashed = 0;
  bool lost;

  bed_publish_config (bed);
  bed->workers = workers_start (bed->store, "s", 4, 16, 1);
  bed_start_all (bed);
  bed_run (bed, 1500);
  bed_require (bed,
               submit (bed, "00000000000000a1", ITEMS_USUAL, 5000) == 200
                   && bed_get (bed, "00000000000000a1", "complete", 10000),
               "an ordinary job is not served before");
  bed_note ("an ordinary job was served");
  for (uint32_t i = 0; i < JOBS; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", 0xb00 + i);

      accepted += submit (bed, id, trouble ? ITEMS : ITEMS_USUAL, 500) == 200;
      bed_run (bed, PAUSE_MS);
    }
  bed_note ("%u of %d jobs were accepted", accepted, JOBS);
  bed_run (bed, SETTLE_MS);
  bed_require (bed,
               submit (bed, "00000000000000a2", ITEMS_USUAL, 10000) == 200,
               "an ordinary job is not accepted afterwards");
  lost = waits_in_vain (bed, "00000000000000a2", OBSERVED_MS);
  for (uint32_t i = 0; i < DAEMONS; i++)
    {
      const bed_daemon_t *d = &bed->daemons[i];

      bed_note ("edge-%u: peak %ld MB, %u times over its memory", i,
                d->peak_mb, d->over);
      hosts += d->over >= 3;
      crashed += d->crashed;
    }
  bed_note ("%u daemons were over their memory three times or more", hosts);
  printf ("lost %d hosts %u crashed %u accepted %u\n", lost, hosts, crashed,
          accepted);
  bed_end (bed, lost || hosts >= 2 || crashed > 0);
}
