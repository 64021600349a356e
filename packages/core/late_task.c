#include "core/late_task.h"

#include <stdio.h>

#include "base/log.h"

#define FROM_SEVERAL UINT64_MAX /* members */

struct late_tasks {
	struct late_task *by_name;
	struct late_task_list unsent;
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

	TAILQ_INIT(&late->unsent);
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
		       bool is_unsent)
{
	if (task->is_unsent == is_unsent)
		return;
	task->is_unsent = is_unsent;
	if (is_unsent)
		TAILQ_INSERT_TAIL(&late->unsent, task, in_unsent);
	else
		TAILQ_REMOVE(&late->unsent, task, in_unsent);
}

static void remove_task(struct late_tasks *late, struct late_task *task)
{
	set_unsent(late, task, false);
	HASH_REMOVE(late->by_name, task);
	talloc_free(task);
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
	task->waits |= waits;
	if (until_ms <= task->until_ms)
		return;
	task->until_ms = until_ms;
	set_unsent(late, task, true);
}

void late_withdraw(struct late_tasks *late, const char *name)
{
	struct late_task *task = find(late, name);

	if (!task || task->waits)
		return;
	if (!task->was_sent) {
		remove_task(late, task);
		return;
	}
	task->until_ms = 0;
	set_unsent(late, task, true);
}

void late_merge(struct late_tasks *late, const char *name, uint64_t from,
		uint64_t until_ms)
{
	struct late_task *task = find(late, name);

	if (!until_ms) {
		if (task && task->from == from)
			remove_task(late, task);
		return;
	}
	if (!task) {
		task = get(late, name);
		task->from = from;
	} else if (task->from != from) {
		task->from = FROM_SEVERAL;
	}
	if (until_ms > task->until_ms)
		task->until_ms = until_ms;
	task->waits = true;
}

void late_forget_runs(struct late_tasks *late)
{
	struct late_task *task;

	for (task = late->by_name; task; task = task->hh.next)
		task->waits = true;
}

bool late_expire(struct late_tasks *late, uint64_t now_ms,
		 uint64_t (*extend)(void *ctx, const struct late_task *task),
		 void *ctx)
{
	struct late_task *task, *next;
	bool expired = false;

	HASH_ITER(hh, late->by_name, task, next) {
		uint64_t until_ms;

		if (task->until_ms > now_ms || !task->until_ms)
			continue;
		until_ms = extend(ctx, task);
		if (until_ms > now_ms) {
			task->until_ms = until_ms;
			set_unsent(late, task, true);
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

bool late_is_empty(const struct late_tasks *late)
{
	return !late->by_name;
}

struct late_task *late_first(const struct late_tasks *late)
{
	return late->by_name;
}

const struct late_task_list *late_unsent(const struct late_tasks *late)
{
	return &late->unsent;
}

void late_mark_sent(struct late_tasks *late)
{
	struct late_task *task;

	while ((task = TAILQ_FIRST(&late->unsent))) {
		set_unsent(late, task, false);
		task->was_sent = true;
		if (!task->until_ms)
			remove_task(late, task);
	}
}
