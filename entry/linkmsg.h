/* linkmsg - messages between the owner and the other daemons

   NAME
     linkmsg_pack, linkmsg_unpack

   DESCRIPTION
     A daemon that is not the owner connects to it, introduces itself with
     HELLO, and has the owner append its records (APPEND, STORED).  STORED with
     serial 0 says that the owner can't append.  The owner has it carry out
     orders to workers (ORDER, REPLY).  HELLO and REPLY have the time at which
     they are sent, so that the owner knows the other's clock (relayclock.h).

     Strings of a message that was unpacked point into the bytes that were
     unpacked.  */

#ifndef CUMINPIN_LINKMSG_H
#define CUMINPIN_LINKMSG_H

#include "scheduler.h"
#include <msgpack.h>

/* Longest name of a daemon or data centre, as in the settings.  */
#define LINKMSG_NAME_MAX 256

/* Records of an APPEND.  Daemons send up to 1 MiB of them at once, see
   BATCH_BYTES_MAX, and none is shorter than the 16 digits of a job's id.  */
#define LINKMSG_RECORDS_MAX 65536

typedef enum linkmsg_kind
{
  LINKMSG_HELLO = 1,
  LINKMSG_APPEND = 2,
  LINKMSG_STORED = 3,
  LINKMSG_ORDER = 4,
  LINKMSG_REPLY = 5
} linkmsg_kind_t;

/* A record of an APPEND that the owner refused; it is not in the log.  */
typedef struct linkmsg_refused
{
  uint32_t index; /* in the APPEND */
  uint32_t retry_after_s;
} linkmsg_refused_t;

typedef struct linkmsg
{
  linkmsg_kind_t kind;
  uint64_t serial; /* APPEND, ORDER; that of the request in STORED, REPLY */
  int64_t sent_us; /* HELLO, REPLY: on the sender's clock; 0: it is a daemon
                      that does not say it */
  bool may_refuse; /* APPEND: the sender reads the list of refused records, and
                      none of them may be stored already.  Daemons that know no
                      such list don't send it.  */
  union
  {
    struct
    {
      const char *name;
      const char *data_centre;
      uint32_t share_percent;
    } hello;
    GPtrArray *append; /* GBytes; unpacked: owned by the message */
    struct
    {
      bool stored;
      bool unknown; /* not STORED: the records may be stored all the same */
      /* Not part of both above; by rising index.  Unpacked: owned by the
         message.  */
      linkmsg_refused_t *refused;
      uint32_t refused_count;
      /* STORED: the jobs of all submissions among the records are accepted, as
         the owner has folded them.  Daemons of earlier versions don't send
         it.  */
      bool effective;
    } stored;
    struct
    {
      order_t order;
      int64_t send_by_us; /* START: not sent to the worker later, on the
                             relay's clock; 0: no limit is known */
    } order;
    struct
    {
      worker_reply_t reply; /* without sent_us */
      bool has_report;
      worker_report_t report; /* unpacked: owned by the message */
    } reply;
  } u;
} linkmsg_t;

/* linkmsg_pack - append the encoding of MSG to BUF.  */
void linkmsg_pack (msgpack_sbuffer *buf, const linkmsg_t *msg);

/* linkmsg_set_send_by - set send_by_us of the packed ORDER in the LEN bytes of
   DATA, which was packed before it was known when it is sent.  */
void linkmsg_set_send_by (uint8_t *data, size_t len, int64_t send_by_us);

/* linkmsg_unpack - decode LEN bytes of DATA; false and *ERROR if they are no
   message.  linkmsg_clear releases it.  */
bool linkmsg_unpack (const void *data, size_t len, linkmsg_t *msg,
                     GError **error);
void linkmsg_clear (linkmsg_t *msg);

#endif
