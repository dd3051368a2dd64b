/* link - framed TCP connections between daemons

   NAME
     links, link

   DESCRIPTION
     A link carries frames: a length in 4 bytes, big endian, and as many bytes.
     Both sides send an empty frame every LINK_PING_US; a link on which nothing
   was read for LINK_SILENCE_US is closed, as connections may fall silent
   without a reset.  Links belong to the thread of the epoll set.

     Frames are written once in an iteration of the loop, all frames of a link
     together.  */

#ifndef CUMINPIN_LINK_H
#define CUMINPIN_LINK_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define LINK_PING_US 400000
#define LINK_SILENCE_US 3000000
/* An accepted link whose first frame isn't complete by then is closed.  A
   daemon sends it as it connects; this covers two losses on a slow link.  */
#define LINK_FIRST_FRAME_US 10000000
/* Longest frame: a batch of records to append.  */
#define LINK_FRAME_MAX (2 * 1024 * 1024)
/* Longest first frame of an accepted link: names and a port.  Only daemons
   send more, and they say who they are first.  */
#define LINK_FIRST_FRAME_MAX 4096
/* Links that are accepted at once: of up to 100 daemons, twice while lost ones
   are still open.  */
#define LINKS_ACCEPTED_MAX 250
/* Connections that are accepted in one iteration of the event loop.  */
#define LINKS_ACCEPTS_MAX 64
/* Unfinished frames of all accepted links together; beyond it, the link whose
   frame began first is closed.  A tenth of the smallest entry host, 160 MB,
   and eight of the longest frames.  */
#define LINKS_INPUT_MAX (16 * 1024 * 1024)
/* The same for what is queued on all links; beyond it, the link with the
   longest queue is closed.  */
#define LINKS_OUTPUT_MAX (16 * 1024 * 1024)
/* A link whose peer does not read is closed when this much is queued.  */
#define LINK_QUEUE_MAX (8 * 1024 * 1024)

/* Why a link is closed whose peer has closed it, or has ended.  */
#define LINK_CLOSED_BY_PEER "closed-by-peer"

typedef struct links links_t;
typedef struct link link_t;

/* What happens on a link.  The functions are called from links_handle_event
   and links_run.  The link is freed after ON_CLOSED.  */
typedef struct link_handler
{
  void (*on_frame) (void *ctx, link_t *link, const uint8_t *data, size_t len);
  void (*on_closed) (void *ctx, link_t *link, const char *why);
  void *ctx;
} link_handler_t;

links_t *links_open (int epoll_fd);
void links_close (links_t *links);

/* links_listen - accept links on ADDRESS, IP:PORT; HANDLER is that of the
   accepted links.  False if the address can't be used.
   links_port - the port of the listener.  */
bool links_listen (links_t *links, const char *address,
                   const link_handler_t *handler);
uint16_t links_port (const links_t *links);

/* links_connect - a link to ADDRESS, IP:PORT; NULL if the address is malformed
   or no socket is available.  What is sent before the connection is there
   waits for it.  */
link_t *links_connect (links_t *links, const char *address,
                       const link_handler_t *handler, int64_t now_us);

/* link_send - queue a frame of LEN bytes of DATA.
   link_close - close LINK after the present call; ON_CLOSED follows.  */
void link_send (link_t *link, const void *data, size_t len);
void link_close (link_t *link, const char *why);

/* link_received_us - when something was last received on LINK; 0: never.  */
int64_t link_received_us (const link_t *link);

/* link_data, link_set_data - a pointer of the caller.  */
void *link_data (const link_t *link);
void link_set_data (link_t *link, void *data);

/* links_handle_event - handle the epoll events READY of FD; false if FD is
   none of LINKS. links_run - write what is queued, and close silent links. All
   bytes that had arrived by READ_US were read. links_due_us - when links_run
   is due.  */
bool links_handle_event (links_t *links, int fd, uint32_t ready,
                         int64_t now_us);
void links_run (links_t *links, int64_t read_us, int64_t now_us);
int64_t links_due_us (const links_t *links);

#endif
