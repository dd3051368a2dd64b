#include "commands.h"
#include <string.h>

#define ARGS_MAX 24
#define DEFAULT_SETTINGS "settings.yaml"

/* Arguments of a program; the first is set to its path by proc_start.  */
typedef struct argv
{
  const char *items[ARGS_MAX];
  uint32_t count;
} argv_t;

static void
add_option (argv_t *argv, const char *option, const char *value)
{
  if (argv->count == 0)
    argv->count = 1;
  if (!value || argv->count + 2 >= ARGS_MAX)
    return;
  if (option)
    argv->items[argv->count++] = option;
  argv->items[argv->count++] = value;
}

bool
start_log (const cmd_t *cmd, GError **error)
{
  const char *name = cmd->args[0];
  g_autofree char *ready = proc_ready_path (name);
  g_autofree char *url = NULL;
  argv_t argv = { 0 };

  add_option (&argv, "--port", "0");
  add_option (&argv, "--ready", ready);
  if (!proc_start (PROC_LOG, name, "standin_log", argv.items, true, error))
    return false;
  url = command_url (name, "port", "", error);
  script_set (name, "url", url);
  return true;
}

bool
start_upstream (const cmd_t *cmd, GError **error)
{
  const char *name = cmd->args[0];
  g_autofree char *ready = proc_ready_path (name);
  argv_t argv = { 0 };

  add_option (&argv, "--name", name);
  add_option (&argv, "--ready", ready);
  add_option (&argv, "--port", script_get (name, "keep_port"));
  add_option (&argv, "--slots", script_option (cmd, "slots", NULL));
  add_option (&argv, "--bytes", script_option (cmd, "bytes", NULL));
  add_option (&argv, "--delay-ms", script_option (cmd, "delay_ms", NULL));
  if (!proc_start (PROC_UPSTREAM, name, "standin_upstream", argv.items, true,
                   error))
    return false;
  /* The fleet file contains the port, so a restarted upstream needs the same
     one.  */
  script_set (name, "keep_port", script_get (name, "port"));
  return true;
}

bool
start_proxy (const cmd_t *cmd, GError **error)
{
  const char *name = cmd->args[0];
  g_autofree char *ready = proc_ready_path (name);
  g_autofree char *to = NULL;
  g_autofree char *url = NULL;
  g_auto (GStrv) parts = g_strsplit (script_option (cmd, "to", ""), ".", 2);
  const char *port
      = parts[0] && parts[1] ? script_get (parts[0], parts[1]) : NULL;
  argv_t argv = { 0 };

  if (!port)
    return scenario_fail (error, "expected to=PROCESS.port");
  to = g_strconcat ("127.0.0.1:", port, NULL);
  add_option (&argv, "--to", to);
  add_option (&argv, "--ready", ready);
  if (!proc_start (PROC_PROXY, name, "fault_proxy", argv.items, true, error))
    return false;
  url = command_url (name, "port", "", error);
  script_set (name, "url", url);
  return true;
}

/* The platform of a daemon: log=PROCESS, or the first log.  */
static const char *
platform_url (const cmd_t *cmd)
{
  const proc_t *log = proc_nth (PROC_LOG, 0);
  const char *name = script_option (cmd, "log", log ? log->name : "");

  return script_get (name, "url");
}

static bool
write_settings (const cmd_t *cmd, const char *path, GError **error)
{
  static const char *const limits[][2] = {
    { "threads", "2" },
    { "stop_ms", "35000" },
    { "drain_ms", "0" },
  };
  const char *name = cmd->args[0];
  const char *url = platform_url (cmd);
  g_autofree char *ready = proc_ready_path (name);
  g_autofree char *source
      = command_path (cmd, script_option (cmd, "settings", DEFAULT_SETTINGS));
  g_autofree char *text = NULL;
  g_autofree char *expanded = NULL;

  if (!url)
    return scenario_fail (error, "no log was started");
  script_set (name, "name", name);
  script_set (name, "dc", script_option (cmd, "dc", "dc1"));
  script_set (name, "ready", ready);
  script_set (name, "platform", url);
  for (size_t i = 0; i < G_N_ELEMENTS (limits); i++)
    script_set (name, limits[i][0],
                script_option (cmd, limits[i][0], limits[i][1]));
  if (!g_file_get_contents (source, &text, NULL, error))
    return false;
  expanded = script_expand (text, name, error);
  return expanded && g_file_set_contents (path, expanded, -1, error);
}

bool
start_daemon (const cmd_t *cmd, GError **error)
{
  const char *name = cmd->args[0];
  g_autofree char *path
      = g_strdup_printf ("%s/%s.settings.yaml", procs_dir (), name);
  argv_t argv = { 0 };

  add_option (&argv, NULL, path);
  return write_settings (cmd, path, error)
         && proc_start (PROC_DAEMON, name, "cuminpind", argv.items, true,
                        error);
}
