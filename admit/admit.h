/* admit - admission control: keys, freshness of the view, permits, queues

   NAME
     key, freshness, escrow, share, queue

   DESCRIPTION
     key        maps an API key to its team
     freshness  tells whether this daemon may have missed a change
     escrow     permits of one resource (a team's limit, an upstream's slots)
                at this daemon; acquiring one is an atomic operation
     share      divides a limit among the entry hosts and tells when a daemon
                may use its share
     queue      weighted fair queueing between the teams of one service
                (start-time fair queueing, Goyal, Vin and Cheng 1996)

     None of these reads a clock, a socket or a file.  All times named now_us
     are monotonic.  */

#ifndef CUMINPIN_ADMIT_H
#define CUMINPIN_ADMIT_H

#include "state.h"

/* Immutable index of the keys in a state.  */
typedef struct key_index key_index_t;

key_index_t *key_index_new (const state_t *state);
void key_index_free (key_index_t *index);

/* key_index_find - returns the interned name of the team that owns KEY (LEN
   bytes as received from the client), or NULL if the key is unknown or
   withdrawn.  Compares digests in constant time.  */
const char *key_index_find (const key_index_t *index, const char *key,
                            size_t len);

typedef enum freshness
{
  FRESH, /* this daemon or a live peer recently read the log to its end */
  BLIND, /* the log recently proved unreachable, no peer reads it, and all
            other data centres send heartbeats */
  STALE  /* the log may hold a record that this daemon has not folded */
} freshness_t;

const char *freshness_name (freshness_t freshness);

/* Contents of the last heartbeat of a peer.  */
typedef struct peer_heartbeat
{
  const char *data_centre;
  int64_t heard_us;    /* time of receipt; 0: none received */
  int64_t log_read_us; /* when that peer last read the log to its end, on this
                          daemon's clock; 0: never */
  uint64_t offset;     /* the peer has folded the log up to here */
} peer_heartbeat_t;

/* What this daemon knows about the log, directly and from its peers.  */
typedef struct freshness_inputs
{
  int64_t log_read_us;   /* last read to the end; 0: never */
  int64_t log_failed_us; /* end of the last read that failed within its
                            timeout; 0: never.  A read that a pause of the
                            process prolonged is not counted, because it says
                            nothing about the log.  */
  uint64_t offset;       /* this daemon has folded the log up to here */
  const char *data_centre;
  const char *const *data_centres; /* those with entry hosts, from the fleet */
  uint32_t data_centres_count;
  const peer_heartbeat_t *peers;
  uint32_t peers_count;
} freshness_inputs_t;

#define FRESH_MAX_AGE_US 3000000

/* freshness_evaluate - returns the freshness at NOW_US, allowing an age of
   FRESH_MAX_AGE_US plus GRACE_US.  A peer's read of the log counts only if
   this daemon has folded the log as far as that peer.  */
freshness_t freshness_evaluate (const freshness_inputs_t *inputs,
                                int64_t now_us, int64_t grace_us);

/* Permits of one resource at this daemon: its own share, minus permits lent,
   plus permits borrowed.  */
typedef struct escrow escrow_t;

/* A permit and its origin, to which it is released.  */
typedef struct permit
{
  uint32_t source;     /* 0: none; 1: own share; else a loan */
  uint32_t generation; /* of that loan */
} permit_t;

escrow_t *escrow_new (void);
void escrow_free (escrow_t *escrow);

/* escrow_set_share - sets this daemon's own share.  A lower share takes effect
   at once: no permit is granted until enough have been released.  */
void escrow_set_share (escrow_t *escrow, uint32_t share);

uint32_t escrow_share (const escrow_t *escrow);

/* escrow_acquire - acquires a permit for work that ends by END_US; a borrowed
   one only if its loan lasts that long.  Returns false if no permit is
   available.  Lock-free; any thread.  */
bool escrow_acquire (escrow_t *escrow, int64_t now_us, int64_t end_us,
                     permit_t *permit);

/* escrow_release - releases PERMIT; any thread.  */
void escrow_release (escrow_t *escrow, permit_t permit);

/* escrow_in_use - returns the number of permits acquired and not released.  */
uint32_t escrow_in_use (const escrow_t *escrow);

/* escrow_free_count - returns the number of free permits of the own share;
   negative after the share was lowered below the number in use.  */
int64_t escrow_free_count (const escrow_t *escrow);

/* escrow_available - returns the number of permits that escrow_acquire could
   grant now for work that ends by END_US, borrowed ones included.  Any
   thread.  */
uint32_t escrow_available (const escrow_t *escrow, int64_t now_us,
                           int64_t end_us);

/* escrow_can_borrow - whether another loan can be opened.  Any thread.  */
bool escrow_can_borrow (const escrow_t *escrow);

/* escrow_lend - withdraws up to COUNT free permits from the own share until
   EXPIRY_US and returns how many.  escrow_expire restores them once the time
   is past EXPIRY_US plus the clock error.  One thread.  */
uint32_t escrow_lend (escrow_t *escrow, uint32_t count, int64_t expiry_us);

/* escrow_borrow - adds COUNT permits, valid until EXPIRY_US.  Returns false,
   without adding any, if too many loans are open.  One thread.  */
bool escrow_borrow (escrow_t *escrow, uint32_t count, int64_t expiry_us);

/* escrow_lent - returns the number of permits lent and not yet restored.  Same
   thread as escrow_lend.  */
uint32_t escrow_lent (const escrow_t *escrow);

/* escrow_expire - ends expired loans and restores permits whose lending has
   expired.  Same thread as escrow_lend and escrow_borrow.  */
void escrow_expire (escrow_t *escrow, int64_t now_us);

/* share_split - returns the share of SELF in the LIMIT of RESOURCE among COUNT
   entry HOSTS; 0 if SELF is not one of them.  The shares add up to LIMIT; the
   remainder goes to the hosts first in rendezvous rank.  */
uint32_t share_split (const char *resource, uint32_t limit,
                      const char *const *hosts, uint32_t count,
                      const char *self);

/* share_effective - returns the share that a daemon may use now, given the
   CURRENT one and the ASSIGNED one: a lower share takes effect at once, a
   higher one only while the gate is open.  */
uint32_t share_effective (uint32_t current, uint32_t assigned, bool gate_open);

#define LOAN_US 10000000 /* duration of a loan */

/* share_outstanding_us - returns how long after a host lowered its share or
   stopped its permits may still be lent, or in use by work that runs for at
   most RUN_US (longest deadline plus longest overrun).  */
int64_t share_outstanding_us (int64_t run_us);

/* share_quarantine_us - returns how long after its start a daemon must not use
   any share.  BEFORE is this host's entry in the state just before the
   daemon's own JOIN was folded: NULL if no predecessor joined, marked as left
   if the predecessor left.  While that JOIN is not in the log, pass the
   current entry; if it is NULL or left, the result is INT64_MAX: the daemon
   must wait for its JOIN, because its successor would not know about it.  */
int64_t share_quarantine_us (const entry_state_t *before, bool join_folded,
                             int64_t run_us);

/* Report of another host that may use shares: one listed in the configuration,
   or one that joined and has not left.  All values are from its current
   incarnation and 0 until that has reported.  */
typedef struct share_report
{
  uint64_t version; /* its configuration, to which it lowered its shares */
  uint64_t settled; /* the configuration version at which nothing in use or
                       lent exceeded its shares and its quarantine was over */
  bool listed;
} share_report_t;

/* Decides when raised shares take effect; one for each daemon.  */
typedef struct share_gate
{
  uint64_t version;        /* of the configuration in effect here */
  int64_t hold_from_us;    /* end of the quarantine */
  int64_t agreed_since_us; /* when all listed hosts reached version; 0: not
                              yet */
} share_gate_t;

/* share_gate_set - sets the VERSION of the configuration in effect and the
   time HOLD_FROM_US before which no share may be used.  */
void share_gate_set (share_gate_t *gate, uint64_t version,
                     int64_t hold_from_us);

/* share_gate_is_open - whether raised shares may be used at NOW_US (above 0):
   every other listed host has reported this version, no host a later one, and
   each host has settled or WAIT_US (share_outstanding_us) has passed.  A host
   that is no longer listed and has not reported is taken to be stale, and so
   to admit nothing, FRESH_MAX_AGE_US plus GRACE_US after the listed hosts
   agreed.  Must be called regularly.  */
bool share_gate_is_open (share_gate_t *gate, const share_report_t *reports,
                         uint32_t count, int64_t now_us, int64_t wait_us,
                         int64_t grace_us);

/* share_may_leave - whether a stopping daemon may append its LEAVE.  After it
   the successor and other hosts assume that the daemon uses no permit, so no
   permit may be IN_USE or LENT and the work of its own predecessor must have
   ended.  */
bool share_may_leave (const share_gate_t *gate, uint32_t in_use, uint32_t lent,
                      int64_t now_us);

/* A waiting request; embedded in the daemon's request.  */
typedef struct queue_entry
{
  struct queue_entry *next;
  struct queue_entry *prev;
  struct queue_team *team;
  int64_t expires_us;  /* latest time at which it is useful to send it */
  uint32_t heap_index; /* private: index in the expiry heap */
} queue_entry_t;

/* The queue of one team at one service.  */
typedef struct queue_team queue_team_t;

typedef struct fair_queue fair_queue_t;

/* queue_new - returns a queue of at most MAX_PER_TEAM entries of each team.
   Not thread-safe: the owner holds a lock.  */
fair_queue_t *queue_new (uint32_t max_per_team);
void queue_free (fair_queue_t *queue);
void queue_set_max (fair_queue_t *queue, uint32_t max_per_team);

/* queue_team - returns the queue of team NAME and sets its weight to SHARE;
   creates it if there is none.  It lives as long as the queue.  */
queue_team_t *queue_team (fair_queue_t *queue, const char *name,
                          uint32_t share);

const char *queue_team_name (const queue_team_t *team);

/* queue_put - appends ENTRY to TEAM's queue.  Returns ERR_QUEUE_FULL if the
   queue is full, and ERR_WOULD_BE_LATE if the entry would be served after
   EXPIRES_US at the recent service rate.  */
err_kind_t queue_put (fair_queue_t *queue, queue_team_t *team,
                      queue_entry_t *entry, int64_t now_us,
                      int64_t expires_us);

/* queue_take - removes and returns the next entry in fair order among the
   teams for which MAY_RUN (CTX, entry) is true; NULL if there is none.
   MAY_RUN is called in fair order for the first entry of each team until it
   accepts one, so it may acquire the resources that the entry needs.  Never
   returns an expired entry.  */
queue_entry_t *queue_take (fair_queue_t *queue, int64_t now_us,
                           bool (*may_run) (void *ctx, queue_entry_t *entry),
                           void *ctx);

/* queue_charge - charges TEAM for a request that starts at NOW_US without
   being queued (the queue was empty).  */
void queue_charge (fair_queue_t *queue, queue_team_t *team, int64_t now_us);

/* queue_complete - records that a request of TEAM has freed its slot;
   STARTED_US is the time that was passed to queue_take or queue_charge.
   Shares are of slot time, so each request from either function must be
   completed exactly once.  */
void queue_complete (fair_queue_t *queue, queue_team_t *team,
                     int64_t started_us, int64_t now_us);

/* queue_remove - removes ENTRY, whose client has disconnected.  */
void queue_remove (fair_queue_t *queue, queue_entry_t *entry);

/* queue_take_expired - removes and returns an entry whose expires_us has
   passed; NULL if there is none.  */
queue_entry_t *queue_take_expired (fair_queue_t *queue, int64_t now_us);

/* queue_length - returns the number of entries, including expired ones that
   have not been removed.  Any thread, without the lock.  */
uint32_t queue_length (const fair_queue_t *queue);

#endif
