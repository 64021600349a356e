#ifndef CTL_REQUEST_H
#define CTL_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* One HTTP request of a command, waited for. */

#define REQUEST_DEFAULT_CALLERS "127.0.0.1:7400"
#define REQUEST_DEFAULT_OPERATORS "127.0.0.1:7401"

struct request {
	const char *method;
	const char *address; /* host:port */
	const char *path;
	const char *body; /* NULL for none */
	const char *token_file; /* bearer token, or NULL */
	const char *idempotency_key; /* or NULL */
	uint64_t timeout_ms; /* 0 means 60 s */
	bool watch; /* shows the time waited on standard error */
	bool progress; /* with watch: and how far the job at path is */
};

struct request_answer {
	long http_status; /* 0 when there was no answer */
	char *body;
	const char *message; /* why there was none */
};

/* Sends and waits. */
struct request_answer request_send(TALLOC_CTX *mem,
				   const struct request *given);

/* False, with a message on standard error, when there was no answer. */
bool request_was_answered(const struct request_answer *answer);

/*
 * Reads a whole file, or standard input for "-". NULL, with a message on
 * standard error, on failure.
 */
char *request_read_file(TALLOC_CTX *mem, const char *path);

#endif
