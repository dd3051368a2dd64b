#include "../../test/run_suite.h"
#include "../entry.h"
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* PF_EXITING of the kernel, in the flags of /proc/PID/task/TID/stat.  */
#define FLAG_EXITING 0x4
/* Fields of that file after the name in parentheses, up to the flags.  */
#define FIELDS_TO_FLAGS 7

/* Binds a TCP port of 127.0.0.1 and returns its descriptor.  */
static int
take_port (uint16_t *port)
{
  struct sockaddr_in self = { .sin_family = AF_INET };
  socklen_t len = sizeof self;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  self.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ck_assert_int_eq (bind (fd, (struct sockaddr *)&self, sizeof self), 0);
  ck_assert_int_eq (listen (fd, 1), 0);
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *)&self, &len), 0);
  *port = ntohs (self.sin_port);
  return fd;
}

/* Whether the thread TID still runs.  The kernel wakes a thread that joins
   another before it removes the other from /proc, so a thread that was joined
   may be listed; it is marked as exiting before that wake-up.  */
static bool
is_running (const char *tid)
{
  g_autofree char *path
      = g_build_filename ("/proc/self/task", tid, "stat", NULL);
  g_autofree char *text = NULL;
  g_auto (GStrv) fields = NULL;
  const char *name_end;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return false; /* removed since it was listed */
  name_end = strrchr (text, ')');
  ck_assert_ptr_nonnull (name_end);
  fields = g_strsplit (name_end + 2, " ", -1);
  ck_assert_uint_ge (g_strv_length (fields), FIELDS_TO_FLAGS);
  return !(g_ascii_strtoull (fields[FIELDS_TO_FLAGS - 1], NULL, 10)
           & FLAG_EXITING);
}

static uint32_t
count_threads (void)
{
  const char *tid;
  GDir *dir = g_dir_open ("/proc/self/task", 0, NULL);
  uint32_t count = 0;

  ck_assert_ptr_nonnull (dir);
  while ((tid = g_dir_read_name (dir)))
    count += is_running (tid);
  g_dir_close (dir);
  return count;
}

/* Runs a daemon whose listener NAME gets 127.0.0.1:PORT, which is taken, and
   the others free addresses; it has to fail.  Returns what it logs.  */
static char *
run_failing (const char *name, uint16_t port)
{
  static const char *const names[] = { "front", "ready", "peer" };
  g_autoptr (GString) addresses = g_string_new (NULL);
  g_autofree char *dir = g_dir_make_tmp ("entry-XXXXXX", NULL);
  g_autofree char *path = g_build_filename (dir, "settings.yaml", NULL);
  g_autofree char *log = g_build_filename (dir, "log", NULL);
  g_autofree char *text = NULL;
  int out = dup (STDOUT_FILENO);
  int to = open (log, O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
  char *logged = NULL;
  int status;

  for (uint32_t i = 0; i < G_N_ELEMENTS (names); i++)
    g_string_append_printf (addresses, "%s: 127.0.0.%u:%u\n", names[i],
                            strcmp (names[i], name) == 0 ? 1 : 2 + i, port);
  text = g_strdup_printf (
      "name: d0\ndata_centre: dc\n%sstore: 127.0.0.1:1\nhosts_api: \"\"\n"
      "cpu_share: 1.0\nhold_max_ms: 6000\nstop_grace_ms: 100\ngrace_s: 3\n"
      "keep_s: 8\n",
      addresses->str);
  ck_assert_int_ge (out, 0);
  ck_assert_int_ge (to, 0);
  ck_assert (g_file_set_contents (path, text, -1, NULL));
  dup2 (to, STDOUT_FILENO);
  status = entry_run (path);
  dup2 (out, STDOUT_FILENO);
  close (out);
  close (to);
  ck_assert_int_eq (status, EXIT_FAILURE);
  ck_assert (g_file_get_contents (log, &logged, NULL, NULL));
  g_unlink (log);
  g_unlink (path);
  g_rmdir (dir);
  return logged;
}

/* Guards against a daemon that doesn't say which of its ports is taken: it
   named two of three, and no error.  */
START_TEST (test_daemon_names_the_port_that_is_taken)
{
  uint16_t port;
  int fd = take_port (&port);
  static const char *const names[] = { "front", "ready", "peer" };

  for (uint32_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      g_autofree char *wanted
          = g_strdup_printf ("listener=%s address=127.0.0.1:%u error=%s\n",
                             names[i], port, g_strerror (EADDRINUSE));
      g_autofree char *logged = run_failing (names[i], port);

      ck_assert_msg (strstr (logged, wanted), "%s is missing in %s", wanted,
                     logged);
    }
  close (fd);
}
END_TEST

/* Guards against a daemon that crashes when its port is taken: its thread went
   on with the settings, which were freed.  */
START_TEST (test_daemon_whose_port_is_taken_ends_its_threads)
{
  uint16_t port;
  int fd = take_port (&port);
  g_autofree char *dir = g_dir_make_tmp ("entry-XXXXXX", NULL);
  g_autofree char *path = g_build_filename (dir, "settings.yaml", NULL);
  g_autofree char *text = g_strdup_printf (
      "name: d0\ndata_centre: dc\nfront: 127.0.0.1:%u\nready: 127.0.0.1:%u\n"
      "peer: \"\"\nstore: 127.0.0.1:1\nhosts_api: \"\"\n"
      "cpu_share: 1.0\nhold_max_ms: 6000\nstop_grace_ms: 100\ngrace_s: 3\n"
      "keep_s: 8\n",
      port, port);
  uint32_t threads = count_threads ();

  ck_assert (g_file_set_contents (path, text, -1, NULL));
  ck_assert_int_eq (entry_run (path), EXIT_FAILURE);
  ck_assert_uint_eq (count_threads (), threads);
  g_unlink (path);
  g_rmdir (dir);
  close (fd);
}
END_TEST

TEST_PROGRAM ("entry/entry", test_daemon_whose_port_is_taken_ends_its_threads,
              test_daemon_names_the_port_that_is_taken)
