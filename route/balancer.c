#include "route.h"

static bool
is_usable (const candidate_t *c, health_status_t status)
{
  return c->status == status && !c->tried && c->in_use < c->slots;
}

static bool
is_eligible (const candidate_t *c, bool local)
{
  return is_usable (c, HEALTH_OK) && c->local == local;
}

/* Returns the index of the NTH eligible candidate, counted from 0.  */
static uint32_t
nth_eligible (const candidate_t *candidates, uint32_t count, bool local,
              uint32_t nth)
{
  for (uint32_t i = 0; i < count; i++)
    if (is_eligible (&candidates[i], local) && nth-- == 0)
      return i;
  return BALANCER_NONE;
}

/* Relative time for the slots of C to finish their requests and one more; the
   load per slot if latencies are not compared.  */
static double
expected_wait (const candidate_t *c, bool by_latency)
{
  double load = (double)(c->in_use + 1) / c->slots;

  return by_latency ? load * c->latency_us : load;
}

/* Returns the index with the shorter expected wait.  Latency counts only if it
   is known for both.  */
static uint32_t
less_loaded (const candidate_t *candidates, uint32_t a, uint32_t b)
{
  const candidate_t *x = &candidates[a];
  const candidate_t *y = &candidates[b];
  bool by_latency = x->latency_us > 0 && y->latency_us > 0;

  return expected_wait (y, by_latency) < expected_wait (x, by_latency) ? b : a;
}

static uint32_t
pick_of_two (const candidate_t *candidates, uint32_t count, bool local,
             uint64_t random)
{
  uint32_t eligible = 0;
  uint32_t first;
  uint32_t second;

  for (uint32_t i = 0; i < count; i++)
    eligible += is_eligible (&candidates[i], local);
  if (eligible == 0)
    return BALANCER_NONE;
  first = (uint32_t)random % eligible;
  if (eligible == 1)
    return nth_eligible (candidates, count, local, first);
  second = (uint32_t)(random >> 32) % (eligible - 1);
  if (second >= first)
    second++;
  return less_loaded (candidates,
                      nth_eligible (candidates, count, local, first),
                      nth_eligible (candidates, count, local, second));
}

uint32_t
balancer_pick (const candidate_t *candidates, uint32_t count, uint64_t random)
{
  uint32_t picked;

  for (uint32_t i = 0; i < count; i++)
    if (is_usable (&candidates[i], HEALTH_PROBE))
      return i;
  picked = pick_of_two (candidates, count, true, random);
  if (picked == BALANCER_NONE)
    picked = pick_of_two (candidates, count, false, random);
  return picked;
}
