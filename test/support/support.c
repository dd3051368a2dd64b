#include "support.h"
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 4096

void
support_fatal (const char *message)
{
  fprintf (stderr, "%s: %s\n", message, g_strerror (errno));
  exit (EXIT_FAILURE);
}

void
support_write_ready_file (const char *path, const char *text)
{
  g_autofree char *part = NULL;

  if (!path)
    return;
  part = g_strconcat (path, ".part", NULL);
  if (!g_file_set_contents (part, text, -1, NULL) || rename (part, path) != 0)
    support_fatal (path);
}

static bool
fill_address (const char *address, uint16_t port, struct sockaddr_in *to)
{
  memset (to, 0, sizeof *to);
  to->sin_family = AF_INET;
  to->sin_port = htons (port);
  return inet_pton (AF_INET, address, &to->sin_addr) == 1;
}

int
support_listen (const char *address, uint16_t *port)
{
  struct sockaddr_in at;
  socklen_t len = sizeof at;
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0 || !fill_address (address, *port, &at))
    support_fatal (address);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&at, sizeof at) != 0
      || listen (fd, BACKLOG) != 0
      || getsockname (fd, (struct sockaddr *)&at, &len) != 0)
    support_fatal (address);
  *port = ntohs (at.sin_port);
  return fd;
}

int
support_connect (const char *address, uint16_t port)
{
  struct sockaddr_in to;
  int on = 1;
  int fd;

  if (!fill_address (address, port, &to))
    return -1;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *)&to, sizeof to) == 0
      || errno == EINPROGRESS)
    return fd;
  close (fd);
  return -1;
}

static void
fill_stop_signals (sigset_t *set)
{
  sigemptyset (set);
  sigaddset (set, SIGTERM);
  sigaddset (set, SIGINT);
}

void
support_block_signals (void)
{
  sigset_t set;

  fill_stop_signals (&set);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
}

void
support_wait_signal (void)
{
  sigset_t set;
  int number;

  fill_stop_signals (&set);
  sigwait (&set, &number);
}

int
support_signal_fd (void)
{
  sigset_t set;
  int fd;

  fill_stop_signals (&set);
  fd = signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (fd < 0)
    support_fatal ("signalfd");
  return fd;
}
