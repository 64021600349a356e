#include "core/lease_pool_state.h"

#include <inttypes.h>

#include "base/log.h"

/*
 * Orders to workers that have no answer so far. A worker may carry one out
 * seconds after it was sent, and count the lease that it grants from then on.
 * It does nothing for a lower fencing token than the highest that it has seen:
 * so once an order is given up, later ones have a higher token, and the first
 * of these that is answered shows that none before it can grant anything.
 */

#define EARLIEST_LATE_MS 2000 /* a late order is carried out no sooner */
/* After its timeout an order's answer arrives, or the word that it has none. */
#define ANSWER_SLACK_MS 250
/* No task starts under a shorter lease than this. */
#define MIN_START_LEASE_MS 300

static void free_order(struct lease_pool *pool, struct pool_order *order)
{
	TAILQ_REMOVE(&order->worker->orders, order, entry);
	order->worker->lost_orders -= order->is_lost;
	HASH_REMOVE(pool->orders, order);
	talloc_free(order);
}

void pool_note_order(struct lease_pool *pool, struct pool_worker *worker,
		     uint64_t number, bool grants, uint32_t timeout_ms,
		     uint64_t now_ms)
{
	struct pool_order *order = talloc_zero(worker, struct pool_order);

	order->worker = worker;
	order->number = number;
	order->fence = pool_fence_of(pool, worker);
	order->sent_ms = now_ms;
	order->due_ms = now_ms + timeout_ms + ANSWER_SLACK_MS;
	order->grants = grants;
	TAILQ_INSERT_TAIL(&worker->orders, order, entry);
	HASH_ADD(hh, pool->orders, number, sizeof(order->number), order);
}

/* The oldest order that may grant a lease; NULL if there is none. */
static const struct pool_order *find_grant(const struct pool_worker *worker)
{
	const struct pool_order *order;

	TAILQ_FOREACH(order, &worker->orders, entry)
		if (order->grants)
			return order;
	return NULL;
}

/* Later orders have a higher token than this one, which has no answer. */
static void give_up_order(struct lease_pool *pool, struct pool_order *order,
			  uint64_t now_ms)
{
	struct pool_worker *worker = order->worker;
	const struct pool_order *oldest;

	if (!order->grants) {
		free_order(pool, order);
		return;
	}
	oldest = find_grant(worker);
	if (order->sent_ms > worker->lost_order_ms)
		worker->lost_order_ms = order->sent_ms;
	order->is_lost = true;
	worker->lost_orders++;
#ifdef BREAK_ORDER_TOKEN
	return;
#endif
	if (order->fence == pool_fence_of(pool, worker))
		pool_raise_fence(pool, worker);
	log_info(LOG_TARGET,
		 "worker %s: no answer to order %" PRIu64 " after %" PRIu64
		 " ms; later orders have token %" PRIu64
		 "; %u orders may be carried out late, the oldest one "
		 "sent %" PRIu64 " ms ago",
		 worker->id, order->number, now_ms - order->sent_ms,
		 pool_fence_of(pool, worker), worker->lost_orders,
		 now_ms - oldest->sent_ms);
}

/*
 * Orders with a lower token than one that the worker has carried out are void.
 * One of them may have been carried out just before.
 */
static void drop_void_orders(struct lease_pool *pool,
			     struct pool_worker *worker, uint64_t fence,
			     uint64_t now_ms)
{
	struct pool_order *order = TAILQ_FIRST(&worker->orders);
	struct pool_order *next;

	for (; order; order = next) {
		next = TAILQ_NEXT(order, entry);
		if (order->fence >= fence)
			continue;
		if (order->grants &&
		    now_ms - order->sent_ms >= EARLIEST_LATE_MS &&
		    worker->lease_until_ms < pool_lapse_ms(pool, now_ms))
			worker->lease_until_ms = pool_lapse_ms(pool, now_ms);
		free_order(pool, order);
	}
}

void pool_settle_order(struct lease_pool *pool, uint64_t number,
		       const struct pool_reply *reply, uint64_t now_ms)
{
	struct pool_worker *worker;
	struct pool_order *order;
	uint64_t fence;
	bool is_former;

	HASH_FIND(hh, pool->orders, &number, sizeof(number), order);
	if (!order || order->is_lost)
		return;
	if (pool_may_be_late(reply->answer)) {
		give_up_order(pool, order, now_ms);
		return;
	}
	worker = order->worker;
	fence = order->fence;
	free_order(pool, order);
	is_former = reply->born_ms && reply->born_ms < worker->born_ms;
	if (reply->answer == POOL_OK && !is_former)
		drop_void_orders(pool, worker, fence, now_ms);
}

void pool_expire_orders(struct lease_pool *pool, struct pool_worker *worker,
			uint64_t now_ms)
{
	struct pool_order *order = TAILQ_FIRST(&worker->orders);
	struct pool_order *next;

	for (; order; order = next) {
		next = TAILQ_NEXT(order, entry);
		if (now_ms - order->sent_ms >= POOL_LATEST_ORDER_MS)
			free_order(pool, order);
		else if (order->due_ms <= now_ms && !order->is_lost)
			give_up_order(pool, order, now_ms);
	}
}

void pool_forget_orders(struct lease_pool *pool, struct pool_worker *worker)
{
	while (!TAILQ_EMPTY(&worker->orders))
		free_order(pool, TAILQ_FIRST(&worker->orders));
}

uint64_t pool_late_over_ms(const struct lease_pool *pool, uint64_t sent_ms)
{
	return pool_lapse_ms(pool,
			     sent_ms + EARLIEST_LATE_MS + POOL_LATEST_ORDER_MS);
}

uint64_t pool_late_begin_ms(const struct lease_pool *pool, uint64_t over_ms)
{
	return over_ms - pool_lapse_ms(pool, EARLIEST_LATE_MS);
}

uint64_t pool_grant_limit_ms(const struct pool_worker *worker)
{
	const struct pool_order *oldest = find_grant(worker);

#ifdef BREAK_GRANT_LIMIT
	return UINT64_MAX;
#endif
	return oldest ? oldest->sent_ms + EARLIEST_LATE_MS : UINT64_MAX;
}

bool pool_may_grant(const struct pool_worker *worker, uint64_t now_ms)
{
	uint64_t limit_ms = pool_grant_limit_ms(worker);

	return limit_ms == UINT64_MAX || limit_ms > now_ms + MIN_START_LEASE_MS;
}
