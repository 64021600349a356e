#ifndef CORE_OUTCOME_H
#define CORE_OUTCOME_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "wire/peer.pb-c.h"

/*
 * The outcome of a job, as reported to callers. Instances send each other kinds
 * and reasons as numbers, so new ones must be added at the end.
 */

enum outcome_kind {
	OUTCOME_RUNNING, /* no outcome yet; in answers to GET only */
	OUTCOME_COMPLETE, /* every task was answered */
	OUTCOME_FAILED, /* some tasks may have run; there are no results */
	OUTCOME_NOT_RUN, /* no task of this id ran or ever will */
	OUTCOME_UNKNOWN, /* whether tasks ran is unknown */
	OUTCOME_REJECTED, /* invalid request, without effect on the job */
	OUTCOME_KIND_COUNT
};

/* X(id, name, HTTP status, seconds for Retry-After or 0) */
#define OUTCOME_REASON_TABLE(X)                                                \
	X(NONE, "", 200, 0)                                                    \
	X(RUNNING, "running", 202, 1)                                          \
	X(TASK_FAILED, "task_failed", 502, 0)                                  \
	X(TASK_UNKNOWN, "task_unknown", 502, 0)                                \
	X(ANSWER_TOO_LARGE, "answer_too_large", 502, 0)                        \
	X(NO_WORKER, "no_worker", 503, 0)                                      \
	X(DEADLINE, "deadline", 504, 0)                                        \
	X(CANCELLED, "cancelled", 409, 0)                                      \
	X(OVER_QUOTA, "over_quota", 429, 1)                                    \
	X(OVERLOADED, "overloaded", 503, 1)                                    \
	X(TOO_LATE, "too_late", 503, 1)                                        \
	X(NEVER_FITS, "never_fits", 422, 0)                                    \
	X(UNKNOWN_SERVICE, "unknown_service", 422, 0)                          \
	X(UNKNOWN_TEAM, "unknown_team", 422, 0)                                \
	X(CLOSED, "closed", 409, 0)                                            \
	X(STOPPING, "stopping", 503, 1)                                        \
	X(NO_DISPATCHER, "no_dispatcher", 503, 1)                              \
	X(PLATFORM_OUT, "platform_out", 503, 1)                                \
	X(OWNER_GONE, "owner_gone", 504, 0)                                    \
	X(OWNER_UNREACHABLE, "owner_unreachable", 504, 0)                      \
	X(NO_ANSWER_YET, "no_answer_yet", 504, 1)                              \
	X(ID_EXPIRED, "id_expired", 410, 0)                                    \
	X(ID_UNUSED, "id_unused", 404, 0)                                      \
	X(BAD_ID, "bad_id", 404, 0)                                            \
	X(FOREIGN_ID, "foreign_id", 404, 0)                                    \
	X(BODY_MISMATCH, "body_mismatch", 422, 0)                              \
	X(ANSWER_DROPPED, "answer_dropped", 200, 0)

enum outcome_reason {
#define OUTCOME_REASON_ENUM(id, name, http, retry) OUTCOME_##id##_REASON,
	OUTCOME_REASON_TABLE(OUTCOME_REASON_ENUM)
#undef OUTCOME_REASON_ENUM
		OUTCOME_REASON_COUNT
};

struct outcome {
	enum outcome_kind kind;
	enum outcome_reason reason;
	uint32_t started; /* tasks whose start was sent */
	uint32_t tasks; /* of a running job: all its tasks */
	uint32_t done; /* of a running job: answered tasks */
	/*
	 * JSON array of the tasks' answers for OUTCOME_COMPLETE, or NULL once
	 * the record has dropped them (reason answer_dropped).
	 */
	const char *results;
	/* This request provably had no effect; OUTCOME_UNKNOWN only. */
	bool not_forwarded;
};

/* The name of a kind or reason in answers, logs and the timeline. */
const char *outcome_kind_word(enum outcome_kind kind);
const char *outcome_reason_word(enum outcome_reason reason);
int outcome_http_status(const struct outcome *outcome);

/* Seconds for a Retry-After header; 0 for no header. */
int outcome_retry_after_s(const struct outcome *outcome);

/* The JSON body of an answer; job is the id's text. */
char *outcome_body(TALLOC_CTX *mem, const struct outcome *outcome,
		   const char *job);

/* A shallow copy: msg points to the results in outcome. */
void outcome_to_wire(const struct outcome *outcome, Bergamot__Outcome *msg);

/*
 * Converts a peer's outcome, copying its results into mem. Returns
 * OUTCOME_UNKNOWN for an unknown number and for results that do not match the
 * kind.
 */
struct outcome outcome_from_wire(TALLOC_CTX *mem, const Bergamot__Outcome *msg);

#endif
