#include "bed3.h"
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define READY_MAX_MS 20000
#define READY_POLL_MS 50
#define CALL_MS 3000
/* A daemon shows its state as of the request before, some time later.  */
#define DUMP_MS 1500

int64_t
bed_ms (const bed_t *bed)
{
  return (g_get_monotonic_time () - bed->began_us) / 1000;
}

void
bed_sleep_ms (int64_t ms)
{
  g_usleep ((gulong)ms * 1000);
}

void
bed_note (bed_t *bed, const char *format, ...)
{
  va_list args;

  g_mutex_lock (&bed->lock);
  fprintf (bed->record, "%8.3f  ", (double)bed_ms (bed) / 1000);
  va_start (args, format);
  vfprintf (bed->record, format, args);
  va_end (args);
  fputc ('\n', bed->record);
  fflush (bed->record);
  g_mutex_unlock (&bed->lock);
}

void
bed_open (bed_t *bed, int argc, char **argv)
{
  const char *trouble = getenv ("TROUBLE");
  uint32_t pid = (uint32_t)getpid ();

  memset (bed, 0, sizeof *bed);
  g_mutex_init (&bed->lock);
  bed->began_us = g_get_monotonic_time ();
  bed->trouble = !trouble || strcmp (trouble, "0") != 0;
  bed->program = argc > 2 ? argv[1] : "";
  bed->record = argc > 2 ? fopen (argv[2], "w") : NULL;
  bed->dir = g_dir_make_tmp ("case-XXXXXX", NULL);
  /* An address of its own, so that its free ports stay free.  */
  g_snprintf (bed->address, sizeof bed->address, "127.%u.%u.1",
              1 + (pid >> 8) % 254, pid % 256);
  signal (SIGPIPE, SIG_IGN);
  if (!bed->record || !bed->dir || access (bed->program, X_OK) != 0)
    {
      fprintf (stderr, "usage: CASE DAEMON RECORD\n");
      exit (BED_COULD_NOT_RUN);
    }
  bed_note (bed, "disruption: %s", bed->trouble ? "on" : "off");
}

static void
remove_dir (const char *path)
{
  GDir *dir = g_dir_open (path, 0, NULL);
  const char *name;

  while (dir && (name = g_dir_read_name (dir)))
    {
      g_autofree char *file = g_build_filename (path, name, NULL);

      unlink (file);
    }
  if (dir)
    g_dir_close (dir);
  rmdir (path);
}

int
bed_close (bed_t *bed, int status)
{
  for (uint32_t i = 0; i < bed->count; i++)
    bed_kill (bed, i);
  bed_note (bed, "the end: %s",
            status == BED_HELD     ? "the rule held"
            : status == BED_BROKEN ? "the rule was broken"
                                   : "the case couldn't run");
  remove_dir (bed->dir);
  fclose (bed->record);
  return status;
}

void
bed_give_up (bed_t *bed, const char *why)
{
  bed_note (bed, "%s", why);
  exit (bed_close (bed, BED_COULD_NOT_RUN));
}

static uint16_t
free_port (bed_t *bed)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, bed->address, &address.sin_addr);
  if (fd < 0 || bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || getsockname (fd, (struct sockaddr *)&address, &len) != 0)
    bed_give_up (bed, "no free port");
  close (fd);
  return ntohs (address.sin_port);
}

/* As the deploy file has it: cuminpind --entry, with the path of the settings
   in the environment.  */
void
bed_restart (bed_t *bed, uint32_t index)
{
  bed_daemon_t *daemon = &bed->daemons[index];
  g_autofree char *log = g_strdup_printf ("%s.log", daemon->settings);

  bed_note (bed, "daemon d%u is started", index);
  daemon->pid = fork ();
  if (daemon->pid != 0)
    return;
  setenv ("CUMINPIN_SETTINGS", daemon->settings, 1);
  if (!freopen (log, "a", stdout) || !freopen (log, "a", stderr))
    _exit (EXIT_FAILURE);
  execl (bed->program, bed->program, "--entry", (char *)NULL);
  _exit (EXIT_FAILURE);
}

void
bed_kill (bed_t *bed, uint32_t index)
{
  bed_daemon_t *daemon = &bed->daemons[index];
  int status;

  if (daemon->pid <= 0)
    return;
  kill (daemon->pid, SIGKILL);
  waitpid (daemon->pid, &status, 0);
  daemon->pid = 0;
  bed_note (bed, "daemon d%u has got SIGKILL", index);
}

void
bed_add_daemon (bed_t *bed, uint16_t store_port, const char *more)
{
  uint32_t index = bed->count++;
  bed_daemon_t *daemon = &bed->daemons[index];
  g_autofree char *text = NULL;

  daemon->front = free_port (bed);
  daemon->ready = free_port (bed);
  daemon->peer = free_port (bed);
  daemon->settings = g_strdup_printf ("%s/d%u.yaml", bed->dir, index);
  /* The values of a machine of the small sites.  */
  text = g_strdup_printf (
      "name: d%u\ndata_centre: dc-0\nfront: %s:%u\nready: %s:%u\npeer: %s:%u\n"
      "store: 127.0.0.1:%u\ncpu_share: 0.25\nrevoke_ms: 5000\n"
      "hold_max_ms: 6000\nstop_grace_ms: 200\nnotice_ms: 4500\n"
      "host_lease_ms: 3000\nstatus_s: 120\ngrace_s: 6\nkeep_s: 300\n"
      "memory_mb: 260\nmax_fds: 4100\n%s",
      index, bed->address, daemon->front, bed->address, daemon->ready,
      bed->address, daemon->peer, store_port, more);
  if (!g_file_set_contents (daemon->settings, text, -1, NULL))
    bed_give_up (bed, "no settings file");
  bed_restart (bed, index);
}

void
bed_await_ready (bed_t *bed, uint32_t index)
{
  int64_t end_ms = bed_ms (bed) + READY_MAX_MS;
  client_t client;
  uint32_t status = 0;

  while (status != 200 && bed_ms (bed) < end_ms)
    {
      g_autoptr (GString) answer = g_string_new (NULL);

      client_open (&client, bed, bed->daemons[index].ready);
      status = client_call (&client, "GET", "/readyz", NULL, answer, 1000);
      client_close (&client);
      if (status != 200)
        bed_sleep_ms (READY_POLL_MS);
    }
  if (status != 200)
    bed_give_up (bed, "a daemon doesn't become ready");
  bed_note (bed, "daemon d%u is ready", index);
}

void
client_open (client_t *client, const bed_t *bed, uint16_t port)
{
  *client = (client_t){ .bed = bed, .port = port, .fd = -1 };
}

void
client_close (client_t *client)
{
  if (client->fd >= 0)
    close (client->fd);
  client->fd = -1;
}

static bool
connect_client (client_t *client)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int on = 1;

  address.sin_port = htons (client->port);
  inet_pton (AF_INET, client->bed->address, &address.sin_addr);
  client->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (client->fd < 0)
    return false;
  setsockopt (client->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (client->fd, (struct sockaddr *)&address, sizeof address) == 0)
    return true;
  client_close (client);
  return false;
}

static bool
send_all (int fd, const char *data, size_t len)
{
  while (len > 0)
    {
      ssize_t count = send (fd, data, len, MSG_NOSIGNAL);

      if (count <= 0)
        return false;
      data += count;
      len -= (size_t)count;
    }
  return true;
}

/* Reads more of a response before END_US; false if there is none.  */
static bool
receive_more (int fd, GString *in, int64_t end_us)
{
  struct pollfd wait = { .fd = fd, .events = POLLIN };
  int64_t left_ms = (end_us - g_get_monotonic_time ()) / 1000;
  char data[4096];
  ssize_t count;

  if (left_ms <= 0 || poll (&wait, 1, (int)left_ms) <= 0)
    return false;
  count = recv (fd, data, sizeof data, 0);
  if (count > 0)
    g_string_append_len (in, data, count);
  return count > 0;
}

/* The length that the headers TEXT announce.  */
static size_t
body_length (const char *text)
{
  g_autofree char *lower = g_ascii_strdown (text, -1);
  const char *at = strstr (lower, "\r\ncontent-length:");

  return at ? strtoul (at + strlen ("\r\ncontent-length:"), NULL, 10) : 0;
}

static uint32_t
receive (client_t *client, GString *answer, int64_t end_us)
{
  g_autoptr (GString) in = g_string_new (NULL);
  const char *body = NULL;
  size_t len = 0;
  size_t head = 0;

  while (!body || in->len < head + len)
    {
      if (!receive_more (client->fd, in, end_us))
        return 0;
      body = strstr (in->str, "\r\n\r\n");
      if (!body)
        continue;
      head = (size_t)(body - in->str) + 4;
      len = body_length (in->str);
    }
  g_string_append_len (answer, in->str + head, (gssize)len);
  if (strstr (in->str, "onnection: close"))
    client_close (client);
  return (uint32_t)strtoul (in->str + strlen ("HTTP/1.1 "), NULL, 10);
}

uint32_t
client_call (client_t *client, const char *method, const char *path,
             const char *body, GString *answer, uint32_t timeout_ms)
{
  int64_t end_us = g_get_monotonic_time () + (int64_t)timeout_ms * 1000;
  g_autofree char *text = g_strdup_printf (
      "%s %s HTTP/1.1\r\nHost: " BED_HOST "\r\nX-Deadline-Ms: %u\r\n"
      "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
      method, path, timeout_ms, body ? strlen (body) : 0, body ? body : "");
  uint32_t status;

  if (client->fd < 0 && !connect_client (client))
    return 0;
  status = send_all (client->fd, text, strlen (text))
               ? receive (client, answer, end_us)
               : 0;
  if (status == 0)
    client_close (client);
  return status;
}

void
bed_put_config (bed_t *bed, store_t *store)
{
  store_put (store, "keyed.op", "config",
             "{\"version\":1,\"routes\":[{\"name\":\"work\",\"host\":"
             "\"" BED_HOST "\",\"path_prefix\":\"" BED_PREFIX
             "\",\"service\":\"shop\",\"public\":true,\"timeout_ms\":3000,"
             "\"priority\":0,\"max_attempts\":3,\"stretch_factor\":1.6,"
             "\"target_latency_ms\":600}],\"services\":[{\"name\":\"shop\","
             "\"enforces_capacity\":true}],\"tenants\":[],\"limits\":{}}");
  bed_note (bed, "operator: config version 1 is acknowledged");
}

uint32_t
bed_call (bed_t *bed, uint32_t daemon, const char *method, const char *id,
          const char *body, GString *answer)
{
  g_autofree char *path = g_strconcat (BED_PREFIX, id, NULL);
  client_t client;
  uint32_t status;

  client_open (&client, bed, bed->daemons[daemon].front);
  status = client_call (&client, method, path, body, answer, CALL_MS);
  client_close (&client);
  bed_note (bed, "%s %s at d%u: %u %s", method, path, daemon, status,
            answer->str);
  return status;
}

void
bed_submit (bed_t *bed, const char *id, const char *body)
{
  g_autoptr (GString) answer = g_string_new (NULL);

  if (bed_call (bed, 0, "POST", id, body, answer) != 200)
    bed_give_up (bed, "a job is not accepted");
}

int
bed_find_owner (bed_t *bed)
{
  for (uint32_t i = 0; i < bed->count; i++)
    {
      g_autoptr (GString) first = g_string_new (NULL);
      g_autoptr (GString) answer = g_string_new (NULL);
      g_autofree char *self = g_strdup_printf ("\nowner d%u#", i);
      client_t client;

      client_open (&client, bed, bed->daemons[i].ready);
      client_call (&client, "GET", "/dump", NULL, first, CALL_MS);
      bed_sleep_ms (DUMP_MS);
      client_call (&client, "GET", "/dump", NULL, answer, CALL_MS);
      client_close (&client);
      if (strstr (answer->str, self))
        return (int)i;
    }
  return -1;
}
