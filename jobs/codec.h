/* codec - msgpack encoding of job descriptions; private to jobs/  */

#ifndef CUMINPIN_CODEC_H
#define CUMINPIN_CODEC_H

#include "fields.h"
#include "job.h"

void desc_pack (msgpack_packer *pk, const job_desc_t *desc);

/* desc_read - decode the next field of OUTER.  A malformed description sets
   OUTER->bad; the caller owns the result in that case too.  */
job_desc_t *desc_read (fields_t *outer);

/* id_read - decode the next field of F as a job id.  */
void id_read (fields_t *f, char id[JOB_ID_BYTES]);

/* array_read - the length of the next field, an array; sets *ITEMS to its
   elements, which belong to the input.  */
uint32_t array_read (fields_t *f, const char *name,
                     const msgpack_object **items);

/* text_read - a copy of the next field, or NULL when it is nil.  */
char *text_read (fields_t *f, const char *name);

#endif
