#include "codec.h"
#include "jobtab.h"

#define SNAPSHOT_FORMAT 2
#define SNAPSHOT_BYTES_MAX (64 * 1024 * 1024)
#define ENTRY_FIELDS 5
#define ENTRY_FIELDS_WITH_VALUES 6
#define TASK_FIELDS 7
#define TASK_FIELDS_WITH_EARLIER 9

/* Whether PROGRESS of a task of ENTRY is in the snapshot.  Of a final job only
   the runs matter.  */
static bool
task_is_packed (const job_entry_t *entry, const task_progress_t *progress)
{
  if (job_state_is_final (entry->state))
    return task_may_run (progress);
  return progress->done || progress->failures.count > 0
         || progress->placed > 0;
}

static void
pack_task (msgpack_packer *pk, uint32_t number,
           const task_progress_t *progress)
{
  uint32_t kept = MIN (progress->failures.count, FAILURES_KEPT);

  msgpack_pack_array (pk, progress->earlier_worker ? TASK_FIELDS_WITH_EARLIER
                                                   : TASK_FIELDS);
  msgpack_pack_uint32 (pk, number);
  msgpack_pack_uint32 (pk, progress->done);
  msgpack_pack_uint32 (pk, progress->failures.count);
  msgpack_pack_uint32 (pk, progress->failures.highest);
  msgpack_pack_array (pk, kept);
  for (uint32_t i = 0; i < kept; i++)
    msgpack_pack_uint32 (pk, progress->failures.attempts[i]);
  msgpack_pack_uint32 (pk, progress->placed);
  pack_name (pk, progress->worker);
  if (!progress->earlier_worker)
    return;
  msgpack_pack_uint32 (pk, progress->earlier);
  pack_name (pk, progress->earlier_worker);
}

static void
pack_tasks (msgpack_packer *pk, const job_entry_t *entry)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < entry->tasks_count; i++)
    count += task_is_packed (entry, &entry->tasks[i]);
  msgpack_pack_array (pk, count);
  for (uint32_t i = 0; i < entry->tasks_count; i++)
    if (task_is_packed (entry, &entry->tasks[i]))
      pack_task (pk, i, &entry->tasks[i]);
}

static void
pack_values (msgpack_packer *pk, GHashTable *values)
{
  GHashTableIter iter;
  gpointer number;
  gpointer value;

  msgpack_pack_array (pk, g_hash_table_size (values));
  g_hash_table_iter_init (&iter, values);
  while (g_hash_table_iter_next (&iter, &number, &value))
    {
      const gang_value_t *row = value;

      msgpack_pack_array (pk, 3);
      msgpack_pack_uint32 (pk, GPOINTER_TO_UINT (number));
      msgpack_pack_uint32 (pk, row->attempt);
      pack_name (pk, row->value);
    }
}

static void
pack_silent (msgpack_packer *pk, GHashTable *silent)
{
  GHashTableIter iter;
  gpointer worker;

  msgpack_pack_array (pk, g_hash_table_size (silent));
  g_hash_table_iter_init (&iter, silent);
  while (g_hash_table_iter_next (&iter, &worker, NULL))
    pack_name (pk, worker);
}

static void
pack_cancels (msgpack_packer *pk, const cancels_t *cancels)
{
  msgpack_pack_array (pk, 2);
  msgpack_pack_uint64 (pk, cancels->dropped);
  msgpack_pack_array (pk, cancels->rows.length);
  for (const GList *link = cancels->rows.head; link; link = link->next)
    {
      const cancelled_t *row = link->data;

      msgpack_pack_array (pk, 3);
      pack_name (pk, row->id);
      msgpack_pack_uint64 (pk, row->limit);
      msgpack_pack_uint64 (pk, row->scope);
    }
}

GBytes *
jobtab_pack (const jobtab_t *table)
{
  msgpack_sbuffer buf;
  msgpack_packer pk;
  GHashTableIter iter;
  gpointer value;

  msgpack_sbuffer_init (&buf);
  msgpack_packer_init (&pk, &buf, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, 8);
  msgpack_pack_uint32 (&pk, SNAPSHOT_FORMAT);
  msgpack_pack_uint64 (&pk, table->next);
  msgpack_pack_uint64 (&pk, table->owner.epoch);
  pack_name (&pk, table->owner.holder);
  msgpack_pack_uint32 (&pk, table->owner.released);
  msgpack_pack_array (&pk, g_hash_table_size (table->jobs));
  g_hash_table_iter_init (&iter, table->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const job_entry_t *entry = value;

      msgpack_pack_array (&pk, entry->values ? ENTRY_FIELDS_WITH_VALUES
                                             : ENTRY_FIELDS);
      msgpack_pack_uint32 (&pk, entry->state);
      msgpack_pack_int64 (&pk, entry->since_ms);
      desc_pack (&pk, entry->desc);
      pack_tasks (&pk, entry);
      msgpack_pack_uint64 (&pk, entry->limit);
      if (entry->values)
        pack_values (&pk, entry->values);
    }
  pack_silent (&pk, table->silent);
  pack_cancels (&pk, &table->cancels);
  return pack_steal (&buf);
}

static const char *
read_worker (fields_t *f)
{
  g_autofree char *worker = text_read (f, "worker");

  return worker ? g_intern_string (worker) : NULL;
}

/* A snapshot doesn't say in which epoch a task was placed: it is taken to be
   EPOCH, the last one.  */
static const char *
read_task (const msgpack_object *object, job_entry_t *entry, uint64_t epoch)
{
  fields_t f = fields_open (object, "mark");
  uint64_t number = fields_u64 (&f, "number", UINT32_MAX);
  const msgpack_object *attempts;
  task_progress_t progress = { .placed_epoch = (uint32_t)epoch };
  uint32_t kept;

  progress.done = fields_u64 (&f, "done", 1);
  progress.failures.count = (uint32_t)fields_u64 (&f, "fails", UINT32_MAX);
  progress.failures.highest = (uint32_t)fields_u64 (&f, "highest", UINT32_MAX);
  kept = array_read (&f, "attempts", &attempts);
  progress.placed = (uint32_t)fields_u64 (&f, "placed", UINT32_MAX);
  progress.worker = read_worker (&f);
  if (f.left > 0) /* absent if there is none, and in earlier versions */
    {
      progress.earlier = (uint32_t)fields_u64 (&f, "earlier", UINT32_MAX);
      progress.earlier_worker = read_worker (&f);
    }
  if (f.bad || number >= entry->tasks_count
      || kept != MIN (progress.failures.count, FAILURES_KEPT))
    return "mark";
  for (uint32_t i = 0; i < kept; i++)
    {
      if (attempts[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
        return "attempts";
      progress.failures.attempts[i] = (uint32_t)attempts[i].via.u64;
    }
  entry->tasks[number] = progress;
  return NULL;
}

static void
read_tasks (fields_t *f, job_entry_t *entry, uint64_t epoch)
{
  const msgpack_object *items;
  uint32_t count = array_read (f, "marks", &items);

  entry->tasks_count = job_tasks (entry->desc);
  entry->tasks = g_new0 (task_progress_t, entry->tasks_count);
  for (uint32_t i = 0; i < count && !f->bad; i++)
    f->bad = read_task (&items[i], entry, epoch);
}

static void
read_values (fields_t *f, job_entry_t *entry)
{
  const msgpack_object *items;
  uint32_t count = array_read (f, "values", &items);

  for (uint32_t i = 0; i < count && !f->bad; i++)
    {
      fields_t row = fields_open (&items[i], "values");
      uint32_t number = (uint32_t)fields_u64 (&row, "number", UINT32_MAX);
      uint32_t attempt = (uint32_t)fields_u64 (&row, "attempt", UINT32_MAX);
      g_autofree char *value = text_read (&row, "value");

      f->bad = row.bad;
      if (!f->bad && value && number < entry->tasks_count)
        job_entry_set_value (entry, number, attempt, value);
    }
}

static const char *
read_entry (const msgpack_object *object, jobtab_t *table)
{
  fields_t f = fields_open (object, "job");
  job_entry_t *entry = g_new0 (job_entry_t, 1);

  entry->state = (job_state_t)fields_u64 (&f, "state", JOB_STATE_CANCELLED);
  entry->since_ms = fields_i64 (&f, "since");
  entry->desc = desc_read (&f);
  /* Final jobs have steps only if they have runs.  */
  if (!f.bad
      && (!job_state_is_final (entry->state) || entry->desc->steps_count > 0))
    {
      if (job_check (entry->desc))
        f.bad = "steps";
      else
        read_tasks (&f, entry, table->owner.epoch);
    }
  else if (!f.bad)
    fields_next (&f, "marks");
  if (f.left > 0) /* absent in snapshots of earlier versions */
    entry->limit = fields_u64 (&f, "limit", UINT64_MAX);
  if (f.left > 0) /* absent if there are none, and in earlier versions */
    read_values (&f, entry);
  if (f.bad || jobtab_find (table, entry->desc->id))
    job_entry_free (entry);
  else
    g_hash_table_insert (table->jobs, entry->desc->id, entry);
  return f.bad;
}

/* How long the leases of these workers last isn't known from a snapshot, only
   that they get no further ones.  */
static void
read_silent (fields_t *f, jobtab_t *table)
{
  const msgpack_object *items;
  uint32_t count = array_read (f, "silent", &items);

  for (uint32_t i = 0; i < count && !f->bad; i++)
    {
      g_autofree char *worker = NULL;

      if (items[i].type != MSGPACK_OBJECT_STR)
        {
          f->bad = "silent";
          return;
        }
      worker = g_strndup (items[i].via.str.ptr, items[i].via.str.size);
      jobtab_set_silent (table, g_intern_string (worker), INT64_MAX);
    }
}

/* When this daemon reads of them is for the caller to set.  */
static void
read_cancels (fields_t *outer, cancels_t *cancels)
{
  fields_t f = fields_open (fields_next (outer, "cancels"), "cancels");
  const msgpack_object *items;
  uint32_t count;
  uint64_t last;

  cancels->dropped = fields_u64 (&f, "dropped", UINT64_MAX);
  last = cancels->dropped;
  count = array_read (&f, "cancels", &items);
  if (count > CANCELS_MAX)
    f.bad = "cancels";
  for (uint32_t i = 0; i < count && !f.bad; i++)
    {
      fields_t row = fields_open (&items[i], "cancels");
      char id[JOB_ID_BYTES];
      uint64_t limit;
      uint64_t scope;

      id_read (&row, id);
      limit = fields_u64 (&row, "limit", UINT64_MAX);
      scope = fields_u64 (&row, "scope", UINT64_MAX);
      f.bad = limit < last ? "cancels" : row.bad;
      last = limit;
      if (!f.bad)
        cancels_add (cancels, id, scope, limit, 0);
    }
  if (!outer->bad)
    outer->bad = f.bad;
}

static void
read_table (fields_t *f, jobtab_t *table)
{
  const msgpack_object *items;
  uint32_t count;

  if (fields_u64 (f, "format", UINT32_MAX) != SNAPSHOT_FORMAT && !f->bad)
    f->bad = "format";
  table->next = fields_u64 (f, "next", UINT64_MAX);
  table->owner.epoch = fields_u64 (f, "epoch", UINT64_MAX);
  table->owner.holder = text_read (f, "holder");
  table->owner.released = fields_u64 (f, "released", 1);
  count = array_read (f, "jobs", &items);
  for (uint32_t i = 0; i < count && !f->bad; i++)
    f->bad = read_entry (&items[i], table);
  if (f->left > 0) /* absent in snapshots of earlier versions */
    read_silent (f, table);
  if (f->left > 0)
    read_cancels (f, &table->cancels);
}

jobtab_t *
jobtab_unpack (const void *data, size_t len, GError **error)
{
  jobtab_t *table = jobtab_new ();
  msgpack_unpacked msg;
  fields_t f = { 0 };
  bool ok
      = unpack_value (data, len, SNAPSHOT_BYTES_MAX, "job table", &msg, error);

  if (ok)
    {
      f = fields_open (&msg.data, "job table");
      read_table (&f, table);
      ok = fields_ok (&f, "job table", error);
    }
  msgpack_unpacked_destroy (&msg);
  if (ok)
    return table;
  jobtab_free (table);
  return NULL;
}
