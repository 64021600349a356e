/* Parses text as a job id; a valid id must format to the same text. */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "core/job_id.h"

#define SYSTEM 7 /* seed of the checksum, see job_id_system() */
#define GRANTED_BITS 48 /* of the time in an id's text */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char text[JOB_ID_TEXT_BYTES];
	char *copy = talloc_strndup(NULL, (const char *)data, size);
	struct job_id id = { 0 };

	if (job_id_parse(&id, copy, SYSTEM) == JOB_ID_OK) {
		job_id_format(text, &id, SYSTEM);
		if (strcmp(text, copy))
			abort();
	}
	/* Formatting and parsing must accept every id. */
	memcpy(&id, data, size < sizeof(id) ? size : sizeof(id));
	id.granted_ms &= (UINT64_C(1) << GRANTED_BITS) - 1;
	job_id_format(text, &id, SYSTEM);
	if (job_id_parse(&id, text, SYSTEM) != JOB_ID_OK)
		abort();
	talloc_free(copy);
	return 0;
}
