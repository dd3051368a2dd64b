/* cases - the review's cases; each returns 1 if the rule was broken, 0 if it
   held and 2 if it could not run.  */

#ifndef CASES_H
#define CASES_H

#include <stdint.h>

typedef struct case_entry
{
  const char *name;
  int (*run) (void);
} case_entry_t;

extern const case_entry_t cases[];
extern const uint32_t cases_count;

#endif
