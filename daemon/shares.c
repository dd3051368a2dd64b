#include "daemon.h"

static void
clear_team (team_runtime_t *team, void *ctx)
{
  (void)ctx;
  team->assigned_share = 0;
}

static void
clear_upstream (upstream_runtime_t *upstream, void *ctx)
{
  (void)ctx;
  upstream->assigned_share = 0;
}

static void
apply_share (escrow_t *escrow, uint32_t assigned, bool gate_open)
{
  uint32_t held = escrow_share (escrow);
  uint32_t share = share_effective (held, assigned, gate_open);

  if (share != held)
    escrow_set_share (escrow, share);
}

static void
apply_team_share (team_runtime_t *team, void *ctx)
{
  const bool *gate_open = ctx;

  apply_share (team->permits, team->assigned_share, *gate_open);
}

static void
apply_upstream_share (upstream_runtime_t *upstream, void *ctx)
{
  const bool *gate_open = ctx;

  apply_share (upstream->slots, upstream->assigned_share, *gate_open);
}

void
shares_apply (const view_t *view, bool gate_open)
{
  /* Teams and upstreams that the view no longer lists have no share.  */
  runtime_visit_teams (clear_team, NULL);
  runtime_visit_upstreams (clear_upstream, NULL);
  for (uint32_t i = 0; i < view->teams_count; i++)
    view->teams[i].runtime->assigned_share = view->teams[i].assigned_share;
  for (uint32_t i = 0; i < view->services_count; i++)
    for (uint32_t j = 0; j < view->services[i].upstreams_count; j++)
      view->services[i].upstreams[j].runtime->assigned_share
          = view->services[i].upstreams[j].assigned_share;
  runtime_visit_teams (apply_team_share, &gate_open);
  runtime_visit_upstreams (apply_upstream_share, &gate_open);
}

static void
check_team (team_runtime_t *team, void *ctx)
{
  bool *settled = ctx;

  *settled = *settled && escrow_free_count (team->permits) >= 0;
}

static void
check_upstream (upstream_runtime_t *upstream, void *ctx)
{
  bool *settled = ctx;

  *settled = *settled && escrow_free_count (upstream->slots) >= 0;
}

bool
shares_are_settled (void)
{
  bool settled = true;

  runtime_visit_teams (check_team, &settled);
  runtime_visit_upstreams (check_upstream, &settled);
  return settled;
}
