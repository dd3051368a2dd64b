/* Guards against a text that doesn't match the schema and is accepted, and
   against errors that don't name the line, the field and what was expected. */

#include "reject.h"

#define NUMBER "expected a whole number from 0 to 4294967295, found "

static const reject_case_t cases[] = {
  { "share: 3", "shaer: 3",
    "f.yaml:33: teams[0].shaer: unknown field, expected one of name, share, "
    "limit" },
  { "share: 3", "\"share\\0x\": 3",
    "f.yaml:33: teams[0].share: unknown field, expected one of name, share, "
    "limit" },
  { "    share: 3\n", "",
    "f.yaml:32: teams[0].share: expected this field, found none" },
  { "format: 1\n", "", "f.yaml:1: format: expected this field, found none" },
  { "share: 3", "share: 3\n    share: 3",
    "f.yaml:34: teams[0].share: expected the field once, found it again" },
  { "share: 3", "share: many",
    "f.yaml:33: teams[0].share: " NUMBER "\"many\"" },
  { "share: 3", "share: 1.5", "f.yaml:33: teams[0].share: " NUMBER "\"1.5\"" },
  { "share: 3", "share: -1", "f.yaml:33: teams[0].share: " NUMBER "\"-1\"" },
  { "share: 3", "share: 4294967296",
    "f.yaml:33: teams[0].share: " NUMBER "\"4294967296\"" },
  { "share: 3", "share:", "f.yaml:33: teams[0].share: " NUMBER "nothing" },
  { "share: 3", "share: [3]", "f.yaml:33: teams[0].share: " NUMBER "a list" },
  { "port: 9", "port: 65536",
    "f.yaml:28: upstreams[0].port: expected a whole number from 0 to 65535, "
    "found \"65536\"" },
  { "spare: true", "spare: perhaps",
    "f.yaml:13: pools[1].spare: expected true or false, found \"perhaps\"" },
  { "name: q", "name: {x: y}",
    "f.yaml:10: pools[1].name: expected text, found a mapping" },
  { "name: q", "name: ''",
    "f.yaml:10: pools[1].name: expected 1 to 63 bytes, found 0" },
  { "name: q", "name: " DIGEST_1,
    "f.yaml:10: pools[1].name: expected 1 to 63 bytes, found 64" },
  { "name: q", "name: \"q\\0x\"",
    "f.yaml:10: pools[1].name: expected text, found a NUL byte" },
  { DIGEST_2, "2222",
    "f.yaml:39: keys[1].digest: expected 64 bytes, found 4" },
  { "  - {name: p, budget_hosts: 1}", "  - p",
    "f.yaml:9: pools[0]: expected a mapping, found \"p\"" },
  { "[p, q]", "p", "f.yaml:47: waves[0].pools: expected a list, found \"p\"" },
  { "[p, q]", "[]",
    "f.yaml:47: waves[0].pools: expected 1 to 100000 entries, found 0" },
  { "[p, q]", "[p, [q]]",
    "f.yaml:47: waves[0].pools[1]: expected text, found a list" },
  { "share: 3", "share: &x 3",
    "f.yaml:33: expected plain YAML, found an alias, an anchor or a tag" },
  { "[p, q]\n", "[p, q]\n---\nformat: 1\n",
    "f.yaml:49: expected one document, found another" },
  { "region: r", "region: \xe9",
    "f.yaml:3: expected YAML text: invalid trailing UTF-8 octet" },
  { "    share: 3", "\tshare: 3",
    "f.yaml:33: expected YAML text: found a tab character that violates "
    "indentation" },
  { "[p, q]", "[p, q",
    "f.yaml:48: expected YAML text: did not find expected ',' or ']'" },
  { NULL, "", "f.yaml:1: expected YAML text, found an empty file" },
  { NULL, "# x\n", "f.yaml:1: expected YAML text, found only comments" },
  { NULL, "hello", "f.yaml:1: expected a mapping, found \"hello\"" },
  { NULL, "- 1", "f.yaml:1: expected a mapping, found a list" },
};

START_TEST (schema_errors_name_line_and_field)
{
  reject_all (reject_load_fleet, reject_fleet, CONF_ERROR_SCHEMA, cases,
              G_N_ELEMENTS (cases));
}
END_TEST

START_TEST (nul_byte_is_rejected)
{
  static const char text[] = "format: 1\n\0pools: []\n";
  g_autoptr (GError) error = reject_load_fleet (text, sizeof text - 1);

  ck_assert_ptr_nonnull (error);
  ck_assert_str_eq (error->message,
                    "f.yaml:1: expected YAML text, found a NUL byte");
}
END_TEST

/* Guards against reads past the end of the text: AddressSanitizer detects them
   in the exact-size copy.  A truncated text is either valid or rejected with a
   line.  */
START_TEST (truncated_text_is_not_read_past_its_end)
{
  size_t len = strlen (reject_fleet);

  for (size_t prefix_len = 0; prefix_len < len; prefix_len++)
    {
      char *text = g_memdup2 (reject_fleet, prefix_len);
      g_autoptr (GError) error = reject_load_fleet (text, prefix_len);

      ck_assert (!error || g_str_has_prefix (error->message, "f.yaml:"));
      g_free (text);
    }
}
END_TEST

TEST_PROGRAM ("schema", schema_errors_name_line_and_field,
              nul_byte_is_rejected, truncated_text_is_not_read_past_its_end)
