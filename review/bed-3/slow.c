/* slow - has a few work items take several times as long as the others, and
   looks whether jobs beside them are started

   RULES.md, LOST: finish_s after the end of the traffic, for 3 s, a job has
   nothing running while a work item's turn has come, there is capacity for it
   twice over, and under half of the service's capacity is in use.  */

#include "minions.h"
#include <string.h>

#define DAEMONS 2
#define MINIONS 4
#define CPU 16000
/* Two of them on a minion.  */
#define LONG_ITEMS 8
#define NORMAL_MS 4200
#define LONG_TIMES 7
#define JOBS                                                                  \
  30 /* before the one with long work items, at most MINIONS x CPU */
#define JOB_INTERVAL_MS 300
#define LATE_JOBS 4
#define FINISH_MS 14000
#define IDLE_MS 3000

typedef struct last_job
{
  char id[17];
  int64_t idle_from_ms; /* it has nothing running, and has room; -1: it does */
  int64_t idle_most_ms;
  bool complete;
} last_job_t;

static void
submit_job (bed_t *bed, uint32_t number, uint32_t count, uint32_t cpu,
            uint32_t ms, char id[17])
{
  g_autofree char *body = g_strdup_printf (
      "{\"spec\":\"fill %u\",\"steps\":[{\"count\":%u,\"cpu\":%u,"
      "\"mem_mb\":64,\"estimate_ms\":%u,\"anti_affinity\":%u}]}",
      ms, count, cpu, NORMAL_MS, LONG_ITEMS / MINIONS);

  g_snprintf (id, 17, "%016x", number);
  bed_submit (bed, id, body);
}

int
main (int argc, char **argv)
{
  last_job_t last[LATE_JOBS];
  char id[17];
  uint32_t normal_done;
  minions_t *minions;
  store_t *store;
  int64_t traffic_end_ms;
  int64_t most_ms = 0;
  bed_t bed;

  bed_open (&bed, argc, argv);
  store = store_start ();
  bed_put_config (&bed, store);
  minions = minions_start (&bed, store, "shop", MINIONS, CPU);
  minions_set_users (minions, 5, 0);
  for (uint32_t i = 0; i < DAEMONS; i++)
    bed_add_daemon (&bed, store_port (store), "hosts_api: \"\"\n");
  for (uint32_t i = 0; i < DAEMONS; i++)
    bed_await_ready (&bed, i);
  for (uint32_t i = 0; i < JOBS; i++)
    {
      submit_job (&bed, 0x100 + i, 1, 1000, NORMAL_MS, id);
      bed_sleep_ms (JOB_INTERVAL_MS);
    }
  bed_sleep_ms (NORMAL_MS + 1000);
  normal_done = minions_count (minions).done;
  bed_note (&bed, "%u of %u jobs have been done", normal_done, JOBS);
  if (normal_done < JOBS)
    bed_give_up (&bed, "the first jobs are not done");
  submit_job (&bed, 0x200, LONG_ITEMS, 1000,
              bed.trouble ? NORMAL_MS * LONG_TIMES : NORMAL_MS, id);
  bed_sleep_ms (2500);
  for (uint32_t i = 0; i < LATE_JOBS; i++)
    {
      submit_job (&bed, 0x300 + i, 1, 1000, NORMAL_MS, last[i].id);
      last[i].idle_from_ms = -1;
      last[i].idle_most_ms = 0;
      last[i].complete = false;
    }
  traffic_end_ms = bed_ms (&bed);
  bed_note (&bed, "the end of the traffic");
  while (bed_ms (&bed) < traffic_end_ms + 2 * NORMAL_MS * LONG_TIMES)
    {
      uint32_t left = 0;

      bed_sleep_ms (20);
      for (uint32_t i = 0; i < LATE_JOBS; i++)
        {
          last_job_t *job = &last[i];
          int64_t now_ms = bed_ms (&bed);
          uint32_t used = minions_count (minions).filling * 1000;
          bool ended = minions_ended (minions, job->id);
          bool idle = !ended && !minions_runs (minions, job->id)
                      && used * 2 < MINIONS * CPU
                      && now_ms >= traffic_end_ms + FINISH_MS;

          left += !ended;
          if (!idle)
            job->idle_from_ms = -1;
          else if (job->idle_from_ms < 0)
            job->idle_from_ms = now_ms;
          if (idle)
            job->idle_most_ms
                = MAX (job->idle_most_ms, now_ms - job->idle_from_ms);
        }
      if (left == 0)
        break;
    }
  for (uint32_t i = 0; i < LATE_JOBS; i++)
    {
      bed_note (&bed,
                "job %s: later than finish_s after the end of the traffic it "
                "had nothing running for %" G_GINT64_FORMAT
                " ms on end, with under half of the service in use",
                last[i].id, last[i].idle_most_ms);
      most_ms = MAX (most_ms, last[i].idle_most_ms);
    }
  bed_close (&bed, most_ms >= IDLE_MS ? BED_BROKEN : BED_HELD);
  minions_stop (minions);
  store_stop (store);
  return most_ms >= IDLE_MS ? BED_BROKEN : BED_HELD;
}
