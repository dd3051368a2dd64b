#include "scenario.h"
#include <poll.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define RECONNECT_MS 20

struct background
{
  char *name;
  char *url;
  char *key;
  char *id;
  http_request_t request;
  bool once;
  int stop_fd; /* readable when the threads are to end */
  GPtrArray *threads;
  GMutex mutex;
  tally_t tally;
};

static GPtrArray *backgrounds;

static void
count_answer (tally_t *tally, const answer_t *answer, const char *id)
{
  tally->sent++;
  if (answer->code == CURLE_PARTIAL_FILE
      || (answer->status == 200 && !http_answer_is_own (answer, id)))
    tally->wrong++;
  else if (answer->code != CURLE_OK)
    tally->lost++;
  else if (answer->status == 200)
    tally->answered++;
  else if (strcmp (answer->outcome, "not-run") == 0)
    tally->not_run++;
  else if (strcmp (answer->outcome, "unknown") == 0)
    tally->unknown++;
  else
    tally->other++;
}

static bool
should_stop (const background_t *bg, int wait_ms)
{
  struct pollfd fd = { .fd = bg->stop_fd, .events = POLLIN };

  return poll (&fd, 1, wait_ms) > 0;
}

static gpointer
run (gpointer cls)
{
  background_t *bg = cls;
  CURL *handle = curl_easy_init ();
  char new_id[37];
  http_request_t request = bg->request;
  answer_t answer;
  int wait_ms = 0;

  request.id = bg->id ? bg->id : new_id;
  do
    {
      http_id (new_id);
      http_run (handle, &request, &answer);
      wait_ms = 0;
      /* Nothing was sent without a connection.  */
      if (answer.code == CURLE_COULDNT_CONNECT && !bg->once)
        wait_ms = RECONNECT_MS;
      else
        {
          g_mutex_lock (&bg->mutex);
          count_answer (&bg->tally, &answer, request.id);
          g_mutex_unlock (&bg->mutex);
        }
      answer_clear (&answer);
    }
  while (!bg->once && !should_stop (bg, wait_ms));
  curl_easy_cleanup (handle);
  return NULL;
}

background_t *
background_start (const background_plan_t *plan)
{
  background_t *bg = g_new0 (background_t, 1);

  bg->name = g_strdup (plan->name);
  bg->url = g_strdup (plan->request.url);
  bg->key = g_strdup (plan->request.key);
  bg->id = g_strdup (plan->request.id);
  bg->request = plan->request;
  bg->request.url = bg->url;
  bg->request.key = bg->key;
  bg->once = plan->once;
  bg->stop_fd = eventfd (0, EFD_CLOEXEC);
  bg->threads = g_ptr_array_new ();
  for (uint32_t i = 0; i < plan->count; i++)
    g_ptr_array_add (bg->threads, g_thread_new (plan->name, run, bg));
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
  scenario_fail (error, "nothing was sent as \"%s\"", name);
  return NULL;
}

tally_t
background_end (background_t *bg)
{
  tally_t tally;

  eventfd_write (bg->stop_fd, 1);
  for (guint i = 0; i < bg->threads->len; i++)
    g_thread_join (g_ptr_array_index (bg->threads, i));
  tally = bg->tally;
  g_ptr_array_remove (backgrounds, bg);
  close (bg->stop_fd);
  g_ptr_array_free (bg->threads, TRUE);
  g_free (bg->name);
  g_free (bg->url);
  g_free (bg->key);
  g_free (bg->id);
  g_free (bg);
  return tally;
}
