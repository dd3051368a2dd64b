/* bed - test bed of the review cases

   NAME
     bed

   DESCRIPTION
     Runs entry daemons as separate processes against stand-ins of the
     platform's store, its machine service and minions, which live in this
     process and speak the published protocol on loopback.  Each daemon has a
     store port of its own, so that the store can treat machines differently.
 */

#ifndef BED_H
#define BED_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define DAEMONS 3
#define MINIONS_MAX 32
#define KEY "key-of-tenant-one"
#define HOST "queue.example"
#define PREFIX "/quotes/"

/* What the store does with the calls of one daemon.  */
typedef enum store_mode
{
  STORE_SERVES,
  STORE_BUSY,  /* 503 */
  STORE_SILENT /* no answer; nothing is done */
} store_mode_t;

int64_t now_ms (void);
void sleep_ms (int64_t ms);
/* note - write a line with the time to record.txt.  */
void note (const char *format, ...) G_GNUC_PRINTF (1, 2);
/* give_up - note why the case can't run, end the daemons and exit with 2.  */
void give_up (const char *why) G_GNUC_NORETURN;

/* store.c */
void store_open (uint16_t ports[DAEMONS]);
void store_put (const char *topic, const char *key, const char *value);
void store_set_mode (uint32_t daemon, store_mode_t mode);
/* store_break_at - when an append holds TEXT, store it, reset the channel
   without an answer and be busy for all machines for MS.  */
void store_break_at (const char *text, int64_t ms);
int64_t store_broke_at (void); /* 0: not yet */

/* minions.c */
typedef struct start
{
  char task[64];
  uint32_t attempt;
  uint32_t minion;
  int64_t at_ms;
} start_t;

/* minions_open - COUNT minions of SERVICE, with the label KIND and CPU
   thousandths of a core.  */
void minions_open (const char *service, uint32_t count, const char *kind,
                   int64_t cpu);
/* minions_restart - crash the first COUNT minions and start them again after
   DOWN_MS, under their ids, as minions of KIND.  */
void minions_restart (uint32_t count, int64_t down_ms, const char *kind);
const char *minion_kind (uint32_t minion);
/* minion_break_at - the minion that is told to start a work item of job ID
   does so, resets the channel without an answer, and answers all calls with
   503 for MS.  */
void minion_break_at (const char *id, int64_t ms);
bool minion_broke (void);
/* doubled_starts - starts while another run of the work item was running on a
   minion that is up, or after one has ended `done`.  */
uint32_t doubled_starts (void);
uint16_t machines_open (void);
/* advice_open - the advice service, which takes DECIDE_MS and PERIOD_MS for
   each minion named, and handles one call at a time.  */
uint16_t advice_open (void);
/* starts_of - the starts of work items whose name begins with ID.  */
GArray *starts_of (const char *id);
int64_t ends_of (const char *id, const char *how); /* number */

/* bed.c */
typedef struct answer
{
  uint32_t status; /* 0: none */
  char body[512];
} answer_t;

extern bool trouble;
extern uint32_t advice_decide_ms; /* 0: the route has no advice */
extern uint32_t advice_period_ms;

/* config_put - publish VERSION of the config, with the route or without.  */
void config_put (uint32_t version, bool with_route, uint32_t max_attempts);
void daemons_start (void);
void daemons_wait_for_owner (void);
uint32_t owner_index (void);
/* call - METHOD on PREFIX + ID at DAEMON; waits for LIMIT_MS.  */
answer_t call (uint32_t daemon, const char *method, const char *id,
               const char *body, int64_t limit_ms);
char *job_id (void);

/* http.c */
typedef struct http_req
{
  char method[8];
  char path[1024];
  char *body;
  size_t len;
  int fd;
} http_req_t;

typedef void (*http_handler_t) (uint32_t index, http_req_t *req);

uint16_t http_listen (http_handler_t handler, uint32_t index);
void http_reply (http_req_t *req, int status, const void *body, size_t len);
void http_reply_json (http_req_t *req, int status, json_t *value);
/* http_reset - reset the channel of REQ.
   http_hang - keep the channel open without an answer.  */
void http_reset (http_req_t *req);
void http_hang (http_req_t *req);
uint16_t free_port (void);
/* http_call - one request; status 0 without a whole answer in LIMIT_MS.  */
uint32_t http_call (uint16_t port, const char *request, size_t len,
                    int64_t limit_ms, char *body, size_t body_size);

#endif
