#ifndef ADAPTERS_PLATFORM_TEXT_H
#define ADAPTERS_PLATFORM_TEXT_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "adapters/http_client.h"

/* The JSON of Consul's HTTP API; only for platform*.c. */

struct platform_text_value {
	char *text; /* decoded; NULL when the key does not exist */
	uint64_t index; /* ModifyIndex; 0 when the key does not exist */
};

/*
 * Reads the answer to GET /v1/kv/KEY; returns false when it is malformed. The
 * text is allocated on mem.
 */
bool platform_text_read_value(TALLOC_CTX *mem,
			      const struct http_client_answer *answer,
			      struct platform_text_value *value);

/* Returns the X-Consul-Index of an answer, 0 when it has none. */
uint64_t platform_text_index(const struct http_client_answer *answer);

/*
 * Returns the version of a configuration document, 0 when document is NULL or
 * has no version.
 */
uint64_t platform_text_version(const char *document);

enum platform_text_list { PLATFORM_TEXT_INSTANCES, PLATFORM_TEXT_WORKERS };

/* An entry of a health list; valid during the call of visit. */
struct platform_text_listed {
	const char *id; /* of a worker: its name in the document */
	const char *address; /* host:port; can be dialled for an instance */
	bool leaving;
};

#define PLATFORM_TEXT_ODD_BYTES 256

/* Entries that were left out of a list. */
struct platform_text_odd {
	size_t count;
	char text[PLATFORM_TEXT_ODD_BYTES]; /* the last one, and the reason */
};

/*
 * Calls visit for each entry of a health list that names an instance or worker;
 * the others are left out. Returns false if the answer has no list.
 */
bool platform_text_for_each_listed(
	const struct http_client_answer *answer, enum platform_text_list kind,
	void (*visit)(void *ctx, const struct platform_text_listed *entry),
	void *ctx, struct platform_text_odd *odd);

/* Returns the ID from the answer to a session's creation, or NULL. */
char *platform_text_session(TALLOC_CTX *mem,
			    const struct http_client_answer *answer);

/*
 * Returns the body of a transaction that creates a key bound to a session, and
 * that fails if the key exists.
 */
char *platform_text_claim(TALLOC_CTX *mem, const char *key, const char *value,
			  const char *session);

/* Returns true if an invalid session made a transaction fail as a whole. */
bool platform_text_is_invalid_session(const struct http_client_answer *answer);

#endif
