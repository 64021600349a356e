#ifndef CORE_LEASE_RELAY_H
#define CORE_LEASE_RELAY_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "core/leader_member.h"
#include "core/lease_pool.h"
#include "wire/peer.pb-c.h"

/*
 * Calls to workers through other instances. On a large site the HTTP calls of
 * one leader take more processor time than its machine has; the leader still
 * decides, but other instances, its relays, make the calls. Each worker is
 * called by one relay at a time, chosen by rendezvous hashing weighted by
 * processor share, in the worker's data centre if possible.
 *
 * A relay that answers nothing for some tens of ms is silent: its workers are
 * called through others, and get no tasks until they have answered there. A
 * link that is cut shows only by that for as long as its beats are valid.
 *
 * If a relay does not answer in time, or its link is lost, the call counts as
 * not answered by the worker: it may still be carried out, even later. Fencing
 * tokens, deadlines on the worker's clock and run numbers make that safe, as
 * they do for the leader's own calls.
 *
 * Decisions about workers are made in core/lease_pool.h, not here.
 */

struct lease_relay;

struct relay_options {
	struct pool_ports local; /* make calls from this instance */
	struct leadership *members;
	uint32_t direct_workers; /* with more, relays are used; 0: 64 */
	uint64_t now_ms;
	void (*send)(void *ctx, uint64_t incarnation,
		     const Bergamot__Peer *msg);
	/* Schedules a relay_flush soon, so that messages are batched. */
	void (*wake)(void *ctx);
	void *ctx;
};

/* Copies the options; owned by mem. */
struct lease_relay *relay_create(TALLOC_CTX *mem,
				 const struct relay_options *options);

/* Returns the ports by which the leader's pool calls workers. */
struct pool_ports relay_ports(struct lease_relay *lease_relay);

/* Sets the pool that receives the answers. */
void relay_set_pool(struct lease_relay *lease_relay, struct lease_pool *pool);

/*
 * Handles the answer to a call made by this instance. Returns true if the call
 * was made for another instance, to which the answer is sent; otherwise the
 * answer belongs to this instance's pool.
 */
bool relay_start_answered(struct lease_relay *lease_relay, uint64_t token,
			  const struct pool_reply *reply);
bool relay_stop_answered(struct lease_relay *lease_relay, uint64_t token,
			 const struct pool_reply *reply);
bool relay_hold_answered(struct lease_relay *lease_relay, uint64_t serial,
			 const struct pool_reply *reply,
			 const struct pool_lists *lists);

/*
 * Handle messages of other instances. Orders that the sender has given up are
 * dropped: the worker may have restarted since, and would carry them out.
 */
void relay_receive_orders(struct lease_relay *lease_relay, uint64_t from,
			  const Bergamot__WorkerOrders *msg, uint64_t now_ms);
void relay_receive_answers(struct lease_relay *lease_relay, uint64_t from,
			   const Bergamot__WorkerAnswers *msg, uint64_t now_ms);

/* The link to a member is down: calls sent to it count as not answered. */
void relay_member_lost(struct lease_relay *lease_relay, uint64_t incarnation,
		       uint64_t now_ms);

/*
 * Updates the choice of relays and ends overdue calls; to be called every few
 * ms.
 */
void relay_tick(struct lease_relay *lease_relay, uint64_t now_ms);

/* Sends the batched orders and answers. */
void relay_flush(struct lease_relay *lease_relay);

#endif
