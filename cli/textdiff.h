/* textdiff - the lines by which two texts differ

   Private to the package.  */

#ifndef CUMINPIN_TEXTDIFF_H
#define CUMINPIN_TEXTDIFF_H

#include "base.h"

typedef struct line_change
{
  bool added;    /* else removed */
  uint32_t line; /* number in the text that has it, from 1 */
  char *text;
} line_change_t;

/* text_diff - the changes from OLD to NEW, in order; an array of
   line_change_t.  Shortest for texts of usual size; for very large changes
   everything between the first and the last difference.  */
GArray *text_diff (const char *old, const char *new);

#endif
