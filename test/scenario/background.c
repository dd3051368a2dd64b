#include "scenario.h"
#include <poll.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define RECONNECT_DELAY_MS 20

struct background
{
  char *name;
  char *url;
  char *key;
  char *id;
  http_request_t request;
  bool once;
  int stop_fd; /* readable when the threads must stop */
  GPtrArray *threads;
  GMutex mutex;
  response_counts_t counts;
};

static GPtrArray *backgrounds;

static void
count_response (response_counts_t *counts, const response_t *response,
                const char *id)
{
  counts->sent++;
  if (response->code == CURLE_PARTIAL_FILE
      || (response->status == 200 && !http_response_matches (response, id)))
    counts->wrong++;
  else if (response->code != CURLE_OK)
    counts->lost++;
  else if (response->status == 200)
    counts->answered++;
  else if (strcmp (response->outcome, "not-run") == 0)
    counts->not_run++;
  else if (strcmp (response->outcome, "unknown") == 0)
    counts->unknown++;
  else
    counts->other++;
}

static bool
should_stop (const background_t *bg, int wait_ms)
{
  struct pollfd fd = { .fd = bg->stop_fd, .events = POLLIN };

  return poll (&fd, 1, wait_ms) > 0;
}

static gpointer
send_requests (gpointer cls)
{
  background_t *bg = cls;
  CURL *handle = curl_easy_init ();
  char new_id[37];
  http_request_t request = bg->request;
  response_t response;
  int wait_ms = 0;

  request.id = bg->id ? bg->id : new_id;
  do
    {
      http_new_id (new_id);
      http_run (handle, &request, &response);
      wait_ms = 0;
      /* Without a connection nothing was sent, so the attempt doesn't
         count.  */
      if (response.code == CURLE_COULDNT_CONNECT && !bg->once)
        wait_ms = RECONNECT_DELAY_MS;
      else
        {
          g_mutex_lock (&bg->mutex);
          count_response (&bg->counts, &response, request.id);
          g_mutex_unlock (&bg->mutex);
        }
      response_clear (&response);
    }
  while (!bg->once && !should_stop (bg, wait_ms));
  curl_easy_cleanup (handle);
  return NULL;
}

background_t *
background_start (const background_config_t *config)
{
  background_t *bg = g_new0 (background_t, 1);

  bg->name = g_strdup (config->name);
  bg->url = g_strdup (config->request.url);
  bg->key = g_strdup (config->request.key);
  bg->id = g_strdup (config->request.id);
  bg->request = config->request;
  bg->request.url = bg->url;
  bg->request.key = bg->key;
  bg->once = config->once;
  bg->stop_fd = eventfd (0, EFD_CLOEXEC);
  bg->threads = g_ptr_array_new ();
  for (uint32_t i = 0; i < config->count; i++)
    g_ptr_array_add (bg->threads,
                     g_thread_new (config->name, send_requests, bg));
  if (!backgrounds)
    backgrounds = g_ptr_array_new ();
  g_ptr_array_add (backgrounds, bg);
  return bg;
}

background_t *
background_find (const char *name, GError **error)
{
  for (guint i = 0; backgrounds && i < backgrounds->len; i++)
    {
      background_t *bg = g_ptr_array_index (backgrounds, i);

      if (strcmp (bg->name, name) == 0)
        return bg;
    }
  scenario_fail (error, "there are no background requests \"%s\"", name);
  return NULL;
}

response_counts_t
background_end (background_t *bg)
{
  response_counts_t counts;

  eventfd_write (bg->stop_fd, 1);
  for (guint i = 0; i < bg->threads->len; i++)
    g_thread_join (g_ptr_array_index (bg->threads, i));
  counts = bg->counts;
  g_ptr_array_remove (backgrounds, bg);
  close (bg->stop_fd);
  g_ptr_array_free (bg->threads, TRUE);
  g_free (bg->name);
  g_free (bg->url);
  g_free (bg->key);
  g_free (bg->id);
  g_free (bg);
  return counts;
}
