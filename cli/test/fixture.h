/* Fixture of the tests of verbs: a log server, calls of verbs on it, and their
   output.  */

#ifndef CUMINPIN_CLI_FIXTURE_H
#define CUMINPIN_CLI_FIXTURE_H

#include "../../test/run_suite.h"
#include "cli.h"
#include "session.h"
#include <sodium.h>
#include <string.h>
#include <unistd.h>

#define FLEET                                                                 \
  "format: 1\ndata_centres:\n  - {name: d1, region: r}\n"                     \
  "racks:\n  - {name: k1, data_centre: d1}\n"                                 \
  "pools:\n  - {name: web, budget_hosts: 1}\n"                                \
  "hosts:\n  - {name: h1, rack: k1, pool: web}\n"                             \
  "  - {name: h2, rack: k1, pool: web}\n"                                     \
  "teams:\n  - {name: blue, share: 1, limit: 9}\n"                            \
  "waves:\n  - {name: w1, pools: [web]}\n"

static devlog_t *devlog;
static char *url;

/* Output of the last call.  */
static char *out;
static char *err;

static G_GNUC_UNUSED void
set_up (void)
{
  ck_assert_int_ge (sodium_init (), 0);
  devlog = devlog_start ("127.0.0.1", 0);
  ck_assert_ptr_nonnull (devlog);
  url = g_strdup_printf ("http://127.0.0.1:%u", devlog_port (devlog));
}

static G_GNUC_UNUSED void
tear_down (void)
{
  devlog_stop (devlog);
  g_clear_pointer (&url, g_free);
  g_clear_pointer (&out, free);
  g_clear_pointer (&err, free);
}

static G_GNUC_UNUSED cli_t
new_call (const char **args)
{
  cli_t cli = { .platform = url, .author = "olga", .args = args };

  while (args[cli.args_count])
    cli.args_count++;
  return cli;
}

/* Runs the verb NAME with CLI and INPUT on its standard input.  */
static G_GNUC_UNUSED cli_status_t
call_with (const char *name, cli_t cli, const char *input)
{
  cli_status_t status;
  size_t out_len;
  size_t err_len;

  free (out);
  free (err);
  cli.in = fmemopen ((void *)input, strlen (input), "r");
  cli.out = open_memstream (&out, &out_len);
  cli.err = open_memstream (&err, &err_len);
  status = verb_run (name, &cli);
  fclose (cli.in);
  fclose (cli.out);
  fclose (cli.err);
  return status;
}

/* call (NAME, ARGUMENT...) - runs the verb with the default options.  */
#define call(name, ...)                                                       \
  call_with (name, new_call ((const char *[]){ __VA_ARGS__, NULL }), " ")

/* Creates a file with TEXT, to be released with remove_file.  */
static G_GNUC_UNUSED char *
make_file (const char *text)
{
  char *path = NULL;
  int fd = g_file_open_tmp ("cuminpin-XXXXXX", &path, NULL);

  ck_assert_int_ge (fd, 0);
  close (fd);
  ck_assert (g_file_set_contents (path, text, -1, NULL));
  return path;
}

static G_GNUC_UNUSED void
remove_file (char *path)
{
  unlink (path);
  g_free (path);
}

static G_GNUC_UNUSED cli_status_t
publish (const char *text)
{
  char *path = make_file (text);
  cli_status_t status = call ("publish", path);

  remove_file (path);
  return status;
}

static G_GNUC_UNUSED void
set_faults (devlog_faults_t faults)
{
  devlog_set_faults (devlog, &faults);
}

/* Opens a session with the state after the whole log.  */
static G_GNUC_UNUSED session_t *
open_session (void)
{
  g_autoptr (GError) error = NULL;
  session_t *session = session_open (url, 0, &error);

  ck_assert_msg (session != NULL, "%s", error ? error->message : "");
  return session;
}

#endif
