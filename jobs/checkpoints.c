#include "schedint.h"
#include <string.h>

static bool
is_none (const char *value)
{
  return !value || !value[0];
}

static void
set (char **to, const char *value)
{
  if (g_strcmp0 (*to, value) == 0)
    return;
  g_free (*to);
  *to = g_strdup (value);
}

void
checkpoint_learn (task_t *task, uint32_t attempt, const char *value)
{
  stage_t *stage = task->stage;

  if (is_none (value))
    return;
  if (!stage->spec->gang)
    {
      set (&task->checkpoint, value);
      return;
    }
  /* A report of an earlier attempt may come late.  Within an attempt the
     members work in step, so what is reported last is the newest.  */
  if (attempt < stage->checkpoint_attempt)
    return;
  stage->checkpoint_attempt = attempt;
  set (&stage->checkpoint, value);
}

void
checkpoint_begin_gang (sched_t *sched, stage_t *stage, uint32_t attempt)
{
  gang_value_t row
      = { .task = task_ref (&stage->tasks[0]), .attempt = attempt };

  set (&stage->start_checkpoint, stage->checkpoint);
  if (!stage->checkpoint || strlen (stage->checkpoint) > GANG_VALUE_BYTES_MAX)
    return;
  row.value = g_strdup (stage->checkpoint);
  g_array_append_val (sched->values, row);
}

/* The value was saved before ROW's attempt, and possibly in the one before, of
   which later ends may still be reported.  */
void
checkpoint_inherit (stage_t *stage, const gang_value_t *row)
{
  if (!row)
    return;
  set (&stage->checkpoint, row->value);
  stage->checkpoint_attempt = row->attempt - 1;
}

const char *
checkpoint_of_start (const task_t *task)
{
  return task->stage->spec->gang ? task->stage->start_checkpoint
                                 : task->checkpoint;
}

void
checkpoints_clear (stage_t *stage)
{
  for (uint32_t i = 0; i < stage->spec->count; i++)
    g_free (stage->tasks[i].checkpoint);
  g_free (stage->checkpoint);
  g_free (stage->start_checkpoint);
}
