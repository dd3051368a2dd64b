/* reasons - names of what the placement decides on

   NAME
     judgement_name, rank_name

   DESCRIPTION
     The part of judge.h and startorder.h that explanations show.  */

#ifndef CUMINPIN_REASONS_H
#define CUMINPIN_REASONS_H

/* Why a worker is passed over for a task: the first check that fails, in this
   order.  */
typedef enum judgement
{
  JUDGED_SUITABLE,
  JUDGED_UNLISTED,   /* it is not registered */
  JUDGED_UNREPORTED, /* it has not reported to this owner, or its clock,
                        registration or boot isn't known for certain */
  JUDGED_DRAINING,   /* it is draining, or its host is */
  JUDGED_EVACUATED,  /* its data centre is withdrawn from use */
  JUDGED_COLD,       /* it is cold and not open yet */
  JUDGED_ORPHANS,    /* it lists runs whose needs aren't known */
  JUDGED_SILENT,     /* it doesn't answer */
  JUDGED_PAUSED,     /* it failed or rejected tasks recently */
  JUDGED_NO_ROOM,    /* its free capacity is less than the need */
  JUDGED_AVOIDED,    /* the task failed there last */
  JUDGED_NO_LABEL,   /* it lacks the label of the step */
  JUDGED_NO_TICKET,  /* the queue's policy has not allowed it */
  JUDGED_STEP_LIMIT, /* it has spread_max tasks of the step */
  JUDGEMENTS_COUNT
} judgement_t;

/* judgement_name - JUDGEMENT as it stands in messages.  */
const char *judgement_name (judgement_t judgement);

/* The first key in the order of starts.  */
typedef enum rank
{
  RANK_LONG_RUNNING, /* long-running tasks, which serve users all the time */
  RANK_ON_TIME,      /* the job can meet its objective */
  RANK_LATE,         /* the job can still earn something */
  RANK_OVER_SHARE,   /* the job exceeds its workspace's share */
  RANK_EXPIRED,
  RANK_COUNT
} rank_t;

/* rank_name - RANK as it stands in messages.  */
const char *rank_name (rank_t rank);

#endif
