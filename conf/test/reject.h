/* reject - tables of bad texts, each made from a good one by one change, and
   the whole error that each must give: file, line, field, what was expected */

#ifndef CUMINPIN_CONF_REJECT_H
#define CUMINPIN_CONF_REJECT_H

#include "../../test/run_suite.h"
#include "conf.h"
#include <string.h>

#define DIGEST_1                                                              \
  "1111111111111111111111111111111111111111111111111111111111111111"
#define DIGEST_2                                                              \
  "2222222222222222222222222222222222222222222222222222222222222222"

/* A name or number in a list stands on a line of its own, so that an error
   that gives the line of its entry only is found.  */
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
  const char *from; /* replaced in the good text; NULL: all of it */
  const char *to;
  const char *error;
} reject_case_t;

/* Loads TEXT, releases what it gives, and returns the error or NULL.  */
typedef GError *reject_load_t (const char *text, size_t len);

static inline GError *
reject_load_fleet (const char *text, size_t len)
{
  GError *error = NULL;

  fleet_free (fleet_load ("f.yaml", text, len, &error));
  return error;
}

static inline char *
reject_change (const char *good, const reject_case_t *c)
{
  const char *at = c->from ? strstr (good, c->from) : good;
  size_t from_len = c->from ? strlen (c->from) : strlen (good);

  ck_assert_msg (at != NULL, "the good text lacks: %s", c->from);
  return g_strdup_printf ("%.*s%s%s", (int)(at - good), good, c->to,
                          at + from_len);
}

static inline void
reject_all (reject_load_t *load, const char *good, int code,
            const reject_case_t *cases, size_t count)
{
  g_autoptr (GError) none = load (good, strlen (good));

  ck_assert_msg (!none, "%s", none ? none->message : "");
  for (size_t i = 0; i < count; i++)
    {
      g_autofree char *text = reject_change (good, &cases[i]);
      g_autoptr (GError) error = load (text, strlen (text));

      ck_assert_msg (error != NULL, "accepted: %s", cases[i].to);
      ck_assert_str_eq (error->message, cases[i].error);
      ck_assert (g_error_matches (error, CONF_ERROR, code));
    }
}

#endif
