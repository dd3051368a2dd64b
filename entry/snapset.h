/* snapset - the parts of a snapshot as records of a keyed topic

   NAME
     snapset_split, snapset_join

   DESCRIPTION
     A snapshot is split into parts that fit a record.  The parts of one
     snapshot form a set.  There are two sets of keys: a snapshot overwrites
     the set that does not hold the newest complete one, because writing takes
     several appends and a reader may see some of them only.  */

#ifndef CUMINPIN_SNAPSET_H
#define CUMINPIN_SNAPSET_H

#include "platformapi.h"

/* Data bytes of a part.  Each part is an append of its own, so that on a link
   of 2 Mbit/s it holds up other calls for a quarter of a second only.  */
#define SNAPSET_PART_BYTES (64 * 1024)
/* Most bytes of a snapshot.  */
#define SNAPSET_BYTES_MAX (64 * 1024 * 1024)
#define SNAPSET_SETS 2

uint32_t snapset_other (uint32_t set);

/* snapset_split - append the records of SNAPSHOT, a table of all records
   before offset NEXT, to RECORDS, an array of GBytes; with the keys of SET. */
void snapset_split (GBytes *snapshot, uint64_t next, uint32_t set,
                    GPtrArray *records);

/* snapset_join - the newest complete snapshot among ITEMS, an array of
   platform_item_t in any order, or NULL.  *NEXT is its offset and *SET its
   set.  */
GByteArray *snapset_join (const GArray *items, uint64_t *next, uint32_t *set);

#endif
