/*
 * Simulated workers restart behind cuts shorter than a hold's timeout, beside
 * other faults: no crash is charged to a task that the worker did not run then,
 * and no job fails by it.
 *
 * Plays the seeds 1 to LAST_SEED, or BERGAMOT_SEEDS of them from BERGAMOT_SEED.
 */
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "base/tests/run_suite.h"
#include "fake_site.h"

/* Sanitized builds take up to 25 times as long. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define LAST_SEED 4
#else
#define LAST_SEED 30
#endif

#define MAX_CRASHES 5 /* BUDGET: two starts after three crashes */

static uint64_t number_of(const char *name, uint64_t otherwise)
{
	const char *text = getenv(name);

	return text ? strtoull(text, NULL, 10) : otherwise;
}

static void play(struct fake_site_options options)
{
	uint64_t first = number_of("BERGAMOT_SEED", 1);
	uint64_t count = number_of("BERGAMOT_SEEDS", LAST_SEED);
	uint32_t false_plays = 0, failed_jobs = 0, first_seed = 0;
	uint32_t most_by_one = 0, most_seed = 0;
	char error[240] = "";

	options.instances = 5;
	options.workers = 40;
	options.length_ms = 12000;
	options.settle_ms = 40000;
	options.jobs_per_s = 40;
	options.deadline_ms = 30000;
	if (!options.deadly_percent)
		options.wave_ms = 4000;
	for (uint64_t seed = first; seed < first + count; seed++) {
		struct fake_site_result r;

		options.seed = seed;
		fake_site_run(&options, &r);
		if (r.false_charges && !false_plays++) {
			first_seed = (uint32_t)seed;
			snprintf(error, sizeof(error), "%s", r.first_error);
		}
		failed_jobs += r.innocent_failed;
		if (r.most_crashes_by_one > most_by_one) {
			most_by_one = r.most_crashes_by_one;
			most_seed = (uint32_t)seed;
		}
	}
	ck_assert_msg(!false_plays && !failed_jobs &&
			      most_by_one <= MAX_CRASHES,
		      "%u of %d seeds with false charges, %u jobs failed; "
		      "one leader let a task crash %u workers, seed %u; "
		      "seed %u: %s",
		      false_plays, (int)count, failed_jobs, most_by_one,
		      most_seed, first_seed, error);
}

#define PLAY(name, ...)                                                        \
	START_TEST(name)                                                       \
	{                                                                      \
		play((struct fake_site_options){ __VA_ARGS__ });               \
	}                                                                      \
	END_TEST

PLAY(test_restarts_behind_cuts_of_200_ms, .wave_every_ms = 100,
     .wave_cut_ms = 200)
PLAY(test_restarts_behind_cuts_of_300_ms, .wave_every_ms = 100,
     .wave_cut_ms = 300)
PLAY(test_restarts_behind_cuts_with_relays, .wave_every_ms = 100,
     .wave_cut_ms = 1200, .direct_workers = 1)
PLAY(test_restarts_behind_cuts_with_faults, .wave_every_ms = 200,
     .wave_cut_ms = 1500, .faults_per_s = 2, .worker_closes = true)
PLAY(test_leaves_and_faults, .wave_every_ms = 200, .wave_cut_ms = 2500,
     .faults_per_s = 3, .late_reports = true, .worker_closes = true)

/* Tasks that crash workers, and answers that are lost. */
PLAY(test_deadly, .deadly_percent = 4, .down_ms = 300, .worker_closes = true)
PLAY(test_deadly_with_relays, .deadly_percent = 4, .down_ms = 2500,
     .direct_workers = 1, .worker_closes = true)
PLAY(test_deadly_among_faults, .deadly_percent = 4, .down_ms = 2500,
     .faults_per_s = 3, .worker_closes = true)
PLAY(test_deadly_and_silent, .deadly_percent = 4, .down_ms = 2500)

/* As in test_lease_crash: to the path in BERGAMOT_LOG; needs CK_FORK=no. */
static void open_log(void)
{
	struct log_options options = {
		.path = getenv("BERGAMOT_LOG"),
		.level = LOG_LEVEL_INFO,
		.queue_lines = 1000000,
	};

	if (options.path && !log_open(&options))
		printf("%s cannot be written\n", options.path);
}

int main(void)
{
	int status;

	const TTest *const plays[] = {
		test_restarts_behind_cuts_of_200_ms,
		test_restarts_behind_cuts_of_300_ms,
		test_restarts_behind_cuts_with_relays,
		test_restarts_behind_cuts_with_faults,
		test_leaves_and_faults,
		test_deadly,
		test_deadly_with_relays,
		test_deadly_among_faults,
		test_deadly_and_silent,
	};
	Suite *suite = suite_create("lease_crash_play");

	for (size_t i = 0; i < sizeof(plays) / sizeof(plays[0]); i++) {
		TCase *site = tcase_create(plays[i]->name);

		tcase_set_timeout(site, 600);
		tcase_add_test(site, plays[i]);
		suite_add_tcase(suite, site);
	}
	open_log();
	status = run_suite(suite);
	log_close();
	return status;
}
