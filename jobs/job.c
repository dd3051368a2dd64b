#include "job.h"
#include <string.h>

static void
step_clear (job_step_t *step)
{
  g_free (step->after);
  g_free (step->label);
  g_free (step->rack);
  g_free (step->image);
}

job_desc_t *
job_desc_ref (job_desc_t *desc)
{
  desc->extra_refs++;
  return desc;
}

void
job_desc_unref (job_desc_t *desc)
{
  if (!desc)
    return;
  if (desc->extra_refs > 0)
    {
      desc->extra_refs--;
      return;
    }
  for (uint32_t i = 0; i < desc->steps_count; i++)
    step_clear (&desc->steps[i]);
  g_free (desc->steps);
  g_free (desc->payload);
  g_free (desc);
}

bool
job_id_is_valid (const char *text)
{
  size_t len = strlen (text);

  if (len != JOB_ID_LEN)
    return false;
  for (size_t i = 0; i < len; i++)
    if (!g_ascii_isxdigit (text[i]))
      return false;
  return true;
}

uint32_t
job_occurrences (const job_desc_t *desc)
{
  return MAX (desc->repeats, 1);
}

uint32_t
job_tasks_per_occurrence (const job_desc_t *desc)
{
  uint32_t tasks = 0;

  for (uint32_t i = 0; i < desc->steps_count; i++)
    tasks += desc->steps[i].count;
  return tasks;
}

uint32_t
job_tasks (const job_desc_t *desc)
{
  return job_occurrences (desc) * job_tasks_per_occurrence (desc);
}

static bool
is_too_long (const char *name)
{
  return name && strlen (name) > JOB_NAME_MAX;
}

static const char *
check_step (const job_desc_t *desc, uint32_t number)
{
  const job_step_t *step = &desc->steps[number];

  if (step->count == 0 || step->count > JOB_TASKS_MAX)
    return "steps.count: expected a number from 1 to 100000";
  if (step->need.cpu_milli < 0 || step->need.mem_mib < 0
      || step->need.accels < 0)
    return "steps: expected amounts of 0 or more";
  if (is_too_long (step->label) || is_too_long (step->rack)
      || is_too_long (step->image))
    return "steps: expected names of at most 4000 bytes";
  for (uint32_t i = 0; i < step->after_count; i++)
    if (step->after[i] >= number)
      return "steps.after: expected numbers of earlier steps";
  return NULL;
}

const char *
job_check (const job_desc_t *desc)
{
  uint64_t tasks = 0;

  if (desc->steps_count == 0 || desc->steps_count > JOB_STEPS_MAX)
    return "steps: expected 1 to 256 steps";
  if (strlen (desc->payload) > JOB_PAYLOAD_MAX)
    return "spec: expected at most 4000 bytes";
  for (uint32_t i = 0; i < desc->steps_count; i++)
    {
      const char *wrong = check_step (desc, i);

      if (wrong)
        return wrong;
      tasks += desc->steps[i].count;
    }
  if (tasks * job_occurrences (desc) > JOB_TASKS_MAX)
    return "steps: expected at most 100000 tasks in all occurrences";
  if (desc->interval_ms < 0)
    return "interval_ms: expected 0 or more";
  return NULL;
}

bool
task_ref_equal (const task_ref_t *a, const task_ref_t *b)
{
  return a->occurrence == b->occurrence && a->step == b->step
         && a->index == b->index && strcmp (a->id, b->id) == 0;
}

uint32_t
job_task_number (const job_desc_t *desc, const task_ref_t *ref)
{
  uint32_t number = 0;

  if (ref->occurrence >= job_occurrences (desc)
      || ref->step >= desc->steps_count
      || ref->index >= desc->steps[ref->step].count)
    return UINT32_MAX;
  for (uint32_t i = 0; i < ref->step; i++)
    number += desc->steps[i].count;
  return ref->occurrence * job_tasks_per_occurrence (desc) + number
         + ref->index;
}

bool
failures_add (failures_t *failures, uint32_t attempt)
{
  for (uint32_t i = 0; i < MIN (failures->count, FAILURES_KEPT); i++)
    if (failures->attempts[i] == attempt)
      return false;
  if (failures->count >= FAILURES_KEPT && attempt <= failures->highest)
    return false;
  if (failures->count < FAILURES_KEPT)
    failures->attempts[failures->count] = attempt;
  failures->count++;
  failures->highest = MAX (failures->highest, attempt);
  return true;
}

bool
job_state_is_final (job_state_t state)
{
  return state == JOB_STATE_COMPLETE || state == JOB_STATE_FAILED
         || state == JOB_STATE_CANCELLED;
}

void
job_desc_accept (job_desc_t *desc, const rules_queue_t *queue,
                 const rules_workspace_t *limits, int64_t now_ms)
{
  desc->queue = queue->name;
  desc->settings = queue->settings;
  if (limits)
    desc->limits = *limits;
  desc->accepted_ms = now_ms;
}
