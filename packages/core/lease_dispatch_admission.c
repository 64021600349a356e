#include "core/lease_dispatch_state.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"

/* Share of the workers' processors that tasks can use: packing leaves gaps. */
#define PACKING_PERCENT 85
#define NO_WORKER_RETRY_MS 1000 /* registrations are read again by then */
#define MAX_RETRY_MS 10000 /* bursts are over by then */
#define LOADS_MAX_AGE_MS 50 /* older loads are recounted at a submission */
#define SHED_INTERVAL_MS 60 /* a fraction of the shortest objectives */

/* Processor time of waiting tasks of a step, in thousandths of a core x ms. */
static uint64_t step_work(const struct job_step *step, uint32_t tasks)
{
	return (uint64_t)tasks * step->demand.cpu_milli * step->estimate_ms;
}

void lease_refresh_key(struct lease_job *job, uint64_t now_ms)
{
	uint64_t remaining_ms = 0;
	uint64_t ends_ms;

	for (uint32_t s = 0; s < job->step_count; s++)
		if (job->states[s].waiting &&
		    job->steps[s].estimate_ms > remaining_ms)
			remaining_ms = job->steps[s].estimate_ms;
	ends_ms = now_ms - job->received_ms + remaining_ms;
	job->remaining_ms = remaining_ms;
	job->slack_ms = (int64_t)job->objective_ms - (int64_t)ends_ms;
	if (ends_ms <= job->objective_ms)
		job->lateness = 0;
	else
		job->lateness =
			ends_ms <= job->objective_ms *
						LEASE_MAX_OBJECTIVE_FACTOR
				? 1
				: 2;
}

/* Load of a service */

static struct service_load *get_load(struct lease_dispatch *dispatch,
				     const char *service)
{
	struct service_load *load;

	HASH_FIND_STR(dispatch->loads, service, load);
	if (load)
		return load;
	load = talloc_zero(dispatch, struct service_load);
	load->service = talloc_strdup(load, service);
	HASH_ADD_KEYPTR(hh, dispatch->loads, load->service,
			strlen(load->service), load);
	return load;
}

static double waiting_work(const struct lease_job *job)
{
	double work = 0;

	for (uint32_t s = 0; s < job->step_count; s++)
		work += step_work(&job->steps[s], job->states[s].waiting);
	return work;
}

static uint32_t priority_index(uint32_t priority)
{
	return priority < FORECAST_PRIORITIES ? priority
					      : FORECAST_PRIORITIES - 1;
}

/*
 * Counts the processors of workers and finds the fastest one. Workers that are
 * not usable for a moment count, too: otherwise a new leader, or one whose
 * calls are slow for 0.2 s, would refuse jobs that can be served.
 */
static void count_workers(struct lease_dispatch *dispatch, uint64_t now_ms)
{
	const struct pool_worker *worker;
	struct service_load *load;

	for (load = dispatch->loads; load; load = load->hh.next)
		load->usable_milli = 0;
	dispatch->fastest = 0;
	TAILQ_FOREACH(worker, pool_workers(dispatch->pool), entry) {
		if (!pool_counts_as_capacity(worker, now_ms))
			continue;
		get_load(dispatch, worker->service)->usable_milli +=
			worker->capacity.cpu_milli * worker->speed;
		if (worker->speed > dispatch->fastest)
			dispatch->fastest = worker->speed;
	}
	for (load = dispatch->loads; load; load = load->hh.next)
		forecast_set_usable(&load->forecast,
				    load->usable_milli * PACKING_PERCENT / 100);
}

/* Sums up waiting work by priority. Late jobs are left out: they start last. */
static void count_waiting(struct lease_dispatch *dispatch, uint64_t now_ms)
{
	struct service_load *load;
	struct lease_job *job;

	for (load = dispatch->loads; load; load = load->hh.next)
		memset(load->ahead, 0, sizeof(load->ahead));
	for (job = dispatch->jobs; job; job = job->hh.next) {
		if (!job->waiting)
			continue;
		lease_refresh_key(job, now_ms);
		if (!job->lateness)
			get_load(dispatch, job->service)
				->ahead[priority_index(job->priority)] +=
				waiting_work(job);
	}
}

void lease_refresh_loads(struct lease_dispatch *dispatch, uint64_t now_ms)
{
	if (dispatch->loads_counted_ms == now_ms)
		return;
	dispatch->loads_counted_ms = now_ms;
	count_workers(dispatch, now_ms);
	count_waiting(dispatch, now_ms);
}

void lease_note_arrival(struct lease_dispatch *dispatch,
			const struct lease_job *job, uint64_t now_ms)
{
	forecast_note_arrival(&get_load(dispatch, job->service)->forecast,
			      job->priority, waiting_work(job), now_ms);
}

void lease_note_waiting(struct lease_dispatch *dispatch,
			const struct lease_job *job)
{
	get_load(dispatch, job->service)
		->ahead[priority_index(job->priority)] += waiting_work(job);
}

static uint64_t longest_estimate(const struct lease_submission *from)
{
	uint64_t longest = 0;

	for (uint32_t s = 0; s < from->step_count; s++)
		if (from->steps[s].estimate_ms > longest)
			longest = from->steps[s].estimate_ms;
	return longest;
}

/* Expected time in ms from the caller's request to the job's end. */
static uint64_t expected_end(struct service_load *load,
			     const struct lease_submission *from,
			     uint64_t now_ms)
{
	uint64_t own_ms = from->age_ms + longest_estimate(from);
	uint32_t index = priority_index(from->priority);
	double work = 0;
	uint64_t wait_ms;

	for (uint32_t p = 0; p <= index; p++)
		work += load->ahead[p];
	wait_ms = forecast_wait_ms(&load->forecast, index, false, work, now_ms);
	if (own_ms + wait_ms <= from->objective_ms)
		return own_ms + wait_ms;
	/* A late job starts after all jobs that can still be on time. */
	while (++index < FORECAST_PRIORITIES)
		work += load->ahead[index];
	return own_ms + forecast_wait_ms(&load->forecast, from->priority, true,
					 work, now_ms);
}

enum lease_reason lease_check_admission(struct lease_dispatch *dispatch,
					const struct lease_submission *from,
					uint64_t *retry_ms, uint64_t now_ms)
{
	uint64_t latest_ms = from->objective_ms * LEASE_MAX_OBJECTIVE_FACTOR;
	struct service_load *load = get_load(dispatch, from->service);
	uint64_t ends_ms;
	uint64_t own_ms = from->age_ms + longest_estimate(from);

	for (uint32_t s = 0; s < from->step_count; s++)
		if (!place_may_ever_fit(pool_workers(dispatch->pool),
					from->service, &from->steps[s]))
			return LEASE_NEVER_FITS;
	*retry_ms = NO_WORKER_RETRY_MS;
	if (load->usable_milli <= 0 ||
	    now_ms - dispatch->loads_counted_ms > LOADS_MAX_AGE_MS)
		lease_refresh_loads(dispatch, now_ms);
	if (load->usable_milli <= 0)
		return pool_has_unanswered(dispatch->pool, now_ms)
			       ? LEASE_NO_REASON
			       : LEASE_NO_WORKERS;
	ends_ms = expected_end(load, from, now_ms);
	*retry_ms = ends_ms - own_ms +
		    random_below(&dispatch->random, RETRY_SPREAD_MS);
	if (*retry_ms > MAX_RETRY_MS)
		*retry_ms = MAX_RETRY_MS;
	if (latest_ms > from->age_ms + from->remaining_ms)
		latest_ms = from->age_ms + from->remaining_ms;
	if (!dispatch->options.admission || ends_ms <= latest_ms ||
	    ends_ms <= own_ms || pool_is_settling(dispatch->pool, now_ms))
		return LEASE_NO_REASON;
	log_info(LOG_JOB,
		 "job %s: expected to end after %" PRIu64 " ms, limit %" PRIu64
		 " ms; %.0f milli cores usable, counted %" PRIu64
		 " ms ago: refusing it",
		 from->id, ends_ms, latest_ms, load->usable_milli,
		 now_ms - dispatch->loads_counted_ms);
	return LEASE_OVERLOADED;
}

static uint64_t latest_end_ms(const struct lease_job *job)
{
	uint64_t useful_ms = job->objective_ms * LEASE_MAX_OBJECTIVE_FACTOR;
	uint64_t caller_ms = job->deadline_ms - job->received_ms;

	return useful_ms < caller_ms ? useful_ms : caller_ms;
}

void lease_shed(struct lease_dispatch *dispatch, uint64_t now_ms)
{
	struct service_load *load;
	size_t count;

	if (!dispatch->options.admission || now_ms < dispatch->next_shed_ms ||
	    now_ms < dispatch->no_start_until_ms ||
	    pool_is_settling(dispatch->pool, now_ms))
		return;
	dispatch->next_shed_ms = now_ms + SHED_INTERVAL_MS;
	for (load = dispatch->loads; load; load = load->hh.next)
		load->work_before = 0;
	count = lease_sort_jobs(dispatch, now_ms);
	for (size_t i = 0; i < count; i++) {
		struct lease_job *job = dispatch->sorted[i];
		uint64_t wait_ms;

		load = get_load(dispatch, job->service);
		wait_ms = forecast_wait_ms(&load->forecast, job->priority,
					   job->lateness > 0, load->work_before,
					   now_ms);
		if (job->begun || load->usable_milli <= 0 ||
		    now_ms - job->received_ms + wait_ms + job->remaining_ms <=
			    latest_end_ms(job)) {
			load->work_before += waiting_work(job);
			continue;
		}
		log_info(LOG_JOB,
			 "job %s: expected to wait another %" PRIu64
			 " ms, estimate %" PRIu64 " ms, limit %" PRIu64
			 " ms; lateness %u, %.0f milli cores usable: "
			 "refusing it",
			 job->id, wait_ms, job->remaining_ms,
			 latest_end_ms(job), job->lateness, load->usable_milli);
		lease_finish(dispatch, job, LEASE_REFUSED, LEASE_OVERLOADED,
			     now_ms);
	}
}
