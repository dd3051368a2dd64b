/* wave_sim - maintenance by one daemon, stepped through virtual time  */

#ifndef CUMINPIN_FLEET_WAVE_SIM_H
#define CUMINPIN_FLEET_WAVE_SIM_H

#include "fixture.h"
#include <check.h>

#define SECOND INT64_C (1000000)
#define HOSTS_MAX 64
#define RECORDS_MAX 256

static const char *const one_entry[] = { "e1" };

/* A fleet as one daemon sees it, with every host live, verified and empty.  */
typedef struct sim
{
  state_t *state;
  watch_t *watch;
  host_report_t reports[HOSTS_MAX];
  char names[HOSTS_MAX][8];
  uint32_t count;
  int64_t now_us;
  bool fresh;
  rec_t records[RECORDS_MAX];
} sim_t;

static inline void
sim_open (sim_t *s, const fixture_t *f)
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
sim_close (sim_t *s)
{
  watch_free (s->watch);
  state_free (s->state);
}

static inline uint32_t
sim_next (sim_t *s)
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

/* Steps by a second until TIME_US has passed and folds all decided records. */
static inline void
sim_run (sim_t *s, int64_t time_us)
{
  for (int64_t end = s->now_us + time_us; s->now_us < end; s->now_us += SECOND)
    for (uint32_t i = 0, n = sim_next (s); i < n; i++)
      fixture_fold (s->state, &s->records[i]);
}

static inline host_phase_t
phase_of (const sim_t *s, uint32_t host)
{
  const host_state_t *h = table_find (&s->state->hosts, s->names[host]);

  return h->phase;
}

#endif
