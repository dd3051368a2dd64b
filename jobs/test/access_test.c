#include "../../test/run_suite.h"
#include "access.h"

/* States of the configuration.  */
typedef enum config
{
  CONFIG_KEYED,   /* queue "own" needs a key */
  CONFIG_PUBLIC,  /* it is public */
  CONFIG_REMOVED, /* it is renamed or removed */
  CONFIG_COUNT
} config_t;

typedef struct row
{
  config_t config;
  const char *job_workspace;
  const char *queue; /* of the call */
  bool is_public;
  const char *holder; /* NULL: no key, or one that is withdrawn */
  access_t access;
} row_t;

/* A call without a key in effect is refused at a queue that needs one, before
   any of this.  */
static const row_t rows[] = {
  /* The job's own queue.  */
  { CONFIG_KEYED, "acme", "own", false, "acme", ACCESS_GRANTED },
  { CONFIG_KEYED, "acme", "own", false, "other", ACCESS_OTHER_WORKSPACE },
  { CONFIG_KEYED, "", "own", false, "other", ACCESS_GRANTED },
  { CONFIG_PUBLIC, "", "own", true, NULL, ACCESS_GRANTED },
  { CONFIG_PUBLIC, "acme", "own", true, NULL, ACCESS_GRANTED },
  { CONFIG_PUBLIC, "acme", "own", true, "other", ACCESS_GRANTED },
  /* Another queue, while there is its own.  */
  { CONFIG_KEYED, "acme", "keyed", false, "acme", ACCESS_NO_JOB },
  { CONFIG_KEYED, "acme", "keyed", false, "other", ACCESS_NO_JOB },
  { CONFIG_KEYED, "acme", "public", true, NULL, ACCESS_NO_JOB },
  { CONFIG_KEYED, "acme", "public", true, "acme", ACCESS_NO_JOB },
  { CONFIG_PUBLIC, "", "public", true, NULL, ACCESS_NO_JOB },
  { CONFIG_PUBLIC, "", "keyed", false, "acme", ACCESS_NO_JOB },
  { CONFIG_PUBLIC, "acme", "keyed", false, "acme", ACCESS_NO_JOB },
  /* Another queue, as its own is gone.  */
  { CONFIG_REMOVED, "acme", "keyed", false, "acme", ACCESS_GRANTED },
  { CONFIG_REMOVED, "acme", "keyed", false, "other", ACCESS_NO_JOB },
  { CONFIG_REMOVED, "acme", "public", true, NULL, ACCESS_NO_JOB },
  { CONFIG_REMOVED, "acme", "public", true, "other", ACCESS_NO_JOB },
  { CONFIG_REMOVED, "acme", "public", true, "acme", ACCESS_GRANTED },
  { CONFIG_REMOVED, "", "public", true, NULL, ACCESS_GRANTED },
  { CONFIG_REMOVED, "", "keyed", false, "other", ACCESS_GRANTED },
};

static rules_t *configs[CONFIG_COUNT];

static void
add_queue (config_t config, const char *name, bool is_public)
{
  rules_queue_t queue = { .name = g_intern_string (name),
                          .host = "h",
                          .path_prefix = "/",
                          .is_public = is_public };

  g_array_append_val (configs[config]->queues, queue);
}

static void
set_up (void)
{
  for (config_t config = 0; config < CONFIG_COUNT; config++)
    {
      configs[config] = rules_new (1);
      add_queue (config, "keyed", false);
      add_queue (config, "public", true);
    }
  add_queue (CONFIG_KEYED, "own", false);
  add_queue (CONFIG_PUBLIC, "own", true);
}

static void
tear_down (void)
{
  for (config_t config = 0; config < CONFIG_COUNT; config++)
    rules_free (configs[config]);
}

/* Guards against a job that is read or cancelled by a call that its queue
   would refuse (CONFIG), and against one that nobody reaches after its queue
   was renamed, removed or turned public.  */
START_TEST (test_calls_reach_a_job_at_its_own_queue)
{
  for (uint32_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const row_t *row = &rows[i];
      access_call_t call = { .queue = g_intern_string (row->queue),
                             .is_public = row->is_public,
                             .holder = g_intern_string (row->holder) };

      ck_assert_msg (access_decide (configs[row->config], &call,
                                    g_intern_string ("own"),
                                    g_intern_string (row->job_workspace))
                         == row->access,
                     "row %u", i);
    }
}
END_TEST

/* Guards against a cancelling at one queue that voids submissions at another
   one.  */
START_TEST (test_scopes_differ)
{
  ck_assert_uint_ne (access_scope ("q", "acme"), access_scope ("q", ""));
  ck_assert_uint_ne (access_scope ("q", "acme"), access_scope ("p", "acme"));
  ck_assert_uint_ne (access_scope ("q", "acme"), access_scope ("qa", "cme"));
}
END_TEST

TEST_PROGRAM_WITH ("jobs/access", set_up, tear_down,
                   test_calls_reach_a_job_at_its_own_queue, test_scopes_differ)
