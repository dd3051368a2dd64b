/* images - numbers of images

   NAME
     images

   DESCRIPTION
     Gives each image a number, because the placement compares images often and
     their names come from clients: they are many, and long.  A number is never
     used again while the process runs.  The table holds IMAGES_MAX images; in
     a full one, an image that was not seen for IMAGES_KEPT_US gives way, and
     its number becomes unknown.

     images_place of two present images differs, so that it can be used as an
     index.

   UNITS
     Times are in microseconds on any monotonic clock.

   ERRORS
     IMAGES_NONE stands for tasks without an image, and for an image that found
     no place because all others are in use.

   SOURCE
     load/images.c.  Not thread-safe.  */

#ifndef CUMINPIN_IMAGES_H
#define CUMINPIN_IMAGES_H

#include <stdbool.h>
#include <stdint.h>

#define IMAGES_NONE 0

/* Covers thousands of images with about 400 KiB.  */
#define IMAGES_MAX 4096

/* By then three quarters of what is known of an image is forgotten
   (interference.c).  */
#define IMAGES_KEPT_US 20000000

typedef struct images images_t;

images_t *images_new (void);
void images_free (images_t *images);

/* images_number - the number of the image NAME, which is added if it is
   unknown and now seen.  NULL or empty: IMAGES_NONE.  */
uint32_t images_number (images_t *images, const char *name, int64_t now_us);

/* images_find - the number of the image NAME; IMAGES_NONE if it is unknown. */
uint32_t images_find (const images_t *images, const char *name);

/* images_touch - the image NUMBER is seen; false if it is unknown.  */
bool images_touch (images_t *images, uint32_t number, int64_t now_us);

/* images_know - whether NUMBER is that of a present image.  */
bool images_know (const images_t *images, uint32_t number);

/* images_label - the name of the image NUMBER for log lines, shortened and
   without blanks; "-" if it is unknown.  */
const char *images_label (const images_t *images, uint32_t number);

/* images_place - the place of the image NUMBER, below IMAGES_MAX.  */
uint32_t images_place (uint32_t number);

#endif
