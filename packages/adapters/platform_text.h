#ifndef ADAPTERS_PLATFORM_TEXT_H
#define ADAPTERS_PLATFORM_TEXT_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "adapters/http_client.h"

/* Reads and writes the JSON of Consul's HTTP API; for platform*.c alone. */

struct platform_text_value {
	char *text; /* decoded; NULL when there is no such key */
	uint64_t index; /* its ModifyIndex; 0 when there is no such key */
};

/* Reads the answer to GET /v1/kv/KEY; false when it is malformed. */
bool platform_text_read_value(TALLOC_CTX *mem,
			      const struct http_client_answer *answer,
			      struct platform_text_value *value);

/* The X-Consul-Index of an answer; 0 when it has none. */
uint64_t platform_text_index(const struct http_client_answer *answer);

/* The version of a configuration document; 0 for NULL or another text. */
uint64_t platform_text_version(const char *document);

struct platform_text_listed {
	const char *id;
	const char *address; /* host:port */
	bool leaving;
};

/* Calls visit for each entry of a health list. */
void platform_text_each_listed(
	const struct http_client_answer *answer,
	void (*visit)(void *ctx, const struct platform_text_listed *entry),
	void *ctx);

/* The id in the answer to a session's creation; NULL when there is none. */
char *platform_text_session(TALLOC_CTX *mem,
			    const struct http_client_answer *answer);

/* A transaction that creates a key, bound to a session, or does nothing. */
char *platform_text_claim(TALLOC_CTX *mem, const char *key, const char *value,
			  const char *session);

/* Did a transaction fail for its session, so that nothing was written? */
bool platform_text_says_invalid_session(
	const struct http_client_answer *answer);

#endif
