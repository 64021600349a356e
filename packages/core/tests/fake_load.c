#include "fake_load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash_table.h"
#include "base/random.h"

#define LEASE_MS 1000
#define STOP_MS 50
#define ANSWER_MS 2 /* of a worker */
#define MAX_WORKERS 64
#define MAX_RUNS 32
#define MAX_ENDS 512
#define MAX_HOLDS 64
#define STRETCH 1.6 /* as in the sites' configuration */
#define OBJECTIVE_MS 60
#define LATE_FACTOR 3

enum order_kind { ORDER_HOLD, ORDER_START, ORDER_STOP };

struct run {
	char task[STEP_JOB_TASK_BYTES];
	uint32_t number;
	uint64_t began_ms;
	uint64_t ends_ms;
};

struct end {
	char task[STEP_JOB_TASK_BYTES];
	uint32_t number;
	uint64_t number_of_end;
	enum pool_end how;
};

struct hold {
	uint64_t serial;
	uint64_t until_ms;
	uint64_t after; /* it waits for an end above this number */
};

struct worker {
	char id[16];
	double speed;
	bool failed;
	uint64_t lease_ms; /* all runs are killed at this time */
	struct run runs[MAX_RUNS];
	size_t run_count;
	struct end ends[MAX_ENDS];
	size_t end_count;
	uint64_t last_end;
	struct hold holds[MAX_HOLDS]; /* those that wait, the oldest first */
	size_t hold_count;
};

struct order {
	enum order_kind kind;
	uint64_t due_ms;
	uint64_t token;
	struct worker *worker;
	char task[STEP_JOB_TASK_BYTES];
	uint32_t number;
	uint64_t deadline_ms;
	bool lost; /* never carried out; the call times out at due_ms */
};

struct job {
	UT_hash_handle hh;
	char id[STEP_JOB_ID_BYTES];
	size_t kind;
	uint64_t arrived_ms;
	uint64_t objective_ms;
	uint64_t estimated_objective_ms; /* from the estimated run time */
	uint32_t run_ms;
	bool started;
};

struct load {
	const struct fake_load_options *options;
	struct fake_load_result *result;
	struct lease_dispatch *dispatch;
	struct random_generator random; /* of arrivals */
	struct random_generator run_random; /* apart, to repeat arrivals */
	struct worker workers[MAX_WORKERS];
	struct order orders[4096];
	size_t order_count;
	struct job *jobs;
	uint64_t now_ms;
	uint64_t next_id;
	double earned; /* of completed jobs; a late one earns a fifth */
	double owed; /* worth of all jobs submitted */
};

/* Uniform in [low, high). */
static double random_between(struct random_generator *random, double low,
			     double high)
{
	return low + (high - low) * (double)(random_next(random) >> 11) /
			     (double)(UINT64_C(1) << 53);
}

static double uniform(struct load *load, double low, double high)
{
	return random_between(&load->random, low, high);
}

static struct worker *find_worker(struct load *load, const char *id)
{
	return &load->workers[strtoul(id + 1, NULL, 10)];
}

static struct job *find_job(struct load *load, const char *id)
{
	struct job *job;

	HASH_FIND(hh, load->jobs, id, STEP_JOB_ID_DIGITS, job);
	return job;
}

/* Ports */

/* Inserts an order by due_ms. */
static struct order *add_order(struct load *load, enum order_kind kind,
			       const char *worker, uint64_t token,
			       uint64_t due_ms)
{
	size_t i = load->order_count++;

	if (load->order_count > sizeof(load->orders) / sizeof(load->orders[0]))
		abort();
	for (; i && load->orders[i - 1].due_ms > due_ms; i--)
		load->orders[i] = load->orders[i - 1];
	memset(&load->orders[i], 0, sizeof(load->orders[i]));
	load->orders[i].kind = kind;
	load->orders[i].due_ms = due_ms;
	load->orders[i].token = token;
	load->orders[i].worker = find_worker(load, worker);
	return &load->orders[i];
}

/*
 * Decides at random whether an order is lost: it would be carried out seconds
 * later, after its deadline or its task's end, so the caller sees a timeout.
 */
static bool lose_order(struct load *load, enum order_kind kind,
		       const char *worker, uint64_t token, uint32_t timeout_ms)
{
	if (!load->options->late_percent ||
	    random_below(&load->run_random, 100) >= load->options->late_percent)
		return false;
	add_order(load, kind, worker, token, load->now_ms + timeout_ms)->lost =
		true;
	return true;
}

static void port_hold(void *ctx, const struct pool_hold_call *call)
{
	struct load *load = ctx;
	struct worker *w = find_worker(load, call->worker);
	size_t kept = 0;

	if (w->failed)
		return;
	if (lose_order(load, ORDER_HOLD, call->worker, call->serial,
		       call->timeout_ms))
		return;
	for (size_t i = 0; i < w->end_count; i++)
		if (w->ends[i].number_of_end > call->ends_read)
			w->ends[kept++] = w->ends[i];
	w->end_count = kept;
	if (w->hold_count == MAX_HOLDS)
		abort();
	w->holds[w->hold_count++] = (struct hold){
		.serial = call->serial,
		.until_ms = load->now_ms + ANSWER_MS + call->wait_ms,
		.after = call->ends_read,
	};
	if (call->deadline_ms > w->lease_ms)
		w->lease_ms = call->deadline_ms;
}

static void name_run(struct order *order, const char *task, uint32_t number)
{
	order->number = number;
	snprintf(order->task, sizeof(order->task), "%s", task);
}

static void port_start(void *ctx, const struct pool_start_call *call)
{
	struct load *load = ctx;
	struct order *order;

	if (lose_order(load, ORDER_START, call->worker, call->token,
		       call->timeout_ms))
		return;
	order = add_order(load, ORDER_START, call->worker, call->token,
			  load->now_ms + ANSWER_MS);
	name_run(order, call->task, call->number);
	order->deadline_ms = call->deadline_ms;
}

static void port_stop(void *ctx, const struct pool_stop_call *call)
{
	struct load *load = ctx;

	if (lose_order(load, ORDER_STOP, call->worker, call->token,
		       call->timeout_ms))
		return;
	name_run(add_order(load, ORDER_STOP, call->worker, call->token,
			   load->now_ms + ANSWER_MS),
		 call->task, call->number);
}

static void count_end(struct load *load, const struct job *job,
		      enum lease_end end)
{
	struct fake_load_kind_result *r = &load->result->kinds[job->kind];
	double worth = load->options->kinds[job->kind].worth;
	uint64_t took_ms = load->now_ms - job->arrived_ms;

	r->answered_late += end != LEASE_COMPLETED && !job->started &&
			    took_ms > job->estimated_objective_ms / 4;
	if (end == LEASE_COMPLETED && took_ms <= job->objective_ms) {
		r->on_time++;
		load->earned += worth;
	} else if (end == LEASE_COMPLETED &&
		   took_ms <= job->objective_ms * LATE_FACTOR) {
		r->late++;
		load->earned += worth / 5;
	} else if (end == LEASE_REFUSED) {
		r->refused++;
		r->refused_late +=
			took_ms > job->estimated_objective_ms * LATE_FACTOR;
		load->result->refused_after_start += job->started;
	} else if (end == LEASE_GIVEN_UP) {
		r->given_up++;
	}
}

static void port_answer(void *ctx, const struct lease_answer *answer)
{
	struct load *load = ctx;
	struct job *job = find_job(load, answer->id);

	if (!job)
		return;
	count_end(load, job, answer->end);
	HASH_DEL(load->jobs, job);
	talloc_free(job);
}

/* Workers */

static void remove_run(struct load *load, struct worker *w, size_t i,
		       enum pool_end how)
{
	struct end *end = &w->ends[w->end_count++ % MAX_ENDS];

	(void)load;
	memcpy(end->task, w->runs[i].task, sizeof(end->task));
	end->number = w->runs[i].number;
	end->number_of_end = ++w->last_end;
	end->how = how;
	w->runs[i] = w->runs[--w->run_count];
}

static bool runs_elsewhere(struct load *load, const char *task)
{
	for (uint32_t i = 0; i < load->options->workers; i++)
		for (size_t j = 0; j < load->workers[i].run_count; j++)
			if (!strcmp(load->workers[i].runs[j].task, task))
				return true;
	return false;
}

static void begin_run(struct load *load, const struct order *order)
{
	struct worker *w = order->worker;
	struct run *run = &w->runs[w->run_count++];
	struct job *job = find_job(load, order->task);
	double factor = job ? job->run_ms : 100;

	load->result->duplicate_starts += runs_elsewhere(load, order->task);
	if (job)
		job->started = true;
	snprintf(run->task, sizeof(run->task), "%s", order->task);
	run->number = order->number;
	run->began_ms = load->now_ms;
	run->ends_ms =
		load->now_ms +
		(uint64_t)(factor *
			   random_between(&load->run_random, 0.85, 1.15) /
			   w->speed);
	if (order->deadline_ms > w->lease_ms)
		w->lease_ms = order->deadline_ms;
}

static void carry_out(struct load *load, const struct order *order)
{
	struct worker *w = order->worker;
	struct lease_pool *pool = lease_pool(load->dispatch);
	bool lost = w->failed || order->lost;
	struct pool_reply reply = { lost ? POOL_NO_ANSWER : POOL_OK,
				    lost ? 0 : load->now_ms, 0 };

	if (order->kind == ORDER_HOLD) {
		pool_hold_answered(pool, w->id, order->token, &reply, NULL,
				   load->now_ms);
		return;
	}
	if (order->kind == ORDER_START) {
		if (!lost)
			begin_run(load, order);
		pool_start_answered(pool, order->token, &reply, load->now_ms);
		return;
	}
	for (size_t i = 0; !lost && i < w->run_count; i++)
		if (w->runs[i].number == order->number &&
		    !strcmp(w->runs[i].task, order->task))
			remove_run(load, w, i--, POOL_STOPPED);
	pool_stop_answered(pool, order->token, &reply, load->now_ms);
}

static void answer_hold(struct load *load, struct worker *w, size_t index)
{
	struct pool_listed_run running[MAX_RUNS];
	struct pool_listed_end ended[MAX_ENDS];
	struct pool_lists lists = { running, w->run_count, ended,
				    w->end_count };
	struct pool_reply reply = { POOL_OK, load->now_ms, 0 };
	uint64_t serial = w->holds[index].serial;

	for (size_t i = 0; i < w->run_count; i++) {
		const struct run *run = &w->runs[i];

		running[i].task = run->task;
		running[i].number = run->number;
		running[i].percent =
			(uint32_t)((load->now_ms - run->began_ms) * 100 /
				   (run->ends_ms - run->began_ms + 1));
	}
	for (size_t i = 0; i < w->end_count; i++)
		ended[i] = (struct pool_listed_end){ w->ends[i].number_of_end,
						     w->ends[i].task,
						     w->ends[i].number,
						     w->ends[i].how };
	memmove(&w->holds[index], &w->holds[index + 1],
		(--w->hold_count - index) * sizeof(*w->holds));
	pool_hold_answered(lease_pool(load->dispatch), w->id, serial, &reply,
			   &lists, load->now_ms);
}

static void step_worker(struct load *load, struct worker *w)
{
	bool lapsed = w->lease_ms <= load->now_ms;

	for (size_t i = 0; i < w->run_count; i++)
		if (lapsed)
			remove_run(load, w, i--, POOL_LAPSED);
		else if (w->runs[i].ends_ms <= load->now_ms && !w->failed)
			remove_run(load, w, i--, POOL_DONE);
	for (size_t i = w->hold_count; i-- > 0 && !w->failed;)
		if (w->holds[i].until_ms <= load->now_ms ||
		    (w->end_count && w->last_end > w->holds[i].after))
			answer_hold(load, w, i);
}

/* Arrivals */

static double rate_of(const struct load *load,
		      const struct fake_load_kind *kind)
{
	const struct fake_load_options *o = load->options;
	bool burst = load->now_ms >= o->burst_from_ms &&
		     load->now_ms < o->burst_to_ms;

	return kind->per_s * (burst && kind->burst > 0 ? kind->burst : 1);
}

static void arrive(struct load *load, size_t k)
{
	const struct fake_load_kind *kind = &load->options->kinds[k];
	struct job *job = talloc_zero(load->dispatch, struct job);
	double estimate_factor = uniform(load, 0.7, 1.4); /* of the estimate */
	struct job_step step = {
		.count = (uint32_t)(kind->tasks * uniform(load, 0.6, 1.4)),
		.demand = { (uint32_t)(load->options->task_milli *
				       uniform(load, 0.8, 1.2)),
			    64, 0 },
	};
	struct lease_submission submission = {
		.waiter = { 1, ++load->next_id },
		.id = job->id,
		.queue = kind->name,
		.service = "s",
		.priority = kind->priority,
		.attempts = 2,
		.remaining_ms = load->options->deadline_ms,
		.text = "t",
		.steps = &step,
		.step_count = 1,
	};

	step.count += !step.count;
	job->run_ms = (uint32_t)(kind->run_ms * uniform(load, 0.6, 1.4));
	step.estimate_ms = (uint32_t)(job->run_ms * estimate_factor);
	snprintf(job->id, sizeof(job->id), "%016llx",
		 (unsigned long long)load->next_id);
	job->kind = k;
	job->arrived_ms = load->now_ms;
	/* The caller uses the true run time, the leader the estimate. */
	job->objective_ms = (uint64_t)(STRETCH * job->run_ms) + OBJECTIVE_MS;
	job->estimated_objective_ms =
		(uint64_t)(STRETCH * step.estimate_ms) + OBJECTIVE_MS;
	submission.objective_ms = job->estimated_objective_ms;
	HASH_ADD(hh, load->jobs, id, STEP_JOB_ID_DIGITS, job);
	load->result->kinds[k].jobs++;
	load->owed += kind->worth;
	lease_submit(load->dispatch, &submission, load->now_ms);
}

static void arrivals(struct load *load)
{
	for (size_t k = 0; k < load->options->kind_count; k++) {
		double expected =
			rate_of(load, &load->options->kinds[k]) / 1000;

		while (expected > 0 && uniform(load, 0, 1) < expected) {
			arrive(load, k);
			expected -= 1;
		}
	}
}

/* The run */

static void set_up(struct load *load)
{
	static const double speeds[] = { 0.6, 1.0, 1.6 };
	static const char *const labels[] = { "a", NULL };
	const struct fake_load_options *o = load->options;
	struct lease_options options = {
		.ports = { load, port_hold, port_start, port_stop },
		.order = lease_find_order(o->order),
		.place = place_find("fastest"),
		.lease_ms = LEASE_MS,
		.stop_ms = STOP_MS,
		.far_factor = 1,
		.admission = o->admission,
		.seed = 1,
		.answer = port_answer,
		.ctx = load,
	};

	load->now_ms = 1000;
	random_seed(&load->random, o->seed);
	random_seed(&load->run_random, o->seed + 1);
	load->dispatch = lease_create(NULL, &options);
	for (uint32_t i = 0; i < o->workers; i++) {
		struct worker *w = &load->workers[i];
		struct pool_registration registration = {
			.id = w->id,
			.address = "127.0.0.1:1",
			.service = "s",
			.data_centre = "dc",
			.labels = labels,
			.capacity = { o->worker_milli, 32768, 0 },
		};

		snprintf(w->id, sizeof(w->id), "w%u", i);
		w->speed = speeds[i % 3];
		pool_register_worker(lease_pool(load->dispatch), &registration,
				     load->now_ms);
	}
	lease_lead(load->dispatch, 1, load->now_ms);
}

static void step(struct load *load, bool arriving)
{
	const struct fake_load_options *o = load->options;
	struct order order;

	load->now_ms++;
	for (uint32_t i = 0; i < o->workers; i++) {
		if (o->fail_at_ms && load->now_ms >= 1000 + o->fail_at_ms)
			load->workers[i].failed = i < o->failed_workers;
		step_worker(load, &load->workers[i]);
	}
	while (load->order_count && load->orders[0].due_ms <= load->now_ms) {
		order = load->orders[0];
		memmove(load->orders, load->orders + 1,
			--load->order_count * sizeof(order));
		carry_out(load, &order);
	}
	if (arriving)
		arrivals(load);
	lease_run(load->dispatch, load->now_ms);
	if (load->now_ms % 20 == 0)
		lease_tick(load->dispatch, load->now_ms);
}

void fake_load_run(const struct fake_load_options *options,
		   struct fake_load_result *result)
{
	struct load *load = talloc_zero(NULL, struct load);

	memset(result, 0, sizeof(*result));
	load->options = options;
	load->result = result;
	set_up(load);
	for (uint64_t i = 0; i < options->length_ms; i++)
		step(load, true);
	for (uint64_t i = 0; i < options->deadline_ms; i++)
		step(load, false);
	result->worth = load->owed > 0 ? load->earned / load->owed : 0;
	HASH_CLEAR(hh, load->jobs);
	talloc_free(load->dispatch);
	talloc_free(load);
}
