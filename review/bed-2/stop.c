/* stop - daemons are stopped in turn while clients use their open channels

   Clients hold open channels to the daemon that is stopped.  Each sends one
   job on its channel, at times spread evenly over the grace time.  */

#include "bed2.h"
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define DAEMONS 3
#define ROUNDS 16
#define CHANNELS 1800

typedef struct channel
{
  int fd;
  int64_t send_ms; /* when the request is due, since the SIGTERM */
  int64_t sent_ms; /* when its last byte was sent; 0: not yet */
  int64_t end_ms;  /* answered, or the channel ended */
  int status;
  char id[17];
  char in[1024];
  size_t len;
} channel_t;

static channel_t channels[CHANNELS];
static uint32_t serial;

static void
send_job (channel_t *c)
{
  static const char body[]
      = "{\"spec\":\"100\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,"
        "\"estimate_ms\":100}]}";
  char text[512];
  int len;

  snprintf (c->id, sizeof c->id, "%08x%08x", (unsigned)getpid (), ++serial);
  len = snprintf (text, sizeof text,
                  "POST " BED_PREFIX "%s HTTP/1.1\r\nHost: " BED_HOST
                  "\r\nContent-Type: application/json\r\n"
                  "X-Deadline-Ms: 3000\r\nContent-Length: %zu\r\n\r\n%s",
                  c->id, sizeof body - 1, body);
  if (send (c->fd, text, (size_t)len, MSG_NOSIGNAL) == len)
    c->sent_ms = bed_ms ();
  else
    c->end_ms = bed_ms (); /* the channel has ended before: nothing is lost */
}

/* Whether the answer is complete: its body is empty.  */
static void
read_answer (channel_t *c)
{
  ssize_t n = recv (c->fd, c->in + c->len, sizeof c->in - 1 - c->len, 0);

  if (n > 0)
    {
      c->len += (size_t)n;
      c->in[c->len] = '\0';
      if (!strstr (c->in, "\r\n\r\n"))
        return;
      sscanf (c->in, "HTTP/1.%*c %d", &c->status);
    }
  else if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  c->end_ms = bed_ms ();
}

static uint32_t
run_round (bed_t *bed, uint32_t index, bool trouble)
{
  bed_daemon_t *d = &bed->daemons[index];
  uint32_t broken = 0;
  uint32_t counts[4] = { 0 };
  int64_t from_ms;
  bool ended = false;
  bool killed = false;
  int status = 0;

  for (uint32_t i = 0; i < CHANNELS; i++)
    {
      memset (&channels[i], 0, sizeof channels[i]);
      channels[i].fd = bed_connect (d->address, BED_FRONT);
      bed_require (bed, channels[i].fd >= 0, "a channel can't be opened");
      channels[i].send_ms = (int64_t)i * BED_GRACE_MS / CHANNELS;
    }
  g_usleep (300000);
  from_ms = bed_ms ();
  if (trouble)
    kill (d->pid, SIGTERM);
  bed_note ("edge-%u %s", index,
            trouble ? "gets SIGTERM" : "is not stopped (TROUBLE=0)");
  while (bed_ms () - from_ms < BED_GRACE_MS + 3000)
    {
      struct pollfd polls[CHANNELS];
      channel_t *of[CHANNELS];
      nfds_t count = 0;
      int64_t now = bed_ms () - from_ms;

      if (trouble && !ended && waitpid (d->pid, &status, WNOHANG) == d->pid)
        {
          ended = true;
          d->pid = 0;
          bed_note ("edge-%u ends %" PRId64 " ms after SIGTERM: %s %d", index,
                    now, WIFSIGNALED (status) ? "signal" : "exit",
                    WIFSIGNALED (status) ? WTERMSIG (status)
                                         : WEXITSTATUS (status));
        }
      if (trouble && !ended && !killed && now >= BED_GRACE_MS)
        {
          killed = true;
          bed_note ("edge-%u is still there at the end of grace_s: SIGKILL",
                    index);
          kill (d->pid, SIGKILL);
        }
      for (uint32_t i = 0; i < CHANNELS; i++)
        {
          channel_t *c = &channels[i];

          if (c->end_ms)
            continue;
          if (!c->sent_ms && c->send_ms <= now)
            send_job (c);
          if (c->end_ms)
            continue;
          polls[count] = (struct pollfd){ .fd = c->fd, .events = POLLIN };
          of[count++] = c;
        }
      if (count == 0 && (ended || !trouble))
        break;
      poll (polls, count, 1);
      for (nfds_t i = 0; i < count; i++)
        if (polls[i].revents)
          read_answer (of[i]);
    }
  for (uint32_t i = 0; i < CHANNELS; i++)
    {
      channel_t *c = &channels[i];
      int64_t after = c->end_ms - c->sent_ms;

      close (c->fd);
      if (!c->sent_ms)
        counts[0]++;
      else if (c->status != 0)
        counts[c->status == 200 ? 1 : 2]++;
      else
        {
          counts[3]++;
          bed_note ("job %s: sent %" PRId64 " ms after SIGTERM, channel ended "
                    "without an answer %" PRId64 " ms after its last byte%s",
                    c->id, c->sent_ms - from_ms, c->end_ms ? after : -1,
                    !c->end_ms || after > BED_LOSS_SLACK_MS ? ": LOST" : "");
          broken += !c->end_ms || after > BED_LOSS_SLACK_MS;
        }
    }
  bed_note ("edge-%u: %u answered 200, %u refused, %u channels ended before a "
            "request, %u ended without an answer",
            index, counts[1], counts[2], counts[0], counts[3]);
  if (ended && !killed && WIFSIGNALED (status))
    {
      bed_note ("edge-%u crashed: signal %d", index, WTERMSIG (status));
      broken++;
    }
  if (killed)
    {
      bed_note ("edge-%u hung", index);
      broken++;
    }
  return broken;
}

int
main (void)
{
  bed_t *bed = bed_new (DAEMONS);
  bool trouble = bed_trouble ();
  uint32_t broken = 0;

  bed_publish_config (bed);
  bed->workers = workers_start (bed->store, "s", 4, 16, 1);
  bed_start_all (bed);
  g_usleep (1500000);
  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      uint32_t index = round % DAEMONS;

      broken += run_round (bed, index, trouble);
      if (trouble)
        {
          bed_start (bed, index);
          bed_await_ready (bed, index);
          g_usleep (500000);
        }
    }
  broken += workers_violations (bed->workers);
  bed_note ("broken %u", broken);
  printf ("broken %u\n", broken);
  bed_end (bed, broken > 0);
}
