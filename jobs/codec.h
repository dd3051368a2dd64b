/* codec - msgpack form of job descriptions; private to the package  */

#ifndef CUMINPIN_CODEC_H
#define CUMINPIN_CODEC_H

#include "fields.h"
#include "job.h"

void desc_pack (msgpack_packer *pk, const job_desc_t *desc);

/* desc_read - the next field of OUTER, which is marked bad when it is no
   description; the caller owns the result all the same.  */
job_desc_t *desc_read (fields_t *outer);

/* id_read - the next field of F as the id of a job.  */
void id_read (fields_t *f, char id[JOB_ID_BYTES]);

/* array_read - the number of elements of the array that is the next field;
 *ITEMS points into the input.  */
uint32_t array_read (fields_t *f, const char *name,
                     const msgpack_object **items);

/* text_read - the next field as a copy, or NULL for nil.  */
char *text_read (fields_t *f, const char *name);

#endif
