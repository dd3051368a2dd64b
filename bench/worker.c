#include "worker.h"
#include "support.h"
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#define EVENTS_MAX 256

void
id_write (char *to, int64_t now_ms, uint16_t random, uint64_t serial)
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
worker_add_idle (worker_t *worker, client_t *client)
{
  uint32_t at = worker->idle_head + worker->idle_count;

  if (client->listed)
    return;
  client->listed = true;
  worker->idle[at < worker->count ? at : at - worker->count] = client;
  worker->idle_count++;
}

/* The longest idle connection, or NULL.  Connections that were closed while
   they were idle are still in the list and passed over.  */
static client_t *
take_idle (worker_t *worker)
{
  while (worker->idle_count > 0)
    {
      client_t *client = worker->idle[worker->idle_head];

      if (++worker->idle_head == worker->count)
        worker->idle_head = 0;
      worker->idle_count--;
      client->listed = false;
      if (client->state == CLIENT_IDLE)
        return client;
    }
  return NULL;
}

/* Open loop: the intended time of request INDEX.  */
static int64_t
due_us (const worker_t *worker, uint64_t index)
{
  return worker->start_us + (int64_t)((double)index * worker->interval_us);
}

static bool
is_open_loop (const worker_t *worker)
{
  return worker->interval_us > 0;
}

/* Sends all that can be sent now.  */
static void
send_due (worker_t *worker, int64_t now_us)
{
  client_t *client;

  while (!is_open_loop (worker)
         || due_us (worker, worker->due_index) <= now_us)
    {
      client = take_idle (worker);
      if (!client)
        return;
      client_send (client, is_open_loop (worker)
                               ? due_us (worker, worker->due_index++)
                               : clock_mono_us ());
    }
}

static void
reopen (worker_t *worker, int64_t now_us)
{
  if (worker->reopen_us == 0 || now_us < worker->reopen_us)
    return;
  worker->reopen_us = 0;
  for (uint32_t i = 0; i < worker->count; i++)
    if (worker->clients[i].state == CLIENT_DOWN)
      client_open (&worker->clients[i]);
}

/* Requests that were due but found no connection free.  */
static void
end_sending (worker_t *worker)
{
  worker->ending = true;
  while (worker->start_us && is_open_loop (worker)
         && due_us (worker, worker->due_index) < worker->end_us)
    {
      worker->due_index++;
      worker->tally.not_sent++;
    }
}

/* One turn of the loop; false when the thread is done.  */
static bool
turn (worker_t *worker, int64_t now_us)
{
  if (!worker->start_us && worker->opening == 0)
    {
      worker->start_us = now_us;
      worker->end_us = now_us + worker->plan->duration_us;
      worker->tally.first_us = now_us;
    }
  if (!worker->ending && now_us >= worker->end_us)
    end_sending (worker);
  if (worker->ending)
    return worker->busy > 0
           && now_us < worker->end_us + worker->plan->grace_us;
  reopen (worker, now_us);
  if (worker->start_us)
    send_due (worker, now_us);
  return true;
}

/* The time at which the loop has to turn even without an event.  */
static int64_t
next_turn_us (const worker_t *worker)
{
  int64_t next_us = worker->end_us;

  if (worker->ending)
    return worker->end_us + worker->plan->grace_us;
  if (worker->reopen_us)
    next_us = MIN (next_us, worker->reopen_us);
  if (worker->start_us && is_open_loop (worker) && worker->idle_count > 0)
    next_us = MIN (next_us, due_us (worker, worker->due_index));
  return next_us;
}

static void
wait_events (worker_t *worker)
{
  struct epoll_event events[EVENTS_MAX];
  int64_t left_us = next_turn_us (worker) - clock_mono_us ();
  int64_t wait_us = MAX (left_us, 0);
  struct timespec timeout
      = { .tv_sec = wait_us / 1000000, .tv_nsec = wait_us % 1000000 * 1000 };
  int count
      = epoll_pwait2 (worker->epoll_fd, events, EVENTS_MAX, &timeout, NULL);

  if (count < 0 && errno != EINTR)
    support_fatal ("epoll_pwait2");
  for (int i = 0; i < count; i++)
    client_event (events[i].data.ptr, events[i].events);
}

static gpointer
run (gpointer data)
{
  worker_t *worker = data;
  const plan_t *plan = worker->plan;

  /* Until all connections are open, the time to open them has this bound.  */
  worker->end_us = clock_mono_us () + plan->duration_us;
  for (uint32_t i = 0; i < worker->count; i++)
    client_open (&worker->clients[i]);
  while (turn (worker, clock_mono_us ()))
    wait_events (worker);
  for (uint32_t i = 0; i < worker->count; i++)
    client_close (&worker->clients[i]);
  return NULL;
}

worker_t *
worker_start (const plan_t *plan, uint32_t number)
{
  worker_t *worker = g_new0 (worker_t, 1);
  uint32_t rest = plan->connections % plan->threads;

  worker->plan = plan;
  worker->count = plan->connections / plan->threads + (number < rest);
  worker->random = (uint16_t)number;
  worker->serial = (uint64_t)g_random_int () << 28;
  if (plan->rate > 0)
    worker->interval_us = 1e6 * plan->threads / plan->rate;
  worker->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  if (worker->epoll_fd < 0)
    support_fatal ("epoll_create1");
  worker->clients = g_new0 (client_t, worker->count);
  worker->idle = g_new0 (client_t *, worker->count);
  for (uint32_t i = 0; i < worker->count; i++)
    {
      worker->clients[i].worker = worker;
      worker->clients[i].fd = -1;
      worker->clients[i].request
          = g_memdup2 (plan->request, plan->request_len);
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
      g_free (worker->clients[i].request);
      g_free (worker->clients[i].in);
    }
  close (worker->epoll_fd);
  g_free (worker->clients);
  g_free (worker->idle);
  g_free (worker);
}
