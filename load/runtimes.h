/* runtimes - learned run times of tasks

   NAME
     runtimes

   DESCRIPTION
     Learns the ratio of the time that tasks took to the estimates of their
     steps, for each image, or for each step of a queue whose tasks name no
     image.  A ratio is kept as a histogram whose weights halve each
     RUNTIMES_HALF_LIFE_US, so that a change is followed in seconds.

     A job counts with at most RUNTIMES_JOB_RUNS of its runs, sampled at
     random: one job of many tasks may be an outlier.  Expected times are given
     once RUNTIMES_JOBS_MIN jobs are known.

     At most RUNTIMES_KEYS_MAX keys are kept; the one that had no run for the
     longest time is dropped first.

     Not thread-safe.  Times are in microseconds on a monotonic clock, passed
     as NOW_US.  */

#ifndef CUMINPIN_RUNTIMES_H
#define CUMINPIN_RUNTIMES_H

#include "base.h"

typedef struct runtimes runtimes_t;

/* Half of a run's weight is lost in this time: bursts last a few seconds, and
   the run times of an image change within tens of seconds.  */
#define RUNTIMES_HALF_LIFE_US 10000000
/* Runs of one job that count.  */
#define RUNTIMES_JOB_RUNS 4
/* Jobs, as decayed, that an expected time takes.  With three, one outlier is
   not the median.  */
#define RUNTIMES_JOBS_MIN 3
/* A key takes about 550 bytes without its name, so that 4096 take 2.2 MB of
   the 160 MB that an entry host has at least.  */
#define RUNTIMES_KEYS_MAX 4096
/* Keys with longer names are not learned, as clients choose the names.  */
#define RUNTIMES_NAME_BYTES_MAX 255

/* What runs are alike.  Strings are compared by content and copied.  */
typedef struct runtimes_key
{
  const char *image; /* NULL: unknown; then queue and step are used */
  const char *queue;
  uint32_t step;
  uint64_t job; /* hash of the job's id; not part of the identity */
} runtimes_key_t;

/* What is known of a key.  Ratios of run time to estimate, in thousandths.  */
typedef struct runtimes_known
{
  runtimes_key_t key; /* valid during the visit; JOB is 0 */
  uint32_t median_milli;
  uint32_t p90_milli;
  uint32_t weight_milli; /* runs that count, as decayed */
  uint32_t jobs_milli;   /* jobs, as decayed */
} runtimes_known_t;

typedef void (*runtimes_visit_t) (const runtimes_known_t *known, void *ctx);

runtimes_t *runtimes_new (void);
void runtimes_free (runtimes_t *runtimes);

/* runtimes_add - a run of KEY with ESTIMATE_MS ended as done on a healthy
   worker after TOOK_MS.  Ignored if the estimate is 0.  */
void runtimes_add (runtimes_t *runtimes, const runtimes_key_t *key,
                   uint32_t estimate_ms, uint32_t took_ms, int64_t now_us);

/* runtimes_expected_ms - the time within which QUANTILE_PERCENT of the runs of
   KEY end; ESTIMATE_MS itself until enough runs are known.  */
uint32_t runtimes_expected_ms (const runtimes_t *runtimes,
                               const runtimes_key_t *key, uint32_t estimate_ms,
                               uint32_t quantile_percent, int64_t now_us);

/* runtimes_each - visit the keys, the one with the latest run first.  */
void runtimes_each (const runtimes_t *runtimes, int64_t now_us,
                    runtimes_visit_t visit, void *ctx);

/* runtimes_restore - add KNOWN, which another owner had learned and whose
   weights its reader has decayed, unless runs of its key are known.  */
void runtimes_restore (runtimes_t *runtimes, const runtimes_known_t *known,
                       int64_t now_us);

uint32_t runtimes_count (const runtimes_t *runtimes);

#endif
