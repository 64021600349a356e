#ifndef CORE_TESTS_FAKE_SITE_H
#define CORE_TESTS_FAKE_SITE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Simulates several whole instances with leased workers on one clock, with
 * faults generated from a seed: links and workers cut off, answers lost, orders
 * carried out seconds late, instances frozen, killed and stopped. Workers keep
 * the platform's rules (fencing tokens, leases, run numbers). Violations are
 * found only by what the workers and the callers observe.
 */

/* What happens to the instance whose start crashed a worker. */
enum fake_site_reaction {
	FAKE_SITE_NOTHING,
	FAKE_SITE_KILLED,
	FAKE_SITE_STOPPED,
	FAKE_SITE_CUT_OFF, /* with half of the instances and workers, for 4 s */
};

struct fake_site_options {
	uint32_t instances;
	uint32_t workers;
	uint32_t direct_workers; /* relays are used above it; 0: default */
	bool first_start; /* instances know that the system is new */
	/*
	 * One instance in ten has a large processor share; only instances that
	 * need the list of workers read it, and each reads that of instances.
	 */
	bool is_fleet;
	/* All instances are killed then, and back 1 s later; 0: never. */
	uint64_t kill_all_ms;
	uint64_t length_ms; /* of arrivals and faults */
	uint64_t settle_ms; /* without faults, at the end; 0: 12 s */
	uint32_t jobs_per_s;
	/* Estimate of a task, which runs for up to twice as long; 0: 300. */
	uint32_t task_ms;
	uint32_t faults_per_s;
	/*
	 * Callers also send a job again after an answer that some of its tasks
	 * may have run, and lose connections to instances that work on.
	 */
	bool more_resends;
	/*
	 * The clock of a worker that restarts starts anew, so that orders to
	 * its earlier process have not expired; its connections are closed.
	 */
	bool worker_clocks;
	bool slow_clocks; /* of all workers, by 2% */
	/* All answers of workers tell their start time, not only lists. */
	bool full_answers;
	/* The connections of a worker that crashes are closed, if not cut. */
	bool worker_closes;
	/*
	 * Late orders are late by 2 to 12 s, otherwise by 2 to 8 s, and half of
	 * them have their deadline moved by that: it counts from the arrival.
	 */
	bool late_grants;
	uint32_t late_percent; /* of orders that are late; 0: 3 */
	/*
	 * One of the faults is that some workers lose the path to some of the
	 * instances: wholly, for answers only, or three packets in ten.
	 */
	bool partial_cuts;
	/* One of the faults is that some instances lose the store. */
	bool store_cuts;
	/*
	 * One of the faults is that a worker flaps: its process ends and is
	 * back several times within a few seconds, down for 0.1 to 1 s each.
	 */
	bool flaps;
	/*
	 * One of the faults is that every other worker, a rack, crashes at the
	 * same moment; each is back after up to 2.5 s.
	 */
	bool racks;
	/*
	 * Half of the workers are not there at first; one of the faults is that
	 * one of them joins.
	 */
	bool joins;
	/*
	 * The store loses 30% of the late starts that instances write: it does
	 * not carry the write out, and says so or does not answer.
	 */
	bool lost_writes;
	/* No order is carried out late, and no answer is lost but by cuts. */
	bool answers_arrive;
	/*
	 * Workers start what does not fit, and take up to stop_ms to stop it;
	 * one of the faults is that a worker's capacity changes.
	 */
	bool is_unguarded;
	/*
	 * The store carries out some of the workers' reports seconds late,
	 * after newer ones; one of the faults is that a worker drains, leaves
	 * and is back as a new process.
	 */
	bool late_reports;
	uint32_t deadline_ms; /* of callers; 0: 4 s */
	/*
	 * Jobs whose first task crashes each worker that starts it, which is
	 * back after down_ms; and what happens, once, react_ms after the first
	 * such task has crashed react_at workers.
	 */
	uint32_t deadly_percent;
	uint32_t down_ms;
	/*
	 * From wave_ms on, for 4 s, a random worker crashes every so often and
	 * is back after down_ms; 0: never. If wave_cut_ms is set, it is cut off
	 * for that long instead, and restarts at the end of the cut.
	 */
	uint32_t wave_ms;
	uint32_t wave_every_ms;
	uint32_t wave_cut_ms;
	uint32_t react_at;
	uint32_t react_ms;
	enum fake_site_reaction reaction;
	uint64_t seed;
};

struct fake_site_result {
	uint32_t jobs;
	uint32_t completed;
	uint32_t refused;
	uint32_t given_up;
	uint32_t lost; /* their instance was killed: the connection broke */
	uint32_t unanswered; /* open at the end; must be 0 */
	uint32_t duplicate_runs; /* starts while a run of the task is live */
	uint32_t resent_runs; /* the same, the caller having sent it again */
	/* starts after the same leader acknowledged the task's end as done */
	uint32_t repeated_runs;
	uint32_t over_capacity; /* starts that a worker had no room for */
	/* starts later than drain_ms after a worker's report as draining */
	uint32_t drained_starts;
	uint32_t late_reports; /* done after a newer one of the same process */
	uint32_t wrong_answers; /* refused but run, or answered twice */
	uint32_t faults;
	uint32_t flaps; /* ends of processes, with flaps */
	uint32_t rack_crashes;
	uint32_t joined;
	uint32_t lost_writes;
	uint32_t leaders; /* at the end */
	uint32_t crashes; /* by deadly tasks */
	uint32_t most_crashes; /* by one task */
	uint32_t reacted_crashes; /* by the task that caused the reaction */
	uint32_t most_crashes_by_one; /* by one task, started by one leader */
	uint32_t deadly_failed; /* jobs with such a task that failed */
	uint32_t innocent_failed; /* other jobs that failed */
	/* found in records: tasks that did not run when the worker crashed */
	uint32_t false_charges;
	/* After kill_all_ms, from the return of the first instance on. */
	uint32_t leader_after_ms; /* until one leads */
	uint32_t completed_after_ms; /* until the first job is completed */
	char first_error[240]; /* description of the first violation */
};

/* Runs the simulation to its end and fills in the result. */
void fake_site_run(const struct fake_site_options *options,
		   struct fake_site_result *result);

#endif
