#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include <stdint.h>
#include <talloc.h>

/*
 * Counters for /metrics, one table for the process. Any thread may add to a
 * counter. The text is in the Prometheus exposition format.
 */

#define COUNTER_TABLE(X)                                                       \
	X(JOBS_ADMITTED, "jobs_admitted", "jobs taken for running")            \
	X(JOBS_COMPLETE, "jobs_complete", "jobs answered complete")            \
	X(JOBS_FAILED, "jobs_failed", "jobs answered failed")                  \
	X(JOBS_REFUSED, "jobs_refused", "jobs answered not run")               \
	X(JOBS_UNKNOWN, "jobs_unknown", "jobs answered unknown")               \
	X(JOBS_JOINED, "jobs_joined", "resubmissions served by a record")      \
	X(TASKS_STARTED, "tasks_started", "starts sent to targets")            \
	X(TASKS_DONE, "tasks_done", "tasks answered")                          \
	X(TASKS_REFUSED, "tasks_refused", "starts refused by a worker")        \
	X(TASKS_UNKNOWN, "tasks_unknown", "tasks whose fate is unknown")       \
	X(TASKS_STOPPED, "tasks_stopped", "stop requests sent to targets")     \
	X(ANSWERS_MISMATCHED, "answers_mismatched",                            \
	  "target answers that did not echo their own start")                  \
	X(ANSWERS_LATE, "answers_late", "target answers after the job ended")  \
	X(PEER_FORWARDS, "peer_forwards", "requests forwarded to an owner")    \
	X(PEER_DELEGATIONS, "peer_delegations", "batches spilled to a peer")   \
	X(PEER_DELEGATED_RESULTS, "peer_delegated_results",                    \
	  "results of delegated tasks sent back")                              \
	X(PEER_HEARTBEATS, "peer_heartbeats", "heartbeats sent")               \
	X(PEER_BYTES_SENT, "peer_bytes_sent", "bytes sent over peer links")    \
	X(PEER_BAD_FRAMES, "peer_bad_frames", "peer frames rejected")          \
	X(HTTP_BAD_REQUESTS, "http_bad_requests", "caller requests rejected")  \
	X(PLATFORM_CALLS, "platform_calls", "calls to the platform")           \
	X(PLATFORM_FAILURES, "platform_failures",                              \
	  "platform calls that failed")                                        \
	X(CONFIG_CHANGES, "config_changes", "configuration versions adopted")  \
	X(LOG_DROPPED, "log_dropped", "log lines dropped by a full queue")     \
	X(WORKER_HOLDS, "worker_holds", "holds sent to leased workers")        \
	X(WORKER_HOLD_FAILURES, "worker_hold_failures",                        \
	  "holds that were not answered")                                      \
	X(WORKERS_CRASHED, "workers_crashed",                                  \
	  "leased workers that were lost alone, with open runs")               \
	X(TASKS_TRIED_ALONE, "tasks_tried_alone",                              \
	  "starts of suspects on workers that run nothing else")               \
	X(JOBS_CRASHED, "jobs_crashed",                                        \
	  "jobs given up because a task crashes workers")                      \
	X(STORE_READS, "store_reads", "read calls to the store")               \
	X(STORE_WRITES, "store_writes", "write calls to the store")            \
	X(STORE_PUT_OFF, "store_put_off",                                      \
	  "store calls sent later, for the budget's sake")                     \
	X(STORE_FAILURES, "store_failures", "store calls that failed")         \
	X(PAUSES, "pauses", "gaps in the control loop past suspicion")

enum counter_id {
#define COUNTER_ENUM(id, name, doc) COUNTER_##id,
	COUNTER_TABLE(COUNTER_ENUM)
#undef COUNTER_ENUM
		COUNTER_COUNT
};

/* Adds n to a counter, from any thread. */
void counter_add(enum counter_id id, uint64_t n);

/* Returns a counter's current value, from any thread. */
uint64_t counter_get(enum counter_id id);

/* Returns all counters as Prometheus text, owned by mem. */
char *counter_text(TALLOC_CTX *mem);

#endif
