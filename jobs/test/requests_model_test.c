/* A random model of one client's requests for one job at several daemons.
   Each daemon folds the log at its own pace; it may be suspended, with
   requests waiting in its sockets, or restart from a snapshot of another one.
   A record that was made is stored late, or twice, whether its daemon goes on
   or not.  What the client was told has to stay true.  */

#include "rig.h"

#define DAEMONS 3
#define RUNS 10000
#define STEPS 240
/* Longest time in steps for which a daemon is suspended.  All that waits in
   its sockets is read before CANCELS_HOLD_US have passed.  */
#define SUSPENDED_MAX 24
#define STEP_US (CANCELS_HOLD_US / 40)
/* The client waits this long for an answer.  */
#define PATIENCE 6

typedef enum ask
{
  ASK_NOTHING,
  ASK_JOB,    /* the last request was a POST */
  ASK_NO_JOB, /* it was a DELETE */
} ask_t;

typedef struct request
{
  ask_t ask;
  uint32_t daemon;
  uint32_t due;    /* step in which its daemon may read it */
  GBytes *record;  /* NULL: its daemon has not read it */
  uint32_t stored; /* records that the log had when it was sent */
  bool is_over;    /* it was answered, or its daemon has restarted */
} request_t;

typedef struct daemon
{
  jobtab_t *tab;
  uint32_t awake; /* step from which on it runs */
} daemon_t;

typedef struct model
{
  GRand *rand;
  daemon_t daemons[DAEMONS];
  jobtab_t *all;       /* of the whole log */
  GPtrArray *log;      /* GBytes */
  GPtrArray *unstored; /* GBytes that are yet to be stored, or again */
  GPtrArray *requests; /* request_t */
  request_t *present;  /* that the client waits for; NULL: none */
  uint32_t sent;       /* step in which it was sent */
  ask_t told;          /* the last request was answered so; ASK_NOTHING: it was
                          not answered yet, or refused */
  bool unanswered;     /* some DELETE was: it may take effect on a job that was
                          accepted before it */
  bool firm;           /* told of a job on which none may */
  uint32_t step;
} model_t;

static bool
chance (model_t *model, uint32_t one_in)
{
  return g_rand_int_range (model->rand, 0, (gint32)one_in) == 0;
}

static int64_t
time_us (const model_t *model)
{
  return (int64_t)(model->step + 1) * STEP_US;
}

static void
request_free (gpointer data)
{
  request_t *request = data;

  if (request->record)
    g_bytes_unref (request->record);
  g_free (request);
}

static fold_result_t
fold (model_t *model, jobtab_t *tab, GBytes *record)
{
  gsize len;
  const void *data = g_bytes_get_data (record, &len);
  fold_result_t folded;
  job_rec_t rec;

  ck_assert (job_rec_unpack (data, len, &rec, NULL));
  tab->next++;
  folded = jobtab_fold (tab, &rec, 0, time_us (model));
  job_rec_clear (&rec);
  return folded;
}

static bool
is_active (const jobtab_t *tab)
{
  const job_entry_t *entry = jobtab_find (tab, rig_id (1));

  return entry && !job_state_is_final (entry->state);
}

/* What the client was told last is true of the log.  */
static void
check_told (const model_t *model)
{
  switch (model->told)
    {
    case ASK_NOTHING:
      return;
    case ASK_JOB:
      ck_assert_msg (jobtab_find (model->all, rig_id (1)) != NULL,
                     "a job that was answered 200 isn't in the log");
      return;
    case ASK_NO_JOB:
      ck_assert_msg (!is_active (model->all),
                     "a job whose cancelling was answered is queued");
      return;
    }
}

static void
store_record (model_t *model, GBytes *record)
{
  bool was_active = is_active (model->all);

  g_ptr_array_add (model->log, g_bytes_ref (record));
  fold (model, model->all, record);
  ck_assert_msg (model->told != ASK_JOB || !model->firm || !was_active
                     || is_active (model->all),
                 "a job that was answered 200 is cancelled");
  check_told (model);
}

static GBytes *
make_record (model_t *model, ask_t ask, const jobtab_t *tab)
{
  job_rec_t rec = { .position = tab->next };
  GBytes *record;

  if (ask == ASK_NO_JOB)
    {
      rec.kind = JREC_CANCEL;
      rec.u.cancel.nonce = ((uint64_t)g_rand_int (model->rand) << 32)
                           | g_rand_int (model->rand);
      memcpy (rec.u.cancel.id, rig_id (1), JOB_ID_BYTES);
      rec.u.cancel.queue = rec.u.cancel.workspace = g_intern_string ("q");
      return job_rec_pack (&rec);
    }
  rec.kind = JREC_SUBMIT;
  rec.u.submit = g_new0 (job_desc_t, 1);
  memcpy (rec.u.submit->id, rig_id (1), JOB_ID_BYTES);
  rec.u.submit->workspace = rec.u.submit->queue
      = rec.u.submit->settings.service = g_intern_string ("q");
  rec.u.submit->payload = g_strdup ("");
  rec.u.submit->steps = g_new0 (job_step_t, 1);
  rec.u.submit->steps[0] = rig_step (1);
  rec.u.submit->steps_count = 1;
  record = job_rec_pack (&rec);
  job_rec_clear (&rec);
  return record;
}

static void
answer (model_t *model, request_t *request, ask_t told)
{
  request->is_over = true;
  if (request != model->present)
    return;
  model->present = NULL;
  model->told = told;
  model->unanswered |= request->ask == ASK_NO_JOB && told == ASK_NOTHING;
  if (told == ASK_JOB)
    model->firm
        = !model->unanswered
          || jobtab_find (model->all, rig_id (1))->limit > request->stored;
  check_told (model);
}

/* The daemon of REQUEST reads it from its socket; OUTDATED: right after it was
   suspended.  */
static void
read_request (model_t *model, request_t *request, bool outdated)
{
  const jobtab_t *tab = model->daemons[request->daemon].tab;
  const job_entry_t *entry = jobtab_find (tab, rig_id (1));

  if (entry && (request->ask == ASK_JOB || job_state_is_final (entry->state)))
    {
      answer (model, request, request->ask);
      return;
    }
  if (request->ask == ASK_NO_JOB
          ? outdated
          : cancels_hold (&tab->cancels, rig_id (1), access_scope ("q", "q"),
                          time_us (model)))
    {
      answer (model, request, ASK_NOTHING);
      return;
    }
  request->record = make_record (model, request->ask, tab);
  for (uint32_t copies = chance (model, 4) ? 2 : 1; copies > 0; copies--)
    g_ptr_array_add (model->unstored, g_bytes_ref (request->record));
}

/* A daemon that has folded RECORD answers REQUEST, as entry/appends does.  */
static void
settle (model_t *model, request_t *request, const jobtab_t *tab,
        GBytes *record, fold_kind_t folded)
{
  const job_entry_t *entry = jobtab_find (tab, rig_id (1));

  if (!request->record || request->is_over)
    return;
  if (entry && (request->ask == ASK_JOB || job_state_is_final (entry->state)))
    answer (model, request, request->ask);
  else if (g_bytes_equal (record, request->record))
    answer (model, request, folded == FOLD_VOID ? ASK_NOTHING : request->ask);
}

static void
read_log (model_t *model, uint32_t index)
{
  jobtab_t *tab = model->daemons[index].tab;
  GBytes *record;
  fold_kind_t folded;

  if (tab->next >= model->log->len)
    return;
  record = g_ptr_array_index (model->log, tab->next);
  folded = fold (model, tab, record).kind;
  for (uint32_t i = 0; i < model->requests->len; i++)
    {
      request_t *request = g_ptr_array_index (model->requests, i);

      if (request->daemon == index)
        settle (model, request, tab, record, folded);
    }
}

static void
read_some_of_the_log (model_t *model, uint32_t index)
{
  for (uint32_t reads = (uint32_t)g_rand_int_range (model->rand, 0, 4);
       reads > 0; reads--)
    read_log (model, index);
}

/* The daemon is killed, and starts from a snapshot of another one, or of
   itself.  */
static void
restart_daemon (model_t *model, uint32_t index)
{
  const daemon_t *other
      = &model->daemons[g_rand_int_range (model->rand, 0, DAEMONS)];
  g_autoptr (GBytes) bytes = jobtab_pack (other->tab);
  gsize len;
  const void *data = g_bytes_get_data (bytes, &len);
  jobtab_t *tab = jobtab_unpack (data, len, NULL);

  ck_assert_ptr_nonnull (tab);
  cancels_set_read (&tab->cancels, time_us (model));
  jobtab_free (model->daemons[index].tab);
  model->daemons[index].tab = tab;
  for (uint32_t i = 0; i < model->requests->len; i++)
    {
      request_t *request = g_ptr_array_index (model->requests, i);

      if (request->daemon == index)
        answer (model, request, ASK_NOTHING);
    }
}

static void
run_daemon (model_t *model, uint32_t index)
{
  daemon_t *daemon = &model->daemons[index];
  bool was_suspended = model->step == daemon->awake;

  if (model->step < daemon->awake)
    return;
  if (chance (model, 25))
    daemon->awake
        = model->step
          + (uint32_t)g_rand_int_range (model->rand, 2, SUSPENDED_MAX + 1);
  if (chance (model, 60))
    restart_daemon (model, index);
  if (chance (model, 2))
    read_some_of_the_log (model, index);
  for (uint32_t i = 0; i < model->requests->len; i++)
    {
      request_t *request = g_ptr_array_index (model->requests, i);

      if (request->daemon == index && !request->record && !request->is_over
          && request->due <= model->step)
        read_request (model, request, was_suspended);
    }
  read_some_of_the_log (model, index);
}

static void
run_store (model_t *model)
{
  while (model->unstored->len > 0 && !chance (model, 3))
    {
      g_autoptr (GBytes) record = g_ptr_array_steal_index (
          model->unstored, (guint)g_rand_int_range (
                               model->rand, 0, (gint32)model->unstored->len));

      store_record (model, record);
      if (chance (model, 8))
        g_ptr_array_add (model->unstored, g_bytes_ref (record));
    }
}

/* The client has one request at a time, and gives up those that are not
   answered.  */
static void
run_client (model_t *model)
{
  request_t *request;

  if (model->present && model->step - model->sent < PATIENCE)
    return;
  if (model->present)
    model->unanswered |= model->present->ask == ASK_NO_JOB;
  model->present = NULL;
  if (model->step + 2 * SUSPENDED_MAX > STEPS || !chance (model, 4))
    return;
  request = g_new0 (request_t, 1);
  request->ask = chance (model, 2) ? ASK_JOB : ASK_NO_JOB;
  request->daemon = (uint32_t)g_rand_int_range (model->rand, 0, DAEMONS);
  request->due = model->step;
  request->stored = model->log->len;
  g_ptr_array_add (model->requests, request);
  model->present = request;
  model->sent = model->step;
  model->told = ASK_NOTHING;
}

static void
run_model (uint32_t seed)
{
  model_t model = { .rand = g_rand_new_with_seed (seed) };

  model.all = jobtab_new ();
  model.log = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  model.unstored
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  model.requests = g_ptr_array_new_with_free_func (request_free);
  for (uint32_t i = 0; i < DAEMONS; i++)
    model.daemons[i].tab = jobtab_new ();
  for (; model.step < STEPS; model.step++)
    {
      run_client (&model);
      run_store (&model);
      for (uint32_t i = 0; i < DAEMONS; i++)
        run_daemon (&model, i);
    }
  while (model.unstored->len > 0)
    {
      g_autoptr (GBytes) record = g_ptr_array_steal_index (model.unstored, 0);

      store_record (&model, record);
    }
  for (uint32_t i = 0; i < DAEMONS; i++)
    {
      while (model.daemons[i].tab->next < model.log->len)
        read_log (&model, i);
      ck_assert_int_eq (is_active (model.daemons[i].tab),
                        is_active (model.all));
      jobtab_free (model.daemons[i].tab);
    }
  jobtab_free (model.all);
  g_ptr_array_unref (model.log);
  g_ptr_array_unref (model.unstored);
  g_ptr_array_unref (model.requests);
  g_rand_free (model.rand);
}

/* Guards against an answer that a later record makes untrue: a job that runs
   after its cancelling was acknowledged (UNASKED), or that is lost or
   cancelled after a 200.  */
START_TEST (test_answers_stay_true)
{
  uint32_t seed = run_seed ("jobs/requests_model");

  for (uint32_t i = 0; i < RUNS; i++)
    run_model (seed + i);
}
END_TEST

TEST_PROGRAM ("jobs/requests_model", test_answers_stay_true)
