#include "bed2.h"
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#define PROGRAM "target/daemon/cuminpind"

static FILE *record;
static GMutex record_lock;
static int64_t began_ms;

int64_t
bed_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

bool
bed_trouble (void)
{
  return g_strcmp0 (g_getenv ("TROUBLE"), "0") != 0;
}

void
bed_note (const char *format, ...)
{
  va_list args;

  g_mutex_lock (&record_lock);
  if (!record)
    {
      record = fopen (g_getenv ("RECORD") ? g_getenv ("RECORD") : "record.txt",
                      "w");
      began_ms = bed_ms ();
    }
  if (record)
    {
      fprintf (record, "%8.3f ", (double)(bed_ms () - began_ms) / 1000);
      va_start (args, format);
      vfprintf (record, format, args);
      va_end (args);
      fputc ('\n', record);
      fflush (record);
    }
  g_mutex_unlock (&record_lock);
}

void
bed_publish_config (bed_t *bed)
{
  store_put (bed->store, "keyed.op", "config",
             "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"" BED_HOST
             "\",\"path_prefix\":\"" BED_PREFIX
             "\",\"service\":\"s\",\"timeout_ms\":3000,"
             "\"target_latency_ms\":600,\"priority\":0,\"max_attempts\":3,"
             "\"stretch_factor\":1.6,\"public\":true}],\"services\":[{"
             "\"name\":\"s\",\"enforces_capacity\":true,\"standby\":false}],"
             "\"tenants\":[]}");
}

bed_t *
bed_new (uint32_t count)
{
  bed_t *bed = g_new0 (bed_t, 1);
  uint32_t pid = (uint32_t)getpid ();

  signal (SIGPIPE, SIG_IGN);
  bed->dir = g_dir_make_tmp ("review2-XXXXXX", NULL);
  bed->hosts_api = "";
  bed->store = store_start ();
  bed->count = count;
  bed->daemons = g_new0 (bed_daemon_t, count);
  for (uint32_t i = 0; i < count; i++)
    {
      bed_daemon_t *d = &bed->daemons[i];

      d->address = g_strdup_printf ("127.%u.%u.%u", 1 + (pid >> 8) % 254,
                                    pid % 256, i + 2);
      d->settings = g_strdup_printf ("%s/d%u.yaml", bed->dir, i);
      d->log = g_strdup_printf ("%s/d%u.log", bed->dir, i);
      d->store_port = store_add_port (bed->store);
    }
  return bed;
}

void
bed_start (bed_t *bed, uint32_t index)
{
  bed_daemon_t *d = &bed->daemons[index];
  /* The lines of deploy/entry.yaml with the figures of valtel-sched.  */
  g_autofree char *text = g_strdup_printf (
      "name: edge-%u\ndata_centre: dc-0\nfront: %s:%u\nready: %s:%u\n"
      "store: 127.0.0.1:%u\npeer: %s:%u\nhosts_api: \"%s\"\nadvice: \"\"\n"
      "cpu_share: 0.25\nrevoke_ms: 5000\nhold_max_ms: 6000\n"
      "stop_grace_ms: 200\nnotice_ms: 4500\nhost_lease_ms: 3000\n"
      "status_s: 120\ngrace_s: 6\nkeep_s: 20\nmemory_mb: 260\nmax_fds: 4100\n",
      index, d->address, BED_FRONT, d->address, BED_READY, d->store_port,
      d->address, BED_PEER, bed->hosts_api);

  if (!g_file_set_contents (d->settings, text, -1, NULL))
    bed_end (bed, 2);
  d->pid = fork ();
  if (d->pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      setenv ("CUMINPIN_SETTINGS", d->settings, 1);
      if (!freopen (d->log, "a", stdout) || !freopen (d->log, "a", stderr))
        _exit (127);
      execl (PROGRAM, PROGRAM, "--entry", (char *)NULL);
      _exit (127);
    }
  bed_note ("edge-%u started, process %d", index, (int)d->pid);
}

void
bed_end (bed_t *bed, int status)
{
  for (uint32_t i = 0; i < bed->count; i++)
    if (bed->daemons[i].pid > 0)
      {
        kill (bed->daemons[i].pid, SIGKILL);
        waitpid (bed->daemons[i].pid, NULL, 0);
      }
  bed_note ("exit %d", status);
  fflush (stdout);
  for (uint32_t i = 0; i < bed->count && !g_getenv ("KEEP_LOGS"); i++)
    {
      unlink (bed->daemons[i].log);
      unlink (bed->daemons[i].settings);
    }
  if (!g_getenv ("KEEP_LOGS"))
    rmdir (bed->dir);
  else
    printf ("logs %s\n", bed->dir);
  fflush (stdout);
  _exit (status);
}

void
bed_require (bed_t *bed, bool ok, const char *what)
{
  if (ok)
    return;
  bed_note ("could not run: %s", what);
  printf ("could not run: %s\n", what);
  bed_end (bed, 2);
}

int
bed_connect (const char *ip, uint16_t port)
{
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, ip, &to.sin_addr);
  if (fd >= 0 && connect (fd, (struct sockaddr *)&to, sizeof to) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

int
bed_call (const char *ip, uint16_t port, const char *method, const char *path,
          const char *body, int timeout_ms, GString *answer)
{
  return bed_call_as (NULL, ip, port, method, path, body, timeout_ms, answer);
}

int
bed_call_as (const char *key, const char *ip, uint16_t port,
             const char *method, const char *path, const char *body,
             int timeout_ms, GString *answer)
{
  int fd = bed_connect (ip, port);
  g_autofree char *text = g_strdup_printf (
      "%s %s HTTP/1.1\r\nHost: " BED_HOST "\r\nConnection: close\r\n"
      "%s%s%sX-Deadline-Ms: %d\r\nContent-Type: application/json\r\n"
      "Content-Length: %zu\r\n\r\n%s",
      method, path, key ? "Authorization: Bearer " : "", key ? key : "",
      key ? "\r\n" : "", timeout_ms, body ? strlen (body) : 0,
      body ? body : "");
  g_autoptr (GString) in = g_string_new (NULL);
  int64_t end_ms = bed_ms () + timeout_ms;
  const char *data;
  char part[4096];
  int status = 0;

  if (fd < 0)
    return 0;
  if (send (fd, text, strlen (text), MSG_NOSIGNAL) != (ssize_t)strlen (text))
    {
      close (fd);
      return 0;
    }
  for (;;)
    {
      struct pollfd p = { .fd = fd, .events = POLLIN };
      int64_t left = end_ms - bed_ms ();
      ssize_t n;

      if (left <= 0 || poll (&p, 1, (int)left) <= 0)
        break;
      n = recv (fd, part, sizeof part, 0);
      if (n <= 0)
        break;
      g_string_append_len (in, part, n);
    }
  close (fd);
  if (!strstr (in->str, "\r\n\r\n")
      || sscanf (in->str, "HTTP/1.%*c %d", &status) != 1)
    return 0;
  data = strstr (in->str, "\r\n\r\n") + 4;
  if (answer)
    g_string_assign (answer, data);
  return status;
}

bool
bed_is_ready (const bed_t *bed, uint32_t index)
{
  return bed_call (bed->daemons[index].address, BED_READY, "GET", "/readyz",
                   NULL, 1000, NULL)
         == 200;
}

void
bed_await_ready (bed_t *bed, uint32_t index)
{
  int64_t end_ms = bed_ms () + BED_WAIT_MS;

  while (!bed_is_ready (bed, index))
    {
      bed_require (bed, bed_ms () < end_ms, "a daemon is not ready");
      g_usleep (20000);
    }
}

uint32_t
bed_owner (const bed_t *bed)
{
  for (uint32_t i = 0; i < bed->count; i++)
    {
      g_autoptr (GString) text = g_string_new (NULL);
      g_auto (GStrv) lines = NULL;

      if (bed->daemons[i].pid == 0)
        continue;
      /* A daemon shows its state as of the request before.  */
      bed_call (bed->daemons[i].address, BED_READY, "GET", "/dump", NULL, 500,
                NULL);
      g_usleep (600000);
      if (bed_call (bed->daemons[i].address, BED_READY, "GET", "/dump", NULL,
                    500, text)
          != 200)
        continue;
      lines = g_strsplit (text->str, "\n", 5);
      if (g_strv_length (lines) == 5 && g_str_has_prefix (lines[0], "self ")
          && g_str_has_prefix (lines[3], "owner ")
          && g_str_has_prefix (lines[3] + strlen ("owner "),
                               lines[0] + strlen ("self ")))
        return i;
    }
  return UINT32_MAX;
}

void
bed_start_all (bed_t *bed)
{
  int64_t end_ms = bed_ms () + BED_WAIT_MS;

  for (uint32_t i = 0; i < bed->count; i++)
    bed_start (bed, i);
  for (uint32_t i = 0; i < bed->count; i++)
    bed_await_ready (bed, i);
  while (bed_owner (bed) == UINT32_MAX)
    bed_require (bed, bed_ms () < end_ms, "no owner");
}

bool
bed_wait (bed_t *bed, uint32_t index, int64_t ms, int *status)
{
  int64_t end_ms = bed_ms () + ms;

  while (waitpid (bed->daemons[index].pid, status, WNOHANG) == 0)
    {
      if (bed_ms () >= end_ms)
        return false;
      g_usleep (1000);
    }
  bed->daemons[index].pid = 0;
  return true;
}

static long
memory_mb (pid_t pid)
{
  char path[64];
  char line[256];
  long kb = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", (int)pid);
  file = fopen (path, "r");
  while (file && fgets (line, sizeof line, file))
    if (sscanf (line, "VmRSS: %ld", &kb) == 1)
      break;
  if (file)
    fclose (file);
  return kb / 1024;
}

static void
watch (bed_t *bed, uint32_t index)
{
  bed_daemon_t *d = &bed->daemons[index];
  int status;
  long mb;

  if (d->pid == 0)
    {
      if (bed_ms () >= d->restart_ms)
        bed_start (bed, index);
      return;
    }
  if (waitpid (d->pid, &status, WNOHANG) == d->pid)
    {
      d->crashed++;
      bed_note ("edge-%u ended by itself: %s %d", index,
                WIFSIGNALED (status) ? "signal" : "exit",
                WIFSIGNALED (status) ? WTERMSIG (status)
                                     : WEXITSTATUS (status));
    }
  else
    {
      mb = memory_mb (d->pid);
      d->peak_mb = MAX (d->peak_mb, mb);
      if (mb <= BED_MEMORY_MB)
        return;
      d->over++;
      bed_note ("edge-%u has %ld MB, over memory_mb %d: killed (%u)", index,
                mb, BED_MEMORY_MB, d->over);
      kill (d->pid, SIGKILL);
      waitpid (d->pid, &status, 0);
    }
  d->pid = 0;
  d->restart_ms = bed_ms () + BED_RESTART_MS;
}

void
bed_run (bed_t *bed, int64_t ms)
{
  int64_t end_ms = bed_ms () + ms;

  do
    {
      for (uint32_t i = 0; i < bed->count; i++)
        watch (bed, i);
      g_usleep (10000);
    }
  while (bed_ms () < end_ms);
}

int
bed_submit (bed_t *bed, const char *id, const char *job, int64_t ms)
{
  g_autofree char *path = g_strdup_printf (BED_PREFIX "%s", id);
  int64_t end_ms = bed_ms () + ms;
  uint32_t at = 0;
  int status = 0;

  for (;;)
    {
      status = bed_call (bed->daemons[at].address, BED_FRONT, "POST", path,
                         job, 1500, NULL);
      bed_note ("POST %s (%zu bytes) at edge-%u: %d", id, strlen (job), at,
                status);
      if (status == 200 || bed_ms () >= end_ms)
        return status;
      at = (at + 1) % bed->count;
      bed_run (bed, 200);
    }
}

bool
bed_get (bed_t *bed, const char *id, const char *wanted, int64_t ms)
{
  g_autofree char *path = g_strdup_printf (BED_PREFIX "%s", id);
  int64_t end_ms = bed_ms () + ms;
  g_autoptr (GString) text = g_string_new (NULL);
  uint32_t at = 0;

  for (;;)
    {
      int status;

      g_string_truncate (text, 0);
      status = bed_call (bed->daemons[at].address, BED_FRONT, "GET", path,
                         NULL, 1000, text);
      if (strstr (text->str, wanted))
        return true;
      if (bed_ms () >= end_ms)
        {
          bed_note ("GET %s at edge-%u: %d %s", id, at, status, text->str);
          return false;
        }
      at = (at + 1) % bed->count;
      bed_run (bed, 100);
    }
}
