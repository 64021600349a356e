#include "core/lease_pool_state.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"

/* Ticks are 20 ms apart: later ones tell that answers wait here. */
#define LATE_TICK_MS 40
/* By then another leader has stopped a run that it does not know. */
#define FOREIGN_CLOSE_MS 2500

/* Tables are freed apart from what they hold. */
static int destroy(struct lpl *lpl)
{
	HASH_CLEAR(hh, lpl->by_id);
	HASH_CLEAR(hh, lpl->by_token);
	return 0;
}

struct lpl *lpl_create(TALLOC_CTX *mem, const struct lpl_options *options)
{
	struct lpl *lpl = talloc_zero(mem, struct lpl);

	lpl->options = *options;
	lpl->ports = options->ports;
	TAILQ_INIT(&lpl->workers);
	LIST_INIT(&lpl->found);
	talloc_set_destructor(lpl, destroy);
	return lpl;
}

const struct lpl_worker_list *lpl_workers(const struct lpl *lpl)
{
	return &lpl->workers;
}

bool lpl_leads(const struct lpl *lpl)
{
	return lpl->fence != 0;
}

struct lpl_worker *lpl_find_worker(struct lpl *lpl, const char *id)
{
	struct lpl_worker *worker;

	HASH_FIND_STR(lpl->by_id, id, worker);
	return worker;
}

void lpl_forget_life(struct lpl *lpl, struct lpl_worker *worker,
		     uint64_t now_ms)
{
	lpl_close_former_life(lpl, worker, now_ms);
	worker->state = LPL_UNHELD;
	worker->hold_serial = 0; /* an answer on its way is of the old life */
	worker->holding = false;
	worker->ends_read = worker->ends_acked = 0;
	worker->clock_ms = 0;
	worker->lease_until_ms = lpl_lapse_ms(lpl, now_ms);
	worker->failures = 0;
	worker->retry_ms = 0;
	worker->blocked_until_ms = 0;
	worker->failed_streak = worker->open_rounds = 0;
	worker->speed = 1.0;
}

static void free_worker(struct lpl *lpl, struct lpl_worker *worker)
{
	TAILQ_REMOVE(&lpl->workers, worker, entry);
	HASH_REMOVE(lpl->by_id, worker);
	talloc_free(worker);
}

static struct lpl_worker *add_worker(struct lpl *lpl, const char *id)
{
	struct lpl_worker *worker = talloc_zero(lpl, struct lpl_worker);

	worker->id = talloc_strdup(worker, id);
	worker->speed = 1.0;
	LIST_INIT(&worker->runs);
	HASH_ADD_KEYPTR(hh, lpl->by_id, worker->id, strlen(worker->id), worker);
	TAILQ_INSERT_TAIL(&lpl->workers, worker, entry);
	return worker;
}

static void set_text(TALLOC_CTX *mem, char **field, const char *text)
{
	if (*field && !strcmp(*field, text))
		return;
	talloc_free(*field);
	*field = talloc_strdup(mem, text);
}

static void set_labels(struct lpl_worker *worker, const char *const *labels)
{
	size_t count = 0;

	while (labels && labels[count])
		count++;
	talloc_free(worker->labels);
	worker->labels = talloc_zero_array(worker, char *, count + 1);
	for (size_t i = 0; i < count; i++)
		worker->labels[i] = talloc_strdup(worker->labels, labels[i]);
}

void lpl_take_entry(struct lpl *lpl, const struct lpl_entry *entry,
		    uint64_t now_ms)
{
	struct lpl_worker *worker = lpl_find_worker(lpl, entry->id);

	if (!worker)
		worker = add_worker(lpl, entry->id);
	else if (entry->born_ms && entry->born_ms < worker->born_ms)
		return; /* of an earlier life */
	else if (entry->born_ms > worker->born_ms)
		lpl_forget_life(lpl, worker, now_ms);
	if (!worker->listed || worker->draining != entry->draining)
		log_info(LOG_TARGET,
			 "worker %s at %s: registered for %s, %s, %u milli "
			 "cores, life %" PRIu64,
			 entry->id, entry->address, entry->service,
			 entry->draining ? "draining" : "ready",
			 entry->capacity.cpu_milli, entry->born_ms);
	if (entry->born_ms)
		worker->born_ms = entry->born_ms;
	set_text(worker, &worker->address, entry->address);
	set_text(worker, &worker->service, entry->service);
	set_text(worker, &worker->data_centre, entry->data_centre);
	set_labels(worker, entry->labels);
	worker->capacity = entry->capacity;
	worker->draining = entry->draining;
	worker->listed = true;
}

void lpl_entry_gone(struct lpl *lpl, const char *id, uint64_t now_ms)
{
	struct lpl_worker *worker = lpl_find_worker(lpl, id);

	if (!worker || !worker->listed)
		return;
	worker->gone_ms = now_ms;
	log_info(LOG_TARGET, "worker %s: registration gone, %u open runs", id,
		 worker->run_count);
	worker->listed = false;
}

bool lpl_is_usable(const struct lpl_worker *worker, uint64_t now_ms)
{
	return worker->state == LPL_HELD && worker->listed &&
	       !worker->draining && worker->failures < LPL_LOST_HOLDS &&
	       worker->blocked_until_ms <= now_ms;
}

bool lpl_is_awaited(const struct lpl_worker *worker)
{
	return worker->state == LPL_UNHELD && worker->listed &&
	       !worker->draining && !worker->failures;
}

bool lpl_fits(const struct lpl_worker *worker, const struct sjb_demand *demand)
{
	const struct sjb_demand *c = &worker->capacity;
	const struct sjb_demand *u = &worker->used;

	return u->cpu_milli + demand->cpu_milli <= c->cpu_milli &&
	       u->mem_mb + demand->mem_mb <= c->mem_mb &&
	       u->accelerators + demand->accelerators <= c->accelerators;
}

void lpl_list_read(struct lpl *lpl, uint64_t now_ms)
{
	if (!lpl->list_read_ms)
		lpl->list_read_ms = now_ms;
}

void lpl_list_dropped(struct lpl *lpl)
{
	lpl->list_read_ms = 0;
}

bool lpl_all_held(const struct lpl *lpl, uint64_t since_ms, uint64_t now_ms)
{
	const struct lpl_worker *worker;

	if (!lpl->list_read_ms || now_ms - lpl->list_read_ms < LPL_DOUBT_MS)
		return false;
	TAILQ_FOREACH(worker, &lpl->workers, entry)
		if (worker->listed
			    ? worker->state != LPL_HELD || worker->failures ||
				      worker->looked_ms < since_ms
			    : !worker->draining)
			return false;
	return true;
}

bool lpl_any_unheld(const struct lpl *lpl, uint64_t now_ms)
{
	const struct lpl_worker *worker;

	TAILQ_FOREACH(worker, &lpl->workers, entry)
		if (worker->listed &&
		    (worker->state == LPL_UNHELD ||
		     (worker->state == LPL_FOREIGN &&
		      now_ms - worker->foreign_ms < LPL_FOREIGN_RETRY_MS)))
			return true;
	return false;
}

bool lpl_is_settling(const struct lpl *lpl, uint64_t now_ms)
{
	const struct lpl_worker *worker;

	TAILQ_FOREACH(worker, &lpl->workers, entry)
		if (lpl_is_awaited(worker) ||
		    (worker->listed && worker->state == LPL_FOREIGN &&
		     now_ms - worker->foreign_ms < LPL_FOREIGN_RETRY_MS))
			return true;
	return false;
}

uint64_t lpl_foreign_ms(const struct lpl *lpl, uint64_t now_ms)
{
	const struct lpl_worker *worker;
	uint64_t longest_ms = 0;

	TAILQ_FOREACH(worker, &lpl->workers, entry)
		if (worker->listed && worker->state == LPL_FOREIGN &&
		    now_ms - worker->foreign_ms > longest_ms)
			longest_ms = now_ms - worker->foreign_ms;
	return longest_ms;
}

static void forget_found(struct lpl *lpl, uint64_t before_ms)
{
	struct found_end *found = LIST_FIRST(&lpl->found);
	struct found_end *next;

	for (; found; found = next) {
		next = LIST_NEXT(found, entry);
		if (found->until_ms > before_ms)
			continue;
		LIST_REMOVE(found, entry);
		talloc_free(found);
	}
}

void lpl_release(struct lpl *lpl)
{
	struct lpl_worker *worker;
	struct lpl_run *run;

	lpl->fence = 0;
	TAILQ_FOREACH(worker, &lpl->workers, entry) {
		while ((run = LIST_FIRST(&worker->runs)))
			lpl_free_run(lpl, run);
		worker->state = LPL_UNHELD;
		worker->holding = false;
		worker->hold_serial = 0;
		/* The next leader reads the ends anew. */
		worker->ends_read = worker->ends_acked = 0;
	}
	forget_found(lpl, UINT64_MAX);
}

void lpl_lose_worker(struct lpl *lpl, struct lpl_worker *worker,
		     uint64_t now_ms)
{
	struct lpl_run *run;

	if (worker->state != LPL_FOREIGN) {
		log_warning(LOG_TARGET,
			    "worker %s: obeys another instance; our fencing "
			    "token %" PRIu64 ", %u open runs",
			    worker->id, lpl->fence, worker->run_count);
		worker->foreign_ms = now_ms;
	}
	worker->state = LPL_FOREIGN;
	worker->retry_ms = now_ms + LPL_FOREIGN_RETRY_MS;
	LIST_FOREACH(run, &worker->runs, in_worker)
		if (!run->close_at_ms)
			run->close_at_ms = now_ms + FOREIGN_CLOSE_MS;
}

enum lpl_life lpl_take_reply(struct lpl *lpl, struct lpl_worker *worker,
			     const struct lpl_reply *reply, uint64_t now_ms)
{
	enum lpl_life life = LPL_LIFE_SAME;

	if (reply->born_ms && reply->born_ms < worker->born_ms)
		return LPL_LIFE_FORMER;
	if (worker->born_ms && reply->born_ms > worker->born_ms) {
		log_warning(LOG_TARGET,
			    "worker %s: started anew (life %" PRIu64
			    " after %" PRIu64 "), %u runs were open",
			    worker->id, reply->born_ms, worker->born_ms,
			    worker->run_count);
		lpl_forget_life(lpl, worker, now_ms);
		life = LPL_LIFE_NEWER;
	}
	if (reply->born_ms)
		worker->born_ms = reply->born_ms;
	if (reply->clock_ms) {
		worker->clock_ms = reply->clock_ms;
		worker->clock_at_ms = now_ms;
	}
	return life;
}

static void tick_worker(struct lpl *lpl, struct lpl_worker *worker,
			uint64_t now_ms)
{
	struct lpl_run *run = LIST_FIRST(&worker->runs);
	struct lpl_run *next;

	for (; run; run = next) {
		next = LIST_NEXT(run, in_worker);
		lpl_tick_run(lpl, run, now_ms);
	}
	if (worker->run_count && worker->state != LPL_FOREIGN &&
	    worker->lease_until_ms && worker->lease_until_ms <= now_ms) {
		log_warning(LOG_TARGET,
			    "worker %s: the lease of %u runs has lapsed, last "
			    "answer %" PRIu64 " ms ago",
			    worker->id, worker->run_count,
			    now_ms - worker->answered_ms);
		lpl_close_all(lpl, worker, now_ms);
	}
	lpl_pump(lpl, worker, now_ms);
}

static bool is_forgotten(const struct lpl_worker *worker, uint64_t now_ms)
{
	return !worker->listed && !worker->run_count && !worker->holding &&
	       (worker->draining || now_ms - worker->gone_ms >= LPL_DOUBT_MS);
}

void lpl_tick(struct lpl *lpl, uint64_t now_ms)
{
	struct lpl_worker *worker = TAILQ_FIRST(&lpl->workers);
	struct lpl_worker *next;
	bool late = now_ms - lpl->ticked_ms > LATE_TICK_MS;

	lpl->ticked_ms = now_ms;
	forget_found(lpl, now_ms);
	for (; worker; worker = next) {
		next = TAILQ_NEXT(worker, entry);
		if (lpl->fence && !late)
			lpl_look_early(lpl, worker, now_ms);
		if (lpl->fence)
			tick_worker(lpl, worker, now_ms);
		if (is_forgotten(worker, now_ms))
			free_worker(lpl, worker);
	}
}
