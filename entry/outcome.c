#include "entry.h"

append_outcome_t
outcome_add (append_outcome_t batch, append_outcome_t record)
{
  if (batch == APPEND_PENDING)
    return record;
  return batch == record ? batch : APPEND_UNKNOWN;
}
