#include "proxy.h"
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

/* Bytes that arrive within this time share one arrival record.  */
#define ARRIVAL_SPAN_US 1000

static const struct
{
  const char *line;
  rule_kind_t kind;
} commands[] = {
  { "pass", RULE_PASS },
  { "drop", RULE_DROP },
  { "cut", RULE_CUT },
  { "cut-after-request", RULE_CUT_AFTER_REQUEST },
  { "cut-answer", RULE_CUT_ANSWER },
  { "one-way up", RULE_ONE_WAY_UP },
  { "one-way down", RULE_ONE_WAY_DOWN },
};

bool
rule_parse (const char *line, rule_t *rule)
{
  uint64_t delay_ms;

  if (g_str_has_prefix (line, "delay ")
      && g_ascii_string_to_unsigned (line + strlen ("delay "), 10, 0, 3600000,
                                     &delay_ms, NULL))
    {
      rule->kind = RULE_DELAY;
      rule->delay_ms = (uint32_t)delay_ms;
      return true;
    }
  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    if (strcmp (commands[i].line, line) == 0)
      {
        rule->kind = commands[i].kind;
        return true;
      }
  return false;
}

bool
rule_allows (const rule_t *rule, direction_t direction)
{
  switch (rule->kind)
    {
    case RULE_PASS:
    case RULE_DELAY:
    case RULE_CUT_AFTER_REQUEST:
    case RULE_CUT_ANSWER:
      return true;
    case RULE_DROP:
    case RULE_CUT:
      return false;
    case RULE_ONE_WAY_UP:
      return direction == UP;
    case RULE_ONE_WAY_DOWN:
      return direction == DOWN;
    }
  return true;
}

bool
stream_has_space (const stream_t *stream)
{
  return !stream->eof
         && stream->bytes_read - stream->bytes_written < STREAM_BYTES
         && stream->arrivals_count < STREAM_ARRIVALS_MAX;
}

/* Sets PARTS to the LEN bytes of the ring buffer from position FROM on; the
   number of parts.  */
static int
ring_parts (stream_t *stream, uint64_t from, size_t len, struct iovec parts[2])
{
  size_t start = from % STREAM_BYTES;
  size_t first = MIN (len, STREAM_BYTES - start);

  parts[0].iov_base = stream->ring + start;
  parts[0].iov_len = first;
  parts[1].iov_base = stream->ring;
  parts[1].iov_len = len - first;
  return len > first ? 2 : 1;
}

static void
record_arrival (stream_t *stream, int64_t now_us)
{
  arrival_t *last;

  if (stream->arrivals_count > 0)
    {
      last = &stream->arrivals[(stream->first_arrival + stream->arrivals_count
                                - 1)
                               % STREAM_ARRIVALS_MAX];
      if (now_us - last->received_us < ARRIVAL_SPAN_US)
        {
          last->end = stream->bytes_read;
          return;
        }
    }
  last = &stream->arrivals[(stream->first_arrival + stream->arrivals_count)
                           % STREAM_ARRIVALS_MAX];
  last->end = stream->bytes_read;
  last->received_us = now_us;
  stream->arrivals_count++;
}

bool
stream_read (stream_t *stream, int fd, int64_t now_us)
{
  struct iovec parts[2];

  while (stream_has_space (stream))
    {
      int count = ring_parts (
          stream, stream->bytes_read,
          STREAM_BYTES - (stream->bytes_read - stream->bytes_written), parts);
      ssize_t got = readv (fd, parts, count);

      if (got < 0)
        return errno == EAGAIN || errno == EINTR;
      if (got == 0)
        {
          stream->eof = true;
          return true;
        }
      stream->bytes_read += (uint64_t)got;
      record_arrival (stream, now_us);
    }
  return true;
}

uint32_t
stream_due (const stream_t *stream, const rule_t *rule, int64_t now_us)
{
  uint64_t end = stream->bytes_written;

  if (rule->kind != RULE_DELAY)
    return (uint32_t)(stream->bytes_read - stream->bytes_written);
  for (uint32_t i = 0; i < stream->arrivals_count; i++)
    {
      const arrival_t *arrival
          = &stream
                 ->arrivals[(stream->first_arrival + i) % STREAM_ARRIVALS_MAX];

      if (arrival->received_us + (int64_t)rule->delay_ms * 1000 > now_us)
        break;
      end = arrival->end;
    }
  return (uint32_t)(end - stream->bytes_written);
}

int64_t
stream_next_us (const stream_t *stream, const rule_t *rule)
{
  if (rule->kind != RULE_DELAY || stream->arrivals_count == 0)
    return 0;
  return stream->arrivals[stream->first_arrival].received_us
         + (int64_t)rule->delay_ms * 1000;
}

bool
stream_write (stream_t *stream, int fd, const rule_t *rule, int64_t now_us)
{
  uint32_t due = stream_due (stream, rule, now_us);
  struct iovec parts[2];

  while (due > 0)
    {
      int count = ring_parts (stream, stream->bytes_written, due, parts);
      ssize_t put = writev (fd, parts, count);

      if (put < 0)
        return errno == EAGAIN || errno == EINTR;
      stream->bytes_written += (uint64_t)put;
      due -= (uint32_t)put;
      while (stream->arrivals_count > 0
             && stream->arrivals[stream->first_arrival].end
                    <= stream->bytes_written)
        {
          stream->first_arrival
              = (stream->first_arrival + 1) % STREAM_ARRIVALS_MAX;
          stream->arrivals_count--;
        }
    }
  if (stream->eof && !stream->shutdown_sent
      && stream->bytes_read == stream->bytes_written)
    {
      shutdown (fd, SHUT_WR);
      stream->shutdown_sent = true;
    }
  return true;
}
