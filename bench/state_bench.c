/* state_bench - cost of the shared state to a daemon, by number of workers,
   pools, teams and keys: the slopes in docs/CAPACITY.md

   usage: state_bench

   Prints one row for each fleet size: bytes of the fleet file; time to load
   and check it; memory of the folded state and of a copy for a view; time to
   copy it; bytes of a snapshot and time to load it; bytes of one small record
   and the rate at which records are folded.  */

#include "wire.h"
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#define FOLD_RECORDS 200000
#define REPEATS 20

typedef struct size
{
  uint32_t workers;
  uint32_t pools;
  uint32_t teams;
  uint32_t keys; /* per team */
  uint32_t data_centres;
} fleet_size_t;

static const fleet_size_t sizes[] = {
  { 50, 5, 6, 2, 3 },     { 250, 5, 6, 2, 3 },    { 500, 10, 20, 2, 3 },
  { 1000, 20, 40, 2, 5 }, { 1900, 30, 82, 2, 5 }, { 3800, 60, 164, 2, 5 },
};

static char *
make_fleet (const fleet_size_t *size)
{
  GString *text = g_string_new ("format: 1\ndata_centres:\n");
  char digest[KEY_DIGEST_HEX + 1];

  for (uint32_t i = 0; i < size->data_centres; i++)
    g_string_append_printf (text, "  - {name: dc%u, region: r%u}\n", i, i % 2);
  g_string_append (text, "racks:\n");
  for (uint32_t i = 0; i < (size->workers + 3) / 4; i++)
    g_string_append_printf (text, "  - {name: rack%u, data_centre: dc%u}\n", i,
                            i % MAX (1, size->data_centres));
  g_string_append (text, "pools:\n");
  for (uint32_t i = 0; i < size->pools; i++)
    g_string_append_printf (text, "  - {name: pool%u, budget_hosts: 2}\n", i);
  g_string_append (text, "hosts:\n");
  for (uint32_t i = 0; i < size->workers; i++)
    g_string_append_printf (text,
                            "  - {name: w%04u, rack: rack%u, pool: pool%u, "
                            "cpu_milli: 64000, mem_mib: 262144, accels: 1}\n",
                            i, i / 4, i % MAX (1, size->pools));
  g_string_append (text, "teams:\n");
  for (uint32_t i = 0; i < size->teams; i++)
    g_string_append_printf (text, "  - {name: team%u, share: 1, limit: 50}\n",
                            i);
  g_string_append (text, "keys:\n");
  for (uint32_t i = 0; i < size->teams * size->keys; i++)
    {
      g_autofree char *key = g_strdup_printf ("key-%u", i);

      key_digest (key, strlen (key), digest);
      g_string_append_printf (text,
                              "  - {id: k%u, team: team%u, digest: %s}\n", i,
                              i % MAX (1, size->teams), digest);
    }
  g_string_append (text, "entry_hosts:\n");
  for (uint32_t i = 0; i < 9; i++)
    g_string_append_printf (text,
                            "  - {name: e%u, data_centre: dc%u, address: "
                            "127.0.0.1, peer_port: %u}\n",
                            i, i % MAX (1, size->data_centres), 9000 + i);
  return g_string_free (text, FALSE);
}

static size_t
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

static state_t *
fold_fleet (const char *text)
{
  state_t *state = state_new ();
  rec_t rec;

  rec_init (&rec, REC_CONFIG, "bench", 0);
  rec.u.config.format = FLEET_FORMAT;
  rec.u.config.text = g_strdup (text);
  rec.u.config.len = strlen (text);
  if (!rec_check (&rec, NULL)
      || state_fold (state, &rec, 0) != VERDICT_APPLIED)
    g_error ("the generated fleet was rejected");
  rec_clear (&rec);
  return state;
}

static int64_t
time_copy_us (const state_t *state, size_t *bytes)
{
  size_t before = heap_bytes ();
  state_t *copy = state_copy (state);
  int64_t start_us;

  *bytes = heap_bytes () - before;
  state_free (copy);
  start_us = clock_mono_us ();
  for (uint32_t i = 0; i < REPEATS; i++)
    state_free (state_copy (state));
  return (clock_mono_us () - start_us) / REPEATS;
}

static int64_t
time_snapshot_load_us (const state_t *state, size_t *bytes)
{
  g_autoptr (GBytes) snapshot = wire_encode_snapshot (state);
  int64_t start_us = clock_mono_us ();
  gsize len;
  const void *data = g_bytes_get_data (snapshot, &len);

  *bytes = len;
  for (uint32_t i = 0; i < REPEATS; i++)
    state_free (wire_decode_snapshot (data, len, NULL));
  return (clock_mono_us () - start_us) / REPEATS;
}

/* Folds records that set one host to failed and back to in service, the most
   common kind of record.  Returns records per second.  */
static uint64_t
fold_rate (state_t *state, size_t *bytes)
{
  const host_state_t *host = table_at (&state->hosts, state->hosts.count / 2);
  GBytes **log = g_new (GBytes *, FOLD_RECORDS);
  uint64_t version = host->version;
  uint64_t offset = state->offset;
  uint32_t applied = 0;
  int64_t elapsed_us;
  rec_t rec;

  for (uint32_t i = 0; i < FOLD_RECORDS; i++)
    {
      rec_init (&rec, REC_HOST_STATE, "bench", 0);
      g_strlcpy (rec.u.host_state.host, host->name, REC_NAME_BYTES);
      rec.u.host_state.phase = i % 2 ? HOST_IN_SERVICE : HOST_FAILED;
      rec.u.host_state.host_version = version + i;
      log[i] = wire_encode_rec (&rec);
    }
  *bytes = g_bytes_get_size (log[0]);
  elapsed_us = clock_mono_us ();
  for (uint32_t i = 0; i < FOLD_RECORDS; i++)
    {
      gsize len;
      const void *data = g_bytes_get_data (log[i], &len);

      if (wire_fold (state, data, len, offset + i, NULL, NULL)
          == VERDICT_APPLIED)
        applied++;
    }
  elapsed_us = clock_mono_us () - elapsed_us;
  if (applied != FOLD_RECORDS)
    g_error ("only %u of %u records applied", applied, FOLD_RECORDS);
  for (uint32_t i = 0; i < FOLD_RECORDS; i++)
    g_bytes_unref (log[i]);
  g_free (log);
  return (uint64_t)FOLD_RECORDS * 1000000 / (uint64_t)elapsed_us;
}

static void
print_row (const fleet_size_t *size)
{
  g_autofree char *text = make_fleet (size);
  size_t before = heap_bytes ();
  int64_t load_us = clock_mono_us ();
  state_t *state = fold_fleet (text);
  size_t state_bytes;
  size_t copy_bytes;
  size_t snapshot_bytes;
  size_t rec_bytes;
  int64_t copy_us;
  int64_t start_us;
  uint64_t rate;

  load_us = clock_mono_us () - load_us;
  state_bytes = heap_bytes () - before;
  copy_us = time_copy_us (state, &copy_bytes);
  start_us = time_snapshot_load_us (state, &snapshot_bytes);
  rate = fold_rate (state, &rec_bytes);
  printf ("%7u %5u %5u %8zu %8" PRId64 " %9zu %9zu %7" PRId64 " %9zu %8" PRId64
          " %7zu %10" PRIu64 "\n",
          size->workers, size->pools, size->teams, strlen (text), load_us,
          state_bytes, copy_bytes, copy_us, snapshot_bytes, start_us,
          rec_bytes, rate);
  state_free (state);
}

int
main (void)
{
  printf ("workers pools teams  file_B  load_us   state_B    copy_B copy_us "
          "snapshot_B start_us  rec_B  records/s\n");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    print_row (&sizes[i]);
  return 0;
}
