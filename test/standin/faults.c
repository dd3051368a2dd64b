#include "standin.h"
#include <string.h>

static const char *const names[FAULT_COUNT] = {
  [FAULT_FAIL] = "fail",          [FAULT_TRUNCATE] = "truncate",
  [FAULT_CROSS] = "cross",        [FAULT_SILENT] = "silent",
  [FAULT_REFUSE] = "refuse_rate",
};

static atomic_uint fault_percent[FAULT_COUNT]; /* of requests */
static atomic_uint current_delay_ms;
static atomic_bool leaving;
static uint32_t default_delay_ms;

void
faults_init (uint32_t delay_ms)
{
  default_delay_ms = delay_ms;
  atomic_store (&current_delay_ms, delay_ms);
}

static unsigned
read_percent (const json_t *value)
{
  json_int_t rate;

  if (json_is_integer (value))
    {
      rate = json_integer_value (value);
      return (unsigned)CLAMP (rate, 0, 100);
    }
  return json_is_true (value) ? 100 : 0;
}

static bool
is_known (const char *name)
{
  for (size_t i = 0; i < FAULT_COUNT; i++)
    if (strcmp (names[i], name) == 0)
      return true;
  return strcmp (name, "delay_ms") == 0 || strcmp (name, "leaving") == 0;
}

bool
faults_set (const char *text, size_t len)
{
  json_t *root = json_loadb (text, len, 0, NULL);
  bool known = json_is_object (root);
  const char *name;
  json_t *value;

  json_object_foreach (root, name, value) known = known && is_known (name);
  if (known)
    {
      for (size_t i = 0; i < FAULT_COUNT; i++)
        atomic_store (&fault_percent[i],
                      read_percent (json_object_get (root, names[i])));
      value = json_object_get (root, "delay_ms");
      atomic_store (&current_delay_ms,
                    json_is_integer (value)
                        ? (unsigned)json_integer_value (value)
                        : default_delay_ms);
      atomic_store (&leaving,
                    json_is_true (json_object_get (root, "leaving")));
    }
  json_decref (root);
  return known;
}

fault_t
faults_choose (void)
{
  for (int i = 0; i < FAULT_COUNT; i++)
    {
      unsigned rate
          = atomic_load_explicit (&fault_percent[i], memory_order_relaxed);

      if (rate > 0 && (unsigned)g_random_int_range (0, 100) < rate)
        return (fault_t)i;
    }
  return FAULT_NONE;
}

uint32_t
faults_delay_ms (void)
{
  return atomic_load (&current_delay_ms);
}

bool
faults_leaving (void)
{
  return atomic_load (&leaving);
}

bool
faults_silent (void)
{
  return atomic_load (&fault_percent[FAULT_SILENT]) > 0;
}
