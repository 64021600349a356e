#include "core/placement.h"

#include <string.h>

#define MEAN_WEIGHT 8 /* a new run time has the weight 1/8 */
#define SET_MEAN_WEIGHT 32 /* the same for the set's mean */
#define FIRST_BLOCK_MS 50 /* after a refusal */
#define MAX_BLOCK_MS 2000
#define MAX_DOUBLINGS 6
/* A breaker opens only above this multiple of the others' failure rate. */
#define FAILURE_RATE_FACTOR 2
#define RELEASED_KEY (1ull << 63) /* sorts after all other workers */

/* The set */

void placement_set_init(struct placement_set *set, TALLOC_CTX *mem)
{
	TAILQ_INIT(&set->workers);
	set->idle = heap_create(mem);
	set->blocked = heap_create(mem);
}

void placement_set_clear(struct placement_set *set)
{
	HASH_CLEAR(hh, set->by_name);
}

void placement_set_add(struct placement_set *set,
		       struct placement_worker *worker)
{
	worker->set = set;
	TAILQ_INSERT_TAIL(&set->workers, worker, in_set);
	HASH_ADD_KEYPTR(hh, set->by_name, worker->name, strlen(worker->name),
			worker);
	set->count++;
}

struct placement_worker *placement_set_find(const struct placement_set *set,
					    const char *name)
{
	struct placement_worker *found;

	HASH_FIND_STR(set->by_name, name, found);
	return found;
}

static void remove_from_heap(struct placement_worker *worker)
{
	struct placement_set *set = worker->set;

	heap_remove(worker->is_idle ? set->idle : set->blocked, &worker->node);
	set->usable_slots -= worker->counted_slots;
	set->own_slots -= worker->counted_own_slots;
	worker->counted_slots = 0;
	worker->counted_own_slots = 0;
	worker->is_idle = false;
}

void placement_set_remove(struct placement_worker *worker)
{
	remove_from_heap(worker);
	TAILQ_REMOVE(&worker->set->workers, worker, in_set);
	HASH_DEL(worker->set->by_name, worker);
	worker->set->count--;
}

bool placement_is_usable(const struct placement_worker *worker,
			 const struct placement_context *context)
{
	return !worker->leaving &&
	       worker->blocked_until_ms <= context->now_ms &&
	       (!context->breakers ||
		breaker_allows(&worker->breaker, context->now_ms));
}

static bool has_idle_slot(const struct placement_worker *worker)
{
	return worker->running + worker->foreign_tasks < worker->slots;
}

/*
 * Sorts by observed run time, then by the number of running tasks. A worker
 * without an observed run time comes first, so that one is observed. Each
 * failure since its last success doubles a worker's key, as failing fast would
 * attract tasks otherwise.
 */
static uint64_t idle_key(const struct placement_worker *worker)
{
	uint64_t mean_us = worker->mean_us;

	if (worker->breaker.failures)
		mean_us = (mean_us ? mean_us : worker->set->mean_us + 1)
			  << (worker->breaker.failures < MAX_DOUBLINGS
				      ? worker->breaker.failures
				      : MAX_DOUBLINGS);
	return mean_us * (UINT16_MAX + 1ull) + worker->running +
	       (worker->released ? RELEASED_KEY : 0);
}

static uint64_t usable_from_ms(const struct placement_worker *worker,
			       const struct placement_context *context)
{
	uint64_t from_ms = worker->blocked_until_ms;

	if (context->breakers && worker->breaker.state == BREAKER_OPEN &&
	    worker->breaker.retry_at_ms > from_ms)
		from_ms = worker->breaker.retry_at_ms;
	return from_ms;
}

void placement_refresh(struct placement_worker *worker,
		       const struct placement_context *context)
{
	struct placement_set *set = worker->set;

	remove_from_heap(worker);
	if (placement_is_usable(worker, context)) {
		worker->counted_slots = worker->slots;
		worker->counted_own_slots =
			worker->released ? 0 : worker->slots;
		set->usable_slots += worker->counted_slots;
		set->own_slots += worker->counted_own_slots;
		worker->is_idle = has_idle_slot(worker);
		if (worker->is_idle)
			heap_add(set->idle, &worker->node, idle_key(worker));
	} else if (!worker->leaving &&
		   usable_from_ms(worker, context) > context->now_ms) {
		heap_add(set->blocked, &worker->node,
			 usable_from_ms(worker, context));
	}
}

void placement_refresh_due(struct placement_set *set,
			   const struct placement_context *context)
{
	struct heap_node *node;

	while ((node = heap_first(set->blocked)) &&
	       node->key <= context->now_ms)
		placement_refresh(
			HEAP_ENTRY(node, struct placement_worker, node),
			context);
}

uint32_t placement_slots(const struct placement_set *set)
{
	return set->own_slots ? set->own_slots : set->usable_slots;
}

uint32_t placement_idle_slots(const struct placement_set *set,
			      const struct placement_context *context)
{
	struct placement_worker *w;
	uint32_t idle = 0;

	TAILQ_FOREACH(w, &set->workers, in_set)
		if (!w->released && placement_is_usable(w, context) &&
		    has_idle_slot(w))
			idle += w->slots - w->running - w->foreign_tasks;
	return idle;
}

/* Observations */

static uint64_t decay(uint64_t mean, uint64_t value, uint64_t weight)
{
	if (!mean)
		return value ? value : 1;
	return (mean * (weight - 1) + value) / weight;
}

void placement_observe(struct placement_worker *worker, uint64_t run_us)
{
	struct placement_set *set = worker->set;

	worker->mean_us = decay(worker->mean_us, run_us, MEAN_WEIGHT);
	set->mean_us = decay(set->mean_us, run_us, SET_MEAN_WEIGHT);
	worker->refusals = 0;
}

void placement_refused(struct placement_worker *worker,
		       const struct placement_context *context)
{
	uint32_t doublings = worker->refusals < MAX_DOUBLINGS ? worker->refusals
							      : MAX_DOUBLINGS;
	uint64_t block_ms = FIRST_BLOCK_MS << doublings;

	worker->refusals++;
	if (block_ms > MAX_BLOCK_MS)
		block_ms = MAX_BLOCK_MS;
	/* Jitter over half of it, so that retries do not coincide. */
	block_ms =
		block_ms / 2 + random_below(context->random, block_ms / 2 + 1);
	worker->blocked_until_ms = context->now_ms + block_ms;
}

bool placement_may_open(const struct placement_worker *worker,
			uint32_t open_percent)
{
	const struct placement_set *set = worker->set;
	const struct placement_worker *w;
	uint64_t others_milli = 0;
	uint32_t open = 0;

	TAILQ_FOREACH(w, &set->workers, in_set) {
		open += w->breaker.state != BREAKER_CLOSED;
		if (w != worker)
			others_milli += w->breaker.rate_milli;
	}
	if ((open + 1) * 100 > set->count * open_percent)
		return false;
	return worker->breaker.rate_milli * (uint64_t)(set->count - 1) >
	       FAILURE_RATE_FACTOR * others_milli;
}

/* Policies */

static struct placement_worker *
pick_idle(struct placement_set *set, const struct placement_context *context)
{
	struct heap_node *node = heap_first(set->idle);

	(void)context;
	if (!node || (node->key >= RELEASED_KEY && set->own_slots))
		return NULL;
	return HEAP_ENTRY(node, struct placement_worker, node);
}

static struct placement_worker *
nth_usable(struct placement_set *set, uint64_t n,
	   const struct placement_context *context)
{
	struct placement_worker *w;

	TAILQ_FOREACH(w, &set->workers, in_set)
		if (placement_is_usable(w, context) && !n--)
			return w;
	return NULL;
}

static uint64_t count_usable(struct placement_set *set,
			     const struct placement_context *context)
{
	struct placement_worker *w;
	uint64_t count = 0;

	TAILQ_FOREACH(w, &set->workers, in_set)
		count += placement_is_usable(w, context);
	return count;
}

static struct placement_worker *
pick_random(struct placement_set *set, const struct placement_context *context)
{
	uint64_t count = count_usable(set, context);

	return nth_usable(set, random_below(context->random, count), context);
}

static struct placement_worker *
pick_two_choices(struct placement_set *set,
		 const struct placement_context *context)
{
	struct placement_worker *a = pick_random(set, context);
	struct placement_worker *b = pick_random(set, context);

	if (!a || !b)
		return a ? a : b;
	/* Load per slot, compared without division. */
	return (uint64_t)a->running * b->slots <=
			       (uint64_t)b->running * a->slots
		       ? a
		       : b;
}

static const struct placement_ops policies[] = {
	{ "random", true, true, pick_random },
	{ "two_choices", true, true, pick_two_choices },
	{ "partition", false, true, pick_idle },
	{ "dispatcher", false, false, pick_idle },
};

const struct placement_ops *placement_find(const char *name)
{
	for (size_t i = 0; i < sizeof(policies) / sizeof(policies[0]); i++)
		if (!strcmp(policies[i].name, name))
			return &policies[i];
	return NULL;
}

size_t placement_rendezvous(const char *key, const uint64_t *incarnations,
			    size_t count)
{
	size_t best = 0;
	uint64_t highest = 0;

	for (size_t i = 0; i < count; i++) {
		uint64_t score =
			XXH3_64bits_withSeed(key, strlen(key), incarnations[i]);

		if (i && score <= highest)
			continue;
		highest = score;
		best = i;
	}
	return best;
}
