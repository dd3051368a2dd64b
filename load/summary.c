#include "summary.h"
#include "fields.h"
#include <math.h>
#include <string.h>

#define HEADER_FIELDS 6
#define POOL_FIELDS 11
#define RUNTIME_FIELDS 7
/* Bytes of the header: its integers, two array headers and a name.  */
#define HEADER_BYTES_MAX (64 + NAME_BYTES_MAX)

typedef enum pool_flag
{
  FLAG_IN_BURST = 1,
  FLAG_SCALED_DOWN = 2
} pool_flag_t;

#define FLAGS_MAX (FLAG_IN_BURST | FLAG_SCALED_DOWN)

summary_t *
summary_new (uint64_t epoch, int64_t time_ms)
{
  summary_t *summary = g_new0 (summary_t, 1);

  summary->epoch = epoch;
  summary->time_ms = time_ms;
  summary->pools = g_array_new (FALSE, TRUE, sizeof (summary_pool_t));
  summary->runtimes = g_array_new (FALSE, TRUE, sizeof (summary_runtime_t));
  return summary;
}

void
summary_free (summary_t *summary)
{
  if (!summary)
    return;
  g_array_free (summary->pools, TRUE);
  g_array_free (summary->runtimes, TRUE);
  g_free (summary);
}

summary_t *
summary_copy (const summary_t *summary)
{
  summary_t *result = summary_new (summary->epoch, summary->time_ms);

  result->last_burst_pool = summary->last_burst_pool;
  g_array_append_vals (result->pools, summary->pools->data,
                       summary->pools->len);
  g_array_append_vals (result->runtimes, summary->runtimes->data,
                       summary->runtimes->len);
  return result;
}

/* Encoding.  */

static int
compare_pools (const void *a, const void *b)
{
  const summary_pool_t *l = a;
  const summary_pool_t *r = b;

  if (l->rate_slow_millihosts != r->rate_slow_millihosts)
    return l->rate_slow_millihosts > r->rate_slow_millihosts ? -1 : 1;
  return strcmp (l->name, r->name);
}

static int
compare_runtimes (const void *a, const void *b)
{
  const summary_runtime_t *l = a;
  const summary_runtime_t *r = b;

  if (l->weight_milli != r->weight_milli)
    return l->weight_milli > r->weight_milli ? -1 : 1;
  if (l->step != r->step)
    return l->step < r->step ? -1 : 1;
  /* A row without either is left out, but only after the sort.  */
  return g_strcmp0 (l->image ? l->image : l->queue,
                    r->image ? r->image : r->queue);
}

/* Whether the names in a row can be read back.  */
static bool
pool_is_valid (const void *row)
{
  const summary_pool_t *pool = row;

  return strlen (pool->name) <= NAME_BYTES_MAX
         && (!pool->burst_predecessor
             || strlen (pool->burst_predecessor) <= NAME_BYTES_MAX);
}

static bool
runtime_is_valid (const void *row)
{
  const summary_runtime_t *runtime = row;
  const char *name = runtime->image ? runtime->image : runtime->queue;

  return name && strlen (name) <= SUMMARY_NAME_BYTES_MAX;
}

static void
pack_pool (msgpack_packer *pk, const void *row)
{
  const summary_pool_t *pool = row;

  msgpack_pack_array (pk, POOL_FIELDS);
  pack_name (pk, pool->name);
  msgpack_pack_int64 (pk, pool->host_room.cpu_milli);
  msgpack_pack_int64 (pk, pool->host_room.mem_mib);
  msgpack_pack_int64 (pk, pool->host_room.accels);
  msgpack_pack_uint32 (pk, pool->base_hosts);
  msgpack_pack_uint32 (pk, pool->rate_fast_millihosts);
  msgpack_pack_uint32 (pk, pool->rate_slow_millihosts);
  msgpack_pack_uint32 (pk, pool->burst_peak_millihosts);
  msgpack_pack_int64 (pk, pool->burst_ended_ms);
  msgpack_pack_uint32 (pk, (pool->in_burst ? FLAG_IN_BURST : 0)
                               | (pool->scaled_down ? FLAG_SCALED_DOWN : 0));
  pack_name (pk, pool->burst_predecessor);
}

static void
pack_runtime (msgpack_packer *pk, const void *row)
{
  const summary_runtime_t *runtime = row;

  msgpack_pack_array (pk, RUNTIME_FIELDS);
  pack_name (pk, runtime->image);
  pack_name (pk, runtime->queue);
  msgpack_pack_uint32 (pk, runtime->step);
  msgpack_pack_uint32 (pk, runtime->median_milli);
  msgpack_pack_uint32 (pk, runtime->p90_milli);
  msgpack_pack_uint32 (pk, runtime->weight_milli);
  msgpack_pack_uint32 (pk, runtime->jobs_milli);
}

typedef struct row_format
{
  bool (*is_valid) (const void *row);
  void (*pack) (msgpack_packer *pk, const void *row);
} row_format_t;

/* Appends ROWS to TO up to a size of ROOM and removes the others from ROWS. */
static void
pack_rows (msgpack_sbuffer *to, GArray *rows, const row_format_t *format,
           size_t room)
{
  size_t row_bytes = g_array_get_element_size (rows);
  msgpack_packer pk;
  uint32_t kept = 0;

  msgpack_packer_init (&pk, to, msgpack_sbuffer_write);
  for (uint32_t i = 0; i < rows->len; i++)
    {
      const char *row = rows->data + i * row_bytes;
      size_t before = to->size;

      if (!format->is_valid (row))
        continue;
      format->pack (&pk, row);
      if (to->size > room)
        to->size = before;
      else
        memmove (rows->data + kept++ * row_bytes, row, row_bytes);
    }
  g_array_set_size (rows, kept);
}

GBytes *
summary_encode (summary_t *summary)
{
  static const row_format_t pool_format = { pool_is_valid, pack_pool };
  static const row_format_t runtime_format
      = { runtime_is_valid, pack_runtime };
  size_t room = SUMMARY_BYTES_MAX - HEADER_BYTES_MAX;
  const char *last = summary->last_burst_pool;
  msgpack_sbuffer pools;
  msgpack_sbuffer runtimes;
  msgpack_sbuffer buf;
  msgpack_packer pk;

  msgpack_sbuffer_init (&pools);
  msgpack_sbuffer_init (&runtimes);
  msgpack_sbuffer_init (&buf);
  g_array_sort (summary->pools, compare_pools);
  g_array_sort (summary->runtimes, compare_runtimes);
  pack_rows (&pools, summary->pools, &pool_format, room);
  pack_rows (&runtimes, summary->runtimes, &runtime_format, room - pools.size);
  msgpack_packer_init (&pk, &buf, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, HEADER_FIELDS);
  msgpack_pack_uint32 (&pk, SUMMARY_VERSION);
  msgpack_pack_int64 (&pk, summary->time_ms);
  msgpack_pack_uint64 (&pk, summary->epoch);
  pack_name (&pk, last && strlen (last) <= NAME_BYTES_MAX ? last : NULL);
  msgpack_pack_array (&pk, summary->pools->len);
  msgpack_sbuffer_write (&buf, pools.data, pools.size);
  msgpack_pack_array (&pk, summary->runtimes->len);
  msgpack_sbuffer_write (&buf, runtimes.data, runtimes.size);
  msgpack_sbuffer_destroy (&pools);
  msgpack_sbuffer_destroy (&runtimes);
  return pack_steal (&buf);
}

/* Decoding.  */

static const char *
read_name_or_nil (fields_t *f, const char *name)
{
  char text[SUMMARY_NAME_BYTES_MAX + 1];
  const char *from;
  size_t len;

  if (!f->bad && f->left > 0 && f->at->type == MSGPACK_OBJECT_NIL)
    {
      fields_next (f, name);
      return NULL;
    }
  from = fields_text (f, name, SUMMARY_NAME_BYTES_MAX, &len);
  if (!from)
    return NULL;
  if (len == 0 || memchr (from, '\0', len))
    {
      f->bad = name;
      return NULL;
    }
  memcpy (text, from, len);
  text[len] = '\0';
  return g_intern_string (text);
}

static int64_t
read_amount (fields_t *f, const char *name)
{
  return (int64_t)fields_u64 (f, name, INT64_MAX);
}

static void
read_pool (fields_t *f, summary_t *summary)
{
  fields_t row = fields_open (fields_next (f, "pool"), "pool");
  summary_pool_t pool = { .name = fields_intern (&row, "pool.name") };
  uint64_t flags;

  pool.host_room.cpu_milli = read_amount (&row, "pool.cpu");
  pool.host_room.mem_mib = read_amount (&row, "pool.mem");
  pool.host_room.accels = read_amount (&row, "pool.accels");
  pool.base_hosts = (uint32_t)fields_u64 (&row, "pool.base", UINT32_MAX);
  pool.rate_fast_millihosts
      = (uint32_t)fields_u64 (&row, "pool.rate_fast", UINT32_MAX);
  pool.rate_slow_millihosts
      = (uint32_t)fields_u64 (&row, "pool.rate_slow", UINT32_MAX);
  pool.burst_peak_millihosts
      = (uint32_t)fields_u64 (&row, "pool.burst_peak", UINT32_MAX);
  pool.burst_ended_ms
      = (int64_t)fields_u64 (&row, "pool.burst_ended", INT64_MAX);
  flags = fields_u64 (&row, "pool.flags", FLAGS_MAX);
  pool.in_burst = flags & FLAG_IN_BURST;
  pool.scaled_down = flags & FLAG_SCALED_DOWN;
  pool.burst_predecessor = fields_intern_or_nil (&row, "pool.predecessor");
  if (row.bad)
    f->bad = row.bad;
  else
    g_array_append_val (summary->pools, pool);
}

static void
read_runtime (fields_t *f, summary_t *summary)
{
  fields_t row = fields_open (fields_next (f, "runtime"), "runtime");
  summary_runtime_t runtime = { 0 };

  runtime.image = read_name_or_nil (&row, "runtime.image");
  runtime.queue = read_name_or_nil (&row, "runtime.queue");
  runtime.step = (uint32_t)fields_u64 (&row, "runtime.step", UINT32_MAX);
  runtime.median_milli
      = (uint32_t)fields_u64 (&row, "runtime.median", UINT32_MAX);
  runtime.p90_milli = (uint32_t)fields_u64 (&row, "runtime.p90", UINT32_MAX);
  runtime.weight_milli
      = (uint32_t)fields_u64 (&row, "runtime.weight", UINT32_MAX);
  runtime.jobs_milli = (uint32_t)fields_u64 (&row, "runtime.jobs", UINT32_MAX);
  if (!row.bad && !runtime.image && !runtime.queue)
    row.bad = "runtime.queue";
  if (row.bad)
    f->bad = row.bad;
  else
    g_array_append_val (summary->runtimes, runtime);
}

static void
read_rows (fields_t *f, const char *name, summary_t *summary,
           void (*read_row) (fields_t *, summary_t *))
{
  fields_t rows = fields_open (fields_next (f, name), name);

  while (!rows.bad && rows.left > 0)
    read_row (&rows, summary);
  if (rows.bad)
    f->bad = rows.bad;
}

/* Reads the fields after VERSION.  */
static bool
read_summary (fields_t *f, uint64_t version, summary_t *summary,
              GError **error)
{
  if (!f->bad && version != SUMMARY_VERSION)
    {
      g_set_error (error, WIRE_ERROR, WIRE_ERROR_FORM,
                   "summary: expected version %d, found %" PRIu64,
                   SUMMARY_VERSION, version);
      return false;
    }
  summary->time_ms = (int64_t)fields_u64 (f, "time", INT64_MAX);
  summary->epoch = fields_u64 (f, "epoch", UINT64_MAX);
  summary->last_burst_pool = fields_intern_or_nil (f, "last_burst_pool");
  read_rows (f, "pools", summary, read_pool);
  read_rows (f, "runtimes", summary, read_runtime);
  return fields_ok (f, "summary", error);
}

summary_t *
summary_decode (const void *data, size_t len, GError **error)
{
  summary_t *summary = NULL;
  msgpack_unpacked msg;

  if (unpack_value (data, len, SUMMARY_BYTES_MAX, "summary", &msg, error))
    {
      fields_t f = fields_open (&msg.data, "summary");
      uint64_t version = fields_u64 (&f, "version", UINT64_MAX);

      summary = summary_new (0, 0);
      if (!read_summary (&f, version, summary, error))
        g_clear_pointer (&summary, summary_free);
    }
  msgpack_unpacked_destroy (&msg);
  return summary;
}

/* Age.  */

static void
forget_bursts (summary_t *summary)
{
  summary->last_burst_pool = NULL;
  for (uint32_t i = 0; i < summary->pools->len; i++)
    {
      summary_pool_t *pool
          = &g_array_index (summary->pools, summary_pool_t, i);

      pool->host_room = (amounts_t){ 0 };
      pool->base_hosts = 0;
      pool->burst_peak_millihosts = 0;
      pool->burst_ended_ms = 0;
      pool->in_burst = false;
      pool->scaled_down = false;
      pool->burst_predecessor = NULL;
    }
}

static void
forget_rates (summary_t *summary)
{
  for (uint32_t i = 0; i < summary->pools->len; i++)
    {
      summary_pool_t *pool
          = &g_array_index (summary->pools, summary_pool_t, i);

      pool->rate_fast_millihosts = 0;
      pool->rate_slow_millihosts = 0;
    }
}

static void
decay_runtimes (summary_t *summary)
{
  double left = exp2 (-(double)summary->age_ms / SUMMARY_HALF_LIFE_MS);

  for (uint32_t i = 0; i < summary->runtimes->len; i++)
    {
      summary_runtime_t *runtime
          = &g_array_index (summary->runtimes, summary_runtime_t, i);

      runtime->weight_milli = (uint32_t)(runtime->weight_milli * left);
      runtime->jobs_milli = (uint32_t)(runtime->jobs_milli * left);
    }
}

static summary_use_t
judge_age (int64_t age_ms)
{
  if (age_ms < -SUMMARY_AHEAD_MAX_MS)
    return SUMMARY_FROM_THE_FUTURE;
  if (age_ms > MAX (SUMMARY_BURSTS_AGE_MAX_MS, SUMMARY_RUNTIMES_AGE_MAX_MS))
    return SUMMARY_TOO_OLD;
  return SUMMARY_USED;
}

summary_use_t
summary_trim (summary_t *summary, int64_t wall_ms)
{
  int64_t age_ms = wall_ms - summary->time_ms;
  summary_use_t use = judge_age (age_ms);

  summary->age_ms = MAX (age_ms, 0);
  if (use != SUMMARY_USED || age_ms > SUMMARY_RATES_AGE_MAX_MS)
    forget_rates (summary);
  if (use != SUMMARY_USED || age_ms > SUMMARY_BURSTS_AGE_MAX_MS)
    forget_bursts (summary);
  if (use != SUMMARY_USED || age_ms > SUMMARY_RUNTIMES_AGE_MAX_MS)
    g_array_set_size (summary->runtimes, 0);
  decay_runtimes (summary);
  return use;
}
