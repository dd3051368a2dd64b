/* load - sends HTTP/1.1 requests and says what became of them

   usage: load --url URL [--key KEY] [--connections N] [--threads N]
               [--seconds N] [--rate R] [--deadline-ms N]
               [--idempotent yes|no] [--check-id] [--idle-connections N]
               [--ready FILE] [--json]

   Closed loop: each connection sends its next request when it has its answer.
   With --rate, requests are due at even times, and a latency counts from the
   time at which the request was due, whether or not a connection was free.
   Sending ends after the time given; answers still out are waited for.

   Exit status 1 when an answer was wrong, was lost, the counts don't
   balance, or nothing could be sent; 2 for a wrong command line.  */

#include "load.h"
#include "support.h"
#include <argtable2.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define EXIT_USAGE 2
#define GRACE_US (INT64_C (10) * 1000000)
#define THREADS_MAX 64

typedef struct idle_set
{
  int *fds;
  uint32_t count;
} idle_set_t;

/* Opens COUNT connections and waits until all are open.  */
static idle_set_t
idle_open (const plan_t *plan, uint32_t count)
{
  idle_set_t set = { g_new (int, count + 1), count };
  struct epoll_event event = { .events = EPOLLOUT | EPOLLONESHOT };
  int epoll_fd = epoll_create1 (EPOLL_CLOEXEC);

  for (uint32_t i = 0; i < count; i++)
    {
      set.fds[i] = support_connect (plan->address, plan->port);
      if (set.fds[i] < 0
          || epoll_ctl (epoll_fd, EPOLL_CTL_ADD, set.fds[i], &event) != 0)
        support_fatal ("idle connection");
    }
  for (uint32_t open = 0; open < count; open++)
    if (epoll_wait (epoll_fd, &event, 1, GRACE_US / 1000) != 1
        || (event.events & (EPOLLERR | EPOLLHUP)))
      support_fatal ("idle connection");
  close (epoll_fd);
  return set;
}

/* Closes the connections; the number of those that were still open.  */
static uint32_t
idle_close (idle_set_t *set)
{
  uint32_t open = 0;
  char byte;

  for (uint32_t i = 0; i < set->count; i++)
    {
      open += recv (set->fds[i], &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0;
      close (set->fds[i]);
    }
  g_free (set->fds);
  return open;
}

static bool
plan_url (plan_t *plan, const char *url, char **path)
{
  g_autofree char *scheme = NULL;
  g_autofree char *query = NULL;
  g_autofree char *plain = NULL;
  struct in_addr addr;
  int port = -1;

  if (!g_uri_split (url, G_URI_FLAGS_ENCODED, &scheme, NULL, &plan->address,
                    &port, &plain, &query, NULL, NULL)
      || g_strcmp0 (scheme, "http") != 0 || port <= 0 || !plan->address
      || inet_pton (AF_INET, plan->address, &addr) != 1)
    return false;
  plan->port = (uint16_t)port;
  *path
      = g_strconcat (plain[0] ? plain : "/", query ? "?" : NULL, query, NULL);
  return true;
}

static void
plan_request (plan_t *plan, const char *path, const char *key, int deadline_ms,
              bool idempotent)
{
  GString *text = g_string_new (NULL);

  g_string_printf (text,
                   "GET %s HTTP/1.1\r\nHost: %s:%u\r\nX-Request-Id: ", path,
                   plan->address, plan->port);
  plan->id_at = text->len;
  g_string_append_printf (text, "%*s\r\n", LOAD_ID_BYTES, "");
  if (key)
    g_string_append_printf (text, "Authorization: Bearer %s\r\n", key);
  if (deadline_ms > 0)
    g_string_append_printf (text, "X-Deadline-Ms: %d\r\n", deadline_ms);
  if (!idempotent)
    g_string_append (text, "X-Idempotent: no\r\n");
  g_string_append (text, "\r\n");
  plan->request_len = text->len;
  plan->request = g_string_free (text, FALSE);
}

/* One descriptor for each connection may exceed the soft limit.  */
static void
raise_descriptor_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit (RLIMIT_NOFILE, &limit);
}

static int
run (const plan_t *plan, uint32_t idle_count, const char *ready, bool json)
{
  tally_t *tally = g_new0 (tally_t, 1);
  worker_t *workers[THREADS_MAX];
  idle_set_t idle = idle_open (plan, idle_count);
  uint32_t still_open;
  bool good;

  support_write_ready_file (ready, "ready\n");
  for (uint32_t i = 0; i < plan->threads; i++)
    workers[i] = worker_start (plan, i);
  for (uint32_t i = 0; i < plan->threads; i++)
    worker_join (workers[i], tally);
  still_open = idle_close (&idle);
  tally_print (tally, json);
  if (still_open < idle_count)
    fprintf (stderr, "load: %u of %u idle connections were closed\n",
             idle_count - still_open, idle_count);
  good = tally_is_good (tally) && (tally->sent > 0 || plan->connections == 0);
  g_free (tally);
  return good ? EXIT_SUCCESS : EXIT_FAILURE;
}

static int
usage (void **table, size_t count, struct arg_end *end)
{
  arg_print_errors (stderr, end, "load");
  fprintf (stderr, "usage: load");
  arg_print_syntax (stderr, table, "\n");
  arg_freetable (table, count);
  return EXIT_USAGE;
}

int
main (int argc, char **argv)
{
  struct arg_str *url = arg_str1 (NULL, "url", "URL", "http://IP:PORT/PATH");
  struct arg_str *key = arg_str0 (NULL, "key", "KEY", "key of a team");
  struct arg_int *connections = arg_int0 (NULL, "connections", "N", "(1)");
  struct arg_int *threads = arg_int0 (NULL, "threads", "N", "(1)");
  struct arg_int *seconds = arg_int0 (NULL, "seconds", "N", "(1)");
  struct arg_dbl *rate = arg_dbl0 (NULL, "rate", "R", "0: closed loop (0)");
  struct arg_int *deadline = arg_int0 (NULL, "deadline-ms", "N", "0: none");
  struct arg_str *idempotent
      = arg_str0 (NULL, "idempotent", "yes|no", "(yes)");
  struct arg_lit *check = arg_lit0 (NULL, "check-id", "check ids of answers");
  struct arg_int *idle = arg_int0 (NULL, "idle-connections", "N", "(0)");
  struct arg_str *ready
      = arg_str0 (NULL, "ready", "FILE", "written when idle ones are open");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print a JSON object");
  struct arg_end *end = arg_end (10);
  void *table[]
      = { url,        key,   connections, threads, seconds, rate, deadline,
          idempotent, check, idle,        ready,   json,    end };
  plan_t plan = { .grace_us = GRACE_US };
  g_autofree char *path = NULL;
  int status;

  connections->ival[0] = threads->ival[0] = seconds->ival[0] = 1;
  rate->dval[0] = deadline->ival[0] = idle->ival[0] = 0;
  idempotent->sval[0] = "yes";
  if (arg_parse (argc, argv, table) > 0 || connections->ival[0] < 0
      || threads->ival[0] < 1 || threads->ival[0] > THREADS_MAX
      || seconds->ival[0] < 1 || rate->dval[0] < 0 || idle->ival[0] < 0
      || (strcmp (idempotent->sval[0], "yes") != 0
          && strcmp (idempotent->sval[0], "no") != 0)
      || !plan_url (&plan, url->sval[0], &path))
    {
      g_free (plan.address);
      return usage (table, G_N_ELEMENTS (table), end);
    }
  plan.connections = (uint32_t)connections->ival[0];
  plan.threads = (uint32_t)MIN (threads->ival[0], MAX (1, plan.connections));
  plan.duration_us = (int64_t)seconds->ival[0] * 1000000;
  plan.grace_us += (int64_t)deadline->ival[0] * 1000;
  plan.rate = rate->dval[0];
  plan.check_id = check->count > 0;
  plan_request (&plan, path, key->count ? key->sval[0] : NULL,
                deadline->ival[0], idempotent->sval[0][0] == 'y');
  raise_descriptor_limit ();
  status = run (&plan, (uint32_t)idle->ival[0],
                ready->count ? ready->sval[0] : NULL, json->count > 0);
  g_free (plan.address);
  g_free (plan.request);
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
