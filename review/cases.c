#include "cases.h"
#include "bed.h"
#include <string.h>

#define SERVICE "svc"

static void
begin (uint32_t minions)
{
  config_put (1, true, 3);
  minions_open (SERVICE, minions, "a", 16000);
  daemons_start ();
  daemons_wait_for_owner ();
}

static char *
one_step (const char *spec, const char *more)
{
  return g_strdup_printf (
      "{\"spec\":\"%s\",\"steps\":[{\"count\":1,"
      "\"cpu\":100,\"mem_mb\":100,\"estimate_ms\":500%s}]}",
      spec, more);
}

/* Waits until the work items of job ID have started COUNT times.  */
static bool
wait_for_starts (const char *id, uint32_t count, int64_t limit_ms)
{
  int64_t end_ms = now_ms () + limit_ms;

  for (;;)
    {
      g_autoptr (GArray) found = starts_of (id);

      if (found->len >= count)
        return true;
      if (now_ms () >= end_ms)
        return false;
      sleep_ms (20);
    }
}

/* The store goes down as it has stored a job: the requester is refused at each
   attempt, but the job runs.  */
static int
false_refusal (void)
{
  g_autofree char *id = job_id ();
  g_autofree char *body = one_step ("work=500", "");
  uint32_t attempts = 0;
  uint32_t refused = 0;
  bool accepted = false;
  uint32_t daemon;
  int64_t end_ms;

  begin (9);
  daemon = owner_index ();
  if (trouble)
    store_break_at (id, 4500);
  end_ms = now_ms () + 3000;
  /* The requester's time limit is 3 s; it tries again up to 4 times.  */
  while (attempts < 5 && now_ms () < end_ms && !accepted)
    {
      answer_t answer
          = call (daemon, "POST", id, body, MAX (end_ms - now_ms (), 1));

      attempts++;
      refused += answer.status == 503 || answer.status == 429;
      accepted = answer.status / 100 == 2;
      daemon = (daemon + 1) % DAEMONS;
      if (!accepted)
        sleep_ms (1000); /* Retry-After */
    }
  if (trouble && store_broke_at () == 0)
    give_up ("the store did not break");
  if (!wait_for_starts (id, 1, 12000))
    {
      note ("the job does not run");
      return accepted ? 2 : 0;
    }
  note ("attempts %u, rejected %u, accepted %d, and the job runs", attempts,
        refused, accepted);
  return refused == attempts;
}

/* A minion starts a work item, resets the channel and is unhealthy.  */
static int
two_runs (void)
{
  g_autofree char *earlier = job_id ();
  g_autofree char *id = job_id ();
  g_autofree char *body = one_step ("work=2500", "");
  answer_t answer;

  begin (10);
  /* Ordinary work before: the daemon has channels to all minions.  */
  answer = call (0, "POST", earlier,
                 "{\"spec\":\"work=300\",\"steps\":[{\"count\":10,\"cpu\":100,"
                 "\"mem_mb\":100,\"estimate_ms\":300,\"anti_affinity\":1}]}",
                 3000);
  if (answer.status != 200 || !wait_for_starts (earlier, 10, 10000))
    give_up ("the first job was not accepted, or did not start");
  sleep_ms (3000);
  if (trouble)
    minion_break_at (id, 5500);
  answer = call (0, "POST", id, body, 3000);
  if (answer.status != 200 || !wait_for_starts (id, 1, 10000))
    give_up ("the job was not accepted, or did not start");
  sleep_ms (10000);
  if (trouble && !minion_broke ())
    give_up ("no minion broke");
  return doubled_starts () > 0;
}

/* A step names an image of 220 bytes.  */
static int
long_image (void)
{
  g_autofree char *id = job_id ();
  g_autofree char *image = g_strnfill (trouble ? 220 : 60, 'm');
  g_autofree char *more = g_strdup_printf (",\"image\":\"%s\"", image);
  g_autofree char *body = one_step ("work=500", more);
  bool unknown = true;
  answer_t answer;

  begin (9);
  answer = call (0, "POST", id, body, 3000);
  if (answer.status != 200)
    {
      note ("not accepted");
      return 0;
    }
  sleep_ms (5000); /* visible_ms and more */
  for (uint32_t i = 0; i < DAEMONS; i++)
    {
      answer = call (i, "GET", id, "", 3000);
      unknown &= answer.status == 410;
    }
  note ("started: %d", wait_for_starts (id, 1, 0));
  return unknown;
}

/* The route of a running job is removed and comes back.  */
static int
route_removed (void)
{
  g_autofree char *id = job_id ();
  g_autofree char *body = one_step ("work=2500 fail=1", "");
  answer_t answer;
  int64_t end_ms;

  begin (9);
  answer = call (0, "POST", id, body, 3000);
  if (answer.status != 200 || !wait_for_starts (id, 1, 5000))
    give_up ("the job was not accepted, or did not start");
  if (trouble)
    config_put (2, false, 3);
  sleep_ms (4000);
  config_put (3, true, 3);
  sleep_ms (4000); /* config_apply_ms and more */
  end_ms = now_ms () + 15000;
  while (now_ms () < end_ms)
    {
      answer = call (0, "GET", id, "", 3000);
      if (strstr (answer.body, "failed") || strstr (answer.body, "complete"))
        break;
      sleep_ms (1000);
    }
  note ("runs that ended failed: %d of 3 that the route allows",
        (int)ends_of (id, "failed"));
  if (!strstr (answer.body, "failed") && !strstr (answer.body, "complete"))
    return 2;
  return strstr (answer.body, "failed") && ends_of (id, "failed") < 3;
}

/* Whether a work item of job ID was started on a minion of another KIND.  */
static bool
started_elsewhere (const char *id, const char *kind)
{
  g_autoptr (GArray) found = starts_of (id);
  bool elsewhere = false;

  for (guint i = 0; i < found->len; i++)
    elsewhere
        |= strcmp (minion_kind (g_array_index (found, start_t, i).minion),
                   kind)
           != 0;
  return elsewhere;
}

/* Hands in a job that requires KIND; whether it does not start in 20 s.  */
static bool
never_starts (const char *kind)
{
  g_autofree char *id = job_id ();
  g_autofree char *more = g_strdup_printf (",\"requirements\":\"%s\"", kind);
  g_autofree char *body = one_step ("work=500", more);
  bool never;

  if (call (0, "POST", id, body, 3000).status != 200)
    give_up ("the job was not accepted");
  never = !wait_for_starts (id, 1, 20000);
  call (0, "GET", id, "", 3000);
  if (never)
    note ("no start in 20 s, though two idle minions are of kind %s", kind);
  if (started_elsewhere (id, kind))
    note ("started on a minion that is not of kind %s", kind);
  return never || started_elsewhere (id, kind);
}

/* Two minions start again under their ids, as machines of another kind.  */
static int
other_kind (void)
{
  bool broken;

  begin (15);
  if (never_starts ("a"))
    return 2;
  sleep_ms (1000);
  if (trouble)
    minions_restart (2, 2000, "b");
  sleep_ms (8000); /* all is calm again */
  broken = never_starts (trouble ? "b" : "a");
  return broken | never_starts ("a");
}

/* The owner is cut off from the store; a requester leaves before it has an
   answer, and cancels its job at another daemon.  */
static int
cancel_overtaken (void)
{
  g_autofree char *id = job_id ();
  g_autoptr (GString) body = g_string_new (NULL);
  uint32_t owner;
  uint32_t other;
  answer_t answer = { 0 };
  int64_t down_ms;
  int64_t up_ms;
  int64_t cancelled_ms;
  uint32_t late = 0;
  g_autoptr (GArray) found = NULL;

  begin (9);
  owner = owner_index ();
  other = (owner + 1) % DAEMONS;
  g_string_append (body, "{\"spec\":\"work=2500\",\"steps\":[");
  for (uint32_t i = 0; i < 8; i++)
    {
      g_string_append_printf (body,
                              "%s{\"count\":1,\"cpu\":100,\"mem_mb\":100,"
                              "\"estimate_ms\":2500",
                              i ? "," : "");
      if (i > 0)
        g_string_append_printf (body, ",\"after\":[%u]", i - 1);
      g_string_append (body, "}");
    }
  g_string_append (body, "]}");
  if (trouble)
    store_set_mode (owner, STORE_SILENT);
  down_ms = now_ms ();
  call (owner, "POST", id, body->str, 2000);
  for (uint32_t i = 0;
       i < 10 && answer.status != 410 && answer.status / 100 != 2; i++)
    {
      answer = call (other, "DELETE", id, "", 3000);
      if (answer.status != 410 && answer.status / 100 != 2)
        sleep_ms (500);
    }
  if (answer.status != 410 && answer.status / 100 != 2)
    give_up ("the cancelling was not acknowledged");
  cancelled_ms = now_ms ();
  sleep_ms (MAX (down_ms + 4500 - now_ms (), 0));
  store_set_mode (owner, STORE_SERVES);
  up_ms = now_ms ();
  sleep_ms (20000);
  call (other, "GET", id, "", 3000);
  found = starts_of (id);
  for (guint i = 0; i < found->len; i++)
    {
      int64_t at_ms = g_array_index (found, start_t, i).at_ms;

      /* cancel_ms after the answer, and contact_ms after the disturbance */
      late += at_ms > cancelled_ms + 3000 && at_ms > up_ms + 3000;
    }
  note ("%u starts, %u of them later than cancel_ms after the cancelling was "
        "acknowledged",
        found->len, late);
  return late > 0;
}

/* A job with many small work items that last is handed in.  */
static int
large_job (void)
{
  g_autofree char *large = job_id ();
  g_autofree char *small = job_id ();
  g_autofree char *body = one_step ("work=500", "");
  g_autofree char *large_body = g_strdup_printf (
      "{\"spec\":\"work=0 cpu=10\",\"steps\":[{\"count\":%u,\"cpu\":10,"
      "\"mem_mb\":10,\"estimate_ms\":500,\"long_running\":true}]}",
      trouble ? 12000U : 12U);
  answer_t answer;
  bool lost;

  begin (10);
  answer = call (0, "POST", large, large_body, 3000);
  if (answer.status != 200)
    give_up ("the large job was not accepted");
  sleep_ms (1000);
  answer = call (0, "POST", small, body, 3000);
  if (answer.status != 200)
    call (1, "POST", small, body, 3000);
  lost = !wait_for_starts (small, 1, 30000);
  call (0, "GET", small, "", 3000);
  call (1, "GET", small, "", 3000);
  return lost;
}

/* Eight jobs come within a second, or one each three seconds, on a route with
   advice.  The service needs two seconds for each.  */
static int
advice_waits (void)
{
  char *ids[8];
  uint32_t started = 0;

  advice_decide_ms = 500;
  advice_period_ms = 50;
  begin (30);
  for (uint32_t i = 0; i < G_N_ELEMENTS (ids); i++)
    {
      g_autofree char *body = one_step ("work=500", "");

      ids[i] = job_id ();
      if (call (i % DAEMONS, "POST", ids[i], body, 3000).status != 200)
        give_up ("a job was not accepted");
      sleep_ms (trouble ? 125 : 3000);
    }
  sleep_ms (60000);
  for (uint32_t i = 0; i < G_N_ELEMENTS (ids); i++)
    {
      bool one = wait_for_starts (ids[i], 1, 0);

      started += one;
      if (!one)
        call (0, "GET", ids[i], "", 3000);
    }
  note ("%u of %zu jobs were started", started, G_N_ELEMENTS (ids));
  return started < G_N_ELEMENTS (ids);
}

const case_entry_t cases[] = {
  { "advice-waits", advice_waits },

  { "false-refusal", false_refusal }, { "two-runs", two_runs },
  { "long-image", long_image },       { "route-removed", route_removed },
  { "other-kind", other_kind },       { "cancel-overtaken", cancel_overtaken },
  { "large-job", large_job },
};
const uint32_t cases_count = G_N_ELEMENTS (cases);
