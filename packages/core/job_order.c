#include "core/job_order.h"

#include <string.h>
#include "base/hash_table.h"

/*
 * Waiting for AGING_DIVISOR ms makes up for 1 ms of remaining work, so that
 * smaller jobs overtake a large one for a limited time only. As all jobs age
 * at the same rate, a job's key changes only with its pending tasks.
 */
#define AGING_DIVISOR 16
#define DEFAULT_TASK_INTERVAL_US 1000 /* before the first observed run */

struct team {
	UT_hash_handle hh;
	TAILQ_ENTRY(team) in_round;
	char *name;
	uint32_t weight;
	uint32_t deficit; /* tasks it may still start in this round */
	struct heap *jobs;
};

struct job_order_queue {
	const struct job_order_ops *ops;
	struct team *teams;
	TAILQ_HEAD(, team) round; /* teams with waiting jobs */
	uint64_t task_interval_us; /* of the last job_order_add */
};

static uint64_t key_fifo(const struct job *job, uint64_t task_interval_us)
{
	(void)task_interval_us;
	return job->arrived_ms;
}

static uint64_t key_least_remaining(const struct job *job,
				    uint64_t task_interval_us)
{
	return job->pending * (task_interval_us ? task_interval_us
						: DEFAULT_TASK_INTERVAL_US) +
	       job->arrived_ms * 1000 / AGING_DIVISOR;
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

/* uthash does not allocate its tables with talloc. */
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
	TAILQ_INIT(&queue->round);
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
		   uint64_t task_interval_us)
{
	struct team *team = find_team(queue, job->request->team);

	queue->task_interval_us = task_interval_us;
	if (job->in_team.index)
		return;
	if (!heap_count(team->jobs)) {
		team->deficit = 0;
		TAILQ_INSERT_TAIL(&queue->round, team, in_round);
	}
	heap_add(team->jobs, &job->in_team,
		 queue->ops->key(job, task_interval_us));
}

void job_order_remove(struct job_order_queue *queue, struct job *job)
{
	struct team *team;

	if (!job->in_team.index)
		return;
	team = find_team(queue, job->request->team);
	heap_remove(team->jobs, &job->in_team);
	if (!heap_count(team->jobs))
		TAILQ_REMOVE(&queue->round, team, in_round);
}

struct job *job_order_next(struct job_order_queue *queue)
{
	struct team *team = TAILQ_FIRST(&queue->round);

	if (!team)
		return NULL;
	if (!team->deficit)
		team->deficit = team->weight;
	return HEAP_ENTRY(heap_first(team->jobs), struct job, in_team);
}

void job_order_charge(struct job_order_queue *queue, struct job *job)
{
	struct team *team = find_team(queue, job->request->team);

	if (job->in_team.index)
		heap_move(team->jobs, &job->in_team,
			  queue->ops->key(job, queue->task_interval_us));
	if (team->deficit)
		team->deficit--;
	if (team->deficit || !heap_count(team->jobs))
		return;
	TAILQ_REMOVE(&queue->round, team, in_round);
	TAILQ_INSERT_TAIL(&queue->round, team, in_round);
}
