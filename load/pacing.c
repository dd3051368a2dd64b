#include "pacing.h"
#include <glib.h>
#include <math.h>

/* The tail that paces aim at.  Reports are off by a fifth.  */
#define AIM_PERCENT 80
/* Below it, fillers of which nothing is known speed up.  */
#define UNKNOWN_RAISE_PERCENT 50
/* A change shows in full after this time: the order takes 100 ms, and the next
   report covers the last 500 ms.  */
#define SETTLE_US 700000
/* All fillers stop when a task was reported above its target for this long.
   Until then, the report may be 900 ms late; from then on, the next report
   takes 400 ms and the order 100 ms.  That leaves 1.1 s of PACING_HARM_MAX_MS
   to repeat an unconfirmed order twice.  */
#define STOP_AFTER_US 1500000
/* Fillers that have been stopped for this long don't cause the tail.  */
#define INNOCENT_AFTER_US 2000000
/* Below the target, the wait before the least harmful one tries again grows
   with each stop, up to this many times: its trial may raise the tail above
   the target for STOP_AFTER_US.  */
#define TRIAL_BACKOFF_MAX 8
#define RAISE_INTERVAL_US 500000
#define RAISE_STEP_PERCENT 25
/* Smaller increases are not worth an order.  */
#define RAISE_MIN_PERCENT 5
/* Harm that is assumed of an unknown filler at full speed: it doubles the
   tail.  */
#define UNKNOWN_HARM_LOG2 1.0F
/* Rest of the decrease that is not worth slowing another filler: 7 %.  */
#define NEED_MIN_LOG2 0.1F

static bool
is_known (const pacing_filler_t *filler)
{
  return filler->confidence_percent >= PACING_CONFIDENCE_PERCENT;
}

static float
harm_log2 (const pacing_filler_t *filler)
{
  return is_known (filler) ? log2f (1 + (float)filler->harm_percent / 100)
                           : UNKNOWN_HARM_LOG2;
}

/* What FILLER adds to log2 of the tail at its present pace.  */
static float
contribution_log2 (const pacing_filler_t *filler)
{
  return harm_log2 (filler) * (float)filler->pace_percent / 100;
}

/* The known filler that adds most to the tail, or NULL if none adds any.  */
static pacing_filler_t *
most_harmful (pacing_filler_t *fillers, uint32_t count)
{
  pacing_filler_t *worst = NULL;

  for (uint32_t i = 0; i < count; i++)
    if (is_known (&fillers[i]) && contribution_log2 (&fillers[i]) > 0
        && (!worst
            || contribution_log2 (&fillers[i]) > contribution_log2 (worst)))
      worst = &fillers[i];
  return worst;
}

/* Halves the paces of fillers that are unknown, or of all.  */
static void
halve (pacing_filler_t *fillers, uint32_t count, bool known_too)
{
  for (uint32_t i = 0; i < count; i++)
    if (known_too || !is_known (&fillers[i]))
      fillers[i].pace_percent /= 2;
}

static bool
any_unknown_runs (const pacing_filler_t *fillers, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (!is_known (&fillers[i]) && fillers[i].pace_percent > 0)
      return true;
  return false;
}

/* Slows fillers down until log2 of the tail is expected to fall by NEED.  */
static void
slow_down (pacing_filler_t *fillers, uint32_t count, float need)
{
  while (need > NEED_MIN_LOG2)
    {
      pacing_filler_t *worst = most_harmful (fillers, count);
      float most;

      if (!worst)
        break;
      most = contribution_log2 (worst);
      worst->pace_percent = (uint32_t)((float)worst->pace_percent
                                       * (1 - MIN (need / most, 1)));
      need -= most;
    }
  if (need > NEED_MIN_LOG2)
    halve (fillers, count, !any_unknown_runs (fillers, count));
}

/* The least harmful filler below full speed that is not in DONE, or NULL.  */
static pacing_filler_t *
least_harmful (pacing_filler_t *fillers, uint32_t count, const bool *done)
{
  pacing_filler_t *best = NULL;

  for (uint32_t i = 0; i < count; i++)
    if (fillers[i].pace_percent < 100 && !(done && done[i])
        && (!best || harm_log2 (&fillers[i]) < harm_log2 (best)))
      best = &fillers[i];
  return best;
}

/* How much faster FILLER may run if log2 of the tail may rise by ROOM.  */
static uint32_t
raise_percent (const pacing_filler_t *filler, uint32_t tail_percent,
               float room)
{
  uint32_t step = MIN (100 - filler->pace_percent, RAISE_STEP_PERCENT);
  float harm = harm_log2 (filler);

  if (!is_known (filler) && tail_percent >= UNKNOWN_RAISE_PERCENT)
    return 0;
  if (harm * (float)step / 100 > room)
    step = (uint32_t)(MAX (room, 0) / harm * 100);
  return step >= MIN (RAISE_MIN_PERCENT, 100 - filler->pace_percent) ? step
                                                                     : 0;
}

static void
speed_up (pacing_filler_t *fillers, uint32_t count, uint32_t tail_percent)
{
  bool *done = g_new0 (bool, count);
  float room = log2f (AIM_PERCENT / (float)MAX (tail_percent, 1));
  pacing_filler_t *next;

  while ((next = least_harmful (fillers, count, done)))
    {
      uint32_t step = raise_percent (next, tail_percent, room);

      done[next - fillers] = true;
      next->pace_percent += step;
      room -= harm_log2 (next) * (float)step / 100;
    }
  g_free (done);
}

static void
set_all (pacing_filler_t *fillers, uint32_t count, uint32_t pace_percent)
{
  for (uint32_t i = 0; i < count; i++)
    fillers[i].pace_percent = pace_percent;
}

static uint32_t
pace_sum (const pacing_filler_t *fillers, uint32_t count)
{
  uint32_t sum = 0;

  for (uint32_t i = 0; i < count; i++)
    sum += fillers[i].pace_percent;
  return sum;
}

/* Whether all fillers have been stopped for WAIT_US.  */
static bool
stopped_for (const pacing_state_t *state, int64_t wait_us, int64_t now_us)
{
  return state->stopped_since_us != 0
         && now_us - state->stopped_since_us >= wait_us;
}

/* The tail is above the target.  */
static void
handle_over (pacing_state_t *state, uint32_t tail_percent,
             pacing_filler_t *fillers, uint32_t count, int64_t now_us)
{
  if (state->over_since_us == 0)
    state->over_since_us = now_us;
  if (pace_sum (fillers, count) == 0)
    {
      pacing_filler_t *least = least_harmful (fillers, count, NULL);

      if (!stopped_for (state, INNOCENT_AFTER_US, now_us))
        return;
      least->pace_percent = RAISE_STEP_PERCENT;
      state->over_since_us = now_us;
    }
  else if (now_us - state->over_since_us >= STOP_AFTER_US)
    set_all (fillers, count, 0);
  else if (now_us - state->changed_us >= SETTLE_US)
    slow_down (fillers, count, log2f ((float)tail_percent / AIM_PERCENT));
}

/* The tail is at most at the target.  */
static void
handle_under (pacing_state_t *state, uint32_t tail_percent,
              pacing_filler_t *fillers, uint32_t count, int64_t now_us)
{
  state->over_since_us = 0;
  if (tail_percent == 0)
    set_all (fillers, count, 100);
  else if (tail_percent > AIM_PERCENT)
    {
      if (now_us - state->changed_us >= SETTLE_US)
        slow_down (fillers, count, log2f ((float)tail_percent / AIM_PERCENT));
    }
  else if (now_us - state->changed_us >= RAISE_INTERVAL_US)
    speed_up (fillers, count, tail_percent);
  /* Load alone may keep the tail where no filler speeds up.  */
  if (pace_sum (fillers, count) == 0
      && stopped_for (state,
                      INNOCENT_AFTER_US
                          * CLAMP (state->stops, 1, TRIAL_BACKOFF_MAX),
                      now_us))
    least_harmful (fillers, count, NULL)->pace_percent = RAISE_STEP_PERCENT;
}

/* The step from a sum of paces BEFORE to AFTER.  */
static pacing_step_t
step_between (uint32_t before, uint32_t after, uint32_t full)
{
  if (after == before)
    return PACING_KEEP;
  if (after < before)
    return after == 0 ? PACING_STOP : PACING_SLOW;
  return after == full ? PACING_RELEASE : PACING_RAISE;
}

pacing_step_t
pacing_decide (pacing_state_t *state, uint32_t tail_percent,
               pacing_filler_t *fillers, uint32_t count, int64_t now_us)
{
  uint32_t full = count * 100;
  uint32_t before = pace_sum (fillers, count);
  uint32_t after;

  if (count == 0)
    {
      *state = (pacing_state_t){ 0 };
      return PACING_KEEP;
    }
  if (tail_percent > 100)
    handle_over (state, tail_percent, fillers, count, now_us);
  else
    handle_under (state, tail_percent, fillers, count, now_us);
  after = pace_sum (fillers, count);
  if (after != before)
    state->changed_us = now_us;
  if (after > 0)
    state->stopped_since_us = 0;
  else if (state->stopped_since_us == 0)
    state->stopped_since_us = now_us;
  state->stops += after == 0 && before > 0;
  if (after == full)
    state->slowed_since_us = state->stops = 0;
  else if (state->slowed_since_us == 0)
    state->slowed_since_us = now_us;
  return step_between (before, after, full);
}
