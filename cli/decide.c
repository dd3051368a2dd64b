#include "decide.h"
#include <string.h>

bool
wave_action_parse (const char *name, wave_action_t *action)
{
  static const char *const names[] = { [ACTION_START] = "start",
                                       [ACTION_PAUSE] = "pause",
                                       [ACTION_RESUME] = "resume",
                                       [ACTION_ABANDON] = "abandon" };

  for (uint32_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (name, names[i]) == 0)
      {
        *action = (wave_action_t)i;
        return true;
      }
  return false;
}

const char *
wave_next_phase (const wave_state_t *wave, wave_action_t action,
                 wave_phase_t *phase)
{
  if (!wave)
    return "the configuration has no wave of this name";
  switch (action)
    {
    case ACTION_START:
      *phase = WAVE_RUNNING;
      if (wave->phase == WAVE_RUNNING)
        return "the wave is running";
      return wave->phase == WAVE_PAUSED
                 ? "the wave is paused: resume or abandon it"
                 : NULL;
    case ACTION_PAUSE:
      *phase = WAVE_PAUSED;
      return wave->phase == WAVE_RUNNING ? NULL : "the wave is not running";
    case ACTION_RESUME:
      *phase = WAVE_RUNNING;
      return wave->phase == WAVE_PAUSED ? NULL : "the wave is not paused";
    case ACTION_ABANDON:
      *phase = WAVE_ABANDONED;
      return wave->phase == WAVE_RUNNING || wave->phase == WAVE_PAUSED
                 ? NULL
                 : "the wave is neither running nor paused";
    }
  return "unknown action";
}

static const char *
stale_message (rec_kind_t kind)
{
  switch (kind)
    {
    case REC_CONFIG:
      return "another operator published first";
    case REC_KEY_GRANT:
      return "a key with this id exists, or a key with this digest was "
             "granted "
             "before";
    case REC_KEY_WITHDRAW:
      return "the key is already withdrawn";
    case REC_WAVE:
      return "the wave was changed in the meantime, or another unfinished "
             "wave shares a pool with it";
    case REC_JOIN:
    case REC_LEAVE:
    case REC_HOST_MOVE:
    case REC_DRAIN:
    case REC_HOST_STATE:
    case REC_UNKNOWN:
      return "the object was changed in the meantime";
    }
  return "the object was changed in the meantime";
}

static const char *
invalid_message (rec_kind_t kind)
{
  switch (kind)
    {
    case REC_KEY_GRANT:
      return "the configuration has no team of this name";
    case REC_KEY_WITHDRAW:
      return "there is no key with this id";
    case REC_WAVE:
      return "the wave does not allow this action in its current phase";
    case REC_CONFIG:
    case REC_JOIN:
    case REC_LEAVE:
    case REC_HOST_MOVE:
    case REC_DRAIN:
    case REC_HOST_STATE:
    case REC_UNKNOWN:
      return "the record is not valid";
    }
  return "the record is not valid";
}

const char *
refusal_message (rec_kind_t kind, verdict_t verdict)
{
  switch (verdict)
    {
    case VERDICT_APPLIED:
      return NULL;
    case VERDICT_STALE:
      return stale_message (kind);
    case VERDICT_INVALID:
      return invalid_message (kind);
    case VERDICT_REPEATED:
    case VERDICT_UNKNOWN:
    case VERDICT_BEHIND:
      return verdict_name (verdict);
    }
  return verdict_name (verdict);
}

bool
name_is_valid (const char *name)
{
  size_t len = strlen (name);

  if (len == 0 || len > NAME_BYTES_MAX)
    return false;
  for (const char *c = name; *c; c++)
    if (!g_ascii_isalnum (*c) && !strchr ("-_.", *c))
      return false;
  return true;
}
