#include "site.h"
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define FRONT_PORT 7001
#define READY_PORT 7002
#define PEER_PORT 7003
#define HOST "evacuation.example"
#define PREFIX "/q/"
#define CALL_TIMEOUT_MS 5000L
#define EVACUATED_ZONE 1
#define EVACUATE_KEY "evacuate/dc-1"
/* With so small a share an owner calls no worker itself if there are relays
   (jobs/dispatch).  Claims wait as with the default one.  */
#define RELAYED_CPU_SHARE "cpu_share: 0.004\n"
#define CALLS_METRIC "\ncuminpin_worker_calls_total "

void
site_require (bool ok, const char *text)
{
  if (ok)
    return;
  printf ("failed: %s\n", text);
  fflush (stdout);
  _exit (EXIT_FAILURE); /* the daemons end with this process */
}

static void
publish_rules (site_t *site)
{
  store_put (site->store, "keyed.op", "config",
             "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"" HOST
             "\",\"path_prefix\":\"" PREFIX
             "\",\"service\":\"s\",\"timeout_ms\":2000,"
             "\"target_latency_ms\":600,\"priority\":0,\"max_attempts\":3,"
             "\"stretch_factor\":1.6,\"public\":true}],\"services\":[{"
             "\"name\":\"s\",\"enforces_capacity\":true,\"standby\":false}],"
             "\"tenants\":[]}");
}

static void
init_daemon (site_t *site, uint32_t index)
{
  site_daemon_t *daemon = &site->daemons[index];
  g_autofree char *text = NULL;
  uint32_t pid = (uint32_t)getpid ();

  daemon->site = site;
  daemon->log = g_string_new (NULL);
  daemon->store_port = store_add_port (site->store);
  daemon->address = g_strdup_printf ("127.%u.%u.%u", 1 + (pid >> 8) % 254,
                                     pid % 256, index + 2);
  daemon->settings = g_strdup_printf ("%s/d%u.yaml", site->dir, index);
  text = g_strdup_printf (
      "name: d%u\ndata_centre: dc-0\nfront: %s:%u\nready: %s:%u\npeer: "
      "%s:%u\nstore: 127.0.0.1:%u\nhosts_api: \"\"\nhold_max_ms: %u\n"
      "stop_grace_ms: 100\ngrace_s: 3\nevacuate_ms: %u\n%s",
      index, daemon->address, FRONT_PORT, daemon->address, READY_PORT,
      daemon->address, PEER_PORT, daemon->store_port, WORKERS_HOLD_MAX_MS,
      site->evacuate_ms, site->relayed ? RELAYED_CPU_SHARE : "");
  site_require (g_file_set_contents (daemon->settings, text, -1, NULL),
                "settings can't be written");
}

site_t *
site_open (const char *program, uint32_t count, uint32_t evacuate_ms,
           bool relayed)
{
  site_t *site = g_new0 (site_t, 1);

  site->program = program;
  site->count = count;
  site->evacuate_ms = evacuate_ms;
  site->relayed = relayed;
  site->dir = g_dir_make_tmp ("evacuation-XXXXXX", NULL);
  g_mutex_init (&site->lock);
  g_cond_init (&site->changed);
  site->store = store_start ();
  publish_rules (site);
  site->workers = workers_start (site->store, "s", 2, SITE_CORES, 2);
  site->daemons = g_new0 (site_daemon_t, count);
  for (uint32_t i = 0; i < count; i++)
    init_daemon (site, i);
  printf ("logs %s\n", site->dir);
  fflush (stdout);
  return site;
}

void
site_add_settings (site_t *site, const char *lines)
{
  for (uint32_t i = 0; i < site->count; i++)
    {
      FILE *file = fopen (site->daemons[i].settings, "a");

      site_require (file != NULL, "settings can't be opened");
      if (!file)
        return;
      fputs (lines, file);
      site_require (fclose (file) == 0, "settings can't be written");
    }
}

static gpointer
read_log (gpointer data)
{
  site_daemon_t *daemon = data;
  g_autofree char *path = g_strdup_printf ("%s.log", daemon->settings);
  FILE *copy = fopen (path, "a");
  char bytes[4096];
  ssize_t len;

  while ((len = read (daemon->log_fd, bytes, sizeof bytes)) > 0)
    {
      if (copy)
        {
          fwrite (bytes, 1, (size_t)len, copy);
          fflush (copy);
        }
      g_mutex_lock (&daemon->site->lock);
      g_string_append_len (daemon->log, bytes, len);
      g_cond_broadcast (&daemon->site->changed);
      g_mutex_unlock (&daemon->site->lock);
    }
  if (copy)
    fclose (copy);
  close (daemon->log_fd);
  return NULL;
}

void
site_start (site_t *site, uint32_t index)
{
  site_daemon_t *daemon = &site->daemons[index];
  int fds[2];

  site_require (pipe (fds) == 0, "no pipe");
  g_string_truncate (daemon->log, 0);
  daemon->pid = fork ();
  if (daemon->pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fds[1], STDOUT_FILENO);
      dup2 (fds[1], STDERR_FILENO);
      close (fds[0]);
      close (fds[1]);
      execl (site->program, site->program, "--entry", daemon->settings,
             (char *)NULL);
      _exit (EXIT_FAILURE);
    }
  close (fds[1]);
  daemon->log_fd = fds[0];
  daemon->reader = g_thread_new ("log", read_log, daemon);
  site_await (site, index, " 1000 ");
}

char *
site_ready (const site_t *site, uint32_t index)
{
  return g_strdup_printf ("%s:%u", site->daemons[index].address, READY_PORT);
}

/* Waits for the end of a daemon; its status, as of waitpid.  */
static int
await_exit (site_daemon_t *daemon)
{
  int status = 0;

  waitpid (daemon->pid, &status, 0);
  g_thread_join (daemon->reader);
  daemon->pid = 0;
  return status;
}

void
site_stop (site_t *site, uint32_t index)
{
  site_daemon_t *daemon = &site->daemons[index];
  int status;

  kill (daemon->pid, SIGTERM);
  status = await_exit (daemon);
  if (WIFSIGNALED (status))
    printf ("daemon %u ended by signal %d\n", index, WTERMSIG (status));
  site_require (WIFEXITED (status) && WEXITSTATUS (status) == EXIT_SUCCESS,
                "the daemon didn't stop in order");
}

/* Waits until all threads of a daemon are suspended: kill returns before, and
   a thread that still runs may answer a request.  */
static void
await_stop (const site_daemon_t *daemon)
{
  siginfo_t info;

  site_require (waitid (P_PID, (id_t)daemon->pid, &info, WSTOPPED | WNOWAIT)
                    == 0,
                "the daemon wasn't suspended");
}

void
site_signal (site_t *site, uint32_t index, int signal)
{
  site_daemon_t *daemon = &site->daemons[index];

  kill (daemon->pid, signal);
  if (signal == SIGKILL)
    await_exit (daemon);
  if (signal == SIGSTOP)
    await_stop (daemon);
}

void
site_close (site_t *site)
{
  for (uint32_t i = 0; i < site->count; i++)
    {
      if (site->daemons[i].pid != 0)
        site_signal (site, i, SIGKILL);
      g_free (site->daemons[i].settings);
      g_free (site->daemons[i].address);
      g_string_free (site->daemons[i].log, TRUE);
    }
  site_require (workers_violations (site->workers) == 0, "violations");
  workers_stop (site->workers);
  store_stop (site->store);
  g_free (site->daemons);
  g_free (site->dir);
  g_mutex_clear (&site->lock);
  g_cond_clear (&site->changed);
  g_free (site);
}

void
site_await (site_t *site, uint32_t index, const char *text)
{
  int64_t end_us = g_get_monotonic_time () + SITE_WAIT_US;
  const GString *log = site->daemons[index].log;
  bool found;

  g_mutex_lock (&site->lock);
  while (!strstr (log->str, text)
         && g_cond_wait_until (&site->changed, &site->lock, end_us))
    continue;
  found = strstr (log->str, text) != NULL;
  g_mutex_unlock (&site->lock);
  if (!found)
    printf ("daemon %u has not logged \"%s\"\n", index, text);
  site_require (found, "event");
}

bool
site_has_logged (site_t *site, uint32_t index, const char *text)
{
  bool found;

  g_mutex_lock (&site->lock);
  found = strstr (site->daemons[index].log->str, text) != NULL;
  g_mutex_unlock (&site->lock);
  return found;
}

static size_t
drop_body (char *data, size_t size, size_t count, void *to)
{
  return size * count;
}

/* Sends METHOD to URL; the status, or 0 if there was no response.  */
static long
call (const char *method, const char *url, const void *body, size_t len,
      long ms)
{
  struct curl_slist *headers = curl_slist_append (NULL, "Host: " HOST);
  CURL *easy = curl_easy_init ();
  long status = 0;

  headers = curl_slist_append (headers, "Expect:");
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  if (body)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long)len);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
    }
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, drop_body);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, ms);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  if (curl_easy_perform (easy) == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (easy);
  curl_slist_free_all (headers);
  return status;
}

static long
post (const char *url, const void *body, size_t len)
{
  return call ("POST", url, body, len, CALL_TIMEOUT_MS);
}

long
site_call (const site_t *site, uint32_t index, const char *method,
           const char *id, const char *body, long ms)
{
  g_autofree char *url
      = g_strdup_printf ("http://%s:%u" PREFIX "%s",
                         site->daemons[index].address, FRONT_PORT, id);

  return call (method, url, body, body ? strlen (body) : 0, ms);
}

char *
site_job_body (uint32_t count, uint32_t ms)
{
  return g_strdup_printf (
      "{\"spec\":\"%u\",\"steps\":[{\"count\":%u,\"cpu\":1000,\"mem_mb\":64,"
      "\"estimate_ms\":%u}]}",
      ms, count, ms);
}

static size_t
append_body (char *data, size_t size, size_t count, void *to)
{
  g_string_append_len (to, data, (gssize)(size * count));
  return size * count;
}

uint64_t
site_count_calls (const site_t *site, uint32_t index)
{
  g_autofree char *url = g_strdup_printf (
      "http://%s:%u/metrics", site->daemons[index].address, READY_PORT);
  GString *text = g_string_new ("\n");
  CURL *easy = curl_easy_init ();
  const char *line;
  uint64_t count = 0;

  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, text);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  site_require (curl_easy_perform (easy) == CURLE_OK, "no metrics");
  line = strstr (text->str, CALLS_METRIC);
  site_require (line != NULL, "no count of calls to workers");
  if (line)
    count = g_ascii_strtoull (line + strlen (CALLS_METRIC), NULL, 10);
  curl_easy_cleanup (easy);
  g_string_free (text, TRUE);
  return count;
}

void
site_submit_job (site_t *site, uint32_t index, uint32_t count, uint32_t ms)
{
  g_autofree char *id = g_strdup_printf ("%016x", ++site->jobs);
  g_autofree char *body = site_job_body (count, ms);

  site_require (site_call (site, index, "POST", id, body, CALL_TIMEOUT_MS)
                    == 200,
                "job not accepted");
}

void
site_run_job (site_t *site, uint32_t index, uint32_t ms)
{
  uint32_t before = workers_starts (site->workers, WORKERS_ALL_ZONES);

  site_submit_job (site, index, SITE_JOB_TASKS, ms);
  site_require (workers_await_starts (site->workers, WORKERS_ALL_ZONES,
                                      before + SITE_JOB_TASKS,
                                      g_get_monotonic_time () + SITE_WAIT_US),
                "tasks have not started");
}

void
site_await_end (site_t *site, uint32_t index)
{
  g_autofree char *text = g_strdup_printf (" job-final id=%016x ", site->jobs);

  site_await (site, index, text);
}

void
site_run_jobs (site_t *site, uint32_t index, int64_t end_us)
{
  while (g_get_monotonic_time () < end_us)
    site_run_job (site, index, 100);
}

long
site_evacuate (site_t *site)
{
  g_autofree char *url
      = g_strdup_printf ("http://127.0.0.1:%u/log-append?topic=keyed.op",
                         store_port (site->store));
  g_autoptr (GByteArray) body = g_byte_array_new ();
  uint8_t key_len = strlen (EVACUATE_KEY);
  uint32_t len = GUINT32_TO_BE (1u + key_len + 2);
  long status;

  g_byte_array_append (body, (const guint8 *)&len, sizeof len);
  g_byte_array_append (body, &key_len, 1);
  g_byte_array_append (body, (const guint8 *)EVACUATE_KEY, key_len);
  g_byte_array_append (body, (const guint8 *)"{}", 2);
  status = post (url, body->data, body->len);
  if (status == 200)
    workers_evacuate (site->workers, EVACUATED_ZONE, site->evacuate_ms);
  return status;
}

void
site_take_back (site_t *site)
{
  workers_take_back (site->workers, EVACUATED_ZONE);
  store_put (site->store, "keyed.op", EVACUATE_KEY, NULL);
}
