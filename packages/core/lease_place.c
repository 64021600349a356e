#include "core/lease_place.h"

#include <string.h>

static bool has_label(const struct pool_worker *worker, const char *label)
{
	for (char **l = worker->labels; l && *l; l++)
		if (!strcmp(*l, label))
			return true;
	return false;
}

static double effective_speed(const struct place_request *request,
			      const struct pool_slot *slot)
{
	const char *rack = request->step->rack;

	if (rack && request->far_factor > 1 && !has_label(slot->worker, rack))
		return slot->speed / request->far_factor;
	return slot->speed;
}

static uint64_t expected_ms(const struct place_request *request,
			    const struct pool_slot *slot)
{
	return (uint64_t)(request->step->estimate_ms /
			  effective_speed(request, slot));
}

static bool is_faster(const struct place_request *request,
		      const struct pool_slot *a, const struct pool_slot *b)
{
	double speed_a = effective_speed(request, a);
	double speed_b = effective_speed(request, b);

	if (speed_a != speed_b)
		return speed_a > speed_b;
	return a->spare_milli < b->spare_milli;
}

static bool fits_tighter(const struct place_request *request,
			 const struct pool_slot *a, const struct pool_slot *b)
{
	(void)request;
	return a->spare_milli < b->spare_milli;
}

static bool keep_first(const struct place_request *request,
		       const struct pool_slot *a, const struct pool_slot *b)
{
	(void)request;
	(void)a;
	(void)b;
	return false;
}

static const struct place_ops policies[] = {
	{ "fastest", is_faster, true },
	{ "best_fit", fits_tighter, false },
	{ "first", keep_first, false },
};

const struct place_ops *place_find(const char *name)
{
	for (size_t i = 0; i < sizeof(policies) / sizeof(policies[0]); i++)
		if (!strcmp(policies[i].name, name))
			return &policies[i];
	return NULL;
}

static bool is_allowed(const struct place_request *request,
		       const struct pool_slot *slot)
{
	const struct pool_worker *worker = slot->worker;
	const struct job_step *step = request->step;

	if (!pool_is_usable(worker, request->now_ms) || worker->is_reserved ||
	    !pool_fits(worker, &step->demand) ||
	    strcmp(worker->service, request->service))
		return false;
	if (step->label && !has_label(worker, step->label))
		return false;
	if (expected_ms(request, slot) > request->limit_ms)
		return false;
	return !step->max_per_worker ||
	       request->count(request->ctx, worker) < step->max_per_worker;
}

struct pool_worker *place_pick(const struct place_ops *ops,
			       const struct lease_pool *pool,
			       const struct place_request *request)
{
	uint32_t demand_milli = request->step->demand.cpu_milli;
	const struct pool_slot *avoided = NULL;
	const struct pool_slot *best = NULL;
	double min_speed = 0;
	const struct pool_slot *slots;
	size_t count;

	slots = pool_slots(pool, &count);
	for (size_t i = 0; i < count; i++) {
		const struct pool_slot *slot = &slots[i];

		/* Decides for most workers without touching them. */
		if (slot->spare_milli < demand_milli || slot->speed < min_speed)
			continue;
		if ((best && !ops->is_better(request, slot, best)) ||
		    !is_allowed(request, slot))
			continue;
		if (request->avoid &&
		    !strcmp(request->avoid, slot->worker->id)) {
			avoided = slot;
			continue;
		}
		best = slot;
		if (ops->by_speed)
			min_speed = effective_speed(request, best);
	}
	if (!best)
		best = avoided;
	return best ? best->worker : NULL;
}

static bool is_within(const struct step_job_demand *demand,
		      const struct step_job_demand *capacity)
{
	return demand->cpu_milli <= capacity->cpu_milli &&
	       demand->mem_mb <= capacity->mem_mb &&
	       demand->accelerators <= capacity->accelerators;
}

bool place_suits_empty(const struct place_request *request,
		       const struct pool_slot *slot)
{
	const struct pool_worker *worker = slot->worker;
	const struct job_step *step = request->step;

	return is_within(&step->demand, &worker->capacity) &&
	       !strcmp(worker->service, request->service) &&
	       (!step->label || has_label(worker, step->label)) &&
	       expected_ms(request, slot) <= request->limit_ms;
}

bool place_may_ever_fit(const struct pool_worker_list *workers,
			const char *service, const struct job_step *step)
{
	const struct pool_worker *worker;

	TAILQ_FOREACH(worker, workers, entry) {
		if (worker->registered && !strcmp(worker->service, service) &&
		    is_within(&step->demand, &worker->capacity) &&
		    (!step->label || has_label(worker, step->label)))
			return true;
	}
	return false;
}
