#include "fleetrig.h"

/* Jobs with a smaller number have tasks that last.  */
#define FIRST_SHORT_JOB 10
#define SERVE_STEPS_MAX 200

fleet_t fleet;

static uint32_t expected; /* long-running tasks that were submitted */

static void
come_up (uint32_t index)
{
  fleet_host_t *host = &fleet.hosts[index];
  g_autofree char *name = g_strdup_printf ("h%u", index);

  g_snprintf (host->worker, sizeof host->worker, "w%u-%u", index,
              host->lives++);
  host->up_us = 0;
  host->ends_sent = 0;
  rig.host = g_intern_string (name);
  rig_worker (host->worker, fleet.cores, false);
  rig.host = NULL;
}

static void
go_down (fleet_host_t *host)
{
  if (host->worker[0] != '\0')
    sched_unlist_worker (rig.sched, host->worker, rig.now);
  host->worker[0] = '\0';
  host->runs_count = host->ends_count = 0;
}

static void
list_hosts (void)
{
  g_autoptr (GArray) infos = g_array_new (FALSE, TRUE, sizeof (host_info_t));

  for (uint32_t i = 0; i < fleet.count; i++)
    {
      const fleet_host_t *host = &fleet.hosts[i];
      g_autofree char *name = g_strdup_printf ("h%u", i);
      host_info_t info = { .host = g_intern_string (name),
                           .pool = RIG_SERVICE,
                           .worker = host->worker,
                           .state = host->lost    ? HOST_STATUS_DOWN
                                    : host->up_us ? HOST_STATUS_MAINTENANCE
                                                  : HOST_STATUS_UP };

      g_array_append_val (infos, info);
    }
  hosts_set (rig.sched, infos, rig.now.us, rig.now);
}

void
fleet_open (uint32_t count, uint32_t cores)
{
  memset (&fleet, 0, sizeof fleet);
  fleet.count = count;
  fleet.cores = cores;
  expected = 0;
  rig_open_sched (1);
  for (uint32_t i = 0; i < count; i++)
    come_up (i);
  list_hosts ();
}

static fleet_host_t *
host_of (const char *worker)
{
  for (uint32_t i = 0; i < fleet.count; i++)
    if (strcmp (fleet.hosts[i].worker, worker) == 0)
      return &fleet.hosts[i];
  return NULL;
}

static void
end_run (fleet_host_t *host, uint32_t index, run_end_kind_t kind)
{
  const run_status_t *run = &host->runs[index];

  host->ends[host->ends_count++] = (run_end_t){ .sequence = ++host->ends_sent,
                                                .task = run->task,
                                                .attempt = run->attempt,
                                                .kind = kind,
                                                .checkpoint = "" };
  host->runs_count--;
  host->runs[index] = host->runs[host->runs_count];
  host->end_us[index] = host->end_us[host->runs_count];
}

static bool
is_short (const task_ref_t *task)
{
  return g_ascii_strtoull (task->id, NULL, 16) >= FIRST_SHORT_JOB;
}

static void
carry_out (const order_t *order)
{
  fleet_host_t *host = host_of (order->worker);

  if (!host)
    return;
  if (order->kind == ORDER_START)
    {
      ck_assert_uint_lt (host->runs_count, FLEET_RUNS_MAX);
      rig_confirm_start (order);
      host->end_us[host->runs_count]
          = is_short (&order->task)
                ? rig.now.us + (int64_t)fleet.short_task_ms * 1000
                : 0;
      host->runs[host->runs_count++] = rig_status (order);
      return;
    }
  for (uint32_t i = 0; order->kind == ORDER_STOP && i < host->runs_count; i++)
    if (task_ref_equal (&host->runs[i].task, &order->task)
        && host->runs[i].attempt == order->attempt)
      {
        fleet.stops += host->end_us[i] == 0;
        rig_reply (order, REPLY_OK);
        end_run (host, i, RUN_STOPPED);
        return;
      }
}

static void
report (void)
{
  for (uint32_t i = 0; i < fleet.count; i++)
    {
      fleet_host_t *host = &fleet.hosts[i];

      for (uint32_t j = host->runs_count; j-- > 0;)
        if (host->end_us[j] != 0 && host->end_us[j] <= rig.now.us)
          end_run (host, j, RUN_DONE);
      if (host->worker[0] == '\0')
        continue;
      rig_report (host->worker, host->runs, host->runs_count, host->ends,
                  host->ends_count);
      host->ends_count = 0;
    }
}

static void
carry_out_host_orders (void)
{
  GArray *orders = hosts_plan (rig.sched, rig.now);
  g_autoptr (GArray) copy = g_array_copy (orders);

  g_array_set_size (orders, 0);
  for (uint32_t i = 0; i < copy->len; i++)
    {
      const host_order_t *order = &g_array_index (copy, host_order_t, i);
      uint32_t index = (uint32_t)g_ascii_strtoull (order->host + 1, NULL, 10);
      fleet_host_t *host = &fleet.hosts[index];

      ck_assert_int_eq (order->kind, HOST_ORDER_MAINTENANCE);
      go_down (host);
      host->up_us = rig.now.us + (int64_t)FLEET_MAINTENANCE_MS * 1000;
      host->maintained = true;
      hosts_reply (rig.sched, order, HOST_REPLY_OK, rig.now);
    }
}

/* Notes how long long-running tasks have had no run.  */
static void
watch (void)
{
  uint32_t running = 0;
  uint32_t down = 0;

  for (uint32_t i = 0; i < fleet.count; i++)
    {
      const fleet_host_t *host = &fleet.hosts[i];

      for (uint32_t j = 0; j < host->runs_count; j++)
        running += host->end_us[j] == 0;
      down += host->up_us != 0;
    }
  fleet.down_most = MAX (fleet.down_most, down);
  if (running >= expected)
    fleet.away_since_us = 0;
  else if (fleet.away_since_us == 0)
    fleet.away_since_us = rig.now.us;
  if (fleet.away_since_us != 0)
    fleet.away_most_ms
        = MAX (fleet.away_most_ms, (rig.now.us - fleet.away_since_us) / 1000);
}

void
fleet_step (void)
{
  g_autoptr (GArray) orders = NULL;

  rig_advance_clock (FLEET_STEP_MS);
  for (uint32_t i = 0; i < fleet.count; i++)
    if (fleet.hosts[i].up_us != 0 && fleet.hosts[i].up_us <= rig.now.us)
      come_up (i);
  report ();
  list_hosts ();
  carry_out_host_orders ();
  orders = rig_plan (false);
  for (uint32_t i = 0; i < orders->len; i++)
    carry_out (&g_array_index (orders, order_t, i));
  watch ();
}

void
fleet_serve (uint32_t number, job_step_t step)
{
  step.long_running = true;
  rig_submit (number, &step, 1);
  expected += step.count;
  for (uint32_t i = 0; i < SERVE_STEPS_MAX; i++)
    fleet_step ();
  ck_assert_int_eq (fleet.away_since_us, 0);
  fleet.away_most_ms = 0;
}

void
fleet_set_wave (uint64_t number, const char *hosts, uint32_t duration_s,
                uint32_t at_once)
{
  wave_info_t wave = { .number = number,
                       .hosts = g_strsplit (hosts, " ", 0),
                       .duration_s = duration_s,
                       .at_once = at_once };

  hosts_set_wave (rig.sched, &wave, rig.now.us, rig.now);
}

bool
fleet_run (const char *wave_hosts, int64_t ms)
{
  g_auto (GStrv) names = g_strsplit (wave_hosts, " ", 0);

  for (int64_t i = 0; i < ms / FLEET_STEP_MS; i++)
    {
      bool all = true;

      fleet_step ();
      for (uint32_t n = 0; names[n]; n++)
        all &= fleet
                   .hosts[g_ascii_strtoull (names[n] + 1, NULL, 10)
                          % FLEET_HOSTS_MAX]
                   .maintained;
      if (all)
        return true;
    }
  return false;
}

void
fleet_lose (uint32_t index)
{
  fleet.hosts[index].lost = true;
  go_down (&fleet.hosts[index]);
}
