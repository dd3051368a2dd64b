#include "commands.h"
#include <errno.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support.h"
#include <poll.h>

#define CONTROL_TIMEOUT_MS 5000

bool
control_fault (const cmd_t *cmd, GError **error)
{
  g_autofree char *url = command_url (cmd->args[0], "port", "/_faults", error);

  return url && http_send ("PUT", url, script_tail (cmd, 1), error);
}

bool
control_logfault (const cmd_t *cmd, GError **error)
{
  const proc_t *log = proc_nth (PROC_LOG, 0);
  g_autofree char *url
      = command_url (log ? log->name : "", "port", "/faults", error);

  return url && http_send ("PUT", url, script_tail (cmd, 0), error);
}

bool
control_live (const cmd_t *cmd, GError **error)
{
  const proc_t *log = proc_nth (PROC_LOG, 0);
  g_autofree char *path = g_strconcat ("/live/", cmd->args[0], NULL);
  g_autofree char *url
      = command_url (log ? log->name : "", "port", path, error);

  return url && http_send ("PUT", url, cmd->args[1], error);
}

bool
control_append (const cmd_t *cmd, GError **error)
{
  const proc_t *log = proc_nth (PROC_LOG, 0);
  g_autofree char *path = g_strconcat ("/log/", cmd->args[0], NULL);
  g_autofree char *url
      = command_url (log ? log->name : "", "port", path, error);

  return url && http_send ("POST", url, script_tail (cmd, 1), error);
}

static bool
wait_fd (int fd, short events)
{
  struct pollfd item = { .fd = fd, .events = events };

  return poll (&item, 1, CONTROL_TIMEOUT_MS) == 1;
}

bool
control_proxyfault (const cmd_t *cmd, GError **error)
{
  const char *port = script_get (cmd->args[0], "control_port");
  g_autofree char *line = g_strconcat (script_tail (cmd, 1), "\n", NULL);
  char response[64] = "";
  bool done;
  int fd;

  if (!port)
    return scenario_fail (error, "there is no proxy \"%s\"", cmd->args[0]);
  fd = support_connect ("127.0.0.1", (uint16_t)strtoul (port, NULL, 10));
  done = fd >= 0 && wait_fd (fd, POLLOUT)
         && write (fd, line, strlen (line)) == (ssize_t)strlen (line)
         && wait_fd (fd, POLLIN)
         && read (fd, response, sizeof response - 1) > 0
         && strcmp (response, "ok\n") == 0;
  if (fd >= 0)
    close (fd);
  if (done)
    return true;
  return scenario_fail (error, "the proxy answered \"%s\"",
                        g_strchomp (response));
}

bool
control_signal (const cmd_t *cmd, GError **error)
{
  static const struct
  {
    const char *name;
    int number;
  } signals[] = { { "TERM", SIGTERM },
                  { "KILL", SIGKILL },
                  { "STOP", SIGSTOP },
                  { "CONT", SIGCONT } };
  proc_t *proc = proc_find (cmd->args[0], error);

  if (!proc)
    return false;
  for (size_t i = 0; i < G_N_ELEMENTS (signals); i++)
    if (strcmp (signals[i].name, cmd->args[1]) == 0)
      return proc_signal (proc, signals[i].number, error);
  return scenario_fail (error, "unknown signal \"%s\"", cmd->args[1]);
}

/* The time for which a process is stopped is itself the fault, so this is the
   only wait that ends after a fixed time.  */
bool
control_stopped_for (const cmd_t *cmd, GError **error)
{
  proc_t *proc = proc_find (cmd->args[0], error);
  int64_t end_us = (int64_t)strtoul (cmd->args[1], NULL, 10) * 1000;

  if (!proc)
    return false;
  end_us += proc->stopped_us;
  while (clock_mono_us () < end_us)
    if (!procs_wait ((uint32_t)((end_us - clock_mono_us ()) / 1000 + 1),
                     error))
      return false;
  return true;
}

bool
control_expect_exit (const cmd_t *cmd, GError **error)
{
  proc_t *proc = proc_find (cmd->args[0], error);
  int status = (int)strtol (cmd->args[1], NULL, 10);
  int64_t due_us = clock_mono_us ()
                   + (int64_t)script_number (cmd, "within", 10000) * 1000;

  if (!proc || !proc_wait (proc, due_us, error))
    return false;
  if (proc->status == status)
    return true;
  return scenario_fail (error, "expected status %d, found %d", status,
                        proc->status);
}
