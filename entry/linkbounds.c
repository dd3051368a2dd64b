#include "linkint.h"

/* Short frames make no room, so their links stay.  */
void
links_bound_input (links_t *links)
{
  while (links->input_bytes > LINKS_INPUT_MAX)
    {
      link_t *first = NULL;
      GHashTableIter iter;
      gpointer value;

      g_hash_table_iter_init (&iter, links->by_fd);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          link_t *link = value;

          if (linkbuf_len (&link->input) > LINK_FIRST_FRAME_MAX
              && (!first || link->frame_serial < first->frame_serial))
            first = link;
        }
      if (!first)
        return;
      link_close (first, "frames-unfinished");
      linkbuf_clear (&first->input);
    }
}

/* What a link has received is kept, as it may be being handled.  */
void
links_bound_output (links_t *links)
{
  while (links->output_bytes > LINKS_OUTPUT_MAX)
    {
      link_t *longest = NULL;
      GHashTableIter iter;
      gpointer value;

      g_hash_table_iter_init (&iter, links->by_fd);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        if (!longest
            || linkbuf_len (&((link_t *)value)->output)
                   > linkbuf_len (&longest->output))
          longest = value;
      if (!longest)
        return;
      link_close (longest, "peers-do-not-read");
      linkbuf_clear (&longest->output);
    }
}
