#ifndef CORE_TESTS_FAKE_ORDERS_H
#define CORE_TESTS_FAKE_ORDERS_H

#include "core/lease_dispatch.h"

/*
 * A dispatcher of leased workers with fakes at its ports: orders are recorded,
 * and a test answers them when and as it likes.
 */

#define FAKE_ORDERS_MAX 512
#define FAKE_ORDERS_LEASE_MS 1000
#define FAKE_ORDERS_STOP_MS 50

struct fake_orders_hold {
	char worker[32];
	uint64_t serial;
	uint64_t fence;
	uint64_t ends_read;
	uint64_t deadline_ms;
	uint32_t wait_ms;
	uint32_t timeout_ms;
	bool answered;
};

struct fake_orders_order {
	uint64_t token;
	char worker[32];
	char task[STEP_JOB_TASK_BYTES];
	uint32_t number;
	uint64_t deadline_ms;
};

struct fake_orders {
	struct lease_dispatch *dispatch;
	struct fake_orders_hold holds[FAKE_ORDERS_MAX];
	size_t hold_count;
	struct fake_orders_order starts[FAKE_ORDERS_MAX];
	size_t start_count;
	struct fake_orders_order stops[FAKE_ORDERS_MAX];
	size_t stop_count;
	struct lease_answer answers[FAKE_ORDERS_MAX];
	size_t answer_count;
	uint64_t now_ms;
	char reborn[32]; /* a worker in another life than the first */
	uint64_t born_ms;
};

/* A dispatcher with the default policies that has known its list for long. */
struct fake_orders *fake_orders_create(void);

/* Registers a worker of service "s" with cores of 1000 milli. */
void fake_orders_worker(struct fake_orders *fake, const char *id,
			uint32_t milli);

/* Its answers to holds come from this life from now on. */
void fake_orders_worker_reborn(struct fake_orders *fake, const char *id,
			       uint64_t born_ms);

/* Answers the worker's open hold with rows of running tasks and ends. */
void fake_orders_answer_hold(struct fake_orders *fake, const char *worker,
			     const struct pool_listed_run *running, size_t runs,
			     const struct pool_listed_end *ended, size_t ends);

/* Leads with a fencing token and has all workers answer with empty lists. */
void fake_orders_lead(struct fake_orders *fake, uint64_t fence);

/* The worker's open hold gets no answer. */
void fake_orders_lose_hold(struct fake_orders *fake, const char *worker);

void fake_orders_answer_start(struct fake_orders *fake,
			      const struct fake_orders_order *start,
			      enum pool_answer answer);
void fake_orders_answer_stop(struct fake_orders *fake,
			     const struct fake_orders_order *stop,
			     enum pool_answer answer);

/* A submission of one step of tasks of 1000 milli cores and 100 ms. */
struct lease_submission fake_orders_submission(const char *id, uint32_t tasks);
void fake_orders_submit(struct fake_orders *fake,
			const struct lease_submission *submission);

/* Lets time pass in steps of 10 ms. */
void fake_orders_pass(struct fake_orders *fake, uint64_t ms);

/* The last start of a task; NULL when there is none. */
const struct fake_orders_order *
fake_orders_started(const struct fake_orders *fake, const char *task);
const struct fake_orders_order *
fake_orders_stopped(const struct fake_orders *fake, const char *task);

#endif
