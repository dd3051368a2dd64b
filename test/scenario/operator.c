#include "commands.h"
#include <stdio.h>
#include <string.h>

#define TOOL_TIMEOUT_US 30000000
#define TOOL_ARGS_MAX 16
#define RACE_COMMANDS 2

/* A run of cuminpin; the first argument is set to its path by proc_start.  */
typedef struct tool
{
  const char *argv[TOOL_ARGS_MAX + 1];
  uint32_t count;
  proc_t *proc;
  char *output;
} tool_t;

/* The platform that cuminpin uses: log=PROCESS, or the first log.  */
static const char *
operator_url (const cmd_t *cmd)
{
  const proc_t *log = proc_nth (PROC_LOG, 0);

  return script_get (script_option (cmd, "log", log ? log->name : ""), "url");
}

static void
tool_add (tool_t *tool, const char *arg)
{
  if (tool->count < TOOL_ARGS_MAX)
    tool->argv[tool->count++] = arg;
}

static bool
tool_begin (tool_t *tool, const cmd_t *cmd, GError **error)
{
  const char *url = operator_url (cmd);

  memset (tool, 0, sizeof *tool);
  if (!url)
    return scenario_fail (error, "no log was started");
  tool_add (tool, NULL);
  tool_add (tool, "--platform");
  tool_add (tool, url);
  return true;
}

static bool
tool_start (tool_t *tool, GError **error)
{
  static uint32_t runs;
  g_autofree char *name = g_strdup_printf ("cuminpin-%u", ++runs);

  tool->proc
      = proc_start (PROC_TOOL, name, "cuminpin", tool->argv, false, error);
  return tool->proc != NULL;
}

static bool
tool_end (tool_t *tool, GError **error)
{
  return proc_wait (tool->proc, clock_mono_us () + TOOL_TIMEOUT_US, error)
         && g_file_get_contents (tool->proc->log_path, &tool->output, NULL,
                                 error);
}

static bool
is_refused (const tool_t *tool, const char *text, GError **error)
{
  if (tool->proc->status == 1 && strstr (tool->output, text))
    return true;
  return scenario_fail (error,
                        "expected status 1 and \"%s\", found %d and: %s", text,
                        tool->proc->status, tool->output);
}

/* Runs cuminpin and expects it to succeed or, when argument INDEX of CMD is
   "fails", to be refused with the text that follows.  */
static bool
tool_run (tool_t *tool, const cmd_t *cmd, uint32_t index, GError **error)
{
  bool fails
      = cmd->args_count > index && strcmp (cmd->args[index], "fails") == 0;
  bool holds = tool_start (tool, error) && tool_end (tool, error);

  if (holds && fails)
    holds = is_refused (tool, script_tail (cmd, index + 1), error);
  else if (holds && tool->proc->status != 0)
    holds = scenario_fail (error, "cuminpin exited with status %d: %s",
                           tool->proc->status, tool->output);
  g_free (tool->output);
  return holds;
}

/* Expands the template FILE in the script's directory; the path of the
   result.  */
static char *
expand_file (const cmd_t *cmd, const char *file, GError **error)
{
  g_autofree char *source = command_path (cmd, file);
  g_autofree char *path = g_strdup_printf ("%s/%s", procs_dir (), file);
  g_autofree char *text = NULL;
  g_autofree char *expanded = NULL;

  if (!g_file_get_contents (source, &text, NULL, error))
    return NULL;
  expanded = script_expand (text, NULL, error);
  if (!expanded || !g_file_set_contents (path, expanded, -1, error))
    return NULL;
  return g_steal_pointer (&path);
}

bool
operator_publish (const cmd_t *cmd, GError **error)
{
  g_autofree char *path = expand_file (cmd, cmd->args[0], error);
  tool_t tool;

  if (!path || !tool_begin (&tool, cmd, error))
    return false;
  tool_add (&tool, "publish");
  tool_add (&tool, path);
  return tool_run (&tool, cmd, 1, error);
}

bool
operator_withdraw (const cmd_t *cmd, GError **error)
{
  tool_t tool;

  if (!tool_begin (&tool, cmd, error))
    return false;
  tool_add (&tool, "withdraw");
  tool_add (&tool, cmd->args[0]);
  return tool_run (&tool, cmd, UINT32_MAX, error);
}

bool
operator_wave (const cmd_t *cmd, GError **error)
{
  tool_t tool;

  if (!tool_begin (&tool, cmd, error))
    return false;
  tool_add (&tool, "wave");
  tool_add (&tool, cmd->args[0]);
  tool_add (&tool, cmd->args[1]);
  return tool_run (&tool, cmd, 2, error);
}

/* Reads the arguments of cuminpin from *INDEX to the next "|".  A name that
   ends in .yaml is expanded as a template; its path is added to PATHS.  */
static bool
read_race_command (tool_t *tool, const cmd_t *cmd, uint32_t *index,
                   GPtrArray *paths, GError **error)
{
  if (!tool_begin (tool, cmd, error))
    return false;
  for (; *index < cmd->args_count; (*index)++)
    {
      char *arg = cmd->args[*index];

      if (strcmp (arg, "|") == 0)
        {
          (*index)++;
          return true;
        }
      if (g_str_has_suffix (arg, ".yaml"))
        {
          arg = expand_file (cmd, arg, error);
          if (!arg)
            return false;
          g_ptr_array_add (paths, arg);
        }
      tool_add (tool, arg);
    }
  return scenario_fail (error, "expected COMMAND | COMMAND | TEXT");
}

bool
operator_race (const cmd_t *cmd, GError **error)
{
  g_autoptr (GPtrArray) paths = g_ptr_array_new_with_free_func (g_free);
  tool_t tools[RACE_COMMANDS] = { 0 };
  uint32_t index = 0;
  bool holds = true;

  for (int i = 0; i < RACE_COMMANDS && holds; i++)
    holds = read_race_command (&tools[i], cmd, &index, paths, error);
  for (int i = 0; i < RACE_COMMANDS && holds; i++)
    holds = tool_start (&tools[i], error);
  for (int i = 0; i < RACE_COMMANDS && holds; i++)
    holds = tool_end (&tools[i], error);
  if (holds && tools[0].proc->status == 0)
    holds = is_refused (&tools[1], script_tail (cmd, index), error);
  else if (holds && tools[1].proc->status == 0)
    holds = is_refused (&tools[0], script_tail (cmd, index), error);
  else if (holds)
    holds = scenario_fail (error, "both commands failed: %s%s",
                           tools[0].output, tools[1].output);
  for (int i = 0; i < RACE_COMMANDS; i++)
    g_free (tools[i].output);
  return holds;
}

/* The output of "cuminpin --json status", with its lists converted to objects
   keyed by name.  */
static json_t *
read_fleet (const cmd_t *cmd, GError **error)
{
  static const char *const lists[][2]
      = { { "pools", "pool" }, { "waves", "wave" } };
  tool_t tool;
  json_t *fleet = NULL;

  if (!tool_begin (&tool, cmd, error))
    return NULL;
  tool_add (&tool, "--json");
  tool_add (&tool, "status");
  if (tool_start (&tool, error) && tool_end (&tool, error))
    {
      fleet = json_loads (tool.output, 0, NULL);
      /* Repeated checks would crowd out the other processes' output.  */
      remove (tool.proc->log_path);
    }
  if (!fleet && error && !*error)
    scenario_fail (error, "not JSON: %s", tool.output);
  g_free (tool.output);
  for (size_t i = 0; fleet && i < G_N_ELEMENTS (lists); i++)
    {
      json_t *named = json_object ();
      json_t *row;
      size_t at;

      json_array_foreach (json_object_get (fleet, lists[i][0]), at, row)
      {
        json_object_set (
            named, json_string_value (json_object_get (row, lists[i][1])),
            row);
      }
      json_object_set_new (fleet, lists[i][0], named);
    }
  return fleet;
}

static json_int_t
get_number (const json_t *row, const char *field)
{
  return json_integer_value (json_object_get (row, field));
}

/* Failed hosts use up the budget but can't be prevented, so exceeding it is an
   error only if the number of hosts taken out on purpose has grown.  */
static bool
check_budgets (const json_t *fleet, GError **error)
{
  static GHashTable *planned_before;
  json_t *pools = json_object_get (fleet, "pools");
  const char *name;
  json_t *pool;

  if (!planned_before)
    planned_before
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  json_object_foreach (pools, name, pool)
  {
    json_int_t planned = get_number (pool, "draining")
                         + get_number (pool, "drained")
                         + get_number (pool, "maintenance");
    json_int_t out = planned + get_number (pool, "failed");
    json_int_t before
        = GPOINTER_TO_INT (g_hash_table_lookup (planned_before, name));

    if (out > get_number (pool, "budget") && planned > before)
      return scenario_fail (error, "pool %s: %d hosts are out", name,
                            (int)out);
    g_hash_table_insert (planned_before, g_strdup (name),
                         GINT_TO_POINTER ((int)planned));
  }
  return true;
}

bool
operator_fleet (const cmd_t *cmd, bool *fatal, GError **error)
{
  json_t *fleet = read_fleet (cmd, error);
  bool holds = false;

  if (fleet)
    {
      *fatal = !check_budgets (fleet, error);
      holds = !*fatal && verify_fields (cmd, 0, fleet, error);
    }
  json_decref (fleet);
  return holds;
}
