/* commands - implementations of the script's commands, by group

   Private to the runner.  Each returns false and sets *ERROR when the command
   fails.  */

#ifndef CUMINPIN_COMMANDS_H
#define CUMINPIN_COMMANDS_H

#include "scenario.h"

/* start.c: processes */
bool start_log (const cmd_t *cmd, GError **error);
bool start_upstream (const cmd_t *cmd, GError **error);
bool start_proxy (const cmd_t *cmd, GError **error);
bool start_daemon (const cmd_t *cmd, GError **error);

/* operator.c: changes through cuminpin */
bool operator_publish (const cmd_t *cmd, GError **error);
bool operator_withdraw (const cmd_t *cmd, GError **error);
bool operator_wave (const cmd_t *cmd, GError **error);
bool operator_race (const cmd_t *cmd, GError **error);

/* operator_fleet - check expressions on the state that cuminpin computes from
   the log.  *FATAL is set when a pool lost hosts beyond its budget.  */
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

/* verify_fields - check the arguments of CMD from INDEX on, expressions such
   as NAME<=3, against FIELDS.  */
bool verify_fields (const cmd_t *cmd, uint32_t index, const json_t *fields,
                    GError **error);
bool verify_no_double_runs (const cmd_t *cmd, GError **error);

/* command_path - path of FILE in the directory of CMD's script.  */
char *command_path (const cmd_t *cmd, const char *file);

/* command_url - the URL of PATH at the port PORT_FIELD of the process NAME.
 */
char *command_url (const char *name, const char *port_field, const char *path,
                   GError **error);

#endif
