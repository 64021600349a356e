/* The status gives the room of workers whose capacity has changed. */
#include <string.h>

#include "base/tests/run_suite.h"
#include "core/lease_node_status.h"

#define TICK_MS 20
#define ELECTED_MS 4000

static const struct queue_config_queue queue = {
	.name = "q",
	.service = "s",
	.attempts = 2,
	.stretch = 1.6,
	.objective_ms = 60,
};

static struct lease_node *node;
static uint64_t hold_serial; /* of the pending hold; 0: none */
static uint32_t starts;
static uint64_t now_ms;

static void port_hold(void *ctx, const struct pool_hold_call *call)
{
	(void)ctx;
	hold_serial = call->serial;
}

static void port_start(void *ctx, const struct pool_start_call *call)
{
	(void)ctx;
	(void)call;
	starts++;
}

static uint64_t port_wall_ms(void *ctx)
{
	(void)ctx;
	return UINT64_C(1790000000000);
}

static void port_none(void *ctx)
{
	(void)ctx;
}

static const struct lease_node_ports ports = {
	.workers = { .hold = port_hold, .start = port_start },
	.wall_ms = port_wall_ms,
	.wake = port_none,
};

static void advance(uint64_t ms)
{
	static const struct pool_lists nothing;

	for (uint64_t t = 0; t < ms; t += TICK_MS) {
		struct pool_reply reply = { POOL_OK, now_ms += TICK_MS, 1 };
		uint64_t serial;

		lease_node_tick(node, now_ms);
		serial = hold_serial;
		hold_serial = 0;
		if (serial)
			lease_node_hold_answered(node, "w1", serial, &reply,
						 &nothing, now_ms);
	}
}

static void report(uint32_t milli)
{
	struct pool_registration registration = {
		.id = "w1",
		.address = "x",
		.service = "s",
		.data_centre = "d",
		.capacity = { milli, 1000, 0 },
		.born_ms = 1,
	};

	lease_node_worker_listed(node, &registration, now_ms);
}

static void set_up(void)
{
	struct lease_node_options options = {
		.ports = &ports,
		.instance = "own",
		.data_centre = "d",
		.address = "own",
		.incarnation = 1,
		.order = lease_find_order("late_last"),
		.place = place_find("fastest"),
		.weight = 250,
		.lease_ms = 1000,
		.stop_ms = 50,
		.far_factor = 1,
		.now_ms = 1000,
	};

	now_ms = 1000;
	hold_serial = 0;
	starts = 0;
	node = lease_node_create(NULL, &options);
	report(4000);
	lease_node_worker_list_complete(node, now_ms);
	advance(ELECTED_MS);
	ck_assert(lease_node_leads(node));
}

static void tear_down(void)
{
	talloc_free(node);
}

static void submit(void)
{
	struct step_job *job = talloc_zero(NULL, struct step_job);

	memset(job->id, 'a', STEP_JOB_ID_DIGITS);
	job->text = talloc_strdup(job, "t");
	job->step_count = 1;
	job->steps = talloc_zero_array(job, struct job_step, 1);
	job->steps[0].count = 2;
	job->steps[0].demand.cpu_milli = 1000;
	job->steps[0].estimate_ms = 100;
	lease_node_submit(node, 1, &queue, job, 5000, now_ms);
}

static uint64_t free_milli(void)
{
	json_object *status = lease_node_status(node, now_ms);
	json_object *value;
	int64_t milli;

	ck_assert(json_object_object_get_ex(status, "free_milli", &value));
	milli = json_object_get_int64(value);
	json_object_put(status);
	return (uint64_t)milli;
}

START_TEST(test_free_room_of_a_worker_that_runs_more_than_it_has)
{
	ck_assert_uint_eq(free_milli(), 4000);
	submit();
	ck_assert_uint_eq(starts, 2);
	ck_assert_uint_eq(free_milli(), 2000);
	report(1500);
	ck_assert_uint_eq(free_milli(), 0);
	report(3000);
	ck_assert_uint_eq(free_milli(), 1000);
}
END_TEST

int main(void)
{
	return RUN_CASE("lease_node_status", set_up, tear_down,
			test_free_room_of_a_worker_that_runs_more_than_it_has);
}
