/* hosts - maintenance waves and moves of the hosts that workers run on

   NAME
     hosts

   DESCRIPTION
     A part of the scheduler.  A wave's hosts are emptied a few at a time, no
     faster than it takes to finish in time, and go into maintenance when what
     runs there may end: tasks that can end soon have ended, and no lasting
   step would miss more tasks than it may.

     A host counts as down from the order on until it is listed as up again. An
     order without an answer may have been carried out: it is repeated until
     there is one, and the host counts as down meanwhile.  */

#ifndef CUMINPIN_HOSTS_H
#define CUMINPIN_HOSTS_H

#include "scheduler.h"

typedef enum host_status
{
  HOST_STATUS_UP,
  HOST_STATUS_MOVING,
  HOST_STATUS_MAINTENANCE,
  HOST_STATUS_DOWN
} host_status_t;

/* A host as the platform lists it.  */
typedef struct host_info
{
  const char *host;
  const char *pool;
  const char *worker; /* "" when none runs there */
  host_status_t state;
  amounts_t room;
} host_info_t;

typedef struct wave_info
{
  uint64_t number;
  char **hosts; /* NULL-terminated; the reader owns them */
  uint32_t duration_s;
  uint32_t at_once; /* hosts down for it at a time */
} wave_info_t;

typedef enum host_order_kind
{
  HOST_ORDER_MOVE,
  HOST_ORDER_MAINTENANCE
} host_order_kind_t;

typedef struct host_order
{
  host_order_kind_t kind;
  const char *host; /* interned */
  const char *holder;
  uint64_t token;
  const char *pool; /* MOVE; interned */
  uint64_t wave;    /* UPKEEP */
} host_order_t;

typedef enum host_reply
{
  HOST_REPLY_OK,
  HOST_REPLY_FENCED,  /* another holder used a higher token */
  HOST_REPLY_BUSY,    /* not up, or leaving */
  HOST_REPLY_REFUSED, /* nothing was done */
  HOST_REPLY_NONE     /* no answer; it may be done */
} host_reply_t;

/* hosts_set - the platform's list, read by a call that was sent at SENT_US. */
void hosts_set (sched_t *sched, const GArray *infos, int64_t sent_us,
                sched_now_t now);

/* hosts_set_wave - an operator's wave, known since KNOWN_US; takes over its
   hosts' names.
   hosts_set_begun - HOST has begun its maintenance in wave NUMBER, as an
   earlier owner recorded.  */
void hosts_set_wave (sched_t *sched, wave_info_t *wave, int64_t known_us,
                     sched_now_t now);
void hosts_set_begun (sched_t *sched, uint64_t number, const char *host);

/* hosts_set_base_size - POOL had COUNT hosts at first, as the first owner
   recorded.  */
void hosts_set_base_size (sched_t *sched, const char *pool, uint32_t count);

/* hosts_list_is_due - whether the list of hosts is needed now.  */
bool hosts_list_is_due (const sched_t *sched, sched_now_t now);

/* hosts_plan - the orders to give now, of host_order_t, without holder.  The
   caller sends all and empties the array.  */
GArray *hosts_plan (sched_t *sched, sched_now_t now);

/* hosts_reply - the answer to ORDER.  False: another owner has given orders
   for the host; the caller gives the decisions up.  */
bool hosts_reply (sched_t *sched, const host_order_t *order,
                  host_reply_t reply, sched_now_t now);

typedef enum fleet_update_kind
{
  FLEET_UPDATE_WAVE_RUNNING,  /* the wave is under way */
  FLEET_UPDATE_HOST_BEGUN,    /* a host has begun its maintenance */
  FLEET_UPDATE_WAVE_COMPLETE, /* all have */
  FLEET_UPDATE_POOL_BASE      /* how many hosts a pool had at first */
} fleet_update_kind_t;

/* What has to be recorded about waves and pools.  */
typedef struct fleet_update
{
  fleet_update_kind_t kind;
  uint64_t number;  /* of the wave; POOL_BASE: of hosts */
  const char *name; /* WAVE_MARK: host, POOL_BASE: pool; interned */
} fleet_update_t;

/* hosts_updates - of fleet_update_t, since the last call; the caller empties
 * it. */
GArray *hosts_updates (sched_t *sched);

#endif
