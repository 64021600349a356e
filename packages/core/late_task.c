#include "core/late_task.h"

#include <stdio.h>

#include "base/log.h"

struct late_tasks {
	struct late_task *by_name;
	bool has_unsent;
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

	talloc_set_destructor(late, destroy);
	return late;
}

static struct late_task *find(const struct late_tasks *late, const char *name)
{
	struct late_task *task;

	HASH_FIND_STR(late->by_name, name, task);
	return task;
}

static void remove_task(struct late_tasks *late, struct late_task *task)
{
	HASH_DEL(late->by_name, task);
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

static void extend(struct late_task *task, uint64_t until_ms)
{
	if (until_ms > task->until_ms)
		task->until_ms = until_ms;
}

void late_note(struct late_tasks *late, const char *name, uint64_t until_ms,
	       bool waits)
{
	struct late_task *task = get(late, name);

	if (until_ms > task->until_ms)
		task->is_unsent = late->has_unsent = true;
	extend(task, until_ms);
	task->waits |= waits;
}

void late_merge(struct late_tasks *late, const char *name, uint64_t until_ms)
{
	struct late_task *task = get(late, name);

	extend(task, until_ms);
	task->waits = true;
}

void late_forget_runs(struct late_tasks *late)
{
	struct late_task *task;

	for (task = late->by_name; task; task = task->hh.next)
		task->waits = true;
}

bool late_expire(struct late_tasks *late, uint64_t now_ms)
{
	struct late_task *task, *next;
	bool expired = false;

	HASH_ITER(hh, late->by_name, task, next) {
		if (task->until_ms > now_ms)
			continue;
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

bool late_has_unsent(const struct late_tasks *late)
{
	return late->has_unsent;
}

void late_mark_sent(struct late_tasks *late)
{
	struct late_task *task;

	for (task = late->by_name; task; task = task->hh.next)
		task->is_unsent = false;
	late->has_unsent = false;
}
