#include "../../test/run_suite.h"
#include "admit.h"
#include <sodium.h>
#include <string.h>

#define TEAMS 82
#define KEYS_PER_TEAM 5

static key_state_t *
add_key (state_t *state, const char *id, const char *team, const char *key)
{
  key_state_t *entry = table_add (&state->keys, id);

  entry->team = g_intern_string (team);
  crypto_generichash (entry->digest, sizeof entry->digest,
                      (const unsigned char *)key, strlen (key), NULL, 0);
  return entry;
}

/* Guards against a key that authenticates as another team, or not at all, with
   the number of teams and keys of the target deployment.  */
START_TEST (each_key_maps_to_its_team)
{
  state_t *state = state_new ();
  key_index_t *index;

  for (uint32_t i = 0; i < TEAMS * KEYS_PER_TEAM; i++)
    {
      g_autofree char *key = g_strdup_printf ("secret-%u", i);
      g_autofree char *team = g_strdup_printf ("team-%u", i % TEAMS);

      add_key (state, key, team, key);
    }
  index = key_index_new (state);
  for (uint32_t i = 0; i < 2 * TEAMS * KEYS_PER_TEAM; i++)
    {
      g_autofree char *key = g_strdup_printf ("secret-%u", i);
      g_autofree char *team = g_strdup_printf ("team-%u", i % TEAMS);
      const char *found = key_index_find (index, key, strlen (key));

      if (i < TEAMS * KEYS_PER_TEAM)
        ck_assert_str_eq (found, team);
      else
        ck_assert_ptr_null (found);
    }
  key_index_free (index);
  state_free (state);
}
END_TEST

/* Guards against accepting a withdrawn key, also when another id has the same
   digest, and against faults with an empty index or an empty key.  */
START_TEST (withdrawn_and_unknown_keys_are_rejected)
{
  state_t *state = state_new ();
  key_index_t *index = key_index_new (state);

  ck_assert_ptr_null (key_index_find (index, "", 0));
  key_index_free (index);
  add_key (state, "a", "team", "one");
  add_key (state, "b", "team", "one")->withdrawn = true;
  add_key (state, "c", "team", "one");
  add_key (state, "d", "team", "two");
  index = key_index_new (state);
  ck_assert_ptr_null (key_index_find (index, "one", 3));
  ck_assert_ptr_null (key_index_find (index, "two", 2));
  ck_assert_ptr_null (key_index_find (index, "two", 4)); /* with the NUL */
  ck_assert_str_eq (key_index_find (index, "two", 3), "team");
  key_index_free (index);
  state_free (state);
}
END_TEST

TEST_PROGRAM ("key", each_key_maps_to_its_team,
              withdrawn_and_unknown_keys_are_rejected)
