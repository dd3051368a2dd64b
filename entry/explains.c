#include "core.h"
#include <string.h>
#include <sys/epoll.h>

/* An explanation takes up to 10 ms of the core (explain.h), so at this
   interval up to 4 % of its time.  */
#define EXPLAIN_INTERVAL_US 250000
/* The last one waits for a second, less than callers do.  */
#define EXPLAINS_WAITING_MAX 4

bool
explains_open (core_t *core)
{
  struct epoll_event event = { .events = EPOLLIN };

  if (!pipe_open (&core->explains, EXPLAINS_WAITING_MAX))
    return false;
  event.data.fd = core->explains.event_fd;
  return epoll_ctl (core->epoll_fd, EPOLL_CTL_ADD, event.data.fd, &event) == 0;
}

static void
finish (explain_req_t *request, explain_outcome_t outcome)
{
  atomic_store (&request->outcome, outcome);
  request->done (request);
}

static explain_req_t *
next_request (core_t *core)
{
  pipe_node_t *node = pipe_get (&core->explains);

  return node ? caa_container_of (node, explain_req_t, node) : NULL;
}

void
explains_close (core_t *core)
{
  explain_req_t *request;

  while ((request = next_request (core)))
    finish (request, EXPLAIN_REQ_NO_OWNER);
  pipe_close (&core->explains);
}

bool
explains_handle_event (core_t *core, int fd)
{
  if (fd != core->explains.event_fd)
    return false;
  pipe_clear_wakeup (&core->explains);
  core->explains_waiting = true;
  return true;
}

/* The owner's name, or NULL if none but this daemon is known.  */
static char *
owner_name (const core_t *core)
{
  const char *holder = core->tab->owner.holder;

  if (!holder || core->tab->owner.released
      || strcmp (holder, core->holder) == 0)
    return NULL;
  return g_strndup (holder, strcspn (holder, "#"));
}

static void
explain (core_t *core, explain_req_t *request)
{
  const rules_queue_t *queue;
  const rules_workspace_t *workspace;
  explain_question_t question = { .id = request->id, .desc = request->desc };

  if (request->id[0])
    question.entry = jobtab_find (core->tab, request->id);
  if (request->desc)
    {
      queue = rules_find_queue (core->rules, request->queue);
      workspace = request->workspace
                      ? rules_find_workspace (core->rules, request->workspace)
                      : NULL;
      request->desc->queue = queue ? queue->name : NULL;
      request->desc->workspace = workspace ? workspace->name : NULL;
    }
  request->explanation = sched_explain (core->sched, &question, core_now ());
}

/* After a suspension the log may have another owner, so a request waits until
   it was read.  */
void
explains_run (core_t *core, int64_t now_us)
{
  explain_req_t *request;

  if (explains_due_us (core) > now_us)
    return;
  request = next_request (core);
  if (!request)
    {
      core->explains_waiting = false;
      return;
    }
  core->explains_due_us = now_us + EXPLAIN_INTERVAL_US;
  if (core->sched)
    {
      explain (core, request);
      counter_add (COUNT_EXPLANATIONS, 1);
      finish (request, EXPLAIN_REQ_ANSWERED);
      return;
    }
  request->owner = owner_name (core);
  finish (request,
          request->owner ? EXPLAIN_REQ_NOT_OWNER : EXPLAIN_REQ_NO_OWNER);
}

int64_t
explains_due_us (const core_t *core)
{
  return core->explains_waiting && !core->resync_needed ? core->explains_due_us
                                                        : INT64_MAX;
}
