#include "images.h"
#include <glib.h>
#include <string.h>

#define LABEL_BYTES 48

typedef struct image
{
  uint32_t number; /* IMAGES_NONE: unused */
  char *name;      /* as the job gives it */
  char label[LABEL_BYTES];
  int64_t seen_us;
} image_t;

struct images
{
  image_t rows[IMAGES_MAX]; /* by place */
  GHashTable *numbers;      /* name -> number */
  uint32_t last_number;
  int64_t full_until_us; /* no image gives way before */
};

images_t *
images_new (void)
{
  images_t *images = g_new0 (images_t, 1);

  images->numbers = g_hash_table_new (g_str_hash, g_str_equal);
  return images;
}

void
images_free (images_t *images)
{
  if (!images)
    return;
  for (uint32_t i = 0; i < IMAGES_MAX; i++)
    g_free (images->rows[i].name);
  g_hash_table_destroy (images->numbers);
  g_free (images);
}

uint32_t
images_place (uint32_t number)
{
  return number % IMAGES_MAX;
}

bool
images_know (const images_t *images, uint32_t number)
{
  return number != IMAGES_NONE
         && images->rows[images_place (number)].number == number;
}

bool
images_touch (images_t *images, uint32_t number, int64_t now_us)
{
  if (!images_know (images, number))
    return false;
  images->rows[images_place (number)].seen_us = now_us;
  return true;
}

const char *
images_label (const images_t *images, uint32_t number)
{
  return images_know (images, number)
             ? images->rows[images_place (number)].label
             : "-";
}

/* The name comes from a client and must not forge fields of a log line.  */
static void
set_label (image_t *image)
{
  g_strlcpy (image->label, image->name, sizeof image->label);
  for (char *c = image->label; *c; c++)
    if (!g_ascii_isgraph (*c))
      *c = '?';
}

/* The next number whose place is unused, or whose image was not seen for
   IMAGES_KEPT_US; IMAGES_NONE if all were.  */
static uint32_t
next_number (images_t *images, int64_t now_us)
{
  uint32_t number = images->last_number;
  int64_t oldest_us = now_us;

  /* Callers retry for each run of each report.  */
  if (now_us < images->full_until_us)
    return IMAGES_NONE;
  for (uint32_t i = 0; i < IMAGES_MAX; i++)
    {
      const image_t *image = &images->rows[images_place (++number)];

      if (number != IMAGES_NONE
          && (image->number == IMAGES_NONE
              || now_us - image->seen_us > IMAGES_KEPT_US))
        return number;
      oldest_us = MIN (oldest_us, image->seen_us);
    }
  images->full_until_us = oldest_us + IMAGES_KEPT_US + 1;
  return IMAGES_NONE;
}

static void
remove_image (images_t *images, image_t *image)
{
  if (image->number == IMAGES_NONE)
    return;
  g_hash_table_remove (images->numbers, image->name);
  g_free (image->name);
  memset (image, 0, sizeof *image);
}

uint32_t
images_find (const images_t *images, const char *name)
{
  return name && *name
             ? GPOINTER_TO_UINT (g_hash_table_lookup (images->numbers, name))
             : IMAGES_NONE;
}

uint32_t
images_number (images_t *images, const char *name, int64_t now_us)
{
  uint32_t number;
  image_t *image;

  if (!name || !*name)
    return IMAGES_NONE;
  number = GPOINTER_TO_UINT (g_hash_table_lookup (images->numbers, name));
  if (number != IMAGES_NONE)
    {
      images_touch (images, number, now_us);
      return number;
    }
  number = next_number (images, now_us);
  if (number == IMAGES_NONE)
    return number;
  image = &images->rows[images_place (number)];
  remove_image (images, image);
  image->number = number;
  image->name = g_strdup (name);
  image->seen_us = now_us;
  set_label (image);
  g_hash_table_insert (images->numbers, image->name,
                       GUINT_TO_POINTER (number));
  images->last_number = number;
  return number;
}
