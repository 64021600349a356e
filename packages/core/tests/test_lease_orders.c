/*
 * No task has two runs at once, in whatever order faults follow each other
 * around its run: enumerates the orders of a few faults over a grid of times,
 * with real instances on a simulated site, and reports the shortest case of
 * each order of kinds that starts a second run.
 *
 * BERGAMOT_DEPTH is the number of faults. BERGAMOT_STRIDE is the step from one
 * order to the next that is played, BERGAMOT_SEED the number of the first one.
 * BERGAMOT_KINDS lists the kinds of faults that are played, BERGAMOT_WITH those
 * of which an order has at least one. BERGAMOT_JITTER is how far in ms times
 * are moved off the grid.
 * BERGAMOT_PLAY plays one scenario, as printed, and with BERGAMOT_SHOW prints
 * what happens in it. BERGAMOT_LOG is the path of the instances' log lines,
 * which need CK_FORK=no.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/tests/run_suite.h"
#include "fake_scenario.h"

/* Sanitized builds take up to 25 times as long. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define STRIDE 11
#define PAIR_STRIDE 4999
#else
#define STRIDE 1
#define PAIR_STRIDE 499
#endif
#define MAX_FOUND 200
#define COUNT(list) (sizeof(list) / sizeof((list)[0]))
#define MAX_FAULTS 120 /* different ones */

/* Times after the fault before; the first one counts from the job on. */
static const uint32_t gaps_ms[] = { 0, 100, 300, 700, 1300, 5, 2100 };
#define GAP_COUNT 5

struct fault_list {
	struct scenario_fault faults[MAX_FAULTS];
	size_t count;
};

struct found {
	struct scenario scenario;
	struct scenario_result result;
	uint64_t seen;
};

struct search {
	struct fault_list list;
	struct found found[MAX_FOUND];
	size_t found_count;
	uint64_t played;
	uint64_t without_effect;
	uint64_t two_runs;
	uint64_t resent;
};

static uint64_t number_of(const char *name, uint64_t otherwise)
{
	const char *text = getenv(name);

	return text ? strtoull(text, NULL, 10) : otherwise;
}

static void add(struct fault_list *list, enum scenario_kind kind, uint32_t a,
		uint32_t b)
{
	const char *kinds = getenv("BERGAMOT_KINDS");

	if (kinds && !strstr(kinds, scenario_kind_text(kind)))
		return;
	list->faults[list->count++] =
		(struct scenario_fault){ .kind = kind, .a = a, .b = b };
}

static void list_faults(struct fault_list *list)
{
	static const uint32_t freezes_ms[] = { 300, 700, 1500, 3000 };
	static const uint32_t grants_ms[] = { 3000, 7000, 12000 };

	for (uint32_t a = 0; a < SCENARIO_NODES; a++) {
		add(list, SCENARIO_KILL, a, 0);
		add(list, SCENARIO_STOP, a, 0);
		for (size_t i = 0; i < 4; i++)
			add(list, SCENARIO_FREEZE, a, freezes_ms[i]);
		add(list, SCENARIO_OVERLOAD, a, 700);
		for (uint32_t w = 0; w < SCENARIO_WORKERS; w++)
			add(list, SCENARIO_JOIN, a, w);
		for (uint32_t w = 0; a && w < SCENARIO_WORKERS; w++)
			add(list, SCENARIO_LIST_LATE, a, w);
		for (uint32_t b = 0; b < a; b++) {
			add(list, SCENARIO_CUT_LINK, a, b);
			add(list, SCENARIO_CUT_ONE_WAY, a, b);
			add(list, SCENARIO_CUT_ONE_WAY, b, a);
			add(list, SCENARIO_RESET_LINK, a, b);
		}
		for (uint32_t b = 0; b < SCENARIO_NODES; b++) {
			if (b == a)
				continue;
			add(list, SCENARIO_HALF_CLOSE, 10 * a + b, 300);
			add(list, SCENARIO_HALF_CLOSE, 10 * a + b, 1500);
			if (!a || !b)
				add(list, SCENARIO_SILENCE, 10 * a + b, 500);
		}
		for (uint32_t w = 0; w < SCENARIO_WORKERS; w++)
			add(list, SCENARIO_CUT_WORKER, a, w);
		/* With none, one or all of the workers on its side. */
		for (uint32_t w = 0; w < 1 << SCENARIO_WORKERS; w++)
			add(list, SCENARIO_PARTITION, 1 << a, w);
	}
	for (uint32_t w = 0; w < SCENARIO_WORKERS; w++) {
		add(list, SCENARIO_PARTITION, 0, 1 << w);
		add(list, SCENARIO_RESTART_WORKER, w, 0);
		add(list, SCENARIO_RESTART_WORKER, w, 500);
		add(list, SCENARIO_RESTART_WORKER, w, 3000);
		add(list, SCENARIO_DRAIN, w, 0);
		add(list, SCENARIO_UNREGISTER, w, 3000);
		add(list, SCENARIO_LOSE_ANSWER, w, 0);
		add(list, SCENARIO_DELAY_START, w, 0);
		add(list, SCENARIO_DELAY_HOLD, w, 0);
		add(list, SCENARIO_DELAY_STOP, w, 0);
	}
	for (uint32_t w = 0; w < SCENARIO_WORKERS; w++)
		for (size_t i = 0; i < COUNT(grants_ms); i++) {
			add(list, SCENARIO_DELAY_START, w, grants_ms[i]);
			add(list, SCENARIO_DELAY_HOLD, w, grants_ms[i]);
		}
	add(list, SCENARIO_HEAL, 0, 0);
	add(list, SCENARIO_HEAL_WORKERS, 0, 0);
	add(list, SCENARIO_HANG_UP, 0, 0);
}

/* Takes a digit off a number that is written in a mixed base. */
static uint32_t take_digit(uint64_t *number, uint64_t base)
{
	uint32_t digit = (uint32_t)(*number % base);

	*number /= base;
	return digit;
}

static uint64_t count_orders(const struct search *search, uint32_t depth)
{
	uint64_t count = 1;

	for (uint32_t i = 0; i < depth; i++)
		count *= search->list.count * GAP_COUNT;
	return count;
}

/* Moves times off the grid by less than BERGAMOT_JITTER ms. */
static uint32_t jitter_ms(uint64_t number)
{
	uint64_t limit_ms = number_of("BERGAMOT_JITTER", 0);
	uint64_t hash = (number + 1) * UINT64_C(0x9E3779B97F4A7C15);

	return limit_ms ? (uint32_t)((hash >> 32) % limit_ms) : 0;
}

/*
 * Sets the faults of an order. Returns false if two of them at the same time
 * are in the other order than in the list: these change nothing of each other.
 */
static bool decode(const struct search *search, uint64_t number, uint32_t depth,
		   struct scenario *s)
{
	uint32_t at_ms = 0;
	uint32_t last = 0;

	memset(s, 0, sizeof(*s));
	s->fault_count = depth;
	for (uint32_t i = 0; i < depth; i++) {
		uint32_t fault = take_digit(&number, search->list.count);
		uint32_t gap_ms = gaps_ms[take_digit(&number, GAP_COUNT)];

		if (i && !gap_ms && fault < last)
			return false;
		last = fault;
		at_ms += gap_ms + jitter_ms(number + i);
		s->faults[i] = search->list.faults[fault];
		s->faults[i].at_ms = at_ms;
	}
	return true;
}

static bool has_kind(const struct scenario *s, enum scenario_kind from,
		     enum scenario_kind to)
{
	for (size_t i = 0; i < s->fault_count; i++)
		if (s->faults[i].kind >= from && s->faults[i].kind <= to)
			return true;
	return false;
}

/* Returns true if the order has a fault of a kind in BERGAMOT_WITH. */
static bool is_wanted(const struct scenario *s)
{
	const char *kinds = getenv("BERGAMOT_WITH");
	bool wanted = !kinds;

	for (size_t i = 0; i < s->fault_count && !wanted; i++)
		wanted = strstr(kinds, scenario_kind_text(s->faults[i].kind));
	return wanted;
}

static bool has_two_runs(const struct scenario *s,
			 struct scenario_result *result)
{
	scenario_play(s, result);
	return result->two_runs;
}

/* Leaves out faults that the second run does not need. */
static void shorten(struct scenario *s, struct scenario_result *result)
{
	for (size_t i = 0; i < s->fault_count; i++) {
		struct scenario less = *s;
		struct scenario_result r;

		less.fault_count--;
		memmove(&less.faults[i], &less.faults[i + 1],
			(less.fault_count - i) * sizeof(*less.faults));
		if (!has_two_runs(&less, &r) || r.resent != result->resent)
			continue;
		*s = less;
		*result = r;
		i = (size_t)-1;
	}
}

static bool is_same_way(const struct found *f, const struct scenario *s,
			const struct scenario_result *result)
{
	if (f->scenario.fault_count != s->fault_count ||
	    f->result.resent != result->resent)
		return false;
	for (size_t i = 0; i < s->fault_count; i++)
		if (f->scenario.faults[i].kind != s->faults[i].kind)
			return false;
	return true;
}

static void note_found(struct search *search, struct scenario *s,
		       struct scenario_result *result)
{
	struct found *f = search->found;

	shorten(s, result);
	for (; f < search->found + search->found_count; f++)
		if (is_same_way(f, s, result)) {
			f->seen++;
			return;
		}
	if (search->found_count == MAX_FOUND)
		return;
	search->found_count++;
	f->scenario = *s;
	f->result = *result;
	f->seen = 1;
	printf("%s: %s\n  ", result->resent ? "resent" : "same attempt",
	       result->text);
	scenario_print(s);
	fflush(stdout);
}

/* Returns the number of attempts of the caller. */
static uint32_t play_scenario(struct search *search, struct scenario *s)
{
	struct scenario_result result;
	uint32_t attempts;

	scenario_play(s, &result);
	attempts = result.attempts;
	search->played++;
	search->without_effect += result.without_effect;
	search->two_runs += result.two_runs && !result.resent;
	search->resent += result.two_runs && result.resent;
	if (result.two_runs)
		note_found(search, s, &result);
	return attempts;
}

/* Plays an order under all settings that make a difference to it. */
static void play_order(struct search *search, const struct scenario *order)
{
	bool cuts = has_kind(order, SCENARIO_CUT_LINK, SCENARIO_PARTITION);
	bool restarts = has_kind(order, SCENARIO_RESTART_WORKER,
				 SCENARIO_RESTART_WORKER);
	bool freezes = has_kind(order, SCENARIO_FREEZE, SCENARIO_FREEZE);

	for (uint32_t i = 0; i < 64; i++) {
		struct scenario s = *order;
		uint32_t attempts = 2;

		s.entry = i & 1;
		s.direct_workers = i >> 1 & 1;
		s.keeps_messages = i >> 2 & 1;
		s.announces = i >> 3 & 1;
		s.ticks_first = i >> 4 & 1;
		s.full_answers = i >> 5 & 1;
		if ((s.keeps_messages && !cuts) || (s.announces && !restarts) ||
		    (s.ticks_first && !freezes) ||
		    (s.full_answers && !restarts))
			continue;
		for (uint32_t to = 0; to < SCENARIO_NODES && attempts > 1;
		     to++) {
			struct scenario sent_again = s;

			sent_again.resend_entry = to;
			attempts = play_scenario(search, &sent_again);
		}
	}
}

static void print_found(const struct search *search)
{
	printf("%llu scenarios, %llu with a fault of no effect, two runs in "
	       "%llu, of a job sent again in %llu more; %zu orders:\n",
	       (unsigned long long)search->played,
	       (unsigned long long)search->without_effect,
	       (unsigned long long)search->two_runs,
	       (unsigned long long)search->resent, search->found_count);
	for (size_t i = 0; i < search->found_count; i++) {
		const struct found *f = &search->found[i];

		printf("%s, %llu times: ",
		       f->result.resent ? "resent" : "same attempt",
		       (unsigned long long)f->seen);
		scenario_print(&f->scenario);
	}
	fflush(stdout);
}

static void check_one_run(const char *text)
{
	struct scenario_result result;

	ck_assert(scenario_play_text(text, &result));
	ck_assert(!result.without_effect);
	ck_assert_msg(!result.two_runs, "%s: %s", text, result.text);
}

/* Orders that once started a second run. */

/* The former leader keeps the jobs of a lost entry, and is then cut off. */
START_TEST(test_two_runs_after_the_entry_was_lost_before_a_cut)
{
	check_one_run("1 2 1 0 0 0 1300:kill(1,0) 2000:partition(4,2)");
}
END_TEST

START_TEST(test_two_runs_after_a_start_by_a_frozen_relay)
{
	check_one_run("0 1 1 0 0 1 0:freeze(1,1500) "
		      "300:restart_worker(0,500)");
}
END_TEST

/* One list of a worker shows another leader's run, and ours to have ended. */
START_TEST(test_two_runs_after_a_run_was_found_in_place_of_ours)
{
	check_one_run("1 0 0 0 0 0 300:partition(2,3) 1000:heal(0,0)");
}
END_TEST

START_TEST(test_two_runs_after_a_run_was_found_by_another_relay)
{
	check_one_run("1 0 1 0 0 0 300:partition(2,2) 1000:heal(0,0)");
}
END_TEST

/* Ours ends after the stop of the other one, and before its end. */
START_TEST(test_two_runs_while_a_found_run_is_being_stopped)
{
	check_one_run("1 0 1 0 0 0 1300:cut_link(2,0) 2000:freeze(1,700)");
}
END_TEST

/* Its stop was acknowledged by the worker's former process. */
START_TEST(test_two_runs_after_a_late_start_on_a_restarted_worker)
{
	check_one_run("1 0 0 0 1 1 0:delay_start(0,0) "
		      "100:restart_worker(0,0)");
}
END_TEST

/* Its entry is lost behind a cut, where the former leader goes on. */
START_TEST(test_two_runs_after_the_entry_was_lost_in_a_cut)
{
	check_one_run("1 2 0 0 0 1 1300:partition(1,1) 1400:kill(1,0)");
}
END_TEST

START_TEST(test_two_runs_after_a_cancel_was_lost_in_a_cut)
{
	check_one_run("1 1 0 1 0 1 1300:partition(1,1) 1400:hang_up(0,0)");
}
END_TEST

/* It has left the list while it drains, and runs on. */
START_TEST(test_two_runs_after_a_drained_worker_was_not_listed)
{
	check_one_run("1 0 0 0 0 0 700:drain(0,0) 2000:unregister(0,3000) "
		      "2700:partition(1,0)");
}
END_TEST

/* It drains without a registration for longer than a lease lasts. */
START_TEST(test_two_runs_while_a_worker_drains_unlisted)
{
	check_one_run("1 0 0 0 0 0 100:drain(0,0) 200:unregister(0,9000) "
		      "3400:kill(0,0)");
	check_one_run("1 0 0 0 0 0 100:drain(0,0) 200:unregister(0,9000) "
		      "3400:partition(1,1)");
	check_one_run("1 0 1 0 0 0 100:drain(0,0) 200:unregister(0,9000) "
		      "3400:partition(1,1)");
}
END_TEST

/* An entry that stops as planned answers while its leader is cut off. */
START_TEST(test_two_runs_after_an_entry_stopped_beside_a_cut)
{
	check_one_run("1 2 0 0 0 0 300:stop(1,0) 1750:partition(1,1)");
}
END_TEST

/* Its leader is frozen while the time passes to give up the entry's jobs. */
START_TEST(test_two_runs_after_a_freeze_of_the_leader_of_a_lost_entry)
{
	check_one_run("1 0 0 0 0 0 823:partition(2,2) 2250:freeze(0,700)");
}
END_TEST

/* The next leader has not read the registration of a worker that is new. */
START_TEST(test_two_runs_after_a_stop_beside_a_new_worker)
{
	check_one_run("1 0 0 0 0 0 300:stop(0,0) 1400:list_late(1,0)");
}
END_TEST

START_TEST(test_two_runs_after_a_kill_beside_a_new_worker)
{
	check_one_run("1 0 0 0 0 0 300:kill(0,0) 1400:list_late(1,0)");
}
END_TEST

/* The entry answers the job as given up, and ends, behind a cut. */
START_TEST(test_two_runs_after_an_entry_has_stopped_in_a_cut)
{
	check_one_run("1 1 0 0 0 0 100:stop(1,0) 1500:partition(1,1)");
}
END_TEST

/*
 * The worker's registration has come and gone before the next leader reads the
 * list anew; the former leader runs the task there.
 */
START_TEST(test_two_runs_on_an_unread_worker_after_a_reset)
{
	check_one_run("1 0 0 0 0 0 328:unregister(0,3000) "
		      "1058:list_late(1,0) 1100:reset_link(1,0)");
	check_one_run("1 0 1 0 0 0 328:unregister(0,3000) "
		      "1058:list_late(1,0) 1100:reset_link(1,0)");
}
END_TEST

START_TEST(test_two_runs_on_an_unread_worker_behind_a_cut)
{
	check_one_run("1 0 0 0 0 0 18:unregister(0,3000) "
		      "149:list_late(1,0) 291:partition(1,1)");
	/* The instance that has not read it leads. */
	check_one_run("1 0 0 0 0 0 18:unregister(0,3000) "
		      "149:list_late(1,0) 291:partition(5,1)");
	check_one_run("1 0 1 0 0 0 18:unregister(0,3000) "
		      "149:list_late(1,0) 291:partition(5,1)");
}
END_TEST

START_TEST(test_two_runs_on_an_unread_worker_of_a_former_leader)
{
	check_one_run("0 0 0 0 0 0 39:unregister(0,3000) "
		      "169:reset_link(1,0) 281:list_late(1,0)");
}
END_TEST

/*
 * The entry turns to a leader with a higher claim while its former one, which
 * waits for room, still counts on it: the cancel does not arrive. A worker
 * joins after the next leader has asked for the list.
 */
START_TEST(test_two_runs_on_a_worker_that_joins_after_the_entry_has_turned)
{
	check_one_run("2 2 0 0 0 0 0:cut_worker(0,1) 1200:cut_link(0,1) "
		      "3920:cut_one_way(2,0) 4020:join(0,0)");
	check_one_run("2 2 1 0 0 0 0:cut_worker(0,1) 1200:cut_link(0,1) "
		      "3920:cut_one_way(2,0) 4020:join(0,0)");
	check_one_run("2 2 0 0 0 0 0:cut_worker(0,1) 2812:freeze(0,490) "
		      "3412:cut_link(0,1) 4012:cut_one_way(2,0) "
		      "4132:join(0,0)");
}
END_TEST

/*
 * The entry's side of the link to its leader closes, and it leads itself. The
 * former leader, whose side is open, has the job wait for room, and counts on
 * the entry while a worker joins.
 */
START_TEST(test_two_runs_on_a_worker_that_joins_after_a_side_has_closed)
{
	check_one_run("1 1 0 0 0 0 0:cut_worker(0,1) "
		      "3510:half_close(10,1500) 3660:join(0,0)");
	check_one_run("1 1 1 0 0 0 0:cut_worker(0,1) "
		      "3510:half_close(10,1500) 3660:join(0,0)");
}
END_TEST

/* The leader, paused for a moment, reads the new link later than its entry. */
START_TEST(test_two_runs_after_a_leader_was_late_to_read_a_new_link)
{
	check_one_run("1 2 0 0 0 0 390:reset_link(1,0) 499:freeze(0,460) "
		      "956:partition(1,1) 2056:cut_worker(0,0)");
}
END_TEST

/* The entry, which remembers the lost cancel, is frozen. */
START_TEST(test_two_runs_after_a_cancel_was_lost_and_its_entry_froze)
{
	check_one_run("1 2 0 0 0 0 1300:partition(1,1) 1300:hang_up(0,0) "
		      "1400:freeze(1,3000)");
}
END_TEST

/* The entry, which remembers the lost cancel, does not reach the next leader.
 */
START_TEST(test_two_runs_after_a_cancel_was_lost_between_two_cuts)
{
	check_one_run("1 2 0 0 0 0 1300:partition(4,2) 1400:partition(1,1) "
		      "1400:hang_up(0,0)");
}
END_TEST

/* The leader that read the cancel had just lost its claim, and is cut off. */
START_TEST(test_two_runs_after_a_cancel_was_lost_in_a_change_of_the_leader)
{
	check_one_run("1 0 1 0 0 1 700:freeze(0,700) 800:hang_up(0,0) "
		      "1500:partition(1,2)");
}
END_TEST

/* No instance sees that the entry's link is lost: it is silent, then ends. */
START_TEST(test_two_runs_after_a_silent_entry_was_lost)
{
	check_one_run("1 2 0 0 0 0 300:partition(2,0) 310:kill(1,0) "
		      "900:partition(1,1)");
}
END_TEST

/*
 * The other side's leader, not heard for longer than CLOSED_MS, goes on; then
 * it loses the entry, too.
 */
START_TEST(test_two_runs_after_the_entry_was_lost_long_after_a_cut)
{
	check_one_run("1 2 0 0 0 0 300:partition(4,2) 4000:cut_link(1,0) "
		      "4050:kill(1,0)");
}
END_TEST

START_TEST(test_two_runs_in_a_given_order)
{
	check_one_run(getenv("BERGAMOT_PLAY"));
}
END_TEST

/* Plays each stride-th order of that many faults, from the first one on. */
static void play_orders(uint32_t depth, uint64_t stride, uint64_t first)
{
	static struct search search;
	struct scenario s;

	memset(&search, 0, sizeof(search));
	list_faults(&search.list);
	for (uint64_t i = first; i < count_orders(&search, depth); i += stride)
		if (decode(&search, i, depth, &s) && is_wanted(&s))
			play_order(&search, &s);
	print_found(&search);
	ck_assert_uint_eq(search.two_runs + search.resent, 0);
}

START_TEST(test_two_runs_in_any_order)
{
	play_orders((uint32_t)number_of("BERGAMOT_DEPTH", 1),
		    number_of("BERGAMOT_STRIDE", STRIDE),
		    number_of("BERGAMOT_SEED", 0));
}
END_TEST

START_TEST(test_two_runs_in_any_order_of_two)
{
	play_orders(2, PAIR_STRIDE, 0);
}
END_TEST

/* Writes the instances' log lines to the path in BERGAMOT_LOG, if set. */
static void open_log(void)
{
	struct log_options options = {
		.path = getenv("BERGAMOT_LOG"),
		.level = LOG_LEVEL_INFO,
		.queue_lines = 100000,
	};

	if (options.path && !log_open(&options))
		printf("%s cannot be written\n", options.path);
}

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, test_two_runs_after_the_entry_was_lost_before_a_cut);
	tcase_add_test(tc, test_two_runs_after_a_start_by_a_frozen_relay);
	tcase_add_test(tc,
		       test_two_runs_after_a_run_was_found_in_place_of_ours);
	tcase_add_test(tc,
		       test_two_runs_after_a_run_was_found_by_another_relay);
	tcase_add_test(tc, test_two_runs_while_a_found_run_is_being_stopped);
	tcase_add_test(tc,
		       test_two_runs_after_a_late_start_on_a_restarted_worker);
	tcase_add_test(tc, test_two_runs_after_the_entry_was_lost_in_a_cut);
	tcase_add_test(tc, test_two_runs_after_a_cancel_was_lost_in_a_cut);
	tcase_add_test(tc, test_two_runs_after_a_drained_worker_was_not_listed);
	tcase_add_test(tc, test_two_runs_while_a_worker_drains_unlisted);
	tcase_add_test(tc, test_two_runs_after_an_entry_has_stopped_in_a_cut);
	tcase_add_test(tc, test_two_runs_after_an_entry_stopped_beside_a_cut);
	tcase_add_test(
		tc, test_two_runs_after_a_freeze_of_the_leader_of_a_lost_entry);
	tcase_add_test(tc, test_two_runs_after_a_stop_beside_a_new_worker);
	tcase_add_test(tc, test_two_runs_after_a_kill_beside_a_new_worker);
	tcase_add_test(tc, test_two_runs_on_an_unread_worker_after_a_reset);
	tcase_add_test(tc, test_two_runs_on_an_unread_worker_behind_a_cut);
	tcase_add_test(tc,
		       test_two_runs_on_an_unread_worker_of_a_former_leader);
	tcase_add_test(
		tc,
		test_two_runs_on_a_worker_that_joins_after_the_entry_has_turned);
	tcase_add_test(
		tc,
		test_two_runs_on_a_worker_that_joins_after_a_side_has_closed);
	tcase_add_test(
		tc, test_two_runs_after_a_leader_was_late_to_read_a_new_link);
	tcase_add_test(
		tc, test_two_runs_after_a_cancel_was_lost_and_its_entry_froze);
	tcase_add_test(tc,
		       test_two_runs_after_a_cancel_was_lost_between_two_cuts);
	tcase_add_test(
		tc,
		test_two_runs_after_a_cancel_was_lost_in_a_change_of_the_leader);
	tcase_add_test(tc, test_two_runs_after_a_silent_entry_was_lost);
	tcase_add_test(tc,
		       test_two_runs_after_the_entry_was_lost_long_after_a_cut);
	tcase_add_test(tc, test_two_runs_in_any_order);
	if (!getenv("BERGAMOT_DEPTH"))
		tcase_add_test(tc, test_two_runs_in_any_order_of_two);
}

int main(void)
{
	Suite *suite = suite_create("lease_orders");
	TCase *tc = tcase_create("lease_orders");
	int status;

	open_log();
	tcase_set_timeout(tc, 3600);
	if (getenv("BERGAMOT_PLAY"))
		tcase_add_test(tc, test_two_runs_in_a_given_order);
	else
		add_tests(tc);
	suite_add_tcase(suite, tc);
	status = run_suite(suite);
	log_close();
	return status;
}
