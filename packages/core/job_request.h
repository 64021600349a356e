#ifndef CORE_JOB_REQUEST_H
#define CORE_JOB_REQUEST_H

#include <stdint.h>
#include <stddef.h>
#include <talloc.h>

/*
 * A caller's job as submitted: read from JSON on a traffic thread, then owned
 * by the control thread.
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
	char *body; /* JSON handed to the worker as it is */
	uint32_t run_ms; /* declared run time, 0 when not declared */
};

struct job_request {
	char *service;
	char *team; /* "default" when not named */
	uint32_t deadline_ms; /* from submission; 0 means the default */
	struct job_request_task *tasks;
	uint32_t task_count;
	/* What was submitted: forwarded to an owner, and compared by hash. */
	char *raw;
	size_t raw_len;
	uint64_t hash;
};

/*
 * Reads a job. The result owns all its parts and can be moved between threads
 * when mem is NULL. On another status than JOB_REQUEST_OK, NULL is returned and
 * *message, owned by mem, says what was found and what is allowed.
 */
struct job_request *job_request_parse(TALLOC_CTX *mem, const char *text,
				      size_t len,
				      const struct job_request_limits *limits,
				      enum job_request_status *status,
				      char **message);

/* The word for a status in a typed error. */
const char *job_request_status_word(enum job_request_status status);

#endif
