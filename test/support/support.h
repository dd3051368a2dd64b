/* support - what the programs of the test tree share

   NAME
     ready, listen, connect, signals  */

#ifndef CUMINPIN_TEST_SUPPORT_H
#define CUMINPIN_TEST_SUPPORT_H

#include "base.h"

/* support_fatal - write MESSAGE and the last system error, exit with 1.  */
G_NORETURN void support_fatal (const char *message);

/* support_write_ready_file - write TEXT to PATH atomically, so that a process
   that polls for PATH never reads a part of it.  Does nothing when PATH is
   NULL.  */
void support_write_ready_file (const char *path, const char *text);

/* support_listen - a non-blocking listening socket on ADDRESS and *PORT; for
   port 0 the kernel chooses, and *PORT is its choice.  */
int support_listen (const char *address, uint16_t *port);

/* support_connect - a non-blocking socket that is connecting to ADDRESS and
   PORT, or -1.  */
int support_connect (const char *address, uint16_t port);

/* support_block_signals - block SIGTERM and SIGINT in this thread and in all
   threads that it starts; ignore SIGPIPE.  */
void support_block_signals (void);

/* support_wait_signal - wait for SIGTERM or SIGINT.  */
void support_wait_signal (void);

/* support_signal_fd - a descriptor that is readable when SIGTERM or SIGINT
   came.  */
int support_signal_fd (void);

#endif
