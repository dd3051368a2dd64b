/* reject - tables of invalid files, each a valid file with a single change,
   and the complete error message that each must cause: file, line, field and
   what was expected  */

#ifndef CUMINPIN_CONF_REJECT_H
#define CUMINPIN_CONF_REJECT_H

#include "../../test/run_suite.h"
#include "conf.h"
#include <string.h>

#define DIGEST_1                                                              \
  "1111111111111111111111111111111111111111111111111111111111111111"
#define DIGEST_2                                                              \
  "2222222222222222222222222222222222222222222222222222222222222222"

/* A valid fleet file.  Fields that the tests change are on a line of their
   own, so that an error with the line of the entry instead of the field is
   found. */
static const char reject_fleet[]
    = "format: 1\n"
      "data_centres:\n"
      "  - {name: d, region: r}\n"
      "racks:\n"
      "  - {name: r1, data_centre: d}\n"
      "  - name: r2\n"
      "    data_centre: d\n"
      "pools:\n"
      "  - {name: p, budget_hosts: 1}\n"
      "  - name: q\n"
      "    budget_hosts: 0\n"
      "    budget_rack_hosts: 0\n"
      "    spare: true\n"
      "hosts:\n"
      "  - {name: h1, rack: r1, pool: p}\n"
      "  - name: h2\n"
      "    rack: r2\n"
      "    pool: q\n"
      "services:\n"
      "  - name: s\n"
      "    pool: p\n"
      "    deadline_ms: 5\n"
      "upstreams:\n"
      "  - name: u\n"
      "    service: s\n"
      "    host: h1\n"
      "    address: 127.0.0.1\n"
      "    port: 9\n"
      "    slots: 8\n"
      "    connections: 64\n"
      "teams:\n"
      "  - name: t\n"
      "    share: 3\n"
      "    limit: 4\n"
      "keys:\n"
      "  - {id: k1, team: t, digest: " DIGEST_1 "}\n"
      "  - id: k2\n"
      "    team: t\n"
      "    digest: " DIGEST_2 "\n"
      "entry_hosts:\n"
      "  - name: e1\n"
      "    data_centre: d\n"
      "    address: 127.0.0.1\n"
      "    peer_port: 7\n"
      "waves:\n"
      "  - name: w\n"
      "    pools: [p, q]\n";

typedef struct reject_case
{
  const char *from; /* replaced in the valid text; NULL: the whole text */
  const char *to;
  const char *error;
} reject_case_t;

/* Loads TEXT, releases the result, and returns the error or NULL.  */
typedef GError *reject_load_t (const char *text, size_t len);

static inline GError *
reject_load_fleet (const char *text, size_t len)
{
  GError *error = NULL;

  fleet_free (fleet_load ("f.yaml", text, len, &error));
  return error;
}

static inline char *
reject_change (const char *valid, const reject_case_t *c)
{
  const char *at = c->from ? strstr (valid, c->from) : valid;
  size_t from_len = c->from ? strlen (c->from) : strlen (valid);

  ck_assert_msg (at != NULL, "the valid text lacks: %s", c->from);
  return g_strdup_printf ("%.*s%s%s", (int)(at - valid), valid, c->to,
                          at + from_len);
}

static inline void
reject_all (reject_load_t *load, const char *valid, int code,
            const reject_case_t *cases, size_t count)
{
  g_autoptr (GError) none = load (valid, strlen (valid));

  ck_assert_msg (!none, "%s", none ? none->message : "");
  for (size_t i = 0; i < count; i++)
    {
      g_autofree char *text = reject_change (valid, &cases[i]);
      g_autoptr (GError) error = load (text, strlen (text));

      ck_assert_msg (error != NULL, "accepted: %s", cases[i].to);
      ck_assert_str_eq (error->message, cases[i].error);
      ck_assert (g_error_matches (error, CONF_ERROR, code));
    }
}

#endif
