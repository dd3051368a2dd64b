#include "state.h"
#include <sodium.h>
#include <string.h>

const char *
verdict_name (verdict_t verdict)
{
  switch (verdict)
    {
    case VERDICT_APPLIED:
      return "applied";
    case VERDICT_REPEATED:
      return "repeated";
    case VERDICT_STALE:
      return "stale";
    case VERDICT_INVALID:
      return "invalid";
    case VERDICT_UNKNOWN:
      return "unknown";
    case VERDICT_BEHIND:
      return "behind";
    }
  return "invalid";
}

const char *
rec_kind_name (rec_kind_t kind)
{
  switch (kind)
    {
    case REC_CONFIG:
      return "config";
    case REC_KEY_GRANT:
      return "key-grant";
    case REC_KEY_WITHDRAW:
      return "key-withdraw";
    case REC_JOIN:
      return "join";
    case REC_LEAVE:
      return "leave";
    case REC_HOST_MOVE:
      return "host-move";
    case REC_DRAIN:
      return "drain";
    case REC_HOST_STATE:
      return "host-state";
    case REC_WAVE:
      return "wave";
    case REC_UNKNOWN:
      return "unknown";
    }
  return "unknown";
}

const char *
host_phase_name (host_phase_t phase)
{
  switch (phase)
    {
    case HOST_IN_SERVICE:
      return "in-service";
    case HOST_DRAINING:
      return "draining";
    case HOST_DRAINED:
      return "drained";
    case HOST_MAINTENANCE:
      return "maintenance";
    case HOST_FAILED:
      return "failed";
    }
  return "failed";
}

const char *
wave_phase_name (wave_phase_t phase)
{
  switch (phase)
    {
    case WAVE_IDLE:
      return "idle";
    case WAVE_RUNNING:
      return "running";
    case WAVE_PAUSED:
      return "paused";
    case WAVE_ABANDONED:
      return "abandoned";
    case WAVE_DONE:
      return "done";
    }
  return "idle";
}

void
rec_init (rec_t *rec, rec_kind_t kind, const char *author, int64_t now_ms)
{
  memset (rec, 0, sizeof *rec);
  rec->kind = kind;
  rec->required = true;
  rec->time_ms = now_ms;
  g_strlcpy (rec->author, author, sizeof rec->author);
  randombytes_buf (rec->id, sizeof rec->id);
}

void
rec_clear (rec_t *rec)
{
  if (rec->kind != REC_CONFIG)
    return;
  g_free (rec->u.config.text);
  fleet_free (rec->u.config.fleet);
  rec->u.config.text = NULL;
  rec->u.config.fleet = NULL;
}

static bool
check_digest (const char *digest, GError **error)
{
  if (strlen (digest) == KEY_DIGEST_HEX
      && strspn (digest, "0123456789abcdef") == KEY_DIGEST_HEX)
    return true;
  g_set_error (error, CONF_ERROR, CONF_ERROR_CHECK,
               "key-grant: digest: expected %d lower-case hexadecimal digits",
               KEY_DIGEST_HEX);
  return false;
}

static bool
check_name (rec_kind_t kind, const char *field, const char *name,
            GError **error)
{
  if (name[0])
    return true;
  g_set_error (error, CONF_ERROR, CONF_ERROR_CHECK,
               "%s: %s: expected a name, found none", rec_kind_name (kind),
               field);
  return false;
}

bool
rec_check (rec_t *rec, GError **error)
{
  switch (rec->kind)
    {
    case REC_CONFIG:
      if (rec->u.config.format != FLEET_FORMAT || rec->u.config.fleet)
        return true;
      rec->u.config.fleet
          = fleet_load ("fleet", rec->u.config.text, rec->u.config.len, error);
      return rec->u.config.fleet != NULL;
    case REC_KEY_GRANT:
      return check_name (rec->kind, "id", rec->u.key.id, error)
             && check_name (rec->kind, "team", rec->u.key.team, error)
             && check_digest (rec->u.key.digest, error);
    case REC_KEY_WITHDRAW:
      return check_name (rec->kind, "id", rec->u.key.id, error);
    case REC_JOIN:
    case REC_LEAVE:
      return check_name (rec->kind, "name", rec->u.entry.name, error);
    case REC_HOST_MOVE:
      return check_name (rec->kind, "host", rec->u.host_move.host, error)
             && check_name (rec->kind, "pool", rec->u.host_move.pool, error);
    case REC_DRAIN:
      return check_name (rec->kind, "host", rec->u.drain.host, error);
    case REC_HOST_STATE:
      return check_name (rec->kind, "host", rec->u.host_state.host, error);
    case REC_WAVE:
      return check_name (rec->kind, "wave", rec->u.wave.wave, error);
    case REC_UNKNOWN:
      return true;
    }
  return false;
}
