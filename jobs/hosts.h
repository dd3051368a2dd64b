/* hosts - maintenance waves, and moves of hosts between pools

   NAME
     hosts

   DESCRIPTION
     Part of the scheduler, for the hosts that workers run on.  The hosts of a
     wave are drained a few at a time, as many as are needed to finish in time
     and as their long-running tasks have places elsewhere (drain.h).
     A host goes into maintenance when its short tasks have ended, or have had
     their time to, and stopping the rest leaves no long-running step with more
     interrupted tasks than it allows.

     A host counts as down from the order until it is listed as up again.  An
     order without an answer may have been carried out, or may be later: it is
     repeated, and judged like a first one.  Until a repeat is accepted it
     counts for the limit of its wave, also if another worker runs on the host
     meanwhile (hostorder.h).  */

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

/* An entry of the platform's list of hosts.  */
typedef struct host_info
{
  const char *host;
  const char *pool;
  const char *worker;      /* "": none runs there */
  const char *data_centre; /* NULL: not in the list */
  host_status_t state;
  amounts_t room;
} host_info_t;

typedef struct wave_info
{
  uint64_t number;
  char **hosts; /* NULL-terminated; owned by the reader */
  uint32_t duration_s;
  uint32_t at_once; /* limit on hosts in maintenance at a time */
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
  const char *pool; /* MOVE: destination; interned */
  uint64_t wave;    /* MAINTENANCE */
} host_order_t;

typedef enum host_reply
{
  HOST_REPLY_OK,
  HOST_REPLY_FENCED,  /* another holder used a higher token */
  HOST_REPLY_BUSY,    /* the host is not up, or is leaving */
  HOST_REPLY_REFUSED, /* not carried out */
  HOST_REPLY_NONE     /* no answer; it may be carried out */
} host_reply_t;

/* hosts_set - replace the list of hosts with INFOS, the answer to a request of
   SENT_US.  */
void hosts_set (sched_t *sched, const GArray *infos, int64_t sent_us,
                sched_now_t now);

/* hosts_set_wave - add an operator's wave, first seen at KNOWN_US; frees its
   array of host names.  A newer record of a wave replaces its hosts, time and
   limit; hosts that have begun their maintenance for it don't begin it again.
   hosts_set_begun - an earlier owner recorded that HOST has begun its
   maintenance in wave NUMBER.
   hosts_set_ordered - an earlier owner recorded that it would order HOST down
   for wave NUMBER: the order may be carried out at any time.
   hosts_set_recorded - the same record of this owner is stored.  */
void hosts_set_wave (sched_t *sched, wave_info_t *wave, int64_t known_us,
                     sched_now_t now);
void hosts_set_begun (sched_t *sched, uint64_t number, const char *host);
void hosts_set_ordered (sched_t *sched, uint64_t number, const char *host);
void hosts_set_recorded (sched_t *sched, uint64_t number, const char *host,
                         sched_now_t now);

/* hosts_set_base_size - an earlier owner recorded that POOL had COUNT hosts
   when they were first listed.  */
void hosts_set_base_size (sched_t *sched, const char *pool, uint32_t count);

/* hosts_list_is_due - whether the list of hosts has to be read now.  */
bool hosts_list_is_due (const sched_t *sched, sched_now_t now);

/* hosts_plan - the orders to send now, of host_order_t, with the holder unset.
   The caller sends all of them and empties the array.  */
GArray *hosts_plan (sched_t *sched, sched_now_t now);

/* hosts_reply - process the answer to ORDER.  False: a later owner has given
   orders for the host, so the caller has to resign.  */
bool hosts_reply (sched_t *sched, const host_order_t *order,
                  host_reply_t reply, sched_now_t now);

typedef enum fleet_update_kind
{
  FLEET_UPDATE_WAVE_RUNNING,  /* a wave has started */
  FLEET_UPDATE_HOST_ORDERED,  /* a host will be ordered down; the order isn't
                                 sent before this is stored */
  FLEET_UPDATE_HOST_BEGUN,    /* a host has begun its maintenance */
  FLEET_UPDATE_WAVE_COMPLETE, /* all hosts of a wave have been through it */
  FLEET_UPDATE_POOL_BASE      /* the initial number of hosts of a pool */
} fleet_update_kind_t;

/* A change of a wave or a pool that has to be recorded.  */
typedef struct fleet_update
{
  fleet_update_kind_t kind;
  uint64_t number;  /* of the wave; POOL_BASE: number of hosts */
  const char *name; /* HOST_ORDERED, HOST_BEGUN: host; POOL_BASE: pool;
                       interned */
} fleet_update_t;

/* hosts_updates - the updates since the last call, of fleet_update_t; the
   caller empties the array.  */
GArray *hosts_updates (sched_t *sched);

#endif
