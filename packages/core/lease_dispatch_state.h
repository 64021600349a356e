#ifndef CORE_LEASE_DISPATCH_STATE_H
#define CORE_LEASE_DISPATCH_STATE_H

#include "base/hash_table.h"
#include "base/random.h"
#include "core/lease_dispatch.h"
#include "core/lease_forecast.h"

/*
 * The state that the parts of the leader's dispatcher share; for
 * lease_dispatch.c, which runs jobs, lease_dispatch_admission.c, which refuses
 * them, lease_dispatch_start.c, which tells entries of starts, and
 * lease_dispatch_crash.c, which handles tasks that crash workers.
 */

#define RETRY_SPREAD_MS 1000 /* random part that keeps retries apart */

enum task_state { TASK_WAITING, TASK_RUNNING, TASK_DONE };

struct task {
	struct lease_job *job;
	uint32_t step;
	uint32_t index;
	enum task_state state;
	struct pool_run *run;
	uint32_t failures; /* of distinct runs, under any leader */
	uint32_t next_number;
	char *avoid; /* id of the worker where it failed last; or NULL */
	enum crash_verdict verdict; /* by its record */
	/* Key of the worker that may run it for an earlier leader; 0: none. */
	uint64_t former_worker;
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
	/* It has come from an earlier leader, whose failed runs count. */
	bool is_resumed;
	struct failed_runs failed;
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
	 * after the job was received, and once these start no task of it.
	 */
	uint64_t earlier_runs_over_ms;
	uint64_t probe_after_ms;
	bool is_probe_due; /* at probe_after_ms */
	uint64_t abandon_at_ms; /* time to stop it; 0: it has a waiter */
	uint64_t late_check_ms; /* time to see whether a late start is open */
	/* Its caller has waited then or later, as lost entries showed. */
	uint64_t waited_ms;
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
	bool is_note; /* it tells earlier_runs_over_ms only, and is no result */
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
	enum pool_gap gap; /* that was logged last */
	struct lease_job **sorted; /* result of lease_sort_jobs */
	/* A round of starts would find no more room, as far as is known. */
	bool is_full;
	uint64_t room_version; /* of the pool at the last round of starts */
	struct service_load *loads;
	double fastest; /* speed of the fastest usable worker; 0: none */
	uint64_t loads_counted_ms; /* time of the last lease_refresh_loads */
	uint64_t next_shed_ms;
	struct crash_records *crashes;
	struct crash_records *ahead; /* not announced yet */
	struct crash_records *unlikely; /* of workers silent with their rack */
	struct crash_records *unlocated; /* of unlocated runs' workers */
	bool has_guilty; /* a task whose job is to be given up */
	uint64_t next_expire_ms; /* of crashes */
	uint64_t next_judge_ms; /* of tasks that wait for a verdict */
	bool judges_waiting; /* in the next round of starts */
	uint32_t reserved; /* workers reserved for suspects */
	uint32_t unplaced_suspects; /* of the last round of starts */
	bool is_alone_full; /* no worker is free for one in this round */
};

/* lease_dispatch.c */

/* Answers all waiters of a job, abandons its runs and frees it. */
void lease_finish(struct lease_dispatch *dispatch, struct lease_job *job,
		  enum lease_end end, enum lease_reason reason,
		  uint64_t now_ms);

/* Puts the jobs that may start now into dispatch->sorted; returns the count. */
size_t lease_sort_jobs(struct lease_dispatch *dispatch, uint64_t now_ms);

/* Returns the task named ID.0.STEP.INDEX; NULL if no open job has it. */
struct task *lease_find_task(struct lease_dispatch *dispatch, const char *name);

/* Names a task ID.0.STEP.INDEX. */
void lease_name_task(char name[STEP_JOB_TASK_BYTES], const struct task *task);

/* lease_dispatch_start.c */

/* The pool's options of the same names: tell the entries of the run's job. */
void lease_on_start_sent(void *ctx, const struct pool_run *run);
void lease_on_start_settled(void *ctx, const struct pool_run *run);

/* Tells the entries of a task's job that its run has ended without success. */
void lease_on_run_ended(const struct task *task, uint32_t number);

/* A run of an earlier leader was found, or its end. */
void lease_on_found(const struct task *task, uint32_t number);

/*
 * Tells the entry of a new waiter where the tasks run, and of starts that have
 * no answer so far, or that tasks wait for, unless it knows them.
 */
void lease_tell_waiter(const struct lease_job *job,
		       const struct lease_waiter *waiter,
		       const struct open_starts *known, uint64_t now_ms);

/*
 * The tasks of starts that an entry hands on with its job wait for them, unless
 * their run is known here.
 */
void lease_merge_starts(struct lease_job *job,
			const struct lease_submission *from, uint64_t now_ms);

/*
 * Notes the workers that may run tasks for earlier leaders, as an entry hands
 * them on with its job. These workers may be on no list of this instance.
 */
void lease_merge_places(struct lease_job *job,
			const struct lease_submission *from, uint64_t now_ms);

/* lease_dispatch_crash.c */

/* The pool's worker_gone option: notes for each run how the worker went. */
void lease_on_worker_gone(void *ctx, struct pool_worker *worker,
			  enum pool_crash crash, uint64_t now_ms);

/* The pool's run_located option: notes the crash, or withdraws it. */
void lease_on_run_located(void *ctx, const struct pool_run *run,
			  enum pool_location location);

/*
 * Judges the tasks of a job by the records. Returns false if the job has ended:
 * one of its tasks is guilty.
 */
bool lease_judge_job(struct lease_dispatch *dispatch, struct lease_job *job,
		     uint64_t now_ms);

/*
 * Returns false while too many workers may have crashed under a task. Judges it
 * anew: unconfirmed crashes expire, and waves end.
 */
bool lease_may_start(struct lease_dispatch *dispatch, struct task *task,
		     uint64_t now_ms);

/* Removes the record of a task that has ended done: it crashed no worker. */
void lease_clear_suspect(struct lease_dispatch *dispatch, const char *task);

/*
 * Returns a worker that runs nothing else, for a suspect; NULL if none is free.
 * Reserves it, or one that will be free soon.
 */
struct pool_worker *lease_pick_alone(struct lease_dispatch *dispatch,
				     const struct place_request *request);

/*
 * Announces a run to the next leader before it ends, as an unconfirmed crash:
 * of a suspect's, or of a job that was handed over. If this leader is lost
 * before it learns that the worker crashed, the next one sees that by the
 * worker's start time.
 */
void lease_announce_start(struct lease_dispatch *dispatch, const char *task,
			  const struct pool_worker *worker, bool is_alone,
			  uint64_t now_ms);

/* Announces all open runs; called before they are dropped. */
void lease_announce_open_runs(struct lease_dispatch *dispatch);

/* Announces that such a run has ended, unless with its worker. */
void lease_announce_end(struct lease_dispatch *dispatch,
			const struct pool_run *run, enum pool_end how,
			uint64_t now_ms);

/*
 * Confirms or withdraws crashes by what is known of the workers now, gives up
 * jobs of guilty tasks, and frees reserved workers that no suspect waits for.
 */
void lease_tick_crashes(struct lease_dispatch *dispatch, uint64_t now_ms);

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
