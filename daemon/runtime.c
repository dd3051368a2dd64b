#include "daemon.h"

/* Runtime objects are looked up when a view is built, never while a request is
   processed, so one lock for all is enough.  They are never freed; their
   number is bounded by the names in the fleet files.  */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *teams;
static GHashTable *upstreams;
static GHashTable *services;

static GHashTable *
get_table (GHashTable **table)
{
  if (!*table)
    *table = g_hash_table_new (g_str_hash, g_str_equal);
  return *table;
}

team_runtime_t *
runtime_team (const char *name)
{
  team_runtime_t *team;

  pthread_mutex_lock (&lock);
  team = g_hash_table_lookup (get_table (&teams), name);
  if (!team)
    {
      team = g_new0 (team_runtime_t, 1);
      team->name = g_intern_string (name);
      team->permits = escrow_new ();
      g_hash_table_insert (teams, (gpointer)team->name, team);
    }
  pthread_mutex_unlock (&lock);
  return team;
}

upstream_runtime_t *
runtime_upstream (const char *name)
{
  upstream_runtime_t *upstream;

  pthread_mutex_lock (&lock);
  upstream = g_hash_table_lookup (get_table (&upstreams), name);
  if (!upstream)
    {
      upstream = g_new0 (upstream_runtime_t, 1);
      upstream->name = g_intern_string (name);
      upstream->slots = escrow_new ();
      g_hash_table_insert (upstreams, (gpointer)upstream->name, upstream);
    }
  pthread_mutex_unlock (&lock);
  return upstream;
}

service_runtime_t *
runtime_service (const char *name)
{
  service_runtime_t *service;

  pthread_mutex_lock (&lock);
  service = g_hash_table_lookup (get_table (&services), name);
  if (!service)
    {
      service = g_new0 (service_runtime_t, 1);
      service->name = g_intern_string (name);
      pthread_mutex_init (&service->lock, NULL);
      service->queue = queue_new (1);
      atomic_init (&service->retries.tenths, RETRY_TENTHS_START);
      g_hash_table_insert (services, (gpointer)service->name, service);
    }
  pthread_mutex_unlock (&lock);
  return service;
}

escrow_t *
runtime_permits (loan_kind_t kind, const char *name)
{
  const upstream_runtime_t *upstream = NULL;
  const team_runtime_t *team = NULL;

  pthread_mutex_lock (&lock);
  switch (kind)
    {
    case LOAN_TEAM:
      team = g_hash_table_lookup (get_table (&teams), name);
      break;
    case LOAN_UPSTREAM:
      upstream = g_hash_table_lookup (get_table (&upstreams), name);
      break;
    }
  pthread_mutex_unlock (&lock);
  if (team)
    return team->permits;
  return upstream ? upstream->slots : NULL;
}

void
runtime_visit_teams (void (*visit) (team_runtime_t *team, void *ctx),
                     void *ctx)
{
  GHashTableIter iter;
  gpointer team;

  pthread_mutex_lock (&lock);
  g_hash_table_iter_init (&iter, get_table (&teams));
  while (g_hash_table_iter_next (&iter, NULL, &team))
    visit (team, ctx);
  pthread_mutex_unlock (&lock);
}

void
runtime_visit_upstreams (void (*visit) (upstream_runtime_t *upstream,
                                        void *ctx),
                         void *ctx)
{
  GHashTableIter iter;
  gpointer upstream;

  pthread_mutex_lock (&lock);
  g_hash_table_iter_init (&iter, get_table (&upstreams));
  while (g_hash_table_iter_next (&iter, NULL, &upstream))
    visit (upstream, ctx);
  pthread_mutex_unlock (&lock);
}
