#include "scenario.h"
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

/* A start takes milliseconds, except on an overloaded machine.  */
#define READY_TIMEOUT_US 30000000
/* Longer than the daemon's stop_ms.  */
#define STOP_TIMEOUT_US 40000000
#define POLL_MS 10
#define TAIL_BYTES 3000
#define POLL_FDS_MAX 64

static GPtrArray *procs;
static GHashTable *program_paths;
static const char *directory;

void
procs_init (GHashTable *programs, const char *dir)
{
  procs = g_ptr_array_new ();
  program_paths = programs;
  directory = dir;
}

const char *
procs_dir (void)
{
  return directory;
}

char *
proc_ready_path (const char *name)
{
  return g_strdup_printf ("%s/%s.ready", directory, name);
}

static proc_t *
find_newest (const char *name)
{
  /* Newest first: a process that was restarted is listed twice.  */
  for (guint i = procs->len; i > 0; i--)
    {
      proc_t *proc = g_ptr_array_index (procs, i - 1);

      if (strcmp (proc->name, name) == 0)
        return proc;
    }
  return NULL;
}

proc_t *
proc_find (const char *name, GError **error)
{
  proc_t *proc = name ? find_newest (name) : NULL;

  if (!proc)
    scenario_fail (error, "there is no process \"%s\"", name ? name : "");
  return proc;
}

proc_t *
proc_nth (proc_kind_t kind, uint32_t index)
{
  for (guint i = 0; i < procs->len; i++)
    {
      proc_t *proc = g_ptr_array_index (procs, i);

      if (proc->kind == kind && index-- == 0)
        return proc;
    }
  return NULL;
}

static G_NORETURN void
run_child (const char *log_path, const char **argv)
{
  sigset_t none;
  int fd = open (log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

  /* Don't outlive the runner, even if it crashes.  */
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  sigemptyset (&none);
  sigprocmask (SIG_SETMASK, &none, NULL);
  if (fd < 0 || dup2 (fd, STDOUT_FILENO) < 0 || dup2 (fd, STDERR_FILENO) < 0)
    _exit (126);
  execv (argv[0], (char *const *)argv);
  _exit (127);
}

static void
reap (proc_t *proc)
{
  int status;

  if (proc->ended || waitpid (proc->pid, &status, WNOHANG) != proc->pid)
    return;
  proc->ended = true;
  proc->status
      = WIFSIGNALED (status) ? 128 + WTERMSIG (status) : WEXITSTATUS (status);
  close (proc->pid_fd);
}

bool
procs_wait (uint32_t ms, GError **error)
{
  struct pollfd fds[POLL_FDS_MAX];
  nfds_t count = 0;

  for (guint i = 0; i < procs->len; i++)
    {
      proc_t *proc = g_ptr_array_index (procs, i);

      if (!proc->ended && count < POLL_FDS_MAX)
        fds[count++] = (struct pollfd){ .fd = proc->pid_fd, .events = POLLIN };
    }
  poll (fds, count, (int)ms);
  for (guint i = 0; i < procs->len; i++)
    {
      proc_t *proc = g_ptr_array_index (procs, i);

      reap (proc);
      if (proc->ended && !proc->exit_expected)
        return scenario_fail (error, "%s exited unexpectedly with status %d",
                              proc->name, proc->status);
    }
  return true;
}

static void
read_ports (const char *name, const char *text)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);

  for (char **line = lines; *line; line++)
    {
      char *space = strchr (*line, ' ');

      if (!space)
        continue;
      *space = '\0';
      script_set (name, *line, space + 1);
    }
}

static bool
wait_ready (proc_t *proc, GError **error)
{
  g_autofree char *path = proc_ready_path (proc->name);
  g_autofree char *text = NULL;
  int64_t due_us = clock_mono_us () + READY_TIMEOUT_US;

  while (!g_file_get_contents (path, &text, NULL, NULL))
    {
      if (!procs_wait (POLL_MS, error))
        return false;
      if (clock_mono_us () > due_us)
        return scenario_fail (error, "%s was not ready in %d s", proc->name,
                              READY_TIMEOUT_US / 1000000);
    }
  read_ports (proc->name, text);
  return true;
}

proc_t *
proc_start (proc_kind_t kind, const char *name, const char *program,
            const char **argv, bool ready, GError **error)
{
  const char *path = g_hash_table_lookup (program_paths, program);
  g_autofree char *ready_path = proc_ready_path (name);
  proc_t *proc = find_newest (name);

  if (!path || (proc && !proc->ended))
    {
      scenario_fail (error,
                     path ? "\"%s\" is already running" : "no program \"%s\"",
                     path ? name : program);
      return NULL;
    }
  unlink (ready_path);
  proc = g_new0 (proc_t, 1);
  proc->kind = kind;
  proc->name = g_strdup (name);
  proc->log_path = g_strdup_printf ("%s/%s.log", directory, name);
  proc->exit_expected = kind == PROC_TOOL;
  argv[0] = path;
  proc->pid = fork ();
  if (proc->pid == 0)
    run_child (proc->log_path, argv);
  proc->pid_fd = (int)syscall (SYS_pidfd_open, proc->pid, 0);
  g_ptr_array_add (procs, proc);
  if (ready && !wait_ready (proc, error))
    return NULL;
  return proc;
}

bool
proc_signal (proc_t *proc, int number, GError **error)
{
  siginfo_t stop;

  if (proc->ended)
    return scenario_fail (error, "%s has already exited", proc->name);
  if (number == SIGTERM || number == SIGKILL)
    proc->exit_expected = true;
  if (number == SIGSTOP)
    proc->stopped_us = clock_mono_us ();
  if (kill (proc->pid, number) != 0)
    return scenario_fail (error, "%s: %s", proc->name, g_strerror (errno));
  /* Threads keep running until each has handled the signal; the kernel reports
     the process as stopped when the last one has.  */
  if (number == SIGSTOP
      && waitid (P_PID, (id_t)proc->pid, &stop, WSTOPPED | WEXITED | WNOWAIT)
             != 0)
    return scenario_fail (error, "%s: %s", proc->name, g_strerror (errno));
  return true;
}

bool
proc_wait (proc_t *proc, int64_t due_us, GError **error)
{
  proc->exit_expected = true;
  while (!proc->ended)
    {
      int64_t left_us = due_us - clock_mono_us ();

      if (left_us <= 0)
        return scenario_fail (error, "%s did not exit in time", proc->name);
      if (!procs_wait ((uint32_t)(left_us / 1000 + 1), error))
        return false;
    }
  return true;
}

bool
procs_stop (GError **error)
{
  int64_t due_us = clock_mono_us () + STOP_TIMEOUT_US;
  bool ok = true;

  /* In reverse order of the start: the daemons' last requests need the
     upstreams and the log.  */
  for (guint i = procs->len; i > 0; i--)
    {
      proc_t *proc = g_ptr_array_index (procs, i - 1);

      reap (proc);
      if (proc->ended)
        continue;
      kill (proc->pid, SIGCONT);
      kill (proc->pid, SIGTERM);
      proc->exit_expected = true;
      if (!proc_wait (proc, due_us, ok ? error : NULL))
        {
          ok = false;
          kill (proc->pid, SIGKILL);
          proc_wait (proc, INT64_MAX / 2, NULL);
        }
      else if (proc->status != 0 && ok)
        ok = scenario_fail (error, "%s exited with status %d", proc->name,
                            proc->status);
    }
  return ok;
}

void
procs_print_logs (void)
{
  for (guint i = 0; i < procs->len; i++)
    {
      proc_t *proc = g_ptr_array_index (procs, i);
      g_autofree char *text = NULL;
      gsize len = 0;

      if (!g_file_get_contents (proc->log_path, &text, &len, NULL) || len == 0)
        continue;
      printf ("-- output of %s:\n%s\n", proc->name,
              text + (len > TAIL_BYTES ? len - TAIL_BYTES : 0));
    }
}
