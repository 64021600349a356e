#ifndef CORE_LEASE_DISPATCH_STATE_H
#define CORE_LEASE_DISPATCH_STATE_H

#include "base/hash_table.h"
#include "base/random.h"
#include "core/lease_dispatch.h"
#include "core/lease_forecast.h"

/*
 * The state that the parts of the leader's dispatcher share; for
 * lease_dispatch.c, which runs jobs, and lease_admission.c, which refuses them.
 */

/* Three times its objective, a job's answer has lost its worth to a caller. */
#define MAX_OBJECTIVE_FACTOR 3
#define RETRY_SPREAD_MS 1000 /* callers come back spread over it */

enum task_state { TASK_WAITING, TASK_RUNNING, TASK_DONE };

struct task {
	struct lease_job *job;
	uint32_t step;
	uint32_t index;
	enum task_state state;
	struct pool_run *run;
	uint32_t failures;
	uint32_t next_number;
	char *avoid; /* worker where it failed last */
};

struct step_state {
	struct task *tasks;
	uint32_t waiting;
	uint32_t done;
};

struct waiter_link {
	LIST_ENTRY(waiter_link) entry;
	struct lease_waiter waiter;
};

struct lease_job {
	UT_hash_handle hh;
	struct lease_dispatch *dispatch;
	char id[STEP_JOB_ID_BYTES];
	char *queue;
	char *service;
	uint32_t priority;
	uint32_t attempts;
	uint64_t received_ms;
	uint64_t objective_ms; /* from received_ms */
	uint64_t deadline_ms;
	uint64_t earlier_runs_over_ms; /* earlier leaders' runs are over by then
					*/
	uint64_t probed_ms; /* or when all workers are looked at since */
	uint64_t abandon_at_ms; /* stopped then; 0: somebody waits */
	char *text;
	struct job_step *steps;
	struct step_state *states;
	uint32_t step_count;
	uint32_t waiting;
	uint32_t running;
	uint32_t done;
	uint32_t tasks;
	bool begun; /* a task may have started, here or elsewhere */
	LIST_HEAD(, waiter_link) waiters;
	/* Of the order, as of the last round. */
	uint32_t lateness;
	int64_t slack_ms;
	uint64_t remaining_ms;
};

/* An ended job, for those who submit it again. */
struct finished {
	UT_hash_handle hh;
	char id[STEP_JOB_ID_BYTES];
	enum lease_end end;
	enum lease_reason reason;
	uint64_t until_ms;
};

struct service_load {
	UT_hash_handle hh;
	char *service;
	struct lease_forecast forecast;
	double usable_milli; /* of workers, their speed counted */
	double ahead[FORECAST_PRIORITIES]; /* waiting work that may be on time
					    */
	double work_before; /* work that goes before, in a walk by order */
};

struct lease_dispatch {
	struct lease_options options;
	struct lease_pool *pool;
	struct random_generator random;
	struct lease_job *jobs;
	struct finished *finished; /* in order of their ends */
	uint32_t waiting_tasks;
	uint32_t running_tasks;
	uint64_t no_start_until_ms; /* nothing starts before */
	struct lease_job **sorted; /* room for a round */
	struct service_load *loads;
	uint64_t loads_counted_ms; /* as of when they were counted */
	uint64_t next_shed_ms; /* next time */
};

/* lease_dispatch.c */

/* Answers all who wait for a job and forgets it. */
void lease_finish(struct lease_dispatch *dispatch, struct lease_job *job,
		  enum lease_end end, enum lease_reason reason,
		  uint64_t now_ms);

/* Puts what may start now into dispatch->sorted, in order; returns how many. */
size_t lease_sort_jobs(struct lease_dispatch *dispatch, uint64_t now_ms);

/* lease_admission.c */

/* Works out lateness and slack, by which jobs are ordered. */
void lease_refresh_key(struct lease_job *job, uint64_t now_ms);

/* Counts usable workers and waiting work anew. */
void lease_refresh_loads(struct lease_dispatch *dispatch, uint64_t now_ms);

/*
 * Judges a job at the door, by the work ahead of it: one that would end after
 * its worth or its caller has gone is refused at once.
 */
enum lease_reason lease_check_admission(struct lease_dispatch *dispatch,
					const struct lease_submission *from,
					uint64_t *retry_ms, uint64_t now_ms);

/* Counts an admitted job as an arrival, and then what still waits of it. */
void lease_note_arrival(struct lease_dispatch *dispatch,
			const struct lease_job *job, uint64_t now_ms);
void lease_note_waiting(struct lease_dispatch *dispatch,
			const struct lease_job *job);

/*
 * Refuses what nothing has begun and, by all that goes before it, would end
 * too late: its caller is told now, and not when its time is up.
 */
void lease_shed(struct lease_dispatch *dispatch, uint64_t now_ms);

#endif
