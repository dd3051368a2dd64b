#include "commands.h"
#include <string.h>

#define RETRY_DELAY_MS 20

/* The minimum number of arguments of each command, and whether it is an
   action: the timeout of "within" counts from the end of the last action.  */
static const struct
{
  uint32_t args;
  bool is_action;
} commands[CMD_COUNT] = {
  [CMD_LOG] = { 1, true },
  [CMD_UPSTREAM] = { 1, true },
  [CMD_PROXY] = { 2, true },
  [CMD_DAEMON] = { 1, true },
  [CMD_PUBLISH] = { 1, true },
  [CMD_WITHDRAW] = { 1, true },
  [CMD_WAVE] = { 2, true },
  [CMD_RACE] = { 5, true },
  [CMD_FLEET] = { 1, false },
  [CMD_FAULT] = { 2, true },
  [CMD_LOGFAULT] = { 1, true },
  [CMD_PROXYFAULT] = { 2, true },
  [CMD_LIVE] = { 2, true },
  [CMD_APPEND] = { 2, true },
  [CMD_SIGNAL] = { 2, true },
  [CMD_STOPPED_FOR] = { 2, false },
  [CMD_EXPECT_EXIT] = { 2, false },
  [CMD_REQUEST] = { 3, false },
  [CMD_SEND] = { 3, true },
  [CMD_ANSWERS] = { 1, false },
  [CMD_REFUSED] = { 1, false },
  [CMD_LOAD] = { 3, true },
  [CMD_ENDLOAD] = { 1, false },
  [CMD_CHECK] = { 2, false },
  [CMD_NO_DOUBLE_RUNS] = { 0, false },
  [CMD_WITHIN] = { 2, false },
};

static int64_t last_action_us;

char *
command_path (const cmd_t *cmd, const char *file)
{
  g_autofree char *dir = g_path_get_dirname (cmd->file);

  return g_build_filename (dir, file, NULL);
}

char *
command_url (const char *name, const char *port_field, const char *path,
             GError **error)
{
  const char *port = script_get (name, port_field);

  if (port)
    return g_strdup_printf ("http://127.0.0.1:%s%s", port, path);
  scenario_fail (error, "there is no process \"%s\" with a %s", name,
                 port_field);
  return NULL;
}

/* Retries the command after MS until it succeeds; the timeout counts from the
   end of the last action.  */
static bool
retry_within (const cmd_t *cmd, GError **error)
{
  int64_t due_us
      = last_action_us + (int64_t)strtoul (cmd->args[0], NULL, 10) * 1000;
  cmd_t *inner
      = script_parse (cmd->file, cmd->line, script_tail (cmd, 1), error);
  bool fatal = false;
  bool holds = false;

  while (inner && !holds && !fatal)
    {
      g_autoptr (GError) last = NULL;
      int64_t tried_us = clock_mono_us ();

      holds = command_run (inner, &fatal, &last);
      if (holds || fatal || tried_us >= due_us)
        {
          if (!holds)
            g_propagate_error (error, g_steal_pointer (&last));
          break;
        }
      fatal = !procs_wait (RETRY_DELAY_MS, error);
    }
  script_free (inner);
  return holds;
}

static bool
dispatch (const cmd_t *cmd, bool *fatal, GError **error)
{
  switch (cmd->kind)
    {
    case CMD_LOG:
      return start_log (cmd, error);
    case CMD_UPSTREAM:
      return start_upstream (cmd, error);
    case CMD_PROXY:
      return start_proxy (cmd, error);
    case CMD_DAEMON:
      return start_daemon (cmd, error);
    case CMD_PUBLISH:
      return operator_publish (cmd, error);
    case CMD_WITHDRAW:
      return operator_withdraw (cmd, error);
    case CMD_WAVE:
      return operator_wave (cmd, error);
    case CMD_RACE:
      return operator_race (cmd, error);
    case CMD_FAULT:
      return control_fault (cmd, error);
    case CMD_LOGFAULT:
      return control_logfault (cmd, error);
    case CMD_PROXYFAULT:
      return control_proxyfault (cmd, error);
    case CMD_LIVE:
      return control_live (cmd, error);
    case CMD_APPEND:
      return control_append (cmd, error);
    case CMD_SIGNAL:
      return control_signal (cmd, error);
    case CMD_STOPPED_FOR:
      return control_stopped_for (cmd, error);
    case CMD_EXPECT_EXIT:
      return control_expect_exit (cmd, error);
    case CMD_REQUEST:
      return verify_request (cmd, fatal, error);
    case CMD_SEND:
      return verify_send (cmd, true, error);
    case CMD_ANSWERS:
      return verify_answers (cmd, error);
    case CMD_REFUSED:
      return verify_refused (cmd, error);
    case CMD_LOAD:
      return verify_send (cmd, false, error);
    case CMD_ENDLOAD:
      return verify_endload (cmd, error);
    case CMD_CHECK:
      return verify_check (cmd, error);
    case CMD_FLEET:
      return operator_fleet (cmd, fatal, error);
    case CMD_NO_DOUBLE_RUNS:
      return verify_no_double_runs (cmd, error);
    case CMD_WITHIN:
      return retry_within (cmd, error);
    case CMD_COUNT:
      break;
    }
  return scenario_fail (error, "unknown command");
}

bool
command_run (const cmd_t *cmd, bool *fatal, GError **error)
{
  bool holds;

  if (cmd->args_count < commands[cmd->kind].args)
    return scenario_fail (error, "expected at least %u arguments",
                          commands[cmd->kind].args);
  holds = dispatch (cmd, fatal, error);
  if (commands[cmd->kind].is_action)
    last_action_us = clock_mono_us ();
  return holds;
}
