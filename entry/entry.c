#include "entry.h"
#include <curl/curl.h>
#include <fcntl.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Of the time between SIGTERM and SIGKILL: the load balancer sends connections
   here until it has seen two failed checks, a second apart; clients go on
   using the ones they have.  */
#define SERVE_ON_PERCENT 75
#define STOP_CHECK_US 20000

static void
reload (const char *path)
{
  g_autoptr (GError) error = NULL;
  entry_settings_t *settings = entry_settings_read (path, &error);

  if (settings)
    event_log (EV_SETTINGS_READ, "file=%s in_effect=at-next-start", path);
  else
    event_log (EV_SETTINGS_REJECTED, "%s", error->message);
  entry_settings_free (settings);
}

/* Waits for SIGTERM or SIGINT.  */
static void
wait_for_stop (const sigset_t *signals, const char *path)
{
  int signal = 0;

  while (sigwait (signals, &signal) == 0 && signal == SIGHUP)
    reload (path);
}

/* Serves on until the load balancer and the clients have turned to others.
   The end is looked up on the boot clock again and again, as one long wait
   would be longer by the time that the host was suspended meanwhile.  */
static void
finish_requests (const entry_settings_t *settings, const front_t *front)
{
  int64_t serve_us = (int64_t)settings->grace_s * 10000 * SERVE_ON_PERCENT;
  int64_t end_us = clock_boot_us () + serve_us;
  int64_t last_us = clock_boot_us () + (int64_t)settings->grace_s * 950000;

  while (clock_boot_us () < end_us
         || (front_busy (front) > 0 && clock_boot_us () < last_us))
    g_usleep (STOP_CHECK_US);
}

static int
serve (const entry_settings_t *settings, const char *path,
       const sigset_t *signals)
{
  board_t board;
  core_t *core;
  front_t *front;

  board_open (&board);
  core = core_start (settings, &board);
  front = core ? front_start (settings, &board, core) : NULL;
  if (!front)
    {
      event_log (EV_LISTEN_FAILED, "front=%s ready=%s", settings->front,
                 settings->ready);
      return EXIT_FAILURE;
    }
  event_log (EV_STARTED, "name=%s front=%s ready=%s store=%s", settings->name,
             settings->front, settings->ready, settings->store);
  wait_for_stop (signals, path);
  event_log (EV_STOPPING, "name=%s in_flight=%u", settings->name,
             front_busy (front));
  atomic_store (&board.stopping, true);
  core_leave (core);
  finish_requests (settings, front);
  core_stop (core);
  front_stop (front);
  board_close (&board);
  event_log (EV_STOPPED, "name=%s", settings->name);
  return EXIT_SUCCESS;
}

int
entry_run (const char *path)
{
  g_autoptr (GError) error = NULL;
  entry_settings_t *settings;
  sigset_t signals;
  int status;

  event_set_fd (STDOUT_FILENO);
  settings = entry_settings_read (path, &error);
  if (!settings)
    {
      event_log (EV_SETTINGS_REJECTED, "%s", error->message);
      return EXIT_FAILURE;
    }
  event_open (settings->name, LEVEL_INFO);
  signal (SIGPIPE, SIG_IGN);
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  sigaddset (&signals, SIGHUP);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != 0)
    return EXIT_FAILURE;
  rcu_register_thread ();
  status = serve (settings, path, &signals);
  rcu_unregister_thread ();
  entry_settings_free (settings);
  curl_global_cleanup ();
  return status;
}
