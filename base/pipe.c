#include "base.h"
#include <sys/eventfd.h>
#include <unistd.h>

bool
pipe_open (pipe_t *pipe, uint32_t max)
{
  cds_wfcq_init (&pipe->head, &pipe->tail);
  atomic_init (&pipe->count, 0);
  atomic_init (&pipe->wakeup_pending, false);
  pipe->max = max;
  pipe->event_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  return pipe->event_fd >= 0;
}

void
pipe_close (pipe_t *pipe)
{
  close (pipe->event_fd);
  cds_wfcq_destroy (&pipe->head, &pipe->tail);
}

bool
pipe_put (pipe_t *pipe, pipe_node_t *node)
{
  if (atomic_fetch_add (&pipe->count, 1) >= pipe->max)
    {
      atomic_fetch_sub (&pipe->count, 1);
      return false;
    }
  cds_wfcq_node_init (&node->link);
  cds_wfcq_enqueue (&pipe->head, &pipe->tail, &node->link);
  if (!atomic_exchange (&pipe->wakeup_pending, true))
    eventfd_write (pipe->event_fd, 1);
  return true;
}

void
pipe_clear_wakeup (pipe_t *pipe)
{
  eventfd_t value;

  eventfd_read (pipe->event_fd, &value);
  atomic_store (&pipe->wakeup_pending, false);
}

pipe_node_t *
pipe_get (pipe_t *pipe)
{
  struct cds_wfcq_node *link;

  /* While a writer is between the two steps of an enqueue, the dequeue returns
     WOULDBLOCK.  The writer wakes the reader after the second step, so the
     reader doesn't have to wait here.  */
  link = __cds_wfcq_dequeue_nonblocking (&pipe->head, &pipe->tail);
  if (!link || link == CDS_WFCQ_WOULDBLOCK)
    return NULL;
  atomic_fetch_sub (&pipe->count, 1);
  return caa_container_of (link, pipe_node_t, link);
}
