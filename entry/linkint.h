/* linkint - what the modules of links share

   Private to link and linkbounds.  */

#ifndef CUMINPIN_LINKINT_H
#define CUMINPIN_LINKINT_H

#include "link.h"
#include "linkbuf.h"

struct link
{
  links_t *links;
  link_handler_t handler;
  void *data;
  int fd;
  bool connecting;
  bool accepted;      /* by the listener */
  bool greeted;       /* a frame with content was received */
  bool dirty;         /* in links->dirty */
  const char *closed; /* why it was closed; NULL: it is open */
  linkbuf_t input;
  linkbuf_t output;
  uint64_t frame_serial; /* rises with the time at which INPUT's frame began */
  uint32_t events;
  int64_t opened_us;
  int64_t heard_us;    /* last bytes were read, or it was opened */
  int64_t received_us; /* last bytes were read; 0: none yet */
};

struct links
{
  int epoll_fd;
  int listen_fd;
  bool listener_paused; /* not watched, for lack of descriptors or memory */
  int spare_fd; /* closed to accept and refuse when there are no others */
  uint32_t accepted;
  uint32_t refused; /* since the last event */
  int64_t refused_reported_us;
  uint16_t port;
  link_handler_t accept_handler;
  GHashTable *by_fd;     /* fd -> link_t */
  GPtrArray *dirty;      /* link_t with output, or closed */
  uint64_t input_bytes;  /* of all links */
  uint64_t output_bytes; /* of all links */
  uint64_t frame_serial; /* of the last frame that began */
  uint8_t *buffer;       /* READ_BYTES */
  int64_t timer_us;
};

/* links_bound_input - close the links whose unfinished frames began first
   until those of all links fit into LINKS_INPUT_MAX.  Not to be called while a
   frame is handled. links_bound_output - close the links with the longest
   queues until those of all links fit into LINKS_OUTPUT_MAX.  */
void links_bound_input (links_t *links);
void links_bound_output (links_t *links);

#endif
