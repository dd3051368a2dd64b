/* Guards against granting more permits than a daemon holds: with concurrent
   threads, after the share is lowered, and around the end of a loan.
   share_test.c runs the model of several daemons.  */

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
acquire_all (escrow_t *escrow, int64_t now_us, int64_t end_us, permit_t *last)
{
  uint32_t acquired = 0;

  while (escrow_acquire (escrow, now_us, end_us, last))
    acquired++;
  return acquired;
}

START_TEST (lower_share_takes_effect_at_once)
{
  static const struct
  {
    uint32_t before, acquired, after, released, available;
  } rows[] = { { 3, 3, 1, 2, 0 },
               { 3, 3, 1, 3, 1 },
               { 3, 0, 5, 0, 5 },
               { 4, 2, 0, 2, 0 },
               { 0, 0, 0, 0, 0 } };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      escrow_t *escrow = with_share (rows[i].before);
      permit_t permit;

      for (uint32_t n = 0; n < rows[i].acquired; n++)
        ck_assert (escrow_acquire (escrow, 0, 1, &permit));
      escrow_set_share (escrow, rows[i].after);
      for (uint32_t n = 0; n < rows[i].released; n++)
        escrow_release (escrow, permit);
      ck_assert_msg (acquire_all (escrow, 0, 1, &permit) == rows[i].available,
                     "row %zu", i);
      escrow_free (escrow);
    }
}
END_TEST

START_TEST (loan_grants_only_work_that_ends_before_it)
{
  escrow_t *escrow = with_share (0);
  permit_t permit;

  ck_assert (escrow_borrow (escrow, 2, 100));
  ck_assert (!escrow_acquire (escrow, 0, 101, &permit));
  ck_assert (!escrow_acquire (escrow, 100, 100, &permit));
  ck_assert (escrow_acquire (escrow, 0, 100, &permit));
  escrow_release (escrow, permit);
  ck_assert_uint_eq (acquire_all (escrow, 0, 100, &permit), 2);
  escrow_free (escrow);
}
END_TEST

/* Guards against a permit released after its loan has ended adding to the next
   loan in the same slot.  */
START_TEST (permit_released_after_its_loan_is_dropped)
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
  ck_assert_uint_eq (acquire_all (escrow, 100, 150, &permit), 1);
  escrow_free (escrow);
}
END_TEST

START_TEST (lender_regains_permits_after_clock_error)
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
  ck_assert_uint_eq (acquire_all (escrow, 0, 100, &permit), loans);
  escrow_expire (escrow, 100);
  ck_assert (escrow_borrow (escrow, 1, 200));
  escrow_free (escrow);
}
END_TEST

/* Stress test: the main thread advances the time, lends, borrows and expires
   loans; the other threads acquire permits and count those in use of each
   loan.  */
#define THREADS 4
#define ROUNDS 20000
#define ITERATIONS_MIN 1000
#define SHARE 5
#define LOAN 3
#define SOURCES 64

static atomic_int in_use_of[SOURCES][ROUNDS]; /* by source and generation */

typedef struct stress
{
  escrow_t *escrow;
  atomic_int_fast64_t now_us;
  atomic_bool stop;
  atomic_uint granted;
  atomic_uint over_limit;
} stress_t;

static void *APR_THREAD_FUNC
acquire_and_release (apr_thread_t *thread, void *data)
{
  stress_t *stress = data;
  permit_t permit;

  (void)thread;
  /* Runs a minimum of iterations, because on a busy machine the main thread
     may finish before this one is scheduled.  */
  for (int n = 0; n < ITERATIONS_MIN || !atomic_load (&stress->stop); n++)
    {
      int64_t now_us = atomic_load (&stress->now_us);
      atomic_int *in_use;

      if (!escrow_acquire (stress->escrow, now_us, now_us + 1, &permit))
        continue;
      atomic_fetch_add (&stress->granted, 1);
      in_use = &in_use_of[permit.source][permit.generation];
      if (atomic_fetch_add (in_use, 1) >= (permit.source == 1 ? SHARE : LOAN))
        atomic_fetch_add (&stress->over_limit, 1);
      atomic_fetch_sub (in_use, 1);
      escrow_release (stress->escrow, permit);
    }
  return NULL;
}

static void
run_main_thread (stress_t *stress)
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

/* Guards against a permit that is granted twice, lost or created by a race
   between acquire, release, the end of a loan and the start of the next.  */
START_TEST (concurrent_threads_keep_counts_exact)
{
  stress_t stress = { .escrow = with_share (SHARE) };
  apr_thread_t *threads[THREADS];
  apr_status_t status;
  apr_pool_t *pool;
  permit_t permit;

  apr_initialize ();
  apr_pool_create (&pool, NULL);
  for (int i = 0; i < THREADS; i++)
    apr_thread_create (&threads[i], NULL, acquire_and_release, &stress, pool);
  run_main_thread (&stress);
  atomic_store (&stress.stop, true);
  for (int i = 0; i < THREADS; i++)
    apr_thread_join (&status, threads[i]);
  escrow_set_share (stress.escrow, SHARE);
  escrow_expire (stress.escrow, 2 * ROUNDS + ERROR_US);
  ck_assert_uint_eq (atomic_load (&stress.over_limit), 0);
  ck_assert_uint_gt (atomic_load (&stress.granted), 0);
  ck_assert_uint_eq (escrow_in_use (stress.escrow), 0);
  ck_assert_int_eq (escrow_free_count (stress.escrow), SHARE);
  ck_assert (escrow_borrow (stress.escrow, LOAN, INT64_MAX));
  ck_assert_uint_eq (acquire_all (stress.escrow, 0, 1, &permit), SHARE + LOAN);
  escrow_free (stress.escrow);
  apr_pool_destroy (pool);
  apr_terminate ();
}
END_TEST

TEST_PROGRAM ("escrow", lower_share_takes_effect_at_once,
              loan_grants_only_work_that_ends_before_it,
              permit_released_after_its_loan_is_dropped,
              lender_regains_permits_after_clock_error,
              number_of_open_loans_is_bounded,
              concurrent_threads_keep_counts_exact)
