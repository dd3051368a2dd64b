#include "../../test/run_suite.h"
#include "../core.h"
#include <string.h>

#define WAITING 20

static core_t core;
static entry_settings_t settings;
static readmodel_t model;

/* COUNT jobs of the queue "q" that have not started.  */
static void
submit (uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      job_rec_t rec = { .kind = JREC_SUBMIT };
      job_desc_t *desc = g_new0 (job_desc_t, 1);

      g_snprintf (desc->id, sizeof desc->id, "%016x", i);
      desc->queue = g_intern_string ("q");
      desc->workspace = g_intern_string ("w");
      desc->payload = g_strdup ("payload");
      desc->steps = g_new0 (job_step_t, 1);
      desc->steps[0].count = 1;
      desc->steps_count = 1;
      rec.u.submit = desc;
      jobtab_fold (core.tab, &rec, 1, 1);
      job_rec_clear (&rec);
    }
}

static void
set_up (void)
{
  memset (&core, 0, sizeof core);
  memset (&settings, 0, sizeof settings);
  rcu_register_thread ();
  readmodel_open (&model);
  core.settings = &settings;
  core.model = &model;
  core.tab = jobtab_new ();
  history_init (&core.history, 1000000);
}

static void
tear_down (void)
{
  readmodel_close (&model);
  jobtab_free (core.tab);
  rcu_unregister_thread ();
}

/* The pending jobs of "q" in the present view; -1: they were not counted.  */
static int64_t
pending (void)
{
  const readmodel_view_t *view = readmodel_view (&model);

  if (!view || !view->is_counted)
    return -1;
  for (uint32_t i = 0; i < view->pending_count; i++)
    if (view->pending[i].queue == g_intern_string ("q"))
      return view->pending[i].jobs;
  return 0;
}

/* Guards against a view with new rules and without the counts: clients were
   told that no job waits until the next count (review/15).  */
START_TEST (test_new_rules_keep_the_counts)
{
  core_caught_up (&core, 1, 1);
  submit (WAITING);
  core_set_rules (&core, rules_new (1));
  core_publish_pending (&core);
  ck_assert_int_eq (pending (), WAITING);
  core_set_rules (&core, rules_new (2));
  ck_assert_int_eq (pending (), WAITING);
  ck_assert_uint_eq (readmodel_view (&model)->rules->version, 2);
}
END_TEST

/* Guards against a daemon that has not read the log and says that no job
   waits.  */
START_TEST (test_nothing_is_counted_before_the_log_is_read)
{
  core_set_rules (&core, rules_new (1));
  core_publish_pending (&core);
  ck_assert_int_eq (pending (), -1);
  submit (WAITING);
  core_caught_up (&core, 1, 1);
  ck_assert_int_eq (pending (), WAITING);
}
END_TEST

/* Guards against counts that fall because the log lacks records, until a
   snapshot fills the gap.  */
START_TEST (test_counts_stay_in_a_gap)
{
  core_caught_up (&core, 1, 1);
  submit (WAITING);
  core_publish_pending (&core);
  core_note_gap (&core, 9);
  jobtab_free (core.tab);
  core.tab = jobtab_new ();
  core_publish_pending (&core);
  ck_assert_int_eq (pending (), WAITING);
  core_fill_gap (&core);
  core_publish_pending (&core);
  ck_assert_int_eq (pending (), 0);
}
END_TEST

TEST_PROGRAM_WITH ("entry/core", set_up, tear_down,
                   test_new_rules_keep_the_counts,
                   test_nothing_is_counted_before_the_log_is_read,
                   test_counts_stay_in_a_gap)
