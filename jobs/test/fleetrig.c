#include "fleetrig.h"

/* Jobs with a smaller number have tasks that last.  */
#define FIRST_SHORT_JOB 10
#define SERVE_STEPS_MAX 200
/* Time after which a call without an answer ends.  */
#define CALL_TIMEOUT_US 1500000
/* notice_ms of the small sites.  */
#define NOTICE_US 4500000

fleet_t fleet;

static job_step_t steps[FIRST_SHORT_JOB]; /* of the jobs with them */

/* Since when a task has had no run, and why.  */
typedef struct away
{
  int64_t since_us; /* 0: it runs */
  bool by_order;
} away_t;

static away_t aways[FIRST_SHORT_JOB][FLEET_TASKS_MAX];

static void
note_away (const task_ref_t *task, bool by_order)
{
  uint64_t job = g_ascii_strtoull (task->id, NULL, 16);

  if (job < FIRST_SHORT_JOB)
    aways[job][task->index]
        = (away_t){ .since_us = rig.now.us, .by_order = by_order };
}

/* An order that is carried out later.  */
typedef struct late_order
{
  host_order_t order;
  int64_t at_us;
} late_order_t;

/* A record, and when it is stored.  */
typedef struct stored
{
  fleet_update_t update;
  int64_t at_us;
} stored_t;

static GArray *
stored (void)
{
  static GArray *rows;

  if (!rows)
    rows = g_array_new (FALSE, FALSE, sizeof (stored_t));
  return rows;
}

/* Orders that are carried out later, and those whose calls time out later.  */
static GArray *
late_orders (void)
{
  static GArray *orders;

  if (!orders)
    orders = g_array_new (FALSE, FALSE, sizeof (late_order_t));
  return orders;
}

static GArray *
timeouts (void)
{
  static GArray *orders;

  if (!orders)
    orders = g_array_new (FALSE, FALSE, sizeof (late_order_t));
  return orders;
}

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

/* Ends the runs of HOST, by an order or by a fault.  */
static void
go_down (fleet_host_t *host, bool by_order)
{
  for (uint32_t i = 0; i < host->runs_count; i++)
    note_away (&host->runs[i].task, by_order);
  if (host->worker[0] != '\0')
    sched_unlist_worker (rig.sched, host->worker, rig.now);
  host->worker[0] = '\0';
  host->runs_count = host->ends_count = 0;
}

/* Lists that are older than fleet.list_age_ms.  */
typedef struct old_list
{
  GArray *infos;
  int64_t sent_us;
} old_list_t;

static GQueue lists = G_QUEUE_INIT;

static void
free_list (gpointer data)
{
  old_list_t *list = data;

  g_array_unref (list->infos);
  g_free (list);
}

static GArray *
take_list (void)
{
  GArray *infos = g_array_new (FALSE, TRUE, sizeof (host_info_t));

  for (uint32_t i = 0; i < fleet.count; i++)
    {
      const fleet_host_t *host = &fleet.hosts[i];
      g_autofree char *name = g_strdup_printf ("h%u", i);
      host_info_t info = { .host = g_intern_string (name),
                           .pool = RIG_SERVICE,
                           .worker = g_intern_string (host->worker),
                           .state = host->lost    ? HOST_STATUS_DOWN
                                    : host->up_us ? HOST_STATUS_MAINTENANCE
                                                  : HOST_STATUS_UP };

      g_array_append_val (infos, info);
    }
  return infos;
}

/* Passes on the newest list that is old enough.  */
static void
list_hosts (void)
{
  old_list_t *list = g_new0 (old_list_t, 1);
  old_list_t *due = NULL;

  list->infos = take_list ();
  list->sent_us = rig.now.us;
  g_queue_push_tail (&lists, list);
  while ((list = g_queue_peek_head (&lists))
         && rig.now.us - list->sent_us >= fleet.list_age_ms * 1000)
    {
      g_clear_pointer (&due, free_list);
      due = g_queue_pop_head (&lists);
    }
  if (due)
    hosts_set (rig.sched, due->infos, due->sent_us, rig.now);
  g_clear_pointer (&due, free_list);
}

void
fleet_open (uint32_t count, uint32_t cores)
{
  memset (&fleet, 0, sizeof fleet);
  g_queue_clear_full (&lists, free_list);
  g_array_set_size (late_orders (), 0);
  g_array_set_size (timeouts (), 0);
  g_array_set_size (stored (), 0);
  fleet.count = count;
  fleet.cores = cores;
  memset (steps, 0, sizeof steps);
  memset (aways, 0, sizeof aways);
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
      if (!is_short (&order->task))
        aways[g_ascii_strtoull (order->task.id, NULL, 16)][order->task.index]
            = (away_t){ 0 };
      return;
    }
  for (uint32_t i = 0; order->kind == ORDER_STOP && i < host->runs_count; i++)
    if (task_ref_equal (&host->runs[i].task, &order->task)
        && host->runs[i].attempt == order->attempt)
      {
        note_away (&order->task, true);
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

/* Whether the task TASK runs, on HOST or, if NULL, anywhere.  */
static bool
runs_on (const task_ref_t *task, const fleet_host_t *host)
{
  for (uint32_t i = 0; i < fleet.count; i++)
    for (uint32_t j = 0; j < fleet.hosts[i].runs_count; j++)
      if ((!host || host == &fleet.hosts[i])
          && task_ref_equal (&fleet.hosts[i].runs[j].task, task))
        return true;
  return false;
}

/* Whether an order that ends the tasks on HOST leaves more tasks of a step
   unavailable than it allows.  A task is unavailable if an order has ended it,
   or if it hasn't run for NOTICE_US.  */
static bool
exceeds_unavailable (const fleet_host_t *host)
{
  for (uint32_t job = 1; job < FIRST_SHORT_JOB; job++)
    {
      uint32_t ended = 0;
      uint32_t unavailable = 0;

      for (uint32_t i = 0; i < steps[job].count; i++)
        {
          task_ref_t task = rig_task_ref (job, i);
          const away_t *away = &aways[job][i];

          if (runs_on (&task, host))
            ended++;
          else if (away->since_us != 0
                   && (away->by_order
                       || rig.now.us - away->since_us >= NOTICE_US))
            unavailable++;
        }
      if (ended > 0 && steps[job].max_unavailable > 0
          && unavailable + ended > steps[job].max_unavailable)
        return true;
    }
  return false;
}

static uint32_t
count_down_for (uint64_t wave)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < fleet.count; i++)
    count += fleet.hosts[i].up_us != 0 && fleet.hosts[i].down_for == wave;
  return count;
}

/* The platform carries ORDER out; HELD_UP: not when it was sent.  */
static host_reply_t
carry_out_order (const host_order_t *order, bool held_up)
{
  fleet_host_t *host
      = &fleet.hosts[g_ascii_strtoull (order->host + 1, NULL, 10)];

  ck_assert_int_eq (order->kind, HOST_ORDER_MAINTENANCE);
  if (order->token < host->token)
    return HOST_REPLY_FENCED;
  host->token = order->token;
  if (host->had & 1U << order->wave)
    return HOST_REPLY_OK;
  if (host->up_us != 0 || host->lost)
    return HOST_REPLY_BUSY;
  fleet.over_limit
      += count_down_for (order->wave) >= fleet.waves[order->wave].at_once;
  fleet.over_unavailable += !held_up && exceeds_unavailable (host);
  go_down (host, true);
  host->up_us = rig.now.us + (int64_t)FLEET_MAINTENANCE_MS * 1000;
  host->down_for = order->wave;
  host->had |= 1U << order->wave;
  host->maintained = true;
  return HOST_REPLY_OK;
}

static void
take_fate (const host_order_t *order)
{
  late_order_t late = { .order = *order };
  int64_t late_ms = 0;
  host_reply_t reply = HOST_REPLY_NONE;

  switch (fleet.fate ? fleet.fate (&late_ms) : FATE_ANSWERED)
    {
    case FATE_ANSWERED:
      reply = carry_out_order (order, false);
      break;
    case FATE_REFUSED:
      reply = HOST_REPLY_REFUSED;
      break;
    case FATE_LOST:
      break;
    case FATE_UNANSWERED:
      carry_out_order (order, false);
      break;
    case FATE_LATE:
      late.at_us = rig.now.us + late_ms * 1000;
      g_array_append_val (late_orders (), late);
      break;
    }
  if (reply != HOST_REPLY_NONE)
    {
      hosts_reply (rig.sched, order, reply, rig.now);
      return;
    }
  late.at_us = rig.now.us + CALL_TIMEOUT_US;
  g_array_append_val (timeouts (), late);
}

/* Takes an order that is due out of ORDERS; false: there is none.  */
static bool
take_due (GArray *orders, host_order_t *order)
{
  for (uint32_t i = 0; i < orders->len; i++)
    {
      late_order_t late = g_array_index (orders, late_order_t, i);

      if (late.at_us > rig.now.us)
        continue;
      *order = late.order;
      g_array_remove_index (orders, i);
      return true;
    }
  return false;
}

static void
carry_out_host_orders (void)
{
  GArray *orders;
  g_autoptr (GArray) copy = NULL;
  host_order_t late;

  while (take_due (late_orders (), &late))
    carry_out_order (&late, true);
  while (take_due (timeouts (), &late))
    hosts_reply (rig.sched, &late, HOST_REPLY_NONE, rig.now);
  orders = hosts_plan (rig.sched, rig.now);
  copy = g_array_copy (orders);
  g_array_set_size (orders, 0);
  for (uint32_t i = 0; i < copy->len; i++)
    take_fate (&g_array_index (copy, host_order_t, i));
}

/* Stores what the owner records, and checks the waves that it says are
   complete.  */
static void
take_updates (void)
{
  GArray *updates = hosts_updates (rig.sched);

  for (uint32_t i = 0; i < updates->len; i++)
    {
      const fleet_update_t *update
          = &g_array_index (updates, fleet_update_t, i);
      stored_t row = { .update = *update, .at_us = rig.now.us };

      if (update->kind == FLEET_UPDATE_HOST_ORDERED)
        row.at_us += fleet.record_ms * 1000;
      g_array_append_val (stored (), row);
      if (update->kind != FLEET_UPDATE_WAVE_COMPLETE)
        continue;
      fleet.waves[update->number].complete = true;
      for (uint32_t h = 0; h < fleet.count; h++)
        fleet.mixed += (fleet.waves[update->number].hosts & 1U << h)
                       && !(fleet.hosts[h].had & 1U << update->number);
    }
  g_array_set_size (updates, 0);
  for (uint32_t i = 0; i < stored ()->len; i++)
    {
      const stored_t *row = &g_array_index (stored (), stored_t, i);

      if (row->at_us <= rig.now.us
          && row->update.kind == FLEET_UPDATE_HOST_ORDERED)
        hosts_set_recorded (rig.sched, row->update.number, row->update.name,
                            rig.now);
    }
}

/* Notes how long long-running tasks have had no run, and how many hosts are
   down.  */
static void
watch (void)
{
  uint32_t down = 0;

  fleet.away = 0;
  for (uint32_t job = 1; job < FIRST_SHORT_JOB; job++)
    for (uint32_t i = 0; i < steps[job].count; i++)
      {
        int64_t since_us = aways[job][i].since_us;

        fleet.away += since_us != 0;
        if (since_us != 0)
          fleet.away_most_ms
              = MAX (fleet.away_most_ms, (rig.now.us - since_us) / 1000);
      }
  for (uint32_t i = 0; i < fleet.count; i++)
    down += fleet.hosts[i].up_us != 0;
  fleet.down_most = MAX (fleet.down_most, down);
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
  take_updates ();
  watch ();
}

void
fleet_serve (uint32_t number, job_step_t step)
{
  ck_assert_uint_le (step.count, FLEET_TASKS_MAX);
  step.long_running = true;
  steps[number] = step;
  rig_submit (number, &step, 1);
  for (uint32_t i = 0; i < step.count; i++)
    aways[number][i].since_us = rig.now.us;
  for (uint32_t i = 0; i < SERVE_STEPS_MAX; i++)
    fleet_step ();
  ck_assert_uint_eq (fleet.away, 0);
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

  fleet.waves[number] = (fleet_wave_t){ .at_once = at_once,
                                        .duration_s = duration_s,
                                        .known_us = rig.now.us };
  for (uint32_t i = 0; wave.hosts[i]; i++)
    fleet.waves[number].hosts
        |= 1U << g_ascii_strtoull (wave.hosts[i] + 1, NULL, 10);
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
  go_down (&fleet.hosts[index], false);
}

void
fleet_restart (uint32_t index)
{
  go_down (&fleet.hosts[index], false);
  come_up (index);
}

/* The names of the hosts in SET, by bit.  */
static char **
names_of (uint32_t set)
{
  GPtrArray *names = g_ptr_array_new ();

  for (uint32_t i = 0; i < fleet.count; i++)
    if (set & 1U << i)
      g_ptr_array_add (names, g_strdup_printf ("h%u", i));
  g_ptr_array_add (names, NULL);
  return (char **)g_ptr_array_free (names, FALSE);
}

/* The new owner reads what the one before has stored.  */
static void
read_stored (void)
{
  for (uint32_t i = 0; i < stored ()->len; i++)
    {
      const stored_t *row = &g_array_index (stored (), stored_t, i);

      if (row->at_us > rig.now.us)
        continue;
      if (row->update.kind == FLEET_UPDATE_HOST_ORDERED)
        hosts_set_ordered (rig.sched, row->update.number, row->update.name);
      else if (row->update.kind == FLEET_UPDATE_HOST_BEGUN)
        hosts_set_begun (rig.sched, row->update.number, row->update.name);
    }
}

void
fleet_change_owner (void)
{
  uint64_t epoch = rig.tab->owner.epoch + 1;

  sched_free (rig.sched);
  g_array_set_size (timeouts (), 0);
  g_queue_clear_full (&lists, free_list);
  rig_open_sched (epoch);
  for (uint32_t i = 0; i < fleet.count; i++)
    {
      g_autofree char *name = g_strdup_printf ("h%u", i);

      rig.host = g_intern_string (name);
      if (fleet.hosts[i].worker[0] != '\0')
        rig_worker (fleet.hosts[i].worker, fleet.cores, true);
      rig.host = NULL;
    }
  read_stored ();
  for (uint64_t i = 0; i < FLEET_WAVES_MAX; i++)
    {
      const fleet_wave_t *row = &fleet.waves[i];
      wave_info_t wave = { .number = i,
                           .duration_s = row->duration_s,
                           .at_once = row->at_once };

      if (row->hosts == 0)
        continue;
      wave.hosts = names_of (row->hosts);
      hosts_set_wave (rig.sched, &wave, row->known_us, rig.now);
    }
}
