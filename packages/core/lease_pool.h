#ifndef CORE_LEASE_POOL_H
#define CORE_LEASE_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>

#include "base/hash_table.h"
#include "core/step_job.h"

/*
 * Workers that run tasks under a lease, as the leading instance sees them:
 * which of them it holds, and which runs are, or may still be, open on them.
 *
 * A worker obeys the highest fencing token that it has seen. A hold is a call
 * that renews the lease of all runs on the worker, waits for the next end of a
 * run and returns lists of runs and ends; a new leader learns from these lists
 * what runs on the worker. A worker may carry out a start that it has not
 * answered later on; its run stays open until the worker has acknowledged a
 * stop or listed the run's end, or until its lease has lapsed. A task is never
 * started again while one of its runs is open, nor elsewhere while a start
 * without an answer may yet reach a new process, which has forgotten all stops.
 *
 * An order without an answer may be carried out seconds late, and grant a lease
 * from then on. No lease outlasts the time at which such an order may be
 * carried out, until the worker has answered one with a higher token.
 *
 * An answer to a start or a stop may come from any process of a worker: only
 * lists of runs and registrations tell the process that they are of. After a
 * restart the runs that the earlier process is known to have had have ended:
 * those that it listed last, and those that were acknowledged before that list
 * was asked for. Others stay open until the next process has listed its runs.
 *
 * A lease covers all runs on a worker. A leader renews it only if it needs each
 * of these runs or has stopped it: another leader may count on the lapse of a
 * lease that it renewed last. No lease is granted beyond the limit of a run.
 *
 * Not for choosing jobs or workers: see core/lease_dispatch.h.
 */

struct late_tasks;
struct lease_pool;

/* A worker's registration. */
struct pool_registration {
	const char *id;
	const char *address;
	const char *service;
	const char *data_centre;
	const char *const *labels; /* its kind and rack; NULL at the end */
	struct step_job_demand capacity;
	uint64_t born_ms; /* start time, identifies its process; 0: unknown */
	uint64_t report; /* number of the report, rises within a process */
	bool draining;
};

enum pool_hold_state {
	POOL_UNHELD, /* has not answered under our fencing token yet */
	POOL_HELD,
	POOL_FOREIGN, /* obeys another instance */
};

/* How a run ended, or that it never began. */
enum pool_end {
	POOL_DONE,
	POOL_FAILED, /* through a fault of the task or of the worker */
	POOL_STOPPED,
	POOL_LAPSED, /* its lease lapsed or the worker restarted */
	POOL_NO_ROOM, /* refused: does not fit */
	POOL_OLD, /* refused: worker has seen this run number or a higher one */
	POOL_NOT_RUN, /* refused, or shown never to have begun */
	POOL_CRASHED, /* its worker crashed and restarted */
	POOL_END_COUNT,
};

enum pool_run_state {
	POOL_STARTING, /* start sent, no answer so far */
	POOL_ACTIVE,
	POOL_UNCONFIRMED, /* the answer to the start is late or lost */
	POOL_STOPPING,
};

enum pool_answer {
	POOL_OK,
	POOL_FENCED, /* the worker has seen a higher fencing token */
	POOL_RUN_OLD, /* the worker has seen this run number or a higher one */
	POOL_DEADLINE_PASSED, /* on the worker's clock */
	POOL_DOES_NOT_FIT,
	POOL_INVALID, /* the worker cannot parse the call */
	POOL_UNHEALTHY, /* the worker has carried out nothing */
	POOL_RESTARTED,
	POOL_NOT_SENT, /* no connection */
	POOL_NO_ANSWER, /* the worker may carry out the call, also later */
	/* The connection was closed; otherwise like POOL_NO_ANSWER. */
	POOL_CLOSED,
	POOL_REFUSED, /* the connection was; otherwise like POOL_NOT_SENT */
	POOL_ANSWER_COUNT,
};

struct pool_worker {
	UT_hash_handle hh;
	UT_hash_handle hh_key;
	TAILQ_ENTRY(pool_worker) entry;
	char *id;
	uint64_t key; /* crash_worker_key of its id */
	char *address;
	char *service;
	char *data_centre;
	char **labels; /* NULL at the end */
	struct step_job_demand capacity;
	bool is_capacity_known; /* false: it is that of an earlier process */
	struct step_job_demand used; /* by open runs */
	uint64_t born_ms;
	bool is_born_answered; /* by the worker, not only in a registration */
	uint64_t restarted_ms; /* when this was noticed; 0: never */
	bool is_replaced; /* another worker listens at its address */
	uint64_t went_ms; /* when a process was last found gone; 0: never */
	uint64_t went_born_ms; /* start time of that process */
	bool went_leased; /* all that it ran then is known */
	bool went_seen; /* it went while its runs were under way */
	uint32_t went_suspects; /* of that, tasks that have not ended done */
	bool draining;
	bool registered;
	uint64_t unregistered_ms; /* when its registration was removed */
	uint64_t report; /* number of the newest report that was read */
	uint64_t report_born_ms; /* start time of the process that wrote it */
	uint64_t report_read_ms; /* when it was read first */
	enum pool_hold_state state;
	uint64_t foreign_ms; /* since when it obeys another instance */
	bool owes_first_list; /* of runs, to the leader that found it */
	bool hold_pending; /* a hold awaits its answer */
	/* Holds that others replaced, and whose answers may be lost. */
	uint32_t replaced_holds;
	uint64_t answered_serial; /* of the last answered hold */
	uint64_t hold_serial;
	uint64_t hold_sent_ms;
	uint64_t ends_read; /* highest number of an end that was read */
	uint64_t ends_acked; /* highest number of an end acknowledged to it */
	uint64_t clock_ms; /* worker's clock at clock_at_ms; 0: unknown */
	uint64_t clock_at_ms; /* on our clock */
	uint64_t lease_until_ms; /* runs we started have ended by then */
	uint64_t held_until_ms; /* their lease has not lapsed until then */
	uint64_t hold_held_ms; /* the same once the last hold is answered */
	uint64_t hold_lease_ms; /* lease_until_ms by the last hold; 0: none */
	uint64_t former_lease_ms; /* lease_until_ms before that hold */
	uint32_t failures; /* unanswered holds in a row */
	uint64_t silent_ms; /* since the first of them; 0: nothing listens */
	uint64_t lost_ms; /* time of the first of them; 0: answers holds */
	enum pool_answer lost_by; /* how that hold failed */
	uint64_t closed_ms; /* first of them that shows an end; 0: none */
	bool answer_lost; /* perhaps, of one of them */
	bool mates_probed; /* since lost_ms */
	uint64_t retry_ms; /* no hold is sent before */
	uint64_t answered_ms; /* time of the last answer to a hold */
	uint64_t probed_ms; /* when the last answered hold was sent */
	uint64_t blocked_until_ms; /* no task is started before */
	double speed; /* moving average of estimate / observed run time */
	uint32_t failed_streak; /* failed runs of different jobs in a row */
	uint32_t open_rounds; /* times the breaker opened since a success */
	char failed_job[STEP_JOB_ID_BYTES];
	LIST_HEAD(, pool_run) runs;
	LIST_HEAD(, late_start) late_starts;
	TAILQ_HEAD(, pool_order) orders; /* without an answer */
	uint32_t lost_orders; /* of these, given up */
	uint64_t lost_order_ms; /* when the last one was sent; 0: none */
	uint32_t run_count;
	uint32_t unwanted_count; /* of open runs; see is_unwanted */
	uint32_t unsized_count; /* of open runs; see is_unsized */
	bool hold_renews; /* the last hold renews the lease */
	uint64_t raised_by; /* what its fencing token is above the claim */
	uint64_t hold_fence; /* the token of the last hold */
	bool is_reserved; /* for a task that is tried alone */
	size_t slot; /* index in the pool's slots */
};

/*
 * What placement compares of each worker, in one array: a task is placed
 * thousands of times a second among more than a thousand workers.
 */
struct pool_slot {
	struct pool_worker *worker;
	double speed;
	uint32_t spare_milli; /* capacity that open runs leave */
};

struct pool_run {
	LIST_ENTRY(pool_run) in_worker;
	LIST_ENTRY(pool_run) in_taskless; /* while is_taskless */
	UT_hash_handle hh; /* by token */
	uint64_t token; /* identifies it in calls and answers */
	struct pool_worker *worker;
	void *task; /* set by the dispatcher; NULL: no task needs the run */
	char name[STEP_JOB_TASK_BYTES];
	char job[STEP_JOB_ID_BYTES];
	uint32_t number;
	enum pool_run_state state;
	struct step_job_demand demand;
	uint32_t estimate_ms;
	uint64_t fence; /* of the last start or stop that was sent */
	uint64_t held_until_ms; /* the worker's, once the start is answered */
	const char *text; /* of the start, the task's; NULL: not started here */
	uint64_t sent_ms;
	uint32_t repeats; /* of the start at its worker */
	uint64_t late_ms; /* last unanswered start before the last; 0: none */
	uint64_t answered_ms; /* when the start was acknowledged */
	uint64_t close_at_ms; /* it has ended by then; 0: unknown */
	uint64_t stop_at_ms; /* time to stop a run without a task; 0: none */
	uint64_t stop_retry_ms;
	uint64_t stopped_ms; /* when a stop was acknowledged; 0: not yet */
	uint64_t listed_serial; /* last hold whose lists contained it */
	uint32_t percent; /* progress, as last listed */
	bool started_here; /* started by this leader; its run time counts */
	bool is_taskless; /* in the pool's list of runs that no task needs */
	bool is_unwanted; /* taskless, and no stop of it was acknowledged */
	bool is_unsized; /* found on its worker; its demand is not known */
	/*
	 * The worker has restarted, and it is not known whether the process
	 * that went had the run, or the next one has it.
	 */
	bool is_unlocated;
};

TAILQ_HEAD(pool_worker_list, pool_worker);

/* Calls to workers. */

struct pool_hold_call {
	const char *worker;
	const char *address;
	const char *data_centre;
	uint64_t serial; /* returned with the answer */
	uint64_t fence;
	uint64_t ends_read;
	uint64_t deadline_ms; /* lease end on the worker's clock; 0: no lease */
	uint32_t wait_ms; /* how long the worker may wait for an end */
	uint32_t timeout_ms;
};

struct pool_start_call {
	uint64_t token;
	const char *worker;
	const char *address;
	const char *data_centre;
	const char *task;
	uint32_t number;
	const char *text;
	uint64_t deadline_ms;
	uint64_t fence;
	uint32_t timeout_ms;
};

struct pool_stop_call {
	uint64_t token;
	const char *worker;
	const char *address;
	const char *data_centre;
	const char *task;
	uint32_t number;
	uint64_t fence;
	uint32_t timeout_ms;
};

struct pool_ports {
	void *ctx;
	void (*hold)(void *ctx, const struct pool_hold_call *call);
	void (*start)(void *ctx, const struct pool_start_call *call);
	void (*stop)(void *ctx, const struct pool_stop_call *call);
};

struct pool_reply {
	enum pool_answer answer;
	uint64_t clock_ms; /* the worker's clock; 0: unknown */
	uint64_t born_ms; /* the worker's start time; 0: unknown */
};

struct pool_listed_run {
	const char *task;
	uint32_t number;
	uint32_t percent;
};

struct pool_listed_end {
	uint64_t number_of_end;
	const char *task;
	uint32_t number;
	enum pool_end how;
};

struct pool_lists {
	const struct pool_listed_run *running;
	size_t running_count;
	const struct pool_listed_end *ended;
	size_t ended_count;
};

/* Which process of a worker has, or had, a run that was unlocated. */
enum pool_location {
	POOL_IN_FORMER_PROCESS, /* it went with it */
	POOL_IN_NEXT_PROCESS,
	POOL_IN_EITHER_PROCESS, /* the run is closed, it will not be known */
};

/* Whether a worker that has gone has crashed by itself. */
enum pool_crash {
	POOL_CRASH_CERTAIN, /* it has restarted, and not with its rack */
	/* It fell silent alone, or restarted when its rack may be lost. */
	POOL_CRASH_LIKELY,
	POOL_CRASH_UNLIKELY, /* others of its rack fell silent, too */
};

struct pool_options {
	const struct pool_ports *ports;
	uint32_t lease_ms; /* longest lease of a worker */
	uint32_t stop_ms; /* longest time a worker takes to stop a run */
	bool list_lags; /* pool_note_list_current tells how current it is */
	/*
	 * Called when a run with a task has ended; the task may start again.
	 * Must not free runs, but may stop other runs.
	 */
	void (*closed)(void *ctx, struct pool_run *run, enum pool_end how,
		       uint64_t now_ms);
	/*
	 * Called for a run of an earlier leader that was found on a worker.
	 * Sets run->task and its demand, or returns false if the run's job is
	 * not known. A run whose job is known but which gets no task is
	 * stopped.
	 */
	bool (*found_run)(void *ctx, struct pool_run *run);
	/*
	 * The same for a run that was found to have ended as POOL_DONE or
	 * POOL_FAILED, by a list that was read at read_ms.
	 */
	bool (*found_end)(void *ctx, const char *job,
			  const struct pool_listed_end *end, uint64_t read_ms,
			  uint64_t now_ms);
	/*
	 * Called for a worker that has gone, before its runs are closed. For
	 * those that are unlocated, run_located is called later.
	 */
	void (*worker_gone)(void *ctx, struct pool_worker *worker,
			    enum pool_crash crash, uint64_t now_ms);
	void (*run_located)(void *ctx, const struct pool_run *run,
			    enum pool_location location);
	/*
	 * Returns the time by which the lease of a run must have lapsed, as far
	 * as is known now. NULL: there is none.
	 */
	uint64_t (*find_run_limit)(void *ctx, const struct pool_run *run,
				   uint64_t now_ms);
	/*
	 * Called for a run with a task before a start of it is sent, and once
	 * the outcome of its only start is known. NULL: not called.
	 */
	void (*start_sent)(void *ctx, const struct pool_run *run);
	void (*start_settled)(void *ctx, const struct pool_run *run);
	void *ctx;
};

/* Creates a pool, owned by mem. Copies the options. */
struct lease_pool *pool_create(TALLOC_CTX *mem,
			       const struct pool_options *options);

/*
 * A worker that is cut off from this instance may still serve another leader
 * after its registration has lapsed. An instance that has read registrations
 * for a shorter time than this may not know all such workers. This is the
 * longest network partition allowed for; real ones are shorter.
 */
#define POOL_LONGEST_PARTITION_MS 30000

/*
 * Notes that the whole list of registrations has been read, for the first time
 * or anew, and that all changes are read from followed_ms on. A list tells
 * nothing of a worker whose registration has come and gone before; only the
 * changes since then do.
 */
void pool_note_list_read(struct lease_pool *pool, uint64_t followed_ms);

/*
 * Notes that all changes of registrations up to as_of_ms were applied. Another
 * leader may have used a worker that has been registered since.
 */
void pool_note_list_current(struct lease_pool *pool, uint64_t as_of_ms);

/* Notes that the list is no longer read, until the next pool_note_list_read. */
void pool_note_list_dropped(struct lease_pool *pool);

/*
 * The store may carry out a write without an answer seconds later, after newer
 * ones. A registration with a lower number than one of the same process that
 * was read less than this time ago is older than that one. After a longer time
 * the number counts as that of another writer.
 */
#define POOL_LATE_REPORT_MS 30000

/*
 * Adds or updates a registration; also while another leads. Returns false, and
 * changes nothing, if it is older than one that was read before: it has a lower
 * number, or is that of an earlier process. That holds also for a worker whose
 * registration was removed meanwhile.
 *
 * A registration counts as removed if the worker's answers to later calls have
 * an earlier start time: another program wrote it.
 */
bool pool_register_worker(struct lease_pool *pool,
			  const struct pool_registration *registration,
			  uint64_t now_ms);

/* Removes a registration; also while another leads. */
void pool_unregister_worker(struct lease_pool *pool, const char *id,
			    uint64_t now_ms);

/*
 * The token of orders to a worker rises by this when the worker restarts, since
 * it forgets the token, the stops and its clock, and when an order has no
 * answer: the worker may carry such an order out seconds late, unless it has
 * seen a higher token. The low bits of a token tell leaders apart.
 */
#define POOL_FENCE_STEP (UINT64_C(1) << 12)

/*
 * Makes this instance the leader, which sends holds to all workers. fence is
 * a fencing token higher than any before.
 */
void pool_lead(struct lease_pool *pool, uint64_t fence, uint64_t now_ms);

/* Ends leadership and drops all runs without stopping them. */
void pool_release(struct lease_pool *pool);

bool pool_leads(const struct lease_pool *pool);

/* Returns the highest token used since pool_lead; 0: this is no leader. */
uint64_t pool_highest_fence(const struct lease_pool *pool);

/* Why another leader's tasks may run on a worker that is not held. */
enum pool_gap {
	POOL_NO_GAP,
	POOL_LIST_NOT_READ,
	POOL_LIST_READ_ANEW, /* less than POOL_LONGEST_PARTITION_MS ago */
	POOL_WORKER_REMOVED, /* its registration, also less than that ago */
	POOL_WORKER_NOT_HELD, /* does not answer, or obeys another instance */
	POOL_GAP_COUNT,
};

/* Returns a text for a gap, for logs. */
const char *pool_gap_text(enum pool_gap gap);

/*
 * Returns a time such that every worker that was registered by then has
 * answered a probe under our fencing token that was sent then or later; 0 if
 * there is none. A worker that does not answer, or whose registration was
 * removed less than POOL_LONGEST_PARTITION_MS ago, also after it had drained,
 * may run tasks of another instance. Sets *gap to the first reason, and
 * *worker to the worker that it concerns, or to NULL. Walks through all
 * workers.
 */
uint64_t pool_all_held_since(const struct lease_pool *pool, uint64_t now_ms,
			     enum pool_gap *gap,
			     const struct pool_worker **worker);

/*
 * Returns true if the worker with that key is held and has answered a hold that
 * was sent at since_ms or later: what runs there is known.
 */
bool pool_has_listed(const struct lease_pool *pool, uint64_t key,
		     uint64_t since_ms);

/*
 * Returns true if a registered worker has not answered since this instance
 * leads, or has only just been found to obey another instance.
 */
bool pool_has_unanswered(const struct lease_pool *pool, uint64_t now_ms);

/*
 * Returns true if a worker's first answer is pending, or a worker has only just
 * been found to obey another instance. The number of usable workers is not
 * known then.
 */
bool pool_is_settling(const struct lease_pool *pool, uint64_t now_ms);

/*
 * Workers that are in reach have answered a new leader's first holds by then:
 * time for one that is lost, and for the next one.
 */
#define POOL_FIRST_LISTS_MS 100

/*
 * Returns true while no task should start: a worker that this leader found when
 * it began, or when it read the list of workers, has not listed its runs. An
 * earlier leader's start may have begun one of them late, of any task. A worker
 * is not waited for once two holds have no answer, nor for longer than
 * POOL_FIRST_LISTS_MS.
 */
bool pool_awaits_first_lists(const struct lease_pool *pool, uint64_t now_ms);

/*
 * Sends a probe, a hold that does not wait, to all held workers, now or soon
 * after the last one. It is needed because a worker that has restarted does not
 * know our fencing token: another leader may have used it since its last
 * answer.
 */
void pool_probe_all(struct lease_pool *pool, uint64_t now_ms);

/*
 * Returns the longest time in ms for which a worker has obeyed another
 * instance; 0 if none does.
 */
uint64_t pool_longest_foreign_ms(const struct lease_pool *pool,
				 uint64_t now_ms);

/*
 * Starts a copy of run on a held worker and returns it. Without an answer the
 * start is repeated there; text must stay valid while run->task is set.
 */
struct pool_run *pool_start(struct lease_pool *pool, struct pool_worker *worker,
			    const struct pool_run *run, const char *text,
			    uint64_t now_ms);

/* Stops a run that its task no longer needs; closed is not called for it. */
void pool_abandon(struct lease_pool *pool, struct pool_run *run,
		  uint64_t now_ms);

/* Stops a run; closed is called once it has ended. */
void pool_stop(struct lease_pool *pool, struct pool_run *run, uint64_t now_ms);

/* Counts a hung run as a failure of its worker. */
void pool_note_hung(struct pool_run *run, uint64_t now_ms);

/* Returns true if pool_has_unneeded_run is true for any task. */
bool pool_has_unneeded_runs(const struct lease_pool *pool);

/*
 * Returns true if a run of the task is open that no task needs, such as another
 * leader's that is being stopped, or may begin by a start without an answer.
 */
bool pool_has_unneeded_run(const struct lease_pool *pool, const char *task);

/*
 * Returns the time until which a task waits as one of its starts, perhaps by
 * another leader, may be carried out late; 0 if it does not.
 */
uint64_t pool_late_until_ms(const struct lease_pool *pool, const char *task);

/*
 * Returns a time by which a run has ended that an order sent at sent_ms may
 * begin late. Orders that are sent before leases end for it may be late, too,
 * and prolong the run.
 */
uint64_t pool_late_over_ms(const struct lease_pool *pool, uint64_t sent_ms);

/* Returns these tasks, which are sent to other members. */
struct late_tasks *pool_late_tasks(struct lease_pool *pool);

/* Calls found_run and found_end for what was found of a job, now known. */
void pool_offer_found(struct lease_pool *pool, const char *job,
		      uint64_t now_ms);

/*
 * Returns the time in ms after which a start most likely is lost, by the
 * answers to earlier starts.
 */
double pool_answer_limit_ms(const struct lease_pool *pool);

/* Starts no tasks on a worker until it has answered another hold. */
void pool_doubt_worker(struct lease_pool *pool, const char *id,
		       uint64_t now_ms);

/* Apply a worker's answer to a call; an outdated answer is ignored. */
void pool_start_answered(struct lease_pool *pool, uint64_t token,
			 const struct pool_reply *reply, uint64_t now_ms);
void pool_stop_answered(struct lease_pool *pool, uint64_t token,
			const struct pool_reply *reply, uint64_t now_ms);
void pool_hold_answered(struct lease_pool *pool, const char *worker,
			uint64_t serial, const struct pool_reply *reply,
			const struct pool_lists *lists, uint64_t now_ms);

/*
 * Sends holds and stops that are due and closes runs whose time has passed; to
 * be called every few ms.
 */
void pool_tick(struct lease_pool *pool, uint64_t now_ms);

/* Notes that a task has ended done with which a process of a worker went. */
void pool_clear_suspect(struct lease_pool *pool, uint64_t key,
			uint64_t born_ms);

/* Returns the worker with that key; NULL if there is none. */
const struct pool_worker *pool_find_by_key(const struct lease_pool *pool,
					   uint64_t key);

const struct pool_worker_list *pool_workers(const struct lease_pool *pool);

/* Returns the slots of all workers, in no order, and their number. */
const struct pool_slot *pool_slots(const struct lease_pool *pool,
				   size_t *count);

/*
 * Returns a number that rises whenever a worker may have got room for a task:
 * a run was closed, or a worker became usable.
 */
uint64_t pool_room_version(const struct lease_pool *pool);

/* Returns true if tasks may be started on the worker now. */
bool pool_is_usable(const struct pool_worker *worker, uint64_t now_ms);

/*
 * Returns true if the worker is usable or most likely will be in a moment: its
 * first answer to this leader or the end of an unwanted run is pending, or it
 * has only just become silent.
 */
bool pool_counts_as_capacity(const struct pool_worker *worker, uint64_t now_ms);

enum pool_rack {
	POOL_RACK_UNKNOWN, /* no other worker of the rack has answered since */
	POOL_RACK_LIVES,
	POOL_RACK_LOST, /* others were lost, too, and none has answered since */
};

/* Returns how the other workers of a worker's rack have fared since a time. */
enum pool_rack pool_rack_state(const struct lease_pool *pool,
			       const struct pool_worker *worker,
			       uint64_t since_ms);

/* Reserves a worker: only tasks that are tried alone start on it. */
void pool_reserve_worker(struct lease_pool *pool, struct pool_worker *worker,
			 bool is_reserved);

/* Returns true if a task fits into what open runs leave of the worker. */
bool pool_fits(const struct pool_worker *worker,
	       const struct step_job_demand *demand);

/* Returns a stable text for an answer, for logs. */
const char *pool_answer_text(enum pool_answer answer);

/* Returns true if the worker has not received the call. */
bool pool_is_unsent(enum pool_answer answer);

/* Returns true if the worker may carry out the call, also later. */
bool pool_may_be_late(enum pool_answer answer);

/* Returns a stable word for an end, for logs. */
const char *pool_end_text(enum pool_end how);

#endif
