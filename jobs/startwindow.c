#include "startwindow.h"
#include <glib.h>

void
start_window_update (start_window_t *window, uint32_t busy_percent)
{
  uint32_t size = MAX (window->size, START_WINDOW_MIN);

  if (busy_percent > START_WINDOW_BUSY_MAX)
    size = MAX (size / 4 * 3, START_WINDOW_MIN);
  else if (window->bound && busy_percent < START_WINDOW_BUSY_MIN)
    size = MIN (size + size / 2, START_WINDOW_MAX);
  window->size = size;
  window->bound = false;
}
