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
 * one leader take more processor time than its machine has; the leader decides
 * on, and other instances make the calls for it. Each worker is called by one
 * instance at a time, chosen by rendezvous weighted by processor share, in the
 * worker's data centre where there is one.
 *
 * A relay that does not answer in time, or whose link is lost, counts as a
 * worker that does not: the call may be carried out, also later. Fencing
 * tokens, deadlines on the worker's clock and run numbers make that safe, as
 * they do for the leader's own calls.
 *
 * Not for deciding anything about workers: see core/lease_pool.h.
 */

struct lease_relay;

struct relay_options {
	struct pool_ports local; /* this instance's own calls */
	struct leadership *members;
	uint32_t direct_workers; /* up to so many need no relays; 0: 64 */
	uint64_t now_ms;
	void (*send)(void *ctx, uint64_t incarnation,
		     const Bergamot__Peer *msg);
	/* Has relay_flush called soon, together with what else is to be sent.
	 */
	void (*wake)(void *ctx);
	void *ctx;
};

/* Copies the options; owned by mem. */
struct lease_relay *relay_create(TALLOC_CTX *mem,
				 const struct relay_options *options);

/* The ports of a leader; answers go to the pool set here. */
struct pool_ports relay_ports(struct lease_relay *lease_relay);
void relay_set_pool(struct lease_relay *lease_relay, struct lease_pool *pool);

/*
 * An answer to one of this instance's own calls: true when the call was made
 * for another instance, which is told.
 */
bool relay_start_answered(struct lease_relay *lease_relay, uint64_t token,
			  const struct pool_reply *reply);
bool relay_stop_answered(struct lease_relay *lease_relay, uint64_t token,
			 const struct pool_reply *reply);
bool relay_hold_answered(struct lease_relay *lease_relay, uint64_t serial,
			 const struct pool_reply *reply,
			 const struct pool_lists *lists);

/* Messages of other instances. */
void relay_take_orders(struct lease_relay *lease_relay, uint64_t from,
		       const Bergamot__WorkerOrders *msg);
void relay_take_answers(struct lease_relay *lease_relay,
			const Bergamot__WorkerAnswers *msg, uint64_t now_ms);

/* Its link is down: what it was told to call counts as not answered. */
void relay_member_lost(struct lease_relay *lease_relay, uint64_t incarnation,
		       uint64_t now_ms);

/* Chooses relays anew, and ends calls that are overdue; every few ms. */
void relay_tick(struct lease_relay *lease_relay, uint64_t now_ms);

/* Sends what has gathered. */
void relay_flush(struct lease_relay *lease_relay);

#endif
