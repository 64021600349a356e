#ifndef CORE_LEASE_NODE_STATE_H
#define CORE_LEASE_NODE_STATE_H

#include "base/hash_table.h"
#include "core/lease_node.h"
#include "core/lease_relay.h"

/*
 * The state that the parts of a lease node share; for lease_node*.c alone.
 * lease_node.c sets it up and keeps time, lease_node_entry.c hands callers'
 * jobs to the leader, lease_node_peer.c speaks with other instances.
 */

#define LEASE_NODE_MAX_ADDRESSES 128 /* of instances to be dialled */

/* A caller's job that is not yet answered. */
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
	uint64_t sent_to; /* the leader that has it; 0: none */
	uint32_t handed; /* leaders that may have had it before */
	uint64_t closed_ms; /* these have surely given it up by then */
};

struct lease_node_address {
	UT_hash_handle hh;
	char *text;
};

/* What the leader told of a queue. */
struct lease_node_backlog {
	UT_hash_handle hh;
	char *queue;
	uint32_t waiting;
};

struct lease_node {
	struct lease_node_options options;
	const struct lease_node_ports *ports;
	struct queue_config *config; /* NULL before the first */
	struct leadership *members;
	struct lease_dispatch *dispatch;
	struct lease_relay *relay;
	struct lease_node_job *jobs;
	struct lease_node_address *addresses;
	struct lease_node_backlog *backlogs;
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
void lease_node_look_for_pause(struct lease_node *lease_node, uint64_t now_ms);

/* lease_node_entry.c */

/* Hands on what waits for a leader, and what was with a former one. */
void lease_node_reassign(struct lease_node *lease_node, uint64_t now_ms);

/* A link is down: what was handed over it has to be handed on again. */
void lease_node_lose_leader(struct lease_node *lease_node, uint64_t incarnation,
			    uint64_t now_ms);

/* Ends jobs past their deadline. */
void lease_node_expire_jobs(struct lease_node *lease_node, uint64_t now_ms);

/* The leader's answer to a job. */
void lease_node_job_ended(struct lease_node *lease_node,
			  const struct lease_node_answer *answer);

/* lease_node_peer.c */

void lease_node_send_beats(struct lease_node *lease_node, uint64_t now_ms);

/* Sends the configuration in force to one member, or with 0 to all. */
void lease_node_offer_config(struct lease_node *lease_node,
			     uint64_t incarnation);

void lease_node_send_job(struct lease_node *lease_node,
			 const struct lease_node_job *job, uint64_t to,
			 uint64_t now_ms);
void lease_node_send_cancel(struct lease_node *lease_node,
			    const struct lease_node_job *job);

/* The dispatcher's answer, to this instance or another. */
void lease_node_on_answer(void *ctx, const struct lease_answer *answer);

#endif
