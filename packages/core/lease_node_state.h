#ifndef CORE_LEASE_NODE_STATE_H
#define CORE_LEASE_NODE_STATE_H

#include "base/hash_table.h"
#include "core/lease_node.h"
#include "core/lease_relay.h"

/*
 * State shared by the parts of a lease node, and private to them. lease_node.c
 * creates it and handles ticks, lease_node_entry.c forwards callers' jobs to
 * the leader, lease_node_peer.c handles messages from and to other instances.
 */

/* No time for which a late start makes its task wait is longer. */
#define LATE_START_MAX_OVER_MS 60000

#define LEASE_NODE_MAX_ADDRESSES 4096 /* of instances to be dialled */

/* A caller's job that has not been answered. */
struct lease_node_job {
	UT_hash_handle hh;
	uint64_t request;
	char id[STEP_JOB_ID_BYTES];
	char *queue;
	char *service;
	uint32_t priority;
	uint32_t attempts;
	uint64_t objective_ms;
	uint64_t received_ms;
	uint64_t deadline_ms;
	struct step_job *job;
	uint64_t sent_to; /* incarnation of the leader that has it; 0: none */
	uint64_t
		former; /* leader it was taken back from, not cancelled there */
	uint64_t last_former; /* whose last messages may be read later */
	uint64_t left_ms; /* when it was cancelled at former; 0: not yet */
	uint32_t handed; /* number of earlier leaders that may have had it */
	uint64_t closed_ms; /* by when these are certain to have given it up */
	uint64_t no_start_ms; /* by when none of them starts a task of it */
	struct failed_runs failed; /* under these leaders and the present one */
	struct open_starts open; /* the same */
	struct task_places places; /* the same */
};

/*
 * A job that has ended here, while its leader may not know it. The caller may
 * send it again, to any instance.
 */
struct lease_node_ended {
	TAILQ_ENTRY(lease_node_ended) entry; /* by time of the end */
	uint64_t request;
	char id[STEP_JOB_ID_BYTES];
	uint64_t ended_ms;
	uint64_t leader; /* which was sent the cancel; 0: it was left */
	uint64_t last_leader; /* that had the job; 0: none */
	uint64_t closed_ms; /* by when former leaders' runs have ended */
	uint64_t announced_to; /* the last leader; 0: none */
	struct open_starts open; /* under all leaders */
};

struct lease_node_address {
	UT_hash_handle hh;
	char *text;
};

/* The backlog of a queue, as the leader announced it. */
struct lease_node_backlog {
	UT_hash_handle hh;
	char *queue;
	uint32_t waiting;
};

/* Starts and outcomes that an entry is to be sent. */
struct start_batch {
	UT_hash_handle hh;
	uint64_t entry; /* its incarnation */
	Bergamot__OpenStart **rows;
	size_t count;
	bool has_start; /* it is sent at once, not with the next tick */
};

struct lease_node {
	struct lease_node_options options;
	const struct lease_node_ports *ports;
	struct queue_config *config; /* NULL until one was read */
	uint64_t config_read_ms;
	uint8_t *config_packed; /* compressed, owned by config; NULL: not yet */
	struct leadership *members;
	struct lease_dispatch *dispatch;
	struct lease_relay *relay;
	struct lease_node_job *jobs;
	TAILQ_HEAD(, lease_node_ended) ended;
	struct lease_node_address *addresses;
	bool members_read; /* addresses has all registered instances */
	struct lease_node_backlog *backlogs;
	uint64_t claim; /* under which the dispatcher leads; 0: it does not */
	uint64_t leader; /* incarnation, to which jobs are forwarded */
	uint64_t leaderless_ms; /* since when nobody leads; 0: a member leads */
	uint64_t active_ms; /* when this process last ran */
	uint64_t claim_raised_ms; /* when the claim was last raised */
	bool standby; /* reads the list of workers, to be able to lead */
	bool had_worker_list; /* was read at least once */
	/* All changes of the list were read since; 0: it is not read. */
	uint64_t workers_followed_ms;
	bool run_due; /* answers of relays may have freed workers */
	uint64_t late_starts_number; /* of our last message on late starts */
	uint64_t late_starts_sent; /* of the last one over links */
	uint64_t keep_due_ms; /* they are kept in the store then; 0: not due */
	uint64_t kept_ms; /* time of the last write */
	bool is_keeping; /* the store has not answered yet */
	struct start_batch *start_batches; /* not sent yet, by entry */
	bool has_own_start; /* to be announced to members that may lead next */
	bool stopping;
	uint64_t ends_ms; /* when all jobs are answered; 0: not stopping */
};

/* lease_node.c */

/* Detects a pause of the process; to be called first on each event. */
void lease_node_check_pause(struct lease_node *lease_node, uint64_t now_ms);

/* Schedules a round of starts, together with those of other events. */
void lease_node_schedule_run(struct lease_node *lease_node);

/* lease_node_entry.c */

/* Sends jobs without a leader, or at a former one, to the current leader. */
void lease_node_reassign(struct lease_node *lease_node, uint64_t now_ms);

/* Takes jobs back from a leader whose link is down; they are sent again. */
void lease_node_take_back_jobs(struct lease_node *lease_node,
			       uint64_t incarnation, uint64_t now_ms);

/* Ends jobs past their deadline. */
void lease_node_expire_jobs(struct lease_node *lease_node, uint64_t now_ms);

/*
 * Cancels a job that a former leader has ended at the leader that has it now.
 */
void lease_node_cancel_elsewhere(struct lease_node *lease_node,
				 uint64_t request, uint64_t former,
				 uint64_t now_ms);

/* Answers a job as the leader says. */
void lease_node_job_ended(struct lease_node *lease_node,
			  const struct lease_node_answer *answer);

/* lease_node_peer.c */

void lease_node_send_beats(struct lease_node *lease_node, uint64_t now_ms);

void lease_node_send_job(struct lease_node *lease_node,
			 const struct lease_node_job *job, uint64_t to,
			 uint64_t now_ms);
void lease_node_send_cancel(struct lease_node *lease_node, uint64_t request,
			    const char *id, uint64_t to);

/*
 * The same to a leader that has not had the job, so that it waits for the runs
 * of earlier ones if the caller sends the job again.
 */
void lease_node_announce_ended(struct lease_node *lease_node,
			       const struct lease_node_ended *ended,
			       uint64_t to, uint64_t now_ms);

/* Passes the dispatcher's answer to the instance that accepted the job. */
void lease_node_on_answer(void *ctx, const struct lease_answer *answer);

/* lease_node_failed.c */

/* Passes failed runs of a job to the entry that accepted it, or keeps them. */
void lease_node_on_failed(void *ctx, const struct lease_failures *failures);

/* The same from another leader, once they are checked. */
void lease_node_on_failures(struct lease_node *lease_node, uint64_t from,
			    const Bergamot__QueueJobFailures *msg);

/*
 * Convert failed runs to and from rows of a message, which mem owns. Unpacked
 * rows are not checked; those beyond FAILED_RUNS_MAX are left out.
 */
Bergamot__FailedRun **lease_node_pack_failed(TALLOC_CTX *mem,
					     const struct failed_runs *runs);
void lease_node_unpack_failed(TALLOC_CTX *mem, struct failed_runs *runs,
			      uint64_t attempt,
			      Bergamot__FailedRun *const *rows, size_t count);

/* lease_node_start.c */

/* Notes a start of ours for a waiter's entry, see lease_options. */
void lease_node_on_start(void *ctx, const struct lease_start *start);

/* Sends the starts that were noted since the last call. */
void lease_node_send_starts(void *ctx);

/*
 * Sends outcomes, too. Without starts these can wait for a tick: the next
 * leader also reads them from the workers' lists.
 */
void lease_node_send_outcomes(struct lease_node *lease_node);

/*
 * Tells the next leaders, also by the store, of starts of a job under leaders
 * that this instance no longer counts on.
 */
void lease_node_hand_on_starts(struct lease_node *lease_node, const char *id,
			       const struct open_starts *starts);

/* Keeps a leader's starts with their jobs, once they are checked. */
void lease_node_on_open_starts(struct lease_node *lease_node, uint64_t from,
			       const Bergamot__OpenStarts *msg,
			       uint64_t now_ms);

/*
 * Convert open starts to and from rows of a message, which mem owns. Of
 * unpacked rows only the times are checked; those beyond OPEN_STARTS_MAX are
 * left out.
 */
Bergamot__OpenStart **lease_node_pack_starts(TALLOC_CTX *mem,
					     const struct open_starts *starts,
					     uint64_t now_ms);
void lease_node_unpack_starts(TALLOC_CTX *mem, struct open_starts *starts,
			      Bergamot__OpenStart *const *rows, size_t count,
			      uint64_t now_ms);

/* lease_node_crash.c */

/* Sends linked members the crashes noted here since the last call. */
void lease_node_send_crashes(struct lease_node *lease_node, uint64_t now_ms);

/* Sends all records of crashes to a member. */
void lease_node_send_all_crashes(struct lease_node *lease_node, uint64_t to,
				 uint64_t now_ms);

/* Merges a member's records of crashes with ours. */
void lease_node_on_crashes(struct lease_node *lease_node, uint64_t from,
			   const Bergamot__CrashRecords *msg, uint64_t now_ms);

/* lease_node_late.c */

/*
 * Tells the members that may lead next of starts that may be carried out late,
 * and of all starts for this instance's own callers.
 */
void lease_node_tell_late_starts(struct lease_node *lease_node,
				 uint64_t now_ms);

/* The same, and keeps the late ones in the store. */
void lease_node_send_late_starts(struct lease_node *lease_node,
				 uint64_t now_ms);

/* Sends all that were noted here over a new link. */
void lease_node_send_all_late_starts(struct lease_node *lease_node, uint64_t to,
				     uint64_t now_ms);

/*
 * Sends a new leader, or over a new link to it, what former leaders have sent
 * here: it may not have had a link to them.
 */
void lease_node_tell_leader(struct lease_node *lease_node, uint64_t now_ms);
void lease_node_on_late_starts(struct lease_node *lease_node, uint64_t from,
			       const Bergamot__LateStarts *msg,
			       uint64_t now_ms);

#endif
