#include "admit.h"
#include <stdlib.h>
#include <string.h>

#define CACHE_LINE_BYTES 64
#define LOANS_MAX 16
#define LENDINGS_MAX 64
#define SOURCE_NONE 0
#define SOURCE_OWN 1
#define SOURCE_LOAN 2 /* plus the index of the loan */

/* Permits borrowed from one peer.  The word holds the generation in its upper
   half and the number of free permits in the lower, so that a
   compare-and-swap fails if the loan has ended since the word was read.  The
   expiry is written only while the slot has no free permit.  */
typedef struct loan
{
  atomic_uint_fast64_t word;
  atomic_int_fast64_t expiry_us;
  bool open; /* used by the borrowing thread only */
} loan_t;

/* Permits lent to one peer; count 0: unused.  */
typedef struct lending
{
  uint32_t count;
  int64_t expiry_us;
} lending_t;

struct escrow
{
  /* Written for each permit, so on a cache line apart from members that are
     mostly read.  */
  _Alignas(CACHE_LINE_BYTES) atomic_int_fast64_t free;
  atomic_uint_fast32_t in_use;
  _Alignas(CACHE_LINE_BYTES) atomic_uint_fast32_t share;
  atomic_uint_fast32_t open_loans;
  loan_t loans[LOANS_MAX];
  lending_t lendings[LENDINGS_MAX];
};

static uint32_t
loan_generation (uint64_t word)
{
  return (uint32_t)(word >> 32);
}

static uint32_t
loan_free_count (uint64_t word)
{
  return (uint32_t)word;
}

static uint64_t
loan_pack (uint32_t generation, uint32_t count)
{
  return (uint64_t)generation << 32 | count;
}

escrow_t *
escrow_new (void)
{
  escrow_t *escrow = aligned_alloc (CACHE_LINE_BYTES, sizeof *escrow);

  if (!escrow)
    g_error ("out of memory");
  memset (escrow, 0, sizeof *escrow);
  return escrow;
}

void
escrow_free (escrow_t *escrow)
{
  free (escrow);
}

void
escrow_set_share (escrow_t *escrow, uint32_t share)
{
  uint32_t old = (uint32_t)atomic_exchange (&escrow->share, share);

  atomic_fetch_add (&escrow->free, (int64_t)share - (int64_t)old);
}

uint32_t
escrow_share (const escrow_t *escrow)
{
  return (uint32_t)atomic_load (&escrow->share);
}

/* Takes up to COUNT free permits of the own share and returns how many.  */
static uint32_t
acquire_own (escrow_t *escrow, uint32_t count)
{
  int_fast64_t have = atomic_load (&escrow->free);
  uint32_t taken;

  do
    {
      if (have <= 0)
        return 0;
      taken = have < (int_fast64_t)count ? (uint32_t)have : count;
    }
  while (!atomic_compare_exchange_weak (&escrow->free, &have,
                                        have - (int_fast64_t)taken));
  return taken;
}

static bool
acquire_from_loan (loan_t *loan, int64_t now_us, int64_t end_us,
                   uint32_t *generation)
{
  uint_fast64_t word = atomic_load (&loan->word);
  int64_t expiry_us;

  do
    {
      if (loan_free_count (word) == 0)
        return false;
      expiry_us = atomic_load (&loan->expiry_us);
      if (end_us > expiry_us || now_us >= expiry_us)
        return false;
    }
  while (!atomic_compare_exchange_weak (&loan->word, &word, word - 1));
  *generation = loan_generation (word);
  return true;
}

static bool
acquire_borrowed (escrow_t *escrow, int64_t now_us, int64_t end_us,
                  permit_t *permit)
{
  if (atomic_load (&escrow->open_loans) == 0)
    return false;
  for (uint32_t i = 0; i < LOANS_MAX; i++)
    if (acquire_from_loan (&escrow->loans[i], now_us, end_us,
                           &permit->generation))
      {
        permit->source = SOURCE_LOAN + i;
        return true;
      }
  return false;
}

bool
escrow_acquire (escrow_t *escrow, int64_t now_us, int64_t end_us,
                permit_t *permit)
{
  *permit = (permit_t){ SOURCE_NONE, 0 };
  if (acquire_own (escrow, 1))
    permit->source = SOURCE_OWN;
  else if (!acquire_borrowed (escrow, now_us, end_us, permit))
    return false;
  atomic_fetch_add (&escrow->in_use, 1);
  return true;
}

/* Releases a permit to LOAN; drops it if the loan has ended, because the
   lender then counts it as its own again.  */
static void
release_to_loan (loan_t *loan, uint32_t generation)
{
  uint_fast64_t word = atomic_load (&loan->word);

  do
    {
      if (loan_generation (word) != generation)
        return;
    }
  while (!atomic_compare_exchange_weak (&loan->word, &word, word + 1));
}

void
escrow_release (escrow_t *escrow, permit_t permit)
{
  if (permit.source == SOURCE_NONE)
    return;
  atomic_fetch_sub (&escrow->in_use, 1);
  if (permit.source == SOURCE_OWN)
    atomic_fetch_add (&escrow->free, 1);
  else
    release_to_loan (&escrow->loans[permit.source - SOURCE_LOAN],
                     permit.generation);
}

uint32_t
escrow_in_use (const escrow_t *escrow)
{
  return (uint32_t)atomic_load (&escrow->in_use);
}

int64_t
escrow_free_count (const escrow_t *escrow)
{
  return atomic_load (&escrow->free);
}

uint32_t
escrow_available (const escrow_t *escrow, int64_t now_us, int64_t end_us)
{
  int64_t own = atomic_load (&escrow->free);
  uint32_t count = own > 0 ? (uint32_t)own : 0;

  if (atomic_load (&escrow->open_loans) == 0)
    return count;
  for (uint32_t i = 0; i < LOANS_MAX; i++)
    {
      int64_t expiry_us = atomic_load (&escrow->loans[i].expiry_us);

      if (end_us <= expiry_us && now_us < expiry_us)
        count += loan_free_count (atomic_load (&escrow->loans[i].word));
    }
  return count;
}

bool
escrow_can_borrow (const escrow_t *escrow)
{
  return atomic_load (&escrow->open_loans) < LOANS_MAX;
}

uint32_t
escrow_lend (escrow_t *escrow, uint32_t count, int64_t expiry_us)
{
  for (uint32_t i = 0; i < LENDINGS_MAX; i++)
    if (escrow->lendings[i].count == 0)
      {
        uint32_t lent = acquire_own (escrow, count);

        escrow->lendings[i] = (lending_t){ lent, expiry_us };
        return lent;
      }
  return 0;
}

bool
escrow_borrow (escrow_t *escrow, uint32_t count, int64_t expiry_us)
{
  for (uint32_t i = 0; i < LOANS_MAX; i++)
    {
      loan_t *loan = &escrow->loans[i];
      uint32_t generation;

      if (loan->open)
        continue;
      generation = loan_generation (atomic_load (&loan->word));
      atomic_store (&loan->expiry_us, expiry_us);
      atomic_store (&loan->word, loan_pack (generation, count));
      loan->open = true;
      atomic_fetch_add (&escrow->open_loans, 1);
      return true;
    }
  return false;
}

/* The generation advances when a loan ends, not when the slot is reused, so
   that permits released in between are dropped too.  */
static void
end_loan (escrow_t *escrow, loan_t *loan)
{
  uint32_t generation = loan_generation (atomic_load (&loan->word));

  atomic_store (&loan->word, loan_pack (generation + 1, 0));
  loan->open = false;
  atomic_fetch_sub (&escrow->open_loans, 1);
}

uint32_t
escrow_lent (const escrow_t *escrow)
{
  uint32_t lent = 0;

  for (uint32_t i = 0; i < LENDINGS_MAX; i++)
    lent += escrow->lendings[i].count;
  return lent;
}

void
escrow_expire (escrow_t *escrow, int64_t now_us)
{
  for (uint32_t i = 0; i < LOANS_MAX; i++)
    {
      loan_t *loan = &escrow->loans[i];

      if (loan->open && now_us >= atomic_load (&loan->expiry_us))
        end_loan (escrow, loan);
    }
  for (uint32_t i = 0; i < LENDINGS_MAX; i++)
    {
      lending_t *lending = &escrow->lendings[i];

      if (lending->count == 0
          || now_us <= lending->expiry_us + CLOCK_ERROR_MS * INT64_C (1000))
        continue;
      atomic_fetch_add (&escrow->free, lending->count);
      lending->count = 0;
    }
}
