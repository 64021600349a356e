#ifndef CTL_LOAD_RECORD_H
#define CTL_LOAD_RECORD_H

#include <stdint.h>
#include <stdio.h>

#include "adapters/http_client.h"

/*
 * The callers' part of a run's history: one JSON line a request, with its body
 * and answer, for a checker that sees only what callers saw.
 */

struct load_record_request {
	const char *operation; /* submit or cancel */
	const char *job; /* NULL: the answer tells the id */
	const char *instance; /* callers' address */
	const char *body; /* JSON; NULL for none */
	uint64_t begin_us; /* wall clock */
};

/* Writes a request that has ended now. */
void load_record_write(FILE *out, const struct load_record_request *request,
		       const struct http_client_answer *answer);

#endif
