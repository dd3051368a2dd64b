#include "access.h"
#include <string.h>

static access_t
decide_at_own_queue (const access_call_t *call, const char *workspace)
{
  if (call->is_public || workspace[0] == '\0' || workspace == call->holder)
    return ACCESS_GRANTED;
  return ACCESS_OTHER_WORKSPACE;
}

access_t
access_decide (const rules_t *rules, const access_call_t *call,
               const char *queue, const char *workspace)
{
  if (queue == call->queue)
    return decide_at_own_queue (call, workspace);
  if (rules_queue (rules, queue))
    return ACCESS_NO_JOB;
  return workspace[0] == '\0' || workspace == call->holder ? ACCESS_GRANTED
                                                           : ACCESS_NO_JOB;
}

const char *
access_workspace (const access_call_t *call)
{
  return call->is_public ? "" : call->holder;
}

uint64_t
access_scope (const char *queue, const char *workspace)
{
  uint64_t scope = hash_bytes (workspace, strlen (workspace),
                               hash_bytes (queue, strlen (queue), 0));

  return scope ? scope : 1;
}
