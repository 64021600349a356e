#include "core/lease_pool_state.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "core/crash_record.h"

/*
 * Ticks are 20 ms apart. After a longer gap, answers may still be queued in
 * this process, so that unanswered starts are not probed.
 */
#define LATE_TICK_MS 40
/* A worker that is silent for longer is most likely lost or cut off. */
#define SHORT_SILENCE_MS 1000
/* Workers of a rack that is lost restart within this time of each other. */
#define RACK_RESTART_MS 1000

/* talloc frees the entries, but not the hash tables. */
static int destroy(struct lease_pool *pool)
{
	HASH_CLEAR(hh, pool->by_id);
	HASH_CLEAR(hh_key, pool->by_key);
	HASH_CLEAR(hh, pool->by_token);
	HASH_CLEAR(hh, pool->found);
	HASH_CLEAR(hh, pool->orders);
	return 0;
}

struct lease_pool *pool_create(TALLOC_CTX *mem,
			       const struct pool_options *options)
{
	struct lease_pool *pool = talloc_zero(mem, struct lease_pool);

	pool->options = *options;
	pool->ports = options->ports;
	TAILQ_INIT(&pool->workers);
	LIST_INIT(&pool->taskless);
	pool->late_tasks = late_create(pool);
	pool->room_version = 1;
	talloc_set_destructor(pool, destroy);
	return pool;
}

const struct pool_worker_list *pool_workers(const struct lease_pool *pool)
{
	return &pool->workers;
}

struct late_tasks *pool_late_tasks(struct lease_pool *pool)
{
	return pool->late_tasks;
}

bool pool_leads(const struct lease_pool *pool)
{
	return pool->fence != 0;
}

struct pool_worker *pool_find_worker(struct lease_pool *pool, const char *id)
{
	struct pool_worker *worker;

	HASH_FIND_STR(pool->by_id, id, worker);
	return worker;
}

uint64_t pool_fence_of(const struct lease_pool *pool,
		       const struct pool_worker *worker)
{
	return pool->fence + worker->raised_by;
}

void pool_raise_fence(struct lease_pool *pool, struct pool_worker *worker)
{
	worker->raised_by += POOL_FENCE_STEP;
	if (pool_fence_of(pool, worker) > pool->highest_fence)
		pool->highest_fence = pool_fence_of(pool, worker);
}

uint64_t pool_highest_fence(const struct lease_pool *pool)
{
	return pool->fence ? pool->highest_fence : 0;
}

static bool is_rack_mate(const struct pool_worker *a,
			 const struct pool_worker *b)
{
	char **x = a->labels;
	char **y = b->labels;

	if (a == b || !a->data_centre || !b->data_centre ||
	    strcmp(a->data_centre, b->data_centre) != 0)
		return false;
	for (; x && y && *x && *y; x++, y++)
		if (strcmp(*x, *y) != 0)
			return false;
	return true;
}

static bool was_lost(const struct pool_worker *worker, uint64_t since_ms)
{
	return worker->failures ||
	       (worker->restarted_ms &&
		worker->restarted_ms + RACK_RESTART_MS > since_ms);
}

enum pool_rack pool_rack_state(const struct lease_pool *pool,
			       const struct pool_worker *worker,
			       uint64_t since_ms)
{
	enum pool_rack state = POOL_RACK_UNKNOWN;
	const struct pool_worker *mate;

#ifdef BREAK_RACK
	return POOL_RACK_LIVES;
#endif
	TAILQ_FOREACH(mate, &pool->workers, entry) {
		if (mate->draining || !is_rack_mate(mate, worker))
			continue;
		if (was_lost(mate, since_ms))
			state = POOL_RACK_LOST;
		else if (mate->state == POOL_HELD &&
			 mate->answered_ms >= since_ms)
			return POOL_RACK_LIVES;
	}
	return state;
}

/* Asks the rack mates of a silent worker whether they live. */
static void probe_rack_mates(struct lease_pool *pool,
			     struct pool_worker *worker, uint64_t now_ms)
{
	struct pool_worker *mate;

	worker->mates_probed = true;
	TAILQ_FOREACH(mate, &pool->workers, entry)
		if (mate->state == POOL_HELD && !mate->hold_pending &&
		    !mate->failures && is_rack_mate(mate, worker))
			pool_send_hold(pool, mate, 0, now_ms);
}

/*
 * Notes that the worker's process has crashed or is out of reach, whether it
 * ran tasks or not; unless it left as planned.
 */
static void note_went(const struct lease_pool *pool, struct pool_worker *worker,
		      uint64_t now_ms)
{
	if (!worker->born_ms || worker->draining ||
	    worker->went_born_ms == worker->born_ms)
		return;
	worker->went_ms = now_ms;
	worker->went_born_ms = worker->born_ms;
	worker->went_leased = pool->fence && worker->state == POOL_HELD;
	worker->went_suspects = worker->run_count;
}

void pool_clear_suspect(struct lease_pool *pool, uint64_t key, uint64_t born_ms)
{
	struct pool_worker *worker;

	HASH_FIND(hh_key, pool->by_key, &key, sizeof(key), worker);
	if (worker && worker->went_born_ms == born_ms && worker->went_suspects)
		worker->went_suspects--;
}

/*
 * Returns true if the process is known to have ended while its runs were under
 * way: a call shows that, or a restart does, before the lease lapsed. Behind a
 * cut, runs may have ended before the process did, so no answer to a hold may
 * be missing: it may have listed their ends. Without the list of workers, a
 * planned leave looks the same.
 */
static bool is_seen_going(const struct lease_pool *pool,
			  const struct pool_worker *worker, uint64_t now_ms)
{
#ifdef BREAK_CRASH_TIME
	return true;
#endif
#ifdef BREAK_CRASH_SEEN
	return false;
#endif
	if (worker->state != POOL_HELD || worker->replaced_holds ||
	    worker->answer_lost || !pool->list_followed_ms)
		return false;
	if (!worker->failures)
		return !worker->hold_pending && now_ms <= worker->held_until_ms;
	if (worker->hold_pending && worker->hold_sent_ms < worker->closed_ms)
		return false;
	return worker->closed_ms && worker->closed_ms <= worker->held_until_ms;
}

/*
 * Reports a worker that restarted or fell silent under its runs, unless it left
 * as planned. Returns true if it has crashed.
 */
static bool note_gone(struct lease_pool *pool, struct pool_worker *worker,
		      bool is_restarted, uint64_t now_ms)
{
	uint64_t since_ms =
		worker->lost_ms ? worker->lost_ms : worker->answered_ms;
	enum pool_crash crash = POOL_CRASH_LIKELY;
	enum pool_rack rack;

	note_went(pool, worker, now_ms);
	if (!worker->run_count || !worker->born_ms || worker->draining)
		return false;
	worker->went_seen = is_seen_going(pool, worker, now_ms);
	rack = pool_rack_state(pool, worker, since_ms);
	if (is_restarted && rack != POOL_RACK_LOST)
		crash = POOL_CRASH_CERTAIN;
	else if (!is_restarted && rack == POOL_RACK_LOST)
		crash = POOL_CRASH_UNLIKELY;
	pool->options.worker_gone(pool->options.ctx, worker, crash, now_ms);
	if (crash == POOL_CRASH_LIKELY)
		probe_rack_mates(pool, worker, now_ms);
	return crash == POOL_CRASH_CERTAIN;
}

const struct pool_worker *pool_find_by_key(const struct lease_pool *pool,
					   uint64_t key)
{
	struct pool_worker *worker;

	HASH_FIND(hh_key, pool->by_key, &key, sizeof(key), worker);
	return worker;
}

void pool_reset_worker(struct lease_pool *pool, struct pool_worker *worker,
		       uint64_t now_ms)
{
	enum pool_end how = note_gone(pool, worker, true, now_ms) ? POOL_CRASHED
								  : POOL_LAPSED;

	pool_close_previous_runs(pool, worker, how, now_ms);
	pool_reopen_late_starts(pool, worker, now_ms);
	worker->restarted_ms = now_ms;
	worker->is_replaced = false;
	worker->lost_ms = 0;
	worker->held_until_ms = 0;
	worker->mates_probed = false;
	worker->state = POOL_UNHELD;
#ifndef BREAK_FENCE_STEP
	pool_raise_fence(pool, worker);
#endif
	worker->is_capacity_known = false;
	pool_forget_holds(pool, worker);
	worker->ends_read = worker->ends_acked = 0;
	worker->clock_ms = 0;
	worker->lease_until_ms = pool_lapse_ms(pool, now_ms);
	worker->failures = 0;
	worker->retry_ms = 0;
	worker->blocked_until_ms = 0;
	worker->failed_streak = worker->open_rounds = 0;
	worker->speed = 1.0;
	pool_update_slot(pool, worker);
}

static void add_slot(struct lease_pool *pool, struct pool_worker *worker)
{
	size_t room = talloc_array_length(pool->slots);

	if (pool->slot_count == room)
		pool->slots =
			talloc_realloc(pool, pool->slots, struct pool_slot,
				       room ? room * 2 : 64);
	worker->slot = pool->slot_count++;
	pool_update_slot(pool, worker);
}

static void remove_slot(struct lease_pool *pool, size_t index)
{
	pool->slots[index] = pool->slots[--pool->slot_count];
	pool->slots[index].worker->slot = index;
}

void pool_update_slot(struct lease_pool *pool, struct pool_worker *worker)
{
	struct pool_slot *slot = &pool->slots[worker->slot];
	uint32_t capacity = worker->capacity.cpu_milli;
	uint32_t used = worker->used.cpu_milli;

	slot->worker = worker;
	slot->speed = worker->speed;
	slot->spare_milli =
		capacity > used && !worker->is_reserved ? capacity - used : 0;
	pool->room_version++;
}

void pool_reserve_worker(struct lease_pool *pool, struct pool_worker *worker,
			 bool is_reserved)
{
	worker->is_reserved = is_reserved;
	pool_update_slot(pool, worker);
}

const struct pool_slot *pool_slots(const struct lease_pool *pool, size_t *count)
{
	*count = pool->slot_count;
	return pool->slots;
}

uint64_t pool_room_version(const struct lease_pool *pool)
{
	return pool->room_version;
}

static void free_worker(struct lease_pool *pool, struct pool_worker *worker)
{
	pool_forget_orders(pool, worker);
	TAILQ_REMOVE(&pool->workers, worker, entry);
	HASH_REMOVE(pool->by_id, worker);
	if (pool->by_key)
		HASH_DELETE(hh_key, pool->by_key, worker);
	remove_slot(pool, worker->slot);
	talloc_free(worker);
}

static struct pool_worker *add_worker(struct lease_pool *pool, const char *id)
{
	struct pool_worker *worker = talloc_zero(pool, struct pool_worker);

	worker->id = talloc_strdup(worker, id);
	/* A worker of that id may have been removed. */
	worker->raised_by = pool->highest_fence - pool->fence;
	worker->key = crash_worker_key(id);
	worker->speed = 1.0;
	LIST_INIT(&worker->runs);
	LIST_INIT(&worker->late_starts);
	TAILQ_INIT(&worker->orders);
	add_slot(pool, worker);
	HASH_ADD_KEYPTR(hh, pool->by_id, worker->id, strlen(worker->id),
			worker);
	HASH_ADD(hh_key, pool->by_key, key, sizeof(worker->key), worker);
	TAILQ_INSERT_TAIL(&pool->workers, worker, entry);
	return worker;
}

static void set_text(TALLOC_CTX *mem, char **field, const char *text)
{
	if (*field && !strcmp(*field, text))
		return;
	talloc_free(*field);
	*field = talloc_strdup(mem, text);
}

static void set_labels(struct pool_worker *worker, const char *const *labels)
{
	size_t count = 0;

	while (labels && labels[count])
		count++;
	talloc_free(worker->labels);
	worker->labels = talloc_zero_array(worker, char *, count + 1);
	for (size_t i = 0; i < count; i++)
		worker->labels[i] = talloc_strdup(worker->labels, labels[i]);
}

/* Returns true for a registration of an earlier process, or a late one. */
static bool is_outdated(const struct pool_worker *worker,
			const struct pool_registration *registration,
			uint64_t now_ms)
{
	if (registration->born_ms && registration->born_ms < worker->born_ms)
		return true;
#ifdef BREAK_REPORT_ORDER
	return false;
#endif
	return registration->born_ms == worker->report_born_ms &&
	       registration->report < worker->report &&
	       now_ms - worker->report_read_ms < POOL_LATE_REPORT_MS;
}

static void log_outdated(const struct pool_worker *worker,
			 const struct pool_registration *registration,
			 uint64_t now_ms)
{
	log_info(LOG_TARGET,
		 "worker %s: report %" PRIu64 " (%s, started at %" PRIu64
		 " ms) is older than report %" PRIu64 " (started at %" PRIu64
		 " ms), read %" PRIu64 " ms ago; ignored",
		 worker->id, registration->report,
		 registration->draining ? "draining" : "ready",
		 registration->born_ms, worker->report, worker->report_born_ms,
		 now_ms - worker->report_read_ms);
}

static void note_report(struct pool_worker *worker,
			const struct pool_registration *registration,
			uint64_t now_ms)
{
	if (registration->report == worker->report &&
	    registration->born_ms == worker->report_born_ms)
		return;
	worker->report = registration->report;
	worker->report_born_ms = registration->born_ms;
	worker->report_read_ms = now_ms;
}

bool pool_register_worker(struct lease_pool *pool,
			  const struct pool_registration *registration,
			  uint64_t now_ms)
{
	struct pool_worker *worker = pool_find_worker(pool, registration->id);

	if (!worker) {
		worker = add_worker(pool, registration->id);
	} else if (is_outdated(worker, registration, now_ms)) {
		log_outdated(worker, registration, now_ms);
		return false;
	} else if (registration->born_ms > worker->born_ms) {
		pool_mark_unlocated(worker);
		pool_reset_worker(pool, worker, now_ms);
	}
	/* pool_note_list_read reports the first listing as a whole. */
	if (pool->list_followed_ms &&
	    (!worker->registered || worker->draining != registration->draining))
		log_info(LOG_TARGET,
			 "worker %s at %s: registered for service %s, %s, %u "
			 "milli cores, started at %" PRIu64 " ms, report "
			 "%" PRIu64,
			 registration->id, registration->address,
			 registration->service,
			 registration->draining ? "draining" : "ready",
			 registration->capacity.cpu_milli,
			 registration->born_ms, registration->report);
	note_report(worker, registration, now_ms);
	if (registration->born_ms > worker->born_ms) {
		worker->born_ms = registration->born_ms;
		worker->is_born_answered = false;
	}
	set_text(worker, &worker->address, registration->address);
	set_text(worker, &worker->service, registration->service);
	set_text(worker, &worker->data_centre, registration->data_centre);
	set_labels(worker, registration->labels);
	worker->capacity = registration->capacity;
	worker->is_capacity_known = true;
	worker->draining = registration->draining;
	worker->registered = true;
	pool_update_slot(pool, worker);
	return true;
}

void pool_unregister_worker(struct lease_pool *pool, const char *id,
			    uint64_t now_ms)
{
	struct pool_worker *worker = pool_find_worker(pool, id);

	if (!worker || !worker->registered)
		return;
	worker->unregistered_ms = now_ms;
	log_info(LOG_TARGET, "worker %s: registration removed, %u open runs",
		 id, worker->run_count);
	worker->registered = false;
}

static bool is_in_service(const struct pool_worker *worker, uint64_t now_ms)
{
	return worker->state == POOL_HELD && worker->registered &&
	       !worker->draining && worker->failures < POOL_LOST_HOLDS &&
	       worker->blocked_until_ms <= now_ms;
}

/* Not while a run may use any part of the capacity, also one being stopped. */
static bool is_room_known(const struct pool_worker *worker)
{
#ifndef BREAK_RESTART_ROOM
	if (!worker->is_capacity_known)
		return false;
#endif
#ifdef BREAK_FOUND_ROOM
	return true;
#endif
	return !worker->unsized_count;
}

bool pool_is_usable(const struct pool_worker *worker, uint64_t now_ms)
{
	/* A start renews the lease of all runs on the worker. */
	return is_in_service(worker, now_ms) && pool_may_renew(worker) &&
	       pool_may_grant(worker, now_ms) && is_room_known(worker);
}

/* Returns true if the first hold of this leader has no result yet. */
static bool awaits_first_answer(const struct pool_worker *worker)
{
	return worker->state == POOL_UNHELD && worker->registered &&
	       !worker->draining && !worker->failures;
}

static bool is_silent_for_a_moment(const struct pool_worker *worker,
				   uint64_t now_ms)
{
	return worker->state != POOL_FOREIGN && worker->registered &&
	       !worker->draining && worker->failures && worker->silent_ms &&
	       now_ms - worker->silent_ms < SHORT_SILENCE_MS;
}

bool pool_counts_as_capacity(const struct pool_worker *worker, uint64_t now_ms)
{
	return is_in_service(worker, now_ms) || awaits_first_answer(worker) ||
	       is_silent_for_a_moment(worker, now_ms);
}

static bool fits(uint32_t capacity, uint32_t used, uint32_t demand)
{
#ifdef BREAK_ROOM_SUM
	return used + demand <= capacity;
#endif
	return used <= capacity && demand <= capacity - used;
}

bool pool_fits(const struct pool_worker *worker,
	       const struct step_job_demand *demand)
{
	const struct step_job_demand *c = &worker->capacity;
	const struct step_job_demand *u = &worker->used;

	return fits(c->cpu_milli, u->cpu_milli, demand->cpu_milli) &&
	       fits(c->mem_mb, u->mem_mb, demand->mem_mb) &&
	       fits(c->accelerators, u->accelerators, demand->accelerators);
}

void pool_note_list_read(struct lease_pool *pool, uint64_t followed_ms)
{
	struct pool_worker *worker;
	uint32_t registered = 0, draining = 0;
	bool is_anew = pool->list_followed_ms != 0;
	uint64_t lists_until_ms = followed_ms + POOL_FIRST_LISTS_MS;

	pool->list_followed_ms = followed_ms;
	if (lists_until_ms > pool->first_lists_until_ms)
		pool->first_lists_until_ms = lists_until_ms;
	TAILQ_FOREACH(worker, &pool->workers, entry) {
		worker->owes_first_list |= worker->state == POOL_UNHELD;
		registered += worker->registered;
		draining += worker->registered && worker->draining;
	}
	log_info(LOG_TARGET,
		 "list of workers read%s: %u registered, %u of them draining",
		 is_anew ? " anew" : "", registered, draining);
}

void pool_note_list_current(struct lease_pool *pool, uint64_t as_of_ms)
{
	if (as_of_ms > pool->list_current_ms)
		pool->list_current_ms = as_of_ms;
}

void pool_note_list_dropped(struct lease_pool *pool)
{
	pool->list_followed_ms = 0;
}

const char *pool_gap_text(enum pool_gap gap)
{
	static const char *const texts[POOL_GAP_COUNT] = {
		[POOL_NO_GAP] = "all workers are held",
		[POOL_LIST_NOT_READ] = "the list of workers is not read",
		[POOL_LIST_READ_ANEW] = "the list of workers was read anew",
		[POOL_WORKER_REMOVED] = "a registration was removed",
		[POOL_WORKER_NOT_HELD] = "a worker is not held",
	};

	return texts[gap];
}

static enum pool_gap find_list_gap(const struct lease_pool *pool,
				   uint64_t now_ms)
{
	if (!pool->list_followed_ms)
		return POOL_LIST_NOT_READ;
	if (now_ms - pool->list_followed_ms < POOL_LONGEST_PARTITION_MS)
		return POOL_LIST_READ_ANEW;
	return POOL_NO_GAP;
}

static enum pool_gap find_worker_gap(const struct pool_worker *worker)
{
	if (!worker->registered)
		return POOL_WORKER_REMOVED;
	if (worker->state != POOL_HELD || worker->failures)
		return POOL_WORKER_NOT_HELD;
	return POOL_NO_GAP;
}

uint64_t pool_all_held_since(const struct lease_pool *pool, uint64_t now_ms,
			     enum pool_gap *gap,
			     const struct pool_worker **worker)
{
	const struct pool_worker *w;
	uint64_t since_ms = now_ms;

	*worker = NULL;
	*gap = find_list_gap(pool, now_ms);
	if (*gap != POOL_NO_GAP)
		return 0;
#ifndef BREAK_LIST_AGE
	if (pool->options.list_lags && pool->list_current_ms < since_ms)
		since_ms = pool->list_current_ms;
#endif
	TAILQ_FOREACH(w, &pool->workers, entry) {
		*gap = find_worker_gap(w);
		if (*gap != POOL_NO_GAP) {
			*worker = w;
			return 0;
		}
		if (w->probed_ms < since_ms)
			since_ms = w->probed_ms;
	}
	return since_ms;
}

bool pool_has_listed(const struct lease_pool *pool, uint64_t key,
		     uint64_t since_ms)
{
	const struct pool_worker *worker = pool_find_by_key(pool, key);

	return worker && worker->state == POOL_HELD && !worker->failures &&
	       worker->probed_ms >= since_ms;
}

bool pool_has_unanswered(const struct lease_pool *pool, uint64_t now_ms)
{
	const struct pool_worker *worker;

	TAILQ_FOREACH(worker, &pool->workers, entry)
		if (worker->registered &&
		    (worker->state == POOL_UNHELD ||
		     (worker->state == POOL_FOREIGN &&
		      now_ms - worker->foreign_ms < POOL_FOREIGN_RETRY_MS)))
			return true;
	return false;
}

bool pool_is_settling(const struct lease_pool *pool, uint64_t now_ms)
{
	const struct pool_worker *worker;

	TAILQ_FOREACH(worker, &pool->workers, entry)
		if (awaits_first_answer(worker) ||
		    (worker->registered && worker->state == POOL_FOREIGN &&
		     now_ms - worker->foreign_ms < POOL_FOREIGN_RETRY_MS))
			return true;
	return false;
}

uint64_t pool_longest_foreign_ms(const struct lease_pool *pool, uint64_t now_ms)
{
	const struct pool_worker *worker;
	uint64_t longest_ms = 0;

	TAILQ_FOREACH(worker, &pool->workers, entry)
		if (worker->registered && worker->state == POOL_FOREIGN &&
		    now_ms - worker->foreign_ms > longest_ms)
			longest_ms = now_ms - worker->foreign_ms;
	return longest_ms;
}

static void expire_found_ends(struct lease_pool *pool, uint64_t before_ms)
{
	struct found_job *found, *next;

	HASH_ITER(hh, pool->found, found, next) {
		if (found->until_ms > before_ms)
			break;
		HASH_DEL(pool->found, found);
		talloc_free(found);
	}
}

void pool_release(struct lease_pool *pool)
{
	struct pool_worker *worker;
	struct pool_run *run;

	pool->fence = pool->highest_fence = 0;
	TAILQ_FOREACH(worker, &pool->workers, entry) {
		while ((run = LIST_FIRST(&worker->runs))) {
			pool_note_late_task(pool, run, true);
			pool_free_run(pool, run);
		}
		pool_forget_late_starts(worker);
		pool_forget_orders(pool, worker);
		worker->raised_by = 0;
		worker->state = POOL_UNHELD;
		worker->is_reserved = false;
		worker->went_leased = false;
		pool_forget_holds(pool, worker);
		/* If this instance leads again, it reads all ends again. */
		worker->ends_read = worker->ends_acked = 0;
	}
	expire_found_ends(pool, UINT64_MAX);
	late_forget_runs(pool->late_tasks);
}

void pool_mark_foreign(struct lease_pool *pool, struct pool_worker *worker,
		       uint64_t now_ms)
{
	if (worker->state != POOL_FOREIGN) {
		log_warning(LOG_TARGET,
			    "worker %s: refused our fencing token %" PRIu64
			    ", obeys another instance; %u open runs",
			    worker->id, pool_fence_of(pool, worker),
			    worker->run_count);
		worker->foreign_ms = now_ms;
	}
	worker->state = POOL_FOREIGN;
	worker->owes_first_list = false;
	worker->retry_ms = now_ms + POOL_FOREIGN_RETRY_MS;
}

/* The worker itself shows that the process of its registration never ran. */
static void drop_registration(struct pool_worker *worker, uint64_t born_ms,
			      uint64_t now_ms)
{
	log_warning(LOG_TARGET,
		    "worker %s: runs since %" PRIu64
		    " ms, but is registered with a start at %" PRIu64
		    " ms; that registration is not used",
		    worker->id, born_ms, worker->born_ms);
	worker->born_ms = born_ms;
	worker->is_capacity_known = false;
	worker->report = worker->report_born_ms = 0;
	worker->registered = false;
	worker->unregistered_ms = now_ms;
}

enum pool_life pool_apply_reply(struct lease_pool *pool,
				struct pool_worker *worker,
				const struct pool_reply *reply,
				uint64_t sent_ms, uint64_t now_ms)
{
	enum pool_life life = POOL_LIFE_SAME;
	bool is_disproved =
		!worker->is_born_answered && sent_ms > worker->report_read_ms;

#ifdef BREAK_BORN_ANSWERED
	is_disproved = false;
#endif
	if (reply->born_ms && reply->born_ms < worker->born_ms) {
		if (!is_disproved)
			return POOL_LIFE_OLDER;
		drop_registration(worker, reply->born_ms, now_ms);
	}
	if (worker->born_ms && reply->born_ms > worker->born_ms) {
		log_warning(LOG_TARGET,
			    "worker %s: restarted at %" PRIu64
			    " ms, previously at %" PRIu64
			    " ms; %u runs were open",
			    worker->id, reply->born_ms, worker->born_ms,
			    worker->run_count);
		pool_mark_unlocated(worker);
		pool_reset_worker(pool, worker, now_ms);
		life = POOL_LIFE_NEWER;
	}
	if (reply->born_ms) {
		worker->born_ms = reply->born_ms;
		worker->is_born_answered = true;
	}
	if (reply->clock_ms) {
		worker->clock_ms = reply->clock_ms;
		worker->clock_at_ms = now_ms;
	}
	return life;
}

/* Nobody has renewed the lease of its runs for long. */
static bool is_lost_to_all(const struct pool_worker *worker, uint64_t now_ms)
{
	return worker->state == POOL_FOREIGN && !worker->registered &&
	       now_ms - worker->unregistered_ms >= POOL_LONGEST_PARTITION_MS;
}

static void tick_worker(struct lease_pool *pool, struct pool_worker *worker,
			uint64_t now_ms)
{
	struct pool_run *run = LIST_FIRST(&worker->runs);
	struct pool_run *next;

	if (worker->run_count && worker->failures && !worker->mates_probed)
		probe_rack_mates(pool, worker, now_ms);
	pool_expire_orders(pool, worker, now_ms);
	for (; run; run = next) {
		next = LIST_NEXT(run, in_worker);
		pool_tick_run(pool, run, now_ms);
	}
	if (!worker->run_count && !worker->registered && worker->failures)
		note_went(pool, worker, now_ms);
	if (is_lost_to_all(worker, now_ms))
		pool_close_all(pool, worker, now_ms);
	if (worker->run_count && worker->state != POOL_FOREIGN &&
	    worker->lease_until_ms && worker->lease_until_ms <= now_ms) {
		log_warning(LOG_TARGET,
			    "worker %s: the lease of %u runs has lapsed, last "
			    "answer %" PRIu64 " ms ago, %u orders may be "
			    "carried out late; closing them",
			    worker->id, worker->run_count,
			    now_ms - worker->answered_ms, worker->lost_orders);
		if (worker->failures)
			note_gone(pool, worker, false, now_ms);
		pool_close_all(pool, worker, now_ms);
	}
	pool_send_due_hold(pool, worker, now_ms);
}

/* The worker's newest report must be known until no late one can arrive. */
static bool is_removable(const struct pool_worker *worker, uint64_t now_ms)
{
	return !worker->registered && !worker->run_count &&
	       !worker->is_reserved && !worker->hold_pending &&
	       now_ms - worker->report_read_ms >= POOL_LATE_REPORT_MS &&
	       now_ms - worker->unregistered_ms >= POOL_LONGEST_PARTITION_MS;
}

/*
 * Orders that are void for a worker's process are not for the next one, and may
 * prolong a run there. A worker that has answered since the last time at which
 * the run can have begun would have listed it.
 */
static uint64_t extend_late_task(void *ctx, const struct late_task *task)
{
	const struct lease_pool *pool = ctx;
	const struct pool_worker *worker = pool_find_by_key(pool, task->worker);

	if (!worker || !worker->lost_order_ms ||
	    (worker->state == POOL_HELD && !worker->failures &&
	     worker->probed_ms >= pool_late_begin_ms(pool, task->until_ms)))
		return 0;
	return pool_late_over_ms(pool, worker->lost_order_ms);
}

void pool_tick(struct lease_pool *pool, uint64_t now_ms)
{
	struct pool_worker *worker = TAILQ_FIRST(&pool->workers);
	struct pool_worker *next;
	bool late = now_ms - pool->ticked_ms > LATE_TICK_MS;
	double limit_ms = pool_answer_limit_ms(pool);

	pool->ticked_ms = now_ms;
	expire_found_ends(pool, now_ms);
	if (late_expire(pool->late_tasks, now_ms, extend_late_task, pool))
		pool->room_version++;
	pool_send_due_probes(pool, now_ms);
	if (pool->fence)
		pool_note_first_lists(pool, now_ms);
	for (; worker; worker = next) {
		next = TAILQ_NEXT(worker, entry);
		if (pool->fence && !late) {
			pool_probe_unanswered(pool, worker, limit_ms, now_ms);
			pool_probe_overdue(pool, worker, now_ms);
			pool_renew_lease(pool, worker, now_ms);
		}
		if (pool->fence)
			tick_worker(pool, worker, now_ms);
		if (is_removable(worker, now_ms))
			free_worker(pool, worker);
	}
}
