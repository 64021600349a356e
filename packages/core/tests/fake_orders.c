#include "fake_orders.h"

#include <stdio.h>
#include <string.h>

static void record_hold(void *ctx, const struct pool_hold_call *call)
{
	struct fake_orders *fake = ctx;
	struct fake_orders_hold *hold =
		&fake->holds[fake->hold_count++ % FAKE_ORDERS_MAX];

	memset(hold, 0, sizeof(*hold));
	snprintf(hold->worker, sizeof(hold->worker), "%s", call->worker);
	hold->serial = call->serial;
	hold->fence = call->fence;
	hold->ends_read = call->ends_read;
	hold->deadline_ms = call->deadline_ms;
	hold->wait_ms = call->wait_ms;
	hold->timeout_ms = call->timeout_ms;
}

static void fill_order(struct fake_orders_order *order, uint64_t token,
		       const char *worker, const char *task, uint32_t number)
{
	order->token = token;
	order->number = number;
	snprintf(order->worker, sizeof(order->worker), "%s", worker);
	snprintf(order->task, sizeof(order->task), "%s", task);
}

static void record_start(void *ctx, const struct pool_start_call *call)
{
	struct fake_orders *fake = ctx;
	struct fake_orders_order *order =
		&fake->starts[fake->start_count++ % FAKE_ORDERS_MAX];

	fill_order(order, call->token, call->worker, call->task, call->number);
	order->deadline_ms = call->deadline_ms;
}

static void record_stop(void *ctx, const struct pool_stop_call *call)
{
	struct fake_orders *fake = ctx;

	fill_order(&fake->stops[fake->stop_count++ % FAKE_ORDERS_MAX],
		   call->token, call->worker, call->task, call->number);
}

static void record_answer(void *ctx, const struct lease_answer *answer)
{
	struct fake_orders *fake = ctx;

	fake->answers[fake->answer_count++ % FAKE_ORDERS_MAX] = *answer;
}

static void record_note(void *ctx, const struct lease_start *note)
{
	const struct open_start *start = &note->row;
	struct fake_orders *fake = ctx;

	fake->open_told_to = note->waiter.entry;
	if (start->over_ms)
		open_starts_add(fake, &fake->open, start, fake->now_ms);
	else if (!start->has_ended)
		open_starts_settle(&fake->open, start);
}

static void record_failed(void *ctx, const struct lease_failures *failures)
{
	struct fake_orders *fake = ctx;

	fake->failed_told++;
	if (fake->failed.attempt != failures->runs.attempt)
		fake->failed.count = 0;
	fake->failed.attempt = failures->runs.attempt;
	for (uint32_t i = 0; i < failures->runs.count; i++)
		failed_runs_add(fake, &fake->failed, &failures->runs.rows[i]);
}

struct fake_orders *fake_orders_create(void)
{
	struct fake_orders *fake = talloc_zero(NULL, struct fake_orders);
	struct lease_options options = {
		.ports = { fake, record_hold, record_start, record_stop },
		.order = lease_find_order("late_last"),
		.place = place_find("fastest"),
		.lease_ms = FAKE_ORDERS_LEASE_MS,
		.stop_ms = FAKE_ORDERS_STOP_MS,
		.far_factor = 1,
		.admission = true,
		.seed = 1,
		.answer = record_answer,
		.failed = record_failed,
		.start_noted = record_note,
		.ctx = fake,
	};

	fake->now_ms = 10000;
	fake->dispatch = lease_create(fake, &options);
	pool_note_list_read(lease_pool(fake->dispatch), fake->now_ms);
	fake->now_ms += POOL_LONGEST_PARTITION_MS;
	return fake;
}

bool fake_orders_report(struct fake_orders *fake,
			const struct fake_orders_report *report)
{
	const char *const labels[] = { report->label ? report->label : "a",
				       NULL };
	struct pool_registration registration = {
		.id = report->id,
		.address = report->address ? report->address : "127.0.0.1:1",
		.service = "s",
		.data_centre = "dc",
		.labels = labels,
		.capacity = { report->milli, 32768, 0 },
		.born_ms = report->born_ms,
		.report = report->number,
		.draining = report->draining,
	};

	return pool_register_worker(lease_pool(fake->dispatch), &registration,
				    fake->now_ms);
}

void fake_orders_add_worker(struct fake_orders *fake, const char *id,
			    uint32_t milli)
{
	struct fake_orders_report report = { .id = id,
					     .born_ms = 1,
					     .milli = milli };

	fake_orders_report(fake, &report);
}

void fake_orders_restart_worker(struct fake_orders *fake, const char *id,
				uint64_t born_ms)
{
	struct fake_orders_restarted *r = fake->restarted;

	while (r->worker[0] && strcmp(r->worker, id) != 0)
		r++;
	snprintf(r->worker, sizeof(r->worker), "%s", id);
	r->born_ms = born_ms;
}

/* Returns the worker's newest hold that has no answer; NULL if none. */
static struct fake_orders_hold *pending_hold(struct fake_orders *fake,
					     const char *worker)
{
	for (size_t i = fake->hold_count; i-- > 0;) {
		struct fake_orders_hold *hold =
			&fake->holds[i % FAKE_ORDERS_MAX];

		if (!hold->answered && !strcmp(hold->worker, worker))
			return hold;
	}
	return NULL;
}

/* Holds that the newest one has replaced end first: their answers arrive. */
static void end_older_holds(struct fake_orders *fake, const char *worker,
			    const struct fake_orders_hold *newest,
			    const struct pool_reply *reply,
			    const struct pool_lists *lists)
{
	for (size_t i = 0; i < FAKE_ORDERS_MAX && i < fake->hold_count; i++) {
		struct fake_orders_hold *hold = &fake->holds[i];

		if (hold->answered || hold->serial >= newest->serial ||
		    strcmp(hold->worker, worker) != 0)
			continue;
		hold->answered = true;
		pool_hold_answered(lease_pool(fake->dispatch), worker,
				   hold->serial, reply, lists, fake->now_ms);
	}
}

void fake_orders_answer_hold(struct fake_orders *fake, const char *worker,
			     const struct pool_listed_run *running, size_t runs,
			     const struct pool_listed_end *ended, size_t ends)
{
	static const struct pool_reply closed = { .answer = POOL_CLOSED };
	struct pool_reply reply = { POOL_OK, fake->now_ms + 5000, 1 };
	struct pool_lists lists = { running, runs, ended, ends };
	struct fake_orders_hold *hold = pending_hold(fake, worker);
	const struct pool_worker *known = pool_find_by_key(
		lease_pool(fake->dispatch), crash_worker_key(worker));

	for (size_t i = 0; i < FAKE_ORDERS_MAX_RESTARTED; i++)
		if (!strcmp(fake->restarted[i].worker, worker))
			reply.born_ms = fake->restarted[i].born_ms;
	if (!hold)
		return;
	end_older_holds(fake, worker, hold,
			known && known->born_ms < reply.born_ms ? &closed
								: &reply,
			&lists);
	hold->answered = true;
	pool_hold_answered(lease_pool(fake->dispatch), worker, hold->serial,
			   &reply, &lists, fake->now_ms);
	lease_run(fake->dispatch, fake->now_ms);
}

void fake_orders_lead(struct fake_orders *fake, uint64_t fence)
{
	const struct pool_worker *worker;

	lease_lead(fake->dispatch, fence, fake->now_ms);
	TAILQ_FOREACH(worker, pool_workers(lease_pool(fake->dispatch)), entry)
		fake_orders_answer_hold(fake, worker->id, NULL, 0, NULL, 0);
}

void fake_orders_fail_hold(struct fake_orders *fake, const char *worker,
			   enum pool_answer answer)
{
	struct pool_reply none = { .answer = answer };
	struct fake_orders_hold *hold = pending_hold(fake, worker);

	if (!hold)
		return;
	end_older_holds(fake, worker, hold, &none, NULL);
	hold->answered = true;
	pool_hold_answered(lease_pool(fake->dispatch), worker, hold->serial,
			   &none, NULL, fake->now_ms);
}

void fake_orders_lose_hold(struct fake_orders *fake, const char *worker)
{
	fake_orders_fail_hold(fake, worker, POOL_NO_ANSWER);
}

void fake_orders_close_hold(struct fake_orders *fake, const char *worker)
{
	fake_orders_fail_hold(fake, worker, POOL_CLOSED);
}

void fake_orders_refuse_hold(struct fake_orders *fake, const char *worker)
{
	fake_orders_fail_hold(fake, worker, POOL_REFUSED);
}

void fake_orders_answer_start(struct fake_orders *fake,
			      const struct fake_orders_order *start,
			      enum pool_answer answer)
{
	struct pool_reply reply = { .answer = answer };

	pool_start_answered(lease_pool(fake->dispatch), start->token, &reply,
			    fake->now_ms);
	lease_run(fake->dispatch, fake->now_ms);
}

void fake_orders_answer_stop(struct fake_orders *fake,
			     const struct fake_orders_order *stop,
			     enum pool_answer answer)
{
	struct pool_reply reply = { .answer = answer };

	pool_stop_answered(lease_pool(fake->dispatch), stop->token, &reply,
			   fake->now_ms);
}

struct lease_submission fake_orders_submission(const char *id, uint32_t tasks)
{
	static struct job_step steps[64];
	static size_t next;
	struct job_step *step = &steps[next++ % 64];
	struct lease_submission submission = {
		.waiter = { 7, next },
		.id = id,
		.queue = "q",
		.service = "s",
		.attempts = 2,
		.objective_ms = 300,
		.remaining_ms = 5000,
		.text = "t",
		.steps = step,
		.step_count = 1,
	};

	memset(step, 0, sizeof(*step));
	step->count = tasks;
	step->demand.cpu_milli = 1000;
	step->demand.mem_mb = 64;
	step->estimate_ms = 100;
	return submission;
}

void fake_orders_submit(struct fake_orders *fake,
			const struct lease_submission *submission)
{
	lease_submit(fake->dispatch, submission, fake->now_ms);
}

void fake_orders_advance(struct fake_orders *fake, uint64_t ms)
{
	for (uint64_t i = 0; i < ms; i += 10) {
		fake->now_ms += 10;
		lease_tick(fake->dispatch, fake->now_ms);
	}
}

static const struct fake_orders_order *
last_order(const struct fake_orders_order *orders, size_t count,
	   const char *task)
{
	while (count-- > 0)
		if (!strcmp(orders[count % FAKE_ORDERS_MAX].task, task))
			return &orders[count % FAKE_ORDERS_MAX];
	return NULL;
}

const struct fake_orders_order *
fake_orders_started(const struct fake_orders *fake, const char *task)
{
	return last_order(fake->starts, fake->start_count, task);
}

const struct fake_orders_order *
fake_orders_stopped(const struct fake_orders *fake, const char *task)
{
	return last_order(fake->stops, fake->stop_count, task);
}
