/* support - sockets, signals and ready files for the test programs  */

#ifndef CUMINPIN_TEST_SUPPORT_H
#define CUMINPIN_TEST_SUPPORT_H

#include "base.h"

/* support_fatal - print MESSAGE and the text of errno, exit with status 1.  */
G_NORETURN void support_fatal (const char *message);

/* support_write_ready_file - write TEXT to PATH atomically, so that a process
   that polls for PATH never reads a part of it.  Does nothing when PATH is
   NULL.  */
void support_write_ready_file (const char *path, const char *text);

/* support_listen - open a non-blocking listening socket on ADDRESS and *PORT.
   For port 0 the kernel chooses one, which is stored in *PORT.  */
int support_listen (const char *address, uint16_t *port);

/* support_connect - start to connect a non-blocking socket to ADDRESS and
   PORT; -1 on failure.  */
int support_connect (const char *address, uint16_t port);

/* support_block_signals - block SIGTERM and SIGINT in this thread and in all
   threads that it starts; ignore SIGPIPE.  */
void support_block_signals (void);

/* support_wait_signal - wait for SIGTERM or SIGINT.  */
void support_wait_signal (void);

/* support_signal_fd - a descriptor that becomes readable on SIGTERM or
   SIGINT.  */
int support_signal_fd (void);

#endif
