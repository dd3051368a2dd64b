/* explainjob - explains a job that is built; private to jobs/

   NAME
     explain_job

   DESCRIPTION
     Judges the workers for each step, places the tasks that precede the job
     and then its own in a trial, and says what of it would start.  */

#ifndef CUMINPIN_EXPLAINJOB_H
#define CUMINPIN_EXPLAINJOB_H

#include "explain.h"
#include "schedint.h"

/* explain_job - explain JOB, whose pool and workspace are in the tables of
   SCHED.  It may itself be in them or not.  */
void explain_job (explanation_t *to, const sched_t *sched,
                  const sched_job_t *job, sched_now_t now);

#endif
