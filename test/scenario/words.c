#include "words.h"
#include <string.h>

#define RETRY_MS 20

/* Arguments that each word needs at least, and whether it acts, so that the
   bound of the waits that follow counts from it.  */
static const struct
{
  uint32_t args;
  bool acts;
} rows[WORD_COUNT] = {
  [WORD_LOG] = { 1, true },
  [WORD_UPSTREAM] = { 1, true },
  [WORD_PROXY] = { 2, true },
  [WORD_DAEMON] = { 1, true },
  [WORD_PUBLISH] = { 1, true },
  [WORD_WITHDRAW] = { 1, true },
  [WORD_WAVE] = { 2, true },
  [WORD_RACE] = { 5, true },
  [WORD_FLEET] = { 1, false },
  [WORD_FAULT] = { 2, true },
  [WORD_LOGFAULT] = { 1, true },
  [WORD_PROXYFAULT] = { 2, true },
  [WORD_LIVE] = { 2, true },
  [WORD_APPEND] = { 2, true },
  [WORD_SIGNAL] = { 2, true },
  [WORD_STOPPED_FOR] = { 2, false },
  [WORD_EXPECT_EXIT] = { 2, false },
  [WORD_REQUEST] = { 3, false },
  [WORD_SEND] = { 3, true },
  [WORD_ANSWERS] = { 1, false },
  [WORD_REFUSED] = { 1, false },
  [WORD_LOAD] = { 3, true },
  [WORD_ENDLOAD] = { 1, false },
  [WORD_CHECK] = { 2, false },
  [WORD_NO_DOUBLE_RUNS] = { 0, false },
  [WORD_WITHIN] = { 2, false },
};

static int64_t acted_us;

char *
words_path (const cmd_t *cmd, const char *file)
{
  g_autofree char *dir = g_path_get_dirname (cmd->file);

  return g_build_filename (dir, file, NULL);
}

char *
words_url (const char *name, const char *port_field, const char *path,
           GError **error)
{
  const char *port = script_get (name, port_field);

  if (port)
    return g_strdup_printf ("http://127.0.0.1:%s%s", port, path);
  scenario_fail (error, "there is no process \"%s\" with a %s", name,
                 port_field);
  return NULL;
}

/* Repeats the line after MS until it holds; the bound counts from the end of
   the last line that acted.  */
static bool
run_within (const cmd_t *cmd, GError **error)
{
  int64_t due_us = acted_us + (int64_t)strtoul (cmd->args[0], NULL, 10) * 1000;
  cmd_t *inner
      = script_parse (cmd->file, cmd->line, script_rest (cmd, 1), error);
  bool fatal = false;
  bool holds = false;

  while (inner && !holds && !fatal)
    {
      g_autoptr (GError) last = NULL;
      int64_t tried_us = clock_mono_us ();

      holds = words_run (inner, &fatal, &last);
      if (holds || fatal || tried_us >= due_us)
        {
          if (!holds)
            g_propagate_error (error, g_steal_pointer (&last));
          break;
        }
      fatal = !procs_wait (RETRY_MS, error);
    }
  script_free (inner);
  return holds;
}

static bool
run_word (const cmd_t *cmd, bool *fatal, GError **error)
{
  switch (cmd->word)
    {
    case WORD_LOG:
      return start_log (cmd, error);
    case WORD_UPSTREAM:
      return start_upstream (cmd, error);
    case WORD_PROXY:
      return start_proxy (cmd, error);
    case WORD_DAEMON:
      return start_daemon (cmd, error);
    case WORD_PUBLISH:
      return operator_publish (cmd, error);
    case WORD_WITHDRAW:
      return operator_withdraw (cmd, error);
    case WORD_WAVE:
      return operator_wave (cmd, error);
    case WORD_RACE:
      return operator_race (cmd, error);
    case WORD_FAULT:
      return control_fault (cmd, error);
    case WORD_LOGFAULT:
      return control_logfault (cmd, error);
    case WORD_PROXYFAULT:
      return control_proxyfault (cmd, error);
    case WORD_LIVE:
      return control_live (cmd, error);
    case WORD_APPEND:
      return control_append (cmd, error);
    case WORD_SIGNAL:
      return control_signal (cmd, error);
    case WORD_STOPPED_FOR:
      return control_stopped_for (cmd, error);
    case WORD_EXPECT_EXIT:
      return control_expect_exit (cmd, error);
    case WORD_REQUEST:
      return verify_request (cmd, fatal, error);
    case WORD_SEND:
      return verify_send (cmd, true, error);
    case WORD_ANSWERS:
      return verify_answers (cmd, error);
    case WORD_REFUSED:
      return verify_refused (cmd, error);
    case WORD_LOAD:
      return verify_send (cmd, false, error);
    case WORD_ENDLOAD:
      return verify_endload (cmd, error);
    case WORD_CHECK:
      return verify_check (cmd, error);
    case WORD_FLEET:
      return operator_fleet (cmd, fatal, error);
    case WORD_NO_DOUBLE_RUNS:
      return verify_no_double_runs (cmd, error);
    case WORD_WITHIN:
      return run_within (cmd, error);
    case WORD_COUNT:
      break;
    }
  return scenario_fail (error, "unknown word");
}

bool
words_run (const cmd_t *cmd, bool *fatal, GError **error)
{
  bool holds;

  if (cmd->args_count < rows[cmd->word].args)
    return scenario_fail (error, "expected at least %u arguments",
                          rows[cmd->word].args);
  holds = run_word (cmd, fatal, error);
  if (rows[cmd->word].acts)
    acted_us = clock_mono_us ();
  return holds;
}
