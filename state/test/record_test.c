/* Guards against accepting records that lack a field which their kind
   requires, and against two records with the same id.  */

#include "records.h"

START_TEST (records_without_required_fields_are_rejected)
{
  const struct
  {
    rec_t rec;
    const char *error; /* NULL: well formed */
  } rows[] = {
    { rec_key (REC_KEY_GRANT, "k", "t", 'a'), NULL },
    { rec_key (REC_KEY_GRANT, "", "t", 'a'),
      "key-grant: id: expected a name, found none" },
    { rec_key (REC_KEY_GRANT, "k", "", 'a'),
      "key-grant: team: expected a name, found none" },
    { rec_key (REC_KEY_GRANT, "k", "t", 'A'),
      "key-grant: digest: expected 64 lower-case hexadecimal digits" },
    { rec_key (REC_KEY_GRANT, "k", "t", '\0'),
      "key-grant: digest: expected 64 lower-case hexadecimal digits" },
    { rec_key (REC_KEY_WITHDRAW, "k", "", '\0'), NULL },
    { rec_key (REC_KEY_WITHDRAW, "", "", '\0'),
      "key-withdraw: id: expected a name, found none" },
    { rec_entry (REC_JOIN, "e", 1), NULL },
    { rec_entry (REC_JOIN, "", 1), "join: name: expected a name, found none" },
    { rec_entry (REC_LEAVE, "", 1),
      "leave: name: expected a name, found none" },
    { rec_move ("h", 1, "p"), NULL },
    { rec_move ("", 1, "p"), "host-move: host: expected a name, found none" },
    { rec_move ("h", 1, ""), "host-move: pool: expected a name, found none" },
    { rec_drain ("h", 1), NULL },
    { rec_drain ("", 1), "drain: host: expected a name, found none" },
    { rec_host_state ("", 1, HOST_FAILED),
      "host-state: host: expected a name, found none" },
    { rec_wave ("", 1, WAVE_RUNNING),
      "wave: wave: expected a name, found none" },
    { rec_of (REC_UNKNOWN), NULL },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autoptr (GError) error = NULL;
      rec_t rec = rows[i].rec;
      bool ok = rec_check (&rec, &error);

      ck_assert_msg (ok == !rows[i].error, "row %zu", i);
      if (rows[i].error && error)
        ck_assert_str_eq (error->message, rows[i].error);
    }
}
END_TEST

START_TEST (config_is_loaded_or_rejected_as_a_whole)
{
  g_autoptr (GError) error = NULL;
  rec_t rec = rec_publish (0, "");

  ck_assert (rec_check (&rec, NULL));
  ck_assert_ptr_nonnull (rec.u.config.fleet);
  ck_assert (rec_check (&rec, NULL));
  rec_clear (&rec);
  rec = rec_publish (0, "x");
  ck_assert (!rec_check (&rec, &error));
  ck_assert_ptr_null (rec.u.config.fleet);
  ck_assert_str_eq (error->message,
                    "fleet:13: keys[0]: expected a mapping, found \"x\"");
  rec_clear (&rec);
  /* The text of another format is not checked by the rules of this one.  */
  rec = rec_publish (0, "x");
  rec.u.config.format = FLEET_FORMAT + 1;
  ck_assert (rec_check (&rec, NULL));
  rec_clear (&rec);
  rec_clear (&rec);
}
END_TEST

START_TEST (ids_differ_and_long_names_are_truncated)
{
  rec_t one = rec_of (REC_JOIN);
  rec_t two;
  char author[2 * REC_NAME_BYTES];

  memset (author, 'x', sizeof author);
  author[sizeof author - 1] = '\0';
  rec_init (&two, REC_JOIN, author, 7);
  ck_assert_mem_ne (one.id, two.id, REC_ID_BYTES);
  ck_assert_uint_eq (strlen (two.author), REC_NAME_BYTES - 1);
  ck_assert (one.required);
}
END_TEST

TEST_PROGRAM ("record", records_without_required_fields_are_rejected,
              config_is_loaded_or_rejected_as_a_whole,
              ids_differ_and_long_names_are_truncated)
