/* Guards against granting more permits than a daemon holds: by racing
   threads, after a lowered share, and around the end of a loan.  The model of
   several daemons is in share_test.c.  */

#include "../../test/run_suite.h"
#include "admit.h"
#include <apr_thread_proc.h>

#define ERROR_US (CLOCK_ERROR_MS * INT64_C (1000))

static escrow_t *
with_share (uint32_t share)
{
  escrow_t *escrow = escrow_new ();

  escrow_set_share (escrow, share);
  return escrow;
}

static uint32_t
take_all (escrow_t *escrow, int64_t now_us, int64_t end_us, permit_t *last)
{
  uint32_t taken = 0;

  while (escrow_acquire (escrow, now_us, end_us, last))
    taken++;
  return taken;
}

START_TEST (lower_share_counts_at_once)
{
  static const struct
  {
    uint32_t before, taken, after, given, then;
  } rows[] = { { 3, 3, 1, 2, 0 },
               { 3, 3, 1, 3, 1 },
               { 3, 0, 5, 0, 5 },
               { 4, 2, 0, 2, 0 },
               { 0, 0, 0, 0, 0 } };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      escrow_t *escrow = with_share (rows[i].before);
      permit_t permit;

      for (uint32_t n = 0; n < rows[i].taken; n++)
        ck_assert (escrow_acquire (escrow, 0, 1, &permit));
      escrow_set_share (escrow, rows[i].after);
      for (uint32_t n = 0; n < rows[i].given; n++)
        escrow_release (escrow, permit);
      ck_assert_msg (take_all (escrow, 0, 1, &permit) == rows[i].then,
                     "row %zu", i);
      escrow_free (escrow);
    }
}
END_TEST

START_TEST (loan_serves_only_work_that_ends_before_it)
{
  escrow_t *escrow = with_share (0);
  permit_t permit;

  ck_assert (escrow_borrow (escrow, 2, 100));
  ck_assert (!escrow_acquire (escrow, 0, 101, &permit));
  ck_assert (!escrow_acquire (escrow, 100, 100, &permit));
  ck_assert (escrow_acquire (escrow, 0, 100, &permit));
  escrow_release (escrow, permit);
  ck_assert_uint_eq (take_all (escrow, 0, 100, &permit), 2);
  escrow_free (escrow);
}
END_TEST

/* A permit given back late must not add to the next loan in the slot.  */
START_TEST (late_permit_of_an_ended_loan_is_dropped)
{
  escrow_t *escrow = with_share (0);
  permit_t old;
  permit_t permit;

  ck_assert (escrow_borrow (escrow, 1, 100));
  ck_assert (escrow_acquire (escrow, 0, 50, &old));
  escrow_expire (escrow, 100);
  escrow_release (escrow, old);
  ck_assert (!escrow_acquire (escrow, 0, 50, &permit));
  ck_assert (escrow_borrow (escrow, 1, 200));
  escrow_release (escrow, old);
  ck_assert_uint_eq (take_all (escrow, 100, 150, &permit), 1);
  escrow_free (escrow);
}
END_TEST

START_TEST (lender_has_permits_back_after_clock_error)
{
  escrow_t *escrow = with_share (4);
  permit_t permit;

  ck_assert (escrow_acquire (escrow, 0, 1, &permit));
  ck_assert_uint_eq (escrow_lend (escrow, 9, 100), 3);
  ck_assert_uint_eq (escrow_lend (escrow, 1, 100), 0);
  escrow_expire (escrow, 100 + ERROR_US);
  ck_assert (!escrow_acquire (escrow, 0, 1, &permit));
  escrow_expire (escrow, 101 + ERROR_US);
  ck_assert_int_eq (escrow_free_count (escrow), 3);
  escrow_free (escrow);
}
END_TEST

START_TEST (number_of_open_loans_is_bounded)
{
  escrow_t *escrow = with_share (0);
  uint32_t loans = 0;
  permit_t permit;

  while (loans < 1000 && escrow_borrow (escrow, 1, 100))
    loans++;
  ck_assert_uint_lt (loans, 1000);
  ck_assert_uint_eq (take_all (escrow, 0, 100, &permit), loans);
  escrow_expire (escrow, 100);
  ck_assert (escrow_borrow (escrow, 1, 200));
  escrow_free (escrow);
}
END_TEST

/* The stress test: time advances in the main thread, which lends, borrows and
   ticks; the others take permits and count those in use of each loan.  */
#define THREADS 4
#define ROUNDS 20000
#define TURNS_MIN 1000
#define SHARE 5
#define LOAN 3
#define SOURCES 64

static atomic_int used[SOURCES][ROUNDS]; /* by source and generation */

typedef struct stress
{
  escrow_t *escrow;
  atomic_int_fast64_t now_us;
  atomic_bool stop;
  atomic_uint granted;
  atomic_uint overdrawn;
} stress_t;

static void *APR_THREAD_FUNC
take_and_give (apr_thread_t *thread, void *data)
{
  stress_t *stress = data;
  permit_t permit;

  (void)thread;
  /* Some turns in any case: on a busy machine the main thread may be done
     before this one has run.  */
  for (int turn = 0; turn < TURNS_MIN || !atomic_load (&stress->stop); turn++)
    {
      int64_t now_us = atomic_load (&stress->now_us);
      atomic_int *in_use;

      if (!escrow_acquire (stress->escrow, now_us, now_us + 1, &permit))
        continue;
      atomic_fetch_add (&stress->granted, 1);
      in_use = &used[permit.source][permit.generation];
      if (atomic_fetch_add (in_use, 1) >= (permit.source == 1 ? SHARE : LOAN))
        atomic_fetch_add (&stress->overdrawn, 1);
      atomic_fetch_sub (in_use, 1);
      escrow_release (stress->escrow, permit);
    }
  return NULL;
}

static void
drive (stress_t *stress)
{
  for (int64_t now_us = 1; now_us < ROUNDS; now_us++)
    {
      atomic_store (&stress->now_us, now_us);
      escrow_expire (stress->escrow, now_us);
      escrow_borrow (stress->escrow, LOAN, now_us + now_us % 7);
      escrow_lend (stress->escrow, 1, now_us - ERROR_US);
      escrow_set_share (stress->escrow, SHARE - (uint32_t)(now_us % 3));
    }
}

/* Fails when a permit is granted twice, lost or made up by a race between
   take, give, the end of a loan and the start of the next one.  */
START_TEST (racing_threads_keep_the_books)
{
  stress_t stress = { .escrow = with_share (SHARE) };
  apr_thread_t *threads[THREADS];
  apr_status_t status;
  apr_pool_t *pool;
  permit_t permit;

  apr_initialize ();
  apr_pool_create (&pool, NULL);
  for (int i = 0; i < THREADS; i++)
    apr_thread_create (&threads[i], NULL, take_and_give, &stress, pool);
  drive (&stress);
  atomic_store (&stress.stop, true);
  for (int i = 0; i < THREADS; i++)
    apr_thread_join (&status, threads[i]);
  escrow_set_share (stress.escrow, SHARE);
  escrow_expire (stress.escrow, 2 * ROUNDS + ERROR_US);
  ck_assert_uint_eq (atomic_load (&stress.overdrawn), 0);
  ck_assert_uint_gt (atomic_load (&stress.granted), 0);
  ck_assert_uint_eq (escrow_in_use (stress.escrow), 0);
  ck_assert_int_eq (escrow_free_count (stress.escrow), SHARE);
  ck_assert (escrow_borrow (stress.escrow, LOAN, INT64_MAX));
  ck_assert_uint_eq (take_all (stress.escrow, 0, 1, &permit), SHARE + LOAN);
  escrow_free (stress.escrow);
  apr_pool_destroy (pool);
  apr_terminate ();
}
END_TEST

TEST_PROGRAM ("escrow", lower_share_counts_at_once,
              loan_serves_only_work_that_ends_before_it,
              late_permit_of_an_ended_loan_is_dropped,
              lender_has_permits_back_after_clock_error,
              number_of_open_loans_is_bounded, racing_threads_keep_the_books)
