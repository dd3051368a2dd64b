/* scene - one daemon's view of a fleet, stepped through virtual time  */

#ifndef CUMINPIN_FLEET_SCENE_H
#define CUMINPIN_FLEET_SCENE_H

#include "fixture.h"
#include <check.h>

#define SECOND INT64_C (1000000)
#define HOSTS_MAX 64
#define RECORDS_MAX 256

static const char *const one_entry[] = { "e1" };

/* One view of a fleet, with every host live, verified and empty.  */
typedef struct scene
{
  state_t *state;
  watch_t *watch;
  host_report_t reports[HOSTS_MAX];
  char names[HOSTS_MAX][8];
  uint32_t count;
  int64_t now_us;
  bool fresh;
  rec_t records[RECORDS_MAX];
} scene_t;

static inline void
scene_open (scene_t *s, const fixture_t *f)
{
  memset (s, 0, sizeof *s);
  s->state = state_new ();
  s->watch = watch_new ();
  s->fresh = true;
  s->count = f->hosts;
  s->now_us = 1000 * SECOND;
  ck_assert_int_eq (fixture_publish (s->state, f), VERDICT_APPLIED);
  for (uint32_t i = 0; i < f->hosts; i++)
    {
      g_snprintf (s->names[i], sizeof s->names[i], "h%04u", i);
      s->reports[i] = (host_report_t){ .host = s->names[i],
                                       .verified = true,
                                       .load_known = true };
    }
}

static inline void
scene_close (scene_t *s)
{
  watch_free (s->watch);
  state_free (s->state);
}

static inline uint32_t
scene_next (scene_t *s)
{
  wave_input_t in = { .state = s->state,
                      .watch = s->watch,
                      .self = "e1",
                      .entries = one_entry,
                      .entries_count = 1,
                      .fresh = s->fresh,
                      .now_us = s->now_us };

  watch_update (s->watch, s->state, s->reports, s->count, s->now_us);
  return wave_next (&in, s->records, RECORDS_MAX);
}

/* Step by a second until TIME_US has passed, folding all that is decided.  */
static inline void
scene_run (scene_t *s, int64_t time_us)
{
  for (int64_t end = s->now_us + time_us; s->now_us < end; s->now_us += SECOND)
    for (uint32_t i = 0, n = scene_next (s); i < n; i++)
      fixture_fold (s->state, &s->records[i]);
}

static inline host_phase_t
phase_of (const scene_t *s, uint32_t host)
{
  const host_state_t *h = table_find (&s->state->hosts, s->names[host]);

  return h->phase;
}

#endif
