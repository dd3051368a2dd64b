/* startwindow - how many starts may be unanswered

   NAME
     startwindow

   DESCRIPTION
     The number of unanswered starts is limited, as their answers take the
     owner's time.  A fixed limit would bound the starts a second to the limit
     divided by the time that an answer takes, however idle the owner is: with
     workers that leave orders unanswered, to a small part of what it can do.
     So the window grows while it binds and the owner has time, and shrinks
     while the owner has none.

     Nothing here reads a clock.  Private to jobs/.  */

#ifndef CUMINPIN_STARTWINDOW_H
#define CUMINPIN_STARTWINDOW_H

#include <stdbool.h>
#include <stdint.h>

/* START_WINDOW_MIN, START_WINDOW_MAX - bounds of the window.
   START_WINDOW_BUSY_MAX - an owner that is busy for more than this part of the
   time, in percent, has no time for more.
   START_WINDOW_BUSY_MIN - the window grows only below this one.  */
#define START_WINDOW_MIN 48
#define START_WINDOW_MAX 8192
#define START_WINDOW_BUSY_MAX 90
#define START_WINDOW_BUSY_MIN 75

typedef struct start_window
{
  uint32_t size;
  bool bound; /* starts have waited for it since the last update */
} start_window_t;

/* start_window_update - adapt WINDOW to the owner's load in the last tenth of
   a second.  A window of zero is set to START_WINDOW_MIN.  */
void start_window_update (start_window_t *window, uint32_t busy_percent);

#endif
