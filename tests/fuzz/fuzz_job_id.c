/* Parses text as a job id; a valid id must format to the same text. */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "core/job_id.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char text[JOB_ID_TEXT_BYTES];
	char *copy = talloc_strndup(NULL, (const char *)data, size);
	struct job_id id = { 0 };

	if (job_id_parse(&id, copy, 7) == JOB_ID_OK) {
		job_id_format(text, &id, 7);
		if (strcmp(text, copy))
			abort();
	}
	/* Formatting and parsing must accept every id. */
	memcpy(&id, data, size < sizeof(id) ? size : sizeof(id));
	id.granted_ms &= (UINT64_C(1) << 48) - 1;
	job_id_format(text, &id, 7);
	if (job_id_parse(&id, text, 7) != JOB_ID_OK)
		abort();
	talloc_free(copy);
	return 0;
}
