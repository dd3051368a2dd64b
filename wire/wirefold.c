#include "wire.h"
#include <string.h>

verdict_t
wire_fold (state_t *state, const void *data, size_t len, uint64_t offset,
           uint8_t id[REC_ID_BYTES], GError **error)
{
  verdict_t verdict = VERDICT_INVALID;
  rec_t rec;

  if (id)
    memset (id, 0, REC_ID_BYTES);
  if (!wire_decode_rec (data, len, &rec, error))
    {
      state->offset = MAX (state->offset, offset + 1);
      return VERDICT_INVALID;
    }
  if (id)
    memcpy (id, rec.id, REC_ID_BYTES);
  if (rec_check (&rec, error))
    verdict = state_fold (state, &rec, offset);
  else
    state->offset = MAX (state->offset, offset + 1);
  rec_clear (&rec);
  return verdict;
}
