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
 * The state that the parts of the node share; for node*.c alone. node.c sets
 * it up and keeps time, node_route.c routes requests to their owner, where
 * node_record.c serves them; node_claim.c grants idempotency keys,
 * node_handover.c hands over at a stop, node_peer.c speaks with other
 * instances, node_config.c with the platform; node_status.c reports.
 */

#define NODE_MAX_MEMBERS 256 /* of one data centre */
#define NODE_HEARTBEAT_MS 1000
/* what changes seldom is in every such heartbeat */
#define NODE_RENEW_BEATS 8
#define NODE_BLOCK_SERIALS 65536 /* ids in one grant */
#define NODE_HOLD_MS 2000 /* after a pause: each peer has sent a heartbeat */
/* An owner's answer has so long to come back before the caller's deadline. */
#define NODE_FORWARD_MARGIN_MS 20

/* Who asked: a local caller (peer 0) or an entry instance. */
struct node_origin {
	uint64_t peer;
	uint64_t request;
};

/* A request that another instance answers. */
struct node_forward {
	UT_hash_handle hh;
	uint64_t number;
	uint64_t request; /* the local caller's */
	uint64_t owner; /* who was asked; 0 while nobody can be */
	uint64_t parked_until_ms; /* while nobody can be asked */
	bool sent; /* at least once, to whomever */
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
	struct job_request *body;
};

/* Ids of a dispatcher that this instance may issue. */
struct node_block {
	UT_hash_handle hh;
	uint64_t incarnation;
	struct job_id_block block;
	uint64_t taken_ms; /* when it was granted, on our clock */
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
	uint64_t shares_at_ms; /* last worked out */
	struct dispatch *dispatch;
	struct delegates *delegate;
	uint64_t spill_at_ms; /* next look for an excess */
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
	uint64_t heartbeat_at_ms;
	uint64_t next_block; /* round robin over blocks */
	uint64_t now_ms; /* of the running call */
	bool stopping;
	uint64_t admit_until_ms; /* while stopping, under ids of before */
	uint64_t held_until_ms; /* nothing starts before; 0: not held */
	struct config_spread spread;
	struct node_plans *plans; /* node_plan.c */
	struct drain *drain;
	bool drain_changed; /* to be acted on by node_drain_apply */
	struct node_links *links; /* node_links.c */
	size_t next_usage; /* round robin over the document's workers */
};

/* node.c */

/* Recomputes who dispatches and which workers are this instance's. */
void node_reassign(struct node *node);

bool node_is_dispatcher(const struct node *node);

/* Is a worker of this data centre this instance's to start on? */
bool node_owns_worker(void *ctx, const struct config_worker *worker);

/* Takes this instance's load into its own member entry. */
void node_refresh_self(struct node *node);

void node_event(struct node *node, const char *event, const char *job,
		const char *detail);

/* node_pause.c */

/* Starts may go out again once peers had time to be heard after a pause. */
void node_end_hold(struct node *node);

/* node_config.c */

/* Takes an offered document; tells whether it is now in force. */
bool node_take_config(struct node *node, const char *text, size_t len);

/* Decides who watches, polls when nothing is heard, repairs the platform. */
void node_config_tick(struct node *node);

/* node_links.c */

void node_links_create(struct node *node);

/* Puts off the closing of a link that is used. */
void node_keep_link(struct node *node, uint64_t incarnation);

/* A link is up: dials back where it is always wanted. */
void node_link_opened(struct node *node, const Bergamot__Hello *hello);

/* Opens a link to a member, to be kept for a while. */
void node_use_link(struct node *node, uint64_t incarnation);

/* Once a second: opens and closes links as they are wanted. */
void node_links_second(struct node *node);

/* The heartbeats of each second; fewer go to other data centres. */
void node_send_regular_heartbeats(struct node *node);

#define NODE_MAX_RELAYS 8 /* members in one heartbeat */

/* Relayed members; a heartbeat points into them. */
struct node_relays {
	Bergamot__Member members[NODE_MAX_RELAYS];
	Bergamot__Member *pointers[NODE_MAX_RELAYS];
};

/* Adds members that the receiver may not hear itself. */
void node_add_relays(struct node *node, uint64_t incarnation,
		     struct node_relays *relays, Bergamot__Heartbeat *beat);

/* node_drain.c */

/* Sets up what the dispatcher asks and tells of leaving workers. */
void node_drain_options(struct node *node, struct dispatch_options *options);

/* Puts changed words into effect and tells peers at once. */
void node_drain_apply(struct node *node);

/* A worker's own word in its report. */
void node_usage_word(struct node *node, const struct port_usage *usage);

#define NODE_MAX_NOTES 64 /* in one heartbeat */

/* Notes on leaving workers; a heartbeat points into them. */
struct node_notes {
	uint64_t now_ms;
	Bergamot__WorkerNote notes[NODE_MAX_NOTES];
	Bergamot__WorkerNote *pointers[NODE_MAX_NOTES];
	size_t count;
};

/* Adds notes to a heartbeat: all, or those that changed lately. */
void node_add_notes(struct node *node, bool all, struct node_notes *notes,
		    Bergamot__Heartbeat *beat);

void node_take_notes(struct node *node, const Bergamot__Heartbeat *beat);

/* Once a second: asks workers for their word. */
void node_drain_second(struct node *node);

/* node_plan.c */

void node_plans_create(struct node *node);

/* Keeps what a new version changed, to be shown beside a stale plan. */
void node_plans_changed(struct node *node);

/* The answer to the write of a confirmed plan. */
void node_plan_written(struct node *node, uint64_t request,
		       enum port_platform_status status);

/* node_record.c */

/* Answers a request of whichever origin. */
void node_answer(struct node *node, const struct node_origin *origin,
		 const char *job, const struct outcome *outcome);

void node_answer_with(struct node *node, const struct node_origin *origin,
		      const char *job, enum outcome_kind kind,
		      enum outcome_reason reason);

/* Is this instance the id's owner? */
bool node_is_own(const struct node *node, const struct job_id *id);

/* Ends a job's record and answers all who wait for it. */
void node_job_done(void *ctx, struct job *job, const struct outcome *outcome);

/* Submission at the owner. Takes the request over. */
void node_own_submit(struct node *node, const struct node_origin *origin,
		     const char *text, struct job_request *request,
		     uint64_t remaining_ms);
void node_own_fetch(struct node *node, const struct node_origin *origin,
		    const char *text, bool cancel);

/* Milliseconds from a job's submission to its deadline. */
uint64_t node_deadline_of(const struct node *node,
			  const struct job_request *request);

/* node_route.c */

void node_forward_reply(struct node *node, uint64_t from,
			const Bergamot__ForwardReply *reply);

/*
 * The owner is lost: what was forwarded to it goes to its successor, or waits
 * a while for a link to either.
 */
void node_park_forwards(struct node *node, uint64_t owner);

/* Sends on what waits for a link that is there now. */
void node_resume_forwards(struct node *node);

/* Ends the forwards whose time is up. */
void node_expire_forwards(struct node *node);

/* Submits a local caller's job under an id, to be answered within wait_ms. */
void node_submit_within(struct node *node, uint64_t request, const char *text,
			struct job_request *job, uint64_t wait_ms);

/* node_claim.c */

/* Ends the submissions whose key was not granted in time. */
void node_expire_claims(struct node *node);

/* node_handover.c */

void node_create_handover(struct node *node);

/* Hands over once all jobs have ended; then tells everybody. */
void node_tick_handover(struct node *node);

/* A member was lost or leaves. */
void node_successor_changed(struct node *node,
			    const struct member_entry *member);

void node_on_hand_over(struct node *node, uint64_t from,
		       const Bergamot__Peer *msg);
void node_on_hand_over_ack(struct node *node, uint64_t from,
			   const Bergamot__Peer *msg);

/* Whose ids a heartbeat's sender answers for. */
void node_learn_adopted(struct node *node, uint64_t from,
			const Bergamot__Heartbeat *beat);

/* Fills in a heartbeat what this instance has adopted, under mem. */
void node_fill_adopted(struct node *node, TALLOC_CTX *mem,
		       Bergamot__Heartbeat *beat);

/* node_peer.c */

void node_send_heartbeats(struct node *node);

/* One round of heartbeats: send, with the node as ctx, picks who gets one. */
void node_send_round(struct node *node,
		     void (*send)(void *ctx, struct member_entry *member));

/* Grants a peer a block of ids, with the next heartbeat to it. */
void node_send_heartbeat(struct node *node, uint64_t incarnation);

/* node_role.c */

/* Tells new dispatchers what still runs here on their workers. */
void node_tell_role_state(struct node *node);

void node_on_role_state(struct node *node, uint64_t from,
			const Bergamot__Peer *msg);

/* node_delegate.c */

/* Delegates waiting tasks to peers with idle slots; with each tick. */
void node_spill(struct node *node);

uint32_t node_remote_slots(void *ctx, const char *service);

void node_on_delegate(struct node *node, uint64_t from,
		      const Bergamot__Peer *msg);
void node_on_delegated_result(struct node *node, uint64_t from,
			      const Bergamot__Peer *msg);
void node_on_delegate_stop(struct node *node, uint64_t from,
			   const Bergamot__Peer *msg);

/* node_quota.c */

/* Works out this instance's shares of the quotas; before heartbeats. */
void node_update_shares(struct node *node);

/* Tells a dispatcher what changed, or all. */
void node_fill_shares(struct node *node, TALLOC_CTX *mem, uint64_t to, bool all,
		      Bergamot__Heartbeat *beat);

void node_take_shares(struct node *node, uint64_t from,
		      const Bergamot__Heartbeat *beat);

#endif
