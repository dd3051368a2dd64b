/* partners - the images that an image is kept apart from

   NAME
     partners

   DESCRIPTION
     A short list for each image, the most harmful ones, and the set of them as
     bits.  The placement asks for many workers whether one of their images is
     a partner of the image to place; the sets answer that for most of them
     with one comparison.

   UNITS
     Harm is in percent, of both directions together.

   ERRORS
     None.

   SOURCE
     load/partners.c.  Not thread-safe.  */

#ifndef CUMINPIN_PARTNERS_H
#define CUMINPIN_PARTNERS_H

#include "images.h"

/* Partners of an image; in a full list the least harmful one gives way.  */
#define PARTNERS_MAX 8

typedef struct partner
{
  uint32_t image;
  uint32_t harm_percent;
} partner_t;

typedef struct partners
{
  uint32_t image; /* whose partners these are */
  uint32_t count;
  uint64_t set; /* partners_bit of all of them */
  partner_t rows[PARTNERS_MAX];
} partners_t;

typedef struct partner_table partner_table_t;

partner_table_t *partner_table_new (void);
void partner_table_free (partner_table_t *table);

/* partner_table_clear - forget all partners.  */
void partner_table_clear (partner_table_t *table);

/* partner_table_add - OTHER is a partner of IMAGE with HARM_PERCENT, which is
   added to what is there.  */
void partner_table_add (partner_table_t *table, uint32_t image, uint32_t other,
                        uint32_t harm_percent);

/* partner_table_list - the list of IMAGE, for callers that keep it.  It stays
   valid as long as TABLE; while its image is another one, it isn't the list of
   IMAGE.  NULL for IMAGES_NONE.
   partner_table_find - the same if it is the list of IMAGE, or NULL.  */
const partners_t *partner_table_list (partner_table_t *table, uint32_t image);
const partners_t *partner_table_find (const partner_table_t *table,
                                      uint32_t image);

/* partners_bit - the bit of IMAGE in a set; several images share one.  0 for
   IMAGES_NONE.  */
uint64_t partners_bit (uint32_t image);

/* partners_harm_percent - the harm of IMAGE among PARTNERS; 0 if it is not one
   of them.  */
uint32_t partners_harm_percent (const partners_t *partners, uint32_t image);

#endif
