/* Guards against a fleet file that breaks a rule and is accepted, and against
   errors that name the wrong line or field.  */

#include "reject.h"

static const reject_case_t cases[] = {
  { "format: 1", "format: 2", "f.yaml:1: format: expected 1, found 2" },
  { "format: 1", "\nformat: 0", "f.yaml:2: format: expected 1, found 0" },
  { "name: h2", "name: h1\n    accels: 1",
    "f.yaml:19: hosts[1].pool: expected host \"h1\" in one pool, found it in "
    "\"p\" and \"q\"" },
  { "h2\n    rack: r2\n    pool: q", "h1\n    rack: r2\n    pool: p",
    "f.yaml:16: hosts[1].name: expected a unique name, found \"h1\" "
    "again" },
  { "name: r2", "name: r1",
    "f.yaml:6: racks[1].name: expected a unique name, found \"r1\" "
    "again" },
  { "name: q", "name: q/x",
    "f.yaml:10: pools[1].name: expected letters, digits, \"-\", \"_\" or "
    "\".\", found \"q/x\"" },
  { "budget_hosts: 0", "budget_hosts: 2",
    "f.yaml:11: pools[1].budget_hosts: expected at most the pool's 1 hosts, "
    "found 2" },
  { "budget_rack_hosts: 0", "budget_rack_hosts: 1",
    "f.yaml:12: pools[1].budget_rack_hosts: expected at most budget_hosts "
    "(0), found 1" },
  { "data_centre: d\npools", "data_centre: x\npools",
    "f.yaml:7: racks[1].data_centre: expected a known data_centre, found "
    "\"x\"" },
  { "rack: r2", "rack: r9",
    "f.yaml:17: hosts[1].rack: expected a known rack, found \"r9\"" },
  { "pool: q", "pool: z",
    "f.yaml:18: hosts[1].pool: expected a known pool, found \"z\"" },
  { "pool: p\n    dead", "pool: z\n    dead",
    "f.yaml:21: services[0].pool: expected a known pool, found \"z\"" },
  { "deadline_ms: 5", "deadline_ms: 30001",
    "f.yaml:22: services[0].deadline_ms: expected a number from 1 to 30000, "
    "found 30001" },
  { "deadline_ms: 5", "deadline_max_ms: 3600001",
    "f.yaml:22: services[0].deadline_max_ms: expected a number from 1 to "
    "3600000, found 3600001" },
  { "deadline_ms: 5", "queue_max: 100001",
    "f.yaml:22: services[0].queue_max: expected a number from 1 to 100000, "
    "found 100001" },
  { "deadline_ms: 5", "stale_grace_ms: 600001",
    "f.yaml:22: services[0].stale_grace_ms: expected a number from 0 to "
    "600000, found 600001" },
  { "service: s", "service: x",
    "f.yaml:25: upstreams[0].service: expected a known service, found "
    "\"x\"" },
  { "host: h1", "host: x",
    "f.yaml:26: upstreams[0].host: expected a known host, found \"x\"" },
  { "address: 127.0.0.1", "address: localhost",
    "f.yaml:27: upstreams[0].address: expected an IP address, found "
    "\"localhost\"" },
  { "address: 127.0.0.1", "address: 127.0.0.256",
    "f.yaml:27: upstreams[0].address: expected an IP address, found "
    "\"127.0.0.256\"" },
  { "port: 9", "port: 0",
    "f.yaml:28: upstreams[0].port: expected a number from 1 to 65535, found "
    "0" },
  { "slots: 8", "slots: 10001",
    "f.yaml:29: upstreams[0].slots: expected a number from 1 to 10000, found "
    "10001" },
  { "connections: 64", "connections: 7",
    "f.yaml:30: upstreams[0].connections: expected a number from 8 to 100000, "
    "found 7" },
  { "share: 3", "share: 0",
    "f.yaml:33: teams[0].share: expected a number from 1 to 1000000, found "
    "0" },
  { "limit: 4", "limit: 0",
    "f.yaml:34: teams[0].limit: expected a number from 1 to 1000000, found "
    "0" },
  { "id: k2", "id: k1",
    "f.yaml:37: keys[1].id: expected a unique name, found \"k1\" again" },
  { "team: t\n", "team: x\n",
    "f.yaml:38: keys[1].team: expected a known team, found \"x\"" },
  { DIGEST_2,
    "A222222222222222222222222222222222222222222222222222222222222222",
    "f.yaml:39: keys[1].digest: expected 64 lower-case hexadecimal digits" },
  { DIGEST_2, DIGEST_1,
    "f.yaml:39: keys[1].digest: expected a unique digest, found a "
    "duplicate" },
  { "data_centre: d\n    address", "data_centre: x\n    address",
    "f.yaml:42: entry_hosts[0].data_centre: expected a known data_centre, "
    "found \"x\"" },
  { "127.0.0.1\n    peer", "\"::x\"\n    peer",
    "f.yaml:43: entry_hosts[0].address: expected an IP address, found "
    "\"::x\"" },
  { "peer_port: 7", "peer_port: 0",
    "f.yaml:44: entry_hosts[0].peer_port: expected a number from 1 to 65535, "
    "found 0" },
  { "[p, q]", "[p, z]",
    "f.yaml:47: waves[0].pools: expected known pools, found \"z\"" },
  { "name: w", "name: \"w\\nx\"",
    "f.yaml:46: waves[0].name: expected letters, digits, \"-\", \"_\" or "
    "\".\", found \"w?x\"" },
};

START_TEST (rule_errors_name_line_and_field)
{
  reject_all (reject_load_fleet, reject_fleet, CONF_ERROR_CHECK, cases,
              G_N_ELEMENTS (cases));
}
END_TEST

TEST_PROGRAM ("check", rule_errors_name_line_and_field)
