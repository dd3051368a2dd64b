#include "worker.h"
#include "support.h"
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#define EVENTS_MAX 256

void
request_id_write (char *to, int64_t now_ms, uint16_t random, uint64_t serial)
{
  static const char digits[] = "0123456789abcdef";
  uint64_t high
      = (uint64_t)now_ms << 16 | UINT64_C (0x7000) | (random & 0xfff);
  uint64_t low = UINT64_C (0x8) << 60 | (serial & (UINT64_MAX >> 4));

  for (int i = 0, nibble = 0; i < LOAD_ID_BYTES; i++)
    {
      uint64_t half = nibble < 16 ? high : low;

      if (i == 8 || i == 13 || i == 18 || i == 23)
        to[i] = '-';
      else
        {
          to[i] = digits[half >> (60 - 4 * (nibble % 16)) & 0xf];
          nibble++;
        }
    }
}

void
worker_push_idle (worker_t *worker, connection_t *conn)
{
  uint32_t at = worker->idle_head + worker->idle_count;

  if (conn->in_idle_ring)
    return;
  conn->in_idle_ring = true;
  worker->idle[at < worker->count ? at : at - worker->count] = conn;
  worker->idle_count++;
}

/* Returns the connection that has been idle for longest, or NULL.  Skips
   connections that were closed while in the ring.  */
static connection_t *
pop_idle (worker_t *worker)
{
  while (worker->idle_count > 0)
    {
      connection_t *conn = worker->idle[worker->idle_head];

      if (++worker->idle_head == worker->count)
        worker->idle_head = 0;
      worker->idle_count--;
      conn->in_idle_ring = false;
      if (conn->state == CONNECTION_IDLE)
        return conn;
    }
  return NULL;
}

/* Open loop: returns the intended send time of request INDEX.  */
static int64_t
intended_time_us (const worker_t *worker, uint64_t index)
{
  return worker->start_us + (int64_t)((double)index * worker->interval_us);
}

static bool
is_open_loop (const worker_t *worker)
{
  return worker->interval_us > 0;
}

/* Sends every request that is due while a connection is idle.  */
static void
send_due (worker_t *worker, int64_t now_us)
{
  connection_t *conn;

  while (!is_open_loop (worker)
         || intended_time_us (worker, worker->next_index) <= now_us)
    {
      conn = pop_idle (worker);
      if (!conn)
        return;
      connection_send (conn, is_open_loop (worker) ? intended_time_us (
                                 worker, worker->next_index++)
                                                   : clock_mono_us ());
    }
}

static void
reconnect_closed (worker_t *worker, int64_t now_us)
{
  if (worker->reconnect_us == 0 || now_us < worker->reconnect_us)
    return;
  worker->reconnect_us = 0;
  for (uint32_t i = 0; i < worker->count; i++)
    if (worker->connections[i].state == CONNECTION_CLOSED)
      connection_open (&worker->connections[i]);
}

/* Ends sending; counts due requests that found no idle connection.  */
static void
stop_sending (worker_t *worker)
{
  worker->draining = true;
  while (worker->start_us && is_open_loop (worker)
         && intended_time_us (worker, worker->next_index) < worker->end_us)
    {
      worker->next_index++;
      worker->tally.not_sent++;
    }
}

/* Runs one iteration of the event loop; returns false after the last.  */
static bool
run_iteration (worker_t *worker, int64_t now_us)
{
  if (!worker->start_us && worker->connecting == 0)
    {
      worker->start_us = now_us;
      worker->end_us = now_us + worker->options->duration_us;
      worker->tally.first_us = now_us;
    }
  if (!worker->draining && now_us >= worker->end_us)
    stop_sending (worker);
  if (worker->draining)
    return worker->busy > 0
           && now_us < worker->end_us + worker->options->grace_us;
  reconnect_closed (worker, now_us);
  if (worker->start_us)
    send_due (worker, now_us);
  return true;
}

/* Returns the time by which the loop must run again even without events.  */
static int64_t
next_wakeup_us (const worker_t *worker)
{
  int64_t next_us = worker->end_us;

  if (worker->draining)
    return worker->end_us + worker->options->grace_us;
  if (worker->reconnect_us)
    next_us = MIN (next_us, worker->reconnect_us);
  if (worker->start_us && is_open_loop (worker) && worker->idle_count > 0)
    next_us = MIN (next_us, intended_time_us (worker, worker->next_index));
  return next_us;
}

static void
wait_events (worker_t *worker)
{
  struct epoll_event events[EVENTS_MAX];
  int64_t left_us = next_wakeup_us (worker) - clock_mono_us ();
  int64_t wait_us = MAX (left_us, 0);
  struct timespec timeout
      = { .tv_sec = wait_us / 1000000, .tv_nsec = wait_us % 1000000 * 1000 };
  int count
      = epoll_pwait2 (worker->epoll_fd, events, EVENTS_MAX, &timeout, NULL);

  if (count < 0 && errno != EINTR)
    support_fatal ("epoll_pwait2");
  for (int i = 0; i < count; i++)
    connection_handle_events (events[i].data.ptr, events[i].events);
}

static gpointer
run (gpointer data)
{
  worker_t *worker = data;
  const load_options_t *options = worker->options;

  /* Bounds the time to open all connections; the run starts when they are
     open.  */
  worker->end_us = clock_mono_us () + options->duration_us;
  for (uint32_t i = 0; i < worker->count; i++)
    connection_open (&worker->connections[i]);
  while (run_iteration (worker, clock_mono_us ()))
    wait_events (worker);
  for (uint32_t i = 0; i < worker->count; i++)
    connection_close (&worker->connections[i]);
  return NULL;
}

worker_t *
worker_start (const load_options_t *options, uint32_t number)
{
  worker_t *worker = g_new0 (worker_t, 1);
  uint32_t rest = options->connections % options->threads;

  worker->options = options;
  worker->count = options->connections / options->threads + (number < rest);
  worker->random = (uint16_t)number;
  worker->serial = (uint64_t)g_random_int () << 28;
  if (options->rate > 0)
    worker->interval_us = 1e6 * options->threads / options->rate;
  worker->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  if (worker->epoll_fd < 0)
    support_fatal ("epoll_create1");
  worker->connections = g_new0 (connection_t, worker->count);
  worker->idle = g_new0 (connection_t *, worker->count);
  for (uint32_t i = 0; i < worker->count; i++)
    {
      worker->connections[i].worker = worker;
      worker->connections[i].fd = -1;
      worker->connections[i].request
          = g_memdup2 (options->request, options->request_len);
    }
  worker->thread = g_thread_new ("load", run, worker);
  return worker;
}

void
worker_join (worker_t *worker, tally_t *tally)
{
  g_thread_join (worker->thread);
  tally_merge (tally, &worker->tally);
  for (uint32_t i = 0; i < worker->count; i++)
    {
      g_free (worker->connections[i].request);
      g_free (worker->connections[i].buffer);
    }
  close (worker->epoll_fd);
  g_free (worker->connections);
  g_free (worker->idle);
  g_free (worker);
}
