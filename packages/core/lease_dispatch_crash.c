#include "core/lease_dispatch_state.h"

#include <inttypes.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"

/* One worker of so many is reserved for suspects at most, and one at least. */
#define RESERVED_DIVISOR 64
#define EXPIRE_INTERVAL_MS 1000
#define JUDGE_INTERVAL_MS 100
/* A crash that is not confirmed by then is about to be dropped. */
#define LOST_FOR_GOOD_MS (CRASH_UNCONFIRMED_KEEP_MS - EXPIRE_INTERVAL_MS)
/* The other workers of its rack have answered by then, unless they are lost. */
#define RACK_ANSWERS_MS 1000
/*
 * A wave: within this time before or after a crash, so many workers and one of
 * so many went by themselves.
 */
#define WAVE_REACH_MS 2000
#define WAVE_MIN_WORKERS 4
#define WAVE_DIVISOR 20
/* Of the estimate: it is off by up to 40%, workers up to 1.6 times as fast. */
#define SHORTEST_RUN_PERCENT 37

struct crash_records *lease_crashes(struct lease_dispatch *dispatch)
{
	return dispatch->crashes;
}

/* Waves */

/* Workers that went within a time, other than by tasks that crash workers. */
struct losses {
	uint32_t unexplained; /* no suspect that ran there is open or guilty */
	uint32_t open; /* a suspect that ran there has not ended yet */
	uint32_t workers;
};

enum explanation {
	LOSS_UNEXPLAINED,
	LOSS_OPEN, /* a task that has not ended is suspected of it */
	LOSS_BY_TASK, /* of one that crashes workers */
};

static bool has_crash(const struct crash_record *record,
		      const struct pool_worker *worker)
{
	for (uint32_t i = 0; i < record->count; i++)
		if (record->crashes[i].worker == worker->key &&
		    record->crashes[i].born_ms == worker->went_born_ms)
			return true;
	return false;
}

/*
 * A suspect whose job has ended otherwise, for example at its deadline,
 * explains nothing: it may have crashed no worker.
 */
static enum explanation explain_loss(struct lease_dispatch *dispatch,
				     const struct pool_worker *worker)
{
	const struct crash_record *record = crash_first(dispatch->crashes);
	bool is_open = false;

	for (; record; record = record->hh.next) {
		if (!has_crash(record, worker))
			continue;
		if (crash_judge(record) == CRASH_GUILTY)
			return LOSS_BY_TASK;
		is_open |= lease_find_task(dispatch, record->task) != NULL;
	}
#ifdef BREAK_UNEXPLAINED_LOSS
	return is_open ? LOSS_OPEN : LOSS_BY_TASK;
#endif
	return is_open ? LOSS_OPEN : LOSS_UNEXPLAINED;
}

/* It may be out of reach until it is back, or its registration has ended. */
static bool has_crashed(const struct pool_worker *worker)
{
	return !worker->registered || worker->born_ms > worker->went_born_ms;
}

static struct losses count_losses(struct lease_dispatch *dispatch,
				  uint64_t at_ms)
{
	struct losses losses = { 0, 0, 0 };
	const struct pool_worker *worker;

	TAILQ_FOREACH(worker, pool_workers(dispatch->pool), entry) {
		bool went = worker->went_ms &&
			    worker->went_ms + WAVE_REACH_MS >= at_ms &&
			    worker->went_ms <= at_ms + WAVE_REACH_MS;
		enum explanation explanation = LOSS_UNEXPLAINED;

		losses.workers += worker->registered || went;
		if (!went)
			continue;
		if (worker->went_suspects)
			explanation = explain_loss(dispatch, worker);
		if (explanation == LOSS_OPEN)
			losses.open++;
		else if (explanation == LOSS_UNEXPLAINED &&
			 has_crashed(worker) && worker->went_leased)
			losses.unexplained++;
	}
	return losses;
}

static bool is_wave(uint32_t lost, uint32_t workers)
{
#ifdef BREAK_CRASH_WAVE
	return false;
#endif
	return lost >= WAVE_MIN_WORKERS && lost >= workers / WAVE_DIVISOR;
}

static bool may_be_wave(const struct losses *losses)
{
	return is_wave(losses->unexplained + losses->open, losses->workers);
}

/*
 * Marks the crashes that fell into a wave, which may become apparent later.
 * Returns true if that is not known yet of a crash.
 */
static bool mark_waves(struct lease_dispatch *dispatch,
		       struct crash_record *record)
{
	bool is_open = false;

	for (uint32_t i = 0; i < record->count; i++) {
		struct crash_note *crash = &record->crashes[i];
		struct losses losses;

		if (crash->is_in_wave)
			continue;
		losses = count_losses(dispatch, crash->noted_ms);
		if (is_wave(losses.unexplained, losses.workers)) {
			crash->is_in_wave = true;
			crash_mark_unsent(dispatch->crashes, record);
		} else {
			is_open |= may_be_wave(&losses);
		}
	}
	return is_open;
}

void lease_clear_suspect(struct lease_dispatch *dispatch, const char *task)
{
	const struct crash_record *record = crash_find(dispatch->crashes, task);

	for (uint32_t i = 0; record && i < record->count; i++)
		pool_clear_suspect(dispatch->pool, record->crashes[i].worker,
				   record->crashes[i].born_ms);
	crash_forget(dispatch->crashes, task);
}

/* Records */

/* What a verdict rests on that is not in the record. */
static void log_losses(struct lease_dispatch *dispatch,
		       const struct crash_record *record, uint64_t last_ms)
{
	struct losses losses = count_losses(dispatch, last_ms);

	log_warning(LOG_JOB,
		    "task %s: within %d ms of its last crash %u of %u workers "
		    "went by themselves, %u may have",
		    record->task, WAVE_REACH_MS, losses.unexplained,
		    losses.workers, losses.open);
}

static void log_verdict(struct lease_dispatch *dispatch,
			const struct crash_record *record,
			enum crash_verdict verdict)
{
	uint32_t alone = 0, confirmed = 0, in_wave = 0, doubtful = 0;
	uint64_t last_ms = 0;

	for (uint32_t i = 0; i < record->count; i++) {
		const struct crash_note *crash = &record->crashes[i];

		alone += crash->is_alone;
		confirmed += crash->is_confirmed;
		in_wave += crash->is_in_wave;
		doubtful += crash->is_doubtful;
		if (crash->noted_ms > last_ms)
			last_ms = crash->noted_ms;
	}
	log_warning(LOG_JOB,
		    "task %s: %u workers crashed under it, %u confirmed, %u "
		    "ran nothing else, %u in a wave, %u perhaps after its end: "
		    "%s",
		    record->task, record->count, confirmed, alone, in_wave,
		    doubtful, crash_verdict_text(verdict));
	if (verdict > CRASH_SUSPECT)
		log_losses(dispatch, record, last_ms);
}

static enum crash_verdict judge(struct lease_dispatch *dispatch,
				struct crash_record *record)
{
	enum crash_verdict verdict = crash_judge(record);
	bool is_open;

	if (verdict != CRASH_GUILTY)
		return verdict;
	is_open = mark_waves(dispatch, record);
	verdict = crash_judge(record);
	if (verdict == CRASH_GUILTY && is_open && !crash_is_full(record))
		return CRASH_UNDECIDED;
	return verdict;
}

/* The verdict has to be taken now that a wave is over, or was none. */
static enum crash_verdict judge_waiting(struct lease_dispatch *dispatch,
					struct crash_record *record,
					uint64_t now_ms)
{
	enum crash_verdict verdict = judge(dispatch, record);
	struct losses losses;

	if (verdict != CRASH_IN_WAVE)
		return verdict;
	losses = count_losses(dispatch, now_ms);
	return may_be_wave(&losses) ? CRASH_IN_WAVE : CRASH_SUSPECT;
}

static void judge_task(struct lease_dispatch *dispatch, const char *name)
{
	struct crash_record *record = crash_find(dispatch->crashes, name);
	struct task *task = lease_find_task(dispatch, name);
	enum crash_verdict verdict = CRASH_NONE;

	if (record) {
		verdict = judge(dispatch, record);
		log_verdict(dispatch, record, verdict);
	}
	if (!task)
		return;
	task->verdict = verdict;
	dispatch->has_guilty |= verdict == CRASH_GUILTY;
}

static void note(struct lease_dispatch *dispatch, const char *name,
		 const struct crash_note *crash)
{
	struct crash_record *record;

	if (!crash_note(dispatch->crashes, name, crash))
		return;
	record = crash_find(dispatch->crashes, name);
	crash_mark_unsent(dispatch->crashes, record);
	judge_task(dispatch, name);
}

static void reserve(struct lease_dispatch *dispatch, struct pool_worker *worker)
{
	if (worker->is_reserved)
		return;
	pool_reserve_worker(dispatch->pool, worker, true);
	dispatch->reserved++;
}

static void unreserve(struct lease_dispatch *dispatch,
		      struct pool_worker *worker)
{
	if (!worker->is_reserved)
		return;
	pool_reserve_worker(dispatch->pool, worker, false);
	dispatch->reserved--;
}

/* Only a run that the worker acknowledged has certainly begun there. */
static bool was_alone(const struct pool_run *run)
{
	const struct pool_worker *worker = run->worker;

	return worker->run_count == 1 && worker->state == POOL_HELD &&
	       run->answered_ms;
}

/*
 * Returns true if the run may have ended between the last answer to a hold and
 * the crash: the next hold found nobody, and the run was long enough.
 */
static bool may_have_ended(const struct pool_run *run)
{
	const struct pool_worker *worker = run->worker;

#ifdef BREAK_CRASH_GAP
	return false;
#endif
	return worker->failures && worker->lost_by == POOL_REFUSED &&
	       worker->lost_ms > run->answered_ms &&
	       (worker->lost_ms - run->answered_ms) * 100 >=
		       (uint64_t)run->estimate_ms * SHORTEST_RUN_PERCENT;
}

/* Not before the start was acknowledged, nor after a stop was sent. */
static bool was_under_way(const struct pool_run *run)
{
	return run->answered_ms && run->state == POOL_ACTIVE &&
	       !may_have_ended(run);
}

static bool has_gone_before(const struct lease_dispatch *dispatch,
			    const char *task)
{
	return crash_find(dispatch->crashes, task) ||
	       crash_find(dispatch->unlikely, task);
}

/* Counts a task's unlikely crash, now that another worker has gone under it. */
static void note_unlikely(struct lease_dispatch *dispatch, const char *task)
{
	const struct crash_record *record =
		crash_find(dispatch->unlikely, task);

	if (!record)
		return;
	note(dispatch, task, &record->crashes[0]);
	crash_forget(dispatch->unlikely, task);
}

/* Returns the crash that an unlocated run may have gone with; NULL: none. */
static struct crash_note *find_unlocated(const struct lease_dispatch *dispatch,
					 const struct pool_run *run)
{
	struct crash_record *record =
		crash_find(dispatch->unlocated, run->name);

	for (uint32_t i = 0; record && i < record->count; i++)
		if (record->crashes[i].worker == run->worker->key)
			return &record->crashes[i];
	return NULL;
}

/* Of several restarts, the first one is the most likely to concern the run. */
static void note_unlocated(struct lease_dispatch *dispatch,
			   const struct pool_run *run,
			   const struct crash_note *crash)
{
	if (!find_unlocated(dispatch, run))
		crash_put(dispatch->unlocated, run->name, crash);
}

void lease_on_worker_gone(void *ctx, struct pool_worker *worker,
			  enum pool_crash how, uint64_t now_ms)
{
	static const char *const words[] = {
		[POOL_CRASH_CERTAIN] = "crashed",
		[POOL_CRASH_LIKELY] = "crashed or out of reach",
		[POOL_CRASH_UNLIKELY] = "silent with others of its rack",
	};
	struct lease_dispatch *dispatch = ctx;
	const struct pool_run *run;

	log_warning(LOG_TARGET,
		    "worker %s: went with %u runs, %s; %s (first failed hold: "
		    "%s)",
		    worker->id, worker->run_count, words[how],
		    worker->went_seen ? "seen under its lease"
				      : "perhaps after its lease",
		    worker->failures ? pool_answer_text(worker->lost_by)
				     : "none");
	counter_add(COUNTER_WORKERS_CRASHED, how != POOL_CRASH_UNLIKELY);
	LIST_FOREACH(run, &worker->runs, in_worker) {
		struct crash_note crash = {
			.worker = worker->key,
			.born_ms = worker->born_ms,
			.noted_ms = now_ms,
			.is_alone = was_alone(run),
			.is_confirmed = how == POOL_CRASH_CERTAIN,
			.is_doubtful =
				!worker->went_seen || !was_under_way(run),
		};

		if (run->is_unlocated) {
			note_unlocated(dispatch, run, &crash);
			continue;
		}
		if (how == POOL_CRASH_UNLIKELY &&
		    !has_gone_before(dispatch, run->name)) {
			crash_put(dispatch->unlikely, run->name, &crash);
			continue;
		}
		note_unlikely(dispatch, run->name);
		note(dispatch, run->name, &crash);
	}
	unreserve(dispatch, worker);
}

/* Other members have the crash, and would confirm it at a later restart. */
static void announce_withdrawal(struct lease_dispatch *dispatch,
				const char *task,
				const struct crash_note *crash)
{
	struct crash_note withdrawn = *crash;

	withdrawn.is_withdrawn = true;
	crash_put(dispatch->ahead, task, &withdrawn);
}

/* Others may have been told of it as an unconfirmed crash of that process. */
static void withdraw_unlocated(struct lease_dispatch *dispatch,
			       const struct pool_run *run,
			       const struct crash_note *crash)
{
	pool_clear_suspect(dispatch->pool, crash->worker, crash->born_ms);
	announce_withdrawal(dispatch, run->name, crash);
}

void lease_on_run_located(void *ctx, const struct pool_run *run,
			  enum pool_location location)
{
	struct lease_dispatch *dispatch = ctx;
	const struct crash_note *noted = find_unlocated(dispatch, run);
	struct crash_note crash;
	struct crash_record *record;

	if (!noted)
		return;
	crash = *noted;
	record = crash_find(dispatch->unlocated, run->name);
	crash_withdraw(dispatch->unlocated, record,
		       (uint32_t)(noted - record->crashes));
	if (location == POOL_IN_NEXT_PROCESS) {
		withdraw_unlocated(dispatch, run, &crash);
		return;
	}
	note_unlikely(dispatch, run->name);
	note(dispatch, run->name, &crash);
}

void lease_announce_start(struct lease_dispatch *dispatch, const char *task,
			  const struct pool_worker *worker, bool is_alone,
			  uint64_t now_ms)
{
	struct crash_note crash = {
		.worker = worker->key,
		.born_ms = worker->born_ms,
		.noted_ms = now_ms,
		.is_alone = is_alone,
		.is_doubtful = true,
	};

	if (is_alone) {
		log_info(LOG_DISPATCH,
			 "task %s: suspect, tried alone on worker %s", task,
			 worker->id);
		counter_add(COUNTER_TASKS_TRIED_ALONE, 1);
	}
	if (worker->born_ms)
		crash_put(dispatch->ahead, task, &crash);
}

/* The next leader confirms the crash if the run was in the former process. */
static void announce_unlocated(struct lease_dispatch *dispatch,
			       const struct pool_run *run)
{
	const struct crash_note *noted = find_unlocated(dispatch, run);
	struct crash_note crash;

	if (!noted)
		return;
	crash = *noted;
	crash.is_confirmed = false;
	crash.is_doubtful = true;
	crash_put(dispatch->ahead, run->name, &crash);
}

static void announce_open_run(struct lease_dispatch *dispatch,
			      const struct pool_run *run)
{
	struct crash_note crash = {
		.worker = run->worker->key,
		.born_ms = run->worker->born_ms,
		.noted_ms = run->sent_ms,
		.is_alone = was_alone(run),
		.is_doubtful = true,
	};

	if (run->is_unlocated)
		announce_unlocated(dispatch, run);
	else if (crash.born_ms)
		crash_put(dispatch->ahead, run->name, &crash);
}

void lease_announce_open_runs(struct lease_dispatch *dispatch)
{
	const struct pool_worker *worker;
	const struct pool_run *run;

	TAILQ_FOREACH(worker, pool_workers(dispatch->pool), entry)
		LIST_FOREACH(run, &worker->runs, in_worker)
			announce_open_run(dispatch, run);
	crash_clear(dispatch->unlocated);
}

void lease_announce_end(struct lease_dispatch *dispatch,
			const struct pool_run *run, enum pool_end how,
			uint64_t now_ms)
{
	struct crash_note crash = {
		.worker = run->worker->key,
		.born_ms = run->worker->born_ms,
		.noted_ms = now_ms,
		.is_withdrawn = true,
	};

	if (how != POOL_CRASHED && how != POOL_LAPSED && crash.born_ms)
		crash_put(dispatch->ahead, run->name, &crash);
}

struct crash_records *lease_crashes_ahead(struct lease_dispatch *dispatch)
{
	return dispatch->ahead;
}

/* Verdicts */

static bool is_task_of(const char *name, const struct lease_job *job)
{
	size_t len = strlen(job->id);

	return !strncmp(name, job->id, len) && name[len] == '.';
}

static void give_up(struct lease_dispatch *dispatch, struct lease_job *job,
		    const char *task, uint64_t now_ms)
{
	log_warning(LOG_JOB, "job %s: given up, task %s crashes workers",
		    job->id, task);
	counter_add(COUNTER_JOBS_CRASHED, 1);
	lease_finish(dispatch, job, LEASE_FAILED, LEASE_CRASHES, now_ms);
}

/* No other task starts beside a suspect that already runs. */
static void isolate(struct lease_dispatch *dispatch, struct task *task)
{
	if (task->run)
		reserve(dispatch, task->run->worker);
}

bool lease_judge_job(struct lease_dispatch *dispatch, struct lease_job *job,
		     uint64_t now_ms)
{
	struct crash_record *record = crash_first(dispatch->crashes);

	for (; record; record = record->hh.next) {
		struct task *task;

		if (!is_task_of(record->task, job))
			continue;
		task = lease_find_task(dispatch, record->task);
		if (!task || task->state == TASK_DONE)
			continue;
		task->verdict = judge(dispatch, record);
		if (task->verdict == CRASH_GUILTY) {
			give_up(dispatch, job, record->task, now_ms);
			return false;
		}
		isolate(dispatch, task);
	}
	return true;
}

bool lease_may_start(struct lease_dispatch *dispatch, struct task *task,
		     uint64_t now_ms)
{
	char name[STEP_JOB_TASK_BYTES];
	struct crash_record *record;
	enum crash_verdict verdict = CRASH_NONE;

	if (task->verdict <= CRASH_SUSPECT)
		return true;
	if (!dispatch->judges_waiting)
		return false;
	lease_name_task(name, task);
	record = crash_find(dispatch->crashes, name);
	if (record)
		verdict = judge_waiting(dispatch, record, now_ms);
	if (record && verdict != task->verdict)
		log_verdict(dispatch, record, verdict);
	task->verdict = verdict;
	dispatch->has_guilty |= verdict == CRASH_GUILTY;
	return verdict <= CRASH_SUSPECT;
}

void lease_apply_crashes(struct lease_dispatch *dispatch, uint64_t now_ms)
{
	struct crash_record *record = crash_first(dispatch->crashes);

	dispatch->has_guilty = false;
	for (; record; record = record->hh.next) {
		struct task *task = lease_find_task(dispatch, record->task);

		if (!task || task->state == TASK_DONE)
			continue;
		task->verdict = judge(dispatch, record);
		if (task->verdict == CRASH_GUILTY)
			give_up(dispatch, task->job, record->task, now_ms);
		else
			isolate(dispatch, task);
	}
}

/* Confirmation */

enum fate { FATE_UNKNOWN, FATE_CRASHED, FATE_LIVES };

/* The worker has restarted, by itself or with its rack. */
static enum fate find_rack_fate(const struct lease_dispatch *dispatch,
				const struct pool_worker *worker,
				const struct crash_note *crash, uint64_t now_ms)
{
	uint64_t since_ms = crash->noted_ms;

	if (worker->draining)
		return FATE_LIVES;
	if (pool_rack_state(dispatch->pool, worker, crash->noted_ms) !=
	    POOL_RACK_LOST)
		return FATE_CRASHED;
	if (worker->restarted_ms > since_ms)
		since_ms = worker->restarted_ms;
	return now_ms - since_ms > RACK_ANSWERS_MS ? FATE_LIVES : FATE_UNKNOWN;
}

/*
 * A registration also lapses behind a cut, while its worker lives: only the
 * longest silence proves a crash.
 */
static enum fate find_unlisted_fate(const struct pool_worker *worker,
				    const struct crash_note *crash,
				    uint64_t now_ms)
{
	if (worker->draining)
		return FATE_LIVES;
#ifdef BREAK_UNLISTED_CRASH
	return FATE_CRASHED;
#endif
	return now_ms - crash->noted_ms >= LOST_FOR_GOOD_MS ? FATE_CRASHED
							    : FATE_UNKNOWN;
}

static enum fate find_fate(struct lease_dispatch *dispatch,
			   const struct crash_note *crash, uint64_t now_ms)
{
	const struct pool_worker *worker =
		pool_find_by_key(dispatch->pool, crash->worker);

	if (worker && worker->born_ms > crash->born_ms)
		return find_rack_fate(dispatch, worker, crash, now_ms);
	if (worker && worker->state == POOL_HELD && !worker->failures &&
	    worker->answered_ms > crash->noted_ms)
		return FATE_LIVES;
	if (worker && !worker->registered)
		return find_unlisted_fate(worker, crash, now_ms);
	return FATE_UNKNOWN;
}

/* May free the record. */
static void settle_record(struct lease_dispatch *dispatch,
			  struct crash_record *record, uint64_t now_ms)
{
	char name[STEP_JOB_TASK_BYTES];
	uint32_t count = record->count;
	bool has_changed = false;

	memcpy(name, record->task, sizeof(name));
	for (uint32_t i = count; i-- > 0;) {
		struct crash_note *crash = &record->crashes[i];
		enum fate fate = crash->is_confirmed
					 ? FATE_UNKNOWN
					 : find_fate(dispatch, crash, now_ms);

		has_changed |= fate != FATE_UNKNOWN;
		if (fate == FATE_CRASHED) {
			crash->is_confirmed = true;
			crash_mark_unsent(dispatch->crashes, record);
		} else if (fate == FATE_LIVES) {
			announce_withdrawal(dispatch, name, crash);
			crash_withdraw(dispatch->crashes, record, i);
			if (!--count)
				break; /* the record is freed */
		}
	}
	if (has_changed)
		judge_task(dispatch, name);
}

static void settle(struct lease_dispatch *dispatch, uint64_t now_ms)
{
	struct crash_record *record = crash_first(dispatch->crashes);
	struct crash_record *next;

	for (; record; record = next) {
		next = record->hh.next;
		settle_record(dispatch, record, now_ms);
	}
}

/* Notes the unlikely crashes that have turned out to be crashes. */
static void settle_unlikely(struct lease_dispatch *dispatch, uint64_t now_ms)
{
	struct crash_record *record = crash_first(dispatch->unlikely);
	struct crash_record *next;

	for (; record; record = next) {
		struct crash_note crash = record->crashes[0];
		enum fate fate = find_fate(dispatch, &crash, now_ms);

		next = record->hh.next;
		if (fate == FATE_UNKNOWN)
			continue;
		crash.is_confirmed = true;
		if (fate == FATE_CRASHED)
			note(dispatch, record->task, &crash);
		crash_withdraw(dispatch->unlikely, record, 0);
	}
}

/* Trials */

static bool may_run(const struct place_request *request,
		    const struct pool_slot *slot)
{
	const struct pool_worker *worker = slot->worker;

	return pool_is_usable(worker, request->now_ms) &&
	       place_suits_empty(request, slot);
}

/* Returns true if a will be free before b, as far as is known. */
static bool is_emptier(const struct pool_slot *a, const struct pool_slot *b)
{
	if (a->worker->run_count != b->worker->run_count)
		return a->worker->run_count < b->worker->run_count;
	return a->speed > b->speed;
}

/* Where a suspect may run, and where it ran last. */
struct lonely_slots {
	const struct pool_slot *reserved; /* and free */
	const struct pool_slot *other; /* the emptiest that is not reserved */
	const struct pool_slot *avoided;
	uint32_t busy; /* reserved workers that are not free yet */
};

static struct lonely_slots find_lonely(const struct lease_dispatch *dispatch,
				       const struct place_request *request)
{
	struct lonely_slots found = { NULL, NULL, NULL, 0 };
	const struct pool_slot *slots;
	size_t count;

	slots = pool_slots(dispatch->pool, &count);
	for (size_t i = 0; i < count; i++) {
		const struct pool_slot *slot = &slots[i];
		const struct pool_worker *worker = slot->worker;

		if (worker->is_reserved && worker->run_count)
			found.busy++;
		else if (!may_run(request, slot))
			continue;
		else if (request->avoid && !strcmp(request->avoid, worker->id))
			found.avoided = slot;
		else if (worker->is_reserved)
			found.reserved = slot;
		else if (!found.other || is_emptier(slot, found.other))
			found.other = slot;
	}
	return found;
}

struct pool_worker *lease_pick_alone(struct lease_dispatch *dispatch,
				     const struct place_request *request)
{
	struct lonely_slots found;
	const struct pool_slot *best;
	size_t count;

	if (dispatch->is_alone_full)
		return NULL;
	found = find_lonely(dispatch, request);
	best = found.reserved;
	if (!best && found.other && found.avoided)
		unreserve(dispatch, found.avoided->worker);
	pool_slots(dispatch->pool, &count);
	if (!best && dispatch->reserved < 1 + count / RESERVED_DIVISOR)
		best = found.other ? found.other : found.avoided;
	if (!best) {
		dispatch->is_alone_full = found.busy >= dispatch->reserved;
		return NULL;
	}
	/* Suspects before it wait for the reserved workers. */
	if (best->worker->run_count && found.busy > dispatch->unplaced_suspects)
		return NULL;
	reserve(dispatch, best->worker);
	return best->worker->run_count ? NULL : best->worker;
}

static void free_reserved(struct lease_dispatch *dispatch, uint64_t now_ms)
{
	struct pool_worker *worker;
	uint32_t waiting = dispatch->unplaced_suspects;

	TAILQ_FOREACH(worker, pool_workers(dispatch->pool), entry) {
		if (!worker->is_reserved)
			continue;
		if (waiting && pool_is_usable(worker, now_ms)) {
			waiting--;
			continue;
		}
		if (worker->run_count)
			continue;
		unreserve(dispatch, worker);
	}
}

void lease_tick_crashes(struct lease_dispatch *dispatch, uint64_t now_ms)
{
	dispatch->judges_waiting = dispatch->next_judge_ms <= now_ms;
	if (dispatch->judges_waiting)
		dispatch->next_judge_ms = now_ms + JUDGE_INTERVAL_MS;
	if (dispatch->next_expire_ms <= now_ms) {
		crash_expire(dispatch->crashes, now_ms);
		crash_expire(dispatch->unlikely, now_ms);
		dispatch->next_expire_ms = now_ms + EXPIRE_INTERVAL_MS;
	}
	if (!pool_leads(dispatch->pool))
		return;
	settle_unlikely(dispatch, now_ms);
	if (crash_first(dispatch->crashes)) {
		settle(dispatch, now_ms);
		if (dispatch->has_guilty)
			lease_apply_crashes(dispatch, now_ms);
	}
	if (dispatch->reserved)
		free_reserved(dispatch, now_ms);
}
