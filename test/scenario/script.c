#include "conf.h"
#include "scenario.h"
#include "support.h"
#include <stdarg.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static const char *const command_names[CMD_COUNT] = {
  [CMD_LOG] = "log",
  [CMD_UPSTREAM] = "upstream",
  [CMD_PROXY] = "proxy",
  [CMD_DAEMON] = "daemon",
  [CMD_PUBLISH] = "publish",
  [CMD_WITHDRAW] = "withdraw",
  [CMD_WAVE] = "wave",
  [CMD_RACE] = "race",
  [CMD_FAULT] = "fault",
  [CMD_LOGFAULT] = "logfault",
  [CMD_PROXYFAULT] = "proxyfault",
  [CMD_LIVE] = "live",
  [CMD_APPEND] = "append",
  [CMD_SIGNAL] = "signal",
  [CMD_STOPPED_FOR] = "stopped-for",
  [CMD_EXPECT_EXIT] = "expect-exit",
  [CMD_REQUEST] = "request",
  [CMD_SEND] = "send",
  [CMD_ANSWERS] = "answers",
  [CMD_REFUSED] = "refused",
  [CMD_LOAD] = "load",
  [CMD_ENDLOAD] = "endload",
  [CMD_CHECK] = "check",
  [CMD_FLEET] = "fleet",
  [CMD_NO_DOUBLE_RUNS] = "no-double-runs",
  [CMD_WITHIN] = "within",
};

static GHashTable *variables;

G_DEFINE_QUARK (scenario - error, scenario_error)

bool
scenario_fail (GError **error, const char *format, ...)
{
  g_autofree char *text = NULL;
  va_list args;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  g_set_error_literal (error, SCENARIO_ERROR, 0, text);
  return false;
}

cmd_t *
script_parse (const char *file, uint32_t line, const char *text,
              GError **error)
{
  g_auto (GStrv) parts = g_strsplit_set (text, " \t", -1);
  g_autoptr (GPtrArray) args = g_ptr_array_new ();
  cmd_t *cmd;
  int kind = 0;

  for (char **part = parts; *part; part++)
    if (**part)
      g_ptr_array_add (args, *part);
  while (kind < CMD_COUNT
         && strcmp (command_names[kind], g_ptr_array_index (args, 0)) != 0)
    kind++;
  if (kind == CMD_COUNT)
    {
      scenario_fail (error, "unknown command \"%s\"",
                     (char *)g_ptr_array_index (args, 0));
      return NULL;
    }
  cmd = g_new0 (cmd_t, 1);
  cmd->kind = (cmd_kind_t)kind;
  cmd->file = file;
  cmd->line = line;
  cmd->text = g_strdup (text);
  cmd->args_count = args->len - 1;
  cmd->args = g_new0 (char *, args->len);
  for (uint32_t i = 0; i < cmd->args_count; i++)
    cmd->args[i] = g_strdup (g_ptr_array_index (args, i + 1));
  return cmd;
}

void
script_free (cmd_t *cmd)
{
  if (!cmd)
    return;
  g_strfreev (cmd->args);
  g_free (cmd->text);
  g_free (cmd);
}

const char *
script_option (const cmd_t *cmd, const char *name, const char *fallback)
{
  size_t len = strlen (name);

  for (uint32_t i = 0; i < cmd->args_count; i++)
    if (strncmp (cmd->args[i], name, len) == 0 && cmd->args[i][len] == '=')
      return cmd->args[i] + len + 1;
  return fallback;
}

uint32_t
script_number (const cmd_t *cmd, const char *name, uint32_t fallback)
{
  const char *value = script_option (cmd, name, NULL);

  return value ? (uint32_t)strtoul (value, NULL, 10) : fallback;
}

const char *
script_tail (const cmd_t *cmd, uint32_t index)
{
  const char *at = cmd->text;

  for (uint32_t i = 0; i <= index; i++)
    {
      at += strcspn (at, " \t");
      at += strspn (at, " \t");
    }
  return at;
}

static char *
variable_name (const char *name, const char *field)
{
  return g_strconcat (name, ".", field, NULL);
}

void
script_set (const char *name, const char *field, const char *value)
{
  if (!variables)
    variables
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (variables, variable_name (name, field),
                       g_strdup (value));
}

/* Reserves a port until this process exits: a socket that is bound but does
   not listen keeps the kernel from assigning the port, while the daemon can
   bind it, because both set SO_REUSEADDR.  */
static char *
reserve_port (void)
{
  uint16_t port = 0;
  int fd = support_listen ("127.0.0.1", &port);

  close (fd);
  fd = support_listen ("127.0.0.1", &port);
  shutdown (fd, SHUT_RDWR);
  return g_strdup_printf ("%u", port);
}

const char *
script_get (const char *name, const char *field)
{
  g_autofree char *full = variable_name (name, field);
  g_autofree char *generated = NULL;
  const char *value = variables ? g_hash_table_lookup (variables, full) : NULL;
  char digest[KEY_DIGEST_HEX + 1];

  if (value)
    return value;
  if (strcmp (field, "peer_port") == 0)
    generated = reserve_port ();
  else if (strcmp (name, "digest") == 0)
    {
      key_digest (field, strlen (field), digest);
      generated = g_strdup (digest);
    }
  else
    return NULL;
  script_set (name, field, generated);
  return g_hash_table_lookup (variables, full);
}

static bool
expand_variable (GString *out, const char *name, const char *self,
                 GError **error)
{
  g_auto (GStrv) parts = g_strsplit (name, ".", 2);
  const char *value = NULL;

  if (parts[0] && parts[1])
    value = script_get (
        self && strcmp (parts[0], "self") == 0 ? self : parts[0], parts[1]);
  if (!value)
    return scenario_fail (error, "${%s} has no value", name);
  g_string_append (out, value);
  return true;
}

char *
script_expand (const char *text, const char *self, GError **error)
{
  GString *out = g_string_new (NULL);
  const char *start;

  while ((start = strstr (text, "${")))
    {
      const char *end = strchr (start, '}');
      g_autofree char *name
          = end ? g_strndup (start + 2, (gsize)(end - start - 2)) : NULL;

      g_string_append_len (out, text, start - text);
      if (!name || !expand_variable (out, name, self, error))
        {
          g_string_free (out, TRUE);
          return NULL;
        }
      text = end + 1;
    }
  g_string_append (out, text);
  return g_string_free (out, FALSE);
}
