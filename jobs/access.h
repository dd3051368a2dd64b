/* access - which calls reach a job

   NAME
     access_decide, access_scope

   DESCRIPTION
     A job is at the queue that has accepted it, and nowhere else: a call at
     another queue is answered as if there were no such job.  Only a job whose
     queue the rules don't have any more, as it was renamed or removed, is
     reached at other queues, by those that could reach it before: with a key
   of its workspace, or at any queue if its own needed none.  */

#ifndef CUMINPIN_ACCESS_H
#define CUMINPIN_ACCESS_H

#include "rules.h"

/* Who calls, and where.  */
typedef struct access_call
{
  const char *queue;  /* name, interned */
  bool is_public;     /* the queue needs no key */
  const char *holder; /* workspace of the call's key, interned; NULL: none that
                         is in effect */
} access_call_t;

typedef enum access
{
  ACCESS_GRANTED,
  ACCESS_NO_JOB,         /* no such job at this queue */
  ACCESS_OTHER_WORKSPACE /* at this queue, but of another workspace */
} access_t;

/* access_decide - whether CALL reaches a job of QUEUE and WORKSPACE, which are
   interned, under RULES.  WORKSPACE is "" if the queue was public when it
   accepted the job.  */
access_t access_decide (const rules_t *rules, const access_call_t *call,
                        const char *queue, const char *workspace);

/* access_workspace - the workspace of jobs that CALL submits.  */
const char *access_workspace (const access_call_t *call);

/* access_scope - a number for jobs of QUEUE and WORKSPACE; never 0.  */
uint64_t access_scope (const char *queue, const char *workspace);

#endif
