#include "../../test/run_suite.h"
#include "rules.h"

static rules_t *rules;

static void
add_queue (const char *name, const char *host, const char *prefix)
{
  rules_queue_t queue = { .name = g_intern_string (name),
                          .host = host,
                          .path_prefix = prefix,
                          .settings = { .service = g_intern_string ("s") } };

  g_array_append_val (rules->queues, queue);
}

static void
set_up (void)
{
  rules = rules_new (3);
  add_queue ("short", "a.example", "/x/");
  add_queue ("long", "a.example", "/x/y/");
  add_queue ("other", "b.example", "/x/");
}

static void
tear_down (void)
{
  rules_free (rules);
}

static const char *
queue_for (const char *host, const char *path)
{
  const rules_queue_t *queue = rules_match_queue (rules, host, path);

  return queue ? queue->name : "-";
}

/* Guards against sending a job to another queue than the request named.  */
START_TEST (test_longest_prefix_of_the_host_wins)
{
  ck_assert_str_eq (queue_for ("a.example", "/x/1"), "short");
  ck_assert_str_eq (queue_for ("a.example", "/x/y/1"), "long");
  ck_assert_str_eq (queue_for ("A.Example", "/x/1"), "short");
  ck_assert_str_eq (queue_for ("b.example", "/x/y/1"), "other");
  ck_assert_str_eq (queue_for ("c.example", "/x/1"), "-");
  ck_assert_str_eq (queue_for ("a.example", "/z/"), "-");
}
END_TEST

/* Guards against access to a workspace with a key that was not granted.  */
START_TEST (test_only_granted_keys_match)
{
  const char *space = g_intern_string ("acme");

  rules_add_key (rules, "secret", space);
  ck_assert_ptr_eq (rules_workspace_for_key (rules, "secret"), space);
  ck_assert_ptr_null (rules_workspace_for_key (rules, "secre"));
  ck_assert_ptr_null (rules_workspace_for_key (rules, ""));
}
END_TEST

/* Guards against a lookup that takes an unknown name, or one of another kind,
   for a queue, a service or a workspace.  */
START_TEST (test_names_are_found_by_pointer)
{
  ck_assert_ptr_nonnull (rules_queue (rules, g_intern_string ("long")));
  ck_assert_ptr_null (rules_queue (rules, g_intern_string ("none")));
  ck_assert_ptr_null (rules_service (rules, g_intern_string ("s")));
  ck_assert_ptr_null (rules_workspace (NULL, "acme"));
}
END_TEST

TEST_PROGRAM_WITH ("jobs/rules", set_up, tear_down,
                   test_longest_prefix_of_the_host_wins,
                   test_only_granted_keys_match,
                   test_names_are_found_by_pointer)
