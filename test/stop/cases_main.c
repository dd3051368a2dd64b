/* stop_cases - a daemon is stopped again and again under load

   usage: stop_cases DAEMON

   Clients submit one job after another all the while, also after the daemon
   has closed its listener.  Exit status 0 when each stop was an orderly
   one.  */

#include "site.h"
#include <curl/curl.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>

#define EVACUATE_MS 5000
#define ROUNDS 10
#define CLIENTS 12
#define CALL_MS 3000L
#define TASK_MS 10
#define LOAD_US 500000

typedef struct load
{
  const site_t *site;
  atomic_uint_fast32_t jobs;
  atomic_uint_fast32_t accepted;
  atomic_bool ends;
} load_t;

static gpointer
run_client (gpointer data)
{
  load_t *load = data;
  g_autofree char *body = site_job_body (1, TASK_MS);

  while (!atomic_load (&load->ends))
    {
      g_autofree char *id = g_strdup_printf (
          "%016x", (unsigned)atomic_fetch_add (&load->jobs, 1));

      if (site_call (load->site, 0, "POST", id, body, CALL_MS) == 200)
        atomic_fetch_add (&load->accepted, 1);
      else if (!atomic_load (&load->ends))
        g_usleep (1000); /* the daemon is away */
    }
  return NULL;
}

/* Guards against a daemon that aborts when it stops, as requests wait that
   nobody answers: its core was freed before its HTTP server.  */
int
main (int argc, char **argv)
{
  GThread *clients[CLIENTS];
  load_t load = { 0 };
  site_t *site;

  if (argc != 2)
    {
      fprintf (stderr, "usage: stop_cases DAEMON\n");
      return 2;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  site = site_open (argv[1], 1, EVACUATE_MS, false);
  load.site = site;
  site_start (site, 0);
  site_await (site, 0, " 1700 ");
  for (uint32_t i = 0; i < CLIENTS; i++)
    clients[i] = g_thread_new ("client", run_client, &load);
  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      uint32_t before = (uint32_t)atomic_load (&load.accepted);

      g_usleep (LOAD_US);
      site_stop (site, 0);
      site_require (atomic_load (&load.accepted) > before,
                    "no job was accepted before the stop");
      site_start (site, 0);
      site_await (site, 0, " 1700 ");
    }
  atomic_store (&load.ends, true);
  for (uint32_t i = 0; i < CLIENTS; i++)
    g_thread_join (clients[i]);
  site_close (site);
  printf ("%u stops\n", ROUNDS);
  return EXIT_SUCCESS;
}
