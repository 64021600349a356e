#ifndef CORE_TESTS_FAKE_SCENARIO_H
#define CORE_TESTS_FAKE_SCENARIO_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Plays one scenario: one task, which outlasts the scenario, on a site of three
 * instances and two workers, with faults at given times. Instance 0 leads at
 * the start. The caller sends the job again on a lost connection and on a job
 * that was given up. Nothing is random. Workers keep the platform's rules; a
 * worker that restarts remembers nothing and starts its clock anew.
 *
 * Not for many jobs, nor for faults generated from a seed: see fake_site.h.
 */

#define SCENARIO_NODES 3
#define SCENARIO_WORKERS 2
#define SCENARIO_MAX_FAULTS 6

enum scenario_kind {
	SCENARIO_CUT_LINK, /* between instances a and b */
	SCENARIO_CUT_ONE_WAY, /* from instance a to instance b */
	SCENARIO_CUT_WORKER, /* between instance a and worker b */
	/* Instances in the bits of a, workers in those of b, from all others */
	SCENARIO_PARTITION,
	SCENARIO_HEAL, /* all cuts */
	SCENARIO_HEAL_WORKERS, /* all cuts between instances and workers */
	SCENARIO_FREEZE, /* instance a for b ms */
	SCENARIO_KILL, /* instance a, which is started again 1 s later */
	SCENARIO_STOP, /* instance a, as planned */
	SCENARIO_RESET_LINK, /* between instances a and b */
	/*
	 * The tens digit of a is the instance whose side of a link closes, the
	 * last one that whose side stays open for b ms and sends into nothing:
	 * a reset that reaches one end of a connection only, as the system on
	 * the way has forgotten it. A new connection opens beside it.
	 */
	SCENARIO_HALF_CLOSE,
	/*
	 * The link goes silent without a reset, while new ones work. Its sides
	 * close at the limit for unacknowledged data, the second b ms later.
	 */
	SCENARIO_SILENCE,
	SCENARIO_RESTART_WORKER, /* worker a, down for b ms */
	SCENARIO_LOSE_ANSWER, /* the next one of worker a */
	/*
	 * The next one to worker a is late by 2 s, and its deadline has passed;
	 * or by b ms, and its lease counts from its arrival.
	 */
	SCENARIO_DELAY_START,
	SCENARIO_DELAY_HOLD,
	SCENARIO_DELAY_STOP,
	SCENARIO_DRAIN, /* worker a, as it registers itself */
	SCENARIO_UNREGISTER, /* worker a's registration lapses, for b ms */
	/* Worker b is new; instance a reads its registration only now. */
	SCENARIO_LIST_LATE,
	/* Worker b joins; instance a reads its registration at once. */
	SCENARIO_JOIN,
	SCENARIO_OVERLOAD, /* instance a's loop is late for b ms */
	SCENARIO_HANG_UP, /* the caller's connection is lost */
	/* Instance a no longer reads the list of workers, until SCENARIO_HEAL.
	 */
	SCENARIO_CUT_STORE,
	SCENARIO_WAIT, /* b ms, before the job is sent; at 0 only */
	SCENARIO_KIND_COUNT,
};

struct scenario_fault {
	uint32_t at_ms; /* after the job is sent; at 0 before it */
	enum scenario_kind kind;
	uint32_t a;
	uint32_t b;
};

struct scenario {
	uint32_t direct_workers; /* 1: relays call the workers; 0: default */
	uint32_t entry; /* the instance that gets the job first */
	uint32_t resend_entry; /* and later, or the next one that is up */
	bool keeps_messages; /* sent during a cut, they arrive afterwards */
	bool announces; /* a restarted worker's registration arrives */
	bool ticks_first; /* after a freeze, timers run before messages */
	/* All answers of workers tell their start time, not only lists. */
	bool full_answers;
	struct scenario_fault faults[SCENARIO_MAX_FAULTS];
	size_t fault_count;
	bool trace; /* print what happens */
};

struct scenario_result {
	bool two_runs; /* a run started while another one was open */
	bool resent; /* and its caller had sent the job again between them */
	bool without_effect; /* a fault changed nothing */
	bool no_start; /* the task was not started at all */
	uint32_t attempts; /* of the caller */
	uint64_t at_ms; /* of the second run's start, as for faults */
	char text[200]; /* describes the two runs */
};

/* Plays a scenario up to its end or to the start of a second run. */
void scenario_play(const struct scenario *scenario,
		   struct scenario_result *result);

/*
 * Read and print a scenario, such as "1 2 0 0 0 1 300:cut_worker(0,1)": entry,
 * resend_entry, direct_workers, keeps_messages, announces, ticks_first, then
 * the faults with their times. "full" before the faults stands for
 * full_answers. scenario_read returns false if it cannot be parsed.
 */
bool scenario_read(struct scenario *scenario, const char *text);
void scenario_print(const struct scenario *scenario);

/*
 * Reads and plays a scenario, and prints what happens if BERGAMOT_SHOW is set;
 * without two runs so far, again with full answers. Returns false if it cannot
 * be parsed.
 */
bool scenario_play_text(const char *text, struct scenario_result *result);

/* Returns the word for a kind of fault. */
const char *scenario_kind_text(enum scenario_kind kind);

#endif
