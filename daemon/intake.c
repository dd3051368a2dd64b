#include "intake.h"
#include "headers.h"
#include <sys/ioctl.h>
#include <sys/socket.h>

/* A quarter of the budget is for bodies that are not larger than ordinary
   ones.  */
#define BUDGET_PER_RESERVE 4
#define SMALL_BODY_BYTES (16 * 1024)

void
intake_limits (const settings_t *settings, bodies_limits_t *limits)
{
  uint64_t budget = (uint64_t)settings->body_budget_kib * 1024
                    / MAX (1, settings->threads);

  *limits = (bodies_limits_t){
    .body_max_bytes = settings->body_max_kib * 1024,
    .budget_bytes = budget,
    .reserve_bytes = budget / BUDGET_PER_RESERVE,
    .small_max_bytes = SMALL_BODY_BYTES,
    .connections_max
    = MAX (1, settings->connections_max / MAX (1, settings->threads)),
    .request_max_us = (int64_t)settings->request_max_ms * 1000,
  };
}

void
intake_open (loop_t *loop)
{
  bodies_limits_t limits;

  intake_limits (loop->config->settings, &limits);
  loop->bodies = bodies_new (&limits);
  loop->closings.listener = "requests";
  loop->closings.connections_max = limits.connections_max;
}

void
intake_close (loop_t *loop)
{
  bodies_free (loop->bodies);
}

static void
add_closing (loop_t *loop, conn_t *conn)
{
  if (conn->closing)
    return;
  conn->closing = true;
  g_queue_push_tail_link (&loop->closing, &conn->by_closing);
}

static void
close_decided (loop_t *loop, int64_t now_us)
{
  body_t *body;

  while ((body = bodies_next_closed (loop->bodies)))
    {
      conn_t *conn = caa_container_of (body, conn_t, body);

      if (conn->req)
        g_clear_pointer (&conn->req->body, g_byte_array_unref);
      add_closing (loop, conn);
      closings_note (&loop->closings, body->why, COUNT_CLIENTS_CLOSED);
    }
  closings_report (&loop->closings, loop->bodies, now_us);
}

static body_verdict_t
note_verdict (loop_t *loop, body_verdict_t verdict, int64_t now_us)
{
  if (verdict != BODY_ACCEPTED)
    closings_note (&loop->closings, verdict, COUNT_BODIES_REFUSED);
  close_decided (loop, now_us);
  return verdict;
}

void
intake_connect (loop_t *loop, conn_t *conn, int64_t now_us)
{
  conn->by_closing.data = conn;
  bodies_connect (loop->bodies, &conn->body, now_us);
  close_decided (loop, now_us);
}

void
intake_disconnect (loop_t *loop, conn_t *conn)
{
  if (conn->closing)
    g_queue_unlink (&loop->closing, &conn->by_closing);
  bodies_disconnect (loop->bodies, &conn->body);
}

void
intake_half_closed (loop_t *loop, conn_t *conn)
{
  add_closing (loop, conn);
}

/* Whether CONN, of which the client has closed its sending side or which is to
   be closed, has no request to run or answer.  */
static bool
is_at_end (const conn_t *conn)
{
  int unread = 0;

  switch (conn->body.phase)
    {
    case BODY_CLOSED:
      return true;
    case BODY_COMPLETE:
      return false;
    case BODY_IDLE:
      if (conn->req)
        return false; /* its refusal is being sent */
      break;
    case BODY_READING:
      break;
    }
  return ioctl (conn->source.fd, FIONREAD, &unread) == 0 && unread == 0;
}

void
intake_shut_down (loop_t *loop, int64_t now_us)
{
  for (GList *link = loop->closing.head; link; link = link->next)
    {
      conn_t *conn = link->data;
      bool was_at_end = conn->at_end;

      conn->at_end = is_at_end (conn);
      if (!conn->at_end
          || now_us - conn->shut_down_us < INTAKE_CLOSE_MS * 1000)
        continue;
      /* The server may hold a further request, which it takes up when it is
         run again.  */
      if (!was_at_end)
        {
          loop->resumed = true;
          continue;
        }
      shutdown (conn->source.fd, SHUT_RDWR);
      conn->shut_down_us = now_us;
    }
}

bool
intake_is_closing (const loop_t *loop)
{
  return loop->closing.head != NULL;
}

bool
intake_is_closed (const conn_t *conn)
{
  return conn->body.phase == BODY_CLOSED;
}

static err_kind_t
verdict_error (body_verdict_t verdict)
{
  switch (verdict)
    {
    case BODY_ACCEPTED:
      return ERR_NONE;
    case BODY_TOO_LARGE:
      return ERR_BODY_TOO_LARGE;
    case BODY_NO_ROOM:
    case BODY_TOO_SLOW:
      return ERR_NO_ROOM;
    }
  return ERR_NO_ROOM;
}

err_kind_t
intake_begin (loop_t *loop, conn_t *conn, struct MHD_Connection *connection,
              const char *method, const char *version, int64_t now_us)
{
  uint64_t announced_bytes;

  if (headers_check (connection, method, version, &announced_bytes)
      != HEADERS_ACCEPTED)
    return ERR_BAD_REQUEST;
  return verdict_error (note_verdict (
      loop, bodies_begin (loop->bodies, &conn->body, announced_bytes, now_us),
      now_us));
}

/* Reads on for a refusal that can be sent only at the end of the body.  */
static bool
skip (loop_t *loop, conn_t *conn, size_t len, int64_t now_us)
{
  body_verdict_t verdict
      = bodies_skip (loop->bodies, &conn->body, len, now_us);

  close_decided (loop, now_us);
  return verdict == BODY_ACCEPTED;
}

static void
refuse_too_large (req_t *req)
{
  g_clear_pointer (&req->body, g_byte_array_unref);
  req->error = ERR_BODY_TOO_LARGE;
  req->stage = REQ_ANSWERED;
  counter_add (COUNT_REFUSED_NOT_RUN, 1);
}

bool
intake_read (loop_t *loop, conn_t *conn, const char *data, size_t len,
             int64_t now_us)
{
  req_t *req = conn->req;

  if (req->stage != REQ_READING)
    return skip (loop, conn, len, now_us);
  switch (note_verdict (
      loop, bodies_add (loop->bodies, &conn->body, (uint32_t)len, now_us),
      now_us))
    {
    case BODY_ACCEPTED:
      return parse_body (req, data, len, loop->config->settings->body_max_kib)
             == ERR_NONE;
    case BODY_TOO_LARGE:
      refuse_too_large (req);
      return skip (loop, conn, len, now_us);
    case BODY_NO_ROOM:
    case BODY_TOO_SLOW:
      counter_add (COUNT_REFUSED_NOT_RUN, 1);
      return false;
    }
  return false;
}

void
intake_complete (loop_t *loop, conn_t *conn)
{
  bodies_complete (loop->bodies, &conn->body, conn->body.held_bytes);
}

void
intake_end (loop_t *loop, conn_t *conn, int64_t now_us)
{
  bodies_end (loop->bodies, &conn->body, now_us);
}
