#include "bed.h"
#include "cases.h"
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PROGRAM "target/daemon/cuminpind"
#define START_LIMIT_MS 20000
#define LAUNCH_LIMIT_MS 5000

bool trouble = true;
uint32_t advice_decide_ms;
uint32_t advice_period_ms;

static FILE *record;
static int64_t start_ms;
static char *folder; /* settings and logs of the daemons */
static pid_t pids[DAEMONS];
static uint16_t fronts[DAEMONS];
static uint16_t readies[DAEMONS];

int64_t
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
sleep_ms (int64_t ms)
{
  g_usleep ((gulong)ms * 1000);
}

void
note (const char *format, ...)
{
  va_list args;
  g_autofree char *text = NULL;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  fprintf (record, "%7.3f %s\n", (double)(now_ms () - start_ms) / 1000, text);
  fflush (record);
}

static void
daemons_end (void)
{
  for (uint32_t i = 0; i < DAEMONS; i++)
    if (pids[i] > 0)
      {
        kill (pids[i], SIGKILL);
        waitpid (pids[i], NULL, 0);
        pids[i] = 0;
      }
}

static void
folder_remove (void)
{
  for (uint32_t i = 0; folder && i < DAEMONS; i++)
    {
      g_autofree char *settings = g_strdup_printf ("%s/%u.yaml", folder, i);
      g_autofree char *log = g_strdup_printf ("%s/%u.log", folder, i);

      unlink (settings);
      if (!g_getenv ("KEEP"))
        unlink (log);
    }
  if (folder && !g_getenv ("KEEP"))
    rmdir (folder);
}

void
give_up (const char *why)
{
  note ("can't run: %s", why);
  daemons_end ();
  folder_remove ();
  exit (2);
}

/* The settings that deploy/entry.yaml gives on cvs-cuminpin.  */
static void
settings_write (uint32_t i, uint16_t store, uint16_t machines, uint16_t advice)
{
  g_autofree char *path = g_strdup_printf ("%s/%u.yaml", folder, i);
  g_autofree char *text = g_strdup_printf (
      "name: edge-%u\ndata_centre: zone-%c\nfront: 127.0.0.1:%u\n"
      "ready: 127.0.0.1:%u\nstore: 127.0.0.1:%u\npeer: 127.0.0.1:%u\n"
      "hosts_api: \"127.0.0.1:%u\"\nadvice: \"127.0.0.1:%u\"\ncpu_share: "
      "0.25\n"
      "revoke_ms: 5000\nhold_max_ms: 10000\nstop_grace_ms: 400\n"
      "notice_ms: 4500\nhost_lease_ms: 3000\nstatus_s: 120\ngrace_s: 6\n"
      "keep_s: 300\n",
      i, 'a' + (int)i, fronts[i], readies[i], store, free_port (), machines,
      advice);

  if (!g_file_set_contents (path, text, -1, NULL))
    give_up ("can't write settings");
}

static void
daemon_start (uint32_t i)
{
  g_autofree char *variable
      = g_strdup_printf ("CUMINPIN_SETTINGS=%s/%u.yaml", folder, i);
  g_autofree char *log = g_strdup_printf ("%s/%u.log", folder, i);
  char *const argv[] = { PROGRAM, "--entry", NULL };
  char *const env[] = { variable, "PATH=/usr/bin:/bin", NULL };
  pid_t pid = fork ();

  if (pid < 0)
    give_up ("can't fork");
  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL); /* none outlives this process */
      if (!freopen (log, "w", stdout) || !freopen (log, "a", stderr))
        _exit (127);
      execve (PROGRAM, argv, env);
      _exit (127);
    }
  pids[i] = pid;
}

static uint16_t stores[DAEMONS];
static uint16_t machines;
static uint16_t advice;

/* Starts all daemons at new ports.  */
static void
daemons_launch (void)
{
  for (uint32_t i = 0; i < DAEMONS; i++)
    {
      fronts[i] = free_port ();
      readies[i] = free_port ();
    }
  for (uint32_t i = 0; i < DAEMONS; i++)
    settings_write (i, stores[i], machines, advice);
  for (uint32_t i = 0; i < DAEMONS; i++)
    daemon_start (i);
}

void
daemons_start (void)
{
  machines = machines_open ();
  advice = advice_open ();
  store_open (stores);
  daemons_launch ();
}

static uint32_t
get (uint16_t port, const char *path, char *body, size_t size)
{
  g_autofree char *text = g_strdup_printf (
      "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", path);

  return http_call (port, text, strlen (text), 1000, body, size);
}

uint32_t
owner_index (void)
{
  static char body[65536];
  int64_t end_ms = now_ms () + START_LIMIT_MS;

  while (now_ms () < end_ms)
    {
      get (readies[0], "/dump", body, sizeof body);
      sleep_ms (600); /* the daemon renews its dump every 0.5 s */
      if (get (readies[0], "/dump", body, sizeof body) == 200)
        for (uint32_t i = 0; i < DAEMONS; i++)
          {
            g_autofree char *line = g_strdup_printf ("owner edge-%u#", i);

            if (strstr (body, line))
              return i;
          }
    }
  give_up ("no owner");
}

void
daemons_wait_for_owner (void)
{
  int64_t end_ms = now_ms () + START_LIMIT_MS;
  int64_t launch_ms = now_ms ();
  uint32_t ready = 0;
  char body[64];

  while (ready < DAEMONS && now_ms () < end_ms)
    {
      /* Another program may have taken a port meanwhile.  */
      if (now_ms () - launch_ms > LAUNCH_LIMIT_MS)
        {
          daemons_end ();
          daemons_launch ();
          launch_ms = now_ms ();
        }
      sleep_ms (100);
      ready = 0;
      for (uint32_t i = 0; i < DAEMONS; i++)
        ready += get (readies[i], "/readyz", body, sizeof body) == 200;
    }
  if (ready < DAEMONS)
    give_up ("the daemons don't get ready");
  note ("owner is daemon %u", owner_index ());
  sleep_ms (4000); /* contact_ms and more: all is calm */
}

void
config_put (uint32_t version, bool with_route, uint32_t max_attempts)
{
  json_t *config = json_pack (
      "{s:i,s:[],s:[{s:s,s:s,s:i,s:s,s:b,s:b,s:b}],s:{s:i},"
      "s:[{s:s,s:[s],s:i,s:i,s:{s:i,s:i,s:i}}]}",
      "version", (int)version, "routes", "services", "name", "svc",
      "health_path", "/healthz", "max_conns", 64, "protocol", "h1", "tls", 0,
      "enforces_capacity", 1, "standby", 0, "limits", "max_body_bytes", 262144,
      "tenants", "name", "tenant-1", "api_keys", KEY, "priority", 1, "weight",
      50, "cap", "cpu", 0, "mem_mb", 0, "gpu", 0);
  char *text;

  if (with_route)
    json_array_append_new (
        json_object_get (config, "routes"),
        json_pack ("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:f,s:b}", "name",
                   "r-1", "host", HOST, "path_prefix", PREFIX, "type",
                   "unsafe", "timeout_ms", 3000, "target_latency_ms", 600,
                   "priority", 0, "service", "svc", "max_attempts",
                   (int)max_attempts, "stretch_factor", 1.6, "public", 0));
  if (with_route && advice_decide_ms > 0)
    json_object_set_new (
        json_array_get (json_object_get (config, "routes"), 0), "advice",
        json_pack ("{s:i,s:i,s:i}", "decide_ms", (int)advice_decide_ms,
                   "period_ms", (int)advice_period_ms, "valid_ms", 5000));
  text = json_dumps (config, JSON_COMPACT);
  store_put ("keyed.op", "config", text);
  note ("config %u: %s", version,
        with_route ? "with the route" : "without the route");
  free (text);
  json_decref (config);
}

answer_t
call (uint32_t daemon, const char *method, const char *id, const char *body,
      int64_t limit_ms)
{
  answer_t answer = { 0 };
  g_autofree char *text = g_strdup_printf (
      "%s " PREFIX "%s HTTP/1.1\r\nHost: " HOST
      "\r\nAuthorization: Bearer " KEY
      "\r\nX-Deadline-Ms: 3000\r\nContent-Type: application/json\r\n"
      "Content-Length: %zu\r\n\r\n%s",
      method, id, strlen (body), body);

  note ("%s %s to daemon %u", method, id, daemon);
  answer.status = http_call (fronts[daemon], text, strlen (text), limit_ms,
                             answer.body, sizeof answer.body);
  note ("%s %s answered %u %s", method, id, answer.status, answer.body);
  return answer;
}

char *
job_id (void)
{
  return g_strdup_printf ("%08x%08x", g_random_int (), g_random_int ());
}

int
main (int argc, char **argv)
{
  const char *text = g_getenv ("TROUBLE");
  int result = 2;

  if (argc != 3)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  trouble = !text || strcmp (text, "0") != 0;
  record = fopen (argv[2], "w");
  if (!record)
    return 2;
  start_ms = now_ms ();
  folder = g_dir_make_tmp ("review-XXXXXX", NULL);
  if (!folder)
    give_up ("no temporary folder");
  if (g_getenv ("KEEP"))
    fprintf (stderr, "%s\n", folder);
  for (uint32_t i = 0; i < cases_count; i++)
    if (strcmp (cases[i].name, argv[1]) == 0)
      result = cases[i].run ();
  for (uint32_t i = 0; i < DAEMONS; i++)
    if (pids[i] > 0 && waitpid (pids[i], NULL, WNOHANG) == pids[i])
      {
        note ("daemon %u ended by itself", i);
        pids[i] = 0;
      }
  note ("result: %s", result == 1   ? "the rule was broken"
                      : result == 0 ? "the rule held"
                                    : "could not run");
  daemons_end ();
  folder_remove ();
  return result;
}
