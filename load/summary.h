/* summary - what an owner has learned, for the owner after it

   NAME
     summary

   DESCRIPTION
     The owner keeps a summary in the store; the next owner starts from it
     instead of from nothing.  The format is an array [VERSION, TIME_MS, EPOCH,
     LAST_BURST_POOL, POOLS, RUNTIMES] in msgpack; additional fields at the end
     of an array are ignored.

     The age of a summary is computed from the wall clocks of two daemons,
     which may differ by seconds.  A summary from the future counts as new, up
     to SUMMARY_AHEAD_MAX_MS.  A wrong age costs at most what a missing summary
     does, or the use of values that are older by the difference.

     Pure: no clock, no threads, no sockets.

   UNITS
     _ms since 1970 on the writer's clock; _us on a monotonic clock;
     _millihosts thousandths of a host; _milli thousandths.

   ERRORS
     GError in the domain WIRE_ERROR.  */

#ifndef CUMINPIN_SUMMARY_H
#define CUMINPIN_SUMMARY_H

#include "base.h"
#include "capacity_index.h"

#define SUMMARY_VERSION 1

/* Bytes of an encoded summary, at most.  The store takes a record for 8 KiB
   with its key, and the key takes less than this difference.  */
#define SUMMARY_BYTES_MAX (8192 - 32)

/* Up to these ages the parts of a summary are used.  Demand changes within
   seconds, and a pool sized by an old rate takes hosts from others.  Bursts go
   round all pools in less than a minute, and so much of the weight of run
   times is left after a minute (1/64) that one new job counts for more.  */
#define SUMMARY_RATES_AGE_MAX_MS 5000
#define SUMMARY_BURSTS_AGE_MAX_MS 60000
#define SUMMARY_RUNTIMES_AGE_MAX_MS 60000

/* Half of the weight of run times is lost in this time, as in runtimes.  */
#define SUMMARY_HALF_LIFE_MS 10000

/* A summary that is this far ahead of the reader's clock is ignored: clocks
   differ by seconds.  */
#define SUMMARY_AHEAD_MAX_MS 10000

/* Longest name of an image or queue; as in runtimes.  */
#define SUMMARY_NAME_BYTES_MAX 255

/* Demand of a pool.  */
typedef struct summary_pool
{
  const char *name;    /* interned */
  amounts_t host_room; /* of one of its hosts; all zero: unknown */
  uint32_t base_hosts;
  uint32_t rate_fast_millihosts;
  uint32_t rate_slow_millihosts;
  uint32_t burst_peak_millihosts;
  int64_t burst_ended_ms; /* 0: no burst has ended */
  bool in_burst;
  bool scaled_down;
  const char *burst_predecessor; /* interned; NULL: none */
} summary_pool_t;

/* Learned run times of an image, or of a step of a queue.  Ratios of time
   taken to estimate.  */
typedef struct summary_runtime
{
  const char *image; /* interned; NULL: queue and step are the key */
  const char *queue; /* interned; NULL if there is an image */
  uint32_t step;
  uint32_t median_milli;
  uint32_t p90_milli;
  uint32_t weight_milli; /* runs that count, as decayed at TIME_MS */
  uint32_t jobs_milli;   /* jobs that count, as decayed at TIME_MS */
} summary_runtime_t;

typedef struct summary
{
  uint64_t epoch; /* of the owner that wrote it */
  int64_t time_ms;
  int64_t age_ms;              /* set by summary_trim */
  const char *last_burst_pool; /* interned; NULL: none */
  GArray *pools;               /* summary_pool_t */
  GArray *runtimes;            /* summary_runtime_t */
} summary_t;

summary_t *summary_new (uint64_t epoch, int64_t time_ms);
summary_t *summary_copy (const summary_t *summary);
void summary_free (summary_t *summary);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (summary_t, summary_free)

/* summary_encode - encode SUMMARY in at most SUMMARY_BYTES_MAX.  Sorts its
   rows: the pools with the highest demand and the run times with the highest
   weight come first.  Rows that don't fit, or whose names are too long, are
   left out and removed from SUMMARY.  */
GBytes *summary_encode (summary_t *summary);

/* summary_decode - decode the LEN bytes of DATA; NULL and *ERROR if they are
   malformed or of another version.  */
summary_t *summary_decode (const void *data, size_t len, GError **error);

typedef enum summary_use
{
  SUMMARY_USED,
  SUMMARY_TOO_OLD,
  SUMMARY_FROM_THE_FUTURE
} summary_use_t;

/* summary_trim - remove from SUMMARY what is too old at WALL_MS, the reader's
   time since 1970, and decay the weights of the rest.  Nothing is left unless
   the result is SUMMARY_USED.  Once for each summary.  */
summary_use_t summary_trim (summary_t *summary, int64_t wall_ms);

#endif
