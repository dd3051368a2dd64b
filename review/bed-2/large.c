/* large - clients hand in jobs whose bodies are as large as is allowed

   The jobs require a label that no worker has, so they wait.  */

#include "bed2.h"
#include <stdio.h>
#include <string.h>

#define DAEMONS 3
#define JOBS 400
#define PAUSE_MS 20
/* body_bytes of the site file is 262144; the largest name in a step that a
   daemon takes has 4000 bytes.  */
#define STEPS 19
#define FIELD_BYTES 4000
#define SETTLE_MS 70000
/* LOST: for 3 s nothing runs of a job that lasts, from 6 s after its last
   run.  */
#define IDLE_MS 9000
#define LONG_ID "00000000000000a1"

/* A job that never runs; a LARGE one has names of the largest size.  */
static char *
make_job (bool large)
{
  g_autofree char *fill = g_strnfill (large ? FIELD_BYTES - 8 : 8, 'x');
  GString *job = g_string_new ("{\"spec\":\"1000\",\"steps\":[");

  for (uint32_t i = 0; i < STEPS; i++)
    g_string_append_printf (
        job,
        "%s{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":1000,"
        "\"requirements\":\"need-%s\",\"affinity\":\"rack-%s\","
        "\"image\":\"img-%s\"}",
        i > 0 ? "," : "", fill, fill, fill);
  return g_string_free (g_string_append (job, "]}"), FALSE);
}

/* Whether the daemon INDEX says that there is no job ID.  */
static bool
is_denied (bed_t *bed, uint32_t index, const char *id)
{
  g_autofree char *path = g_strdup_printf (BED_PREFIX "%s", id);
  g_autoptr (GString) text = g_string_new (NULL);
  int status = bed_call (bed->daemons[index].address, BED_FRONT, "GET", path,
                         NULL, 1000, text);

  if (status != 200 || strcmp (id, LONG_ID) == 0)
    bed_note ("GET %s at edge-%u: %d %s", id, index, status, text->str);
  return status == 410;
}

int
main (void)
{
  bed_t *bed = bed_new (DAEMONS);
  bool trouble = bed_trouble ();
  g_autofree char *job = make_job (trouble);
  uint32_t accepted = 0;
  uint32_t denied = 0;
  uint32_t hosts = 0;
  uint32_t crashed = 0;
  uint32_t unknown = 0;
  int64_t longest_ms = 0;
  int64_t idle_ms;
  int64_t end_ms;

  bed_publish_config (bed);
  bed->workers = workers_start (bed->store, "s", 4, 16, 1);
  bed_start_all (bed);
  bed_run (bed, 1500);
  /* An ordinary job that lasts.  */
  bed_require (bed,
               bed_submit (bed, LONG_ID,
                           "{\"spec\":\"3600000\",\"steps\":[{\"count\":5,"
                           "\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":900,"
                           "\"long_running\":true}]}",
                           5000)
                       == 200
                   && bed_get (bed, LONG_ID, "running", 10000),
               "an ordinary job does not run before");
  bed_note ("an ordinary job runs");
  for (uint32_t i = 0; i < JOBS; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", 0xb00 + i);

      accepted += bed_submit (bed, id, job, 0) == 200;
      bed_run (bed, PAUSE_MS);
    }
  bed_note ("%u of %d jobs of %zu bytes were accepted", accepted, JOBS,
            strlen (job));
  end_ms = bed_ms () + SETTLE_MS;
  idle_ms = bed_ms ();
  while (bed_ms () < end_ms)
    {
      if (workers_running (bed->workers) > 0)
        idle_ms = bed_ms ();
      longest_ms = MAX (longest_ms, bed_ms () - idle_ms);
      bed_run (bed, 20);
    }
  for (uint32_t i = 0; i < DAEMONS; i++)
    denied += is_denied (bed, i, LONG_ID);
  for (uint32_t i = 0; i < JOBS; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", 0xb00 + i);

      unknown += is_denied (bed, i % DAEMONS, id);
    }
  bed_note ("%u of %u accepted jobs are answered with 410 by one daemon",
            unknown, accepted);
  bed_note ("%u work items run; the longest time without any was %" PRId64
            " ms",
            workers_running (bed->workers), longest_ms);
  for (uint32_t i = 0; i < DAEMONS; i++)
    {
      const bed_daemon_t *d = &bed->daemons[i];

      bed_note ("edge-%u: peak %ld MB, %u times over its memory", i,
                d->peak_mb, d->over);
      hosts += d->over >= 3;
      crashed += d->crashed;
    }
  bed_note ("%u daemons were over their memory three times or more", hosts);
  printf ("hosts %u crashed %u denied %u unknown %u idle-ms %" PRId64
          " accepted %u\n",
          hosts, crashed, denied, unknown, longest_ms, accepted);
  bed_end (bed, hosts >= 2 || crashed > 0 || denied > 0 || unknown > 0
                    || longest_ms > IDLE_MS);
}
