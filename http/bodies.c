#include "bodies.h"

#define BUFFER_MIN_BYTES 64

struct bodies
{
  bodies_limits_t limits;
  GQueue idle;    /* body_t, those that are idle for the longest time first */
  GQueue reading; /* the longest without progress first */
  GQueue started; /* the same as in READING, oldest first */
  GQueue closed;  /* to be closed by the caller */
  uint64_t used_bytes;
  uint64_t complete_bytes; /* of USED_BYTES, held by complete requests */
  uint32_t connections;
};

bodies_t *
bodies_new (const bodies_limits_t *limits)
{
  bodies_t *bodies = g_new0 (bodies_t, 1);

  bodies->limits = *limits;
  return bodies;
}

void
bodies_free (bodies_t *bodies)
{
  g_free (bodies);
}

/* The memory of a buffer of LEN bytes that doubles as it grows.  */
static uint64_t
buffer_bytes (uint64_t len)
{
  uint64_t size = BUFFER_MIN_BYTES;

  if (len == 0)
    return 0;
  while (size < len)
    size *= 2;
  return size;
}

static void
hold (bodies_t *bodies, body_t *body, uint64_t bytes)
{
  bodies->used_bytes += bytes - body->held_bytes;
  body->held_bytes = bytes;
}

/* Takes BODY out of the queues of its phase.  */
static void
leave_phase (bodies_t *bodies, body_t *body)
{
  switch (body->phase)
    {
    case BODY_IDLE:
      g_queue_unlink (&bodies->idle, &body->by_progress);
      return;
    case BODY_READING:
      g_queue_unlink (&bodies->reading, &body->by_progress);
      g_queue_unlink (&bodies->started, &body->by_start);
      return;
    case BODY_COMPLETE:
      bodies->complete_bytes -= body->held_bytes;
      return;
    case BODY_CLOSED:
      if (body->by_progress.data)
        g_queue_unlink (&bodies->closed, &body->by_progress);
      return;
    }
}

static void
enter_idle (bodies_t *bodies, body_t *body, int64_t now_us)
{
  body->phase = BODY_IDLE;
  body->progress_us = now_us;
  g_queue_push_tail_link (&bodies->idle, &body->by_progress);
}

static void
close_body (bodies_t *bodies, body_t *body, body_verdict_t why)
{
  leave_phase (bodies, body);
  hold (bodies, body, 0);
  bodies->connections--;
  body->phase = BODY_CLOSED;
  body->why = why;
  g_queue_push_tail_link (&bodies->closed, &body->by_progress);
}

static bool
is_over_time (const bodies_t *bodies, const body_t *body, int64_t now_us)
{
  return bodies->limits.request_max_us > 0
         && now_us - body->started_us > bodies->limits.request_max_us;
}

static void
close_over_time (bodies_t *bodies, int64_t now_us)
{
  body_t *oldest;

  while ((oldest = g_queue_peek_head (&bodies->started))
         && is_over_time (bodies, oldest, now_us))
    close_body (bodies, oldest, BODY_TOO_SLOW);
}

/* The connection to be closed if there are too many, see the header.  */
static body_t *
spare_connection (const bodies_t *bodies, int64_t now_us)
{
  body_t *slowest = g_queue_peek_head ((GQueue *)&bodies->reading);
  body_t *idle = g_queue_peek_head ((GQueue *)&bodies->idle);

  if (!idle || !slowest)
    return idle ? idle : slowest;
  return now_us - slowest->progress_us > BODIES_STALLED_US ? slowest : idle;
}

void
bodies_connect (bodies_t *bodies, body_t *body, int64_t now_us)
{
  uint32_t max = bodies->limits.connections_max;
  body_t *spare;

  body->by_progress.data = body;
  body->by_start.data = body;
  close_over_time (bodies, now_us);
  /* Before BODY is one of them, so that it stays.  */
  while (max > 0 && bodies->connections >= max
         && (spare = spare_connection (bodies, now_us)))
    close_body (bodies, spare, BODY_NO_ROOM);
  bodies->connections++;
  enter_idle (bodies, body, now_us);
}

void
bodies_disconnect (bodies_t *bodies, body_t *body)
{
  leave_phase (bodies, body);
  hold (bodies, body, 0);
  if (body->phase != BODY_CLOSED)
    bodies->connections--;
}

static uint64_t
budget_for (const bodies_t *bodies, uint64_t bytes)
{
  const bodies_limits_t *limits = &bodies->limits;

  return bytes <= limits->small_max_bytes
             ? limits->budget_bytes
             : limits->budget_bytes - limits->reserve_bytes;
}

body_verdict_t
bodies_begin (bodies_t *bodies, body_t *body, uint64_t announced_bytes,
              int64_t now_us)
{
  uint64_t bytes
      = announced_bytes == UINT64_MAX ? 0 : buffer_bytes (announced_bytes);

  close_over_time (bodies, now_us);
  if (body->phase != BODY_IDLE)
    return BODY_NO_ROOM;
  if (announced_bytes != UINT64_MAX
      && announced_bytes > bodies->limits.body_max_bytes)
    return BODY_TOO_LARGE;
  if (bodies->limits.budget_bytes > 0
      && bodies->complete_bytes + bytes > budget_for (bodies, bytes))
    return BODY_NO_ROOM;
  leave_phase (bodies, body);
  body->phase = BODY_READING;
  body->announced_bytes = announced_bytes;
  body->received_bytes = 0;
  body->progress_bytes = 0;
  body->skipped_bytes = 0;
  body->started_us = now_us;
  body->progress_us = now_us;
  g_queue_push_tail_link (&bodies->reading, &body->by_progress);
  g_queue_push_tail_link (&bodies->started, &body->by_start);
  return BODY_ACCEPTED;
}

/* Whether more than half of a budget is used.  */
static bool
is_pressed (const bodies_t *bodies)
{
  const bodies_limits_t *limits = &bodies->limits;

  return (limits->budget_bytes > 0
          && bodies->used_bytes > limits->budget_bytes / 2)
         || (limits->connections_max > 0
             && bodies->connections > limits->connections_max / 2);
}

/* Whether BODY misses the time limit or, while the budgets are pressed, the
   minimum rate: in the second half of the time limit the received part of an
   announced body has to keep up with the elapsed part of that half.  A client
   that sends evenly always does; one whose link stalls and recovers may not,
   and it may still be in time.  */
static bool
is_too_slow (const bodies_t *bodies, const body_t *body, int64_t now_us)
{
  int64_t half_us = bodies->limits.request_max_us / 2;
  int64_t late_us = now_us - body->started_us - half_us;

  if (half_us == 0 || late_us <= 0)
    return false;
  if (is_over_time (bodies, body, now_us))
    return true;
  return is_pressed (bodies) && body->announced_bytes != UINT64_MAX
         && (double)body->received_bytes * (double)half_us
                < (double)body->announced_bytes * (double)late_us;
}

/* Closes the slowest requests other than BODY until BYTES more fit into
   BUDGET; false if BODY is the slowest or there is none left.  */
static bool
make_room (bodies_t *bodies, const body_t *body, uint64_t bytes,
           uint64_t budget)
{
  GList *link = bodies->reading.head;

  while (bodies->used_bytes + bytes > budget)
    {
      body_t *slowest;

      /* Closing a request that holds nothing makes no room.  */
      while (link && ((body_t *)link->data)->held_bytes == 0
             && link->data != body)
        link = link->next;
      if (!link || link->data == body)
        return false;
      slowest = link->data;
      link = link->next;
      close_body (bodies, slowest, BODY_NO_ROOM);
    }
  return true;
}

static void
note_progress (bodies_t *bodies, body_t *body, int64_t now_us)
{
  if (body->received_bytes - body->progress_bytes < BODIES_PROGRESS_BYTES)
    return;
  body->progress_bytes = body->received_bytes;
  body->progress_us = now_us;
  g_queue_unlink (&bodies->reading, &body->by_progress);
  g_queue_push_tail_link (&bodies->reading, &body->by_progress);
}

body_verdict_t
bodies_add (bodies_t *bodies, body_t *body, uint32_t len, int64_t now_us)
{
  uint64_t received = (uint64_t)body->received_bytes + len;
  uint64_t bytes = buffer_bytes (received);

  close_over_time (bodies, now_us);
  if (body->phase != BODY_READING)
    return body->phase == BODY_CLOSED ? body->why : BODY_NO_ROOM;
  if (received > bodies->limits.body_max_bytes)
    return BODY_TOO_LARGE;
  body->received_bytes = (uint32_t)received;
  if (is_too_slow (bodies, body, now_us))
    return BODY_TOO_SLOW;
  note_progress (bodies, body, now_us);
  if (bodies->limits.budget_bytes > 0 && bytes > body->held_bytes
      && !make_room (bodies, body, bytes - body->held_bytes,
                     budget_for (bodies, bytes)))
    return BODY_NO_ROOM;
  hold (bodies, body, bytes);
  return BODY_ACCEPTED;
}

body_verdict_t
bodies_skip (bodies_t *bodies, body_t *body, uint64_t len, int64_t now_us)
{
  close_over_time (bodies, now_us);
  if (body->phase != BODY_READING)
    return body->phase == BODY_CLOSED ? body->why : BODY_NO_ROOM;
  hold (bodies, body, 0);
  body->skipped_bytes += len;
  if (body->skipped_bytes > bodies->limits.body_max_bytes)
    return BODY_TOO_LARGE;
  return is_over_time (bodies, body, now_us) ? BODY_TOO_SLOW : BODY_ACCEPTED;
}

void
bodies_complete (bodies_t *bodies, body_t *body, uint64_t record_bytes)
{
  if (body->phase == BODY_CLOSED)
    return;
  leave_phase (bodies, body);
  body->phase = BODY_COMPLETE;
  hold (bodies, body, record_bytes);
  bodies->complete_bytes += record_bytes;
}

void
bodies_end (bodies_t *bodies, body_t *body, int64_t now_us)
{
  if (body->phase == BODY_CLOSED)
    return;
  leave_phase (bodies, body);
  hold (bodies, body, 0);
  enter_idle (bodies, body, now_us);
}

body_t *
bodies_next_closed (bodies_t *bodies)
{
  GList *link = g_queue_pop_head_link (&bodies->closed);
  body_t *body = link ? link->data : NULL;

  if (body)
    body->by_progress.data = NULL; /* no longer in the queue */
  return body;
}

uint64_t
bodies_used (const bodies_t *bodies)
{
  return bodies->used_bytes;
}

uint64_t
bodies_budget (const bodies_t *bodies)
{
  return bodies->limits.budget_bytes;
}

uint32_t
bodies_connections (const bodies_t *bodies)
{
  return bodies->connections;
}
