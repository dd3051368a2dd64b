#include "schedint.h"
#include <string.h>

/* Half of the tasks end within the expected time.  A higher quantile would
   make jobs look late, and be refused, that mostly end in time.  */
#define EXPECTED_QUANTILE_PERCENT 50

/* Keys in a dump.  */
#define DUMPED_KEYS_MAX 50

static runtimes_key_t
key_of (const job_desc_t *desc, uint32_t step)
{
  return (runtimes_key_t){ .image = desc->steps[step].image,
                           .queue = desc->queue,
                           .step = step };
}

uint32_t
desc_expected_ms (const sched_t *sched, const job_desc_t *desc, uint32_t step,
                  int64_t now_us)
{
  uint32_t estimate_ms = desc->steps[step].estimate_ms;
  runtimes_key_t key;

  if (!sched->runtimes)
    return estimate_ms;
  key = key_of (desc, step);
  return runtimes_expected_ms (sched->runtimes, &key, estimate_ms,
                               EXPECTED_QUANTILE_PERCENT, now_us);
}

uint32_t
step_expected_ms (const sched_t *sched, const sched_job_t *job, uint32_t step,
                  int64_t now_us)
{
  return desc_expected_ms (sched, job->desc, step, now_us);
}

/* Whether the time that RUN took says how long its tasks take.  It doesn't if
   the run was slowed down, continued earlier work, or was found running.  */
static bool
is_representative (const run_t *run, int64_t now_us)
{
  const job_step_t *spec = run->task->stage->spec;
  const worker_t *worker = run->worker;

  return run->start_answered && !spec->long_running && !spec->filler
         && !(spec->checkpoints && run->attempt > 1)
         && worker->suspect_until_us <= now_us && worker->doubted_us == 0;
}

void
expected_learn (sched_t *sched, const run_t *run, int64_t now_us)
{
  const stage_t *stage = run->task->stage;
  runtimes_key_t key;

  if (!sched->runtimes || !is_representative (run, now_us))
    return;
  key = key_of (stage->job->desc, stage->step);
  key.job
      = hash_bytes (stage->job->desc->id, strlen (stage->job->desc->id), 0);
  runtimes_add (
      sched->runtimes, &key, stage->spec->estimate_ms,
      (uint32_t)CLAMP ((now_us - run->active_us) / 1000, 0, UINT32_MAX),
      now_us);
}

typedef struct dump
{
  GString *out;
  uint32_t rows;
} dump_t;

static void
dump_known (const runtimes_known_t *known, void *ctx)
{
  dump_t *dump = ctx;
  /* Clients choose the names; a line break would begin another line.  */
  g_autofree char *image
      = known->key.image ? g_strescape (known->key.image, NULL) : NULL;

  if (dump->rows++ >= DUMPED_KEYS_MAX)
    return;
  g_string_append_printf (
      dump->out,
      "run-time image %s queue %s step %u median-milli %u p90-milli %u "
      "runs-milli %u\n",
      image ? image : "-", known->key.queue ? known->key.queue : "-",
      known->key.step, known->median_milli, known->p90_milli,
      known->weight_milli);
}

void
expected_dump (const sched_t *sched, GString *out, int64_t now_us)
{
  dump_t dump = { .out = out };

  if (!sched->runtimes)
    return;
  g_string_append_printf (out, "run-times %u\n",
                          runtimes_count (sched->runtimes));
  runtimes_each (sched->runtimes, now_us, dump_known, &dump);
}
