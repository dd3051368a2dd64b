#include "conns.h"
#include <pthread.h>
#include <sodium.h>
#include <string.h>

/* Used if neither the client nor the queue sets a deadline.  */
#define DEADLINE_DEFAULT_MS 3000
#define DEADLINE_MAX_MS 60000
/* Reserved for sending the response.  */
#define RESPONSE_MARGIN_MS 150
/* Retry-After of a job that could not be stored.  Most short outages of the
   store are over by then.  */
#define RETRY_AFTER_S 1
#define BEARER "Bearer "

typedef enum response_kind
{
  RESPONSE_OK,              /* 200 */
  RESPONSE_BAD_REQUEST,     /* malformed job or id */
  RESPONSE_TOO_LARGE,       /* the body is too large */
  RESPONSE_KEY_REJECTED,    /* unknown or missing key */
  RESPONSE_OTHER_WORKSPACE, /* the job belongs to another workspace */
  RESPONSE_NO_QUEUE,        /* no queue matches host and path */
  RESPONSE_NO_METHOD,       /* unsupported method */
  RESPONSE_NO_JOB,          /* the job does not exist */
  RESPONSE_NOT_READY,       /* rules, keys or the job log are not current */
  RESPONSE_NOT_STORED,      /* not accepted: the store failed */
  RESPONSE_NO_ROOM,         /* not accepted: no memory for the body */
  RESPONSE_OVERLOAD,        /* the owner refused the job */
  RESPONSE_ID_IN_USE, /* not accepted: the id is that of a job elsewhere */
  RESPONSE_VOID,      /* a request for the id has overtaken it */
  RESPONSE_UNKNOWN    /* the store may or may not have the record */
} response_kind_t;

typedef struct response_row
{
  uint16_t status;
  uint16_t retry_after_s; /* 0: no header */
  const char *reason;
} response_row_t;

static const response_row_t response_rows[] = {
  [RESPONSE_OK] = { 200, 0, "" },
  [RESPONSE_BAD_REQUEST] = { 400, 0, "bad-request" },
  [RESPONSE_TOO_LARGE] = { 413, 0, "body-too-large" },
  [RESPONSE_KEY_REJECTED] = { 401, 0, "key-rejected" },
  [RESPONSE_OTHER_WORKSPACE] = { 403, 0, "other-workspace" },
  [RESPONSE_NO_QUEUE] = { 404, 0, "no-queue" },
  [RESPONSE_NO_METHOD] = { 405, 0, "no-method" },
  [RESPONSE_NO_JOB] = { 410, 0, "no-job" },
  [RESPONSE_NOT_READY] = { 503, RETRY_AFTER_S, "not-ready" },
  [RESPONSE_NOT_STORED] = { 503, RETRY_AFTER_S, "not-stored" },
  [RESPONSE_NO_ROOM] = { 503, RETRY_AFTER_S, "no-room" },
  [RESPONSE_OVERLOAD] = { 429, RETRY_AFTER_S, "overload" },
  [RESPONSE_ID_IN_USE] = { 409, 0, "id-in-use" },
  [RESPONSE_VOID] = { 503, RETRY_AFTER_S, "overtaken" },
  [RESPONSE_UNKNOWN] = { 504, 0, "unknown" },
};

struct front
{
  const entry_settings_t *settings;
  readmodel_t *model;
  core_t *core;
  entry_limits_t limits;
  conns_t *clients;
  operators_t *operators;
  atomic_uint in_flight;
};

/* A request of a client.  */
typedef struct client_req
{
  front_t *front;
  struct MHD_Connection *conn;
  conn_t *state; /* of CONN */
  append_req_t append;
  bool append_sent;
  int64_t append_sent_us;
} client_req_t;

static enum MHD_Result
reply (client_req_t *req, response_kind_t kind, char *text)
{
  const response_row_t *row = &response_rows[kind];
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
      g_snprintf (retry_after, sizeof retry_after, "%u",
                  MAX (row->retry_after_s, req->append.retry_after_s));
      MHD_add_response_header (response, MHD_HTTP_HEADER_RETRY_AFTER,
                               retry_after);
    }
  if (atomic_load (&req->front->model->stopping))
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  result = MHD_queue_response (req->conn, row->status, response);
  MHD_destroy_response (response);
  g_free (text);
  return result;
}

static char *
error_json (const char *what)
{
  g_autofree char *escaped = g_strescape (what, NULL);

  return g_strdup_printf ("{\"error\":\"%s\"}", escaped);
}

/* ID is the client's until it is valid: it may hold anything, line ends
   too.  */
static enum MHD_Result
refuse (client_req_t *req, response_kind_t kind, const char *id,
        const char *what)
{
  counter_add (COUNT_JOBS_REFUSED, 1);
  event_log (
      EV_JOB_REFUSED,
      "id=%s kind=%s rules_age_ms=%" PRId64 " log_age_ms=%" PRId64 "%s%s",
      job_id_is_valid (id) ? id : "-", response_rows[kind].reason,
      (clock_boot_us () - atomic_load (&req->front->model->rules_known_us))
          / 1000,
      (clock_boot_us () - atomic_load (&req->front->model->log_known_us))
          / 1000,
      what ? " what=" : "", what ? what : "");
  return reply (req, kind, what ? error_json (what) : NULL);
}

static uint32_t
get_deadline_ms (struct MHD_Connection *conn, const rules_queue_t *queue)
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

/* Called by the core, perhaps before the server has processed the suspension;
   the server then resumes the connection afterwards.  */
static void
on_append_done (append_req_t *append)
{
  client_req_t *req = append->ctx;

  MHD_resume_connection (req->conn);
}

static enum MHD_Result
append_record (client_req_t *req, const job_rec_t *rec, GBytes *record,
               const char *id, const access_call_t *call, uint32_t deadline_ms)
{
  int64_t wait_ms = MAX ((int64_t)deadline_ms - RESPONSE_MARGIN_MS, 1);

  memset (&req->append, 0, sizeof req->append);
  req->append.record = record;
  g_strlcpy (req->append.id, id, sizeof req->append.id);
  req->append.kind = rec->kind == JREC_CANCEL ? APPEND_CANCEL : APPEND_SUBMIT;
  req->append.call = *call;
  req->append.position = rec->position;
  req->append.deadline_us = clock_boot_us () + wait_ms * 1000;
  req->append.done = on_append_done;
  req->append.ctx = req;
  req->append_sent = true;
  req->append_sent_us = clock_boot_us ();
  /* Must precede core_append, after which the core may resume it.  */
  MHD_suspend_connection (req->conn);
  if (core_append (req->front->core, &req->append))
    return MHD_YES;
  atomic_store (&req->append.outcome, APPEND_NOT_STORED);
  MHD_resume_connection (req->conn);
  return MHD_YES;
}

static enum MHD_Result
submit (client_req_t *req, const rules_t *rules, const rules_queue_t *queue,
        const access_call_t *call, const char *id, const readmodel_job_t *job,
        int64_t now_us)
{
  const char *workspace = access_workspace (call);
  const rules_workspace_t *limits = rules_workspace (rules, workspace);
  const GByteArray *body = req->state->data;
  job_rec_t rec
      = { .kind = JREC_SUBMIT,
          .position = atomic_load (&req->front->model->log_position) };
  g_autoptr (GError) error = NULL;
  job_desc_t *desc;
  GBytes *record;

  if (req->state->too_large)
    return refuse (req, RESPONSE_TOO_LARGE, id, NULL);
  if (!job_id_is_valid (id))
    return refuse (req, RESPONSE_BAD_REQUEST, "-",
                   "id: expected 16 hexadecimal digits");
  if (job)
    return reply (req, RESPONSE_OK, NULL);
  if (readmodel_store_is_failing (req->front->model, now_us))
    return refuse (req, RESPONSE_NOT_STORED, id, NULL);
  desc = platform_parse_job (id, body ? body->data : NULL,
                             body ? body->len : 0, &error);
  if (!desc)
    return refuse (req, RESPONSE_BAD_REQUEST, id, error->message);
  desc->workspace = workspace;
  job_desc_accept (desc, queue, limits, clock_wall_ms ());
  rec.u.submit = desc;
  record = job_rec_pack (&rec);
  job_desc_unref (desc);
  if (g_bytes_get_size (record) > JOB_REC_BYTES_MAX)
    {
      g_bytes_unref (record);
      return refuse (req, RESPONSE_TOO_LARGE, id, NULL);
    }
  rec.u.submit = NULL;
  return append_record (req, &rec, record, id, call,
                        get_deadline_ms (req->conn, queue));
}

static enum MHD_Result
cancel (client_req_t *req, const rules_queue_t *queue,
        const access_call_t *call, const char *id, const readmodel_job_t *job,
        int64_t now_us)
{
  job_rec_t rec
      = { .kind = JREC_CANCEL,
          .position = atomic_load (&req->front->model->log_position) };

  if (!job_id_is_valid (id))
    return reply (req, RESPONSE_NO_JOB, NULL);
  if (job && job_state_is_final ((job_state_t)atomic_load (&job->state)))
    return reply (req, RESPONSE_OK, NULL);
  if (readmodel_store_is_failing (req->front->model, now_us))
    return refuse (req, RESPONSE_NOT_STORED, id, NULL);
  g_strlcpy (rec.u.cancel.id, id, sizeof rec.u.cancel.id);
  randombytes_buf (&rec.u.cancel.nonce, sizeof rec.u.cancel.nonce);
  /* The job's own, as its queue may have been removed.  */
  rec.u.cancel.queue = job ? job->queue : queue->name;
  rec.u.cancel.workspace = job ? job->workspace : access_workspace (call);
  return append_record (req, &rec, job_rec_pack (&rec), id, call,
                        get_deadline_ms (req->conn, queue));
}

static enum MHD_Result
get_job (client_req_t *req, const char *id, const readmodel_job_t *job,
         int64_t now_us)
{
  const readmodel_t *model = req->front->model;

  if (job)
    return reply (
        req, RESPONSE_OK,
        platform_job_state_json ((job_state_t)atomic_load (&job->state)));
  if (now_us - atomic_load (&model->log_known_us) > READMODEL_LOG_AGE_MAX_US)
    return refuse (req, RESPONSE_NOT_READY, id, NULL);
  return reply (req, RESPONSE_NO_JOB, NULL);
}

static enum MHD_Result
get_pending (client_req_t *req, const readmodel_view_t *view,
             const rules_queue_t *queue)
{
  uint32_t jobs = 0;

  if (!view->is_counted)
    return refuse (req, RESPONSE_NOT_READY, "-", "jobs are not counted yet");
  for (uint32_t i = 0; i < view->pending_count; i++)
    if (view->pending[i].queue == queue->name)
      jobs = view->pending[i].jobs;
  return reply (req, RESPONSE_OK, platform_pending_json (jobs));
}

/* The workspace of the request's key; NULL: the key is missing or unknown.  */
static const char *
get_workspace (struct MHD_Connection *conn, const rules_t *rules)
{
  const char *header
      = MHD_lookup_connection_value (conn, MHD_HEADER_KIND, "Authorization");

  if (!header || g_ascii_strncasecmp (header, BEARER, strlen (BEARER)) != 0)
    return NULL;
  return rules_workspace_for_key (rules, header + strlen (BEARER));
}

/* Handles METHOD for ID by CALL at QUEUE, whose key was checked.  */
static enum MHD_Result
handle_call (client_req_t *req, const readmodel_view_t *view,
             const rules_queue_t *queue, const access_call_t *call,
             const char *id, const char *method)
{
  const readmodel_job_t *job = readmodel_find_job (req->front->model, id);
  access_t access
      = job ? access_decide (view->rules, call, job->queue, job->workspace)
            : ACCESS_GRANTED;
  int64_t now_us = clock_boot_us ();

  /* With newer rules the call may reach the job.  */
  if (access != ACCESS_GRANTED
      && !readmodel_rules_are_fresh (req->front->model,
                                     req->front->settings->revoke_ms, now_us))
    return refuse (req, RESPONSE_NOT_READY, id, "stale rules");
  if (access == ACCESS_OTHER_WORKSPACE)
    return refuse (req, RESPONSE_OTHER_WORKSPACE, id, NULL);
  if (strcmp (method, "POST") == 0)
    return access == ACCESS_NO_JOB
               ? refuse (req, RESPONSE_ID_IN_USE, id, NULL)
               : submit (req, view->rules, queue, call, id, job, now_us);
  if (access == ACCESS_NO_JOB
      && (strcmp (method, "DELETE") == 0 || strcmp (method, "GET") == 0))
    return reply (req, RESPONSE_NO_JOB, NULL);
  if (strcmp (method, "DELETE") == 0)
    return cancel (req, queue, call, id, job, now_us);
  if (strcmp (method, "GET") != 0)
    return reply (req, RESPONSE_NO_METHOD, NULL);
  if (id[0] == '\0')
    return get_pending (req, view, queue);
  return get_job (req, id, job, now_us);
}

static enum MHD_Result
handle_request (client_req_t *req, const readmodel_view_t *view,
                const char *path, const char *method)
{
  const entry_settings_t *settings = req->front->settings;
  readmodel_t *model = req->front->model;
  const char *host = MHD_lookup_connection_value (req->conn, MHD_HEADER_KIND,
                                                  MHD_HTTP_HEADER_HOST);
  g_autofree char *name
      = g_strndup (host ? host : "", strcspn (host ? host : "", ":"));
  int64_t now_us = clock_boot_us ();
  bool fresh = readmodel_rules_are_fresh (model, settings->revoke_ms, now_us);
  const rules_queue_t *queue;
  access_call_t call;
  const char *id;

  if (!view || !view->rules)
    return refuse (req, RESPONSE_NOT_READY, "-", "no rules yet");
  queue = rules_match_queue (view->rules, name, path);
  if (!queue)
    return fresh ? reply (req, RESPONSE_NO_QUEUE, NULL)
                 : refuse (req, RESPONSE_NOT_READY, "-", "stale rules");
  id = path + strlen (queue->path_prefix);
  call = (access_call_t){
    .queue = queue->name,
    .is_public = queue->is_public,
    .holder = fresh ? get_workspace (req->conn, view->rules) : NULL,
  };
  if (!queue->is_public && !fresh)
    return refuse (req, RESPONSE_NOT_READY, id, "stale keys");
  if (!queue->is_public && !call.holder)
    return refuse (req, RESPONSE_KEY_REJECTED, id, NULL);
  return handle_call (req, view, queue, &call, id, method);
}

static enum MHD_Result
reply_to_append (client_req_t *req)
{
  const append_req_t *append = &req->append;
  bool is_cancel = append->kind == APPEND_CANCEL;
  const char *what = is_cancel ? "cancel" : NULL;
  append_outcome_t outcome = (append_outcome_t)atomic_load (&append->outcome);

  switch (outcome)
    {
    case APPEND_STORED:
    case APPEND_NO_JOB:
      if (!is_cancel)
        {
          counter_add (COUNT_JOBS_ACCEPTED, 1);
          histogram_add (HIST_ACCEPT, clock_boot_us () - req->append_sent_us);
        }
      event_log (is_cancel ? EV_JOB_CANCELLED : EV_JOB_ACCEPTED,
                 "id=%s stored_ms=%" PRId64 " existed=%d", append->id,
                 (clock_boot_us () - req->append_sent_us) / 1000,
                 outcome != APPEND_NO_JOB);
      return reply (
          req, outcome == APPEND_NO_JOB ? RESPONSE_NO_JOB : RESPONSE_OK, NULL);
    case APPEND_FORBIDDEN:
      return refuse (req, RESPONSE_OTHER_WORKSPACE, append->id, what);
    case APPEND_ID_IN_USE:
      return refuse (req, RESPONSE_ID_IN_USE, append->id, what);
    case APPEND_NOT_STORED:
      return refuse (req, RESPONSE_NOT_STORED, append->id, what);
    case APPEND_REFUSED:
      return refuse (req, RESPONSE_OVERLOAD, append->id, what);
    case APPEND_VOID:
      return refuse (req, RESPONSE_VOID, append->id, what);
    case APPEND_UNKNOWN:
    case APPEND_PENDING:
      return refuse (req, RESPONSE_UNKNOWN, append->id, what);
    }
  return refuse (req, RESPONSE_UNKNOWN, append->id, what);
}

static enum MHD_Result
begin_request (client_req_t *req, const char *method, const char *version)
{
  uint64_t announced_bytes = UINT64_MAX;
  headers_verdict_t headers = HEADERS_ACCEPTED;

  if (req->front->limits.strict)
    headers = headers_check (req->conn, method, version, &announced_bytes);
  if (headers != HEADERS_ACCEPTED)
    return refuse (req, RESPONSE_BAD_REQUEST, "-", headers_text (headers));
  switch (conns_begin (req->state, announced_bytes))
    {
    case BODY_ACCEPTED:
      return MHD_YES;
    case BODY_TOO_LARGE:
      return reply (req, RESPONSE_TOO_LARGE, NULL);
    case BODY_NO_ROOM:
      return reply (req, RESPONSE_NO_ROOM, NULL);
    case BODY_TOO_SLOW:
      break;
    }
  return MHD_NO;
}

static enum MHD_Result
process_request (client_req_t *req, const char *path, const char *method)
{
  front_t *front = req->front;
  enum MHD_Result result;

  conns_complete (req->state);
  conns_register_thread ();
  rcu_read_lock ();
  /* Without limits in the settings, only a job's body matters.  */
  if (req->state->too_large && front->limits.strict)
    result = refuse (req, RESPONSE_TOO_LARGE, "-", NULL);
  else
    result = handle_request (req, readmodel_view (front->model), path, method);
  rcu_read_unlock ();
  conns_replace_body (req->state, req->append.record
                                      ? g_bytes_get_size (req->append.record)
                                      : 0);
  return result;
}

static enum MHD_Result
on_client (void *cls, struct MHD_Connection *conn, const char *path,
           const char *method, const char *version, const char *data,
           size_t *len, void **ctx)
{
  front_t *front = cls;
  client_req_t *req = *ctx;

  size_t part;

  if (conns_is_closed (conns_get (conn)))
    return MHD_NO;
  if (!req)
    {
      req = g_new0 (client_req_t, 1);
      req->front = front;
      req->conn = conn;
      req->state = conns_get (conn);
      *ctx = req;
      atomic_fetch_add (&front->in_flight, 1);
      return begin_request (req, method, version);
    }
  if (*len > 0)
    {
      part = *len;
      *len = 0;
      return conns_read (req->state, data, part) ? MHD_YES : MHD_NO;
    }
  if (req->append_sent)
    return reply_to_append (req);
  return process_request (req, path, method);
}

static void
on_completed (void *cls, struct MHD_Connection *conn, void **ctx,
              enum MHD_RequestTerminationCode code)
{
  front_t *front = cls;
  client_req_t *req = *ctx;

  (void)conn;
  (void)code;
  if (!req)
    return;
  atomic_fetch_sub (&front->in_flight, 1);
  if (req->append.record)
    g_bytes_unref (req->append.record);
  conns_end (req->state);
  g_free (req);
  *ctx = NULL;
}

front_t *
front_start (const entry_settings_t *settings, readmodel_t *model,
             core_t *core)
{
  front_t *front = g_new0 (front_t, 1);

  front->settings = settings;
  front->model = model;
  front->core = core;
  entry_settings_limits (settings, &front->limits);
  front->operators = operators_start (settings, model, core);
  front->clients = conns_start ("front", settings->front, &front->limits,
                                on_client, on_completed, front);
  if (front->clients && front->operators)
    return front;
  front_stop (front);
  return NULL;
}

uint32_t
front_in_flight (const front_t *front)
{
  return atomic_load (&front->in_flight);
}

void
front_stop (front_t *front)
{
  if (front->clients)
    conns_stop (front->clients);
  if (front->operators)
    operators_stop (front->operators);
  g_free (front);
}
