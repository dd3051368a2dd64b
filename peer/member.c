#include "peer.h"
#include <string.h>

struct members
{
  GArray *list; /* member_t */
};

const char *
member_phase_name (member_phase_t phase)
{
  switch (phase)
    {
    case MEMBER_ALIVE:
      return "alive";
    case MEMBER_SUSPECT:
      return "suspect";
    case MEMBER_GONE:
      break;
    }
  return "gone";
}

members_t *
members_new (void)
{
  members_t *members = g_new0 (members_t, 1);

  members->list = g_array_new (FALSE, TRUE, sizeof (member_t));
  return members;
}

void
members_free (members_t *members)
{
  g_array_free (members->list, TRUE);
  g_free (members);
}

static member_t *
find_member (const members_t *members, const char *name)
{
  for (guint i = 0; i < members->list->len; i++)
    {
      member_t *member = &g_array_index (members->list, member_t, i);

      if (strcmp (member->name, name) == 0)
        return member;
    }
  return NULL;
}

bool
members_register (members_t *members, const char *name,
                  const char *data_centre, uint64_t incarnation)
{
  member_t *member = find_member (members, name);
  member_t new_member = { .name = g_intern_string (name),
                          .data_centre = g_intern_string (data_centre),
                          .incarnation = incarnation };

  if (!member)
    g_array_append_val (members->list, new_member);
  else if (incarnation < member->incarnation)
    return false;
  else if (incarnation > member->incarnation)
    *member = new_member;
  return true;
}

bool
members_update (members_t *members, const char *name, uint64_t incarnation,
                const msg_heartbeat_t *heartbeat, int64_t now_us)
{
  member_t *member = find_member (members, name);
  int64_t age_us;
  bool changed;

  if (!member || member->incarnation != incarnation)
    return false;
  changed = heartbeat->config_version > member->config_version
            || heartbeat->settled_version > member->settled_version;
  member->config_version
      = MAX (member->config_version, heartbeat->config_version);
  member->settled_version
      = MAX (member->settled_version, heartbeat->settled_version);
  member->offset = MAX (member->offset, heartbeat->offset);
  if (heartbeat->echo_us <= 0 || heartbeat->echo_us > now_us)
    return changed;
  member->heard_us = MAX (member->heard_us, heartbeat->echo_us);
  member->suspect = member_phase_at (member, now_us) != MEMBER_ALIVE;
  if (heartbeat->log_age_ms >= (uint64_t)heartbeat->echo_us / 1000)
    return changed;
  age_us = (int64_t)heartbeat->log_age_ms * 1000;
  member->log_read_us = MAX (member->log_read_us, heartbeat->echo_us - age_us);
  return changed;
}

void
members_set_connected (members_t *members, const char *name, bool connected)
{
  member_t *member = find_member (members, name);

  if (member)
    member->connected = connected;
}

uint32_t
members_count (const members_t *members)
{
  return members->list->len;
}

const member_t *
members_at (const members_t *members, uint32_t index)
{
  return &g_array_index (members->list, member_t, index);
}

const member_t *
members_next_suspect (members_t *members, int64_t now_us)
{
  for (guint i = 0; i < members->list->len; i++)
    {
      member_t *member = &g_array_index (members->list, member_t, i);

      if (member->suspect || member->heard_us == 0
          || member_phase_at (member, now_us) == MEMBER_ALIVE)
        continue;
      member->suspect = true;
      return member;
    }
  return NULL;
}

member_phase_t
member_phase_at (const member_t *member, int64_t now_us)
{
  int64_t age_us = now_us - member->heard_us;

  if (member->heard_us == 0 || age_us > GONE_AFTER_US)
    return MEMBER_GONE;
  return age_us > SUSPECT_AFTER_US ? MEMBER_SUSPECT : MEMBER_ALIVE;
}

peer_heartbeat_t
member_heartbeat (const member_t *member)
{
  return (peer_heartbeat_t){ .data_centre = member->data_centre,
                             .heard_us = member->heard_us,
                             .log_read_us = member->log_read_us,
                             .offset = member->offset };
}

share_report_t
member_report (const member_t *member, bool listed)
{
  return (share_report_t){ .version = member->config_version,
                           .settled = member->settled_version,
                           .listed = listed };
}
