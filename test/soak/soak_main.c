/* soak - real daemons beside stand-ins of the platform, with faults from
   outside

   usage: soak DAEMON SEED SECONDS [DAEMONS]

   Starts daemons as processes, submits jobs to any of them and cancels some,
   while daemons are killed, stopped and paused, workers crash, go silent and
   carry orders out late, and the store is down, slow, loses answers or forgets
   its history.  Then it lets the faults end and checks that each accepted job
   came to its end, that cancelled work stopped, and that no promise was broken
   that workers watch.  Exit status 0 when all held.  */

#include "stand.h"
#include <arpa/inet.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define HOST "soak.example"
#define PREFIX "/q/"
#define WORKERS 4
#define CORES 6
#define DAEMONS_MAX 9
/* After the faults: a take-over, the longest lease, and the work itself.  */
#define SETTLE_S 40
#define CALL_TIMEOUT_MS 2500L

typedef struct job
{
  char id[17];
  bool accepted;
  bool cancelled;    /* and that was acknowledged */
  bool refused_only; /* every attempt was said not to have run */
} job_t;

typedef struct process
{
  pid_t pid;
  uint16_t front;
  uint16_t ready;
  char *settings;
  bool paused;
} process_t;

typedef struct soak
{
  const char *daemon;
  char *dir;
  store_t *store;
  workers_t *workers;
  process_t processes[DAEMONS_MAX];
  uint32_t count;
  GRand *rand;
  GArray *jobs;
  uint32_t faults;
} soak_t;

static void
fail (soak_t *soak, const char *what, const char *id)
{
  soak->faults++;
  printf ("broken: %s %s\n", what, id);
  fflush (stdout);
}

static uint16_t
free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (fd < 0 || bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || getsockname (fd, (struct sockaddr *)&address, &len) != 0)
    exit (EXIT_FAILURE);
  close (fd);
  return ntohs (address.sin_port);
}

static void
launch (soak_t *soak, process_t *process)
{
  g_autofree char *log = g_strdup_printf ("%s.log", process->settings);

  process->paused = false;
  fflush (stdout);
  process->pid = fork ();
  if (process->pid != 0)
    return;
  if (!freopen (log, "a", stdout) || !freopen (log, "a", stderr))
    _exit (EXIT_FAILURE);
  execl (soak->daemon, soak->daemon, "--entry", process->settings,
         (char *)NULL);
  _exit (EXIT_FAILURE);
}

static void
prepare (soak_t *soak, uint32_t index)
{
  process_t *process = &soak->processes[index];
  g_autofree char *text = NULL;

  process->front = free_port ();
  process->ready = free_port ();
  process->settings = g_strdup_printf ("%s/d%u.yaml", soak->dir, index);
  text = g_strdup_printf (
      "name: d%u\ndata_centre: dc\nfront: 127.0.0.1:%u\nready: "
      "127.0.0.1:%u\nstore: 127.0.0.1:%u\nhosts_api: \"\"\ncpu_share: "
      "1.0\nhold_max_ms: 3000\nstop_grace_ms: 100\ngrace_s: 3\nkeep_s: 8\n",
      index, process->front, process->ready, store_port (soak->store));
  if (!g_file_set_contents (process->settings, text, -1, NULL))
    exit (EXIT_FAILURE);
  launch (soak, process);
}

static size_t
keep (char *data, size_t size, size_t count, void *to)
{
  g_string_append_len (to, data, (gssize)(size * count));
  return size * count;
}

/* The status of METHOD on job ID at a daemon; 0: no answer.  */
static long
call (const process_t *process, const char *method, const char *id,
      const char *body, GString *answer)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u" PREFIX "%s",
                                          process->front, id);
  struct curl_slist *headers = curl_slist_append (NULL, "Host: " HOST);
  CURL *easy = curl_easy_init ();
  long status = 0;

  headers = curl_slist_append (headers, "Expect:");
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, keep);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, answer);
  if (body)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
  if (curl_easy_perform (easy) == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (easy);
  curl_slist_free_all (headers);
  return status;
}

static process_t *
any_process (soak_t *soak)
{
  return &soak->processes[g_rand_int_range (soak->rand, 0,
                                            (gint32)soak->count)];
}

static void
submit (soak_t *soak, uint32_t number)
{
  g_autofree char *body = g_strdup_printf (
      "{\"spec\":\"%d\",\"steps\":[{\"count\":%d,\"cpu\":1000,\"mem_mb\":64,"
      "\"estimate_ms\":300},{\"count\":1,\"cpu\":1000,\"mem_mb\":64,"
      "\"estimate_ms\":300,\"after\":[0]}]}",
      g_rand_int_range (soak->rand, 100, 500),
      g_rand_int_range (soak->rand, 1, 4));
  job_t job = { .refused_only = true };

  g_snprintf (job.id, sizeof job.id, "%016x", number);
  for (uint32_t try = 0; try < 3 && !job.accepted; try++)
    {
      g_autoptr (GString) answer = g_string_new (NULL);
      long status = call (any_process (soak), "POST", job.id, body, answer);

      job.accepted = status == 200;
      job.refused_only &= status == 503 || status == 429;
    }
  g_array_append_val (soak->jobs, job);
}

static void
cancel_any (soak_t *soak)
{
  job_t *job;
  g_autoptr (GString) answer = g_string_new (NULL);

  if (soak->jobs->len == 0)
    return;
  job = &g_array_index (
      soak->jobs, job_t,
      g_rand_int_range (soak->rand, 0, (gint32)soak->jobs->len));
  if (job->accepted
      && call (any_process (soak), "DELETE", job->id, NULL, answer) == 200)
    job->cancelled = true;
}

static void
finish (process_t *process)
{
  int status;

  if (process->paused)
    kill (process->pid, SIGCONT);
  waitpid (process->pid, &status, 0);
}

typedef enum fault
{
  FAULT_KILL,
  FAULT_STOP,
  FAULT_PAUSE,
  FAULT_KILL_ALL,
  FAULT_CRASH,
  FAULT_MUTE,
  FAULT_LATE,
  FAULT_DOWN,
  FAULT_SLOW,
  FAULT_LOSE,
  FAULT_FORGET,
  FAULT_NONE,
  FAULT_COUNT
} fault_t;

static void
restart (soak_t *soak, process_t *process, int signal)
{
  kill (process->pid, signal);
  finish (process);
  launch (soak, process);
}

static void
resume_all (soak_t *soak)
{
  store_faults_t none = { 0 };

  for (uint32_t i = 0; i < soak->count; i++)
    if (soak->processes[i].paused)
      {
        kill (soak->processes[i].pid, SIGCONT);
        soak->processes[i].paused = false;
      }
  store_set_faults (soak->store, &none);
  workers_late (soak->workers, 0, 0);
}

static void
inject (soak_t *soak)
{
  fault_t fault = (fault_t)g_rand_int_range (soak->rand, 0, FAULT_COUNT);
  uint32_t n = g_rand_int (soak->rand);
  process_t *process = any_process (soak);
  store_faults_t faults = { 0 };

  printf ("fault %d\n", (int)fault);
  switch (fault)
    {
    case FAULT_KILL:
      restart (soak, process, SIGKILL);
      return;
    case FAULT_STOP:
      restart (soak, process, SIGTERM);
      return;
    case FAULT_PAUSE:
      kill (process->pid, SIGSTOP);
      process->paused = true;
      return;
    case FAULT_KILL_ALL:
      for (uint32_t i = 0; i < soak->count; i++)
        restart (soak, &soak->processes[i], SIGKILL);
      return;
    case FAULT_CRASH:
      workers_crash (soak->workers, n);
      return;
    case FAULT_MUTE:
      workers_mute (soak->workers, n, 500 + n % 5000);
      return;
    case FAULT_LATE:
      workers_late (soak->workers, 20, 200 + n % 4000);
      return;
    case FAULT_DOWN:
      faults.down = true;
      break;
    case FAULT_SLOW:
      faults.delay_ms = 20 + n % 200;
      break;
    case FAULT_LOSE:
      faults.lose_percent = 30;
      break;
    case FAULT_FORGET:
      store_forget (soak->store, "keyed.op", 0);
      store_forget (soak->store, "cuminpin-jobs", 200);
      return;
    case FAULT_NONE:
    case FAULT_COUNT:
      resume_all (soak);
      return;
    }
  store_set_faults (soak->store, &faults);
}

static bool
is_final (const char *state)
{
  return strstr (state, "complete") || strstr (state, "failed")
         || strstr (state, "cancelled");
}

/* How JOB stands at PROCESS; false: not as it has to end.  */
static bool
has_ended (const process_t *process, const job_t *job, GString *state)
{
  long status;

  g_string_truncate (state, 0);
  status = call (process, "GET", job->id, NULL, state);
  return status == 200 && is_final (state->str);
}

static void
check_job (soak_t *soak, const job_t *job, int64_t until_us)
{
  g_autoptr (GString) state = g_string_new (NULL);

  for (uint32_t i = 0; i < soak->count; i++)
    {
      while (!has_ended (&soak->processes[i], job, state)
             && g_get_monotonic_time () < until_us)
        g_usleep (100000);
      if (!is_final (state->str))
        fail (soak, "accepted, and not ended:", job->id);
      else if (strstr (state->str, "failed"))
        fail (soak, "failed, though no task did:", job->id);
      else if (job->cancelled && strstr (state->str, "cancelled") == NULL
               && strstr (state->str, "complete") == NULL)
        fail (soak, "cancelled, and shown otherwise:", job->id);
    }
}

static void
check (soak_t *soak)
{
  int64_t until_us = g_get_monotonic_time () + SETTLE_S * G_USEC_PER_SEC;
  g_autoptr (GString) state = g_string_new (NULL);
  uint32_t accepted = 0;

  for (uint32_t i = 0; i < soak->jobs->len; i++)
    {
      const job_t *job = &g_array_index (soak->jobs, job_t, i);

      accepted += job->accepted;
      if (job->accepted)
        check_job (soak, job, until_us);
      else if (job->refused_only
               && call (&soak->processes[0], "GET", job->id, NULL, state)
                      == 200)
        fail (soak, "refused as not run, and known:", job->id);
    }
  while (workers_running (soak->workers) > 0
         && g_get_monotonic_time () < until_us)
    g_usleep (100000);
  if (workers_running (soak->workers) > 0)
    fail (soak, "work goes on after all jobs have ended", "");
  soak->faults += workers_faults (soak->workers);
  printf ("jobs %u accepted %u broken %u\n", soak->jobs->len, accepted,
          soak->faults);
}

static void
put_rules (soak_t *soak)
{
  store_put (soak->store, "keyed.op", "config",
             "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"" HOST
             "\",\"path_prefix\":\"" PREFIX
             "\",\"service\":\"s\",\"timeout_ms\":2000,"
             "\"target_latency_ms\":600,\"priority\":0,\"max_attempts\":3,"
             "\"stretch_factor\":1.6,\"public\":true}],\"services\":[{"
             "\"name\":\"s\",\"enforces_capacity\":true,\"standby\":false}],"
             "\"tenants\":[]}");
}

static void
run (soak_t *soak, uint32_t seconds)
{
  int64_t end_us = g_get_monotonic_time () + seconds * G_USEC_PER_SEC;
  int64_t fault_us = g_get_monotonic_time () + G_USEC_PER_SEC;
  uint32_t number = 1;

  while (g_get_monotonic_time () < end_us)
    {
      submit (soak, number++);
      if (g_rand_int_range (soak->rand, 0, 10) == 0)
        cancel_any (soak);
      g_usleep (20000);
      if (g_get_monotonic_time () < fault_us)
        continue;
      inject (soak);
      fault_us = g_get_monotonic_time ()
                 + g_rand_int_range (soak->rand, 200000, 1500000);
    }
  resume_all (soak);
}

int
main (int argc, char **argv)
{
  soak_t soak = { 0 };

  if (argc < 4)
    {
      fprintf (stderr, "usage: soak DAEMON SEED SECONDS [DAEMONS]\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  soak.daemon = argv[1];
  soak.rand = g_rand_new_with_seed ((guint32)strtoul (argv[2], NULL, 10));
  soak.count = argc > 4 ? (uint32_t)strtoul (argv[4], NULL, 10) : 3;
  soak.count = CLAMP (soak.count, 1, DAEMONS_MAX);
  soak.dir = g_dir_make_tmp ("soak-XXXXXX", NULL);
  soak.jobs = g_array_new (FALSE, TRUE, sizeof (job_t));
  soak.store = store_start ();
  put_rules (&soak);
  soak.workers = workers_start (soak.store, "s", WORKERS, CORES);
  printf ("soak: seed %s logs %s\n", argv[2], soak.dir);
  for (uint32_t i = 0; i < soak.count; i++)
    prepare (&soak, i);
  run (&soak, (uint32_t)strtoul (argv[3], NULL, 10));
  check (&soak);
  for (uint32_t i = 0; i < soak.count; i++)
    {
      kill (soak.processes[i].pid, SIGTERM);
      finish (&soak.processes[i]);
      g_free (soak.processes[i].settings);
    }
  workers_stop (soak.workers);
  store_stop (soak.store);
  g_array_free (soak.jobs, TRUE);
  g_rand_free (soak.rand);
  g_free (soak.dir);
  curl_global_cleanup ();
  return soak.faults > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}
