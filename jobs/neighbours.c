#include "schedint.h"

/* Largest penalty for harm, at a harm of PENALTY_HARM_PERCENT.  It outweighs
   the preference for a job's last worker (place.c) and is outweighed by the
   rack of the task's data, the worker where it failed and the spread of a
   step.  */
#define PENALTY_MAX 1.8
#define PENALTY_HARM_PERCENT 100
/* Penalty of a filler task for a worker with a task at its target, because of
   which it would be slowed down.  */
#define FILLER_TAIL_PENALTY 0.5

/* Workers report the tail of this time.  */
#define TAIL_WINDOW_US 500000
/* Reports that follow earlier cover mostly the same time.  */
#define LEARN_INTERVAL_US 350000
/* A long-running task that has just started is slow by itself.  */
#define LEARN_AFTER_US 1000000

#define DUMP_ROWS_MAX 100

void
neighbours_number_image (sched_t *sched, stage_t *stage, int64_t now_us)
{
  if (!sched->interference
      || interference_knows (sched->interference, stage->image))
    return;
  stage->image
      = interference_image (sched->interference, stage->spec->image, now_us);
  stage->partners
      = interference_partner_list (sched->interference, stage->image);
}

void
neighbours_find_image (const sched_t *sched, stage_t *stage)
{
  if (!sched->interference)
    return;
  stage->image
      = interference_find_image (sched->interference, stage->spec->image);
  stage->partners = interference_partners (sched->interference, stage->image);
}

static bool
has_image (const worker_t *worker, uint32_t image)
{
  for (uint32_t i = 0; i < worker->images_count; i++)
    if (worker->images[i] == image)
      return true;
  return false;
}

void
neighbours_update (worker_t *worker)
{
  if (!worker->interference)
    return;
  worker->image_set = 0;
  worker->images_count = 0;
  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      const run_t *run = g_ptr_array_index (worker->runs, i);

      if (run->image == IMAGES_NONE || has_image (worker, run->image))
        continue;
      if (worker->images_count == WORKER_IMAGES_MAX)
        return;
      worker->images[worker->images_count++] = run->image;
      worker->image_set |= partners_bit (run->image);
    }
}

/* Harm, in both directions, between a task of STAGE and what runs on WORKER.
   The sets tell for most workers that there is none: the placement asks that
   for every worker with room.  */
static uint32_t
harm_on_worker (const worker_t *worker, const stage_t *stage)
{
  const partners_t *partners = stage->partners;
  uint32_t harm_percent = 0;

  if (!partners || (partners->set & worker->image_set) == 0
      || partners->image != stage->image)
    return 0;
  for (uint32_t i = 0; i < partners->count; i++)
    {
      const partner_t *partner = &partners->rows[i];

      if ((partners_bit (partner->image) & worker->image_set) != 0
          && has_image (worker, partner->image))
        harm_percent += partner->harm_percent;
    }
  return harm_percent;
}

double
neighbours_penalty (const worker_t *worker, const stage_t *stage)
{
  uint32_t harm_percent = harm_on_worker (worker, stage);
  double penalty = 0;

  if (harm_percent > 0)
    penalty = PENALTY_MAX * MIN (harm_percent, PENALTY_HARM_PERCENT)
              / PENALTY_HARM_PERCENT;
  if (stage->spec->filler)
    penalty += FILLER_TAIL_PENALTY * MIN (worker->tail_percent, 100) / 100;
  return penalty;
}

void
neighbours_count_start (const worker_t *worker, const stage_t *stage)
{
  if (harm_on_worker (worker, stage) > 0)
    counter_add (COUNT_STARTS_BESIDE_HARM, 1);
}

/* The pace of RUN over the last WINDOW_US, in which it may have changed.  */
static uint32_t
mean_pace_percent (const run_t *run, int64_t window_us, int64_t now_us)
{
  int64_t since_us = MIN (now_us - run->pace_confirmed_us, window_us);

  if (!run->task->stage->spec->filler)
    return 100;
  return (uint32_t)((run->pace_percent * since_us
                     + run->pace_before_percent * (window_us - since_us))
                    / window_us);
}

/* Fills NEIGHBOURS with what ran beside VICTIM in the last WINDOW_US; returns
   the number of rows.  */
static uint32_t
collect_neighbours (const run_t *victim, int64_t window_us,
                    interference_neighbour_t *neighbours, int64_t now_us)
{
  const GPtrArray *runs = victim->worker->runs;
  uint32_t count = 0;

  for (uint32_t i = 0; i < runs->len && count < INTERFERENCE_NEIGHBOURS_MAX;
       i++)
    {
      const run_t *run = g_ptr_array_index (runs, i);
      int64_t there_us = MIN (now_us - run->active_us, window_us);

      if (run == victim || run->active_us == 0 || run->image == IMAGES_NONE
          || run_pace_is_unknown (run))
        continue;
      neighbours[count++] = (interference_neighbour_t){
        .image = run->image,
        .share_percent = (uint32_t)(mean_pace_percent (run, window_us, now_us)
                                    * there_us / window_us)
      };
    }
  return count;
}

static void
observe (sched_t *sched, const run_t *victim, uint32_t ratio_percent,
         int64_t window_us, int64_t now_us)
{
  interference_neighbour_t neighbours[INTERFERENCE_NEIGHBOURS_MAX];
  interference_sample_t sample = { .victim = victim->image,
                                   .worker = victim->worker->interned,
                                   .ratio_percent = ratio_percent,
                                   .neighbours = neighbours };

  sample.neighbours_count
      = collect_neighbours (victim, window_us, neighbours, now_us);
  interference_observe (sched->interference, &sample, now_us);
}

/* Numbers the images of WORKER's runs again that gave way meanwhile.  */
static void
renumber_images (sched_t *sched, worker_t *worker, int64_t now_us)
{
  bool changed = false;

  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      run_t *run = g_ptr_array_index (worker->runs, i);

      neighbours_number_image (sched, run->task->stage, now_us);
      changed |= run->image != run->task->stage->image;
      run->image = run->task->stage->image;
    }
  if (changed)
    neighbours_update (worker);
}

void
neighbours_learn_report (sched_t *sched, worker_t *worker, sched_now_t now)
{
  if (!sched->interference)
    return;
  interference_refresh (sched->interference, now.us);
  if (now.us - worker->learned_us < LEARN_INTERVAL_US)
    return;
  worker->learned_us = now.us;
  renumber_images (sched, worker, now.us);
  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      const run_t *run = g_ptr_array_index (worker->runs, i);
      const job_step_t *spec = run->task->stage->spec;

      if (spec->long_running && spec->target_ms > 0 && run->load > 0
          && run->phase == RUN_ACTIVE && run->unlisted_us == 0
          && now.us - run->active_us >= LEARN_AFTER_US)
        observe (sched, run, run_tail_percent (run), TAIL_WINDOW_US, now.us);
    }
}

/* Only first attempts count: a later one may continue from a checkpoint.  */
void
neighbours_learn_end (sched_t *sched, const run_t *run, sched_now_t now)
{
  const job_step_t *spec = run->task->stage->spec;
  int64_t took_us = now.us - run->active_us;

  if (!sched->interference || spec->long_running || spec->filler
      || spec->estimate_ms == 0 || run->active_us == 0 || run->adopted
      || run->attempt != 1 || took_us <= 0)
    return;
  observe (sched, run,
           (uint32_t)MIN (took_us / 10 / spec->estimate_ms, UINT32_MAX),
           took_us, now.us);
}

typedef struct dump
{
  GString *out;
  uint32_t rows_left;
} dump_t;

static void
dump_row (void *ctx, const interference_row_t *row)
{
  dump_t *dump = ctx;

  if (!row->kept_apart || dump->rows_left == 0)
    return;
  dump->rows_left--;
  g_string_append_printf (dump->out,
                          "interference victim %s other %s harm-percent %u "
                          "confidence-percent %u\n",
                          row->victim, row->other, row->harm.harm_percent,
                          row->harm.confidence_percent);
}

void
neighbours_dump (const sched_t *sched, GString *out, sched_now_t now)
{
  dump_t dump = { .out = out, .rows_left = DUMP_ROWS_MAX };

  if (sched->interference)
    interference_each (sched->interference, dump_row, &dump, now.us);
}
