#include "entry.h"
#include <string.h>

#define INITIAL_BUCKETS 256
/* Maximum age of the rules as a part of revoke_ms.  */
#define RULES_AGE_PERCENT 80

void
readmodel_open (readmodel_t *model)
{
  memset (model, 0, sizeof *model);
  model->jobs = cds_lfht_new (INITIAL_BUCKETS, INITIAL_BUCKETS, 0,
                              CDS_LFHT_AUTO_RESIZE, NULL);
}

static void
free_view (readmodel_view_t *view)
{
  g_free (view->pending);
  g_free (view);
}

static void
free_view_by_rcu (struct rcu_head *head)
{
  free_view (caa_container_of (head, readmodel_view_t, rcu));
}

static void
free_rules_view_by_rcu (struct rcu_head *head)
{
  readmodel_view_t *view = caa_container_of (head, readmodel_view_t, rcu);

  rules_free (view->rules);
  free_view (view);
}

static void
free_job_by_rcu (struct rcu_head *head)
{
  g_free (caa_container_of (head, readmodel_job_t, rcu));
}

void
readmodel_publish_rules (readmodel_t *model, rules_t *rules)
{
  readmodel_view_t *old = model->view;
  readmodel_view_t *view = g_new0 (readmodel_view_t, 1);

  if (old)
    {
      *view = *old;
      view->pending = g_memdup2 (old->pending,
                                 old->pending_count * sizeof *old->pending);
    }
  view->rules = rules;
  rcu_assign_pointer (model->view, view);
  if (old)
    call_rcu (&old->rcu, free_rules_view_by_rcu);
}

void
readmodel_publish_pending (readmodel_t *model, readmodel_pending_t *pending,
                           uint32_t count)
{
  readmodel_view_t *old = model->view;
  readmodel_view_t *view = g_new0 (readmodel_view_t, 1);

  view->rules = old ? old->rules : NULL;
  view->pending = pending;
  view->pending_count = count;
  view->is_counted = true;
  rcu_assign_pointer (model->view, view);
  if (old)
    call_rcu (&old->rcu, free_view_by_rcu);
}

const readmodel_view_t *
readmodel_view (const readmodel_t *model)
{
  return rcu_dereference (model->view);
}

static int
match_id (struct cds_lfht_node *node, const void *id)
{
  return strcmp (caa_container_of (node, readmodel_job_t, node)->id, id) == 0;
}

static unsigned long
hash_id (const char *id)
{
  return hash_bytes (id, strlen (id), 0);
}

readmodel_job_t *
readmodel_find_job (readmodel_t *model, const char *id)
{
  struct cds_lfht_iter iter;
  struct cds_lfht_node *node;

  cds_lfht_lookup (model->jobs, hash_id (id), match_id, id, &iter);
  node = cds_lfht_iter_get_node (&iter);
  return node ? caa_container_of (node, readmodel_job_t, node) : NULL;
}

void
readmodel_put_job (readmodel_t *model, const job_entry_t *entry)
{
  const job_desc_t *desc = entry->desc;
  readmodel_job_t *job;

  rcu_read_lock ();
  job = readmodel_find_job (model, desc->id);
  if (job)
    atomic_store (&job->state, entry->state);
  else
    {
      job = g_new0 (readmodel_job_t, 1);
      memcpy (job->id, desc->id, sizeof job->id);
      job->queue = desc->queue;
      job->workspace = desc->workspace;
      atomic_init (&job->state, entry->state);
      cds_lfht_add (model->jobs, hash_id (job->id), &job->node);
    }
  rcu_read_unlock ();
}

void
readmodel_remove_job (readmodel_t *model, const char *id)
{
  readmodel_job_t *job;

  rcu_read_lock ();
  job = readmodel_find_job (model, id);
  if (job && cds_lfht_del (model->jobs, &job->node) == 0)
    call_rcu (&job->rcu, free_job_by_rcu);
  rcu_read_unlock ();
}

bool
readmodel_rules_are_fresh (const readmodel_t *model, uint32_t revoke_ms,
                           int64_t now_us)
{
  int64_t known_us = atomic_load (&model->rules_known_us);

  return known_us != 0
         && now_us - known_us
                < (int64_t)revoke_ms * 1000 * RULES_AGE_PERCENT / 100;
}

void
readmodel_close (readmodel_t *model)
{
  struct cds_lfht_iter iter;
  struct cds_lfht_node *node;

  rcu_read_lock ();
  cds_lfht_for_each (model->jobs, &iter, node)
  {
    readmodel_job_t *job = caa_container_of (node, readmodel_job_t, node);

    if (cds_lfht_del (model->jobs, node) == 0)
      call_rcu (&job->rcu, free_job_by_rcu);
  }
  rcu_read_unlock ();
  rcu_barrier ();
  cds_lfht_destroy (model->jobs, NULL);
  if (!model->view)
    return;
  rules_free (model->view->rules);
  free_view (model->view);
  model->view = NULL;
}

/* Most outages of the store are shorter.  */
#define STORE_FAILING_MAX_US 700000

bool
readmodel_store_is_failing (const readmodel_t *model, int64_t now_us)
{
  int64_t since_us = atomic_load (&model->store_failing_since_us);

  return since_us != 0 && now_us - since_us > STORE_FAILING_MAX_US;
}
