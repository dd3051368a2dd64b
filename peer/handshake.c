#include "conn.h"
#include <string.h>

/* Computes the proof that FROM sends to TO, a keyed hash.  It includes the
   sender's name, so that a proof can't be reflected to its sender.  */
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
             conn->peer_hello.name[0] ? conn->peer_hello.name : "unknown", ip,
             reason);
  conn_close (conn, reason);
}

void
handshake_begin (conn_t *conn)
{
  const transport_config_t *config = &conn->transport->config;
  msg_t msg = { .kind = MSG_HELLO };
  g_autoptr (GBytes) frame = NULL;

  conn->phase = CONN_HELLO;
  conn->own_hello.protocol = PEER_PROTOCOL;
  g_strlcpy (conn->own_hello.name, config->name, sizeof conn->own_hello.name);
  g_strlcpy (conn->own_hello.data_centre, config->data_centre,
             sizeof conn->own_hello.data_centre);
  conn->own_hello.incarnation = config->incarnation;
  randombytes_buf (conn->own_hello.nonce, sizeof conn->own_hello.nonce);
  msg.u.hello = conn->own_hello;
  frame = frame_new (&msg);
  conn_enqueue (conn, frame);
}

/* Whether NAME, received from an unauthenticated peer, is safe to log and
   store.  */
static bool
is_valid_name (const char *name)
{
  if (!*name)
    return false;
  for (; *name; name++)
    if (!g_ascii_isalnum (*name) && !strchr ("-_.", *name))
      return false;
  return true;
}

static void
handle_hello (conn_t *conn, const msg_hello_t *hello)
{
  msg_t msg = { .kind = MSG_PROOF };
  g_autoptr (GBytes) frame = NULL;

  if (!is_valid_name (hello->name) || !is_valid_name (hello->data_centre))
    {
      refuse (conn, "name");
      return;
    }
  conn->peer_hello = *hello;
  if (hello->protocol != PEER_PROTOCOL)
    {
      refuse (conn, "protocol");
      return;
    }
  if (strcmp (hello->name, conn->own_hello.name) == 0)
    {
      /* A seed may be the address of this daemon itself.  */
      if (hello->incarnation == conn->own_hello.incarnation)
        conn_close (conn, "self");
      else
        refuse (conn, "own-name");
      return;
    }
  conn->phase = CONN_PROOF;
  make_proof (conn->transport, &conn->own_hello, &conn->peer_hello,
              msg.u.proof.tag);
  frame = frame_new (&msg);
  conn_enqueue (conn, frame);
}

static void
handle_proof (conn_t *conn, const msg_proof_t *proof, int64_t now_us)
{
  uint8_t tag[MSG_PROOF_BYTES];

  make_proof (conn->transport, &conn->peer_hello, &conn->own_hello, tag);
  if (sodium_memcmp (tag, proof->tag, sizeof tag) != 0)
    refuse (conn, "secret");
  else
    transport_conn_authenticated (conn->transport, conn, now_us);
}

void
handshake_handle_msg (conn_t *conn, const msg_t *msg, int64_t now_us)
{
  if (conn->phase == CONN_HELLO && msg->kind == MSG_HELLO)
    handle_hello (conn, &msg->u.hello);
  else if (conn->phase == CONN_PROOF && msg->kind == MSG_PROOF)
    handle_proof (conn, &msg->u.proof, now_us);
  else
    refuse (conn, "handshake");
}
