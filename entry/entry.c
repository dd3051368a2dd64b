#include "entry.h"
#include <curl/curl.h>
#include <fcntl.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Parts of the time between SIGTERM and SIGKILL.  All requests are served
   during ACCEPT_PERCENT of it: the load balancer sends new connections until
   two of its checks, one second apart, have failed, and clients reuse the
   connections that they have.  Requests in flight may take until
   DRAIN_PERCENT.  */
#define ACCEPT_PERCENT 75
#define DRAIN_PERCENT 85
#define STOP_CHECK_US 20000
/* Longest wait for the answers to requests that the core has finished.  The
   core takes up to 200 ms for its last appends.  What is left after
   DRAIN_PERCENT of grace_s has to be well over their sum, as a busy host
   delays both, and SIGKILL cuts off what has not ended.  */
#define ANSWERS_MAX_US 100000

static void
check_settings (const char *path)
{
  g_autoptr (GError) error = NULL;
  entry_settings_t *settings = entry_settings_read (path, &error);

  if (settings)
    event_log (EV_SETTINGS_READ, "file=%s in_effect=at-next-start", path);
  else
    event_log (EV_SETTINGS_REJECTED, "%s", error->message);
  entry_settings_free (settings);
}

/* Waits for SIGTERM or SIGINT.  SIGHUP validates the settings file.  */
static void
wait_for_stop (const sigset_t *signals, const char *path)
{
  int signal = 0;

  while (sigwait (signals, &signal) == 0 && signal == SIGHUP)
    check_settings (path);
}

/* Waits until the load balancer and the clients have switched to other hosts.
   Polls the boot clock, because a single long sleep would be extended by the
   time that the host is suspended.  */
static void
drain (const entry_settings_t *settings, const front_t *front)
{
  int64_t accept_us = (int64_t)settings->grace_s * 10000 * ACCEPT_PERCENT;
  int64_t accept_end_us = clock_boot_us () + accept_us;
  int64_t drain_end_us
      = clock_boot_us () + (int64_t)settings->grace_s * 10000 * DRAIN_PERCENT;

  while (clock_boot_us () < accept_end_us
         || (front_in_flight (front) > 0 && clock_boot_us () < drain_end_us))
    g_usleep (STOP_CHECK_US);
}

/* Waits until the requests that are finished are answered.  */
static void
await_answers (const front_t *front)
{
  int64_t end_us = clock_boot_us () + ANSWERS_MAX_US;

  while (front_in_flight (front) > 0 && clock_boot_us () < end_us)
    g_usleep (STOP_CHECK_US);
}

/* The order of a stop: all requests are served until callers have gone to
   other hosts; those that wait are answered, and new ones refused; the
   listeners are closed; the core, which they call, is freed last.  */
static void
stop_daemon (const entry_settings_t *settings, readmodel_t *model,
             core_t *core, front_t *front)
{
  event_log (EV_STOPPING, "name=%s in_flight=%u", settings->name,
             front_in_flight (front));
  atomic_store (&model->stopping, true);
  core_release_ownership (core);
  drain (settings, front);
  core_halt (core);
  await_answers (front);
  front_stop (front);
  core_free (core);
}

static int
run_daemon (const entry_settings_t *settings, const char *path,
            const sigset_t *signals)
{
  readmodel_t model;
  core_t *core;
  front_t *front;

  readmodel_open (&model);
  core = core_start (settings, &model);
  front = core ? front_start (settings, &model, core) : NULL;
  if (!front)
    {
      event_log (EV_LISTEN_FAILED, "front=%s ready=%s peer=%s",
                 settings->front, settings->ready, settings->peer);
      if (core) /* its thread uses SETTINGS and MODEL */
        {
          core_halt (core);
          core_free (core);
        }
      readmodel_close (&model);
      return EXIT_FAILURE;
    }
  event_log (EV_STARTED, "name=%s front=%s ready=%s store=%s", settings->name,
             settings->front, settings->ready, settings->store);
  wait_for_stop (signals, path);
  stop_daemon (settings, &model, core, front);
  readmodel_close (&model);
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
  status = run_daemon (settings, path, &signals);
  rcu_unregister_thread ();
  entry_settings_free (settings);
  curl_global_cleanup ();
  return status;
}
