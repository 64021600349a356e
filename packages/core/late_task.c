#include "core/late_task.h"

#include <stdio.h>

#include "base/log.h"

#define FROM_SEVERAL UINT64_MAX /* members */

struct late_tasks {
	struct late_task *by_name;
	struct late_task_list unsent[LATE_CHANNEL_COUNT];
	uint32_t waiting; /* tasks that wait */
};

/* talloc frees the entries, but not the hash table. */
static int destroy(struct late_tasks *late)
{
	HASH_CLEAR(hh, late->by_name);
	return 0;
}

struct late_tasks *late_create(TALLOC_CTX *mem)
{
	struct late_tasks *late = talloc_zero(mem, struct late_tasks);

	for (int i = 0; i < LATE_CHANNEL_COUNT; i++)
		TAILQ_INIT(&late->unsent[i]);
	talloc_set_destructor(late, destroy);
	return late;
}

static struct late_task *find(const struct late_tasks *late, const char *name)
{
	struct late_task *task;

	HASH_FIND_STR(late->by_name, name, task);
	return task;
}

static void set_unsent(struct late_tasks *late, struct late_task *task,
		       int channel, bool is_unsent)
{
	if (task->channels[channel].is_unsent == is_unsent)
		return;
	task->channels[channel].is_unsent = is_unsent;
	if (is_unsent)
		TAILQ_INSERT_TAIL(&late->unsent[channel], task,
				  channels[channel].entry);
	else
		TAILQ_REMOVE(&late->unsent[channel], task,
			     channels[channel].entry);
}

static void set_all_unsent(struct late_tasks *late, struct late_task *task,
			   bool is_unsent)
{
	for (int i = 0; i < LATE_CHANNEL_COUNT; i++)
		set_unsent(late, task, i, is_unsent);
}

static void set_waits(struct late_tasks *late, struct late_task *task,
		      bool waits)
{
	late->waiting += waits;
	late->waiting -= task->waits;
	task->waits = waits;
}

static void remove_task(struct late_tasks *late, struct late_task *task)
{
	set_all_unsent(late, task, false);
	set_waits(late, task, false);
	HASH_REMOVE(late->by_name, task);
	talloc_free(task);
}

/* Removes a withdrawn task once all that know of it know that, too. */
static void remove_if_settled(struct late_tasks *late, struct late_task *task)
{
	if (task->until_ms)
		return;
	for (int i = 0; i < LATE_CHANNEL_COUNT; i++)
		if (task->channels[i].is_unsent)
			return;
	remove_task(late, task);
}

static struct late_task *get(struct late_tasks *late, const char *name)
{
	struct late_task *task = find(late, name);

	if (task)
		return task;
	if (HASH_COUNT(late->by_name) >= LATE_TASK_MAX) {
		log_warning(LOG_TARGET,
			    "%d tasks have starts that may be carried out "
			    "late; task %s is forgotten",
			    LATE_TASK_MAX, late->by_name->name);
		remove_task(late, late->by_name);
	}
	task = talloc_zero(late, struct late_task);
	snprintf(task->name, sizeof(task->name), "%s", name);
	HASH_ADD_STR(late->by_name, name, task);
	return task;
}

void late_note(struct late_tasks *late, const char *name, uint64_t worker,
	       uint64_t until_ms, bool waits)
{
	struct late_task *task = get(late, name);

	task->worker = worker;
	task->number = 0;
	set_waits(late, task, task->waits || waits);
	if (task->is_ahead)
		set_unsent(late, task, LATE_TO_STORE, true);
	task->is_ahead = false;
	if (until_ms <= task->until_ms)
		return;
	task->until_ms = until_ms;
	set_all_unsent(late, task, true);
}

void late_note_ahead(struct late_tasks *late, const char *name, uint64_t worker,
		     uint64_t until_ms)
{
	struct late_task *task = get(late, name);

	task->worker = worker;
	if (until_ms <= task->until_ms)
		return;
	if (!task->until_ms)
		task->is_ahead = true;
	task->until_ms = until_ms;
	set_unsent(late, task, LATE_TO_MEMBERS, true);
	if (!task->is_ahead)
		set_unsent(late, task, LATE_TO_STORE, true);
}

void late_note_handed(struct late_tasks *late, const char *name, uint64_t entry,
		      uint32_t number, uint64_t until_ms)
{
	struct late_task *task = get(late, name);
	bool is_only =
		!task->until_ms || (task->from == entry &&
				    (!task->worker || task->number == number));

	task->from =
		task->until_ms && task->from != entry ? FROM_SEVERAL : entry;
	late_note(late, name, task->worker ? task->worker : LATE_ELSEWHERE,
		  until_ms, true);
	if (is_only)
		task->number = number;
}

static void withdraw(struct late_tasks *late, struct late_task *task)
{
	if (task->until_ms)
		task->forget_ms = task->until_ms;
	task->until_ms = 0;
	task->is_ahead = false;
	for (int i = 0; i < LATE_CHANNEL_COUNT; i++)
		set_unsent(late, task, i, task->channels[i].was_sent);
	remove_if_settled(late, task);
}

void late_settle(struct late_tasks *late, const char *name, uint32_t number)
{
	struct late_task *task = find(late, name);

	if (!task || !number || task->number != number)
		return;
	set_waits(late, task, false);
	withdraw(late, task);
}

void late_withdraw(struct late_tasks *late, const char *name)
{
	struct late_task *task = find(late, name);

	if (task && !task->waits)
		withdraw(late, task);
}

struct late_task *late_merge(struct late_tasks *late, const char *name,
			     uint64_t from, uint64_t until_ms)
{
	struct late_task *task = find(late, name);

	if (!until_ms) {
		if (task && task->from == from)
			remove_task(late, task);
		return NULL;
	}
	if (!task) {
		task = get(late, name);
		task->from = from;
	} else if (task->from != from) {
		task->from = FROM_SEVERAL;
		task->number = 0;
	}
	if (until_ms > task->until_ms)
		task->until_ms = until_ms;
	set_waits(late, task, true);
	return task;
}

void late_forget_runs(struct late_tasks *late)
{
	struct late_task *task;

	for (task = late->by_name; task; task = task->hh.next)
		set_waits(late, task, task->waits || task->until_ms);
}

bool late_expire(struct late_tasks *late, uint64_t now_ms,
		 uint64_t (*extend)(void *ctx, const struct late_task *task),
		 void *ctx)
{
	struct late_task *task, *next;
	bool expired = false;

	HASH_ITER(hh, late->by_name, task, next) {
		uint64_t until_ms;

		if (!task->until_ms && task->forget_ms <= now_ms) {
			remove_task(late, task);
			continue;
		}
		if (task->until_ms > now_ms || !task->until_ms)
			continue;
		until_ms = extend(ctx, task);
		if (until_ms > now_ms) {
			task->until_ms = until_ms;
			set_all_unsent(late, task, true);
			continue;
		}
		remove_task(late, task);
		expired = true;
	}
	return expired;
}

uint64_t late_until_ms(const struct late_tasks *late, const char *name)
{
	const struct late_task *task = find(late, name);

	return task && task->waits ? task->until_ms : 0;
}

const struct late_task *late_find(const struct late_tasks *late,
				  const char *name)
{
	return find(late, name);
}

bool late_is_empty(const struct late_tasks *late)
{
	return !late->by_name;
}

bool late_has_waiting(const struct late_tasks *late)
{
	return late->waiting;
}

struct late_task *late_first(const struct late_tasks *late)
{
	return late->by_name;
}

const struct late_task_list *late_unsent(const struct late_tasks *late,
					 enum late_channel channel)
{
	return &late->unsent[channel];
}

void late_mark_sent(struct late_tasks *late, enum late_channel channel,
		    size_t count)
{
	struct late_task *task;

	while (count-- && (task = TAILQ_FIRST(&late->unsent[channel]))) {
		set_unsent(late, task, channel, false);
		task->channels[channel].was_sent = true;
		remove_if_settled(late, task);
	}
}

void late_mark_unsent(struct late_tasks *late, enum late_channel channel)
{
	struct late_task *task;

	for (task = late->by_name; task; task = task->hh.next)
		if (task->channels[channel].was_sent)
			set_unsent(late, task, channel, true);
}
