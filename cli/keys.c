#include "cli.h"
#include "decide.h"
#include "output.h"
#include "session.h"
#include <sodium.h>
#include <string.h>

#define KEY_BYTES 32
#define KEY_TEXT_BYTES                                                        \
  sodium_base64_ENCODED_LEN (KEY_BYTES,                                       \
                             sodium_base64_VARIANT_URLSAFE_NO_PADDING)

/* Longest key that digest reads; a longer one does not fit into a header.  */
#define KEY_INPUT_MAX 4096

/* Appends REC; reports a failure or a refusal.  Returns whether REC was
   applied.  */
static bool
commit_record (const cli_t *cli, const rec_t *rec)
{
  g_autoptr (GError) error = NULL;
  session_t *session = session_open (cli->platform, 0, &error);
  const char *refusal = NULL;
  verdict_t verdict;

  if (!session || !session_commit (session, rec, &verdict, &error))
    refusal = error->message;
  else
    refusal = refusal_message (rec->kind, verdict);
  if (refusal)
    output_fail (cli, "%s", refusal);
  session_close (session);
  return !refusal;
}

/* Prints the key only after its record was applied; otherwise the key is
   discarded, and the next attempt generates another.  */
cli_status_t
verb_grant (const cli_t *cli)
{
  uint8_t secret[KEY_BYTES];
  char key[KEY_TEXT_BYTES];
  cli_status_t status = CLI_REFUSED;
  rec_t rec;

  if (!name_is_valid (cli->args[0]) || !name_is_valid (cli->args[1]))
    return output_fail (cli, "expected names of letters, digits, \"-\", \"_\" "
                             "or \".\"");
  randombytes_buf (secret, sizeof secret);
  sodium_bin2base64 (key, sizeof key, secret, sizeof secret,
                     sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  rec_init (&rec, REC_KEY_GRANT, cli->author, clock_wall_ms ());
  g_strlcpy (rec.u.key.team, cli->args[0], sizeof rec.u.key.team);
  g_strlcpy (rec.u.key.id, cli->args[1], sizeof rec.u.key.id);
  key_digest (key, strlen (key), rec.u.key.digest);
  if (commit_record (cli, &rec))
    status = output_done (cli,
                          json_pack ("{s:s,s:s,s:s}", "team", rec.u.key.team,
                                     "id", rec.u.key.id, "key", key),
                          "%s", key);
  sodium_memzero (secret, sizeof secret);
  sodium_memzero (key, sizeof key);
  return status;
}

cli_status_t
verb_withdraw (const cli_t *cli)
{
  rec_t rec;

  if (!name_is_valid (cli->args[0]))
    return output_fail (cli, "there is no key with this id");
  rec_init (&rec, REC_KEY_WITHDRAW, cli->author, clock_wall_ms ());
  g_strlcpy (rec.u.key.id, cli->args[0], sizeof rec.u.key.id);
  if (!commit_record (cli, &rec))
    return CLI_REFUSED;
  return output_done (cli, json_pack ("{s:s}", "withdrawn", rec.u.key.id),
                      "key \"%s\" is withdrawn", rec.u.key.id);
}

cli_status_t
verb_digest (const cli_t *cli)
{
  char key[KEY_INPUT_MAX + 2];
  char hex[KEY_DIGEST_HEX + 1];
  size_t len = fread (key, 1, sizeof key, cli->in);

  if (len > 0 && key[len - 1] == '\n')
    len--;
  if (len > 0 && key[len - 1] == '\r')
    len--;
  if (len == 0 || len > KEY_INPUT_MAX || memchr (key, '\n', len))
    return output_fail (cli,
                        "expected a key of at most %d bytes on one line of "
                        "standard input",
                        KEY_INPUT_MAX);
  key_digest (key, len, hex);
  sodium_memzero (key, sizeof key);
  return output_done (cli, json_pack ("{s:s}", "digest", hex), "%s", hex);
}
