#include "peer.h"
#include <string.h>

struct claims
{
  claims_config_t config;
  pthread_mutex_t lock; /* guards the members below */
  GHashTable *asks;     /* claim_ask_t by number */
  uint64_t last_number;
};

claims_t *
claims_new (const claims_config_t *config)
{
  claims_t *claims = g_new0 (claims_t, 1);

  claims->config = *config;
  pthread_mutex_init (&claims->lock, NULL);
  claims->asks = g_hash_table_new (g_int64_hash, g_int64_equal);
  return claims;
}

void
claims_free (claims_t *claims)
{
  g_hash_table_destroy (claims->asks);
  pthread_mutex_destroy (&claims->lock);
  g_free (claims);
}

/* Removes ASK if it is still under way.  Whoever removes it decides what
   becomes of it.  */
static bool
remove_ask (claims_t *claims, claim_ask_t *ask)
{
  bool removed;

  pthread_mutex_lock (&claims->lock);
  removed = g_hash_table_remove (claims->asks, &ask->number);
  pthread_mutex_unlock (&claims->lock);
  return removed;
}

bool
claims_ask (claims_t *claims, claim_ask_t *ask, int64_t now_us)
{
  msg_t msg = { .kind = MSG_CLAIM };
  const char *owner = ask->owner;

  memcpy (msg.u.claim.id, ask->id.bytes, sizeof msg.u.claim.id);
  ask->due_us = now_us + CLAIM_TIMEOUT_US;
  ask->error = ERR_ID_OWNER_AWAY;
  pthread_mutex_lock (&claims->lock);
  ask->number = msg.u.claim.number = ++claims->last_number;
  g_hash_table_insert (claims->asks, &ask->number, ask);
  pthread_mutex_unlock (&claims->lock);
  /* From here on the answer may come at any time: ASK may be gone.  */
  if (claims->config.send (claims->config.ctx, owner, &msg))
    return true;
  /* If it is gone already, it was given up by claims_lost or claims_tick.  */
  pthread_mutex_lock (&claims->lock);
  ask = g_hash_table_lookup (claims->asks, &msg.u.claim.number);
  if (ask)
    g_hash_table_remove (claims->asks, &msg.u.claim.number);
  pthread_mutex_unlock (&claims->lock);
  return ask == NULL;
}

bool
claims_cancel (claims_t *claims, claim_ask_t *ask)
{
  return remove_ask (claims, ask);
}

static claim_verdict_t
verdict_of (err_kind_t error)
{
  if (error == ERR_NONE)
    return CLAIM_GRANTED;
  return error == ERR_ID_REPEATED ? CLAIM_REPEATED : CLAIM_INVALID;
}

static void
grant (claims_t *claims, const char *peer, const msg_claim_t *claim,
       int64_t now_ms)
{
  const claims_config_t *config = &claims->config;
  msg_t answer
      = { .kind = MSG_CLAIMED, .u.claimed = { claim->number, CLAIM_REFUSED } };
  once_id_t id;

  memcpy (id.bytes, claim->id, sizeof id.bytes);
  if (config->may_grant (config->ctx, &id))
    {
      pthread_mutex_lock (config->table_lock);
      answer.u.claimed.verdict
          = verdict_of (once_claim (config->table, &id, now_ms));
      pthread_mutex_unlock (config->table_lock);
    }
  counter_add (answer.u.claimed.verdict == CLAIM_GRANTED
                   ? COUNT_CLAIMS_GRANTED
                   : COUNT_CLAIMS_REFUSED,
               1);
  config->send (config->ctx, peer, &answer);
}

static err_kind_t
error_of (claim_verdict_t verdict)
{
  switch (verdict)
    {
    case CLAIM_GRANTED:
      return ERR_NONE;
    case CLAIM_REPEATED:
      return ERR_ID_REPEATED;
    case CLAIM_INVALID:
      return ERR_ID_INVALID;
    case CLAIM_REFUSED:
      break;
    }
  return ERR_ID_OWNER_AWAY;
}

static void
take_answer (claims_t *claims, const char *peer, const msg_claimed_t *claimed)
{
  claim_ask_t *ask;

  pthread_mutex_lock (&claims->lock);
  ask = g_hash_table_lookup (claims->asks, &claimed->number);
  if (ask && strcmp (ask->owner, peer) == 0)
    g_hash_table_remove (claims->asks, &claimed->number);
  else
    ask = NULL;
  pthread_mutex_unlock (&claims->lock);
  if (!ask)
    return;
  ask->error = error_of (claimed->verdict);
  claims->config.done (claims->config.ctx, ask);
}

void
claims_take (claims_t *claims, const char *peer, const msg_t *msg,
             int64_t now_ms)
{
  if (msg->kind == MSG_CLAIM)
    grant (claims, peer, &msg->u.claim, now_ms);
  else if (msg->kind == MSG_CLAIMED)
    take_answer (claims, peer, &msg->u.claimed);
}

/* Gives up what was asked of OWNER (NULL: of anybody) and is due.  */
static void
give_up (claims_t *claims, const char *owner, int64_t now_us)
{
  g_autoptr (GPtrArray) late = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  pthread_mutex_lock (&claims->lock);
  g_hash_table_iter_init (&iter, claims->asks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      claim_ask_t *ask = value;

      if (ask->due_us > now_us || (owner && strcmp (ask->owner, owner) != 0))
        continue;
      g_ptr_array_add (late, ask);
      g_hash_table_iter_remove (&iter);
    }
  pthread_mutex_unlock (&claims->lock);
  for (guint i = 0; i < late->len; i++)
    claims->config.done (claims->config.ctx, g_ptr_array_index (late, i));
}

void
claims_tick (claims_t *claims, int64_t now_us)
{
  give_up (claims, NULL, now_us);
}

void
claims_lost (claims_t *claims, const char *peer)
{
  give_up (claims, peer, INT64_MAX);
}
