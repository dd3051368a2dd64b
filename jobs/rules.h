/* rules - the configuration in effect: queues, services, workspaces and keys

   NAME
     rules

   DESCRIPTION
     Immutable once built.  Names are interned and compared by pointer.  Only
     digests of the keys are stored.  */

#ifndef CUMINPIN_RULES_H
#define CUMINPIN_RULES_H

#include "base.h"
#include "capacity_index.h"

/* Limits on calls to a queue's placement policy, which decides which workers
   may run a step.  All zero: the queue has no policy.  */
typedef struct rules_advice
{
  uint32_t decide_ms; /* time to answer a question ... */
  uint32_t period_ms; /* ... plus this for each worker in it */
  uint32_t valid_ms;  /* lifetime of a ticket */
} rules_advice_t;

/* Settings of a queue that apply to the jobs that it has accepted.  They hold
   for these jobs until the queue has others, also when it is removed.  */
typedef struct queue_settings
{
  const char *service; /* whose workers run its tasks */
  uint32_t priority;   /* 0 is the highest */
  uint32_t max_attempts;
  uint32_t stretch_milli; /* objective: critical path times this ... */
  uint32_t latency_ms;    /* ... plus this */
  rules_advice_t advice;
} queue_settings_t;

typedef struct rules_queue
{
  const char *name;
  const char *host;        /* of the requests for this queue */
  const char *path_prefix; /* the longest matching prefix wins */
  uint32_t timeout_ms;
  bool is_public; /* needs no key */
  queue_settings_t settings;
} rules_queue_t;

typedef struct rules_service
{
  const char *name;
  bool workers_check_capacity; /* its workers reject tasks that do not fit */
  bool standby;                /* its hosts are switched off until they move */
} rules_service_t;

typedef struct rules_workspace
{
  const char *name;
  uint32_t weight;
  amounts_t cap; /* on the total of its running tasks; 0: unlimited */
} rules_workspace_t;

typedef struct rules
{
  uint64_t version;
  GArray *queues;     /* of rules_queue_t */
  GArray *services;   /* of rules_service_t */
  GArray *workspaces; /* of rules_workspace_t */
  GHashTable *keys;   /* digest, hexadecimal -> workspace */
} rules_t;

rules_t *rules_new (uint64_t version);
void rules_free (rules_t *rules);

/* rules_add_key - grant KEY access to WORKSPACE, an interned name.  */
void rules_add_key (rules_t *rules, const char *key, const char *workspace);

/* rules_match_queue - the queue for a request for PATH on HOST, or NULL.  */
const rules_queue_t *rules_match_queue (const rules_t *rules, const char *host,
                                        const char *path);

const rules_queue_t *rules_queue (const rules_t *rules, const char *name);
const rules_service_t *rules_service (const rules_t *rules, const char *name);
const rules_workspace_t *rules_workspace (const rules_t *rules,
                                          const char *name);

/* rules_find_queue, rules_find_workspace - the same for names that are not
   interned.  */
const rules_queue_t *rules_find_queue (const rules_t *rules, const char *text);
const rules_workspace_t *rules_find_workspace (const rules_t *rules,
                                               const char *text);

/* rules_workspace_for_key - the workspace of KEY, or NULL when KEY is unknown
   or was withdrawn.  */
const char *rules_workspace_for_key (const rules_t *rules, const char *key);

#endif
