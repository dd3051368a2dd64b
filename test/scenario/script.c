#include "conf.h"
#include "scenario.h"
#include "support.h"
#include <stdarg.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static const char *const names[WORD_COUNT] = {
  [WORD_LOG] = "log",
  [WORD_UPSTREAM] = "upstream",
  [WORD_PROXY] = "proxy",
  [WORD_DAEMON] = "daemon",
  [WORD_PUBLISH] = "publish",
  [WORD_WITHDRAW] = "withdraw",
  [WORD_WAVE] = "wave",
  [WORD_RACE] = "race",
  [WORD_FAULT] = "fault",
  [WORD_LOGFAULT] = "logfault",
  [WORD_PROXYFAULT] = "proxyfault",
  [WORD_LIVE] = "live",
  [WORD_APPEND] = "append",
  [WORD_SIGNAL] = "signal",
  [WORD_STOPPED_FOR] = "stopped-for",
  [WORD_EXPECT_EXIT] = "expect-exit",
  [WORD_REQUEST] = "request",
  [WORD_SEND] = "send",
  [WORD_ANSWERS] = "answers",
  [WORD_REFUSED] = "refused",
  [WORD_LOAD] = "load",
  [WORD_ENDLOAD] = "endload",
  [WORD_CHECK] = "check",
  [WORD_FLEET] = "fleet",
  [WORD_NO_DOUBLE_RUNS] = "no-double-runs",
  [WORD_WITHIN] = "within",
};

static GHashTable *values;

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
  g_auto (GStrv) words = g_strsplit_set (text, " \t", -1);
  g_autoptr (GPtrArray) args = g_ptr_array_new ();
  cmd_t *cmd;
  int word = 0;

  for (char **part = words; *part; part++)
    if (**part)
      g_ptr_array_add (args, *part);
  while (word < WORD_COUNT
         && strcmp (names[word], g_ptr_array_index (args, 0)) != 0)
    word++;
  if (word == WORD_COUNT)
    {
      scenario_fail (error, "unknown word \"%s\"",
                     (char *)g_ptr_array_index (args, 0));
      return NULL;
    }
  cmd = g_new0 (cmd_t, 1);
  cmd->word = (word_t)word;
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
script_rest (const cmd_t *cmd, uint32_t index)
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
value_name (const char *name, const char *field)
{
  return g_strconcat (name, ".", field, NULL);
}

void
script_set (const char *name, const char *field, const char *value)
{
  if (!values)
    values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (values, value_name (name, field), g_strdup (value));
}

/* A socket that is bound and does not listen keeps the port from others until
   this process ends, and does not hinder the daemon, as both set
   SO_REUSEADDR.  */
static char *
keep_port (void)
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
  g_autofree char *full = value_name (name, field);
  g_autofree char *made = NULL;
  const char *value = values ? g_hash_table_lookup (values, full) : NULL;
  char digest[KEY_DIGEST_HEX + 1];

  if (value)
    return value;
  if (strcmp (field, "peer_port") == 0)
    made = keep_port ();
  else if (strcmp (name, "digest") == 0)
    {
      key_digest (field, strlen (field), digest);
      made = g_strdup (digest);
    }
  else
    return NULL;
  script_set (name, field, made);
  return g_hash_table_lookup (values, full);
}

static bool
fill_one (GString *out, const char *name, const char *self, GError **error)
{
  g_auto (GStrv) parts = g_strsplit (name, ".", 2);
  const char *value = NULL;

  if (parts[0] && parts[1])
    value = script_get (
        self && strcmp (parts[0], "self") == 0 ? self : parts[0], parts[1]);
  if (!value)
    return scenario_fail (error, "nothing is known as ${%s}", name);
  g_string_append (out, value);
  return true;
}

char *
script_fill (const char *text, const char *self, GError **error)
{
  GString *out = g_string_new (NULL);
  const char *start;

  while ((start = strstr (text, "${")))
    {
      const char *end = strchr (start, '}');
      g_autofree char *name
          = end ? g_strndup (start + 2, (gsize)(end - start - 2)) : NULL;

      g_string_append_len (out, text, start - text);
      if (!name || !fill_one (out, name, self, error))
        {
          g_string_free (out, TRUE);
          return NULL;
        }
      text = end + 1;
    }
  g_string_append (out, text);
  return g_string_free (out, FALSE);
}
