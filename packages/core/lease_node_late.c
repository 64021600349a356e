#include "core/lease_node_state.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "core/late_task.h"

/* A message holds so many tasks at most; more go into further ones. */
#define MAX_TASKS_PER_MESSAGE 256
/* No time that a member tells is longer. */
#define MAX_OVER_MS 60000

static struct late_tasks *tasks_of(struct lease_node *lease_node)
{
	return pool_late_tasks(lease_pool(lease_node->dispatch));
}

/* Sends rows to one member, or if to is 0 to all that may lead next. */
static void send_rows(struct lease_node *lease_node, uint64_t to,
		      Bergamot__LateStart **rows, size_t count)
{
	Bergamot__LateStarts msg = BERGAMOT__LATE_STARTS__INIT;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	const struct leader_member *m;

	if (!count)
		return;
	msg.starts = rows;
	msg.n_starts = count;
	peer.body_case = BERGAMOT__PEER__BODY_LATE_STARTS;
	peer.late_starts = &msg;
	if (to) {
		lease_node->ports->send(lease_node->ports->ctx, to, &peer);
		return;
	}
	for (m = leader_members(lease_node->members); m; m = m->hh.next)
		if (m->linked && m->weight)
			lease_node->ports->send(lease_node->ports->ctx,
						m->incarnation, &peer);
}

static void send_tasks(struct lease_node *lease_node, uint64_t to,
		       bool only_unsent, uint64_t now_ms)
{
	Bergamot__LateStart *rows[MAX_TASKS_PER_MESSAGE];
	struct late_task *task = late_first(tasks_of(lease_node));
	TALLOC_CTX *mem = talloc_new(lease_node);
	size_t count = 0;

	for (; task; task = task->hh.next) {
		if (task->until_ms <= now_ms ||
		    (only_unsent && !task->is_unsent))
			continue;
		rows[count] = talloc(mem, Bergamot__LateStart);
		bergamot__late_start__init(rows[count]);
		rows[count]->task = task->name;
		rows[count]->over_in_ms = (uint32_t)(task->until_ms - now_ms);
		if (++count < MAX_TASKS_PER_MESSAGE)
			continue;
		send_rows(lease_node, to, rows, count);
		count = 0;
	}
	send_rows(lease_node, to, rows, count);
	talloc_free(mem);
}

void lease_node_send_late_starts(struct lease_node *lease_node, uint64_t now_ms)
{
#ifdef BREAK_TELL_LATE
	late_mark_sent(tasks_of(lease_node));
#endif
	if (!late_has_unsent(tasks_of(lease_node)))
		return;
	send_tasks(lease_node, 0, true, now_ms);
	late_mark_sent(tasks_of(lease_node));
}

void lease_node_send_all_late_starts(struct lease_node *lease_node, uint64_t to,
				     uint64_t now_ms)
{
	if (!late_is_empty(tasks_of(lease_node)))
		send_tasks(lease_node, to, false, now_ms);
}

/* Returns NULL, or why a member's note must not be merged. */
static const char *find_fault(const Bergamot__LateStart *row)
{
	if (!step_job_is_task(row->task))
		return "it does not name a task";
	if (row->over_in_ms > MAX_OVER_MS)
		return "it waits for too long";
	return NULL;
}

void lease_node_on_late_starts(struct lease_node *lease_node, uint64_t from,
			       const Bergamot__LateStarts *msg, uint64_t now_ms)
{
	for (size_t i = 0; i < msg->n_starts; i++) {
		const Bergamot__LateStart *row = msg->starts[i];
		const char *fault = find_fault(row);

		if (fault) {
			log_warning(LOG_PEER,
				    "dropped a late start of member "
				    "%016" PRIx64 ": %s",
				    from, fault);
			continue;
		}
		log_info(LOG_PEER,
			 "task %s: a start by member %016" PRIx64
			 " has no answer; waits %u ms at most",
			 row->task, from, row->over_in_ms);
		late_merge(tasks_of(lease_node), row->task,
			   now_ms + row->over_in_ms);
	}
}
