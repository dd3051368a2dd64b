/* conf - the fleet file and a daemon's settings file

   NAME
     fleet, check, settings, schema, yamlload

   DESCRIPTION
     Both files are YAML.  A file is validated against a schema and a set of
     rules before any of it takes effect.  Errors name the file, the line and
     the field and say what was expected:

       fleet.yaml:12: hosts[3].rack: unknown rack "r9"

   ERRORS
     Functions set a GError in the domain CONF_ERROR.  */

#ifndef CUMINPIN_CONF_H
#define CUMINPIN_CONF_H

#include "base.h"

/* The validity rules of a format never change, so that all readers of that
   format agree on whether a file is valid.  */
#define FLEET_FORMAT 1

#define KEY_DIGEST_BYTES 32
#define KEY_DIGEST_HEX (2 * KEY_DIGEST_BYTES)
#define NAME_BYTES_MAX 63
#define FLEET_TEXT_BYTES_MAX (768 * 1024)

#define CONF_ERROR (conf_error_quark ())
GQuark conf_error_quark (void);

typedef enum conf_error
{
  CONF_ERROR_READ,   /* the file can't be read */
  CONF_ERROR_SCHEMA, /* not YAML, or it doesn't match the schema */
  CONF_ERROR_CHECK   /* matches the schema but breaks a rule */
} conf_error_t;

typedef struct data_centre
{
  char *name;
  char *region;
} data_centre_t;

typedef struct rack
{
  char *name;
  char *data_centre;
} rack_t;

/* The budgets limit how many hosts of a pool may be out of service at once
   through planned disruption and failures together.  budget_rack_hosts is the
   limit for each rack; 0 means no separate limit.  */
typedef struct pool
{
  char *name;
  uint32_t budget_hosts;
  uint32_t budget_rack_hosts;
  bool spare;
} pool_t;

typedef struct host
{
  char *name;
  char *rack;
  char *pool;
  uint32_t cpu_milli;
  uint32_t mem_mib;
  uint32_t accels;
} host_t;

typedef struct service
{
  char *name;
  char *pool;
  bool open;            /* no key needed */
  bool skip_id_match;   /* upstreams don't return X-Request-Id */
  bool cancel_on_close; /* upstreams stop work when the connection closes */
  uint32_t deadline_ms; /* for requests without a deadline */
  uint32_t deadline_max_ms;
  uint32_t overrun_ms; /* longest execution past the deadline */
  uint32_t stale_grace_ms;
  uint32_t queue_max; /* queued requests for each team */
} service_t;

typedef struct upstream
{
  char *name;
  char *service;
  char *host;
  char *address; /* numeric IP address */
  uint16_t port;
  uint32_t slots;
  uint32_t connections;
} upstream_t;

typedef struct team
{
  char *name;
  uint32_t share;
  uint32_t limit; /* concurrent requests in the whole fleet */
} team_t;

typedef struct key
{
  char *id;
  char *team;
  char *digest; /* KEY_DIGEST_HEX hexadecimal digits */
} team_key_t;

typedef struct entry_host
{
  char *name;
  char *data_centre;
  char *address;
  uint16_t peer_port;
} entry_host_t;

/* A maintenance wave takes every host of its pools through maintenance
   once.  */
typedef struct wave
{
  char *name;
  char **pools;
  uint32_t pools_count;
  uint32_t at_once; /* concurrent hosts; 0: limited by the budgets only */
} wave_t;

/* The inventory and rules of a fleet file.  Immutable after fleet_load.  */
typedef struct fleet
{
  uint32_t format;
  data_centre_t *data_centres;
  uint32_t data_centres_count;
  rack_t *racks;
  uint32_t racks_count;
  pool_t *pools;
  uint32_t pools_count;
  host_t *hosts;
  uint32_t hosts_count;
  service_t *services;
  uint32_t services_count;
  upstream_t *upstreams;
  uint32_t upstreams_count;
  team_t *teams;
  uint32_t teams_count;
  team_key_t *keys;
  uint32_t keys_count;
  entry_host_t *entry_hosts;
  uint32_t entry_hosts_count;
  wave_t *waves;
  uint32_t waves_count;
} fleet_t;

/* fleet_load - parse and validate the LEN bytes of TEXT; FILE is the name in
   errors.  NULL and *ERROR when the text is rejected.  Release with
   fleet_free.  */
fleet_t *fleet_load (const char *file, const char *text, size_t len,
                     GError **error);

/* fleet_read - fleet_load on the contents of the file PATH.  If TEXT is not
   NULL, *TEXT and *LEN receive the contents; release with g_free.  */
fleet_t *fleet_read (const char *path, char **text, size_t *len,
                     GError **error);

void fleet_free (fleet_t *fleet);

/* fleet_check - whether FLEET complies with all rules beyond the schema.  TEXT
   is used to find the line of an error.  */
bool fleet_check (const fleet_t *fleet, const char *file, const char *text,
                  size_t len, GError **error);

/* The fleet_find functions return NULL when the name is unknown.  */
const service_t *fleet_find_service (const fleet_t *fleet, const char *name);
const team_t *fleet_find_team (const fleet_t *fleet, const char *name);
const host_t *fleet_find_host (const fleet_t *fleet, const char *name);
const pool_t *fleet_find_pool (const fleet_t *fleet, const char *name);
const rack_t *fleet_find_rack (const fleet_t *fleet, const char *name);
const wave_t *fleet_find_wave (const fleet_t *fleet, const char *name);
const entry_host_t *fleet_find_entry_host (const fleet_t *fleet,
                                           const char *name);

/* wave_covers_pool - whether WAVE includes the hosts of POOL.  */
bool wave_covers_pool (const wave_t *wave, const char *pool);

/* fleet_upstream_data_centre - the data centre of UPSTREAM's host, or "" when
   the host is unknown.  */
const char *fleet_upstream_data_centre (const fleet_t *fleet,
                                        const upstream_t *upstream);

/* key_digest - the hexadecimal BLAKE2b-256 digest of the LEN bytes of KEY.  */
void key_digest (const char *key, size_t len, char hex[KEY_DIGEST_HEX + 1]);

/* The settings of one daemon.  */
typedef struct settings
{
  char *name; /* of an entry host in the fleet file */
  char *data_centre;
  char *address;       /* numeric IPv4 address to listen on */
  uint16_t port;       /* for clients; 0: chosen by the kernel */
  uint16_t admin_port; /* for operators; 0: chosen by the kernel */
  uint16_t peer_port;  /* for other daemons; 0: chosen by the kernel */
  char *platform;      /* URL of the platform's services */
  char *secret;        /* shared by all daemons */
  char *ready_file;    /* optional: receives the ports when ready */
  uint32_t threads;    /* threads that serve requests */
  uint32_t body_max_kib;
  uint32_t connections_max;
  uint32_t body_budget_kib; /* of all request bodies together */
  uint32_t request_max_ms;  /* from the headers to the end of the body */
  uint32_t drain_ms; /* from leaving the host list to closing the socket */
  uint32_t stop_ms;  /* timeout of a graceful stop */
  uint32_t host_settle_ms; /* a host must be gone or back this long */
  uint32_t host_quiet_ms;  /* drained after this long without requests */
  bool move_hosts;         /* move hosts between pools as planned */
  uint32_t seed_peers_count;
  char **seed_peers; /* IP:PORT, queried when the log is down at start */
} settings_t;

/* settings_load - parse and validate TEXT and fill in defaults.  When
   it is rejected, NULL and *ERROR.  Release with settings_free.  */
settings_t *settings_load (const char *file, const char *text, size_t len,
                           GError **error);

/* settings_read - settings_load on the contents of the file PATH.  */
settings_t *settings_read (const char *path, GError **error);

void settings_free (settings_t *settings);

#endif
