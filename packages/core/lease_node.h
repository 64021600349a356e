#ifndef CORE_LEASE_NODE_H
#define CORE_LEASE_NODE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "core/lease_dispatch.h"
#include "core/leader_member.h"
#include "core/queue_config.h"
#include "core/step_job.h"
#include "wire/peer.pb-c.h"

/*
 * The core of one instance on a site whose workers are leased: takes callers'
 * jobs, hands each to the instance that leads, and leads when it is its turn.
 * Like core/node.h it has no I/O, no threads and no clock; one thread owns it.
 */

struct lease_node;

/* The end of a caller's job. */
struct lease_node_answer {
	uint64_t request;
	enum lease_end end;
	enum lease_reason reason;
	uint32_t retry_after_ms;
};

struct lease_node_ports {
	void *ctx;
	struct pool_ports workers;
	void (*answer)(void *ctx, const struct lease_node_answer *answer);
	void (*send)(void *ctx, uint64_t incarnation,
		     const Bergamot__Peer *msg);
	void (*dial)(void *ctx, const char *address);
	/* Reads an operators' document; NULL when it is not valid. */
	struct queue_config *(*parse_config)(void *ctx, TALLOC_CTX *mem,
					     const char *text, size_t len);
	uint64_t (*wall_ms)(void *ctx);
	/* Has lease_node_flush called within a few ms, once for many calls. */
	void (*wake)(void *ctx);
};

struct lease_node_options {
	const struct lease_node_ports *ports;
	const char *instance;
	const char *data_centre;
	const char *address; /* of our peer links */
	uint64_t incarnation;
	uint64_t seed;
	uint32_t weight; /* processor share, in thousandths of a core */
	bool first_start; /* of the whole system */
	uint32_t lease_ms;
	uint32_t stop_ms;
	double far_factor;
	uint32_t direct_workers; /* with more, other instances call workers */
	bool admission;
	const struct lease_order *order;
	const struct place_ops *place;
	uint64_t now_ms;
};

/* Copies the options; owned by mem. */
struct lease_node *lease_node_create(TALLOC_CTX *mem,
				     const struct lease_node_options *options);

/* Every few ms: see lease_node_is_idle for how often. */
void lease_node_tick(struct lease_node *lease_node, uint64_t now_ms);

/* Starts what can start and sends what has gathered, after the wake port. */
void lease_node_flush(struct lease_node *lease_node, uint64_t now_ms);

/* Callers. */

/* A best-effort job, answered once by the answer port unless lease_node_left
 * comes. */
void lease_node_submit(struct lease_node *lease_node, uint64_t request,
		       const struct queue_config_queue *queue,
		       const struct step_job *job, uint64_t remaining_ms,
		       uint64_t now_ms);

/* The caller has closed its connection. */
void lease_node_left(struct lease_node *lease_node, uint64_t request,
		     uint64_t now_ms);

/* Jobs of a queue of which nothing has started, as the leader last told. */
uint32_t lease_node_waiting(struct lease_node *lease_node, const char *queue);

/* Configuration: the newest version ever read is in force. */
void lease_node_config_read(struct lease_node *lease_node, const char *text,
			    size_t len, uint64_t now_ms);
const struct queue_config *
lease_node_config(const struct lease_node *lease_node);

/*
 * Workers. Their registrations change all the time, so that on a large site
 * only some instances read them: the leader and those that may lead next.
 */
bool lease_node_wants_workers(const struct lease_node *lease_node);
/* Reading has ended: what is known of the list is not to be trusted on. */
void lease_node_workers_dropped(struct lease_node *lease_node);
void lease_node_worker_listed(struct lease_node *lease_node,
			      const struct pool_entry *entry, uint64_t now_ms);
void lease_node_worker_gone(struct lease_node *lease_node, const char *id,
			    uint64_t now_ms);
/* The list of workers was read in whole. */
void lease_node_workers_read(struct lease_node *lease_node, uint64_t now_ms);
void lease_node_start_answered(struct lease_node *lease_node, uint64_t token,
			       const struct pool_reply *reply, uint64_t now_ms);
void lease_node_stop_answered(struct lease_node *lease_node, uint64_t token,
			      const struct pool_reply *reply, uint64_t now_ms);
void lease_node_hold_answered(struct lease_node *lease_node, const char *worker,
			      uint64_t serial, const struct pool_reply *reply,
			      const struct pool_lists *lists, uint64_t now_ms);

/* How long what arrives waits here until it is read, measured while leading. */
void lease_node_note_lag(struct lease_node *lease_node, uint64_t lag_ms);

/* Members. */
void lease_node_member_listed(struct lease_node *lease_node,
			      const char *address);
void lease_node_peer_up(struct lease_node *lease_node,
			const Bergamot__Hello *hello, uint64_t now_ms);
void lease_node_peer_down(struct lease_node *lease_node, uint64_t incarnation,
			  uint64_t now_ms);
void lease_node_peer_message(struct lease_node *lease_node,
			     uint64_t incarnation, const Bergamot__Peer *msg,
			     uint64_t now_ms);

/* State. */
bool lease_node_is_ready(const struct lease_node *lease_node);
bool lease_node_leads(const struct lease_node *lease_node);
bool lease_node_is_idle(const struct lease_node *lease_node);
struct lease_dispatch *lease_node_dispatch(struct lease_node *lease_node);
struct leadership *lease_node_members(struct lease_node *lease_node);
uint32_t lease_node_open_jobs(const struct lease_node *lease_node);

/*
 * Gives up leading and stops being ready; open jobs are served on, and new ones
 * that can be on time before ends_ms.
 */
void lease_node_begin_stop(struct lease_node *lease_node, uint64_t ends_ms,
			   uint64_t now_ms);

/* Answers all open jobs, with the truth about whether they may have run. */
void lease_node_end_jobs(struct lease_node *lease_node, uint64_t now_ms);

#endif
