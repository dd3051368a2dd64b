#include "codec.h"
#include <string.h>

#define STEP_FIELDS 13
#define DESC_FIELDS 11
#define SETTINGS_FIELDS 7
#define LIMITS_FIELDS 4
#define FLAGS_MAX 63

typedef enum step_flag
{
  FLAG_CHECKPOINTS = 1,
  FLAG_GANG = 2,
  FLAG_SAME_RACK = 4,
  FLAG_SPECULATIVE = 8,
  FLAG_LONG_RUNNING = 16,
  FLAG_FILLER = 32
} step_flag_t;

static void
value_clear (gpointer data)
{
  g_free (((gang_value_t *)data)->value);
}

GArray *
gang_values_new (void)
{
  GArray *values = g_array_new (FALSE, TRUE, sizeof (gang_value_t));

  g_array_set_clear_func (values, value_clear);
  return values;
}

void
job_rec_clear (job_rec_t *rec)
{
  switch (rec->kind)
    {
    case JREC_SUBMIT:
      job_desc_unref (rec->u.submit);
      break;
    case JREC_CANCEL:
      break;
    case JREC_CLAIM:
    case JREC_RENEW:
    case JREC_PROBE:
    case JREC_RELEASE:
      g_free (rec->u.owner.holder);
      break;
    case JREC_PROGRESS:
      if (rec->u.progress.placed)
        g_array_free (rec->u.progress.placed, TRUE);
      if (rec->u.progress.ends)
        g_array_free (rec->u.progress.ends, TRUE);
      if (rec->u.progress.changes)
        g_array_free (rec->u.progress.changes, TRUE);
      if (rec->u.progress.over)
        g_array_free (rec->u.progress.over, TRUE);
      if (rec->u.progress.silences)
        g_array_free (rec->u.progress.silences, TRUE);
      if (rec->u.progress.values)
        g_array_free (rec->u.progress.values, TRUE);
      break;
    }
  memset (rec, 0, sizeof *rec);
}

static uint32_t
step_flags (const job_step_t *step)
{
  return (step->checkpoints ? FLAG_CHECKPOINTS : 0)
         | (step->gang ? FLAG_GANG : 0)
         | (step->same_rack ? FLAG_SAME_RACK : 0)
         | (step->speculative ? FLAG_SPECULATIVE : 0)
         | (step->long_running ? FLAG_LONG_RUNNING : 0)
         | (step->filler ? FLAG_FILLER : 0);
}

static void
pack_step (msgpack_packer *pk, const job_step_t *step)
{
  msgpack_pack_array (pk, STEP_FIELDS);
  msgpack_pack_uint32 (pk, step->count);
  msgpack_pack_int64 (pk, step->need.cpu_milli);
  msgpack_pack_int64 (pk, step->need.mem_mib);
  msgpack_pack_int64 (pk, step->need.accels);
  msgpack_pack_uint32 (pk, step->estimate_ms);
  msgpack_pack_array (pk, step->after_count);
  for (uint32_t i = 0; i < step->after_count; i++)
    msgpack_pack_uint32 (pk, step->after[i]);
  pack_name (pk, step->label);
  pack_name (pk, step->rack);
  pack_name (pk, step->image);
  msgpack_pack_uint32 (pk, step->spread_max);
  msgpack_pack_uint32 (pk, step->target_ms);
  msgpack_pack_uint32 (pk, step->max_unavailable);
  msgpack_pack_uint32 (pk, step_flags (step));
}

/* Packs SETTINGS without the service, which has a field of its own.  */
static void
pack_settings (msgpack_packer *pk, const queue_settings_t *settings)
{
  msgpack_pack_array (pk, SETTINGS_FIELDS);
  msgpack_pack_uint32 (pk, settings->priority);
  msgpack_pack_uint32 (pk, settings->max_attempts);
  msgpack_pack_uint32 (pk, settings->stretch_milli);
  msgpack_pack_uint32 (pk, settings->latency_ms);
  msgpack_pack_uint32 (pk, settings->advice.decide_ms);
  msgpack_pack_uint32 (pk, settings->advice.period_ms);
  msgpack_pack_uint32 (pk, settings->advice.valid_ms);
}

/* Packs LIMITS without the name, which has a field of its own.  */
static void
pack_limits (msgpack_packer *pk, const rules_workspace_t *limits)
{
  msgpack_pack_array (pk, LIMITS_FIELDS);
  msgpack_pack_uint32 (pk, limits->weight);
  msgpack_pack_int64 (pk, limits->cap.cpu_milli);
  msgpack_pack_int64 (pk, limits->cap.mem_mib);
  msgpack_pack_int64 (pk, limits->cap.accels);
}

void
desc_pack (msgpack_packer *pk, const job_desc_t *desc)
{
  msgpack_pack_array (pk, DESC_FIELDS);
  pack_name (pk, desc->id);
  pack_name (pk, desc->workspace);
  pack_name (pk, desc->queue);
  pack_name (pk, desc->settings.service);
  pack_bin (pk, desc->payload, strlen (desc->payload));
  msgpack_pack_array (pk, desc->steps_count);
  for (uint32_t i = 0; i < desc->steps_count; i++)
    pack_step (pk, &desc->steps[i]);
  msgpack_pack_uint32 (pk, desc->repeats);
  msgpack_pack_array (pk, 2);
  msgpack_pack_int64 (pk, desc->start_ms);
  msgpack_pack_int64 (pk, desc->interval_ms);
  msgpack_pack_int64 (pk, desc->accepted_ms);
  pack_settings (pk, &desc->settings);
  if (desc->limits.name)
    pack_limits (pk, &desc->limits);
  else
    msgpack_pack_nil (pk);
}

static void
pack_ref (msgpack_packer *pk, const task_ref_t *ref)
{
  pack_name (pk, ref->id);
  msgpack_pack_uint32 (pk, ref->occurrence);
  msgpack_pack_uint32 (pk, ref->step);
  msgpack_pack_uint32 (pk, ref->index);
}

static void
pack_placed (msgpack_packer *pk, const GArray *placed)
{
  msgpack_pack_array (pk, placed->len);
  for (uint32_t i = 0; i < placed->len; i++)
    {
      const task_placed_t *row = &g_array_index (placed, task_placed_t, i);

      msgpack_pack_array (pk, 6);
      pack_ref (pk, &row->task);
      msgpack_pack_uint32 (pk, row->attempt);
      pack_name (pk, row->worker);
    }
}

static bool
has_values (const job_rec_t *rec)
{
  return rec->u.progress.values && rec->u.progress.values->len > 0;
}

/* A field is there also if a later one is.  */
static bool
has_silences (const job_rec_t *rec)
{
  return has_values (rec)
         || (rec->u.progress.silences && rec->u.progress.silences->len > 0);
}

static bool
has_over (const job_rec_t *rec)
{
  return has_silences (rec)
         || (rec->u.progress.over && rec->u.progress.over->len > 0);
}

static void
pack_over (msgpack_packer *pk, const GArray *over)
{
  uint32_t count = over ? over->len : 0;

  msgpack_pack_array (pk, count);
  for (uint32_t i = 0; i < count; i++)
    {
      const run_over_t *row = &g_array_index (over, run_over_t, i);

      msgpack_pack_array (pk, 5);
      pack_ref (pk, &row->task);
      msgpack_pack_uint32 (pk, row->attempt);
    }
}

static void
pack_silences (msgpack_packer *pk, const GArray *silences)
{
  uint32_t count = silences ? silences->len : 0;

  msgpack_pack_array (pk, count);
  for (uint32_t i = 0; i < count; i++)
    {
      const worker_silence_t *row
          = &g_array_index (silences, worker_silence_t, i);

      msgpack_pack_array (pk, 3);
      pack_name (pk, row->worker);
      msgpack_pack_uint32 (pk, row->answers);
      msgpack_pack_uint32 (pk, row->left_ms);
    }
}

static void
pack_values (msgpack_packer *pk, const GArray *values)
{
  msgpack_pack_array (pk, values->len);
  for (uint32_t i = 0; i < values->len; i++)
    {
      const gang_value_t *row = &g_array_index (values, gang_value_t, i);

      msgpack_pack_array (pk, 6);
      pack_ref (pk, &row->task);
      msgpack_pack_uint32 (pk, row->attempt);
      pack_name (pk, row->value);
    }
}

static void
pack_progress (msgpack_packer *pk, const job_rec_t *rec)
{
  const GArray *ends = rec->u.progress.ends;
  const GArray *changes = rec->u.progress.changes;

  msgpack_pack_uint64 (pk, rec->u.progress.epoch);
  msgpack_pack_uint64 (pk, rec->u.progress.batch);
  pack_placed (pk, rec->u.progress.placed);
  msgpack_pack_array (pk, ends->len);
  for (uint32_t i = 0; i < ends->len; i++)
    {
      const task_end_t *end = &g_array_index (ends, task_end_t, i);

      msgpack_pack_array (pk, 6);
      pack_ref (pk, &end->task);
      msgpack_pack_uint32 (pk, end->attempt);
      msgpack_pack_uint32 (pk, end->done);
    }
  msgpack_pack_array (pk, changes->len);
  for (uint32_t i = 0; i < changes->len; i++)
    {
      const job_change_t *change = &g_array_index (changes, job_change_t, i);

      msgpack_pack_array (pk, 2);
      pack_name (pk, change->id);
      msgpack_pack_uint32 (pk, change->state);
    }
  if (has_over (rec))
    pack_over (pk, rec->u.progress.over);
  if (has_silences (rec))
    pack_silences (pk, rec->u.progress.silences);
  if (has_values (rec))
    pack_values (pk, rec->u.progress.values);
}

/* Number of fields of REC, the kind included.  */
static uint32_t
count_fields (const job_rec_t *rec)
{
  switch (rec->kind)
    {
    case JREC_CANCEL:
      return rec->u.cancel.queue ? 6 : 4;
    case JREC_CLAIM:
      return 4;
    case JREC_SUBMIT:
    case JREC_RENEW:
    case JREC_PROBE:
    case JREC_RELEASE:
      return 3;
    case JREC_PROGRESS:
      return 6 + (uint32_t)has_over (rec) + (uint32_t)has_silences (rec)
             + (uint32_t)has_values (rec);
    }
  return 0;
}

GBytes *
job_rec_pack (const job_rec_t *rec)
{
  msgpack_sbuffer buf;
  msgpack_packer pk;

  msgpack_sbuffer_init (&buf);
  msgpack_packer_init (&pk, &buf, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, count_fields (rec));
  msgpack_pack_uint32 (&pk, rec->kind);
  switch (rec->kind)
    {
    case JREC_SUBMIT:
      desc_pack (&pk, rec->u.submit);
      msgpack_pack_uint64 (&pk, rec->position);
      break;
    case JREC_CANCEL:
      pack_name (&pk, rec->u.cancel.id);
      msgpack_pack_uint64 (&pk, rec->position);
      msgpack_pack_uint64 (&pk, rec->u.cancel.nonce);
      if (rec->u.cancel.queue)
        {
          pack_name (&pk, rec->u.cancel.queue);
          pack_name (&pk, rec->u.cancel.workspace);
        }
      break;
    case JREC_CLAIM:
    case JREC_RENEW:
    case JREC_PROBE:
    case JREC_RELEASE:
      msgpack_pack_uint64 (&pk, rec->u.owner.epoch);
      pack_name (&pk, rec->u.owner.holder);
      if (rec->kind == JREC_CLAIM)
        msgpack_pack_uint32 (&pk, rec->u.owner.heeds_silences);
      break;
    case JREC_PROGRESS:
      pack_progress (&pk, rec);
      break;
    }
  return pack_steal (&buf);
}

/* A record is an array with fewer than 16 elements, which takes one byte,
   before the kind.  */
bool
job_rec_is_submit (GBytes *record)
{
  gsize len;
  const uint8_t *data = g_bytes_get_data (record, &len);

  return len > 1 && data[1] == JREC_SUBMIT;
}

char *
text_read (fields_t *f, const char *name)
{
  size_t len = 0;
  const char *text;

  if (f->left > 0 && f->at->type == MSGPACK_OBJECT_NIL)
    {
      fields_next (f, name);
      return NULL;
    }
  text = fields_text (f, name, JOB_NAME_MAX, &len);
  return text ? g_strndup (text, len) : NULL;
}

static const char *
interned_text (fields_t *f, const char *name)
{
  g_autofree char *text = text_read (f, name);

  return g_intern_string (text ? text : "");
}

void
id_read (fields_t *f, char id[JOB_ID_BYTES])
{
  size_t len = 0;
  const char *text = fields_text (f, "id", JOB_ID_LEN, &len);

  memset (id, 0, JOB_ID_BYTES);
  if (text && len == JOB_ID_LEN)
    memcpy (id, text, len);
  else if (!f->bad)
    f->bad = "id";
}

uint32_t
array_read (fields_t *f, const char *name, const msgpack_object **items)
{
  const msgpack_object *object = fields_next (f, name);

  *items = NULL;
  if (object && object->type != MSGPACK_OBJECT_ARRAY)
    f->bad = name;
  if (f->bad || !object)
    return 0;
  *items = object->via.array.ptr;
  return object->via.array.size;
}

static void
read_after (fields_t *f, job_step_t *step)
{
  const msgpack_object *items;
  uint32_t count = array_read (f, "after", &items);

  if (f->bad)
    return;
  step->after = g_new0 (uint32_t, count);
  step->after_count = count;
  for (uint32_t i = 0; i < count; i++)
    if (items[i].type == MSGPACK_OBJECT_POSITIVE_INTEGER
        && items[i].via.u64 < JOB_STEPS_MAX)
      step->after[i] = (uint32_t)items[i].via.u64;
    else
      f->bad = "after";
}

static const char *
read_step (const msgpack_object *object, job_step_t *step)
{
  fields_t f = fields_open (object, "step");
  uint32_t flags;

  step->count = (uint32_t)fields_u64 (&f, "count", JOB_TASKS_MAX);
  step->need.cpu_milli = fields_i64 (&f, "cpu");
  step->need.mem_mib = fields_i64 (&f, "mem");
  step->need.accels = fields_i64 (&f, "accels");
  step->estimate_ms = (uint32_t)fields_u64 (&f, "estimate", UINT32_MAX);
  read_after (&f, step);
  step->label = text_read (&f, "label");
  step->rack = text_read (&f, "rack");
  step->image = text_read (&f, "image");
  step->spread_max = (uint32_t)fields_u64 (&f, "spread", UINT32_MAX);
  step->target_ms = (uint32_t)fields_u64 (&f, "target", UINT32_MAX);
  step->max_unavailable = (uint32_t)fields_u64 (&f, "may_miss", UINT32_MAX);
  flags = (uint32_t)fields_u64 (&f, "flags", FLAGS_MAX);
  step->checkpoints = flags & FLAG_CHECKPOINTS;
  step->gang = flags & FLAG_GANG;
  step->same_rack = flags & FLAG_SAME_RACK;
  step->speculative = flags & FLAG_SPECULATIVE;
  step->long_running = flags & FLAG_LONG_RUNNING;
  step->filler = flags & FLAG_FILLER;
  return f.bad;
}

static void
read_steps (fields_t *f, job_desc_t *desc)
{
  const msgpack_object *items;
  uint32_t count = array_read (f, "steps", &items);

  if (f->bad || count > JOB_STEPS_MAX)
    {
      f->bad = "steps";
      return;
    }
  desc->steps = g_new0 (job_step_t, count);
  desc->steps_count = count;
  for (uint32_t i = 0; i < count && !f->bad; i++)
    f->bad = read_step (&items[i], &desc->steps[i]);
}

static void
read_settings (fields_t *f, queue_settings_t *settings)
{
  fields_t row = fields_open (fields_next (f, "settings"), "settings");
  uint32_t *const numbers[SETTINGS_FIELDS]
      = { &settings->priority,         &settings->max_attempts,
          &settings->stretch_milli,    &settings->latency_ms,
          &settings->advice.decide_ms, &settings->advice.period_ms,
          &settings->advice.valid_ms };

  for (uint32_t i = 0; i < SETTINGS_FIELDS; i++)
    *numbers[i] = (uint32_t)fields_u64 (&row, "settings", UINT32_MAX);
  if (!f->bad)
    f->bad = row.bad;
}

static void
read_limits (fields_t *f, job_desc_t *desc)
{
  const msgpack_object *object = fields_next (f, "limits");
  fields_t row;

  if (!object || object->type == MSGPACK_OBJECT_NIL)
    return;
  row = fields_open (object, "limits");
  desc->limits.name = desc->workspace;
  desc->limits.weight = (uint32_t)fields_u64 (&row, "limits", UINT32_MAX);
  desc->limits.cap.cpu_milli = fields_i64 (&row, "limits");
  desc->limits.cap.mem_mib = fields_i64 (&row, "limits");
  desc->limits.cap.accels = fields_i64 (&row, "limits");
  if (!f->bad)
    f->bad = row.bad;
}

job_desc_t *
desc_read (fields_t *outer)
{
  const msgpack_object *object = fields_next (outer, "submit");
  job_desc_t *desc = g_new0 (job_desc_t, 1);
  const msgpack_object *times;
  const uint8_t *payload;
  size_t len = 0;
  fields_t f;

  if (!object)
    return desc;
  f = fields_open (object, "submit");
  id_read (&f, desc->id);
  desc->workspace = interned_text (&f, "workspace");
  desc->queue = interned_text (&f, "queue");
  desc->settings.service = interned_text (&f, "service");
  payload = fields_bin (&f, "payload", &len);
  desc->payload = g_strndup (payload ? (const char *)payload : "", len);
  read_steps (&f, desc);
  desc->repeats = (uint32_t)fields_u64 (&f, "repeats", JOB_TASKS_MAX);
  if (array_read (&f, "times", &times) == 2
      && times[0].type == MSGPACK_OBJECT_POSITIVE_INTEGER
      && times[1].type == MSGPACK_OBJECT_POSITIVE_INTEGER)
    {
      desc->start_ms = times[0].via.i64;
      desc->interval_ms = times[1].via.i64;
    }
  else if (!f.bad)
    f.bad = "times";
  desc->accepted_ms = fields_i64 (&f, "accepted");
  if (f.left > 0) /* absent in records of earlier versions */
    read_settings (&f, &desc->settings);
  if (f.left > 0)
    read_limits (&f, desc);
  if (f.bad)
    outer->bad = f.bad;
  return desc;
}

static void
read_ref (fields_t *row, task_ref_t *ref)
{
  id_read (row, ref->id);
  ref->occurrence = (uint32_t)fields_u64 (row, "k", UINT32_MAX);
  ref->step = (uint32_t)fields_u64 (row, "step", UINT32_MAX);
  ref->index = (uint32_t)fields_u64 (row, "index", UINT32_MAX);
}

static void
read_placed (fields_t *row, void *to)
{
  task_placed_t *placed = to;

  read_ref (row, &placed->task);
  placed->attempt = (uint32_t)fields_u64 (row, "attempt", UINT32_MAX);
  placed->worker = interned_text (row, "worker");
}

static void
read_end (fields_t *row, void *to)
{
  task_end_t *end = to;

  read_ref (row, &end->task);
  end->attempt = (uint32_t)fields_u64 (row, "attempt", UINT32_MAX);
  end->done = fields_u64 (row, "done", 1);
}

static void
read_over (fields_t *row, void *to)
{
  run_over_t *over = to;

  read_ref (row, &over->task);
  over->attempt = (uint32_t)fields_u64 (row, "attempt", UINT32_MAX);
}

static void
read_silence (fields_t *row, void *to)
{
  worker_silence_t *silence = to;

  silence->worker = interned_text (row, "worker");
  silence->answers = fields_u64 (row, "answers", 1);
  silence->left_ms = (uint32_t)fields_u64 (row, "left", UINT32_MAX);
}

static void
read_value (fields_t *row, void *to)
{
  gang_value_t *value = to;

  read_ref (row, &value->task);
  value->attempt = (uint32_t)fields_u64 (row, "attempt", UINT32_MAX);
  value->value = text_read (row, "value");
}

static void
read_change (fields_t *row, void *to)
{
  job_change_t *change = to;

  id_read (row, change->id);
  change->state = (job_state_t)fields_u64 (row, "state", JOB_STATE_CANCELLED);
}

/* Decodes the array field NAME with READ into ROWS, of elements of SIZE
   bytes.  */
static void
read_rows_to (fields_t *f, const char *name, GArray *rows, guint size,
              void (*read) (fields_t *row, void *to))
{
  const msgpack_object *items;
  uint32_t count = array_read (f, name, &items);

  for (uint32_t i = 0; i < count && !f->bad; i++)
    {
      fields_t row = fields_open (&items[i], name);

      g_array_set_size (rows, i + 1);
      read (&row, rows->data + (gsize)i * size);
      f->bad = row.bad;
    }
}

/* The same into a new array.  */
static GArray *
read_rows (fields_t *f, const char *name, guint size,
           void (*read) (fields_t *row, void *to))
{
  GArray *rows = g_array_new (FALSE, TRUE, size);

  read_rows_to (f, name, rows, size, read);
  return rows;
}

/* The position is absent in records of earlier versions.  */
static void
read_position (fields_t *f, job_rec_t *rec)
{
  rec->position = f->left > 0 ? fields_u64 (f, "position", UINT64_MAX)
                              : JOB_POSITION_NONE;
}

/* The fields after the id are absent in records of earlier versions.  */
static void
read_cancel (fields_t *f, job_rec_t *rec)
{
  id_read (f, rec->u.cancel.id);
  read_position (f, rec);
  if (f->left > 0)
    rec->u.cancel.nonce = fields_u64 (f, "nonce", UINT64_MAX);
  if (f->left == 0)
    return;
  rec->u.cancel.queue = interned_text (f, "queue");
  rec->u.cancel.workspace = interned_text (f, "workspace");
}

bool
job_rec_unpack (const void *data, size_t len, job_rec_t *rec, GError **error)
{
  msgpack_unpacked msg;
  fields_t f;
  bool ok
      = unpack_value (data, len, JOB_REC_BYTES_MAX, "job record", &msg, error);

  memset (rec, 0, sizeof *rec);
  if (!ok)
    {
      msgpack_unpacked_destroy (&msg);
      return false;
    }
  f = fields_open (&msg.data, "job record");
  rec->kind = (job_rec_kind_t)fields_u64 (&f, "kind", JREC_PROGRESS);
  switch (rec->kind)
    {
    case JREC_SUBMIT:
      rec->u.submit = desc_read (&f);
      if (!f.bad && job_check (rec->u.submit))
        f.bad = "submit";
      read_position (&f, rec);
      break;
    case JREC_CANCEL:
      read_cancel (&f, rec);
      break;
    case JREC_CLAIM:
    case JREC_RENEW:
    case JREC_PROBE:
    case JREC_RELEASE:
      rec->u.owner.epoch = fields_u64 (&f, "epoch", UINT64_MAX);
      rec->u.owner.holder = text_read (&f, "holder");
      if (f.left > 0) /* absent in claims of earlier versions */
        rec->u.owner.heeds_silences = fields_u64 (&f, "silences", 1);
      break;
    case JREC_PROGRESS:
      rec->u.progress.epoch = fields_u64 (&f, "epoch", UINT64_MAX);
      rec->u.progress.batch = fields_u64 (&f, "batch", UINT64_MAX);
      rec->u.progress.placed
          = read_rows (&f, "placed", sizeof (task_placed_t), read_placed);
      rec->u.progress.ends
          = read_rows (&f, "ends", sizeof (task_end_t), read_end);
      rec->u.progress.changes
          = read_rows (&f, "changes", sizeof (job_change_t), read_change);
      if (f.left > 0) /* absent if there are none, and in earlier versions */
        rec->u.progress.over
            = read_rows (&f, "over", sizeof (run_over_t), read_over);
      if (f.left > 0)
        rec->u.progress.silences = read_rows (
            &f, "silences", sizeof (worker_silence_t), read_silence);
      if (f.left > 0)
        {
          rec->u.progress.values = gang_values_new ();
          read_rows_to (&f, "values", rec->u.progress.values,
                        sizeof (gang_value_t), read_value);
        }
      break;
    default:
      f.bad = "kind";
      break;
    }
  ok = fields_ok (&f, "job record", error);
  msgpack_unpacked_destroy (&msg);
  if (!ok)
    job_rec_clear (rec);
  return ok;
}
