#include "core/lease_node_state.h"

#include <inttypes.h>

#include "base/log.h"
#include "core/late_task.h"

/* A message holds so many tasks at most; more go into further ones. */
#define MAX_TASKS_PER_MESSAGE 256
/* No time that a member tells is longer. */
#define MAX_OVER_MS 60000
/* A member may lead by then, though it is no candidate when its link is new. */
#define NEW_MEMBER_MS 10000

static struct late_tasks *tasks_of(struct lease_node *lease_node)
{
	return pool_late_tasks(lease_pool(lease_node->dispatch));
}

static bool may_lead_next(const struct leader_member *m, uint64_t now_ms)
{
	return m->linked && (m->weight || m->overloaded ||
			     now_ms - m->link_changed_ms < NEW_MEMBER_MS);
}

struct rows {
	Bergamot__LateStart *rows[MAX_TASKS_PER_MESSAGE];
	size_t count;
	uint64_t to; /* a member; 0: all that may lead next */
	uint64_t now_ms;
	TALLOC_CTX *mem;
};

static void send_rows(struct lease_node *lease_node, struct rows *rows)
{
	Bergamot__LateStarts msg = BERGAMOT__LATE_STARTS__INIT;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	const struct leader_member *m;

	if (!rows->count)
		return;
	msg.starts = rows->rows;
	msg.n_starts = rows->count;
	rows->count = 0;
	peer.body_case = BERGAMOT__PEER__BODY_LATE_STARTS;
	peer.late_starts = &msg;
	if (rows->to) {
		lease_node->ports->send(lease_node->ports->ctx, rows->to,
					&peer);
		return;
	}
	for (m = leader_members(lease_node->members); m; m = m->hh.next)
		if (may_lead_next(m, rows->now_ms))
			lease_node->ports->send(lease_node->ports->ctx,
						m->incarnation, &peer);
}

static void add_row(struct lease_node *lease_node, struct rows *rows,
		    struct late_task *task)
{
	Bergamot__LateStart *row = talloc(rows->mem, Bergamot__LateStart);

	bergamot__late_start__init(row);
	row->task = task->name;
	if (task->until_ms > rows->now_ms)
		row->over_in_ms = (uint32_t)(task->until_ms - rows->now_ms);
	rows->rows[rows->count++] = row;
	if (rows->count == MAX_TASKS_PER_MESSAGE)
		send_rows(lease_node, rows);
}

void lease_node_send_late_starts(struct lease_node *lease_node, uint64_t now_ms)
{
	struct late_tasks *late = tasks_of(lease_node);
	struct rows rows = { .now_ms = now_ms };
	struct late_task *task;

#ifdef BREAK_TELL_LATE
	late_mark_sent(late);
#endif
	if (TAILQ_EMPTY(late_unsent(late)))
		return;
	rows.mem = talloc_new(lease_node);
	TAILQ_FOREACH(task, late_unsent(late), in_unsent)
		add_row(lease_node, &rows, task);
	send_rows(lease_node, &rows);
	talloc_free(rows.mem);
	late_mark_sent(late);
}

void lease_node_send_all_late_starts(struct lease_node *lease_node, uint64_t to,
				     uint64_t now_ms)
{
	struct late_task *task = late_first(tasks_of(lease_node));
	struct rows rows = { .to = to, .now_ms = now_ms };

	if (!task)
		return;
	rows.mem = talloc_new(lease_node);
	for (; task; task = task->hh.next)
		if (task->until_ms > now_ms)
			add_row(lease_node, &rows, task);
	send_rows(lease_node, &rows);
	talloc_free(rows.mem);
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
		late_merge(tasks_of(lease_node), row->task, from,
			   row->over_in_ms ? now_ms + row->over_in_ms : 0);
	}
}
