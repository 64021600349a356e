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

struct lnd;

/* The end of a caller's job. */
struct lnd_answer {
	uint64_t request;
	enum ldp_end end;
	enum ldp_reason reason;
	uint32_t retry_after_ms;
};

struct lnd_ports {
	void *ctx;
	struct lpl_ports workers;
	void (*answer)(void *ctx, const struct lnd_answer *answer);
	void (*send)(void *ctx, uint64_t incarnation,
		     const Bergamot__Peer *msg);
	void (*dial)(void *ctx, const char *address);
	/* Reads an operators' document; NULL when it is not valid. */
	struct qcf *(*parse_config)(void *ctx, TALLOC_CTX *mem,
				    const char *text, size_t len);
	uint64_t (*wall_ms)(void *ctx);
	/* Has lnd_flush called within a few ms, once for many calls. */
	void (*wake)(void *ctx);
};

struct lnd_options {
	const struct lnd_ports *ports;
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
	const struct ldp_order *order;
	const struct lpc_ops *place;
	uint64_t now_ms;
};

/* Copies the options; owned by mem. */
struct lnd *lnd_create(TALLOC_CTX *mem, const struct lnd_options *options);

/* Every few ms: see lnd_is_idle for how often. */
void lnd_tick(struct lnd *lnd, uint64_t now_ms);

/* Starts what can start and sends what has gathered, after the wake port. */
void lnd_flush(struct lnd *lnd, uint64_t now_ms);

/* Callers. */

/* A best-effort job, answered once by the answer port unless lnd_left comes. */
void lnd_submit(struct lnd *lnd, uint64_t request,
		const struct qcf_queue *queue, const struct sjb_job *job,
		uint64_t remaining_ms, uint64_t now_ms);

/* The caller has closed its connection. */
void lnd_left(struct lnd *lnd, uint64_t request, uint64_t now_ms);

/* Jobs of a queue of which nothing has started, as the leader last told. */
uint32_t lnd_waiting(struct lnd *lnd, const char *queue);

/* Configuration: the newest version ever read is in force. */
void lnd_config_read(struct lnd *lnd, const char *text, size_t len,
		     uint64_t now_ms);
const struct qcf *lnd_config(const struct lnd *lnd);

/*
 * Workers. Their registrations change all the time, so that on a large site
 * only some instances read them: the leader and those that may lead next.
 */
bool lnd_wants_workers(const struct lnd *lnd);
/* Reading has ended: what is known of the list is not to be trusted on. */
void lnd_workers_dropped(struct lnd *lnd);
void lnd_worker_listed(struct lnd *lnd, const struct lpl_entry *entry,
		       uint64_t now_ms);
void lnd_worker_gone(struct lnd *lnd, const char *id, uint64_t now_ms);
/* The list of workers was read in whole. */
void lnd_workers_read(struct lnd *lnd, uint64_t now_ms);
void lnd_start_answered(struct lnd *lnd, uint64_t token,
			const struct lpl_reply *reply, uint64_t now_ms);
void lnd_stop_answered(struct lnd *lnd, uint64_t token,
		       const struct lpl_reply *reply, uint64_t now_ms);
void lnd_hold_answered(struct lnd *lnd, const char *worker, uint64_t serial,
		       const struct lpl_reply *reply,
		       const struct lpl_lists *lists, uint64_t now_ms);

/* How long what arrives waits here until it is read, measured while leading. */
void lnd_note_lag(struct lnd *lnd, uint64_t lag_ms);

/* Members. */
void lnd_member_listed(struct lnd *lnd, const char *address);
void lnd_peer_up(struct lnd *lnd, const Bergamot__Hello *hello,
		 uint64_t now_ms);
void lnd_peer_down(struct lnd *lnd, uint64_t incarnation, uint64_t now_ms);
void lnd_peer_message(struct lnd *lnd, uint64_t incarnation,
		      const Bergamot__Peer *msg, uint64_t now_ms);

/* State. */
bool lnd_is_ready(const struct lnd *lnd);
bool lnd_leads(const struct lnd *lnd);
bool lnd_is_idle(const struct lnd *lnd);
struct ldp *lnd_dispatch(struct lnd *lnd);
struct ldm *lnd_members(struct lnd *lnd);
uint32_t lnd_open_jobs(const struct lnd *lnd);

/*
 * Gives up leading and stops being ready; open jobs are served on, and new ones
 * that can be on time before ends_ms.
 */
void lnd_begin_stop(struct lnd *lnd, uint64_t ends_ms, uint64_t now_ms);

/* Answers all open jobs, with the truth about whether they may have run. */
void lnd_end_jobs(struct lnd *lnd, uint64_t now_ms);

#endif
