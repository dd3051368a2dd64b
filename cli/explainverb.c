#include "admin.h"
#include "explain.h"
#include "output.h"
#include <string.h>

/* The daemon's limit (entry/explaincalls.h).  */
#define JOB_BYTES_MAX 262144
#define ID_LEN 16

static bool
is_id (const char *text)
{
  return strlen (text) == ID_LEN
         && strspn (text, "0123456789abcdefABCDEF") == ID_LEN;
}

/* Prints what is wrong; always returns CLI_USAGE.  */
static cli_status_t
fail (const cli_t *cli, const char *what)
{
  output_fail (cli, "%s", what);
  return CLI_USAGE;
}

/* Reads the file PATH, or standard input if it is "-".  NULL if it can't be
   read or is too large.  */
static GByteArray *
read_job (const cli_t *cli, const char *path)
{
  FILE *file = strcmp (path, "-") == 0 ? cli->in : fopen (path, "re");
  GByteArray *body = g_byte_array_new ();
  uint8_t bytes[4096];
  size_t len;
  bool ok;

  while (file && body->len <= JOB_BYTES_MAX
         && (len = fread (bytes, 1, sizeof bytes, file)) > 0)
    g_byte_array_append (body, bytes, (guint)len);
  ok = file && !ferror (file) && body->len > 0 && body->len <= JOB_BYTES_MAX;
  if (file && file != cli->in)
    fclose (file);
  if (ok)
    return body;
  g_byte_array_unref (body);
  return NULL;
}

static cli_status_t
show (const cli_t *cli, const admin_response_t *response)
{
  cli_status_t status = explain_exit_status (response->status, response->json);
  g_autofree char *error = NULL;

  if (status == CLI_USAGE)
    {
      error = response->status == 0
                  ? g_strdup (response->error)
                  : explain_error (response->status, response->json);
      return fail (cli, error);
    }
  if (cli->json)
    output_json (cli, json_incref (response->json));
  else
    explain_print (cli->out, response->json);
  return status;
}

cli_status_t
verb_explain (const cli_t *cli)
{
  const char *job = cli->args[1];
  g_autofree char *path = NULL;
  GByteArray *body = NULL;
  admin_response_t response = { .address = cli->args[0] };
  cli_status_t status;

  if (is_id (job))
    path = explain_path (job, NULL, NULL);
  else if (!cli->queue)
    return fail (cli, "explain: a job file needs --queue NAME");
  else
    path = explain_path (NULL, cli->queue, cli->workspace);
  if (!is_id (job) && !(body = read_job (cli, job)))
    return fail (cli, "explain: the job file can't be read, is empty or is "
                      "larger than 262144 bytes");
  admin_post (path, body ? body->data : NULL, body ? body->len : 0, &response);
  status = show (cli, &response);
  admin_clear (&response, 1);
  if (body)
    g_byte_array_unref (body);
  return status;
}
