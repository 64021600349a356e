#ifndef CORE_LEASE_DISPATCH_STATE_H
#define CORE_LEASE_DISPATCH_STATE_H

#include "base/hash_table.h"
#include "base/random.h"
#include "core/lease_dispatch.h"
#include "core/lease_forecast.h"

/*
 * The state that the parts of the leader's dispatcher share; for
 * lease_dispatch.c, which runs jobs, and lease_dispatch_admission.c, which
 * refuses them.
 */

#define RETRY_SPREAD_MS 1000 /* random part that keeps retries apart */

enum task_state { TASK_WAITING, TASK_RUNNING, TASK_DONE };

struct task {
	struct lease_job *job;
	uint32_t step;
	uint32_t index;
	enum task_state state;
	struct pool_run *run;
	uint32_t failures;
	uint32_t next_number;
	char *avoid; /* id of the worker where it failed last; or NULL */
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
	struct lease_waiter origin; /* whose submission created it */
	uint32_t handed; /* of its latest submission by the origin */
	char *queue;
	char *service;
	uint32_t priority;
	uint32_t attempts;
	uint64_t received_ms;
	uint64_t objective_ms; /* from received_ms */
	uint64_t deadline_ms;
	/*
	 * Tasks wait for earlier_runs_over_ms, by when earlier leaders' runs
	 * have ended, or until all workers have answered a probe that was sent
	 * after the job was received.
	 */
	uint64_t earlier_runs_over_ms;
	uint64_t probe_after_ms;
	uint64_t abandon_at_ms; /* time to stop it; 0: it has a waiter */
	char *text;
	struct job_step *steps;
	struct step_state *states;
	uint32_t step_count;
	uint32_t waiting;
	uint32_t running;
	uint32_t done;
	uint32_t tasks;
	bool begun; /* a task may have started, also under another leader */
	LIST_HEAD(, waiter_link) waiters;
	/* Sort keys, computed by lease_refresh_key. */
	uint32_t lateness;
	int64_t slack_ms;
	uint64_t remaining_ms;
};

/* The result of an ended job, kept to answer a second submission. */
struct finished {
	UT_hash_handle hh;
	char id[STEP_JOB_ID_BYTES];
	enum lease_end end;
	enum lease_reason reason;
	uint64_t earlier_runs_over_ms; /* as of the job; may have passed */
	uint64_t until_ms;
};

struct service_load {
	UT_hash_handle hh;
	char *service;
	struct lease_forecast forecast;
	double usable_milli; /* thousandths of a core, times worker speed */
	double ahead[FORECAST_PRIORITIES]; /* waiting work that is not late */
	double work_before; /* of jobs that start earlier; for lease_shed */
};

struct lease_dispatch {
	struct lease_options options;
	struct lease_pool *pool;
	struct random_generator random;
	struct lease_job *jobs;
	struct finished *finished; /* by time of end */
	uint32_t waiting_tasks;
	uint32_t running_tasks;
	uint64_t no_start_until_ms;
	/* Between these times a new job may have been sent again. */
	uint64_t resent_from_ms;
	uint64_t resent_until_ms;
	struct lease_job **sorted; /* result of lease_sort_jobs */
	/* A round of starts would find no more room, as far as is known. */
	bool is_full;
	uint64_t room_version; /* of the pool at the last round of starts */
	struct service_load *loads;
	double fastest; /* speed of the fastest usable worker; 0: none */
	uint64_t loads_counted_ms; /* time of the last lease_refresh_loads */
	uint64_t next_shed_ms;
};

/* lease_dispatch.c */

/* Answers all waiters of a job, abandons its runs and frees it. */
void lease_finish(struct lease_dispatch *dispatch, struct lease_job *job,
		  enum lease_end end, enum lease_reason reason,
		  uint64_t now_ms);

/* Puts the jobs that may start now into dispatch->sorted; returns the count. */
size_t lease_sort_jobs(struct lease_dispatch *dispatch, uint64_t now_ms);

/* lease_dispatch_admission.c */

/* Computes the job's sort keys: lateness, slack and remaining run time. */
void lease_refresh_key(struct lease_job *job, uint64_t now_ms);

/* Recounts usable workers and waiting work per service. */
void lease_refresh_loads(struct lease_dispatch *dispatch, uint64_t now_ms);

/*
 * Decides whether to admit a submission, by the work ahead of it. Refuses a job
 * that would end after its caller's deadline or too late to be of use. Returns
 * LEASE_NO_REASON to admit it; otherwise *retry_ms is the time in ms until a
 * retry makes sense, unset for LEASE_NEVER_FITS.
 */
enum lease_reason lease_check_admission(struct lease_dispatch *dispatch,
					const struct lease_submission *from,
					uint64_t *retry_ms, uint64_t now_ms);

/*
 * lease_note_arrival counts an admitted job in the arrival rate of its service,
 * lease_note_waiting its waiting tasks in the work ahead of later jobs.
 */
void lease_note_arrival(struct lease_dispatch *dispatch,
			const struct lease_job *job, uint64_t now_ms);
void lease_note_waiting(struct lease_dispatch *dispatch,
			const struct lease_job *job);

/*
 * Refuses admitted jobs of which no task has begun and which would end too late
 * by the work before them, so that callers learn it before their deadline.
 */
void lease_shed(struct lease_dispatch *dispatch, uint64_t now_ms);

#endif
