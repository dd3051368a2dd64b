#include "rig.h"
#include "startorder.h"
#include "waiting.h"
#include <sys/mman.h>
#include <unistd.h>

#define LINES_BYTES_MAX 16384

static char lines[LINES_BYTES_MAX];

/* Plans for MS, every 100 ms, and returns the lines that were logged.  */
static const char *
plan_logged (int64_t ms)
{
  int fd = memfd_create ("events", MFD_CLOEXEC);
  ssize_t len;

  ck_assert_int_ge (fd, 0);
  event_set_fd (fd);
  for (int64_t at = 0; at < ms; at += 100)
    {
      rig_advance_clock (100);
      rig.sched->place_needed = true;
      g_array_unref (rig_plan (false));
    }
  event_set_fd (STDERR_FILENO);
  len = pread (fd, lines, sizeof lines - 1, 0);
  ck_assert_int_gt (len, -1);
  lines[len] = '\0';
  close (fd);
  return lines;
}

static uint32_t
count (const char *text, const char *what)
{
  uint32_t found = 0;

  for (const char *at = text; (at = strstr (at, what)); at += strlen (what))
    found++;
  return found;
}

/* w1 answers no more holds, and w2 has answered none.  Guards against tasks
   that wait without a line that says why, and against a line for each plan. */
START_TEST (test_long_wait_is_logged_with_reasons)
{
  job_step_t step = rig_step (RIG_CORES + 1);
  const char *text;

  rig_worker ("w1", RIG_CORES, false);
  rig_worker ("w2", RIG_CORES, true);
  rig_submit (1, &step, 1);
  ck_assert_uint_eq (count (plan_logged (2500), " tasks-waiting "), 0);
  text = plan_logged (3000);
  ck_assert_uint_ge (count (text, " tasks-waiting "), 2);
  ck_assert_uint_le (count (text, " tasks-waiting "), 3);
  ck_assert_ptr_nonnull (strstr (text, " tasks=1 steps=1 cap=0 "));
  ck_assert_ptr_nonnull (strstr (text, " not-reported=1"));
  ck_assert_ptr_nonnull (strstr (text, " silent=1"));
}
END_TEST

/* Guards against a limit of unanswered starts that binds unnoticed.  */
START_TEST (test_limited_starts_are_logged)
{
  job_step_t step = rig_step (1);
  const char *text;

  rig_worker ("w1", RIG_CORES, false);
  rig.sched->starts_pending[RANK_ON_TIME] = 100000;
  rig_submit (1, &step, 1);
  text = plan_logged (2000);
  ck_assert_uint_ge (count (text, " starts-limited rank=on-time "), 1);
  ck_assert_uint_le (count (text, " starts-limited "), 2);
  rig.sched->starts_pending[RANK_ON_TIME] = 0;
}
END_TEST

TEST_PROGRAM_WITH ("jobs/waiting", rig_set_up, rig_tear_down,
                   test_long_wait_is_logged_with_reasons,
                   test_limited_starts_are_logged)
