#include "daemon.h"
#include <stdlib.h>
#include <string.h>

sync_status_t sync_status;
static view_t *current;

const view_t *
view_get (void)
{
  return rcu_dereference (current);
}

static void
free_view (view_t *view)
{
  for (uint32_t i = 0; i < view->services_count; i++)
    g_free (view->services[i].upstreams);
  g_free (view->services);
  g_free (view->teams);
  g_free (view->data_centres);
  g_free (view->entry_hosts);
  key_index_free (view->keys);
  state_free (view->state);
  g_free (view);
}

static void
free_by_rcu (struct rcu_head *head)
{
  free_view (caa_container_of (head, view_t, rcu));
}

void
view_publish (view_t *view)
{
  view_t *old = current;

  rcu_assign_pointer (current, view);
  counter_add (COUNT_VIEWS_PUBLISHED, 1);
  if (old)
    call_rcu (&old->rcu, free_by_rcu);
}

static int
compare_services (const void *a, const void *b)
{
  const view_service_t *left = a;
  const view_service_t *right = b;

  return strcmp (left->rule->name, right->rule->name);
}

static int
compare_teams (const void *a, const void *b)
{
  const view_team_t *left = a;
  const view_team_t *right = b;

  return strcmp (left->rule->name, right->rule->name);
}

const view_service_t *
view_find_service (const view_t *view, const char *name)
{
  service_t rule = { .name = (char *)name };
  view_service_t wanted = { .rule = &rule };

  if (!view->services_count)
    return NULL;
  return bsearch (&wanted, view->services, view->services_count, sizeof wanted,
                  compare_services);
}

const view_team_t *
view_find_team (const view_t *view, const char *name)
{
  team_t rule = { .name = (char *)name };
  view_team_t wanted = { .rule = &rule };

  if (!view->teams_count)
    return NULL;
  return bsearch (&wanted, view->teams, view->teams_count, sizeof wanted,
                  compare_teams);
}

/* This daemon's share of TOTAL permits of RESOURCE, split over the entry hosts
   of DATA_CENTRE, or over all if it is NULL or has none.  */
static uint32_t
get_own_share (const view_t *view, const char *name, const char *resource,
               const char *data_centre, uint32_t total)
{
  const fleet_t *fleet = view->state->config->fleet;
  const char **hosts = g_new0 (const char *, fleet->entry_hosts_count + 1);
  uint32_t count = 0;
  uint32_t share;

  for (uint32_t i = 0; data_centre && i < fleet->entry_hosts_count; i++)
    if (strcmp (fleet->entry_hosts[i].data_centre, data_centre) == 0)
      hosts[count++] = fleet->entry_hosts[i].name;
  share = share_split (resource, total, count ? hosts : view->entry_hosts,
                       count ? count : view->entry_hosts_count, name);
  g_free (hosts);
  return share;
}

/* Whether the host NAME serves POOL now; a host of another pool, or one that
   is draining or in maintenance, gets no requests for it.  */
static bool
host_serves (const state_t *state, const char *name, const char *pool)
{
  const host_state_t *host = table_find (&state->hosts, name);

  /* A host that is missing from the platform's list is still tried: the list
     lags, and health checks detect a dead host.  */
  return host && strcmp (host->pool, pool) == 0
         && (host->phase == HOST_IN_SERVICE || host->phase == HOST_FAILED);
}

/* Number of connections that one event loop of this daemon may keep to an
   upstream that accepts TOTAL, such that all loops of all entry hosts together
   stay within TOTAL.  */
static uint32_t
get_own_connections (const fleet_t *fleet, uint32_t threads, uint32_t total)
{
  return MAX (1, total / MAX (1, fleet->entry_hosts_count * threads));
}

static void
add_service (view_t *view, const service_t *rule, const settings_t *settings)
{
  const fleet_t *fleet = view->state->config->fleet;
  view_service_t *service = &view->services[view->services_count++];

  service->rule = rule;
  service->runtime = runtime_service (rule->name);
  service->upstreams = g_new0 (view_upstream_t, fleet->upstreams_count);
  for (uint32_t i = 0; i < fleet->upstreams_count; i++)
    {
      const upstream_t *listed = &fleet->upstreams[i];
      const char *data_centre = fleet_upstream_data_centre (fleet, listed);
      view_upstream_t *upstream;

      if (strcmp (listed->service, rule->name) != 0)
        continue;
      upstream = &service->upstreams[service->upstreams_count++];
      upstream->rule = listed;
      upstream->runtime = runtime_upstream (listed->name);
      upstream->in_service
          = host_serves (view->state, listed->host, rule->pool);
      upstream->local = strcmp (data_centre, settings->data_centre) == 0;
      view->connections = MIN (
          view->connections,
          get_own_connections (fleet, settings->threads, listed->connections));
      upstream->assigned_share = get_own_share (
          view, settings->name, listed->name, data_centre, listed->slots);
    }
  pthread_mutex_lock (&service->runtime->lock);
  queue_set_max (service->runtime->queue, rule->queue_max);
  for (uint32_t i = 0; i < fleet->teams_count; i++)
    queue_team (service->runtime->queue, fleet->teams[i].name,
                fleet->teams[i].share);
  pthread_mutex_unlock (&service->runtime->lock);
  view->run_max_ms = MAX (view->run_max_ms,
                          (int64_t)rule->deadline_max_ms + rule->overrun_ms);
}

static void
add_entry_hosts (view_t *view, const fleet_t *fleet)
{
  view->entry_hosts = g_new0 (const char *, fleet->entry_hosts_count);
  view->data_centres = g_new0 (const char *, fleet->entry_hosts_count);
  for (uint32_t i = 0; i < fleet->entry_hosts_count; i++)
    {
      const entry_host_t *entry = &fleet->entry_hosts[i];
      bool known = false;

      view->entry_hosts[view->entry_hosts_count++] = entry->name;
      for (uint32_t j = 0; j < view->data_centres_count && !known; j++)
        known = strcmp (view->data_centres[j], entry->data_centre) == 0;
      if (!known)
        view->data_centres[view->data_centres_count++] = entry->data_centre;
    }
}

view_t *
view_new (state_t *state, const settings_t *settings)
{
  view_t *view = g_new0 (view_t, 1);
  const fleet_t *fleet;

  view->state = state;
  view->connections = UINT32_MAX;
  view->keys = key_index_new (state);
  if (!state->config)
    return view;
  fleet = state->config->fleet;
  add_entry_hosts (view, fleet);
  view->services = g_new0 (view_service_t, fleet->services_count);
  for (uint32_t i = 0; i < fleet->services_count; i++)
    add_service (view, &fleet->services[i], settings);
  if (view->services_count > 0)
    qsort (view->services, view->services_count, sizeof *view->services,
           compare_services);
  view->teams = g_new0 (view_team_t, fleet->teams_count);
  for (uint32_t i = 0; i < fleet->teams_count; i++)
    {
      view_team_t *team = &view->teams[view->teams_count++];

      team->rule = &fleet->teams[i];
      team->runtime = runtime_team (team->rule->name);
      team->assigned_share = get_own_share (
          view, settings->name, team->rule->name, NULL, team->rule->limit);
    }
  if (view->teams_count > 0)
    qsort (view->teams, view->teams_count, sizeof *view->teams, compare_teams);
  return view;
}

freshness_t
view_freshness (const view_t *view, int64_t now_us, int64_t grace_us)
{
  const member_list_t *members
      = sync_status.transport ? transport_members (sync_status.transport)
                              : NULL;
  freshness_inputs_t inputs = {
    .log_read_us = atomic_load (&sync_status.log_read_us),
    .log_failed_us = atomic_load (&sync_status.log_failed_us),
    .offset = atomic_load (&sync_status.offset),
    .data_centre = sync_status.data_centre ? sync_status.data_centre : "",
    .peers = members ? members->heartbeats : NULL,
    .peers_count = members ? members->count : 0,
    .data_centres = view->data_centres,
    .data_centres_count = view->data_centres_count,
  };

  if (atomic_load (&sync_status.behind))
    return STALE;
  return freshness_evaluate (&inputs, now_us, grace_us);
}
