/*
 * Many workers crash within seconds for a reason of their own, and no task
 * causes any: no job fails by it, whatever leads, and no task runs twice.
 *
 * Plays the seeds 1 to LAST_SEED.
 */
#include "base/tests/run_suite.h"
#include "fake_site.h"

/* Sanitized builds take up to 25 times as long. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define LAST_SEED 4
#else
#define LAST_SEED 12
#endif
#define DEADLINE_MS 30000

/* A wave of crashes, and no task that causes any. */
static void play_wave(uint64_t seed, struct fake_site_options options)
{
	struct fake_site_result r;

	options.instances = 5;
	options.workers = 40;
	options.length_ms = 12000;
	options.settle_ms = 40000;
	options.jobs_per_s = 40;
	options.deadline_ms = DEADLINE_MS;
	options.wave_ms = 4000;
	options.seed = seed;
	fake_site_run(&options, &r);
	ck_assert_msg(!r.duplicate_runs && !r.repeated_runs && !r.wrong_answers,
		      "seed %d: %s", (int)seed, r.first_error);
	ck_assert_msg(!r.false_charges, "seed %d: %s", (int)seed,
		      r.first_error);
	ck_assert_msg(!r.innocent_failed, "seed %d: %u jobs failed", (int)seed,
		      r.innocent_failed);
	ck_assert_uint_eq(r.unanswered, 0);
}

#define PLAY_WAVE(name, ...)                                                   \
	START_TEST(name)                                                       \
	{                                                                      \
		play_wave((uint64_t)_i,                                        \
			  (struct fake_site_options){ __VA_ARGS__ });          \
	}                                                                      \
	END_TEST

PLAY_WAVE(test_busy_workers_crash_in_a_wave, .down_ms = 300,
	  .wave_every_ms = 100)
PLAY_WAVE(test_busy_workers_are_lost_in_a_wave, .down_ms = 2500,
	  .wave_every_ms = 100)
PLAY_WAVE(test_wave_with_relays, .down_ms = 300, .wave_every_ms = 100,
	  .direct_workers = 1)

/* Workers are cut off, outlive their leases and restart behind the cuts. */
PLAY_WAVE(test_restarts_behind_cuts_crash_no_task, .wave_every_ms = 300,
	  .wave_cut_ms = 2500)
PLAY_WAVE(test_restarts_behind_short_cuts, .wave_every_ms = 200,
	  .wave_cut_ms = 800)

int main(void)
{
	const TTest *const plays[] = {
		test_busy_workers_crash_in_a_wave,
		test_busy_workers_are_lost_in_a_wave,
		test_wave_with_relays,
		test_restarts_behind_cuts_crash_no_task,
		test_restarts_behind_short_cuts,
	};
	Suite *suite = suite_create("lease_crash_wave");

	for (size_t i = 0; i < sizeof(plays) / sizeof(plays[0]); i++) {
		TCase *site = tcase_create(plays[i]->name);

		tcase_set_timeout(site, 60);
		tcase_add_loop_test(site, plays[i], 1, LAST_SEED + 1);
		suite_add_tcase(suite, site);
	}
	return run_suite(suite);
}
