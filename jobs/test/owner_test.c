#include "../../test/run_suite.h"
#include "owner.h"

#define MS INT64_C (1000)

static jobtab_t *table;
static owner_t owner;
static int64_t now_us;

static void
set_up (void)
{
  table = jobtab_new ();
  now_us = 1000000 * MS;
  owner_init (&owner, "b#1", 1.0, 0);
}

static void
tear_down (void)
{
  jobtab_free (table);
}

static void
set_owner (const char *holder)
{
  table->owner.epoch++;
  g_free (table->owner.holder);
  table->owner.holder = g_strdup (holder);
  table->owner.released = false;
  owner_caught_up (&owner, table, now_us);
  owner_note_record (&owner, table, FOLD_CLAIMED, now_us);
}

/* The first action within MAX_MS, checked every 10 ms.  */
static owner_action_t
action_within (int64_t max_ms)
{
  for (int64_t ms = 0; ms <= max_ms; ms += 10, now_us += 10 * MS)
    {
      owner_action_t action = owner_next (&owner, table, now_us);

      if (action != OWNER_NONE)
        return action;
    }
  return OWNER_NONE;
}

/* Guards against a daemon that claims before it has read the log.  */
START_TEST (test_no_claim_before_the_log_is_read)
{
  ck_assert_int_eq (action_within (5000), OWNER_NONE);
  owner_caught_up (&owner, table, now_us);
  ck_assert_int_eq (action_within (200), OWNER_CLAIM);
}
END_TEST

/* Guards against mistaking an outage of the store for a lost owner: without a
   folded probe there is no claim.  */
START_TEST (test_no_claim_without_a_folded_probe)
{
  set_owner ("a#1");
  ck_assert_int_eq (action_within (1200), OWNER_PROBE);
  for (uint32_t i = 0; i < 4; i++)
    {
      owner_action_t action = action_within (3000);

      ck_assert (action == OWNER_PROBE || action == OWNER_NONE);
      now_us += 10 * MS;
    }
}
END_TEST

/* Guards against replacing an owner that answers the probe.  */
START_TEST (test_owner_that_answers_is_not_replaced)
{
  set_owner ("a#1");
  ck_assert_int_eq (action_within (1200), OWNER_PROBE);
  owner_note_record (&owner, table, FOLD_PROBED, now_us);
  now_us += 100 * MS;
  owner_note_record (&owner, table, FOLD_RENEWED, now_us);
  ck_assert_int_eq (action_within (800), OWNER_NONE);
}
END_TEST

/* Guards against a killed owner that is not replaced within the lease of its
   workers, 3 s.  */
START_TEST (test_lost_owner_is_replaced_within_a_lease)
{
  int64_t since_us = now_us;

  set_owner ("a#1");
  ck_assert_int_eq (action_within (1200), OWNER_PROBE);
  owner_note_record (&owner, table, FOLD_PROBED, now_us);
  ck_assert_int_eq (action_within (1000), OWNER_CLAIM);
  ck_assert_int_lt (now_us - since_us, 2000 * MS);
}
END_TEST

/* Guards against replacing a live owner while the store is slow.  */
START_TEST (test_slow_store_extends_the_wait)
{
  set_owner ("a#1");
  owner_set_store_delay (&owner, 600 * MS, now_us);
  ck_assert_int_eq (action_within (2000), OWNER_NONE);
  for (uint32_t i = 0; i <= OWNER_SPREAD_MAX_US / (100 * MS); i++)
    {
      owner_set_store_delay (&owner, 600 * MS, now_us);
      if (action_within (100) == OWNER_PROBE)
        return;
    }
  ck_abort_msg ("not probed");
}
END_TEST

/* Load: 37 daemons, and a store that takes one append after another and needs
   0.2 s for each, and for a read.  The owner is lost, and its links closed. */
#define FLEET 37
#define FLEET_DELAY_US (200 * MS)
#define FLEET_STEP_US (10 * MS)
/* What the queue of the store takes, 2 s.  */
#define FLEET_QUEUE (2000 * MS / FLEET_DELAY_US)

typedef struct fleet_record
{
  owner_action_t action;
  uint32_t author;
  int64_t read_us; /* when all daemons read it */
} fleet_record_t;

/* Plays until the first claim is read.  *RECORDS are the probes and claims
   that were appended by then.  False: there was none in MAX_MS.  */
static bool
play_fleet (owner_t *fleet, int64_t max_ms, uint32_t *records)
{
  g_autoptr (GArray) log = g_array_new (FALSE, FALSE, sizeof (fleet_record_t));
  int64_t busy_us = now_us;
  uint32_t read = 0;

  for (int64_t end_us = now_us + max_ms * MS; now_us < end_us;
       now_us += FLEET_STEP_US)
    {
      for (; read < log->len
             && g_array_index (log, fleet_record_t, read).read_us <= now_us;
           read++)
        {
          fleet_record_t record = g_array_index (log, fleet_record_t, read);

          *records = log->len;
          if (record.action == OWNER_CLAIM)
            return true;
          for (uint32_t i = 0; i < FLEET; i++)
            owner_note_record (&fleet[i], table, FOLD_PROBED, now_us);
          owner_note_own_probe (&fleet[record.author]);
        }
      for (uint32_t i = 0; i < FLEET; i++)
        {
          fleet_record_t record = { .author = i };

          owner_set_store_delay (&fleet[i], FLEET_DELAY_US, now_us);
          record.action = owner_next (&fleet[i], table, now_us);
          if (record.action == OWNER_NONE)
            continue;
          busy_us = MAX (busy_us, now_us) + FLEET_DELAY_US;
          record.read_us = busy_us + FLEET_DELAY_US;
          g_array_append_val (log, record);
        }
    }
  return false;
}

/* Guards against probes and claims of all daemons that fill the queue of a
   slow store, so that the next owner can't append there, and against a late
   claim as they wait for each other.  */
START_TEST (test_few_of_many_daemons_probe_and_claim)
{
  for (uint32_t play = 0; play < 50; play++)
    {
      owner_t fleet[FLEET];
      char names[FLEET][32];
      uint32_t records = 0;

      set_owner ("a#1");
      for (uint32_t i = 0; i < FLEET; i++)
        {
          g_snprintf (names[i], sizeof names[i], "d%u-%u#1", play, i);
          owner_init (&fleet[i], names[i], i < 6 ? 0.5 : 0.12, i * 1000);
          owner_caught_up (&fleet[i], table, now_us);
          owner_note_record (&fleet[i], table, FOLD_RENEWED, now_us);
          owner_note_link_closed (&fleet[i]);
        }
      ck_assert (play_fleet (fleet, 6000, &records));
      ck_assert_uint_le (records, FLEET_QUEUE);
    }
}
END_TEST

/* Guards against a claim of each daemon that has read a probe: the one that
   has sent it claims first, and the others only if nothing comes of that.  */
START_TEST (test_daemon_that_has_probed_claims_first)
{
  int64_t probed_us;

  set_owner ("a#1");
  now_us += 10000 * MS; /* the owner's silence is long enough */
  owner_set_store_delay (&owner, 200 * MS, now_us);
  owner_note_record (&owner, table, FOLD_PROBED, now_us);
  probed_us = now_us;
  ck_assert_int_eq (action_within (8000), OWNER_CLAIM);
  ck_assert_int_ge (now_us - probed_us,
                    OWNER_ANSWER_TIMEOUT_US
                        + (OWNER_DELAY_FACTOR + OWNER_SEEN_FACTOR) * 200 * MS);
  set_owner ("a#2");
  owner_note_record (&owner, table, FOLD_PROBED, now_us);
  owner_note_record (&owner, table, FOLD_PROBED, now_us);
  owner_note_own_probe (&owner);
  ck_assert (!owner.probed_by_self); /* it is the second one */
  set_owner ("a#3");
  owner_note_record (&owner, table, FOLD_PROBED, now_us);
  owner_note_own_probe (&owner);
  owner_set_store_delay (&owner, 0, now_us);
  ck_assert_int_eq (action_within (700), OWNER_CLAIM);
}
END_TEST

/* Guards against seconds without an owner after the store has refused a claim,
   and against repeats of it all the time.  */
START_TEST (test_refused_claim_is_repeated_soon)
{
  set_owner ("a#1");
  ck_assert_int_eq (action_within (1200), OWNER_PROBE);
  owner_note_record (&owner, table, FOLD_PROBED, now_us);
  owner_note_own_probe (&owner);
  ck_assert_int_eq (action_within (1000), OWNER_CLAIM);
  owner_note_refused (&owner, now_us);
  ck_assert_int_eq (action_within (OWNER_REFUSED_RETRY_US / MS - 10),
                    OWNER_NONE);
  ck_assert_int_eq (action_within (20), OWNER_CLAIM);
}
END_TEST

/* Guards against seconds without an owner after the store was slow: the delay
   that was measured then no longer applies.  */
START_TEST (test_old_store_delays_expire)
{
  owner_set_store_delay (&owner, 2000 * MS, now_us);
  now_us += 4000 * MS;
  set_owner ("a#1");
  ck_assert_int_eq (action_within (1000), OWNER_PROBE);
}
END_TEST

/* Guards against a wait after the loss of all daemons: the owner was an
   earlier process of this daemon, so no answer to a probe will come.  */
START_TEST (test_earlier_process_is_replaced_immediately)
{
  set_owner ("b#0");
  ck_assert_int_eq (owner_next (&owner, table, now_us), OWNER_CLAIM);
}
END_TEST

/* Guards against two processes of one daemon that replace each other without
   end: the earlier one was suspended, or was started twice.  */
START_TEST (test_later_process_is_not_replaced_immediately)
{
  uint32_t claims = 0;

  set_owner ("b#2");
  ck_assert_int_eq (action_within (500), OWNER_NONE);
  owner_init (&owner, "b#2", 1.0, 0);
  for (int64_t ms = 0; ms < 3000; ms += 60)
    {
      set_owner ("b#1");
      claims += action_within (50) == OWNER_CLAIM;
    }
  ck_assert_uint_ge (claims, 1);
  ck_assert_uint_le (claims, 3);
}
END_TEST

/* Guards against seconds without orders when an owner stops while the store is
   slow.  In roll_term with platform_slow there were 5 s, because the release
   and the next claim each waited 2 s in the store.  */
START_TEST (test_released_owner_decides_until_the_next_claim)
{
  set_owner ("b#1");
  table->owner.released = true;
  owner_note_record (&owner, table, FOLD_RELEASED, now_us);
  ck_assert (!owner_is_self (&owner, table));
  ck_assert (owner_decides (&owner, table));
  set_owner ("a#1");
  ck_assert (!owner_decides (&owner, table));
}
END_TEST

/* Guards against an owner with too little CPU.  In platform_slow a host with
   an eighth of a core won the race of claims, and with 350 workers it started
   almost nothing for 13 s.  */
START_TEST (test_owner_with_little_cpu_is_replaced)
{
  set_owner ("a#1#12");
  owner_note_record (&owner, table, FOLD_CLAIMED, now_us);
  ck_assert_int_eq (action_within (500), OWNER_NONE);
  owner_note_record (&owner, table, FOLD_RENEWED, now_us);
  ck_assert_int_eq (action_within (400), OWNER_CLAIM);
}
END_TEST

/* Guards against daemons with similar CPU shares that keep replacing each
   other, and against such a replacement while the store is slow.  */
START_TEST (test_owner_with_enough_cpu_is_not_replaced)
{
  set_owner ("a#1#70");
  owner_note_record (&owner, table, FOLD_CLAIMED, now_us);
  for (uint32_t i = 0; i < 10; i++)
    {
      owner_note_record (&owner, table, FOLD_RENEWED, now_us);
      ck_assert_int_eq (action_within (400), OWNER_NONE);
    }
  set_owner ("a#1#12");
  owner_note_record (&owner, table, FOLD_CLAIMED, now_us);
  for (uint32_t i = 0; i < 10; i++)
    {
      owner_set_store_delay (&owner, 600 * MS, now_us);
      owner_note_record (&owner, table, FOLD_RENEWED, now_us);
      ck_assert_int_eq (action_within (400), OWNER_NONE);
    }
}
END_TEST

/* Guards against a long time without an owner after a release.  */
START_TEST (test_released_ownership_is_claimed_soon)
{
  set_owner ("a#1");
  table->owner.released = true;
  owner_note_record (&owner, table, FOLD_RELEASED, now_us);
  ck_assert_int_eq (action_within (300), OWNER_CLAIM);
}
END_TEST

/* Guards against an owner that continues although a worker knows a higher
   epoch.  */
START_TEST (test_superseded_owner_does_not_renew)
{
  set_owner ("b#1");
  ck_assert (owner_is_self (&owner, table));
  ck_assert_int_eq (action_within (500), OWNER_RENEW);
  owner.superseded = true;
  ck_assert (!owner_is_self (&owner, table));
  ck_assert_int_ne (action_within (500), OWNER_RENEW);
  set_owner ("b#1");
  ck_assert (owner_is_self (&owner, table));
}
END_TEST

/* Guards against a restarted daemon that takes the ownership of its earlier
   process for its own.  */
START_TEST (test_earlier_process_is_another_holder)
{
  set_owner ("b#0");
  ck_assert (!owner_is_self (&owner, table));
}
END_TEST

/* Guards against a claim by a daemon that is about to exit.  */
START_TEST (test_stopping_daemon_claims_nothing)
{
  set_owner ("a#1");
  owner.may_claim = false;
  table->owner.released = true;
  ck_assert_int_eq (action_within (5000), OWNER_NONE);
}
END_TEST

/* Guards against the claim of a daemon whose table lacks ends, while daemons
   that have all records would have claimed a moment later.  */
START_TEST (test_incomplete_daemon_claims_last)
{
  set_owner ("a#1");
  owner.incomplete = true;
  table->owner.released = true;
  owner_note_record (&owner, table, FOLD_RELEASED, now_us);
  ck_assert_int_eq (action_within (3000), OWNER_NONE);
  ck_assert_int_eq (action_within (1000), OWNER_CLAIM);
}
END_TEST

/* Guards against a fleet without an owner when no daemon has all records.  */
START_TEST (test_incomplete_daemon_replaces_a_lost_owner)
{
  set_owner ("a#1");
  owner.incomplete = true;
  ck_assert_int_eq (action_within (3000), OWNER_NONE);
  ck_assert_int_eq (action_within (1000), OWNER_PROBE);
}
END_TEST

/* Load: 96 followers and a store in which records of the owner take 2 s.
   Guards against probes of all of them, and against replacing an owner that
   runs.  */
START_TEST (test_linked_owner_is_not_probed_in_a_slow_store)
{
  set_owner ("a#1");
  for (uint32_t i = 0; i < 290; i++)
    {
      owner_set_link (&owner, now_us);
      ck_assert_int_eq (action_within (0), OWNER_NONE);
    }
  /* Nor does the probe of another daemon lead to a claim.  */
  owner_note_record (&owner, table, FOLD_RENEWED, now_us);
  owner_note_record (&owner, table, FOLD_PROBED, now_us);
  for (uint32_t i = 0; i < 290; i++)
    {
      owner_set_link (&owner, now_us);
      ck_assert_int_eq (action_within (0), OWNER_NONE);
    }
}
END_TEST

/* Guards against an owner that runs but never appends, and is not replaced. */
START_TEST (test_linked_owner_without_records_is_probed)
{
  owner_action_t action = OWNER_NONE;
  int64_t from_us;

  set_owner ("a#1");
  from_us = now_us;
  while (action == OWNER_NONE && now_us - from_us < 5000 * MS)
    {
      owner_set_link (&owner, now_us);
      action = action_within (0);
    }
  ck_assert_int_eq (action, OWNER_PROBE);
  ck_assert_int_ge (now_us - from_us, OWNER_LINKED_SILENCE_US);
}
END_TEST

/* Guards against a late replacement of an owner that lost power: its link
   stays open.  */
START_TEST (test_owner_with_a_silent_link_is_probed_soon)
{
  set_owner ("a#1");
  owner_set_link (&owner, now_us);
  ck_assert_int_eq (action_within (OWNER_LINK_AGE_US / MS + 10), OWNER_PROBE);
}
END_TEST

/* Guards against daemons with very small shares that replace each other for
   ever: the share of one was rounded up, that of the other was not.  */
START_TEST (test_owner_with_the_same_tiny_share_is_not_replaced)
{
  owner_init (&owner, "b#1#1", 0.01, 0);
  set_owner ("a#1#1");
  for (uint32_t i = 0; i < 20; i++)
    {
      owner_note_record (&owner, table, FOLD_RENEWED, now_us);
      ck_assert_int_eq (action_within (200), OWNER_NONE);
    }
}
END_TEST

TEST_PROGRAM_WITH (
    "jobs/owner", set_up, tear_down, test_no_claim_before_the_log_is_read,
    test_no_claim_without_a_folded_probe,
    test_owner_that_answers_is_not_replaced,
    test_lost_owner_is_replaced_within_a_lease,
    test_slow_store_extends_the_wait, test_few_of_many_daemons_probe_and_claim,
    test_daemon_that_has_probed_claims_first,
    test_refused_claim_is_repeated_soon, test_old_store_delays_expire,
    test_released_ownership_is_claimed_soon,
    test_earlier_process_is_replaced_immediately,
    test_later_process_is_not_replaced_immediately,
    test_released_owner_decides_until_the_next_claim,
    test_owner_with_little_cpu_is_replaced,
    test_owner_with_enough_cpu_is_not_replaced,
    test_superseded_owner_does_not_renew,
    test_earlier_process_is_another_holder,
    test_stopping_daemon_claims_nothing, test_incomplete_daemon_claims_last,
    test_incomplete_daemon_replaces_a_lost_owner,
    test_linked_owner_is_not_probed_in_a_slow_store,
    test_linked_owner_without_records_is_probed,
    test_owner_with_a_silent_link_is_probed_soon,
    test_owner_with_the_same_tiny_share_is_not_replaced)
