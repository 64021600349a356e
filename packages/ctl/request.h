#ifndef CTL_REQUEST_H
#define CTL_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* Blocking HTTP requests of the commands. */

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
	bool watch; /* show the elapsed time on standard error */
	bool progress; /* with watch: show the tasks done of the job at path */
};

struct request_answer {
	long http_status; /* 0 when there was no answer */
	char *body;
	const char *message; /* the error when there was no answer */
};

/* Sends the request and waits for its answer, whose texts mem owns. */
struct request_answer request_send(TALLOC_CTX *mem,
				   const struct request *given);

/* Returns true if there was an answer, else prints the error. */
bool request_was_answered(const struct request_answer *answer);

/*
 * Reads a whole file, or standard input for "-". Prints an error and returns
 * NULL when the file cannot be opened.
 */
char *request_read_file(TALLOC_CTX *mem, const char *path);

#endif
