#include "conn.h"
#include <string.h>

/* The proof names its sender, so that it can't be sent back to it.  */
static void
make_proof (const transport_t *transport, const msg_hello_t *from,
            const msg_hello_t *to, uint8_t tag[MSG_PROOF_BYTES])
{
  crypto_generichash_state state;
  uint64_t incarnation = GUINT64_TO_BE (from->incarnation);

  crypto_generichash_init (&state, transport->key, sizeof transport->key,
                           MSG_PROOF_BYTES);
  crypto_generichash_update (&state, (const uint8_t *)from->name,
                             sizeof from->name);
  crypto_generichash_update (&state, (const uint8_t *)from->data_centre,
                             sizeof from->data_centre);
  crypto_generichash_update (&state, (const uint8_t *)&incarnation,
                             sizeof incarnation);
  crypto_generichash_update (&state, from->nonce, sizeof from->nonce);
  crypto_generichash_update (&state, to->nonce, sizeof to->nonce);
  crypto_generichash_final (&state, tag, MSG_PROOF_BYTES);
}

static void
refuse (conn_t *conn, const char *reason)
{
  apr_sockaddr_t *address;
  char ip[64] = "unknown";

  if (apr_socket_addr_get (&address, APR_REMOTE, conn->sock) == APR_SUCCESS)
    apr_sockaddr_ip_getbuf (ip, sizeof ip, address);
  counter_add (COUNT_PEER_REFUSED, 1);
  event_log (EV_PEER_REFUSED, "peer=%s address=%s reason=%s",
             conn->theirs.name[0] ? conn->theirs.name : "unknown", ip, reason);
  conn_close (conn, reason);
}

void
handshake_begin (conn_t *conn)
{
  const transport_config_t *config = &conn->transport->config;
  msg_t msg = { .kind = MSG_HELLO };
  g_autoptr (GBytes) frame = NULL;

  conn->phase = CONN_HELLO;
  conn->own.protocol = PEER_PROTOCOL;
  g_strlcpy (conn->own.name, config->name, sizeof conn->own.name);
  g_strlcpy (conn->own.data_centre, config->data_centre,
             sizeof conn->own.data_centre);
  conn->own.incarnation = config->incarnation;
  randombytes_buf (conn->own.nonce, sizeof conn->own.nonce);
  msg.u.hello = conn->own;
  frame = frame_new (&msg);
  conn_queue (conn, frame);
}

/* Whether NAME can be logged and kept: it comes from nobody known yet.  */
static bool
is_plain (const char *name)
{
  if (!*name)
    return false;
  for (; *name; name++)
    if (!g_ascii_isalnum (*name) && !strchr ("-_.", *name))
      return false;
  return true;
}

static void
take_hello (conn_t *conn, const msg_hello_t *hello)
{
  msg_t msg = { .kind = MSG_PROOF };
  g_autoptr (GBytes) frame = NULL;

  if (!is_plain (hello->name) || !is_plain (hello->data_centre))
    {
      refuse (conn, "name");
      return;
    }
  conn->theirs = *hello;
  if (hello->protocol != PEER_PROTOCOL)
    {
      refuse (conn, "protocol");
      return;
    }
  if (strcmp (hello->name, conn->own.name) == 0)
    {
      /* A seed may be this daemon's own address.  */
      if (hello->incarnation == conn->own.incarnation)
        conn_close (conn, "self");
      else
        refuse (conn, "own-name");
      return;
    }
  conn->phase = CONN_PROOF;
  make_proof (conn->transport, &conn->own, &conn->theirs, msg.u.proof.tag);
  frame = frame_new (&msg);
  conn_queue (conn, frame);
}

static void
take_proof (conn_t *conn, const msg_proof_t *proof, int64_t now_us)
{
  uint8_t tag[MSG_PROOF_BYTES];

  make_proof (conn->transport, &conn->theirs, &conn->own, tag);
  if (sodium_memcmp (tag, proof->tag, sizeof tag) != 0)
    refuse (conn, "secret");
  else
    link_adopt (conn->transport, conn, now_us);
}

void
handshake_take (conn_t *conn, const msg_t *msg, int64_t now_us)
{
  if (conn->phase == CONN_HELLO && msg->kind == MSG_HELLO)
    take_hello (conn, &msg->u.hello);
  else if (conn->phase == CONN_PROOF && msg->kind == MSG_PROOF)
    take_proof (conn, &msg->u.proof, now_us);
  else
    refuse (conn, "handshake");
}
