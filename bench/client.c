#include "support.h"
#include "worker.h"
#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define IN_BYTES 16384

/* Delay before a connection is tried again that failed, or was closed before
   it carried a request.  */
#define REOPEN_US 100000

void
client_open (client_t *client)
{
  worker_t *worker = client->worker;
  struct epoll_event event
      = { .events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET,
          .data.ptr = client };

  client->fd = support_connect (worker->plan->address, worker->plan->port);
  if (client->fd < 0
      || epoll_ctl (worker->epoll_fd, EPOLL_CTL_ADD, client->fd, &event) != 0)
    support_fatal ("connect");
  client->state = CLIENT_OPENING;
  client->used = false;
  client->in_len = 0;
  worker->opening++;
}

static void
go_down (client_t *client)
{
  worker_t *worker = client->worker;
  int64_t reopen_us = clock_mono_us () + (client->used ? 0 : REOPEN_US);

  close (client->fd);
  client->fd = -1;
  client->state = CLIENT_DOWN;
  if (worker->reopen_us == 0 || worker->reopen_us > reopen_us)
    worker->reopen_us = reopen_us;
}

void
client_close (client_t *client)
{
  worker_t *worker = client->worker;

  switch (client->state)
    {
    case CLIENT_DOWN:
      return;
    case CLIENT_OPENING:
      worker->opening--;
      worker->tally.connect_failures++;
      break;
    case CLIENT_IDLE:
      break;
    case CLIENT_BUSY:
      worker->busy--;
      worker->tally.lost++;
      break;
    }
  go_down (client);
}

/* Closes a connection on which nothing more can be understood; the request in
   flight, if any, is counted as answered wrongly.  */
static void
reject (client_t *client)
{
  worker_t *worker = client->worker;

  if (client->state == CLIENT_BUSY)
    {
      worker->busy--;
      tally_malformed (&worker->tally);
    }
  else
    worker->tally.wrong++;
  client->state = CLIENT_IDLE;
  client_close (client);
}

static void
become_idle (client_t *client)
{
  client->state = CLIENT_IDLE;
  worker_add_idle (client->worker, client);
}

static void
finish_open (client_t *client)
{
  int error = 0;
  socklen_t len = sizeof error;

  if (getsockopt (client->fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0
      || error != 0)
    {
      client_close (client);
      return;
    }
  client->worker->opening--;
  become_idle (client);
}

static void
write_request (client_t *client)
{
  const plan_t *plan = client->worker->plan;
  ssize_t len;

  while (client->out_len < plan->request_len)
    {
      len = send (client->fd, client->request + client->out_len,
                  plan->request_len - client->out_len, MSG_NOSIGNAL);
      if (len > 0)
        client->out_len += (size_t)len;
      else if (errno != EINTR)
        break;
    }
  /* Errors other than a full socket show up when the loop reads.  */
}

void
client_send (client_t *client, int64_t from_us)
{
  worker_t *worker = client->worker;

  id_write (client->request + worker->plan->id_at, clock_wall_ms (),
            worker->random, worker->serial++);
  client->out_len = 0;
  client->in_len = 0;
  client->from_us = from_us;
  client->state = CLIENT_BUSY;
  client->used = true;
  worker->busy++;
  worker->tally.sent++;
  write_request (client);
}

/* Handles a whole answer.  */
static void
take_answer (client_t *client, const answer_t *answer)
{
  worker_t *worker = client->worker;
  const plan_t *plan = worker->plan;
  bool extra = client->in_len > answer->head_len + answer->body_len;
  bool wrong = extra
               || (plan->check_id
                   && !answer_fits (answer, client->in,
                                    client->request + plan->id_at));

  tally_answer (&worker->tally, answer, wrong, client->from_us,
                clock_mono_us ());
  worker->busy--;
  client->in_len = 0;
  become_idle (client);
  if (extra || answer->closing)
    client_close (client);
}

/* Parses what was read; false when the connection is closed.  */
static bool
take_bytes (client_t *client)
{
  answer_t answer;

  if (client->state != CLIENT_BUSY)
    {
      reject (client);
      return false;
    }
  switch (answer_parse (client->in, client->in_len, &answer))
    {
    case ANSWER_PARTIAL:
      return true;
    case ANSWER_WHOLE:
      take_answer (client, &answer);
      return client->state != CLIENT_DOWN;
    case ANSWER_MALFORMED:
      reject (client);
      return false;
    }
  return false;
}

static void
read_answer (client_t *client)
{
  size_t room;
  ssize_t len;

  do
    {
      if (client->in_max - client->in_len < IN_BYTES / 2)
        {
          client->in_max = MAX (IN_BYTES, 2 * client->in_max);
          client->in = g_realloc (client->in, client->in_max);
        }
      room = client->in_max - client->in_len;
      len = recv (client->fd, client->in + client->in_len, room, 0);
      if (len < 0 && (errno == EAGAIN || errno == EINTR))
        return;
      if (len <= 0)
        {
          client_close (client);
          return;
        }
      client->in_len += (size_t)len;
      if (!take_bytes (client))
        return;
    }
  while ((size_t)len == room); /* a short read has emptied the socket */
}

void
client_event (client_t *client, uint32_t events)
{
  if (client->state == CLIENT_OPENING)
    finish_open (client);
  if (client->state == CLIENT_BUSY && (events & EPOLLOUT))
    write_request (client);
  if (client->state != CLIENT_DOWN && (events & EPOLLIN))
    read_answer (client);
  if (client->state != CLIENT_DOWN
      && (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)))
    client_close (client);
}
