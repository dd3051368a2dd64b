#include "entry.h"
#include <arpa/inet.h>
#include <microhttpd.h>
#include <string.h>

/* More than a job of the largest allowed form takes.  */
#define BODY_BYTES_MAX (512 * 1024)
#define CONNECTIONS_MAX 2500
#define CONNECTION_MEMORY (32 * 1024)
#define IDLE_S 75
/* When neither the client nor the queue sets a deadline.  */
#define DEADLINE_DEFAULT_MS 3000
#define DEADLINE_MAX_MS 60000
/* Left for the answer's way back to the client.  */
#define ANSWER_MARGIN_MS 150
/* A client whose job could not be stored comes back after so long: most
   outages of the store that are over soon are over then.  */
#define RETRY_STORE_S 1
/* New jobs are refused at once when the store has been failing for so long. */
#define STORE_FAILED_US 700000
#define BEARER "Bearer "

typedef enum answer_kind
{
  ANSWER_DONE,        /* 200 with a body or without */
  ANSWER_BAD_REQUEST, /* the job can't be read */
  ANSWER_TOO_LARGE,   /* its body is too long */
  ANSWER_NO_KEY,      /* unknown or missing key */
  ANSWER_OTHER_SPACE, /* the job is another workspace's */
  ANSWER_NO_QUEUE,    /* nothing leads there */
  ANSWER_NO_METHOD,   /* not a call of this interface */
  ANSWER_NO_JOB,      /* there is no such job */
  ANSWER_NOT_READY,   /* rules, keys or the log are out of date here */
  ANSWER_NOT_STORED,  /* not accepted: the store does not take it */
  ANSWER_UNKNOWN      /* the store did not say whether it took it */
} answer_kind_t;

typedef struct answer_row
{
  uint16_t status;
  uint16_t retry_after_s; /* 0: none */
  const char *reason;
} answer_row_t;

static const answer_row_t rows[] = {
  [ANSWER_DONE] = { 200, 0, "" },
  [ANSWER_BAD_REQUEST] = { 400, 0, "bad-request" },
  [ANSWER_TOO_LARGE] = { 413, 0, "body-too-large" },
  [ANSWER_NO_KEY] = { 401, 0, "key-rejected" },
  [ANSWER_OTHER_SPACE] = { 403, 0, "other-workspace" },
  [ANSWER_NO_QUEUE] = { 404, 0, "no-queue" },
  [ANSWER_NO_METHOD] = { 405, 0, "no-method" },
  [ANSWER_NO_JOB] = { 410, 0, "no-job" },
  [ANSWER_NOT_READY] = { 503, RETRY_STORE_S, "not-ready" },
  [ANSWER_NOT_STORED] = { 503, RETRY_STORE_S, "not-stored" },
  [ANSWER_UNKNOWN] = { 504, 0, "unknown" },
};

struct front
{
  const entry_settings_t *settings;
  board_t *board;
  core_t *core;
  struct MHD_Daemon *clients;
  struct MHD_Daemon *operators;
  atomic_uint busy;
};

/* A request of a client.  */
typedef struct creq
{
  front_t *front;
  struct MHD_Connection *conn;
  GByteArray *body;
  ask_t ask;
  bool asked;
  int64_t asked_us;
  bool too_large;
} creq_t;

static __thread bool thread_reads; /* registered with RCU */

static void
register_reader (void)
{
  if (thread_reads)
    return;
  rcu_register_thread ();
  thread_reads = true;
}

static enum MHD_Result
reply (creq_t *req, answer_kind_t kind, char *text)
{
  const answer_row_t *row = &rows[kind];
  const char *body = text ? text : "";
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (body), (void *)body, MHD_RESPMEM_MUST_COPY);
  char retry_after[16];
  enum MHD_Result result;

  if (text)
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                             "application/json");
  if (row->retry_after_s > 0)
    {
      g_snprintf (retry_after, sizeof retry_after, "%u", row->retry_after_s);
      MHD_add_response_header (response, MHD_HTTP_HEADER_RETRY_AFTER,
                               retry_after);
    }
  if (atomic_load (&req->front->board->stopping))
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  result = MHD_queue_response (req->conn, row->status, response);
  MHD_destroy_response (response);
  g_free (text);
  return result;
}

static char *
fault_text (const char *what)
{
  g_autofree char *escaped = g_strescape (what, NULL);

  return g_strdup_printf ("{\"error\":\"%s\"}", escaped);
}

static enum MHD_Result
refuse (creq_t *req, answer_kind_t kind, const char *id, const char *what)
{
  counter_add (COUNT_JOBS_REFUSED, 1);
  event_log (
      EV_JOB_REFUSED,
      "id=%s kind=%s rules_age_ms=%" PRId64 " log_age_ms=%" PRId64 "%s%s", id,
      rows[kind].reason,
      (clock_boot_us () - atomic_load (&req->front->board->rules_known_us))
          / 1000,
      (clock_boot_us () - atomic_load (&req->front->board->log_known_us))
          / 1000,
      what ? " what=" : "", what ? what : "");
  return reply (req, kind, what ? fault_text (what) : NULL);
}

static uint32_t
deadline_ms_of (struct MHD_Connection *conn, const rules_queue_t *queue)
{
  const char *text
      = MHD_lookup_connection_value (conn, MHD_HEADER_KIND, "X-Deadline-Ms");
  guint64 value = DEADLINE_DEFAULT_MS;

  if (text)
    g_ascii_string_to_unsigned (text, 10, 1, DEADLINE_MAX_MS, &value, NULL);
  if (queue->timeout_ms > 0)
    value = MIN (value, queue->timeout_ms);
  return (uint32_t)value;
}

/* Called by the core, maybe before the connection is suspended: the server
   takes note of a resume only once it is.  */
static void
on_asked (ask_t *ask)
{
  creq_t *req = ask->ctx;

  MHD_resume_connection (req->conn);
}

static enum MHD_Result
ask_core (creq_t *req, GBytes *record, const char *id, bool is_cancel,
          uint32_t deadline_ms)
{
  int64_t wait_ms = MAX ((int64_t)deadline_ms - ANSWER_MARGIN_MS, 1);

  memset (&req->ask, 0, sizeof req->ask);
  req->ask.record = record;
  g_strlcpy (req->ask.id, id, sizeof req->ask.id);
  req->ask.is_cancel = is_cancel;
  req->ask.deadline_us = clock_boot_us () + wait_ms * 1000;
  req->ask.done = on_asked;
  req->ask.ctx = req;
  req->asked = true;
  req->asked_us = clock_boot_us ();
  /* Before the core may answer.  */
  MHD_suspend_connection (req->conn);
  if (core_ask (req->front->core, &req->ask))
    return MHD_YES;
  atomic_store (&req->ask.outcome, ASK_NOT_RUN);
  MHD_resume_connection (req->conn);
  return MHD_YES;
}

static bool
store_fails (const board_t *board, int64_t now_us)
{
  int64_t since_us = atomic_load (&board->store_failed_us);

  return since_us != 0 && now_us - since_us > STORE_FAILED_US;
}

static enum MHD_Result
submit (creq_t *req, const rules_queue_t *queue, const char *workspace,
        const char *id, int64_t now_us)
{
  job_rec_t rec = { .kind = JREC_SUBMIT };
  g_autoptr (GError) error = NULL;
  job_desc_t *desc;
  GBytes *record;

  if (req->too_large)
    return refuse (req, ANSWER_TOO_LARGE, id, NULL);
  if (!job_id_is_valid (id))
    return refuse (req, ANSWER_BAD_REQUEST, "-",
                   "id: expected 16 hexadecimal digits");
  if (board_find (req->front->board, id))
    return reply (req, ANSWER_DONE, NULL);
  if (store_fails (req->front->board, now_us))
    return refuse (req, ANSWER_NOT_STORED, id, NULL);
  desc = platform_parse_job (id, req->body->data, req->body->len, &error);
  if (!desc)
    return refuse (req, ANSWER_BAD_REQUEST, id, error->message);
  desc->workspace = workspace;
  desc->queue = queue->name;
  desc->service = queue->service;
  desc->accepted_ms = clock_wall_ms ();
  rec.u.submit = desc;
  record = job_rec_pack (&rec);
  job_rec_clear (&rec);
  return ask_core (req, record, id, false, deadline_ms_of (req->conn, queue));
}

static enum MHD_Result
cancel (creq_t *req, const rules_queue_t *queue, const char *id,
        const board_job_t *job, int64_t now_us)
{
  job_rec_t rec = { .kind = JREC_CANCEL };

  if (!job_id_is_valid (id))
    return reply (req, ANSWER_NO_JOB, NULL);
  if (job && job_state_is_final ((job_state_t)atomic_load (&job->state)))
    return reply (req, ANSWER_DONE, NULL);
  if (store_fails (req->front->board, now_us))
    return refuse (req, ANSWER_NOT_STORED, id, NULL);
  g_strlcpy (rec.u.cancel, id, sizeof rec.u.cancel);
  return ask_core (req, job_rec_pack (&rec), id, true,
                   deadline_ms_of (req->conn, queue));
}

static enum MHD_Result
show (creq_t *req, const char *id, const board_job_t *job, int64_t now_us)
{
  const board_t *board = req->front->board;

  if (job)
    return reply (
        req, ANSWER_DONE,
        platform_job_state_json ((job_state_t)atomic_load (&job->state)));
  if (now_us - atomic_load (&board->log_known_us) > BOARD_LOG_FRESH_US)
    return refuse (req, ANSWER_NOT_READY, id, NULL);
  return reply (req, ANSWER_NO_JOB, NULL);
}

static enum MHD_Result
show_queue (creq_t *req, const board_view_t *view, const rules_queue_t *queue)
{
  uint32_t jobs = 0;

  for (uint32_t i = 0; i < view->pending_count; i++)
    if (view->pending[i].queue == queue->name)
      jobs = view->pending[i].jobs;
  return reply (req, ANSWER_DONE, platform_pending_json (jobs));
}

/* The workspace whose key came with the request; NULL: none.  */
static const char *
workspace_of (struct MHD_Connection *conn, const rules_t *rules)
{
  const char *header
      = MHD_lookup_connection_value (conn, MHD_HEADER_KIND, "Authorization");

  if (!header || g_ascii_strncasecmp (header, BEARER, strlen (BEARER)) != 0)
    return NULL;
  return rules_workspace_for_key (rules, header + strlen (BEARER));
}

static enum MHD_Result
handle (creq_t *req, const board_view_t *view, const char *path,
        const char *method)
{
  const entry_settings_t *settings = req->front->settings;
  board_t *board = req->front->board;
  const char *host = MHD_lookup_connection_value (req->conn, MHD_HEADER_KIND,
                                                  MHD_HTTP_HEADER_HOST);
  g_autofree char *name
      = g_strndup (host ? host : "", strcspn (host ? host : "", ":"));
  int64_t now_us = clock_boot_us ();
  bool fresh = board_rules_are_fresh (board, settings->revoke_ms, now_us);
  const rules_queue_t *queue;
  const char *workspace = "";
  const char *id;
  board_job_t *job;

  if (!view || !view->rules)
    return refuse (req, ANSWER_NOT_READY, "-", "no rules yet");
  queue = rules_match_queue (view->rules, name, path);
  if (!queue)
    return fresh ? reply (req, ANSWER_NO_QUEUE, NULL)
                 : refuse (req, ANSWER_NOT_READY, "-", "stale rules");
  id = path + strlen (queue->path_prefix);
  if (!queue->is_public)
    {
      if (!fresh)
        return refuse (req, ANSWER_NOT_READY, id, "stale keys");
      workspace = workspace_of (req->conn, view->rules);
      if (!workspace)
        return refuse (req, ANSWER_NO_KEY, id, NULL);
    }
  job = board_find (board, id);
  if (job && !queue->is_public && job->workspace != workspace)
    return refuse (req, ANSWER_OTHER_SPACE, id, NULL);
  if (strcmp (method, "POST") == 0)
    return submit (req, queue, workspace, id, now_us);
  if (strcmp (method, "DELETE") == 0)
    return cancel (req, queue, id, job, now_us);
  if (strcmp (method, "GET") != 0)
    return reply (req, ANSWER_NO_METHOD, NULL);
  if (id[0] == '\0')
    return show_queue (req, view, queue);
  return show (req, id, job, now_us);
}

static enum MHD_Result
answer_asked (creq_t *req)
{
  const ask_t *ask = &req->ask;
  const char *what = ask->is_cancel ? "cancel" : NULL;

  switch ((ask_outcome_t)atomic_load (&ask->outcome))
    {
    case ASK_STORED:
      if (!ask->is_cancel)
        {
          counter_add (COUNT_JOBS_ACCEPTED, 1);
          histogram_add (HIST_ACCEPT, clock_boot_us () - req->asked_us);
        }
      event_log (ask->is_cancel ? EV_JOB_CANCELLED : EV_JOB_ACCEPTED,
                 "id=%s stored_ms=%" PRId64 " existed=%d", ask->id,
                 (clock_boot_us () - req->asked_us) / 1000,
                 !ask->is_cancel || ask->existed);
      return reply (
          req, ask->is_cancel && !ask->existed ? ANSWER_NO_JOB : ANSWER_DONE,
          NULL);
    case ASK_NOT_RUN:
      return refuse (req, ANSWER_NOT_STORED, ask->id, what);
    case ASK_UNKNOWN:
    case ASK_WAITING:
      return refuse (req, ANSWER_UNKNOWN, ask->id, what);
    }
  return refuse (req, ANSWER_UNKNOWN, ask->id, what);
}

static enum MHD_Result
on_client (void *cls, struct MHD_Connection *conn, const char *path,
           const char *method, const char *version, const char *data,
           size_t *len, void **ctx)
{
  front_t *front = cls;
  creq_t *req = *ctx;
  enum MHD_Result result;

  (void)version;
  if (!req)
    {
      req = g_new0 (creq_t, 1);
      req->front = front;
      req->conn = conn;
      req->body = g_byte_array_new ();
      *ctx = req;
      atomic_fetch_add (&front->busy, 1);
      return MHD_YES;
    }
  if (*len > 0)
    {
      req->too_large |= req->body->len + *len > BODY_BYTES_MAX;
      if (!req->too_large)
        g_byte_array_append (req->body, (const guint8 *)data, (guint)*len);
      *len = 0;
      return MHD_YES;
    }
  if (req->asked)
    return answer_asked (req);
  register_reader ();
  rcu_read_lock ();
  result = handle (req, board_view (front->board), path, method);
  rcu_read_unlock ();
  return result;
}

static void
on_completed (void *cls, struct MHD_Connection *conn, void **ctx,
              enum MHD_RequestTerminationCode code)
{
  front_t *front = cls;
  creq_t *req = *ctx;

  (void)conn;
  (void)code;
  if (!req)
    return;
  atomic_fetch_sub (&front->busy, 1);
  if (req->ask.record)
    g_bytes_unref (req->ask.record);
  g_byte_array_unref (req->body);
  g_free (req);
  *ctx = NULL;
}

/* Whether new connections should come here.  */
static bool
is_ready (front_t *front)
{
  int64_t now_us = clock_boot_us ();

  return !atomic_load (&front->board->stopping)
         && board_rules_are_fresh (front->board, front->settings->revoke_ms,
                                   now_us)
         && !store_fails (front->board, now_us);
}

static enum MHD_Result
send_text (struct MHD_Connection *conn, uint32_t status, const char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result = MHD_queue_response (conn, status, response);

  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
on_operator (void *cls, struct MHD_Connection *conn, const char *path,
             const char *method, const char *version, const char *data,
             size_t *len, void **ctx)
{
  front_t *front = cls;
  g_autofree char *text = NULL;

  (void)version;
  (void)data;
  (void)ctx;
  *len = 0;
  if (strcmp (method, "GET") != 0)
    return send_text (conn, MHD_HTTP_METHOD_NOT_ALLOWED, "");
  if (strcmp (path, "/readyz") == 0)
    return send_text (conn, is_ready (front) ? 200 : 503, "");
  if (strcmp (path, "/metrics") == 0)
    text = metrics_text ("cuminpin_");
  else if (strcmp (path, "/dump") == 0)
    text = core_dump (front->core);
  else
    return send_text (conn, MHD_HTTP_NOT_FOUND, "");
  return send_text (conn, MHD_HTTP_OK, text);
}

static struct MHD_Daemon *
serve (const char *endpoint, MHD_AccessHandlerCallback handler,
       MHD_RequestCompletedCallback completed, front_t *front)
{
  const char *colon = strrchr (endpoint, ':');
  g_autofree char *ip = g_strndup (endpoint, (gsize)(colon - endpoint));
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_port = htons ((uint16_t)strtoul (colon + 1, NULL, 10));
  inet_pton (AF_INET, ip, &address.sin_addr);
  return MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
      handler, front, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
      MHD_OPTION_NOTIFY_COMPLETED, completed, front,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONNECTIONS_MAX,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_S,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
}

front_t *
front_start (const entry_settings_t *settings, board_t *board, core_t *core)
{
  front_t *front = g_new0 (front_t, 1);

  front->settings = settings;
  front->board = board;
  front->core = core;
  front->operators = serve (settings->ready, on_operator, NULL, front);
  front->clients = serve (settings->front, on_client, on_completed, front);
  if (front->clients && front->operators)
    return front;
  front_stop (front);
  return NULL;
}

uint32_t
front_busy (const front_t *front)
{
  return atomic_load (&front->busy);
}

void
front_stop (front_t *front)
{
  if (front->clients)
    MHD_stop_daemon (front->clients);
  if (front->operators)
    MHD_stop_daemon (front->operators);
  g_free (front);
}
