#include "proxy.h"
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#define MARK_SPAN_US 1000

static const struct
{
  const char *line;
  rule_kind_t kind;
} lines[] = {
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
  for (size_t i = 0; i < sizeof lines / sizeof lines[0]; i++)
    if (strcmp (lines[i].line, line) == 0)
      {
        rule->kind = lines[i].kind;
        return true;
      }
  return false;
}

bool
rule_lets_pass (const rule_t *rule, direction_t direction)
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
stream_has_room (const stream_t *stream)
{
  return !stream->ended && stream->in - stream->out < STREAM_BYTES
         && stream->marks_count < STREAM_MARKS;
}

/* The LEN bytes of the ring from position FROM on, in one or two parts.  */
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
add_mark (stream_t *stream, int64_t now_us)
{
  mark_t *last;

  if (stream->marks_count > 0)
    {
      last = &stream->marks[(stream->first_mark + stream->marks_count - 1)
                            % STREAM_MARKS];
      if (now_us - last->came_us < MARK_SPAN_US)
        {
          last->until = stream->in;
          return;
        }
    }
  last = &stream->marks[(stream->first_mark + stream->marks_count)
                        % STREAM_MARKS];
  last->until = stream->in;
  last->came_us = now_us;
  stream->marks_count++;
}

bool
stream_read (stream_t *stream, int fd, int64_t now_us)
{
  struct iovec parts[2];

  while (stream_has_room (stream))
    {
      int count
          = ring_parts (stream, stream->in,
                        STREAM_BYTES - (stream->in - stream->out), parts);
      ssize_t got = readv (fd, parts, count);

      if (got < 0)
        return errno == EAGAIN || errno == EINTR;
      if (got == 0)
        {
          stream->ended = true;
          return true;
        }
      stream->in += (uint64_t)got;
      add_mark (stream, now_us);
    }
  return true;
}

uint32_t
stream_due (const stream_t *stream, const rule_t *rule, int64_t now_us)
{
  uint64_t until = stream->out;

  if (rule->kind != RULE_DELAY)
    return (uint32_t)(stream->in - stream->out);
  for (uint32_t i = 0; i < stream->marks_count; i++)
    {
      const mark_t *mark
          = &stream->marks[(stream->first_mark + i) % STREAM_MARKS];

      if (mark->came_us + (int64_t)rule->delay_ms * 1000 > now_us)
        break;
      until = mark->until;
    }
  return (uint32_t)(until - stream->out);
}

int64_t
stream_next_us (const stream_t *stream, const rule_t *rule)
{
  if (rule->kind != RULE_DELAY || stream->marks_count == 0)
    return 0;
  return stream->marks[stream->first_mark].came_us
         + (int64_t)rule->delay_ms * 1000;
}

bool
stream_write (stream_t *stream, int fd, const rule_t *rule, int64_t now_us)
{
  uint32_t due = stream_due (stream, rule, now_us);
  struct iovec parts[2];

  while (due > 0)
    {
      int count = ring_parts (stream, stream->out, due, parts);
      ssize_t put = writev (fd, parts, count);

      if (put < 0)
        return errno == EAGAIN || errno == EINTR;
      stream->out += (uint64_t)put;
      due -= (uint32_t)put;
      while (stream->marks_count > 0
             && stream->marks[stream->first_mark].until <= stream->out)
        {
          stream->first_mark = (stream->first_mark + 1) % STREAM_MARKS;
          stream->marks_count--;
        }
    }
  if (stream->ended && !stream->shut && stream->in == stream->out)
    {
      shutdown (fd, SHUT_WR);
      stream->shut = true;
    }
  return true;
}
