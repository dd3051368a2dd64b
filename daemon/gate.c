#include "exchange.h"
#include <string.h>

static const member_t *
find_member (const member_list_t *members, const char *name)
{
  for (uint32_t i = 0; members && i < members->count; i++)
    if (strcmp (members->members[i].name, name) == 0)
      return &members->members[i];
  return NULL;
}

/* A listed host that is gone is reported like an unlisted one: by now its view
   is stale or its process has ended.  */
static share_report_t
report_of (const member_list_t *members, const char *name, bool listed,
           int64_t now_us)
{
  const member_t *member = find_member (members, name);

  if (!member)
    return (share_report_t){ 0 };
  return member_report (
      member, listed && member_phase_at (member, now_us) != MEMBER_GONE);
}

/* Fills REPORTS for all other hosts that may hold shares and returns their
   number.  */
static uint32_t
list_reports (const gate_t *gate, const view_t *view, share_report_t *reports,
              int64_t now_us)
{
  const member_list_t *members = transport_members (gate->transport);
  const char *self = gate->settings->name;
  uint32_t count = 0;

  for (uint32_t i = 0; i < view->entry_hosts_count; i++)
    if (strcmp (view->entry_hosts[i], self) != 0)
      reports[count++]
          = report_of (members, view->entry_hosts[i], true, now_us);
  for (uint32_t i = 0; i < view->state->entries.count; i++)
    {
      const entry_state_t *entry = table_at (&view->state->entries, i);

      if (entry->left || strcmp (entry->name, self) == 0
          || fleet_find_entry_host (view->state->config->fleet, entry->name))
        continue;
      reports[count++] = report_of (members, entry->name, false, now_us);
    }
  return count;
}

/* Updates the gate to VIEW and to the end of the quarantine.  Nothing is
   logged while the end is unknown.  */
static void
set_gate (gate_t *gate, const view_t *view, int64_t now_us)
{
  int64_t wait_us
      = replica_quarantine_us (gate->replica, view->run_max_ms * 1000);
  int64_t hold_from_us
      = wait_us == INT64_MAX ? INT64_MAX : gate->started_us + wait_us;
  bool quarantined = now_us < hold_from_us;

  if (quarantined != gate->quarantined && wait_us != INT64_MAX)
    {
      event_log (quarantined ? EV_QUARANTINE_BEGAN : EV_QUARANTINE_ENDED,
                 "wait_ms=%" PRId64, wait_us / 1000);
      gate->quarantined = quarantined;
    }
  share_gate_set (&gate->share, state_config_version (view->state),
                  hold_from_us);
}

void
gate_init (gate_t *gate, const settings_t *settings, replica_t *replica,
           const transport_t *transport)
{
  *gate = (gate_t){ .settings = settings,
                    .replica = replica,
                    .transport = transport,
                    .started_us = clock_mono_us (),
                    .share.hold_from_us = INT64_MAX };
}

bool
gate_is_open (gate_t *gate, const view_t *view, int64_t now_us)
{
  share_report_t *reports = g_new0 (
      share_report_t, view->entry_hosts_count + view->state->entries.count);
  uint32_t count = list_reports (gate, view, reports, now_us);
  bool open;

  set_gate (gate, view, now_us);
  open = share_gate_is_open (&gate->share, reports, count, now_us,
                             share_outstanding_us (view->run_max_ms * 1000),
                             view->grace_max_ms * 1000);
  g_free (reports);
  return open;
}
