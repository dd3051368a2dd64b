#include "model.h"
#include <check.h>
#include <stdlib.h>

#define HOSTS 4
#define SECOND_US INT64_C (1000000)
#define RUN_US (8 * SECOND_US) /* longest run of a request */
#define STEPS 1000
#define VERSIONS 64
#define ERROR_US (CLOCK_ERROR_MS * INT64_C (1000))

static const char *const names[HOSTS] = { "e1", "e2", "e3", "e4" };

typedef enum message_kind
{
  MESSAGE_HELLO,
  MESSAGE_HEARTBEAT,
  MESSAGE_LOAN_REQUEST,
  MESSAGE_LOAN
} message_kind_t;

typedef struct message
{
  message_kind_t kind;
  int64_t due_us;
  uint32_t from, to;
  uint64_t from_incarnation, to_incarnation;
  uint64_t version, settled, loan_request;
  uint32_t count;
  int64_t expiry_wall_us;
} message_t;

typedef struct work
{
  uint32_t host;
  uint64_t incarnation;
  permit_t permit;
  int64_t end_us;
  bool released;
} work_t;

typedef struct host_model
{
  bool up, stopping, joined;
  int64_t resume_us, start_us, down_us, fresh_us, clock_error_us;
  uint64_t incarnation, version, loan_request;
  escrow_t *escrow;
  share_gate_t gate;
  share_report_t reports[HOSTS];
  uint64_t known[HOSTS]; /* incarnations */
  bool had_entry;
  entry_state_t before;      /* its entry when its own JOIN was folded */
  uint64_t settled_versions; /* a bit for each version that it settled at */
} host_model_t;

typedef struct model
{
  GRand *random;
  int64_t now_us;
  uint64_t newest, loan_requests, incarnations;
  uint32_t limits[VERSIONS];
  uint32_t listed_hosts[VERSIONS]; /* a bit for each entry host listed */
  host_model_t hosts[HOSTS];
  bool entry_known[HOSTS]; /* the log's entries */
  entry_state_t entries[HOSTS];
  GArray *messages, *works;
  bool no_faults;
  model_total_t total;
} model_t;

static bool
random_event (model_t *m, int percent)
{
  return g_rand_int_range (m->random, 0, 100) < percent;
}

static int64_t
random_us (model_t *m, int64_t from_us, int64_t to_us)
{
  return g_rand_int_range (m->random, (gint32)from_us, (gint32)to_us);
}

static bool
is_fresh (const model_t *m, const host_model_t *host)
{
  return m->now_us - host->fresh_us < FRESH_MAX_AGE_US;
}

static void
send_message (model_t *m, message_t message)
{
  const host_model_t *host = &m->hosts[message.from];
  int copies = m->no_faults           ? 1
               : random_event (m, 15) ? 0
               : random_event (m, 15) ? 2
                                      : 1;

  message.from_incarnation = host->incarnation;
  message.to_incarnation = host->known[message.to];
  for (int i = 0; i < copies; i++)
    {
      message.due_us
          = m->now_us
            + random_us (m, 0,
                         m->no_faults || random_event (m, 70) ? 1000
                                                              : 2 * SECOND_US);
      g_array_append_val (m->messages, message);
    }
}

/* Whether HOST has stopped and all work that used its permits has ended.  */
static bool
has_drained (const model_t *m, const host_model_t *host)
{
  return !host->up
         && m->now_us - host->down_us > share_outstanding_us (RUN_US);
}

static void
start_host (model_t *m, uint32_t i)
{
  host_model_t *host = &m->hosts[i];

  *host = (host_model_t){
    .up = true,
    .had_entry = m->entry_known[i],
    .before = m->entries[i],
    .start_us = m->now_us,
    .fresh_us = -FRESH_MAX_AGE_US,
    .clock_error_us = random_us (m, -ERROR_US / 2, ERROR_US / 2 + 1),
    .incarnation = ++m->incarnations,
    .version = m->newest - (m->newest > 1 && random_event (m, 30) ? 1 : 0),
    .escrow = escrow_new (),
    .settled_versions = has_drained (m, host)
                            ? UINT64_MAX >> (VERSIONS - 1 - m->newest)
                            : host->settled_versions
  };
  m->total.restarts++;
}

static void
stop_host (model_t *m, host_model_t *host)
{
  host->down_us = m->now_us;
  escrow_free (host->escrow);
  host->escrow = NULL;
  host->up = false;
}

/* Stops a host gracefully once none of its permits is in use or lent.  */
static void
leave_host (model_t *m, uint32_t i)
{
  host_model_t *host = &m->hosts[i];

  if (!share_may_leave (&host->gate, escrow_in_use (host->escrow),
                        escrow_lent (host->escrow), m->now_us))
    return;
  if (host->joined)
    m->entries[i].left = true;
  stop_host (m, host);
}

static void
join_host (model_t *m, uint32_t i)
{
  host_model_t *host = &m->hosts[i];

  host->had_entry = m->entry_known[i];
  host->before = m->entries[i];
  host->joined = true;
  host->version = m->newest;
  m->entry_known[i] = true;
  m->entries[i] = (entry_state_t){ .incarnation = host->incarnation };
}

static void
lend (model_t *m, host_model_t *host, const message_t *request)
{
  message_t loan
      = { .kind = MESSAGE_LOAN,
          .from = request->to,
          .to = request->from,
          .loan_request = request->loan_request,
          .expiry_wall_us = m->now_us + host->clock_error_us + LOAN_US };

  if (host->stopping || !is_fresh (m, host))
    return;
  loan.count = escrow_lend (host->escrow, request->count, m->now_us + LOAN_US);
  m->total.lent += loan.count;
  if (loan.count)
    send_message (m, loan);
}

static void
receive (model_t *m, const message_t *message)
{
  host_model_t *host = &m->hosts[message->to];
  share_report_t *report = &host->reports[message->from];

  if (message->from_incarnation < host->known[message->from])
    return;
  if (message->from_incarnation > host->known[message->from])
    *report = (share_report_t){ 0 };
  host->known[message->from] = message->from_incarnation;
  if (message->to_incarnation != host->incarnation)
    return;
  switch (message->kind)
    {
    case MESSAGE_HELLO:
      break;
    case MESSAGE_HEARTBEAT:
      report->version = MAX (report->version, message->version);
      report->settled = MAX (report->settled, message->settled);
      break;
    case MESSAGE_LOAN_REQUEST:
      lend (m, host, message);
      break;
    case MESSAGE_LOAN:
      if (message->loan_request != host->loan_request)
        break;
      host->loan_request = 0;
      m->total.borrowed += message->count;
      escrow_borrow (host->escrow, message->count,
                     message->expiry_wall_us - host->clock_error_us);
      break;
    }
}

static void
deliver (model_t *m)
{
  for (guint i = 0; i < m->messages->len; i++)
    {
      message_t message = g_array_index (m->messages, message_t, i);
      const host_model_t *host = &m->hosts[message.to];

      if (message.due_us > m->now_us
          || (host->up && host->resume_us > m->now_us))
        continue;
      g_array_remove_index_fast (m->messages, i--);
      if (host->up)
        receive (m, &message);
    }
}

static uint32_t
share_of (const model_t *m, uint32_t i)
{
  uint64_t version = m->hosts[i].version;
  const char *listed[HOSTS];
  uint32_t count = 0;

  for (uint32_t j = 0; j < HOSTS; j++)
    if (m->listed_hosts[version] >> j & 1)
      listed[count++] = names[j];
  return share_split ("team", m->limits[version], listed, count, names[i]);
}

static uint32_t
other_hosts (const model_t *m, uint32_t i, share_report_t others[HOSTS - 1])
{
  const host_model_t *host = &m->hosts[i];
  uint32_t count = 0;

  for (uint32_t j = 0; j < HOSTS; j++)
    {
      bool listed = m->listed_hosts[host->version] >> j & 1;

      if (j == i || (!listed && (!m->entry_known[j] || m->entries[j].left)))
        continue;
      others[count] = host->reports[j];
      others[count++].listed = listed;
    }
  return count;
}

/* Applies the newest configuration that the host has read and reports it to
   the other hosts.  */
static void
apply_config (model_t *m, uint32_t i)
{
  host_model_t *host = &m->hosts[i];
  message_t heartbeat = { .kind = MESSAGE_HEARTBEAT, .from = i };
  share_report_t others[HOSTS - 1];
  int64_t wait_us;
  uint32_t count;
  bool open;

  if (!host->joined && (m->no_faults || random_event (m, 50)))
    join_host (m, i);
  if (m->no_faults || random_event (m, 30))
    {
      host->version = m->newest;
      host->fresh_us = m->now_us;
    }
  wait_us = share_quarantine_us (host->had_entry ? &host->before : NULL,
                                 host->joined, RUN_US);
  share_gate_set (&host->gate, host->version,
                  wait_us == INT64_MAX ? wait_us : host->start_us + wait_us);
  count = other_hosts (m, i, others);
  open = share_gate_is_open (&host->gate, others, count, m->now_us,
                             share_outstanding_us (RUN_US), 0);
  escrow_set_share (host->escrow, share_effective (escrow_share (host->escrow),
                                                   share_of (m, i), open));
  heartbeat.version = host->version;
  if (escrow_free_count (host->escrow) >= 0
      && m->now_us >= host->gate.hold_from_us)
    heartbeat.settled = host->version;
  host->settled_versions |= UINT64_C (1) << heartbeat.settled;
  for (heartbeat.to = 0; heartbeat.to < HOSTS; heartbeat.to++)
    if (heartbeat.to != i)
      send_message (m, heartbeat);
}

static void
start_work (model_t *m, uint32_t i)
{
  host_model_t *host = &m->hosts[i];
  int64_t read_us = m->now_us;
  work_t work = { .host = i, .incarnation = host->incarnation };

  /* The clock may be read long before the permit is acquired.  */
  if (random_event (m, 10))
    read_us -= random_us (m, 0, SECOND_US);
  work.end_us
      = read_us
        + (random_event (m, 50) ? RUN_US : random_us (m, SECOND_US, RUN_US));
  if (!is_fresh (m, host))
    return;
  if (escrow_acquire (host->escrow, read_us, work.end_us, &work.permit))
    {
      m->total.granted++;
      g_array_append_val (m->works, work);
    }
  else if (random_event (m, host->loan_request ? 2 : 30))
    {
      message_t request = { .kind = MESSAGE_LOAN_REQUEST,
                            .from = i,
                            .count = 3,
                            .to = (uint32_t)random_us (m, 0, HOSTS) };

      if (request.to == i)
        return;
      request.loan_request = host->loan_request = ++m->loan_requests;
      send_message (m, request);
    }
}

static void
run_host (model_t *m, uint32_t i)
{
  host_model_t *host = &m->hosts[i];

  for (guint w = 0; w < m->works->len; w++)
    {
      work_t *work = &g_array_index (m->works, work_t, w);

      if (work->host != i || work->incarnation != host->incarnation
          || work->released || work->end_us > m->now_us)
        continue;
      escrow_release (host->escrow, work->permit);
      work->released = true;
    }
  escrow_expire (host->escrow, m->now_us);
  apply_config (m, i);
  if (host->stopping)
    leave_host (m, i);
  else if (m->now_us / (15 * SECOND_US) % HOSTS == i || random_event (m, 20))
    for (int n = 0; n < 8; n++) /* demand moves from host to host */
      start_work (m, i);
}

static void
inject_fault (model_t *m)
{
  uint32_t i = (uint32_t)random_us (m, 0, HOSTS);
  host_model_t *host = &m->hosts[i];

  if (!host->up)
    start_host (m, i);
  else if (random_event (m, 40))
    stop_host (m, host);
  else if (random_event (m, 40))
    host->resume_us = m->now_us + random_us (m, 0, 15 * SECOND_US);
  else if (random_event (m, 30))
    host->stopping = true;
  else if (m->newest + 1 < VERSIONS)
    {
      uint32_t limit = m->limits[m->newest];

      m->listed_hosts[++m->newest] = (uint32_t)random_us (m, 1, 1 << HOSTS);
      m->limits[m->newest]
          = random_event (m, 50) ? limit : (uint32_t)random_us (m, 0, 20);
    }
}

/* Drops work that has ended and returns the number of running requests.  */
static uint32_t
count_running (model_t *m)
{
  uint32_t count = 0;

  for (guint i = 0; i < m->works->len; i++)
    {
      work_t *work = &g_array_index (m->works, work_t, i);
      const host_model_t *host = &m->hosts[work->host];

      if (work->end_us > m->now_us)
        count++;
      else if (work->released || !host->up
               || host->incarnation != work->incarnation)
        g_array_remove_index_fast (m->works, i--);
    }
  return count;
}

/* The largest limit since the last version at which all hosts settled, that
   is, used no more than their shares of its limit.  */
static uint32_t
max_limit (const model_t *m)
{
  uint64_t common = UINT64_MAX >> (VERSIONS - 1 - m->newest);
  uint32_t limit = 0;

  for (uint32_t i = 0; i < HOSTS; i++)
    if (!has_drained (m, &m->hosts[i]))
      common &= m->hosts[i].settled_versions;
  for (uint64_t version = m->newest + 1; version-- > 0;)
    {
      limit = MAX (limit, m->limits[version]);
      if (common >> version & 1)
        break;
    }
  return limit;
}

static void
step (model_t *m, int run, int number)
{
  uint32_t count;

  m->now_us += random_us (m, 10000, SECOND_US / 4);
  if (!m->no_faults && random_event (m, 2))
    inject_fault (m);
  deliver (m);
  for (uint32_t i = 0; i < HOSTS; i++)
    if (m->hosts[i].up && m->hosts[i].resume_us <= m->now_us
        && (m->no_faults || random_event (m, 80)))
      run_host (m, i);
  count = count_running (m);
  ck_assert_msg (count <= max_limit (m), "seed %d step %d: %u run, limit %u",
                 run, number, count, max_limit (m));
}

/* Checks that once faults stop, the whole limit is available again.  */
static void
check_recovery (model_t *m, int run)
{
  uint32_t sum = 0;

  m->no_faults = true;
  for (uint32_t i = 0; i < HOSTS; i++)
    {
      if (m->hosts[i].up && m->hosts[i].stopping)
        stop_host (m, &m->hosts[i]);
      if (!m->hosts[i].up)
        start_host (m, i);
    }
  for (int64_t end_us = m->now_us + 45 * SECOND_US; m->now_us < end_us;)
    step (m, run, -1);
  for (uint32_t i = 0; i < HOSTS; i++)
    sum += escrow_share (m->hosts[i].escrow);
  ck_assert_msg (sum == m->limits[m->newest], "seed %d: shares %u, limit %u",
                 run, sum, m->limits[m->newest]);
}

void
model_run (int seed, model_total_t *total)
{
  model_t m = { .random = g_rand_new_with_seed ((guint32)seed),
                .now_us = SECOND_US,
                .newest = 1,
                .limits = { 0, 10 },
                .listed_hosts = { 0, (1 << HOSTS) - 1 },
                .messages = g_array_new (FALSE, FALSE, sizeof (message_t)),
                .works = g_array_new (FALSE, FALSE, sizeof (work_t)) };

  for (uint32_t i = 0; i < HOSTS; i++)
    start_host (&m, i);
  for (int i = 0; i < STEPS; i++)
    step (&m, seed, i);
  check_recovery (&m, seed);
  for (uint32_t i = 0; i < HOSTS; i++)
    stop_host (&m, &m.hosts[i]);
  total->granted += m.total.granted;
  total->lent += m.total.lent;
  total->borrowed += m.total.borrowed;
  total->restarts += m.total.restarts;
  g_array_free (m.messages, TRUE);
  g_array_free (m.works, TRUE);
  g_rand_free (m.random);
}
