#include "entry.h"
#include <string.h>

#define BUCKETS 256
/* Part of the bound on withdrawn keys that the age of the rules may use.  */
#define RULES_AGE_PERCENT 80

void
board_open (board_t *board)
{
  memset (board, 0, sizeof *board);
  board->jobs = cds_lfht_new (BUCKETS, BUCKETS, 0, CDS_LFHT_AUTO_RESIZE, NULL);
}

static void
free_view (board_view_t *view)
{
  g_free (view->pending);
  g_free (view);
}

static void
free_view_by_rcu (struct rcu_head *head)
{
  free_view (caa_container_of (head, board_view_t, rcu));
}

static void
free_rules_view_by_rcu (struct rcu_head *head)
{
  board_view_t *view = caa_container_of (head, board_view_t, rcu);

  rules_free (view->rules);
  free_view (view);
}

static void
free_job_by_rcu (struct rcu_head *head)
{
  g_free (caa_container_of (head, board_job_t, rcu));
}

void
board_publish (board_t *board, rules_t *rules, board_pending_t *pending,
               uint32_t count)
{
  board_view_t *old = board->view;
  board_view_t *view = g_new0 (board_view_t, 1);

  view->rules = rules ? rules : old ? old->rules : NULL;
  view->pending = pending;
  view->pending_count = count;
  rcu_assign_pointer (board->view, view);
  if (old)
    call_rcu (&old->rcu,
              rules && old->rules ? free_rules_view_by_rcu : free_view_by_rcu);
}

const board_view_t *
board_view (const board_t *board)
{
  return rcu_dereference (board->view);
}

static int
match_id (struct cds_lfht_node *node, const void *id)
{
  return strcmp (caa_container_of (node, board_job_t, node)->id, id) == 0;
}

static unsigned long
hash_of (const char *id)
{
  return hash_bytes (id, strlen (id), 0);
}

board_job_t *
board_find (board_t *board, const char *id)
{
  struct cds_lfht_iter iter;
  struct cds_lfht_node *node;

  cds_lfht_lookup (board->jobs, hash_of (id), match_id, id, &iter);
  node = cds_lfht_iter_get_node (&iter);
  return node ? caa_container_of (node, board_job_t, node) : NULL;
}

void
board_put (board_t *board, const job_entry_t *entry)
{
  const job_desc_t *desc = entry->desc;
  board_job_t *job;

  rcu_read_lock ();
  job = board_find (board, desc->id);
  if (job)
    atomic_store (&job->state, entry->state);
  else
    {
      job = g_new0 (board_job_t, 1);
      memcpy (job->id, desc->id, sizeof job->id);
      job->queue = desc->queue;
      job->workspace = desc->workspace;
      atomic_init (&job->state, entry->state);
      cds_lfht_add (board->jobs, hash_of (job->id), &job->node);
    }
  rcu_read_unlock ();
}

void
board_drop (board_t *board, const char *id)
{
  board_job_t *job;

  rcu_read_lock ();
  job = board_find (board, id);
  if (job && cds_lfht_del (board->jobs, &job->node) == 0)
    call_rcu (&job->rcu, free_job_by_rcu);
  rcu_read_unlock ();
}

bool
board_rules_are_fresh (const board_t *board, uint32_t revoke_ms,
                       int64_t now_us)
{
  int64_t known_us = atomic_load (&board->rules_known_us);

  return known_us != 0
         && now_us - known_us
                < (int64_t)revoke_ms * 1000 * RULES_AGE_PERCENT / 100;
}

void
board_close (board_t *board)
{
  struct cds_lfht_iter iter;
  struct cds_lfht_node *node;

  rcu_read_lock ();
  cds_lfht_for_each (board->jobs, &iter, node)
  {
    board_job_t *job = caa_container_of (node, board_job_t, node);

    if (cds_lfht_del (board->jobs, node) == 0)
      call_rcu (&job->rcu, free_job_by_rcu);
  }
  rcu_read_unlock ();
  rcu_barrier ();
  cds_lfht_destroy (board->jobs, NULL);
  if (!board->view)
    return;
  rules_free (board->view->rules);
  free_view (board->view);
  board->view = NULL;
}
