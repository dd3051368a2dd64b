/* pending - asks for the number of a queue's waiting jobs while the operator
   changes the config

   RULES.md, MIXED: a machine in touch gives as `pending` under half of the
   jobs without times that were accepted over visible_ms + 2 s before and
   haven't begun.  */

#include "bed3.h"
#include <jansson.h>
#include <string.h>

/* The bounds of the small sites.  */
#define VISIBLE_MS 3000
#define OLDER_MS 2000
#define CALL_MS 3000

#define WORKERS 2
#define CORES 8
#define WAITING 20
#define ASKERS 2 /* for each daemon */
#define DAEMONS 2
#define ASK_MS 50000
#define ASK_INTERVAL_MS 2 /* of an asker */
#define CONFIG_INTERVAL_MS 500
/* Queues without jobs beside the one in use, as big_config adds them.  */
#define IDLE_QUEUES 350

typedef struct asker
{
  bed_t *bed;
  uint32_t daemon;
  int64_t end_ms;
  uint32_t answers;
  uint32_t wrong;
  uint32_t others; /* calls without an answer, or with another status */
  GThread *thread;
} asker_t;

static void
put_config (bed_t *bed, store_t *store, uint32_t version)
{
  g_autoptr (GString) text = g_string_new (NULL);

  g_string_append_printf (
      text,
      "{\"version\":%u,\"routes\":[{\"name\":\"work\",\"host\":\"" BED_HOST
      "\",\"path_prefix\":\"" BED_PREFIX "\",\"service\":\"shop\","
      "\"public\":true,\"timeout_ms\":%u,\"priority\":0,\"max_attempts\":3,"
      "\"stretch_factor\":1.6,\"target_latency_ms\":600}",
      version, 2900 + version % 100);
  for (uint32_t i = 0; i < IDLE_QUEUES; i++)
    g_string_append_printf (
        text,
        ",{\"name\":\"idle-%u\",\"host\":\"" BED_HOST
        "\",\"path_prefix\":\"/idle-%u/\",\"service\":\"shop\","
        "\"public\":true,\"timeout_ms\":3000,\"priority\":0,"
        "\"max_attempts\":3,\"stretch_factor\":1.6,"
        "\"target_latency_ms\":600}",
        i, i);
  g_string_append (text, "],\"services\":[{\"name\":\"shop\","
                         "\"enforces_capacity\":true}],\"tenants\":[],"
                         "\"limits\":{}}");
  store_put (store, "keyed.op", "config", text->str);
  bed_note (bed, "operator: config version %u is acknowledged", version);
}

static void
submit (bed_t *bed, uint32_t number, uint32_t count, uint32_t ms)
{
  g_autofree char *path = g_strdup_printf (BED_PREFIX "%016x", number);
  g_autofree char *body = g_strdup_printf (
      "{\"spec\":\"%u\",\"steps\":[{\"count\":%u,\"cpu\":1000,\"mem_mb\":64,"
      "\"estimate_ms\":%u}]}",
      ms, count, ms);
  g_autoptr (GString) answer = g_string_new (NULL);
  client_t client;
  uint32_t status;

  client_open (&client, bed, bed->daemons[number % DAEMONS].front);
  status = client_call (&client, "POST", path, body, answer, CALL_MS);
  client_close (&client);
  bed_note (bed, "POST %s (%u work items) to d%u: %u", path, count,
            number % DAEMONS, status);
  if (status != 200)
    bed_give_up (bed, "a job is not accepted");
}

/* The number of waiting jobs by the answer, or -1.  */
static int64_t
read_pending (const char *text)
{
  json_t *root = json_loads (text, 0, NULL);
  const json_t *value = json_object_get (root, "pending");
  int64_t pending = json_is_integer (value) ? json_integer_value (value) : -1;

  json_decref (root);
  return pending;
}

static gpointer
run_asker (gpointer data)
{
  asker_t *asker = data;
  bed_t *bed = asker->bed;
  client_t client;

  client_open (&client, bed, bed->daemons[asker->daemon].front);
  while (bed_ms (bed) < asker->end_ms)
    {
      g_autoptr (GString) answer = g_string_new (NULL);
      uint32_t status;
      int64_t pending;

      bed_sleep_ms (ASK_INTERVAL_MS);
      status = client_call (&client, "GET", BED_PREFIX, NULL, answer, CALL_MS);
      pending = status == 200 ? read_pending (answer->str) : -1;
      if (pending < 0)
        {
          asker->others++;
          bed_note (bed, "GET " BED_PREFIX " at d%u: %u %s", asker->daemon,
                    status, answer->str);
          continue;
        }
      asker->answers++;
      if (pending * 2 >= WAITING)
        continue;
      asker->wrong++;
      bed_note (bed, "GET " BED_PREFIX " at d%u: %u %s; %u jobs wait",
                asker->daemon, status, answer->str, WAITING);
    }
  client_close (&client);
  return NULL;
}

int
main (int argc, char **argv)
{
  asker_t askers[DAEMONS * ASKERS] = { 0 };
  uint32_t version = 1;
  uint32_t wrong = 0;
  workers_t *workers;
  store_t *store;
  int64_t end_ms;
  bed_t bed;

  bed_open (&bed, argc, argv);
  store = store_start ();
  put_config (&bed, store, version);
  workers = workers_start (store, "shop", WORKERS, CORES, 1);
  for (uint32_t i = 0; i < DAEMONS; i++)
    bed_add_daemon (&bed, store_port (store), "hosts_api: \"\"\n");
  for (uint32_t i = 0; i < DAEMONS; i++)
    bed_await_ready (&bed, i);
  /* Fills all workers for longer than the case lasts.  */
  submit (&bed, 1, WORKERS * CORES, 200000);
  for (uint32_t i = 0; i < 100 && workers_running (workers) < WORKERS * CORES;
       i++)
    bed_sleep_ms (100);
  if (workers_running (workers) != WORKERS * CORES)
    bed_give_up (&bed, "the workers are not full");
  bed_note (&bed, "all %u cores of the workers are in use", WORKERS * CORES);
  for (uint32_t i = 0; i < WAITING; i++)
    submit (&bed, 100 + i, 1, 1000);
  bed_sleep_ms (VISIBLE_MS + OLDER_MS + 1000);
  end_ms = bed_ms (&bed) + ASK_MS;
  bed_note (&bed, "from here on %u jobs are due to be counted as waiting",
            WAITING);
  for (uint32_t i = 0; i < G_N_ELEMENTS (askers); i++)
    {
      askers[i]
          = (asker_t){ .bed = &bed, .daemon = i % DAEMONS, .end_ms = end_ms };
      askers[i].thread = g_thread_new ("asker", run_asker, &askers[i]);
    }
  while (bed_ms (&bed) < end_ms)
    {
      bed_sleep_ms (CONFIG_INTERVAL_MS);
      if (bed.trouble)
        put_config (&bed, store, ++version);
    }
  for (uint32_t i = 0; i < G_N_ELEMENTS (askers); i++)
    {
      g_thread_join (askers[i].thread);
      wrong += askers[i].wrong;
      bed_note (&bed,
                "asked at d%u: %u answers, %u of them under half; "
                "%u without a number",
                askers[i].daemon, askers[i].answers, askers[i].wrong,
                askers[i].others);
    }
  if (workers_running (workers) != WORKERS * CORES)
    bed_give_up (&bed, "some of the first job's work items have ended");
  bed_close (&bed, wrong > 0 ? BED_BROKEN : BED_HELD);
  workers_stop (workers);
  store_stop (store);
  return wrong > 0 ? BED_BROKEN : BED_HELD;
}
