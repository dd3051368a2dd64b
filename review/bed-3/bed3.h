/* bed3 - what the programs of the third review's cases share

   NAME
     bed, client

   DESCRIPTION
     A bed is a small deployment on loopback: the daemons, as processes of
     their own that are started with the command of the deploy file, and a
     record of what was sent, answered and run.  The store and the workers are
     those of test/soak.

     Case programs end with 0 if the rule held, 1 if it was broken, and 2 if
     the case couldn't run.  With TROUBLE=0 in the environment they leave the
     disruption out.  */

#ifndef CUMINPIN_BED3_H
#define CUMINPIN_BED3_H

#include "../../test/soak/standins.h"
#include <stdio.h>
#include <sys/types.h>

#define BED_DAEMONS_MAX 5
#define BED_HOST "jobs.example"
#define BED_PREFIX "/queue/"

enum bed_exit
{
  BED_HELD = 0,
  BED_BROKEN = 1,
  BED_COULD_NOT_RUN = 2
};

typedef struct bed_daemon
{
  pid_t pid; /* 0: it doesn't run */
  uint16_t front;
  uint16_t ready;
  uint16_t peer;
  char *settings;
} bed_daemon_t;

typedef struct bed
{
  const char *program; /* of the daemon */
  FILE *record;
  char *dir; /* temporary */
  char address[16];
  bool trouble;
  int64_t began_us;
  bed_daemon_t daemons[BED_DAEMONS_MAX];
  uint32_t count;
  GMutex lock; /* of the record */
} bed_t;

/* bed_open - begin a case with the command line PROGRAM RECORD.
   bed_close - end all daemons, and return STATUS.  */
void bed_open (bed_t *bed, int argc, char **argv);
int bed_close (bed_t *bed, int status);

/* bed_note - a line in the record, with the time.  */
void bed_note (bed_t *bed, const char *format, ...) G_GNUC_PRINTF (2, 3);

/* bed_give_up - end the case as one that couldn't run.  */
void bed_give_up (bed_t *bed, const char *why) G_GNUC_NORETURN;

/* bed_add_daemon - start another daemon, with the store at STORE_PORT and the
   lines MORE in its settings.
   bed_kill - send SIGKILL to daemon INDEX, and wait until it has ended.
   bed_restart - start it again.
   bed_await_ready - wait until daemon INDEX says that it is ready.  */
void bed_add_daemon (bed_t *bed, uint16_t store_port, const char *more);
void bed_kill (bed_t *bed, uint32_t index);
void bed_restart (bed_t *bed, uint32_t index);
void bed_await_ready (bed_t *bed, uint32_t index);

/* bed_ms - milliseconds since the case began.
   bed_sleep_ms - sleep.  */
int64_t bed_ms (const bed_t *bed);
void bed_sleep_ms (int64_t ms);

/* A connection of a requester, which is kept open.  */
typedef struct client
{
  const bed_t *bed;
  uint16_t port;
  int fd; /* -1: not connected */
} client_t;

void client_open (client_t *client, const bed_t *bed, uint16_t port);
void client_close (client_t *client);

/* client_call - send METHOD for PATH with BODY, or NULL; the status, or 0 if
   there was no answer in TIMEOUT_MS.  ANSWER gets the body.  */
uint32_t client_call (client_t *client, const char *method, const char *path,
                      const char *body, GString *answer, uint32_t timeout_ms);

/* bed_put_config - the operator's config: one public queue at BED_PREFIX,
   whose service is "shop". bed_call - send METHOD for job ID to daemon INDEX;
   the status, or 0. bed_submit - submit job ID to the first daemon; the case
   ends if that is not accepted. bed_find_owner - the daemon that says that it
   is the owner, or -1.  */
void bed_put_config (bed_t *bed, store_t *store);
uint32_t bed_call (bed_t *bed, uint32_t index, const char *method,
                   const char *id, const char *body, GString *answer);
void bed_submit (bed_t *bed, const char *id, const char *body);
int bed_find_owner (bed_t *bed);

#endif
