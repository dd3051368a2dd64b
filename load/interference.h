/* interference - which images slow each other down on one worker

   NAME
     interference

   DESCRIPTION
     Learns from samples by how much the tasks of one image slow down those of
     another.  A sample is a figure of one task relative to what it should be,
     with what ran beside it.  The model is

       log2 (ratio) = usual (victim) + slowness (worker)
                      + sum of share * harm (victim, neighbour)

     and each term has a mean and a variance, which a sample corrects in
     proportion to the variances.  docs/design/interference.md gives the
     reasons and the alternatives.

     Images are numbered (images.h).

   UNITS
     Ratios, shares, harm and confidence are in percent.  A harm of 100 means
     that the neighbour doubles the victim's figure.  Times are in
     microseconds on any monotonic clock.

   ERRORS
     None.  Unknown images have no harm and no confidence; samples of them are
     ignored.

   SOURCE
     load/interference.c.  Not thread-safe.  */

#ifndef CUMINPIN_INTERFERENCE_H
#define CUMINPIN_INTERFERENCE_H

#include "partners.h"

/* Limits of the tables.  Together with the images they take under 2 MB.  */
#define INTERFERENCE_PAIRS_MAX 16384
#define INTERFERENCE_WORKERS_MAX 4096

/* Neighbours of a sample beyond this many are ignored.  */
#define INTERFERENCE_NEIGHBOURS_MAX 16

typedef struct interference interference_t;

/* A task beside the victim, or several of one image.  */
typedef struct interference_neighbour
{
  uint32_t image;
  uint32_t share_percent; /* of the time and of full speed; 0: it did not run,
                             but might have */
} interference_neighbour_t;

typedef struct interference_sample
{
  uint32_t victim;
  const char *worker;     /* interned */
  uint32_t ratio_percent; /* tail latency by its target, or run time by its
                             estimate */
  const interference_neighbour_t *neighbours;
  uint32_t neighbours_count;
} interference_sample_t;

typedef struct interference_harm
{
  uint32_t harm_percent;
  uint32_t confidence_percent; /* 0: nothing is known */
} interference_harm_t;

/* A pair as interference_each reports it.  */
typedef struct interference_row
{
  const char *victim;
  const char *other;
  interference_harm_t harm;
  bool kept_apart;
} interference_row_t;

typedef void (*interference_visit_t) (void *ctx,
                                      const interference_row_t *row);

interference_t *interference_new (void);
void interference_free (interference_t *model);

/* interference_image - the number of the image NAME, which is added if it is
   unknown; IMAGES_NONE if it is NULL or the table is full.
   interference_find_image - the same, but an unknown one is not added.
   interference_knows - whether IMAGE is the number of a present image.
   interference_name - the name of IMAGE in log lines.  */
uint32_t interference_image (interference_t *model, const char *name,
                             int64_t now_us);
uint32_t interference_find_image (const interference_t *model,
                                  const char *name);
bool interference_knows (const interference_t *model, uint32_t image);
const char *interference_name (const interference_t *model, uint32_t image);

/* interference_observe - learn from SAMPLE.  */
void interference_observe (interference_t *model,
                           const interference_sample_t *sample,
                           int64_t now_us);

/* interference_refresh - bring the partners up to date, at most every 500 ms.
   Call it about as often as there are samples, and also without any, so that
   pairs are forgotten.  */
void interference_refresh (interference_t *model, int64_t now_us);

/* interference_harm - by how much a task of OTHER at full speed slows VICTIM
   down.  */
interference_harm_t interference_harm (const interference_t *model,
                                       uint32_t victim, uint32_t other,
                                       int64_t now_us);

/* interference_partners - the images that IMAGE is kept apart from, as of the
   last refresh; NULL if there are none.  Valid until the next refresh.
   interference_partner_list - the same for callers that keep it; see
   partner_table_list.  */
const partners_t *interference_partners (const interference_t *model,
                                         uint32_t image);
const partners_t *interference_partner_list (interference_t *model,
                                             uint32_t image);

/* interference_each - call VISIT for each pair of which something is known. */
void interference_each (const interference_t *model,
                        interference_visit_t visit, void *ctx, int64_t now_us);

#endif
