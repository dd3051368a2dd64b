/* words - what the words of a script do, by group

   Private to the runner.  Each returns false and sets *ERROR when the line
   does not hold.  */

#ifndef CUMINPIN_WORDS_H
#define CUMINPIN_WORDS_H

#include "scenario.h"

/* start.c: processes */
bool start_log (const cmd_t *cmd, GError **error);
bool start_upstream (const cmd_t *cmd, GError **error);
bool start_proxy (const cmd_t *cmd, GError **error);
bool start_daemon (const cmd_t *cmd, GError **error);

/* operator.c: what operators do */
bool operator_publish (const cmd_t *cmd, GError **error);
bool operator_withdraw (const cmd_t *cmd, GError **error);
bool operator_wave (const cmd_t *cmd, GError **error);
bool operator_race (const cmd_t *cmd, GError **error);

/* operator_fleet - check expressions of the folded log.  *FATAL when a pool
   lost hosts beyond its budget.  */
bool operator_fleet (const cmd_t *cmd, bool *fatal, GError **error);

/* control.c: faults and signals */
bool control_fault (const cmd_t *cmd, GError **error);
bool control_logfault (const cmd_t *cmd, GError **error);
bool control_proxyfault (const cmd_t *cmd, GError **error);
bool control_live (const cmd_t *cmd, GError **error);
bool control_append (const cmd_t *cmd, GError **error);
bool control_signal (const cmd_t *cmd, GError **error);
bool control_stopped_for (const cmd_t *cmd, GError **error);
bool control_expect_exit (const cmd_t *cmd, GError **error);

/* verify.c: requests and checks */
bool verify_request (const cmd_t *cmd, bool *fatal, GError **error);
bool verify_send (const cmd_t *cmd, bool once, GError **error);
bool verify_answers (const cmd_t *cmd, GError **error);
bool verify_refused (const cmd_t *cmd, GError **error);
bool verify_endload (const cmd_t *cmd, GError **error);
bool verify_check (const cmd_t *cmd, GError **error);

/* verify_facts - whether the arguments of CMD from INDEX on hold of FACTS.  */
bool verify_facts (const cmd_t *cmd, uint32_t index, const json_t *facts,
                   GError **error);
bool verify_no_double_runs (const cmd_t *cmd, GError **error);

/* words_path - FILE beside the script that CMD is in.  */
char *words_path (const cmd_t *cmd, const char *file);

/* words_url - http://127.0.0.1:PORT and PATH, of the process NAME.  */
char *words_url (const char *name, const char *port_field, const char *path,
                 GError **error);

#endif
