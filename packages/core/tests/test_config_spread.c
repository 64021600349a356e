/*
 * Which members watch the platform, when they poll and repair it, and reports
 * on leaving workers.
 */
#include <string.h>

#include "base/tests/run_suite.h"
#include "core/config_spread.h"
#include "core/drain.h"

static struct random_generator jitter;
static struct config_spread spread;

static void setup(void)
{
	random_seed(&jitter, 1);
	config_spread_init(&spread, &jitter, 1000);
}

START_TEST(test_two_members_watch)
{
	const uint64_t live[] = { 11, 22, 33, 44, 55 };
	int watchers = 0;

	for (int i = 0; i < 5; i++)
		watchers += config_spread_should_watch("a", live[i], live, 5);
	ck_assert_int_eq(watchers, CONFIG_SPREAD_WATCHERS);
	ck_assert(config_spread_should_watch("a", 11, live, 1));
}
END_TEST

/* Polls at most once in 2 s, and only without an answer of the platform. */
START_TEST(test_poll_without_answers)
{
	int polls = 0;

	for (uint64_t t = 1000; t < 31000; t += 100) {
		config_spread_peer_answered(&spread, 300, t);
		polls += config_spread_poll_due(&spread, t);
	}
	ck_assert_int_eq(polls, 0);
	for (uint64_t t = 31000; t < 37000; t += 100)
		polls += config_spread_poll_due(&spread, t);
	ck_assert_int_ge(polls, 1);
	for (uint64_t t = 37000; t < 67000; t += 100)
		polls += config_spread_poll_due(&spread, t);
	ck_assert_int_ge(polls, 30 / 4);
	ck_assert_int_le(polls, 36 / 2);
}
END_TEST

START_TEST(test_only_watchers_repair)
{
	config_spread_answered(&spread, 3, 1000);
	ck_assert(!config_spread_repair_due(&spread, 5, 1000));
	spread.watches = true;
	ck_assert(config_spread_repair_due(&spread, 5, 1000));
	/* The delay after a repair is at least 1 s. */
	ck_assert(!config_spread_repair_due(&spread, 5, 1500));
	ck_assert(config_spread_repair_due(&spread, 5, 5000));
	config_spread_answered(&spread, 5, 6000);
	ck_assert(!config_spread_repair_due(&spread, 5, 20000));
}
END_TEST

START_TEST(test_one_request_at_a_time)
{
	ck_assert(config_spread_may_request(&spread, 4, 2000));
	ck_assert(!config_spread_may_request(&spread, 4, 2100));
	/* A newer version may be requested at once. */
	ck_assert(config_spread_may_request(&spread, 5, 2100));
	ck_assert(config_spread_may_request(&spread, 5, 4000));
}
END_TEST

static void count_report(void *ctx, const struct drain_report *report)
{
	(void)report;
	++*(int *)ctx;
}

static bool apply_report(struct drain *drain, enum drain_source source,
			 bool leaving, uint64_t observed_ms, uint64_t now_ms)
{
	struct drain_report report = { "w1", source, leaving, observed_ms };

	return drain_apply_report(drain, &report, now_ms);
}

START_TEST(test_reports_on_leaving)
{
	struct drain *drain = drain_create(NULL);
	int reports = 0;

	ck_assert(!apply_report(drain, DRAIN_BY_LIST, false, 1000, 1000));
	ck_assert(apply_report(drain, DRAIN_BY_LIST, true, 2000, 2000));
	ck_assert(apply_report(drain, DRAIN_BY_WORKER, true, 2000, 2000));
	/* Reports are kept by source; an older one of a source is ignored. */
	ck_assert(!apply_report(drain, DRAIN_BY_LIST, false, 1500, 2500));
	ck_assert(apply_report(drain, DRAIN_BY_LIST, false, 2600, 2600));
	ck_assert(drain_is_leaving(drain, "w1"));
	drain_each_report(drain, false, 2700, count_report, &reports);
	ck_assert_int_eq(reports, 2);
	reports = 0;
	drain_each_report(drain, false, 9000, count_report, &reports);
	ck_assert_int_eq(reports, 0);
	drain_each_report(drain, true, 9000, count_report, &reports);
	ck_assert_int_eq(reports, 1);
	ck_assert(apply_report(drain, DRAIN_BY_WORKER, false, 9500, 9500));
	ck_assert(!drain_is_leaving(drain, "w1"));
	drain_tick(drain, 100000);
	reports = 0;
	drain_each_report(drain, true, 9600, count_report, &reports);
	ck_assert_int_eq(reports, 0);
	talloc_free(drain);
}
END_TEST

int main(void)
{
	return RUN_CASE("config_spread", setup, NULL, test_two_members_watch,
			test_poll_without_answers, test_only_watchers_repair,
			test_one_request_at_a_time, test_reports_on_leaving);
}
