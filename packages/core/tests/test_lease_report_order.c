/*
 * The order of a worker's reports: the store may carry out a write seconds
 * late, after newer ones, so that an older report is read after a newer one.
 * What it said is no longer true: it must not let tasks start on a draining
 * worker (DRAIN), nor bring back a larger capacity (LIMIT) or a worker that has
 * left.
 */
#include "base/tests/run_suite.h"
#include "core/lease_pool_state.h"
#include "fake_orders.h"

#define ID "5c0e7a21d94b36f8"
#define OTHER_ID "5c0e7a21d94b36f9"

static struct fake_orders *fake;

static void set_up(void)
{
	fake = fake_orders_create();
}

static void tear_down(void)
{
	talloc_free(fake);
}

static struct pool_worker *worker(void)
{
	return pool_find_worker(lease_pool(fake->dispatch), "w1");
}

/* Reads a report of w1; returns whether it is the newest one. */
static bool read_report(uint64_t born_ms, uint64_t number, uint32_t milli,
			bool draining)
{
	struct fake_orders_report report = {
		.id = "w1",
		.born_ms = born_ms,
		.number = number,
		.milli = milli,
		.draining = draining,
	};
	bool is_newest = fake_orders_report(fake, &report);

	lease_run(fake->dispatch, fake->now_ms);
	return is_newest;
}

static bool read_ready(uint64_t born_ms, uint64_t number)
{
	return read_report(born_ms, number, 4000, false);
}

static bool read_draining(uint64_t born_ms, uint64_t number)
{
	return read_report(born_ms, number, 4000, true);
}

static void remove_registration(void)
{
	pool_unregister_worker(lease_pool(fake->dispatch), "w1", fake->now_ms);
}

/* Checks that there is a gap if a time is missing, and returns it. */
static enum pool_gap find_gap(void)
{
	const struct pool_worker *worker;
	enum pool_gap gap;
	uint64_t since_ms = pool_all_held_since(lease_pool(fake->dispatch),
						fake->now_ms, &gap, &worker);

	ck_assert(!since_ms == (gap != POOL_NO_GAP));
	return gap;
}

static void submit(const char *id, uint32_t tasks)
{
	struct lease_submission job = fake_orders_submission(id, tasks);

	fake_orders_submit(fake, &job);
}

START_TEST(test_start_on_a_draining_worker_after_a_late_report)
{
	ck_assert(read_ready(1, 4));
	fake_orders_lead(fake, 5);
	ck_assert(read_draining(1, 8));
	fake_orders_advance(fake, 2000);
	read_ready(1, 5);
	submit(ID, 1);
	ck_assert_uint_eq(fake->start_count, 0);
	ck_assert(worker()->draining);
	/* A later report may end the draining. */
	ck_assert(read_ready(1, 9));
	fake_orders_advance(fake, 100);
	submit(OTHER_ID, 1);
	ck_assert_uint_eq(fake->start_count, 1);
}
END_TEST

START_TEST(test_start_beyond_capacity_after_a_late_report)
{
	read_report(1, 1, 4000, false);
	fake_orders_lead(fake, 5);
	read_report(1, 3, 1000, false);
	read_report(1, 2, 4000, false);
	submit(ID, 4);
	ck_assert_uint_eq(fake->start_count, 1);
}
END_TEST

START_TEST(test_late_report_changes_address_and_labels)
{
	struct fake_orders_report report = {
		.id = "w1",
		.born_ms = 1,
		.number = 2,
		.milli = 4000,
		.address = "127.0.0.1:2",
		.label = "b",
	};

	fake_orders_report(fake, &report);
	read_ready(1, 1);
	ck_assert_str_eq(worker()->address, "127.0.0.1:2");
	ck_assert_str_eq(worker()->labels[0], "b");
}
END_TEST

/* The newest report is known for as long as a late one may arrive. */
START_TEST(test_late_report_brings_back_a_worker_that_has_left)
{
	read_ready(1, 4);
	fake_orders_lead(fake, 5);
	read_draining(1, 8);
	fake_orders_advance(fake, 2500);
	remove_registration();
	read_ready(1, 7);
	ck_assert(!worker()->registered);
	fake_orders_advance(fake, 5000);
	ck_assert(!read_ready(1, 7));
	submit(ID, 1);
	ck_assert_uint_eq(fake->start_count, 0);
	ck_assert(!pool_is_usable(worker(), fake->now_ms));
	/* It may still run tasks of another leader. */
	ck_assert_int_eq(find_gap(), POOL_WORKER_REMOVED);
	fake_orders_advance(fake, POOL_LATE_REPORT_MS);
	ck_assert_ptr_null(worker());
	ck_assert_int_eq(find_gap(), POOL_NO_GAP);
}
END_TEST

/* It is alive, but its entry expired while the store was not available. */
START_TEST(test_next_report_brings_back_a_worker)
{
	read_ready(1, 4);
	fake_orders_lead(fake, 5);
	remove_registration();
	ck_assert(read_ready(1, 5));
	submit(ID, 1);
	ck_assert_uint_eq(fake->start_count, 1);
}
END_TEST

/* The same report is read again where the list is. */
START_TEST(test_same_report_brings_back_a_worker)
{
	read_ready(1, 4);
	remove_registration();
	ck_assert(read_ready(1, 4));
	ck_assert(worker()->registered);
}
END_TEST

START_TEST(test_reports_of_a_new_process_count_from_one)
{
	read_draining(1000, 8);
	fake_orders_lead(fake, 5);
	ck_assert(read_ready(2000, 1));
	ck_assert(!worker()->draining);
	ck_assert(!read_draining(1000, 9));
	ck_assert(!worker()->draining);
}
END_TEST

/* The worker's answers tell of its restart first. */
START_TEST(test_reports_of_a_process_known_by_its_answers)
{
	read_draining(1, 8);
	fake_orders_lead(fake, 5);
	fake_orders_restart_worker(fake, "w1", 2);
	fake_orders_advance(fake, 6000);
	fake_orders_answer_hold(fake, "w1", NULL, 0, NULL, 0);
	ck_assert_uint_eq(worker()->born_ms, 2);
	ck_assert(!read_ready(1, 7));
	ck_assert(worker()->draining);
	ck_assert(read_ready(2, 1));
	ck_assert(!worker()->draining);
}
END_TEST

/* A number far too high, which another writer wrote, does not count for good.
 */
START_TEST(test_number_of_another_writer_keeps_a_worker_out)
{
	read_ready(1, 4);
	fake_orders_lead(fake, 5);
	read_draining(1, UINT64_C(1) << 62);
	ck_assert(!read_ready(1, 5));
	fake_orders_advance(fake, POOL_LATE_REPORT_MS - 10);
	/* Read again, it does not become newer. */
	read_draining(1, UINT64_C(1) << 62);
	ck_assert(!read_ready(1, 24));
	fake_orders_advance(fake, 10);
	ck_assert(read_ready(1, 25));
	ck_assert(!worker()->draining);
	ck_assert(!read_draining(1, 24));
}
END_TEST

int main(void)
{
	return RUN_CASE("lease_report_order", set_up, tear_down,
			test_start_on_a_draining_worker_after_a_late_report,
			test_start_beyond_capacity_after_a_late_report,
			test_late_report_changes_address_and_labels,
			test_late_report_brings_back_a_worker_that_has_left,
			test_next_report_brings_back_a_worker,
			test_same_report_brings_back_a_worker,
			test_reports_of_a_new_process_count_from_one,
			test_reports_of_a_process_known_by_its_answers,
			test_number_of_another_writer_keeps_a_worker_out);
}
