/* scenario - runs one script; usage:

     scenario --program NAME=PATH ... SCRIPT

   Exit status 0 when every command succeeded and every process stopped
   cleanly.  */

#include "scenario.h"
#include "support.h"
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PROGRAMS_MAX 16

static void
report (const char *file, uint32_t line, const char *text, int64_t start_us,
        const GError *error)
{
  printf ("%s:%u: %s: %s (%.3f s)\n", file, line, text,
          error ? error->message : "ok",
          (double)(clock_mono_us () - start_us) / 1e6);
  fflush (stdout);
}

static bool
run_line (const char *file, uint32_t number, const char *text)
{
  g_autoptr (GError) error = NULL;
  int64_t start_us = clock_mono_us ();
  cmd_t *cmd = script_parse (file, number, text, &error);
  bool fatal = false;
  bool holds
      = cmd && command_run (cmd, &fatal, &error) && procs_wait (0, &error);

  report (file, number, text, start_us, error);
  script_free (cmd);
  return holds;
}

static bool
run_script (const char *path)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  g_autofree char *file = g_path_get_basename (path);
  g_auto (GStrv) lines = NULL;
  bool holds = true;
  int64_t start_us;

  if (!g_file_get_contents (path, &text, NULL, &error))
    {
      printf ("%s\n", error->message);
      return false;
    }
  lines = g_strsplit (text, "\n", -1);
  for (uint32_t i = 0; lines[i] && holds; i++)
    {
      g_strstrip (lines[i]);
      if (lines[i][0] && lines[i][0] != '#')
        holds = run_line (path, i + 1, lines[i]);
    }
  start_us = clock_mono_us ();
  if (!procs_stop (&error))
    {
      report (file, 0, "stopping the processes", start_us, error);
      holds = false;
    }
  return holds;
}

static GHashTable *
read_programs (const struct arg_str *programs)
{
  GHashTable *table
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);

  for (int i = 0; i < programs->count; i++)
    {
      g_auto (GStrv) parts = g_strsplit (programs->sval[i], "=", 2);

      if (parts[0] && parts[1])
        g_hash_table_insert (table, g_strdup (parts[0]), g_strdup (parts[1]));
    }
  return table;
}

static void
remove_dir (const char *path)
{
  GDir *dir = g_dir_open (path, 0, NULL);
  const char *name;

  while (dir && (name = g_dir_read_name (dir)))
    {
      g_autofree char *file = g_build_filename (path, name, NULL);

      remove (file);
    }
  if (dir)
    g_dir_close (dir);
  remove (path);
}

int
main (int argc, char **argv)
{
  struct arg_str *programs = arg_strn (NULL, "program", "NAME=PATH", 0,
                                       PROGRAMS_MAX, "programs to start");
  struct arg_str *script = arg_str1 (NULL, NULL, "SCRIPT", "what to run");
  struct arg_end *end = arg_end (10);
  void *table[] = { programs, script, end };
  g_autofree char *dir = NULL;
  GHashTable *paths;
  bool holds;

  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, argv[0]);
      return EXIT_FAILURE;
    }
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  dir = g_dir_make_tmp ("cuminpin-XXXXXX", NULL);
  paths = read_programs (programs);
  procs_init (paths, dir);
  holds = run_script (script->sval[0]);
  if (!holds)
    procs_print_logs ();
  remove_dir (dir);
  g_hash_table_destroy (paths);
  arg_freetable (table, G_N_ELEMENTS (table));
  return holds ? EXIT_SUCCESS : EXIT_FAILURE;
}
