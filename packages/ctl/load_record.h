#ifndef CTL_LOAD_RECORD_H
#define CTL_LOAD_RECORD_H

#include <stdint.h>
#include <stdio.h>

#include "adapters/http_client.h"

/*
 * The callers' history of a run: one JSON line per request with its body and
 * answer, for a checker that uses only what callers observed.
 */

struct load_record_request {
	const char *operation; /* submit or cancel */
	const char *job; /* NULL: the answer has the id */
	const char *instance; /* callers' address */
	const char *body; /* JSON; NULL for none */
	uint64_t begin_us; /* wall clock */
};

/* Writes a request; its end is the current time. */
void load_record_write(FILE *out, const struct load_record_request *request,
		       const struct http_client_answer *answer);

#endif
