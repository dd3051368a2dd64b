/* rules - the operators' configuration in effect: queues, services,
   workspaces and keys

   NAME
     rules

   DESCRIPTION
     Immutable once built.  Names are interned and compared by pointer.  Keys
     are kept as digests only.  */

#ifndef CUMINPIN_RULES_H
#define CUMINPIN_RULES_H

#include "base.h"
#include "capacity_index.h"

/* How a queue's policy is asked which workers may run a step; all zero: it
   has none.  */
typedef struct rules_advice
{
  uint32_t decide_ms; /* for each question */
  uint32_t period_ms; /* for each worker it names */
  uint32_t valid_ms;  /* of a ticket */
} rules_advice_t;

typedef struct rules_queue
{
  const char *name;
  const char *host;        /* of the requests that lead here */
  const char *path_prefix; /* the longest one that fits wins */
  const char *service;     /* whose workers run its tasks */
  uint32_t priority;       /* 0 comes first */
  uint32_t max_attempts;
  uint32_t stretch_milli; /* objective: times the longest chain of work ... */
  uint32_t latency_ms;    /* ... and so much more */
  uint32_t timeout_ms;
  bool is_public; /* needs no key */
  rules_advice_t advice;
} rules_queue_t;

typedef struct rules_service
{
  const char *name;
  bool enforces_capacity; /* its workers refuse what does not fit */
  bool standby;           /* its hosts are switched off */
} rules_service_t;

typedef struct rules_workspace
{
  const char *name;
  uint32_t weight;
  amounts_t cap; /* of all that runs; 0: no limit */
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

/* rules_add_key - KEY is one of WORKSPACE, an interned name.  */
void rules_add_key (rules_t *rules, const char *key, const char *workspace);

/* rules_match_queue - the queue that a request for PATH on HOST leads to;
   NULL: none.  */
const rules_queue_t *rules_match_queue (const rules_t *rules, const char *host,
                                        const char *path);

const rules_queue_t *rules_queue (const rules_t *rules, const char *name);
const rules_service_t *rules_service (const rules_t *rules, const char *name);
const rules_workspace_t *rules_workspace (const rules_t *rules,
                                          const char *name);

/* rules_workspace_for_key - the workspace of KEY, or NULL when KEY is unknown
   or withdrawn.  */
const char *rules_workspace_for_key (const rules_t *rules, const char *key);

#endif
