/* scenario - runs a script against real processes

   NAME
     script, proc, http, background, words

   DESCRIPTION
     A script is read line by line; docs are in README.md.  A line is parsed
     into a command, whose word selects what runs.  Nothing waits for a fixed
     time: a wait ends with its condition, and a bound that passes is a
     failure.

     script      lines to commands; templates
     proc        starts, watches and always ends processes
     http        one request and its answer
     background  requests that go on while the script does
     words       what each word does  */

#ifndef CUMINPIN_SCENARIO_H
#define CUMINPIN_SCENARIO_H

#include "base.h"
#include <curl/curl.h>
#include <jansson.h>
#include <sys/types.h>

typedef enum word
{
  WORD_LOG,
  WORD_UPSTREAM,
  WORD_PROXY,
  WORD_DAEMON,
  WORD_PUBLISH,
  WORD_WITHDRAW,
  WORD_WAVE,
  WORD_RACE,
  WORD_FAULT,
  WORD_LOGFAULT,
  WORD_PROXYFAULT,
  WORD_LIVE,
  WORD_APPEND,
  WORD_SIGNAL,
  WORD_STOPPED_FOR,
  WORD_EXPECT_EXIT,
  WORD_REQUEST,
  WORD_SEND,
  WORD_ANSWERS,
  WORD_REFUSED,
  WORD_LOAD,
  WORD_ENDLOAD,
  WORD_CHECK,
  WORD_FLEET,
  WORD_NO_DOUBLE_RUNS,
  WORD_WITHIN,
  WORD_COUNT
} word_t;

typedef struct cmd
{
  word_t word;
  const char *file;
  uint32_t line;
  char *text;
  char **args; /* without the word */
  uint32_t args_count;
} cmd_t;

/* script_parse - the command in TEXT, or NULL and *ERROR.  */
cmd_t *script_parse (const char *file, uint32_t line, const char *text,
                     GError **error);
void script_free (cmd_t *cmd);

/* script_option - the value of the argument NAME=VALUE, or FALLBACK.  */
const char *script_option (const cmd_t *cmd, const char *name,
                           const char *fallback);
uint32_t script_number (const cmd_t *cmd, const char *name, uint32_t fallback);

/* script_rest - the text from argument INDEX on, or "".  */
const char *script_rest (const cmd_t *cmd, uint32_t index);

/* script_set - what ${NAME.FIELD} stands for in templates.  */
void script_set (const char *name, const char *field, const char *value);

/* script_get - that value, or NULL.  NAME.peer_port is a port that was free,
   kept for NAME from the first time it is asked for; digest.KEY is the digest
   of a key.  */
const char *script_get (const char *name, const char *field);

/* script_fill - TEXT with each ${NAME.FIELD} replaced; ${self.FIELD} is one
   of SELF.  NULL and *ERROR when one has no value.  */
char *script_fill (const char *text, const char *self, GError **error);

typedef enum proc_kind
{
  PROC_LOG,
  PROC_UPSTREAM,
  PROC_PROXY,
  PROC_DAEMON,
  PROC_TOOL /* ends by itself */
} proc_kind_t;

typedef struct proc
{
  proc_kind_t kind;
  char *name;
  pid_t pid;
  int pid_fd;
  char *log_path; /* its standard output and error */
  bool may_end;   /* was told to, or ends by itself */
  bool ended;
  int status;         /* exit status, or 128 + the signal that ended it */
  int64_t stopped_us; /* when it was sent SIGSTOP */
} proc_t;

#define SCENARIO_ERROR (scenario_error_quark ())
GQuark scenario_error_quark (void);

/* scenario_fail - set *ERROR; always false.  */
bool scenario_fail (GError **error, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/* procs_open - programs are at PROGRAMS (name to path); files go to DIR.  */
void procs_open (GHashTable *programs, const char *dir);

const char *procs_dir (void);

/* proc_start - start PROGRAM as NAME with ARGV, whose first entry is left
   free for its path, and wait until it has written its ready file, if
   READY.  */
proc_t *proc_start (proc_kind_t kind, const char *name, const char *program,
                    const char **argv, bool ready, GError **error);

/* proc_ready_path - where the process NAME writes its ports.  */
char *proc_ready_path (const char *name);

proc_t *proc_find (const char *name, GError **error);

/* proc_first - the first process of KIND from INDEX on, or NULL.  */
proc_t *proc_at (proc_kind_t kind, uint32_t index);

bool proc_signal (proc_t *proc, int number, GError **error);

/* proc_wait - wait until PROC ends, at most until DUE_US.  */
bool proc_wait (proc_t *proc, int64_t due_us, GError **error);

/* procs_wait - wait until a process ends or MS have passed.  False when one
   ended that was not to.  */
bool procs_wait (uint32_t ms, GError **error);

/* procs_end - end all: SIGTERM, then SIGKILL.  False when one did not end
   with status 0.  */
bool procs_end (GError **error);

/* procs_print_logs - the last lines of each process's output.  */
void procs_print_logs (void);

typedef struct answer
{
  CURLcode code;
  long status; /* 0: none */
  char outcome[32];
  char error[64];
  char id[64];
  GByteArray *body;
} answer_t;

void answer_clear (answer_t *answer);

/* http_id - a new request id: a UUIDv7.  */
void http_id (char id[37]);

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

/* http_run - on HANDLE, which keeps its connection.  */
void http_run (CURL *handle, const http_request_t *request, answer_t *answer);

/* http_answer_is_own - whether a complete 200 answers the request ID.  */
bool http_answer_is_own (const answer_t *answer, const char *id);

/* http_json - the JSON at URL.  */
json_t *http_json (const char *url, GError **error);

/* http_send - PUT or POST BODY; an answer other than 200 is an error.  */
bool http_send (const char *method, const char *url, const char *body,
                GError **error);

typedef struct background background_t;

/* What threads in the background send.  */
typedef struct background_plan
{
  const char *name;
  http_request_t request; /* without an id, each gets a new one */
  uint32_t count;
  bool once;
} background_plan_t;

/* background_start - COUNT threads that send requests as PLAN says; each sends
   one on a connection of its own if ONCE, else one after the other until
   background_end.  */
background_t *background_start (const background_plan_t *plan);
background_t *background_find (const char *name, GError **error);

typedef struct tally
{
  uint64_t sent;
  uint64_t answered; /* 200 to the request itself */
  uint64_t wrong;    /* 200 to another request, or cut short */
  uint64_t not_run;
  uint64_t unknown;
  uint64_t lost;  /* no answer after the request was sent */
  uint64_t other; /* any other answer */
} tally_t;

/* background_end - let the requests under way end; their sums.  */
tally_t background_end (background_t *background);

/* words_run - run CMD.  *FATAL when a wait must not repeat it.  */
bool words_run (const cmd_t *cmd, bool *fatal, GError **error);

#endif
