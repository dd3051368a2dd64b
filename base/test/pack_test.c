/* Guards against msgpack input whose element counts exceed the input: the
   decoder would allocate memory for elements that don't follow.  */

#include "../../test/run_suite.h"
#include "base.h"

#define CASE(valid, ...)                                                      \
  {                                                                           \
    valid, sizeof ((uint8_t[]){ __VA_ARGS__ }), { __VA_ARGS__ }               \
  }

static const struct
{
  bool valid;
  size_t len;
  uint8_t bytes[24];
} cases[] = {
  CASE (true, 0xc0),
  CASE (true, 0x93, 1, 2, 3),
  CASE (true, 0x82, 1, 2, 3, 0x90),
  CASE (true, 0xc4, 2, 0, 0),
  CASE (true, 0xc7, 1, 9, 0),
  CASE (true, 0xd5, 9, 0, 0),
  CASE (true, 0xcd, 1, 2),
  CASE (true, 0xd3, 1, 2, 3, 4, 5, 6, 7, 8),
  CASE (true, 0xdc, 0, 1, 0xd9, 1, 'a'),
  CASE (true, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0),
  CASE (false, 0xc1),
  CASE (false, 0xc0, 0xc0),
  CASE (false, 0x93, 1, 2),
  CASE (false, 0xdd, 0xff, 0xff, 0xff, 0xff),
  CASE (false, 0xdf, 0xff, 0xff, 0xff, 0xff, 0, 0),
  CASE (false, 0xdb, 0xff, 0xff, 0xff, 0xff, 'a'),
  CASE (false, 0xc6, 0, 0, 0, 2, 0),
  CASE (false, 0xc9, 0, 0, 0),
  CASE (false, 0xcf, 1, 2, 3),
  CASE (false, 0x92, 0x94, 0, 0, 0, 0),
  CASE (false, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0),
};

START_TEST (counts_are_compared_with_the_input)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    ck_assert_msg (pack_is_bounded (cases[i].bytes, cases[i].len)
                       == cases[i].valid,
                   "case %zu", i);
}
END_TEST

START_TEST (empty_input_is_rejected) { ck_assert (!pack_is_bounded ("", 0)); }
END_TEST

TEST_PROGRAM ("pack", counts_are_compared_with_the_input,
              empty_input_is_rejected)
