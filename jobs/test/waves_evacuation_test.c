#include "evacrig.h"

#define HOSTS 6

/* Hosts h0 to h2 are in near-dc, h3 to h5 in far-dc; no worker runs there.
   Those in DOWN are in maintenance.  */
static void
list_hosts (const bool down[HOSTS])
{
  g_autoptr (GArray) infos = g_array_new (FALSE, TRUE, sizeof (host_info_t));

  for (uint32_t i = 0; i < HOSTS; i++)
    {
      g_autofree char *name = g_strdup_printf ("h%u", i);
      host_info_t info
          = { .host = g_intern_string (name),
              .pool = RIG_SERVICE,
              .worker = "",
              .data_centre = i < HOSTS / 2 ? "near-dc" : "far-dc",
              .state = down[i] ? HOST_STATUS_MAINTENANCE : HOST_STATUS_UP };

      g_array_append_val (infos, info);
    }
  hosts_set (rig.sched, infos, rig.now.us, rig.now);
}

static uint32_t
host_number (const host_order_t *order)
{
  return (uint32_t)(order->host[1] - '0');
}

/* Carries out the orders for a second in which no maintenance ends, and sets
   DOWN for their hosts.  */
static void
take_orders (bool down[HOSTS])
{
  host_order_t order;

  for (uint32_t i = 0; i < 10; i++)
    {
      if (!rig_next_order (100, &order))
        continue;
      hosts_reply (rig.sched, &order, HOST_REPLY_OK, rig.now);
      down[host_number (&order)] = true;
    }
}

static uint32_t
count_down (const bool down[HOSTS], uint32_t from, uint32_t to)
{
  uint32_t count = 0;

  for (uint32_t i = from; i < to; i++)
    count += down[i];
  return count;
}

/* Guards against a wave that has as many hosts down outside of a withdrawn
   data centre as if the hosts there were in use.  */
START_TEST (test_withdrawn_hosts_are_no_room)
{
  bool down[HOSTS] = { false };

  evacrig_evacuate ("far-dc");
  list_hosts (down);
  rig_set_wave ("h0 h1 h2 h3 h4 h5", 2);
  take_orders (down);
  ck_assert_uint_eq (count_down (down, 0, 3), 1);
  ck_assert_uint_eq (count_down (down, 3, HOSTS), 1);
}
END_TEST

/* Guards against a host that goes down although it was drained before the
   other data centre was withdrawn, when the limit has become smaller.  */
START_TEST (test_drained_host_waits_for_the_smaller_limit)
{
  bool down[HOSTS] = { false };
  host_order_t order;

  list_hosts (down);
  rig_set_wave ("h0 h1 h2 h3 h4 h5", 2);
  ck_assert (rig_next_order (100, &order)); /* two hosts are drained */
  ck_assert_uint_eq (host_number (&order), 0);
  hosts_reply (rig.sched, &order, HOST_REPLY_OK, rig.now);
  down[0] = true;
  evacrig_evacuate ("far-dc");
  list_hosts (down);
  take_orders (down);
  ck_assert_uint_eq (count_down (down, 0, 3), 1);
  ck_assert_uint_le (count_down (down, 0, HOSTS), 2);
  evacrig_take_back ("far-dc");
  memset (&down[3], 0, 3 * sizeof down[0]); /* a withdrawn one may have gone */
  rig_advance_clock (2000);
  list_hosts (down);
  take_orders (down);
  ck_assert_uint_eq (count_down (down, 0, 3), 2);
  ck_assert_uint_eq (count_down (down, 0, HOSTS), 2);
}
END_TEST

/* Guards against hosts of a withdrawn data centre that are in maintenance
   beyond the operators' limit.  */
START_TEST (test_withdrawn_hosts_count_in_the_whole_limit)
{
  bool down[HOSTS] = { false };

  evacrig_evacuate ("near-dc");
  evacrig_evacuate ("far-dc");
  list_hosts (down);
  rig_set_wave ("h0 h1 h2 h3 h4 h5", 2);
  take_orders (down);
  ck_assert_uint_eq (count_down (down, 0, HOSTS), 2);
}
END_TEST

/* Guards against a wave that does not end while a data centre is withdrawn:
   the limit for the other hosts is at least one.  */
START_TEST (test_wave_ends_during_an_evacuation)
{
  bool begun[HOSTS] = { false };

  evacrig_evacuate ("far-dc");
  list_hosts (begun);
  rig_set_wave ("h0 h1 h2 h3 h4 h5", 1);
  for (uint32_t round = 0; round < HOSTS; round++)
    {
      static const bool none_down[HOSTS];
      bool down[HOSTS] = { false };

      take_orders (down);
      ck_assert_uint_le (count_down (down, 0, HOSTS), 1);
      for (uint32_t i = 0; i < HOSTS; i++)
        begun[i] |= down[i];
      rig_advance_clock (2000);
      list_hosts (none_down);
    }
  ck_assert_uint_eq (count_down (begun, 0, HOSTS), HOSTS);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/waves_evacuation", evacrig_set_up, evacrig_tear_down,
                   test_withdrawn_hosts_are_no_room,
                   test_drained_host_waits_for_the_smaller_limit,
                   test_withdrawn_hosts_count_in_the_whole_limit,
                   test_wave_ends_during_an_evacuation)
