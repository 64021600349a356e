#include "ctl/load_bound.h"

#include <stdlib.h>
#include <string.h>

#include "base/heap.h"

#define US_PER_MS 1000.0

/* A worker slot in the replay, busy or idle. */
struct slot {
	struct heap_node node; /* key: end in us if busy, rank if idle */
	double speed;
	size_t rank; /* 0 is the fastest */
	struct replayed_job *job;
};

struct replayed_job {
	struct heap_node node; /* key: remaining work in us */
	struct trace_job *job;
	float *run_ms; /* longest first */
	uint32_t next;
	uint32_t ended;
	double remaining_ms;
};

struct replay {
	struct heap *busy;
	struct heap *idle;
	struct heap *waiting;
};

static int compare_floats_descending(const void *a, const void *b)
{
	float x = *(const float *)a, y = *(const float *)b;

	return (x < y) - (x > y);
}

static int compare_doubles_descending(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x < y) - (x > y);
}

struct bound_slots *bound_slots_create(TALLOC_CTX *mem,
				       const struct trace_workers *w)
{
	struct bound_slots *slots = talloc_zero(mem, struct bound_slots);

	slots->count = (size_t)w->count * w->slots;
	slots->speeds = talloc_array(slots, double, (unsigned)slots->count);
	for (uint32_t i = 0; i < w->count; i++)
		for (uint32_t s = 0; s < w->slots; s++)
			slots->speeds[i * w->slots + s] =
				w->count < 2 ? 1
					     : 1 / (1 + (w->slowest - 1) * i /
								(w->count - 1));
	qsort(slots->speeds, slots->count, sizeof(double),
	      compare_doubles_descending);
	return slots;
}

static float *sorted_times(TALLOC_CTX *mem, const float *run_ms, uint32_t tasks)
{
	float *sorted = talloc_memdup(mem, run_ms, tasks * sizeof(float));

	qsort(sorted, tasks, sizeof(float), compare_floats_descending);
	return sorted;
}

double bound_ideal_ms(const struct bound_slots *slots, const float *run_ms,
		      uint32_t tasks)
{
	size_t used = slots->count < tasks ? slots->count : tasks;
	TALLOC_CTX *mem = talloc_new(NULL);
	float *sorted = sorted_times(mem, run_ms, tasks);
	double *ends = talloc_zero_array(mem, double, (unsigned)used);
	double last = 0;

	for (uint32_t t = 0; t < tasks; t++) {
		size_t best = 0;

		for (size_t s = 1; s < used; s++)
			if (ends[s] + sorted[t] / slots->speeds[s] <
			    ends[best] + sorted[t] / slots->speeds[best])
				best = s;
		ends[best] += sorted[t] / slots->speeds[best];
		if (ends[best] > last)
			last = ends[best];
	}
	talloc_free(mem);
	return last;
}

static void start_waiting_tasks(struct replay *r, double now_us)
{
	struct heap_node *idle_node, *job_node;

	while ((idle_node = heap_first(r->idle)) &&
	       (job_node = heap_first(r->waiting))) {
		struct slot *slot = HEAP_ENTRY(idle_node, struct slot, node);
		struct replayed_job *j =
			HEAP_ENTRY(job_node, struct replayed_job, node);
		double run_us = j->run_ms[j->next] * US_PER_MS / slot->speed;

		heap_remove(r->idle, &slot->node);
		slot->job = j;
		j->remaining_ms -= j->run_ms[j->next++];
		if (j->next == j->job->tasks)
			heap_remove(r->waiting, &j->node);
		else
			heap_move(r->waiting, &j->node,
				  (uint64_t)(j->remaining_ms * US_PER_MS));
		heap_add(r->busy, &slot->node, (uint64_t)(now_us + run_us));
	}
}

/* Ends all tasks due by until_us and starts waiting ones. */
static void advance_to(struct replay *r, double until_us)
{
	struct heap_node *node;

	while ((node = heap_first(r->busy)) && (double)node->key <= until_us) {
		struct slot *slot = HEAP_ENTRY(node, struct slot, node);
		struct replayed_job *j = slot->job;
		uint64_t now_us = node->key;

		heap_remove(r->busy, node);
		heap_add(r->idle, node, slot->rank);
		if (++j->ended == j->job->tasks)
			j->job->bound_ms =
				(double)(now_us - j->job->at_us) / US_PER_MS;
		/* Free all slots due now before the fastest is picked. */
		node = heap_first(r->busy);
		if (!node || node->key > now_us)
			start_waiting_tasks(r, (double)now_us);
	}
}

static void add_job(struct replay *r, TALLOC_CTX *mem, struct trace_job *job)
{
	struct replayed_job *j = talloc_zero(mem, struct replayed_job);

	j->job = job;
	j->run_ms = sorted_times(j, job->run_ms, job->tasks);
	for (uint32_t i = 0; i < job->tasks; i++)
		j->remaining_ms += job->run_ms[i];
	heap_add(r->waiting, &j->node, (uint64_t)(j->remaining_ms * US_PER_MS));
	start_waiting_tasks(r, (double)job->at_us);
}

void bound_replay(struct trace *trace, const struct trace_options *o,
		  const struct trace_workers *workers)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct bound_slots *slots = bound_slots_create(mem, workers);
	struct slot *all =
		talloc_zero_array(mem, struct slot, (unsigned)slots->count);
	struct replay r = { heap_create(mem), heap_create(mem),
			    heap_create(mem) };

	for (size_t i = 0; i < slots->count; i++) {
		all[i].speed = slots->speeds[i];
		all[i].rank = i;
		heap_add(r.idle, &all[i].node, i);
	}
	for (size_t i = 0; i < trace->count; i++) {
		struct trace_job *job = &trace->jobs[i];

		if (job->never_fits ||
		    strcmp(o->targets[job->target].data_centre,
			   workers->data_centre))
			continue;
		job->ideal_ms = bound_ideal_ms(slots, job->run_ms, job->tasks);
		advance_to(&r, (double)job->at_us);
		add_job(&r, mem, job);
	}
	advance_to(&r, 1e18); /* us; later than the end of any task */
	talloc_free(mem);
}
