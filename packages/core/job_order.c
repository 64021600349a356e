#include "core/job_order.h"

#include <string.h>
#include "base/hash_table.h"

/*
 * A waiting millisecond counts as this part of a remaining one, so that a wide
 * job is overtaken for a bounded time only. Since all jobs age alike, a job's
 * key changes with its tasks alone.
 */
#define AGING_PART 16
#define UNSEEN_DRAIN_US 1000 /* of a service without an observed run */

struct team {
	UT_hash_handle hh;
	TAILQ_ENTRY(team) in_turn;
	char *name;
	uint32_t weight;
	uint32_t deficit; /* tasks left in this turn */
	struct heap *jobs;
};

struct job_order_queue {
	const struct job_order_ops *ops;
	struct team *teams;
	TAILQ_HEAD(, team) turn; /* teams with waiting jobs */
	uint64_t drain_us; /* as last told */
};

static uint64_t key_fifo(const struct job *job, uint64_t drain_us)
{
	(void)drain_us;
	return job->arrived_ms;
}

static uint64_t key_least_remaining(const struct job *job, uint64_t drain_us)
{
	return job->pending * (drain_us ? drain_us : UNSEEN_DRAIN_US) +
	       job->arrived_ms * 1000 / AGING_PART;
}

static const struct job_order_ops orders[] = {
	{ "fifo", key_fifo },
	{ "least_remaining", key_least_remaining },
};

const struct job_order_ops *job_order_find(const char *name)
{
	for (size_t i = 0; i < sizeof(orders) / sizeof(orders[0]); i++)
		if (!strcmp(orders[i].name, name))
			return &orders[i];
	return NULL;
}

/* uthash's own memory is no child of anything. */
static int destroy(struct job_order_queue *queue)
{
	HASH_CLEAR(hh, queue->teams);
	return 0;
}

struct job_order_queue *job_order_create(TALLOC_CTX *mem,
					 const struct job_order_ops *ops)
{
	struct job_order_queue *queue =
		talloc_zero(mem, struct job_order_queue);

	talloc_set_destructor(queue, destroy);
	queue->ops = ops;
	TAILQ_INIT(&queue->turn);
	return queue;
}

static struct team *find_team(struct job_order_queue *queue, const char *name)
{
	struct team *team;

	HASH_FIND_STR(queue->teams, name, team);
	if (team)
		return team;
	team = talloc_zero(queue, struct team);
	team->name = talloc_strdup(team, name);
	team->weight = 1;
	team->jobs = heap_create(team);
	HASH_ADD_KEYPTR(hh, queue->teams, team->name, strlen(team->name), team);
	return team;
}

void job_order_set_weight(struct job_order_queue *queue, const char *team,
			  uint32_t weight)
{
	find_team(queue, team)->weight = weight ? weight : 1;
}

void job_order_add(struct job_order_queue *queue, struct job *job,
		   uint64_t drain_us)
{
	struct team *team = find_team(queue, job->request->team);

	queue->drain_us = drain_us;
	if (job->in_team.place)
		return;
	if (!heap_count(team->jobs)) {
		team->deficit = 0;
		TAILQ_INSERT_TAIL(&queue->turn, team, in_turn);
	}
	heap_add(team->jobs, &job->in_team, queue->ops->key(job, drain_us));
}

void job_order_remove(struct job_order_queue *queue, struct job *job)
{
	struct team *team;

	if (!job->in_team.place)
		return;
	team = find_team(queue, job->request->team);
	heap_remove(team->jobs, &job->in_team);
	if (!heap_count(team->jobs))
		TAILQ_REMOVE(&queue->turn, team, in_turn);
}

struct job *job_order_next(struct job_order_queue *queue)
{
	struct team *team = TAILQ_FIRST(&queue->turn);

	if (!team)
		return NULL;
	if (!team->deficit)
		team->deficit = team->weight;
	return HEAP_ENTRY(heap_first(team->jobs), struct job, in_team);
}

void job_order_charge(struct job_order_queue *queue, struct job *job)
{
	struct team *team = find_team(queue, job->request->team);

	if (job->in_team.place)
		heap_move(team->jobs, &job->in_team,
			  queue->ops->key(job, queue->drain_us));
	if (team->deficit)
		team->deficit--;
	if (team->deficit || !heap_count(team->jobs))
		return;
	TAILQ_REMOVE(&queue->turn, team, in_turn);
	TAILQ_INSERT_TAIL(&queue->turn, team, in_turn);
}
