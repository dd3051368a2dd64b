#include "daemon.h"
#include <jansson.h>
#include <string.h>

static void
free_body (void *cls)
{
  g_byte_array_unref (cls);
}

/* Builds the client's response from the upstream's, unchanged.  */
static struct MHD_Response *
make_forwarded (req_t *req)
{
  GByteArray *body = g_steal_pointer (&req->reply.body);
  struct MHD_Response *response;

  if (body)
    response = MHD_create_response_from_buffer_with_free_callback_cls (
        body->len, body->data, free_body, body);
  else
    response = MHD_create_response_from_buffer (0, "", MHD_RESPMEM_PERSISTENT);
  if (!response)
    return NULL;
  for (struct curl_slist *header = req->reply.headers; header;
       header = header->next)
    {
      char *colon = strchr (header->data, ':');

      *colon = '\0';
      MHD_add_response_header (response, header->data,
                               colon + 1 + strspn (colon + 1, " \t"));
    }
  return response;
}

static struct MHD_Response *
make_refusal (const req_t *req, const err_response_t *error_response)
{
  json_t *object
      = json_pack ("{s:s, s:s, s:s, s:s}", "error", error_response->name,
                   "outcome", outcome_name (error_response->outcome), "text",
                   error_response->text, "request_id", req->id);
  char *text = json_dumps (object, JSON_COMPACT);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_FREE);
  char seconds[16];

  json_decref (object);
  if (!response)
    return NULL;
  MHD_add_response_header (response, "Content-Type", "application/json");
  MHD_add_response_header (response, "X-Outcome",
                           outcome_name (error_response->outcome));
  MHD_add_response_header (response, "X-Error", error_response->name);
  MHD_add_response_header (response, "X-Request-Id", req->id);
  if (error_response->retry_after_s)
    {
      g_snprintf (seconds, sizeof seconds, "%u",
                  error_response->retry_after_s);
      MHD_add_response_header (response, "Retry-After", seconds);
    }
  return response;
}

enum MHD_Result
response_queue (req_t *req, struct MHD_Connection *conn, bool closing)
{
  const err_response_t *error_response = err_response (req->error);
  bool forward = req->error == ERR_NONE;
  struct MHD_Response *response
      = forward ? make_forwarded (req) : make_refusal (req, error_response);
  enum MHD_Result result;

  if (!response)
    return MHD_NO;
  if (closing)
    MHD_add_response_header (response, "Connection", "close");
  result = MHD_queue_response (
      conn, forward ? req->reply.status : error_response->status, response);
  MHD_destroy_response (response);
  return result;
}
