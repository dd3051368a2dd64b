#include "partners.h"
#include <glib.h>

struct partner_table
{
  partners_t *lists[IMAGES_MAX]; /* by place of the image; NULL: none yet */
};

partner_table_t *
partner_table_new (void)
{
  return g_new0 (partner_table_t, 1);
}

void
partner_table_free (partner_table_t *table)
{
  if (!table)
    return;
  for (uint32_t i = 0; i < IMAGES_MAX; i++)
    g_free (table->lists[i]);
  g_free (table);
}

void
partner_table_clear (partner_table_t *table)
{
  for (uint32_t i = 0; i < IMAGES_MAX; i++)
    if (table->lists[i])
      *table->lists[i] = (partners_t){ 0 };
}

uint64_t
partners_bit (uint32_t image)
{
  return image == IMAGES_NONE ? 0 : UINT64_C (1) << (image % 64);
}

/* The list at IMAGE's place, which may be that of another image.  */
static partners_t *
obtain_list (partner_table_t *table, uint32_t image)
{
  partners_t **list = &table->lists[images_place (image)];

  if (!*list)
    *list = g_new0 (partners_t, 1);
  return *list;
}

const partners_t *
partner_table_list (partner_table_t *table, uint32_t image)
{
  return image == IMAGES_NONE ? NULL : obtain_list (table, image);
}

static uint32_t
least_harmful (const partners_t *partners)
{
  uint32_t least = 0;

  for (uint32_t i = 1; i < partners->count; i++)
    if (partners->rows[i].harm_percent < partners->rows[least].harm_percent)
      least = i;
  return least;
}

static void
collect_set (partners_t *partners)
{
  partners->set = 0;
  for (uint32_t i = 0; i < partners->count; i++)
    partners->set |= partners_bit (partners->rows[i].image);
}

void
partner_table_add (partner_table_t *table, uint32_t image, uint32_t other,
                   uint32_t harm_percent)
{
  partners_t *partners = obtain_list (table, image);
  uint32_t i = 0;

  if (partners->image != image)
    *partners = (partners_t){ .image = image };
  while (i < partners->count && partners->rows[i].image != other)
    i++;
  if (i < partners->count)
    {
      partners->rows[i].harm_percent += harm_percent;
      return;
    }
  if (i < PARTNERS_MAX)
    partners->count++;
  else
    i = least_harmful (partners);
  if (partners->rows[i].image != IMAGES_NONE
      && partners->rows[i].harm_percent >= harm_percent)
    return;
  partners->rows[i]
      = (partner_t){ .image = other, .harm_percent = harm_percent };
  collect_set (partners);
}

const partners_t *
partner_table_find (const partner_table_t *table, uint32_t image)
{
  const partners_t *partners = table->lists[images_place (image)];

  return image != IMAGES_NONE && partners && partners->image == image
             ? partners
             : NULL;
}

uint32_t
partners_harm_percent (const partners_t *partners, uint32_t image)
{
  for (uint32_t i = 0; i < partners->count; i++)
    if (partners->rows[i].image == image)
      return partners->rows[i].harm_percent;
  return 0;
}
