#include "jobtab.h"
#include "codec.h"
#include <string.h>

#define SNAPSHOT_FORMAT 1
#define SNAPSHOT_BYTES_MAX (64 * 1024 * 1024)
/* Done, number of failures, the highest of them, and the first ones.  */
#define MARK_WORDS (3 + FAILS_KEPT)
#define MARK_BYTES (MARK_WORDS * sizeof (uint32_t))

static void
entry_free (gpointer data)
{
  job_entry_t *entry = data;

  job_desc_free (entry->desc);
  g_free (entry->marks);
  g_free (entry);
}

jobtab_t *
jobtab_new (void)
{
  jobtab_t *table = g_new0 (jobtab_t, 1);

  table->jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  return table;
}

void
jobtab_free (jobtab_t *table)
{
  if (!table)
    return;
  g_hash_table_destroy (table->jobs);
  g_free (table->owner.holder);
  g_free (table);
}

job_entry_t *
jobtab_find (const jobtab_t *table, const char *id)
{
  return g_hash_table_lookup (table->jobs, id);
}

/* What a final job still needs is its id, queue and workspace.  */
static void
entry_shrink (job_entry_t *entry)
{
  job_desc_t *small = g_new0 (job_desc_t, 1);
  job_desc_t *desc = entry->desc;

  memcpy (small->id, desc->id, sizeof small->id);
  small->workspace = desc->workspace;
  small->queue = desc->queue;
  small->service = desc->service;
  small->accepted_ms = desc->accepted_ms;
  small->payload = g_strdup ("");
  /* The key of the hash table is the id inside the description.  */
  entry->desc = small;
  job_desc_free (desc);
  g_free (entry->marks);
  entry->marks = NULL;
  entry->marks_count = 0;
}

static void
entry_set_state (jobtab_t *table, job_entry_t *entry, job_state_t state,
                 int64_t now_ms)
{
  if (entry->state == state || job_state_is_final (entry->state))
    return;
  entry->state = state;
  entry->since_ms = now_ms;
  if (!job_state_is_final (state))
    return;
  g_hash_table_steal (table->jobs, entry->desc->id);
  entry_shrink (entry);
  g_hash_table_insert (table->jobs, entry->desc->id, entry);
}

static folded_t
fold_submit (jobtab_t *table, job_rec_t *rec, int64_t now_ms)
{
  job_desc_t *desc = rec->u.submit;
  job_entry_t *entry;

  if (jobtab_find (table, desc->id))
    return (folded_t){ FOLD_NOTHING, NULL };
  rec->u.submit = NULL;
  entry = g_new0 (job_entry_t, 1);
  entry->desc = desc;
  entry->state = JOB_STATE_QUEUED;
  entry->since_ms = now_ms;
  entry->marks_count = job_tasks (desc);
  entry->marks = g_new0 (task_mark_t, entry->marks_count);
  g_hash_table_insert (table->jobs, desc->id, entry);
  return (folded_t){ FOLD_SUBMITTED, entry };
}

static folded_t
fold_cancel (jobtab_t *table, const job_rec_t *rec, int64_t now_ms)
{
  job_entry_t *entry = jobtab_find (table, rec->u.cancel);

  if (!entry || job_state_is_final (entry->state))
    return (folded_t){ FOLD_NOTHING, NULL };
  entry_set_state (table, entry, JOB_STATE_CANCELLED, now_ms);
  return (folded_t){ FOLD_CANCELLED, entry };
}

/* The first claim that follows the present epoch wins.  */
static folded_t
fold_claim (jobtab_t *table, job_rec_t *rec)
{
  ownership_t *owner = &table->owner;

  if (rec->u.owner.epoch != owner->epoch + 1 || !rec->u.owner.holder)
    return (folded_t){ FOLD_NOTHING, NULL };
  owner->epoch = rec->u.owner.epoch;
  g_free (owner->holder);
  owner->holder = g_steal_pointer (&rec->u.owner.holder);
  owner->released = false;
  return (folded_t){ FOLD_CLAIMED, NULL };
}

static void
fold_end (jobtab_t *table, const task_end_t *end)
{
  job_entry_t *entry = jobtab_find (table, end->task.id);
  uint32_t number;
  task_mark_t *mark;

  if (!entry || !entry->marks)
    return;
  number = job_task_number (entry->desc, &end->task);
  if (number == UINT32_MAX)
    return;
  mark = &entry->marks[number];
  if (end->done)
    mark->done = true;
  else
    fails_add (&mark->fails, end->attempt);
}

static folded_t
fold_progress (jobtab_t *table, const job_rec_t *rec, int64_t now_ms)
{
  const GArray *ends = rec->u.progress.ends;
  const GArray *changes = rec->u.progress.changes;

  if (rec->u.progress.epoch != table->owner.epoch)
    return (folded_t){ FOLD_NOTHING, NULL };
  for (uint32_t i = 0; i < ends->len; i++)
    fold_end (table, &g_array_index (ends, task_end_t, i));
  for (uint32_t i = 0; i < changes->len; i++)
    {
      const job_change_t *change = &g_array_index (changes, job_change_t, i);
      job_entry_t *entry = jobtab_find (table, change->id);

      if (entry)
        entry_set_state (table, entry, change->state, now_ms);
    }
  return (folded_t){ FOLD_PROGRESS, NULL };
}

folded_t
jobtab_fold (jobtab_t *table, job_rec_t *rec, int64_t now_ms)
{
  bool present = rec->kind != JREC_SUBMIT && rec->kind != JREC_CANCEL
                 && rec->kind != JREC_PROGRESS
                 && rec->u.owner.epoch == table->owner.epoch;

  switch (rec->kind)
    {
    case JREC_SUBMIT:
      return fold_submit (table, rec, now_ms);
    case JREC_CANCEL:
      return fold_cancel (table, rec, now_ms);
    case JREC_CLAIM:
      return fold_claim (table, rec);
    case JREC_RENEW:
      return (folded_t){ present ? FOLD_RENEWED : FOLD_NOTHING, NULL };
    case JREC_PROBE:
      return (folded_t){ present ? FOLD_PROBED : FOLD_NOTHING, NULL };
    case JREC_RELEASE:
      table->owner.released |= present;
      return (folded_t){ present ? FOLD_RELEASED : FOLD_NOTHING, NULL };
    case JREC_PROGRESS:
      return fold_progress (table, rec, now_ms);
    }
  return (folded_t){ FOLD_NOTHING, NULL };
}

void
jobtab_purge (jobtab_t *table, int64_t now_ms, int64_t keep_ms,
              void (*drop) (const job_entry_t *entry, void *ctx), void *ctx)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const job_entry_t *entry = value;

      if (!job_state_is_final (entry->state)
          || now_ms - entry->since_ms < keep_ms)
        continue;
      drop (entry, ctx);
      g_hash_table_iter_remove (&iter);
    }
}

static bool
marks_are_clear (const job_entry_t *entry)
{
  for (uint32_t i = 0; i < entry->marks_count; i++)
    if (entry->marks[i].done || entry->marks[i].fails.count > 0)
      return false;
  return true;
}

static void
pack_marks (msgpack_packer *pk, const job_entry_t *entry)
{
  g_autofree uint32_t *words = NULL;
  uint32_t *at;

  if (marks_are_clear (entry))
    {
      msgpack_pack_nil (pk);
      return;
    }
  words = g_new (uint32_t, (size_t)entry->marks_count * MARK_WORDS);
  at = words;
  for (uint32_t i = 0; i < entry->marks_count; i++)
    {
      const task_mark_t *mark = &entry->marks[i];

      *at++ = GUINT32_TO_LE (mark->done);
      *at++ = GUINT32_TO_LE (mark->fails.count);
      *at++ = GUINT32_TO_LE (mark->fails.highest);
      for (uint32_t f = 0; f < FAILS_KEPT; f++)
        *at++ = GUINT32_TO_LE (mark->fails.attempts[f]);
    }
  pack_bin (pk, words, (size_t)entry->marks_count * MARK_BYTES);
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
  msgpack_pack_array (&pk, 6);
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

      msgpack_pack_array (&pk, 4);
      msgpack_pack_uint32 (&pk, entry->state);
      msgpack_pack_int64 (&pk, entry->since_ms);
      desc_pack (&pk, entry->desc);
      pack_marks (&pk, entry);
    }
  return pack_take (&buf);
}

static void
read_marks (fields_t *f, job_entry_t *entry)
{
  const uint8_t *bytes;
  size_t len = 0;

  entry->marks_count = job_tasks (entry->desc);
  entry->marks = g_new0 (task_mark_t, entry->marks_count);
  if (f->left > 0 && f->at->type == MSGPACK_OBJECT_NIL)
    {
      fields_next (f, "marks");
      return;
    }
  bytes = fields_bin (f, "marks", &len);
  if (!bytes || len != (size_t)entry->marks_count * MARK_BYTES)
    {
      f->bad = "marks";
      return;
    }
  for (uint32_t i = 0; i < entry->marks_count; i++)
    {
      task_mark_t *mark = &entry->marks[i];
      uint32_t words[MARK_WORDS];

      memcpy (words, bytes + (size_t)i * MARK_BYTES, sizeof words);
      mark->done = words[0] != 0;
      mark->fails.count = GUINT32_FROM_LE (words[1]);
      mark->fails.highest = GUINT32_FROM_LE (words[2]);
      for (uint32_t a = 0; a < FAILS_KEPT; a++)
        mark->fails.attempts[a] = GUINT32_FROM_LE (words[3 + a]);
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
  if (!f.bad && !job_state_is_final (entry->state))
    {
      if (job_check (entry->desc))
        f.bad = "steps";
      else
        read_marks (&f, entry);
    }
  if (f.bad || jobtab_find (table, entry->desc->id))
    entry_free (entry);
  else
    g_hash_table_insert (table->jobs, entry->desc->id, entry);
  return f.bad;
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
}

jobtab_t *
jobtab_unpack (const void *data, size_t len, GError **error)
{
  jobtab_t *table = jobtab_new ();
  msgpack_unpacked msg;
  fields_t f = { 0 };
  bool ok
      = pack_open (data, len, SNAPSHOT_BYTES_MAX, "job table", &msg, error);

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
