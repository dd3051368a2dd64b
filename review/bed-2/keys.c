/* keys - a key is taken away, and its holder goes on to use the tenant's jobs

   The config has a route that needs a key and a public one, as those of the
   sites have.  */

#include "bed2.h"
#include <stdio.h>
#include <string.h>

#define DAEMONS 3
#define KEYED "/jobs/"
#define PUBLIC "/open/"
#define ID "5c0e7a21d94b36f8"
/* revoke_ms is 5000.  */
#define REVOKED_MS 6500
#define KEY_LOST "jbvk9m68k7b2ex5wa5xw" /* is taken away */
#define KEY_KEPT "sjnbanfqasnmgkcuyj8p"

static bed_t *bed;

static void
publish (uint32_t version, const char *keys)
{
  g_autofree char *text = g_strdup_printf (
      "{\"version\":%u,\"routes\":["
      "{\"name\":\"q\",\"host\":\"" BED_HOST "\",\"path_prefix\":\"" KEYED
      "\",\"type\":\"unsafe\",\"service\":\"s\",\"timeout_ms\":3000,"
      "\"target_latency_ms\":600,\"priority\":0,\"max_attempts\":3,"
      "\"stretch_factor\":1.6,\"public\":false},"
      "{\"name\":\"p\",\"host\":\"" BED_HOST "\",\"path_prefix\":\"" PUBLIC
      "\",\"type\":\"unsafe\",\"service\":\"s\",\"timeout_ms\":3000,"
      "\"target_latency_ms\":2500,\"priority\":0,\"max_attempts\":4,"
      "\"stretch_factor\":2.2,\"public\":true}],"
      "\"services\":[{\"name\":\"s\",\"enforces_capacity\":true,"
      "\"standby\":false}],"
      "\"tenants\":[{\"name\":\"t\",\"api_keys\":[%s],\"priority\":1,"
      "\"weight\":63,\"cap\":{\"cpu\":784758,\"mem_mb\":2303706,\"gpu\":0}}]}",
      version, keys);

  store_put (bed->store, "keyed.op", "config", text);
}

/* One call at the daemon INDEX.  */
static int
call (const char *key, uint32_t index, const char *method, const char *path,
      const char *body, GString *answer)
{
  int status;

  g_string_truncate (answer, 0);
  status = bed_call_as (key, bed->daemons[index].address, BED_FRONT, method,
                        path, body, 3000, answer);
  bed_note ("%s %s with %s key at edge-%u: %d %s", method, path,
            !key                          ? "no"
            : strcmp (key, KEY_LOST) == 0 ? "the first"
                                          : "the second",
            index, status, answer->str);
  return status;
}

static void
await_running (GString *answer)
{
  int64_t end_ms = bed_ms () + 10000;

  do
    {
      bed_run (bed, 200);
      bed_require (bed, bed_ms () < end_ms, "the job does not run");
      call (KEY_KEPT, 0, "GET", KEYED ID, NULL, answer);
    }
  while (!strstr (answer->str, "running"));
}

int
main (void)
{
  bool trouble = bed_trouble ();
  g_autoptr (GString) answer = g_string_new (NULL);
  bool read;
  bool cancelled;
  bool shown;

  bed = bed_new (DAEMONS);
  publish (1, "\"" KEY_LOST "\",\"" KEY_KEPT "\"");
  bed->workers = workers_start (bed->store, "s", 4, 16, 1);
  bed_start_all (bed);
  bed_run (bed, 1500);
  bed_require (bed,
               call (KEY_KEPT, 0, "POST", KEYED ID,
                     "{\"spec\":\"3600000\",\"steps\":[{\"count\":3,"
                     "\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":900,"
                     "\"long_running\":true}]}",
                     answer)
                   == 200,
               "the job is not accepted");
  await_running (answer);
  bed_require (bed, call (KEY_LOST, 1, "GET", KEYED ID, NULL, answer) == 200,
               "the first key does not work before");
  if (trouble)
    {
      publish (2, "\"" KEY_KEPT "\"");
      bed_note ("version 2 of the config takes the first key away");
    }
  bed_run (bed, REVOKED_MS);
  bed_require (bed,
               call (KEY_LOST, 1, "GET", KEYED ID, NULL, answer)
                   == (trouble ? 401 : 200),
               "the first key is not treated as the config says");
  call (NULL, 1, "GET", PUBLIC ID, NULL, answer); /* not judged */
  read = call (KEY_LOST, 1, "GET", PUBLIC ID, NULL, answer) == 200;
  cancelled = call (KEY_LOST, 1, "DELETE", PUBLIC ID, NULL, answer) == 200;
  bed_run (bed, 1000);
  call (KEY_KEPT, 0, "GET", KEYED ID, NULL, answer);
  shown = strstr (answer->str, "cancelled") != NULL;
  bed_note ("%u work items run", workers_running (bed->workers));
  bed_note ("read %d cancelled %d shown as cancelled %d", read, cancelled,
            shown);
  printf ("read %d cancelled %d shown %d\n", read, cancelled, shown);
  bed_end (bed, trouble && (read || cancelled || shown));
}
