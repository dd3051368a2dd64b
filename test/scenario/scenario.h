/* scenario - runs a script against real processes

   NAME
     script, proc, http, background, commands

   DESCRIPTION
     A script is run line by line; README.md describes the language.  Each line
     is parsed into a command.  Nothing sleeps for a fixed time: a wait ends as
     soon as its condition holds, and fails at its timeout.

     script      parses commands, expands templates
     proc        starts, monitors and stops processes
     http        sends a request and reads its response
     background  sends requests while the script goes on
     commands    runs each kind of command  */

#ifndef CUMINPIN_SCENARIO_H
#define CUMINPIN_SCENARIO_H

#include "base.h"
#include <curl/curl.h>
#include <jansson.h>
#include <sys/types.h>

typedef enum cmd_kind
{
  CMD_LOG,
  CMD_UPSTREAM,
  CMD_PROXY,
  CMD_DAEMON,
  CMD_PUBLISH,
  CMD_WITHDRAW,
  CMD_WAVE,
  CMD_RACE,
  CMD_FAULT,
  CMD_LOGFAULT,
  CMD_PROXYFAULT,
  CMD_LIVE,
  CMD_APPEND,
  CMD_SIGNAL,
  CMD_STOPPED_FOR,
  CMD_EXPECT_EXIT,
  CMD_REQUEST,
  CMD_SEND,
  CMD_ANSWERS,
  CMD_REFUSED,
  CMD_LOAD,
  CMD_ENDLOAD,
  CMD_CHECK,
  CMD_FLEET,
  CMD_NO_DOUBLE_RUNS,
  CMD_WITHIN,
  CMD_COUNT
} cmd_kind_t;

typedef struct cmd
{
  cmd_kind_t kind;
  const char *file;
  uint32_t line;
  char *text;
  char **args; /* without the command's name */
  uint32_t args_count;
} cmd_t;

/* script_parse - parse the command in TEXT; NULL sets *ERROR.  */
cmd_t *script_parse (const char *file, uint32_t line, const char *text,
                     GError **error);
void script_free (cmd_t *cmd);

/* script_option - the value of the argument NAME=VALUE, or FALLBACK.
   script_number - the same as a number.  */
const char *script_option (const cmd_t *cmd, const char *name,
                           const char *fallback);
uint32_t script_number (const cmd_t *cmd, const char *name, uint32_t fallback);

/* script_tail - the command's text from argument INDEX on, or "".  */
const char *script_tail (const cmd_t *cmd, uint32_t index);

/* script_set - set the template variable ${NAME.FIELD}.  */
void script_set (const char *name, const char *field, const char *value);

/* script_get - the value of ${NAME.FIELD}, or NULL.  The first use of
   NAME.peer_port reserves a free port for NAME; digest.KEY is the digest of
   the key KEY.  */
const char *script_get (const char *name, const char *field);

/* script_expand - TEXT with each ${NAME.FIELD} replaced by its value;
   ${self.FIELD} is a field of SELF.  A variable without a value sets *ERROR
   and returns NULL.  */
char *script_expand (const char *text, const char *self, GError **error);

typedef enum proc_kind
{
  PROC_LOG,
  PROC_UPSTREAM,
  PROC_PROXY,
  PROC_DAEMON,
  PROC_TOOL /* a run of cuminpin, which exits by itself */
} proc_kind_t;

typedef struct proc
{
  proc_kind_t kind;
  char *name;
  pid_t pid;
  int pid_fd;
  char *log_path;     /* its standard output and error */
  bool exit_expected; /* was signalled, or exits by itself */
  bool ended;
  int status;         /* exit status, or 128 + the signal that killed it */
  int64_t stopped_us; /* when it was sent SIGSTOP */
} proc_t;

#define SCENARIO_ERROR (scenario_error_quark ())
GQuark scenario_error_quark (void);

/* scenario_fail - set *ERROR; always returns false.  */
bool scenario_fail (GError **error, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/* procs_init - PROGRAMS maps names of programs to paths; the processes' files
   are in DIR.  */
void procs_init (GHashTable *programs, const char *dir);

const char *procs_dir (void);

/* proc_start - start PROGRAM as NAME with ARGV, whose first entry is set to
   the program's path; with READY, wait until it has written its ready file.
 */
proc_t *proc_start (proc_kind_t kind, const char *name, const char *program,
                    const char **argv, bool ready, GError **error);

/* proc_ready_path - path of the file to which the process NAME writes its
   ports.  */
char *proc_ready_path (const char *name);

proc_t *proc_find (const char *name, GError **error);

/* proc_nth - the process of KIND with the given INDEX, or NULL.  */
proc_t *proc_nth (proc_kind_t kind, uint32_t index);

bool proc_signal (proc_t *proc, int number, GError **error);

/* proc_wait - wait until PROC has exited; fails at DUE_US.  */
bool proc_wait (proc_t *proc, int64_t due_us, GError **error);

/* procs_wait - wait until a process exits or MS have passed.  False when one
   exited unexpectedly.  */
bool procs_wait (uint32_t ms, GError **error);

/* procs_stop - stop all processes with SIGTERM, then SIGKILL.  False when one
   did not exit with status 0.  */
bool procs_stop (GError **error);

/* procs_print_logs - print the end of each process's output.  */
void procs_print_logs (void);

typedef struct response
{
  CURLcode code;
  long status; /* 0: no response */
  char outcome[32];
  char error[64];
  char id[64];
  GByteArray *body;
} response_t;

void response_clear (response_t *response);

/* http_new_id - generate a request id, a UUIDv7.  */
void http_new_id (char id[37]);

typedef struct http_request
{
  const char *method;
  const char *url;
  const char *key;      /* or NULL */
  const char *id;       /* or NULL */
  const char *body;     /* or NULL */
  uint32_t deadline_ms; /* 0: none */
  bool idempotent;
} http_request_t;

/* http_run - send REQUEST over HANDLE, which keeps its connection open.  */
void http_run (CURL *handle, const http_request_t *request,
               response_t *response);

/* http_response_matches - whether RESPONSE names the request ID, in its header
   and at the start of its body.  */
bool http_response_matches (const response_t *response, const char *id);

/* http_json - GET URL and parse the JSON body.  */
json_t *http_json (const char *url, GError **error);

/* http_send - PUT or POST BODY; a status other than 200 is an error.  */
bool http_send (const char *method, const char *url, const char *body,
                GError **error);

typedef struct background background_t;

/* The requests that background threads send.  */
typedef struct background_config
{
  const char *name;
  http_request_t request; /* without an id, each request gets a new one */
  uint32_t count;
  bool once;
} background_config_t;

/* background_start - start CONFIG's COUNT threads, each with its own
   connection.  With ONCE each thread sends one request, otherwise one after
   the other until background_end.  */
background_t *background_start (const background_config_t *config);
background_t *background_find (const char *name, GError **error);

typedef struct counts
{
  uint64_t sent;
  uint64_t answered; /* 200 with the id of the request */
  uint64_t wrong;    /* 200 with another id, or a truncated response */
  uint64_t not_run;
  uint64_t unknown;
  uint64_t lost;  /* no response after the request was sent */
  uint64_t other; /* any other response */
} response_counts_t;

/* background_end - wait for the pending requests; the counts of all.  */
response_counts_t background_end (background_t *background);

/* command_run - run CMD.  *FATAL is set when a failure must not be retried. */
bool command_run (const cmd_t *cmd, bool *fatal, GError **error);

#endif
