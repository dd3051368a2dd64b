#include "explaincalls.h"
#include "explainjson.h"
#include <stdlib.h>
#include <string.h>

#define RETRY_AFTER "1"
/* A job without an id is parsed under this one, and looked up under none.  */
#define NO_ID "0000000000000000"

typedef struct explain_call
{
  struct MHD_Connection *conn;
  explain_req_t request;
  bool sent; /* to the core */
} explain_call_t;

/* TEXT may be NULL: it could not be encoded, and the connection is closed.  */
static enum MHD_Result
reply (const explain_call_t *call, uint32_t status, const char *text)
{
  struct MHD_Response *response;
  enum MHD_Result result;

  if (!text)
    return MHD_NO;
  response = MHD_create_response_from_buffer (strlen (text), (void *)text,
                                              MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           "application/json");
  if (status == MHD_HTTP_SERVICE_UNAVAILABLE)
    MHD_add_response_header (response, MHD_HTTP_HEADER_RETRY_AFTER,
                             RETRY_AFTER);
  result = MHD_queue_response (call->conn, status, response);
  MHD_destroy_response (response);
  return result;
}

/* WHAT, and the name of the OWNER unless it is NULL.  */
static enum MHD_Result
reply_error (const explain_call_t *call, uint32_t status, const char *what,
             const char *owner)
{
  char *text = explain_error_json (what, owner);
  enum MHD_Result result = reply (call, status, text);

  free (text);
  return result;
}

static enum MHD_Result
reply_explanation (const explain_call_t *call)
{
  const explanation_t *explanation = call->request.explanation;
  uint32_t status = MHD_HTTP_OK;
  enum MHD_Result result;
  char *text;

  switch (explanation->kind)
    {
    case EXPLAIN_UNKNOWN_QUEUE:
    case EXPLAIN_UNKNOWN_WORKSPACE:
    case EXPLAIN_UNKNOWN_JOB:
      status = MHD_HTTP_NOT_FOUND;
      break;
    case EXPLAIN_PLACED:
    case EXPLAIN_WAITS:
    case EXPLAIN_REFUSED:
    case EXPLAIN_ENDED:
      break;
    }
  text = explain_json (explanation);
  result = reply (call, status, text);
  free (text);
  return result;
}

static enum MHD_Result
reply_outcome (const explain_call_t *call)
{
  const explain_req_t *request = &call->request;

  switch ((explain_outcome_t)atomic_load (&request->outcome))
    {
    case EXPLAIN_REQ_ANSWERED:
      return reply_explanation (call);
    case EXPLAIN_REQ_NOT_OWNER:
      return reply_error (call, MHD_HTTP_CONFLICT, "not-owner",
                          request->owner);
    case EXPLAIN_REQ_BUSY:
      return reply_error (call, MHD_HTTP_SERVICE_UNAVAILABLE, "busy", NULL);
    case EXPLAIN_REQ_NO_OWNER:
    case EXPLAIN_REQ_PENDING:
      break;
    }
  return reply_error (call, MHD_HTTP_SERVICE_UNAVAILABLE, "no-owner", NULL);
}

/* Called by the core, perhaps before the server has processed the suspension;
   the server then resumes the connection afterwards.  */
static void
on_done (explain_req_t *request)
{
  explain_call_t *call = request->ctx;

  MHD_resume_connection (call->conn);
}

static enum MHD_Result
send_to_core (core_t *core, explain_call_t *call)
{
  call->request.done = on_done;
  call->request.ctx = call;
  call->sent = true;
  /* Must precede core_explain, after which the core may resume it.  */
  MHD_suspend_connection (call->conn);
  if (core_explain (core, &call->request))
    return MHD_YES;
  atomic_store (&call->request.outcome, EXPLAIN_REQ_BUSY);
  MHD_resume_connection (call->conn);
  return MHD_YES;
}

static const char *
argument (const explain_call_t *call, const char *name)
{
  return MHD_lookup_connection_value (call->conn, MHD_GET_ARGUMENT_KIND, name);
}

/* Reads the arguments and the body, which is complete.  False, with *ERROR
   set, when they are malformed.  */
static bool
read_request (explain_call_t *call, GError **error)
{
  const GByteArray *body = conns_get (call->conn)->data;
  explain_req_t *request = &call->request;
  const char *id = argument (call, "id");

  if (id && !job_id_is_valid (id))
    {
      g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
                   "id: expected 16 hexadecimal digits");
      return false;
    }
  g_strlcpy (request->id, id ? id : "", sizeof request->id);
  request->queue = g_strdup (argument (call, "queue"));
  request->workspace = g_strdup (argument (call, "workspace"));
  if (!body || body->len == 0)
    {
      if (!id)
        g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
                     "id: expected, without a body");
      return id != NULL;
    }
  if (!request->queue)
    {
      g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
                   "queue: expected, with a body");
      return false;
    }
  request->desc
      = platform_parse_job (id ? id : NO_ID, body->data, body->len, error);
  return request->desc != NULL;
}

static enum MHD_Result
reply_too_large (const explain_call_t *call)
{
  return reply_error (call, MHD_HTTP_CONTENT_TOO_LARGE, "body-too-large",
                      NULL);
}

static bool
body_is_too_large (const conn_t *conn)
{
  return conn->too_large
         || (conn->data && conn->data->len > EXPLAIN_BODY_BYTES_MAX);
}

static enum MHD_Result
process (core_t *core, const readmodel_t *model, explain_call_t *call)
{
  g_autoptr (GError) error = NULL;
  bool ok;

  conns_complete (conns_get (call->conn));
  if (body_is_too_large (conns_get (call->conn)))
    return reply_too_large (call);
  ok = read_request (call, &error);
  conns_replace_body (conns_get (call->conn), 0);
  if (!ok)
    return reply_error (call, MHD_HTTP_BAD_REQUEST, error->message, NULL);
  /* The core may have stopped.  */
  if (atomic_load (&model->stopping))
    return reply_error (call, MHD_HTTP_SERVICE_UNAVAILABLE, "stopping", NULL);
  conns_register_thread ();
  return send_to_core (core, call);
}

static enum MHD_Result
begin (const explain_call_t *call, bool strict, const char *method,
       const char *version)
{
  uint64_t announced_bytes = UINT64_MAX;
  headers_verdict_t headers = HEADERS_ACCEPTED;

  if (strict)
    headers = headers_check (call->conn, method, version, &announced_bytes);
  if (headers != HEADERS_ACCEPTED)
    return reply_error (call, MHD_HTTP_BAD_REQUEST, headers_text (headers),
                        NULL);
  if (announced_bytes != UINT64_MAX
      && announced_bytes > EXPLAIN_BODY_BYTES_MAX)
    return reply_too_large (call);
  switch (conns_begin (conns_get (call->conn), announced_bytes))
    {
    case BODY_ACCEPTED:
      return MHD_YES;
    case BODY_TOO_LARGE:
      return reply_too_large (call);
    case BODY_NO_ROOM:
      return reply_error (call, MHD_HTTP_SERVICE_UNAVAILABLE, "no-room", NULL);
    case BODY_TOO_SLOW:
      return MHD_NO;
    }
  return MHD_NO;
}

enum MHD_Result
explaincalls_request (core_t *core, const readmodel_t *model, bool strict,
                      struct MHD_Connection *conn, const char *method,
                      const char *version, const char *data, size_t *len,
                      void **ctx)
{
  explain_call_t *call = *ctx;
  size_t part = *len;

  if (!call)
    {
      call = g_new0 (explain_call_t, 1);
      call->conn = conn;
      *ctx = call;
      *len = 0;
      return begin (call, strict, method, version);
    }
  if (part > 0)
    {
      *len = 0;
      return conns_read (conns_get (conn), data, part) ? MHD_YES : MHD_NO;
    }
  return call->sent ? reply_outcome (call) : process (core, model, call);
}

void
explaincalls_completed (void *ctx)
{
  explain_call_t *call = ctx;

  if (!call)
    return;
  if (call->request.desc)
    job_desc_unref (call->request.desc);
  explanation_free (call->request.explanation);
  g_free (call->request.queue);
  g_free (call->request.workspace);
  g_free (call->request.owner);
  g_free (call);
}
