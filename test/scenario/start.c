#include "words.h"
#include <string.h>

#define ARGS_MAX 24
#define SETTINGS_DEFAULT "settings.yaml"

/* Arguments for a program; the first is its path, set by proc_start.  */
typedef struct argv
{
  const char *words[ARGS_MAX];
  uint32_t count;
} argv_t;

static void
add (argv_t *argv, const char *option, const char *value)
{
  if (argv->count == 0)
    argv->count = 1;
  if (!value || argv->count + 2 >= ARGS_MAX)
    return;
  if (option)
    argv->words[argv->count++] = option;
  argv->words[argv->count++] = value;
}

bool
start_log (const cmd_t *cmd, GError **error)
{
  const char *name = cmd->args[0];
  g_autofree char *ready = proc_ready_path (name);
  g_autofree char *url = NULL;
  argv_t argv = { 0 };

  add (&argv, "--port", "0");
  add (&argv, "--ready", ready);
  if (!proc_start (PROC_LOG, name, "standin_log", argv.words, true, error))
    return false;
  url = words_url (name, "port", "", error);
  script_set (name, "url", url);
  return true;
}

bool
start_upstream (const cmd_t *cmd, GError **error)
{
  const char *name = cmd->args[0];
  g_autofree char *ready = proc_ready_path (name);
  argv_t argv = { 0 };

  add (&argv, "--name", name);
  add (&argv, "--ready", ready);
  add (&argv, "--port", script_get (name, "keep_port"));
  add (&argv, "--slots", script_option (cmd, "slots", NULL));
  add (&argv, "--bytes", script_option (cmd, "bytes", NULL));
  add (&argv, "--delay-ms", script_option (cmd, "delay_ms", NULL));
  if (!proc_start (PROC_UPSTREAM, name, "standin_upstream", argv.words, true,
                   error))
    return false;
  /* The fleet file names the port: one that is started again needs it.  */
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
  add (&argv, "--to", to);
  add (&argv, "--ready", ready);
  if (!proc_start (PROC_PROXY, name, "fault_proxy", argv.words, true, error))
    return false;
  url = words_url (name, "port", "", error);
  script_set (name, "url", url);
  return true;
}

/* The platform of a daemon: the process named in log=, or the first log.  */
static const char *
platform_url (const cmd_t *cmd)
{
  const proc_t *log = proc_at (PROC_LOG, 0);
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
      = words_path (cmd, script_option (cmd, "settings", SETTINGS_DEFAULT));
  g_autofree char *text = NULL;
  g_autofree char *filled = NULL;

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
  filled = script_fill (text, name, error);
  return filled && g_file_set_contents (path, filled, -1, error);
}

bool
start_daemon (const cmd_t *cmd, GError **error)
{
  const char *name = cmd->args[0];
  g_autofree char *path
      = g_strdup_printf ("%s/%s.settings.yaml", procs_dir (), name);
  argv_t argv = { 0 };

  add (&argv, NULL, path);
  return write_settings (cmd, path, error)
         && proc_start (PROC_DAEMON, name, "cuminpind", argv.words, true,
                        error);
}
