#include "core/outcome.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define PROGRESS_BYTES 64

static const char *const kind_words[OUTCOME_KIND_COUNT] = {
	[OUTCOME_RUNNING] = "running", [OUTCOME_COMPLETE] = "complete",
	[OUTCOME_FAILED] = "failed",   [OUTCOME_NOT_RUN] = "not_run",
	[OUTCOME_UNKNOWN] = "unknown", [OUTCOME_REJECTED] = "rejected",
};

static const struct {
	const char *name;
	int http_status;
	int retry_after_s;
} reasons[OUTCOME_REASON_COUNT] = {
#define OUTCOME_REASON_ROW(id, name, http, retry)                              \
	[OUTCOME_##id##_REASON] = { name, http, retry },
	OUTCOME_REASON_TABLE(OUTCOME_REASON_ROW)
#undef OUTCOME_REASON_ROW
};

const char *outcome_kind_word(enum outcome_kind kind)
{
	return kind_words[kind];
}

const char *outcome_reason_word(enum outcome_reason reason)
{
	return reasons[reason].name;
}

int outcome_http_status(const struct outcome *outcome)
{
	return reasons[outcome->reason].http_status;
}

int outcome_retry_after_s(const struct outcome *outcome)
{
	return reasons[outcome->reason].retry_after_s;
}

char *outcome_body(TALLOC_CTX *mem, const struct outcome *outcome,
		   const char *job)
{
	const char *reason = outcome_reason_word(outcome->reason);
	char progress[PROGRESS_BYTES] = "";

	if (outcome->kind == OUTCOME_RUNNING)
		snprintf(progress, sizeof(progress),
			 ",\"tasks\":%" PRIu32 ",\"done\":%" PRIu32,
			 outcome->tasks, outcome->done);
	return talloc_asprintf(
		mem,
		"{\"job\":\"%s\",\"outcome\":\"%s\",\"reason\":\"%s\","
		"\"started\":%u%s%s%s%s}\n",
		job, outcome_kind_word(outcome->kind), reason, outcome->started,
		progress,
		outcome->not_forwarded ? ",\"this_attempt\":\"not_forwarded\""
				       : "",
		outcome->results ? ",\"results\":" : "",
		outcome->results ? outcome->results : "");
}

void outcome_to_wire(const struct outcome *outcome, Bergamot__Outcome *msg)
{
	msg->kind = outcome->kind;
	msg->reason = outcome->reason;
	msg->started = outcome->started;
	msg->not_forwarded = outcome->not_forwarded;
	msg->tasks = outcome->tasks;
	msg->done = outcome->done;
	if (!outcome->results)
		return;
	msg->results.data = (uint8_t *)outcome->results;
	msg->results.len = strlen(outcome->results);
}

/*
 * Returns true if only a complete outcome has results, and if one without
 * results says that they were dropped.
 */
static bool is_whole(const Bergamot__Outcome *msg)
{
#ifdef BREAK_WHOLE
	return true;
#endif
	if (msg->kind != OUTCOME_COMPLETE)
		return !msg->results.len;
	if (!msg->results.len)
		return msg->reason == OUTCOME_ANSWER_DROPPED_REASON;
	return !memchr(msg->results.data, '\0', msg->results.len);
}

struct outcome outcome_from_wire(TALLOC_CTX *mem, const Bergamot__Outcome *msg)
{
	struct outcome outcome = {
		.kind = OUTCOME_UNKNOWN,
		.reason = OUTCOME_OWNER_UNREACHABLE_REASON,
	};

	if (!msg || msg->kind >= OUTCOME_KIND_COUNT ||
	    msg->reason >= OUTCOME_REASON_COUNT || !is_whole(msg))
		return outcome;
	outcome.kind = (enum outcome_kind)msg->kind;
	outcome.reason = (enum outcome_reason)msg->reason;
	outcome.started = msg->started;
	outcome.not_forwarded = msg->not_forwarded;
	outcome.tasks = msg->tasks;
	outcome.done = msg->done;
	if (msg->results.len)
		outcome.results = talloc_strndup(
			mem, (const char *)msg->results.data, msg->results.len);
	return outcome;
}
