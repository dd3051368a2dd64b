#include "../../test/run_suite.h"
#include "owner.h"

#define MS INT64_C (1000)

static jobtab_t *tab;
static owner_t owner;
static int64_t now_us;

static void
set_up (void)
{
  tab = jobtab_new ();
  now_us = 1000000 * MS;
  owner_init (&owner, "b#1", 1.0, 0);
}

static void
tear_down (void)
{
  jobtab_free (tab);
}

static void
owned_by (const char *holder)
{
  tab->owner.epoch++;
  g_free (tab->owner.holder);
  tab->owner.holder = g_strdup (holder);
  tab->owner.released = false;
  owner_caught_up (&owner, tab, now_us);
  owner_note_record (&owner, tab, FOLD_CLAIMED, now_us);
}

/* The first act within MAX_MS, by steps of 10 ms.  */
static owner_action_t
act_within (int64_t max_ms)
{
  for (int64_t ms = 0; ms <= max_ms; ms += 10, now_us += 10 * MS)
    {
      owner_action_t act = owner_next (&owner, tab, now_us);

      if (act != OWNER_NONE)
        return act;
    }
  return OWNER_NONE;
}

/* Guards against a daemon that claims before it has read the log.  */
START_TEST (test_nothing_before_the_log_is_read)
{
  ck_assert_int_eq (act_within (5000), OWNER_NONE);
  owner_caught_up (&owner, tab, now_us);
  ck_assert_int_eq (act_within (200), OWNER_CLAIM);
}
END_TEST

/* Guards against an outage of the store that looks like a lost owner.  */
START_TEST (test_no_claim_without_a_folded_probe)
{
  owned_by ("a#1");
  ck_assert_int_eq (act_within (1200), OWNER_PROBE);
  for (uint32_t i = 0; i < 4; i++)
    {
      owner_action_t act = act_within (3000);

      ck_assert (act == OWNER_PROBE || act == OWNER_NONE);
      now_us += 10 * MS;
    }
}
END_TEST

START_TEST (test_owner_that_answers_keeps_the_decisions)
{
  owned_by ("a#1");
  ck_assert_int_eq (act_within (1200), OWNER_PROBE);
  owner_note_record (&owner, tab, FOLD_PROBED, now_us);
  now_us += 100 * MS;
  owner_note_record (&owner, tab, FOLD_RENEWED, now_us);
  ck_assert_int_eq (act_within (800), OWNER_NONE);
}
END_TEST

/* A killed owner is replaced inside a lease of its workers (3 s).  */
START_TEST (test_lost_owner_is_replaced_in_time)
{
  int64_t since_us = now_us;

  owned_by ("a#1");
  ck_assert_int_eq (act_within (1200), OWNER_PROBE);
  owner_note_record (&owner, tab, FOLD_PROBED, now_us);
  ck_assert_int_eq (act_within (1000), OWNER_CLAIM);
  ck_assert_int_lt (now_us - since_us, 2000 * MS);
}
END_TEST

/* Guards against claims on a living owner while the store is slow.  */
START_TEST (test_slow_store_lengthens_the_wait)
{
  owned_by ("a#1");
  owner_set_store_delay (&owner, 600 * MS, now_us);
  ck_assert_int_eq (act_within (2000), OWNER_NONE);
  ck_assert_int_eq (act_within (200), OWNER_PROBE);
}
END_TEST

/* Guards against decisions that nobody owns for seconds after the store was
   slow: what was seen of it then says nothing any more.  */
START_TEST (test_old_delays_are_forgotten)
{
  owner_set_store_delay (&owner, 2000 * MS, now_us);
  now_us += 4000 * MS;
  owned_by ("a#1");
  ck_assert_int_eq (act_within (1000), OWNER_PROBE);
}
END_TEST

/* Loss of all daemons: the owner's next life can't be answered by the one
   before, so it does not wait for that.  */
START_TEST (test_own_earlier_life_is_replaced_at_once)
{
  owned_by ("b#0");
  ck_assert_int_eq (owner_next (&owner, tab, now_us), OWNER_CLAIM);
}
END_TEST

/* roll_term beside platform_slow: five seconds passed between an owner's last
   order and the next one's first, as its release and the claim after it each
   waited two seconds in the store.  */
START_TEST (test_released_owner_decides_until_the_next_claim)
{
  owned_by ("b#1");
  tab->owner.released = true;
  owner_note_record (&owner, tab, FOLD_RELEASED, now_us);
  ck_assert (!owner_is_self (&owner, tab));
  ck_assert (owner_decides (&owner, tab));
  owned_by ("a#1");
  ck_assert (!owner_decides (&owner, tab));
}
END_TEST

/* platform_slow: claims race, and a host with an eighth of a core came first;
   with 350 workers it started next to nothing for 13 s.  */
START_TEST (test_weak_owner_is_replaced_by_a_strong_host)
{
  owned_by ("a#1#12");
  owner_note_record (&owner, tab, FOLD_CLAIMED, now_us);
  ck_assert_int_eq (act_within (500), OWNER_NONE);
  owner_note_record (&owner, tab, FOLD_RENEWED, now_us);
  ck_assert_int_eq (act_within (400), OWNER_CLAIM);
}
END_TEST

/* Guards against hosts of about one strength that take the decisions from each
   other, and against claims while the store is slow.  */
START_TEST (test_strong_owner_is_left_alone)
{
  owned_by ("a#1#70");
  owner_note_record (&owner, tab, FOLD_CLAIMED, now_us);
  for (uint32_t i = 0; i < 10; i++)
    {
      owner_note_record (&owner, tab, FOLD_RENEWED, now_us);
      ck_assert_int_eq (act_within (400), OWNER_NONE);
    }
  owned_by ("a#1#12");
  owner_note_record (&owner, tab, FOLD_CLAIMED, now_us);
  for (uint32_t i = 0; i < 10; i++)
    {
      owner_set_store_delay (&owner, 600 * MS, now_us);
      owner_note_record (&owner, tab, FOLD_RENEWED, now_us);
      ck_assert_int_eq (act_within (400), OWNER_NONE);
    }
}
END_TEST

START_TEST (test_released_decisions_are_claimed_soon)
{
  owned_by ("a#1");
  tab->owner.released = true;
  owner_note_record (&owner, tab, FOLD_RELEASED, now_us);
  ck_assert_int_eq (act_within (300), OWNER_CLAIM);
}
END_TEST

/* Guards against an owner that goes on although a worker knows a later one. */
START_TEST (test_deposed_owner_does_not_renew)
{
  owned_by ("b#1");
  ck_assert (owner_is_self (&owner, tab));
  ck_assert_int_eq (act_within (500), OWNER_RENEW);
  owner.superseded = true;
  ck_assert (!owner_is_self (&owner, tab));
  ck_assert_int_ne (act_within (500), OWNER_RENEW);
  owned_by ("b#1");
  ck_assert (owner_is_self (&owner, tab));
}
END_TEST

/* Guards against a restarted daemon that takes its former life's ownership for
   its own.  */
START_TEST (test_other_life_is_another_holder)
{
  owned_by ("b#0");
  ck_assert (!owner_is_self (&owner, tab));
}
END_TEST

START_TEST (test_stopping_daemon_claims_nothing)
{
  owned_by ("a#1");
  owner.may_claim = false;
  tab->owner.released = true;
  ck_assert_int_eq (act_within (5000), OWNER_NONE);
}
END_TEST

TEST_PROGRAM_WITH (
    "jobs/owner", set_up, tear_down, test_nothing_before_the_log_is_read,
    test_no_claim_without_a_folded_probe,
    test_owner_that_answers_keeps_the_decisions,
    test_lost_owner_is_replaced_in_time, test_slow_store_lengthens_the_wait,
    test_old_delays_are_forgotten, test_released_decisions_are_claimed_soon,
    test_own_earlier_life_is_replaced_at_once,
    test_released_owner_decides_until_the_next_claim,
    test_weak_owner_is_replaced_by_a_strong_host,
    test_strong_owner_is_left_alone, test_deposed_owner_does_not_renew,
    test_other_life_is_another_holder, test_stopping_daemon_claims_nothing)
