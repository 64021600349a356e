#ifndef CORE_LEASE_STATE_H
#define CORE_LEASE_STATE_H

#include "base/hash_table.h"
#include "core/lease_node.h"
#include "core/lease_relay.h"

/*
 * The state that the parts of a lease node share; for lease_*.c of the node
 * alone. lease_node.c sets it up and keeps time, lease_entry.c hands callers'
 * jobs to the leader, lease_peer.c speaks with other instances.
 */

#define LND_MAX_ADDRESSES 128 /* of instances to be dialled */

/* A caller's job that is not yet answered. */
struct lnd_job {
	UT_hash_handle hh;
	uint64_t request;
	char id[SJB_ID_BYTES];
	char *queue;
	char *service;
	uint32_t priority;
	uint32_t attempts;
	uint64_t objective_ms;
	uint64_t received_ms;
	uint64_t deadline_ms;
	struct sjb_job *job;
	uint64_t sent_to; /* the leader that has it; 0: none */
	uint32_t handed; /* leaders that may have had it before */
	uint64_t closed_ms; /* these have surely given it up by then */
};

struct lnd_address {
	UT_hash_handle hh;
	char *text;
};

/* What the leader told of a queue. */
struct lnd_backlog {
	UT_hash_handle hh;
	char *queue;
	uint32_t waiting;
};

struct lnd {
	struct lnd_options options;
	const struct lnd_ports *ports;
	struct qcf *config; /* NULL before the first */
	struct ldm *members;
	struct ldp *dispatch;
	struct rly *relay;
	struct lnd_job *jobs;
	struct lnd_address *addresses;
	struct lnd_backlog *backlogs;
	uint64_t claim; /* under which the dispatcher leads; 0: it does not */
	uint64_t leader; /* to whom jobs are handed */
	uint64_t leaderless_ms; /* since when; 0: somebody leads */
	uint64_t active_ms; /* when it last ran */
	uint64_t raised_ms; /* last time the claim was raised */
	uint64_t addresses_due_ms; /* next beats that carry addresses */
	bool standby; /* reads the list of workers, to lead when needed */
	uint64_t workers_read_ms; /* the list, first; 0: not yet */
	bool run_due; /* answers of relays may have freed workers */
	bool stopping;
	uint64_t ends_ms; /* all jobs are answered by then; 0: it does not stop
			   */
};

/* lease_node.c */

/* To be called first wherever something comes in. */
void lnd_look_for_pause(struct lnd *lnd, uint64_t now_ms);

/* lease_entry.c */

/* Hands on what waits for a leader, and what was with a former one. */
void lnd_reassign(struct lnd *lnd, uint64_t now_ms);

/* A link is down: what was handed over it has to be handed on again. */
void lnd_lose_leader(struct lnd *lnd, uint64_t incarnation, uint64_t now_ms);

/* Ends jobs past their deadline. */
void lnd_expire_jobs(struct lnd *lnd, uint64_t now_ms);

/* The leader's answer to a job. */
void lnd_job_ended(struct lnd *lnd, const struct lnd_answer *answer);

/* lease_peer.c */

void lnd_send_beats(struct lnd *lnd, uint64_t now_ms);

/* Sends the configuration in force to one member, or with 0 to all. */
void lnd_offer_config(struct lnd *lnd, uint64_t incarnation);

void lnd_send_job(struct lnd *lnd, const struct lnd_job *job, uint64_t to,
		  uint64_t now_ms);
void lnd_send_cancel(struct lnd *lnd, const struct lnd_job *job);

/* The dispatcher's answer, to this instance or another. */
void lnd_on_answer(void *ctx, const struct ldp_answer *answer);

#endif
