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
 * The core of one instance on a site whose workers are leased: accepts callers'
 * jobs, forwards each to the leader, and dispatches them while it leads itself.
 * Like core/node.h it has no I/O, no threads and no clock; one thread owns it.
 */

struct lease_node;

/* How a caller's job ended. */
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
	/* Parses an operators' document; NULL if it is not valid. */
	struct queue_config *(*parse_config)(void *ctx, TALLOC_CTX *mem,
					     const char *text, size_t len);
	uint64_t (*wall_ms)(void *ctx);
	/* Schedules one lease_node_flush within a few ms, for many calls. */
	void (*wake)(void *ctx);
	/*
	 * Reads what has changed in the list of workers, soon; reports it and
	 * lease_node_worker_list_current. NULL: the list is always current.
	 */
	void (*refresh_workers)(void *ctx);
	/*
	 * Keeps a message for the instances that cannot be reached over links,
	 * for 15 s at least, and calls lease_node_late_starts_kept, not before
	 * it returns. NULL: there is no store.
	 */
	void (*keep_late_starts)(void *ctx, const Bergamot__LateStarts *msg);
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
	uint32_t direct_workers; /* with more workers, relays call them */
	bool admission;
	const struct lease_order *order;
	const struct place_ops *place;
	uint64_t now_ms;
};

/* Copies the options; owned by mem. */
struct lease_node *lease_node_create(TALLOC_CTX *mem,
				     const struct lease_node_options *options);

/* To be called every few ms, or less often while lease_node_is_idle. */
void lease_node_tick(struct lease_node *lease_node, uint64_t now_ms);

/*
 * Starts tasks on freed workers and sends batched relay messages. To be called
 * after each call of the wake port.
 */
void lease_node_flush(struct lease_node *lease_node, uint64_t now_ms);

/* Callers. */

/*
 * Submits a best-effort job. The answer port is called once for it, unless
 * lease_node_caller_disconnected is called before.
 */
void lease_node_submit(struct lease_node *lease_node, uint64_t request,
		       const struct queue_config_queue *queue,
		       const struct step_job *job, uint64_t remaining_ms,
		       uint64_t now_ms);

/* The caller has closed its connection. */
void lease_node_caller_disconnected(struct lease_node *lease_node,
				    uint64_t request, uint64_t now_ms);

/*
 * Returns the number of jobs of a queue that have not started a task, as the
 * leader last announced it.
 */
uint32_t lease_node_count_waiting(struct lease_node *lease_node,
				  const char *queue);

/* Configuration: the newest version read so far is in force. */
void lease_node_config_read(struct lease_node *lease_node, const char *text,
			    size_t len, uint64_t now_ms);
const struct queue_config *
lease_node_config(const struct lease_node *lease_node);

/*
 * Workers. Their registrations change all the time, so that on a large site
 * only some instances read them: the leader and its standbys.
 */

/* Returns true if this instance should read the list of workers now. */
bool lease_node_reads_workers(const struct lease_node *lease_node);

/*
 * This instance has stopped reading the list of workers, and its copy becomes
 * out of date.
 */
void lease_node_worker_list_closed(struct lease_node *lease_node);

/*
 * A worker was registered, changed or deregistered. Returns false, and changes
 * nothing, for a registration that is older than one that was read before.
 */
bool lease_node_worker_listed(struct lease_node *lease_node,
			      const struct pool_registration *registration,
			      uint64_t now_ms);
void lease_node_worker_removed(struct lease_node *lease_node, const char *id,
			       uint64_t now_ms);

/* All changes up to as_of_ms were reported. */
void lease_node_worker_list_current(struct lease_node *lease_node,
				    uint64_t as_of_ms);

/*
 * The whole list of workers was read, for the first time or anew: registrations
 * that have come and gone before are not known.
 */
void lease_node_worker_list_complete(struct lease_node *lease_node,
				     uint64_t now_ms);

/* Handle the answers to calls of the workers port. */
void lease_node_start_answered(struct lease_node *lease_node, uint64_t token,
			       const struct pool_reply *reply, uint64_t now_ms);
void lease_node_stop_answered(struct lease_node *lease_node, uint64_t token,
			      const struct pool_reply *reply, uint64_t now_ms);
void lease_node_hold_answered(struct lease_node *lease_node, const char *worker,
			      uint64_t serial, const struct pool_reply *reply,
			      const struct pool_lists *lists, uint64_t now_ms);

/*
 * Records how long a message waited until this instance read it; used while it
 * leads.
 */
void lease_node_record_lag(struct lease_node *lease_node, uint64_t lag_ms);

/* Members. */

/* Dials the address of another instance, unless it was listed before. */
void lease_node_member_listed(struct lease_node *lease_node,
			      const char *address);

/* The whole list of registered instances was read. */
void lease_node_member_list_complete(struct lease_node *lease_node);

/* Handle the links to other instances and the messages over them. */
void lease_node_peer_up(struct lease_node *lease_node,
			const Bergamot__Hello *hello, uint64_t now_ms);
void lease_node_peer_down(struct lease_node *lease_node, uint64_t incarnation,
			  uint64_t now_ms);
void lease_node_peer_message(struct lease_node *lease_node,
			     uint64_t incarnation, const Bergamot__Peer *msg,
			     uint64_t now_ms);

/* Late starts, see core/late_task.h. */

/* Handles the answer to keep_late_starts. */
void lease_node_late_starts_kept(struct lease_node *lease_node, bool is_kept,
				 uint64_t now_ms);

/*
 * Handles a message that an instance has kept; to be called in the order in
 * which that instance has kept them.
 */
void lease_node_late_starts_read(struct lease_node *lease_node, uint64_t from,
				 const Bergamot__LateStarts *msg,
				 uint64_t now_ms);

/* State. */

/* Returns true if there is a configuration and a leader, and no stop began. */
bool lease_node_is_ready(const struct lease_node *lease_node);
bool lease_node_leads(const struct lease_node *lease_node);

/*
 * Returns true if no jobs are open, here or at the dispatcher, and a member
 * leads.
 */
bool lease_node_is_idle(const struct lease_node *lease_node);

struct lease_dispatch *lease_node_dispatch(struct lease_node *lease_node);
struct leadership *lease_node_members(struct lease_node *lease_node);

/* Returns the number of callers' jobs of this instance not yet answered. */
uint32_t lease_node_count_open_jobs(const struct lease_node *lease_node);

/*
 * Gives up leading and stops being ready. Open jobs are still served, and so
 * are new ones whose objective falls before ends_ms.
 */
void lease_node_begin_stop(struct lease_node *lease_node, uint64_t ends_ms,
			   uint64_t now_ms);

/* Answers all open jobs: refused if no task can have started, else given up. */
void lease_node_end_jobs(struct lease_node *lease_node, uint64_t now_ms);

#endif
