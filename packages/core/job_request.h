#ifndef CORE_JOB_REQUEST_H
#define CORE_JOB_REQUEST_H

#include <stdint.h>
#include <stddef.h>
#include <talloc.h>

/*
 * A job as a caller submitted it: parsed from JSON on a thread of the HTTP
 * server, then owned by the control thread.
 *
 *     {"service": "quote", "team": "north", "deadline_ms": 2000,
 *      "tasks": [{"run_ms": 100, "body": {...}}, ...]}
 */

#define JOB_REQUEST_NAME_BYTES 63 /* longest service or team name */
#define JOB_REQUEST_MAX_RUN_MS 3600000 /* longest declared run time */

enum job_request_status {
	JOB_REQUEST_OK,
	JOB_REQUEST_SYNTAX, /* not JSON, or nested too deep */
	JOB_REQUEST_UNKNOWN_KEY,
	JOB_REQUEST_WRONG_TYPE,
	JOB_REQUEST_MISSING,
	JOB_REQUEST_OUT_OF_RANGE,
	JOB_REQUEST_TOO_MANY_TASKS,
};

struct job_request_limits {
	int tasks;
	int depth; /* levels of JSON */
};

struct job_request_task {
	char *body; /* JSON, sent to the worker unchanged */
	uint32_t run_ms; /* declared run time; 0 if not declared */
};

struct job_request {
	char *service;
	char *team; /* "default" if the caller names none */
	uint32_t deadline_ms; /* from submission; 0: the service's */
	struct job_request_task *tasks;
	uint32_t task_count;
	/*
	 * The text as submitted, for forwarding, and its hash, which is
	 * compared with that of resubmissions.
	 */
	char *raw;
	size_t raw_len;
	uint64_t hash;
};

/*
 * Parses a job. The result owns all its parts; if mem is NULL, it can be passed
 * to another thread. On error returns NULL and sets *status and *message, which
 * mem owns and which names the key and the allowed values.
 */
struct job_request *job_request_parse(TALLOC_CTX *mem, const char *text,
				      size_t len,
				      const struct job_request_limits *limits,
				      enum job_request_status *status,
				      char **message);

/* The status's name in error answers. */
const char *job_request_status_word(enum job_request_status status);

#endif
