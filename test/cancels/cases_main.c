/* cancels_cases - cancellings that are read before their submissions, with
   real daemons

   usage: cancels_cases DAEMON CASE

   A client that got no answer to a submission gives it up and cancels it at
   another daemon.  Once that was answered, the job must not exist, whenever
   the record of the submission is stored.  Exit status 0 when CASE passed.  */

#include "site.h"
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DAEMONS 3
#define EVACUATE_MS 5000
#define ID "00000000deadbeef"
/* The first of the jobs that are submitted after the cancelling.  */
#define FIRST_JOB 0x100
#define CALL_MS 5000L
/* The client gives up after this time.  */
#define GIVE_UP_MS 1500L
/* Longer than the client waits, and than the cancelling takes.  */
#define LATE_MS 8000
#define TASK_MS 100
#define POLL_US 100000

/* Three daemons, of which the first is the owner.  */
static site_t *
open_site (const char *program)
{
  site_t *site = site_open (program, DAEMONS, EVACUATE_MS, false);

  for (uint32_t i = 0; i < DAEMONS; i++)
    {
      site_start (site, i);
      if (i == 0)
        site_await (site, 0, " 1700 ");
    }
  site_run_job (site, 0, TASK_MS);
  site_await_end (site, 0);
  return site;
}

static long
submit (const site_t *site, uint32_t index, long ms)
{
  g_autofree char *body = site_job_body (SITE_JOB_TASKS, TASK_MS);

  return site_call (site, index, "POST", ID, body, ms);
}

static void
give_up_submission (const site_t *site, uint32_t index)
{
  site_require (submit (site, index, GIVE_UP_MS) != 200,
                "the submission was answered");
}

/* Repeats METHOD at a daemon until it isn't refused; the status.  */
static long
repeat (const site_t *site, uint32_t index, const char *method)
{
  int64_t end_us = g_get_monotonic_time () + SITE_WAIT_US;
  long status = 0;

  while (g_get_monotonic_time () < end_us)
    {
      status = strcmp (method, "POST") == 0
                   ? submit (site, index, CALL_MS)
                   : site_call (site, index, method, ID, NULL, CALL_MS);
      if (status == 200 || status == 410)
        return status;
      g_usleep (POLL_US);
    }
  return status;
}

static void
cancel_unknown (const site_t *site, uint32_t index)
{
  site_require (repeat (site, index, "DELETE") == 410,
                "the cancelling wasn't answered 410");
}

/* Runs job NUMBER through a daemon, which may refuse it at first, as the store
   was away.  */
static void
run_job (site_t *site, uint32_t index, uint32_t number)
{
  uint32_t before = workers_starts (site->workers, WORKERS_ALL_ZONES);
  int64_t end_us = g_get_monotonic_time () + SITE_WAIT_US;
  g_autofree char *id = g_strdup_printf ("%016x", number);
  g_autofree char *body = site_job_body (SITE_JOB_TASKS, TASK_MS);
  long status;

  while ((status = site_call (site, index, "POST", id, body, CALL_MS)) != 200
         && g_get_monotonic_time () < end_us)
    g_usleep (POLL_US);
  site_require (status == 200, "job not accepted");
  site_require (workers_await_starts (site->workers, WORKERS_ALL_ZONES,
                                      before + SITE_JOB_TASKS, end_us),
                "tasks have not started");
}

/* Runs a job through each daemon, so that all have stored what they kept and
   read what was stored before, and looks for the cancelled one.  */
static void
expect_no_job (site_t *site)
{
  uint32_t starts = workers_starts (site->workers, WORKERS_ALL_ZONES);

  for (uint32_t i = 0; i < DAEMONS; i++)
    run_job (site, i, FIRST_JOB + i);
  for (uint32_t i = 0; i < DAEMONS; i++)
    site_require (repeat (site, i, "GET") == 410,
                  "a job exists whose cancelling was answered 410");
  site_require (workers_starts (site->workers, WORKERS_ALL_ZONES)
                    == starts + DAEMONS * SITE_JOB_TASKS,
                "tasks of a cancelled job have started");
}

/* Guards against a job that runs after its cancelling was acknowledged
   (UNASKED): the owner keeps the submission while the store turns it away.  */
static void
run_owner_cut_off (const char *program)
{
  site_t *site = open_site (program);

  store_cut_port (site->store, site->daemons[0].store_port, true);
  give_up_submission (site, 0);
  cancel_unknown (site, 2);
  store_cut_port (site->store, site->daemons[0].store_port, false);
  site_await (site, 0, " 1203 ");
  expect_no_job (site);
  site_close (site);
}

static void
late_append (const char *program, bool restart)
{
  site_t *site = open_site (program);

  store_delay_port (site->store, site->daemons[0].store_port, LATE_MS);
  give_up_submission (site, 0);
  /* So that only the store still has the record.  */
  site_signal (site, 0, SIGKILL);
  store_delay_port (site->store, site->daemons[0].store_port, 0);
  cancel_unknown (site, 2);
  for (uint32_t i = 1; restart && i < DAEMONS; i++)
    site_signal (site, i, SIGKILL);
  for (uint32_t i = 1; restart && i < DAEMONS; i++)
    site_start (site, i);
  store_await_delayed (site->store);
  site_start (site, 0);
  for (uint32_t i = 0; i < DAEMONS; i++)
    repeat (site, i, "GET"); /* until it serves */
  expect_no_job (site);
  site_close (site);
}

/* Guards against the same: the store carries the append out after the one of
   the cancelling.  */
static void
run_late_append (const char *program)
{
  late_append (program, false);
}

/* Guards against the same after all daemons that answered were killed.  */
static void
run_late_append_restart (const char *program)
{
  late_append (program, true);
}

/* Guards against the same: the request waits in the socket of a suspended
   daemon.  */
static void
run_suspended (const char *program)
{
  site_t *site = open_site (program);

  site_signal (site, 1, SIGSTOP);
  give_up_submission (site, 1);
  cancel_unknown (site, 2);
  site_signal (site, 1, SIGCONT);
  site_await (site, 1, " 1704 ");
  expect_no_job (site);
  site_close (site);
}

/* Guards against an id that can't be used any more once it was cancelled, and
   against a job that was accepted and doesn't run.  */
static void
run_submitted_anew (const char *program)
{
  site_t *site = open_site (program);
  uint32_t starts = workers_starts (site->workers, WORKERS_ALL_ZONES);

  cancel_unknown (site, 1);
  site_require (repeat (site, 2, "POST") == 200, "the job isn't accepted");
  site_require (workers_await_starts (site->workers, WORKERS_ALL_ZONES,
                                      starts + SITE_JOB_TASKS,
                                      g_get_monotonic_time () + SITE_WAIT_US),
                "the job doesn't start");
  site_require (repeat (site, 1, "DELETE") == 200, "the job isn't known");
  site_close (site);
}

static const struct
{
  const char *name;
  void (*run) (const char *program);
} cases[] = { { "owner-cut-off", run_owner_cut_off },
              { "late-append", run_late_append },
              { "late-append-restart", run_late_append_restart },
              { "suspended", run_suspended },
              { "submitted-anew", run_submitted_anew } };

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  for (size_t i = 0; argc == 3 && i < G_N_ELEMENTS (cases); i++)
    if (strcmp (cases[i].name, argv[2]) == 0)
      {
        cases[i].run (argv[1]);
        curl_global_cleanup ();
        return EXIT_SUCCESS;
      }
  fprintf (stderr, "usage: cancels_cases DAEMON CASE\n");
  return 2;
}
