#include "explain.h"

const char *
explain_kind_name (explain_kind_t kind)
{
  static const char *const names[]
      = { [EXPLAIN_PLACED] = "placed",
          [EXPLAIN_WAITS] = "waits",
          [EXPLAIN_REFUSED] = "refused",
          [EXPLAIN_ENDED] = "ended",
          [EXPLAIN_UNKNOWN_QUEUE] = "unknown-queue",
          [EXPLAIN_UNKNOWN_WORKSPACE] = "unknown-workspace",
          [EXPLAIN_UNKNOWN_JOB] = "unknown-job" };

  return names[kind];
}

const char *
explain_wait_name (explain_wait_t wait)
{
  static const char *const names[]
      = { [EXPLAIN_WAIT_NO_ROOM] = "no-room",
          [EXPLAIN_WAIT_CAP] = "workspace-cap",
          [EXPLAIN_WAIT_DRAINING] = "workers-draining",
          [EXPLAIN_WAIT_AHEAD] = "jobs-ahead",
          [EXPLAIN_WAIT_NO_WORKER] = "no-worker",
          [EXPLAIN_WAIT_NO_LABEL] = "no-label",
          [EXPLAIN_WAIT_UNAVAILABLE] = "workers-unavailable",
          [EXPLAIN_WAIT_TICKET] = "no-ticket",
          [EXPLAIN_WAIT_STEP_LIMIT] = "step-limit",
          [EXPLAIN_WAIT_AVOIDED] = "failed-there",
          [EXPLAIN_WAIT_STARTS] = "unanswered-starts",
          [EXPLAIN_WAIT_RETRY] = "retry-pause",
          [EXPLAIN_WAIT_EARLIER_RUN] = "earlier-run",
          [EXPLAIN_WAIT_OWNERSHIP] = "ownership-unconfirmed",
          [EXPLAIN_WAIT_RULES] = "rules-unconfirmed",
          [EXPLAIN_WAIT_NOT_DUE] = "not-due",
          [EXPLAIN_WAIT_UNDECIDED] = "undecided" };

  return names[wait];
}

const char *
explain_step_state_name (explain_step_state_t state)
{
  static const char *const names[] = { [EXPLAIN_STEP_STARTS] = "starts",
                                       [EXPLAIN_STEP_WAITS] = "waits",
                                       [EXPLAIN_STEP_RUNS] = "runs",
                                       [EXPLAIN_STEP_BLOCKED] = "blocked" };

  return names[state];
}
