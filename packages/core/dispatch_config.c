#include "core/dispatch.h"

#include <string.h>

#include "core/dispatch_state.h"

/*
 * A released worker is kept this long, as jobs under ids that were issued
 * before the role moved still arrive.
 */
#define RELEASED_KEEP_MS 10000
#define USAGE_PERIOD_MS 500 /* between requests to uncertain workers */

struct dispatch_service *dispatch_find_service(struct dispatch *dispatch,
					       const char *name)
{
	struct dispatch_service *s;

	HASH_FIND_STR(dispatch->services, name, s);
	return s;
}

static struct dispatch_service *add_service(struct dispatch *dispatch,
					    const char *name)
{
	struct dispatch_service *s =
		talloc_zero(dispatch, struct dispatch_service);

	s->name = talloc_strdup(s, name);
	placement_set_init(&s->set, s);
	s->queue = job_order_create(s, dispatch->options.order);
	HASH_ADD_KEYPTR(hh, dispatch->services, s->name, strlen(s->name), s);
	return s;
}

static struct placement_worker *add_worker(struct dispatch_service *s,
					   const char *name)
{
	struct placement_worker *w = talloc_zero(s, struct placement_worker);

	w->name = talloc_strdup(w, name);
	placement_set_add(&s->set, w);
	return w;
}

static void configure_worker(struct dispatch *dispatch,
			     struct dispatch_service *s,
			     const struct config_worker *config, bool drained,
			     uint64_t now_ms)
{
	struct placement_context context =
		dispatch_placement_context(dispatch, now_ms);
	struct placement_worker *w = placement_set_find(&s->set, config->name);

	if (!w)
		w = add_worker(s, config->name);
	if (!w->address || strcmp(w->address, config->address)) {
		talloc_free(w->address);
		w->address = talloc_strdup(w, config->address);
	}
	/* Tasks of a former dispatcher may still run on the worker. */
	w->usage_uncertain |= !w->slots || w->released;
	w->slots = config->slots;
	w->leaving = drained;
	w->present = true;
	w->released = false;
	placement_refresh(w, &context);
}

/*
 * The worker is assigned to another dispatcher now. It may still run the jobs
 * that were admitted here.
 */
static void release_worker(struct dispatch *dispatch,
			   struct dispatch_service *s,
			   const struct config_worker *config, bool drained,
			   uint64_t now_ms)
{
	struct placement_context context =
		dispatch_placement_context(dispatch, now_ms);
	struct placement_worker *w = placement_set_find(&s->set, config->name);

	if (!w)
		return;
#ifndef BREAK_RELEASED_SLOTS
	w->slots = config->slots;
#endif
	w->leaving = drained;
	w->present = true;
	placement_refresh(w, &context);
	if (w->released)
		return;
	w->released = true;
	w->reported_running = 0;
	w->released_ms = now_ms;
}

static void remove_absent_workers(struct dispatch_service *s,
				  const struct placement_context *context)
{
	struct placement_worker *w, *next;

	for (w = TAILQ_FIRST(&s->set.workers); w; w = next) {
		next = TAILQ_NEXT(w, in_set);
		if (w->present)
			continue;
		w->leaving = true;
		placement_refresh(w, context);
		if (w->running)
			continue; /* freed with its last result */
		placement_set_remove(w);
		talloc_free(w);
	}
}

static void mark_all_absent(struct dispatch *dispatch)
{
	struct dispatch_service *s, *next;
	struct placement_worker *w;

	HASH_ITER(hh, dispatch->services, s, next) {
		s->present = false;
		TAILQ_FOREACH(w, &s->set.workers, in_set)
			w->present = false;
	}
}

static void configure_service(struct dispatch *dispatch,
			      const struct config_service *config,
			      const struct config_document *doc)
{
	struct dispatch_service *s =
		dispatch_find_service(dispatch, config->name);

	if (!s)
		s = add_service(dispatch, config->name);
	s->present = true;
	s->deadline_ms = config->deadline_ms;
	s->max_tasks = config->max_tasks;
	for (size_t i = 0; i < doc->team_count; i++)
		job_order_set_weight(s->queue, doc->teams[i].name,
				     doc->teams[i].weight);
}

void dispatch_configure(struct dispatch *dispatch,
			const struct config_document *doc,
			bool (*owns)(void *ctx,
				     const struct config_worker *worker),
			void *ctx, uint64_t now_ms)
{
	struct placement_context context =
		dispatch_placement_context(dispatch, now_ms);
	struct dispatch_service *s, *next;

	mark_all_absent(dispatch);
	for (size_t i = 0; i < doc->service_count; i++)
		configure_service(dispatch, &doc->services[i], doc);
	for (size_t i = 0; i < doc->worker_count; i++) {
		const struct config_worker *w = &doc->workers[i];
		struct dispatch_service *of =
			dispatch_find_service(dispatch, w->service);
		bool drained =
			w->drained || config_is_drained(doc, w->data_centre);

		if (dispatch->options.is_leaving)
			drained |= dispatch->options.is_leaving(
				dispatch->options.ctx, w->name);
		if (owns(ctx, w))
			configure_worker(dispatch, of, w, drained, now_ms);
		else
			release_worker(dispatch, of, w, drained, now_ms);
	}
	HASH_ITER(hh, dispatch->services, s, next)
		remove_absent_workers(s, &context);
	dispatch_tick(dispatch, now_ms);
}

void dispatch_set_leaving(struct dispatch *dispatch, const char *worker,
			  bool leaving, uint64_t now_ms)
{
	struct placement_context context =
		dispatch_placement_context(dispatch, now_ms);
	struct dispatch_service *s, *next;

	HASH_ITER(hh, dispatch->services, s, next) {
		struct placement_worker *w =
			placement_set_find(&s->set, worker);

		if (!w)
			continue;
		w->leaving = leaving;
		placement_refresh(w, &context);
	}
}

/* Removal of workers */

void dispatch_remove_released(struct dispatch *dispatch,
			      struct dispatch_service *s, uint64_t now_ms)
{
	struct placement_context context =
		dispatch_placement_context(dispatch, now_ms);
	struct placement_worker *w;

	if (s->backlog_tasks)
		return;
	TAILQ_FOREACH(w, &s->set.workers, in_set)
		if (w->released && w->released_ms + RELEASED_KEEP_MS <= now_ms)
			w->present = false;
	remove_absent_workers(s, &context);
}

/*
 * The worker reports fewer tasks than were counted, so tasks of unknown fate
 * have ended. If a start has not reached the worker yet, its task is missing
 * from the report and a slot is released too early; the worker then refuses a
 * task.
 */
static void release_ended(struct dispatch *dispatch, struct placement_worker *w,
			  uint32_t ended, uint64_t now_ms)
{
	struct attempt *a, *next;

	HASH_ITER(hh, dispatch->attempts, a, next) {
		if (!ended)
			return;
		if (a->worker != w || !a->by_lease.index)
			continue;
		ended--;
		dispatch_release(dispatch, a, now_ms);
	}
}

void dispatch_usage(struct dispatch *dispatch, const struct port_usage *usage,
		    uint64_t now_ms)
{
	struct placement_context context =
		dispatch_placement_context(dispatch, now_ms);
	struct dispatch_service *s, *next;

	HASH_ITER(hh, dispatch->services, s, next) {
		struct placement_worker *w =
			placement_set_find(&s->set, usage->worker);

		if (!w)
			continue;
		w->leaving |= usage->leaving;
		w->foreign_tasks = usage->running > w->running
					   ? usage->running - w->running
					   : 0;
		placement_refresh(w, &context);
		if (usage->running < w->running)
			release_ended(dispatch, w, w->running - usage->running,
				      now_ms);
		dispatch_start_tasks(dispatch, s, now_ms);
	}
}

void dispatch_set_foreign_tasks(struct dispatch *dispatch, const char *worker,
				uint32_t running, uint64_t now_ms)
{
	struct placement_context context =
		dispatch_placement_context(dispatch, now_ms);
	struct dispatch_service *s, *next;

	HASH_ITER(hh, dispatch->services, s, next) {
		struct placement_worker *w =
			placement_set_find(&s->set, worker);

		if (!w || w->released)
			continue;
		w->foreign_tasks = running;
		placement_refresh(w, &context);
		dispatch_start_tasks(dispatch, s, now_ms);
	}
}

uint64_t dispatch_answered_ms(const struct dispatch *dispatch,
			      const struct config_worker *worker)
{
	struct dispatch_service *s;
	struct placement_worker *w;

	HASH_FIND_STR(dispatch->services, worker->service, s);
	w = s ? placement_set_find(&s->set, worker->name) : NULL;
	return w ? w->answered_ms : 0;
}

static void request_usage(const struct dispatch *dispatch,
			  const struct placement_worker *w)
{
	const struct ports *ports = dispatch->options.ports;

	if (ports->query_usage)
		ports->query_usage(ports->ctx, w->name, w->address);
}

static void request_uncertain_usage(struct dispatch *dispatch,
				    struct dispatch_service *s)
{
	struct placement_worker *w;

	TAILQ_FOREACH(w, &s->set.workers, in_set) {
		if (!w->foreign_tasks && !w->usage_uncertain)
			continue;
		w->usage_uncertain = false;
		request_usage(dispatch, w);
	}
}

void dispatch_request_usage(struct dispatch *dispatch, uint64_t now_ms)
{
	struct dispatch_service *s, *next;
	struct attempt *a, *after;

	dispatch->request_usage_at_ms = now_ms + USAGE_PERIOD_MS;
	if (heap_first(dispatch->unknown))
		HASH_ITER(hh, dispatch->attempts, a, after)
			a->worker->usage_uncertain |= a->by_lease.index != 0;
	HASH_ITER(hh, dispatch->services, s, next)
		request_uncertain_usage(dispatch, s);
}

/* The slots this instance advertises: released workers are left out. */
static uint32_t own_slots(const struct placement_set *set,
			  const struct placement_context *context)
{
	const struct placement_worker *w;
	uint32_t slots = 0;

	TAILQ_FOREACH(w, &set->workers, in_set)
		if (!w->released && placement_is_usable(w, context))
			slots += w->slots;
	return slots;
}

struct dispatch_load dispatch_load(struct dispatch *dispatch, uint64_t now_ms)
{
	struct placement_context context =
		dispatch_placement_context(dispatch, now_ms);
	struct dispatch_load load = { 0 };
	struct dispatch_service *s, *next;

	HASH_ITER(hh, dispatch->services, s, next) {
		load.slots += own_slots(&s->set, &context);
		load.idle_slots += placement_idle_slots(&s->set, &context);
	}
	load.backlog_tasks = (uint32_t)dispatch->backlog_tasks;
	load.running_tasks = HASH_COUNT(dispatch->attempts);
	load.jobs = (uint32_t)dispatch->jobs;
	return load;
}

void dispatch_each_worker(struct dispatch *dispatch,
			  void (*visit)(void *ctx, const char *service,
					const struct placement_worker *worker),
			  void *ctx)
{
	struct dispatch_service *s, *next;
	struct placement_worker *w;

	HASH_ITER(hh, dispatch->services, s, next)
		TAILQ_FOREACH(w, &s->set.workers, in_set)
			visit(ctx, s->name, w);
}

void dispatch_each_released_worker(struct dispatch *dispatch,
				   bool (*report)(void *ctx, const char *worker,
						  uint32_t running),
				   void *ctx)
{
	struct dispatch_service *s, *next;
	struct placement_worker *w;

	HASH_ITER(hh, dispatch->services, s, next)
		TAILQ_FOREACH(w, &s->set.workers, in_set)
			if (w->released && w->reported_running != w->running &&
			    report(ctx, w->name, w->running))
				w->reported_running = w->running;
}
