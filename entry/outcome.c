#include "entry.h"

append_outcome_t
outcome_add (append_outcome_t batch, append_outcome_t record)
{
  if (batch == APPEND_PENDING && record != APPEND_REFUSED)
    return record;
  if (record == APPEND_REFUSED)
    return batch;
  return batch == record ? batch : APPEND_UNKNOWN;
}
