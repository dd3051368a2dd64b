/* Guards against a stand-in that doesn't simulate the requested failures:
   other tests rely on them and would pass without testing anything.  */

#include "../../test/run_suite.h"
#include "logstore.h"
#include <curl/curl.h>
#include <string.h>

static devlog_t *devlog;
static platform_t *client;

static void
set_up (void)
{
  g_autofree char *url = NULL;

  devlog = devlog_start ("127.0.0.1", 0);
  ck_assert_ptr_nonnull (devlog);
  url = g_strdup_printf ("http://127.0.0.1:%u", devlog_port (devlog));
  client = platform_open (url);
}

static void
tear_down (void)
{
  platform_close (client);
  devlog_stop (devlog);
}

static long
put (const char *path, const char *body)
{
  g_autofree char *url
      = g_strdup_printf ("http://127.0.0.1:%u%s", devlog_port (devlog), path);
  CURL *easy = curl_easy_init ();
  FILE *null = fopen ("/dev/null", "w");
  long status = 0;

  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, "PUT");
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, null);
  curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (easy);
  fclose (null);
  return status;
}

static size_t
append_text (char *data, size_t size, size_t count, void *context)
{
  g_string_append_len (context, data, (gssize)(size * count));
  return size * count;
}

static char *
get (const char *path)
{
  g_autofree char *url
      = g_strdup_printf ("http://127.0.0.1:%u%s", devlog_port (devlog), path);
  GString *text = g_string_new (NULL);
  CURL *easy = curl_easy_init ();

  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_text);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, text);
  curl_easy_perform (easy);
  curl_easy_cleanup (easy);
  return g_string_free (text, FALSE);
}

static char *
format_live_list (void)
{
  GString *text = g_string_new (NULL);
  live_list_t list;

  ck_assert_int_eq (live_read (client, 1000, &list), LOG_OK);
  for (uint32_t i = 0; i < list.count; i++)
    g_string_append_printf (text, "%s %s\n", list.hosts[i].host,
                            list.hosts[i].state == LIVE_LEAVING ? "leaving"
                                                                : "live");
  live_list_clear (&list);
  return g_string_free (text, FALSE);
}

START_TEST (live_list_shows_changes_in_order)
{
  g_autofree char *before = NULL;
  g_autofree char *after = NULL;

  ck_assert_int_eq (put ("/live/w2", "live"), 200);
  ck_assert_int_eq (put ("/live/w1", "live"), 200);
  before = format_live_list ();
  ck_assert_str_eq (before, "w1 live\nw2 live\n");
  ck_assert_int_eq (put ("/live/w1", "gone"), 200);
  ck_assert_int_eq (put ("/live/w2", "leaving"), 200);
  ck_assert_int_eq (put ("/live/w2", "dancing"), 400);
  after = format_live_list ();
  ck_assert_str_eq (after, "w2 leaving\n");
}
END_TEST

START_TEST (live_list_lags)
{
  int64_t start_us = clock_mono_us ();
  g_autofree char *shown = NULL;

  ck_assert_int_eq (put ("/faults", "{\"live_lag_ms\":300}"), 200);
  ck_assert_int_eq (put ("/live/w1", "live"), 200);
  do
    {
      g_free (shown);
      shown = format_live_list ();
    }
  while (!shown[0]);
  ck_assert_int_ge (clock_mono_us () - start_us, 300000);
}
END_TEST

START_TEST (faults_over_http)
{
  uint64_t offset;
  log_batch_t batch;

  ck_assert_int_eq (put ("/faults", "{\"down\":true}"), 200);
  ck_assert_int_eq (log_read (client, "s", 0, 1, 0, 1000, &batch),
                    LOG_UNREACHABLE);
  ck_assert_int_eq (put ("/faults", "[]"), 400);
  ck_assert_int_eq (put ("/faults", "{\"lose_answers\":1}"), 200);
  ck_assert_int_eq (log_append (client, "s", "x", 1, 1000, &offset),
                    LOG_UNCERTAIN);
  ck_assert_int_eq (log_append (client, "s", "y", 1, 1000, &offset), LOG_OK);
  ck_assert_uint_eq (offset, 1);
}
END_TEST

/* Guards against a wrong reboot count in /reboots, which scenarios check: a
   repeated token must not count, a new one must.  */
START_TEST (reboots_count_once_for_each_token)
{
  static const uint64_t tokens[] = { 7, 7, 8 };
  g_autofree char *shown = NULL;

  for (size_t i = 0; i < G_N_ELEMENTS (tokens); i++)
    ck_assert_int_eq (host_reboot (client, "w1", tokens[i], 1000), LOG_OK);
  ck_assert_int_eq (host_reboot (client, "w2", 7, 1000), LOG_OK);
  ck_assert_int_eq (put ("/faults", "{\"down\":true}"), 200);
  shown = get ("/reboots");
  ck_assert_ptr_nonnull (strstr (shown, "\"rebooted\":2"));
  ck_assert_ptr_nonnull (strstr (shown, "\"w1\":2"));
  ck_assert_ptr_nonnull (strstr (shown, "\"w2\":1"));
}
END_TEST

START_TEST (invalid_or_used_address_is_refused)
{
  ck_assert_ptr_null (devlog_start ("127.0.0.1", devlog_port (devlog)));
  ck_assert_ptr_null (devlog_start ("no address", 0));
}
END_TEST

TEST_PROGRAM_WITH ("devlog", set_up, tear_down,
                   live_list_shows_changes_in_order, live_list_lags,
                   reboots_count_once_for_each_token, faults_over_http,
                   invalid_or_used_address_is_refused)
