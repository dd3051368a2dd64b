/* textdiff - line-based difference of two texts

   Private to the package.  */

#ifndef CUMINPIN_TEXTDIFF_H
#define CUMINPIN_TEXTDIFF_H

#include "base.h"

typedef struct line_change
{
  bool added;    /* otherwise removed */
  uint32_t line; /* line number in the text that contains it, from 1 */
  char *text;
} line_change_t;

/* text_diff - returns the changes from OLD to NEW in order, as an array of
   line_change_t.  The result is minimal unless the changed part is very large;
   then all its old lines are removed and all its new lines added.  */
GArray *text_diff (const char *old, const char *new);

#endif
