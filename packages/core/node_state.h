#ifndef CORE_NODE_STATE_H
#define CORE_NODE_STATE_H

#include "base/hash_table.h"

#include "base/random.h"
#include "core/config.h"
#include "core/delegate.h"
#include "core/config_spread.h"
#include "core/dispatch.h"
#include "core/drain.h"
#include "core/handover.h"
#include "core/job_id.h"
#include "core/membership.h"
#include "core/node.h"
#include "core/quota.h"
#include "core/quota_share.h"
#include "core/record.h"

/*
 * The state that the parts of the node share, private to node*.c. node.c
 * creates the node and runs periodic work. node_route.c routes requests to the
 * job's owner, where node_record.c serves them. node_claim.c claims idempotency
 * keys, node_handover.c hands records over at a stop, node_peer.c handles peer
 * messages, node_config.c reads and writes the platform's configuration, and
 * node_status.c reports the state.
 */

#define NODE_MAX_MEMBERS 256 /* of one data centre */
#define NODE_HEARTBEAT_MS 1000
/* Every eighth heartbeat also carries the state that changes rarely. */
#define NODE_FULL_UPDATE_BEATS 8
#define NODE_BLOCK_SERIALS 65536 /* ids in one grant */
/* Holds starts after a pause until each peer has sent a heartbeat. */
#define NODE_START_HOLD_MS 2000
/* Time left for the owner's answer to travel back before the deadline. */
#define NODE_FORWARD_MARGIN_MS 20

/* Where a request came from: a local caller (peer 0) or an entry instance. */
struct node_origin {
	uint64_t peer;
	uint64_t request;
};

/* A request that another instance answers. */
struct node_forward {
	UT_hash_handle hh;
	uint64_t number;
	uint64_t request; /* the local caller's */
	uint64_t owner; /* instance it was sent to; 0 while it is parked */
	uint64_t parked_until_ms; /* while owner is 0 */
	bool sent; /* at least once, to any instance */
	uint64_t expires_ms; /* the caller's deadline */
	struct job_id id;
	char job[JOB_ID_TEXT_BYTES];
	Bergamot__Operation operation;
	struct job_request *body; /* of a submission */
};

/* A submission that waits for the platform to grant its idempotency key. */
struct node_claim {
	UT_hash_handle hh;
	uint64_t number;
	uint64_t request; /* the local caller's */
	uint64_t expires_ms; /* the caller's deadline */
	char job[JOB_ID_TEXT_BYTES];
	struct job_request *body; /* NULL: waits for the job of the key's id */
};

/* Ids of a dispatcher that this instance may issue. */
struct node_block {
	UT_hash_handle hh;
	uint64_t incarnation;
	struct job_id_block block;
	uint64_t received_ms; /* on the clock of this instance */
};

struct node {
	struct node_options options;
	const struct ports *ports;
	const struct settings *settings;
	uint32_t system;
	struct random_generator random;
	struct membership *members;
	struct config_state *config;
	struct job_id_grants *grants;
	struct record_table *records;
	struct quota *quota;
	struct quota_share *shares; /* of the quotas */
	uint64_t shares_updated_ms;
	uint64_t over_quota_logged_ms;
	uint64_t over_quota_unlogged; /* refusals since */
	struct dispatch *dispatch;
	struct delegates *delegate;
	uint64_t next_spill_ms;
	const struct placement_ops *placement;
	struct node_forward *forwards;
	uint64_t next_forward;
	struct node_claim *claims;
	uint64_t next_claim;
	struct handover *handover;
	struct node_block *blocks;
	/* Holders of the dispatcher role in this data centre. */
	uint64_t dispatchers[NODE_MAX_MEMBERS];
	size_t dispatcher_count;
	uint64_t next_heartbeat_ms;
	uint64_t next_block; /* round robin over the dispatchers */
	uint64_t now_ms; /* of the running call */
	bool stopping;
	/* A stopping node admits jobs under issued ids until this time. */
	uint64_t admit_until_ms;
	/* No task starts before this time; 0 while starts are not held. */
	uint64_t starts_held_until_ms;
	struct config_spread spread;
	struct node_plans *plans; /* node_plan.c */
	struct drain *drain;
	bool drain_changed; /* node_drain_apply has work to do */
	struct node_links *links; /* node_links.c */
	size_t next_usage; /* round robin over the document's workers */
};

/* node.c */

/* Recomputes which instances dispatch and which workers each one owns. */
void node_reassign(struct node *node);

bool node_is_dispatcher(const struct node *node);

/* Returns true if this instance may start tasks on the worker. */
bool node_owns_worker(void *ctx, const struct config_worker *worker);

/* Copies this instance's load into its own member entry. */
void node_refresh_self(struct node *node);

/* Writes an event to the timeline; job and detail may be NULL. */
void node_event(struct node *node, const char *event, const char *job,
		const char *detail);

/* node_pause.c */

/* Allows starts again once the hold that follows a pause is over. */
void node_end_start_hold(struct node *node);

/* node_config.c */

/* Applies a document if it is newer; returns whether it is now in force. */
bool node_apply_config(struct node *node, const char *text, size_t len);

/*
 * Takes or releases the watch on the platform, polls the configuration when no
 * peer has recent data, and writes it back where the platform lost a version.
 */
void node_config_tick(struct node *node);

/* node_links.c */

void node_links_create(struct node *node);

/* Postpones the closing of a link that the peer uses. */
void node_keep_link(struct node *node, uint64_t incarnation);

/* Handles a new link: dials the peer back if the link is permanent. */
void node_link_opened(struct node *node, const Bergamot__Hello *hello);

/* Opens a link to a member; it closes after it has been idle. */
void node_use_link(struct node *node, uint64_t incarnation);

/* Opens and closes links as needed. To be called once a second. */
void node_refresh_links(struct node *node);

/* Sends the heartbeats of each second, fewer to other data centres. */
void node_send_regular_heartbeats(struct node *node);

#define NODE_MAX_RELAYED_MEMBERS 8 /* members in one heartbeat */

/* Storage for the relayed members that a heartbeat points to. */
struct node_relayed_members {
	Bergamot__Member members[NODE_MAX_RELAYED_MEMBERS];
	Bergamot__Member *pointers[NODE_MAX_RELAYED_MEMBERS];
};

/* Adds members whose heartbeats the receiver may not get directly. */
void node_add_relayed_members(struct node *node, uint64_t incarnation,
			      struct node_relayed_members *relayed,
			      Bergamot__Heartbeat *beat);

/* node_drain.c */

/* Sets the dispatcher's callbacks for leaving workers. */
void node_drain_options(struct node *node, struct dispatch_options *options);

/* Applies changes of leaving workers and sends them to peers at once. */
void node_drain_apply(struct node *node);

/* Updates whether a worker is leaving from its own usage report. */
void node_update_worker_leaving(struct node *node,
				const struct port_usage *usage);

#define NODE_MAX_NOTES 64 /* in one heartbeat */

/* Storage for the notes on leaving workers that a heartbeat points to. */
struct node_notes {
	uint64_t now_ms;
	Bergamot__WorkerNote notes[NODE_MAX_NOTES];
	Bergamot__WorkerNote *pointers[NODE_MAX_NOTES];
	size_t count;
};

/* Adds all notes, or only those that changed recently, to a heartbeat. */
void node_add_worker_notes(struct node *node, bool all,
			   struct node_notes *notes, Bergamot__Heartbeat *beat);

void node_apply_worker_notes(struct node *node,
			     const Bergamot__Heartbeat *beat);

/* Requests the usage of some workers. To be called once a second. */
void node_refresh_drain(struct node *node);

/* node_plan.c */

void node_plans_create(struct node *node);

/* Stores what a new version changed, to report it with a stale plan. */
void node_record_config_change(struct node *node);

/* Handles the answer to the write of a confirmed plan. */
void node_plan_written(struct node *node, uint64_t request,
		       enum port_platform_status status);

/* node_record.c */

/* Answers a request of a local caller or of a peer. */
void node_answer(struct node *node, const struct node_origin *origin,
		 const char *job, const struct outcome *outcome);

void node_answer_with(struct node *node, const struct node_origin *origin,
		      const char *job, enum outcome_kind kind,
		      enum outcome_reason reason);

/* Returns true if this instance is the id's owner. */
bool node_owns_id(const struct node *node, const struct job_id *id);

/* Ends a job's record and answers all requests that wait for it. */
void node_job_done(void *ctx, struct job *job, const struct outcome *outcome);

/*
 * Handles a submission at the job's owner; takes ownership of the request.
 * remaining_ms is the time to the caller's deadline, 0 for none.
 */
void node_submit_at_owner(struct node *node, const struct node_origin *origin,
			  const char *text, struct job_request *request,
			  uint64_t remaining_ms);
/* Handles a fetch or a cancel at the job's owner. */
void node_fetch_at_owner(struct node *node, const struct node_origin *origin,
			 const char *text, bool cancel);

/* Returns the milliseconds from a job's submission to its deadline. */
uint64_t node_job_deadline_ms(const struct node *node,
			      const struct job_request *request);

/* node_route.c */

void node_forward_reply(struct node *node, uint64_t from,
			const Bergamot__ForwardReply *reply);

/*
 * Handles the loss of the link to an owner: requests forwarded to it go to its
 * successor, or are parked until there is a link to either.
 */
void node_park_forwards(struct node *node, uint64_t owner);

/* Forwards the parked requests whose owner is linked now. */
void node_resume_forwards(struct node *node);

/* Answers forwarded requests whose time has expired. */
void node_expire_forwards(struct node *node);

/* Submits a local caller's job under an id, to be answered within wait_ms. */
void node_submit_within(struct node *node, uint64_t request, const char *text,
			struct job_request *job, uint64_t wait_ms);

/* node_claim.c */

/* Answers submissions whose key was not claimed by their deadline. */
void node_expire_claims(struct node *node);

/* Returns true if a key's claim has not been answered. */
bool node_has_open_claims(const struct node *node);

/* node_handover.c */

void node_create_handover(struct node *node);

/* Hands over once all jobs have ended, and announces the successor. */
void node_tick_handover(struct node *node);

/* Lets another member take over from one that was lost or leaves. */
void node_handover_member_changed(struct node *node,
				  const struct member_entry *member);

void node_on_hand_over(struct node *node, uint64_t from,
		       const Bergamot__Peer *msg);
void node_on_hand_over_ack(struct node *node, uint64_t from,
			   const Bergamot__Peer *msg);

/* Stores the owners for whose ids a heartbeat's sender answers. */
void node_learn_adopted(struct node *node, uint64_t from,
			const Bergamot__Heartbeat *beat);

/* Adds the owners this instance adopted to a heartbeat, under mem. */
void node_fill_adopted(struct node *node, TALLOC_CTX *mem,
		       Bergamot__Heartbeat *beat);

/* node_peer.c */

/* Sends a heartbeat to each linked member. */
void node_send_heartbeats(struct node *node);

/*
 * Runs one round of heartbeats: calls send for each member, with the node as
 * ctx, to send one or skip the member.
 */
void node_send_round(struct node *node,
		     void (*send)(void *ctx, struct member_entry *member));

/* Sends a peer a heartbeat, with a block of ids when one is due. */
void node_send_heartbeat(struct node *node, uint64_t incarnation);

/* node_role.c */

/*
 * Reports to new dispatchers the tasks of this instance that still run on
 * their workers.
 */
void node_send_role_state(struct node *node);

void node_on_role_state(struct node *node, uint64_t from,
			const Bergamot__Peer *msg);

/* node_delegate.c */

/* Delegates waiting tasks to peers with idle slots. Runs at each tick. */
void node_spill(struct node *node);

/* Returns the idle slots for a service at the peers that can take tasks. */
uint32_t node_remote_slots(void *ctx, const char *service);

void node_on_delegate(struct node *node, uint64_t from,
		      const Bergamot__Peer *msg);
void node_on_delegated_result(struct node *node, uint64_t from,
			      const Bergamot__Peer *msg);
void node_on_delegate_stop(struct node *node, uint64_t from,
			   const Bergamot__Peer *msg);

/* node_quota.c */

/* Computes this instance's shares of the quotas, before heartbeats. */
void node_update_shares(struct node *node);

/* Adds changed shares, or with all set each one, to a heartbeat. */
void node_fill_shares(struct node *node, TALLOC_CTX *mem, uint64_t to, bool all,
		      Bergamot__Heartbeat *beat);

/* Stores the shares of the heartbeat's sender. */
void node_apply_shares(struct node *node, uint64_t from,
		       const Bergamot__Heartbeat *beat);

/*
 * Logs why a job is over its team's quota: this dispatcher's tokens and share,
 * and the peers' reports, which tell whether the quota is in use.
 */
void node_log_over_quota(struct node *node, const char *job,
			 const struct job_request *request);

#endif
