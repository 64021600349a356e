#include "core/lease_node_state.h"

#include <inttypes.h>

#include "base/log.h"
#include "core/late_task.h"

/* A message holds so many tasks at most; more go into further ones. */
#define MAX_TASKS_PER_MESSAGE 256
/* A member may lead by then, though it is no candidate when its link is new. */
#define NEW_MEMBER_MS 10000
/*
 * From a change to its writing in the store: most starts without an answer are
 * found in a worker's list by then.
 */
#define KEEP_DELAY_MS 60
#define KEEP_INTERVAL_MS 200 /* between two writes */
#define KEEP_RETRY_MS 1000
#define MAX_TASKS_PER_KEY 4096 /* some 150 KB */

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
	uint64_t after; /* number of the message before these */
	uint64_t now_ms;
	TALLOC_CTX *mem;
};

static void send_rows_to(struct lease_node *lease_node,
			 const struct leader_member *m, uint64_t number,
			 Bergamot__Peer *peer)
{
	peer->late_starts->number = m->missed_late_starts ? 0 : number;
	lease_node->ports->send(lease_node->ports->ctx, m->incarnation, peer);
}

/* The last of several messages has the number, the others have 0. */
static void send_rows(struct lease_node *lease_node, struct rows *rows,
		      uint64_t number)
{
	Bergamot__LateStarts msg = BERGAMOT__LATE_STARTS__INIT;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	struct leader_member *m;

	if (!rows->count)
		return;
	msg.starts = rows->rows;
	msg.n_starts = rows->count;
	msg.after = rows->after;
	rows->count = 0;
	peer.body_case = BERGAMOT__PEER__BODY_LATE_STARTS;
	peer.late_starts = &msg;
	for (m = leader_members(lease_node->members); m; m = m->hh.next) {
		if (rows->to ? m->incarnation == rows->to
			     : may_lead_next(m, rows->now_ms))
			send_rows_to(lease_node, m, number, &peer);
		else if (!rows->to)
			m->missed_late_starts = true;
	}
}

static Bergamot__LateStart *pack_row(TALLOC_CTX *mem, struct late_task *task,
				     uint64_t now_ms)
{
	Bergamot__LateStart *row = talloc(mem, Bergamot__LateStart);

	bergamot__late_start__init(row);
	row->task = task->name;
	if (task->until_ms > now_ms)
		row->over_in_ms = (uint32_t)(task->until_ms - now_ms);
	row->ahead = task->is_ahead;
	return row;
}

static void add_row(struct lease_node *lease_node, struct rows *rows,
		    struct late_task *task)
{
	if (rows->count == MAX_TASKS_PER_MESSAGE)
		send_rows(lease_node, rows, 0);
	rows->rows[rows->count++] = pack_row(rows->mem, task, rows->now_ms);
}

void lease_node_tell_late_starts(struct lease_node *lease_node, uint64_t now_ms)
{
	struct late_tasks *late = tasks_of(lease_node);
	struct rows rows = { .now_ms = now_ms };
	struct late_task *task;

#ifdef BREAK_TELL_LATE
	late_mark_sent(late, LATE_TO_MEMBERS, SIZE_MAX);
#endif
	if (TAILQ_EMPTY(late_unsent(late, LATE_TO_MEMBERS)))
		return;
	rows.mem = talloc_new(lease_node);
	rows.after = lease_node->late_starts_sent;
	TAILQ_FOREACH(task, late_unsent(late, LATE_TO_MEMBERS),
		      channels[LATE_TO_MEMBERS].entry)
		add_row(lease_node, &rows, task);
	lease_node->late_starts_sent = ++lease_node->late_starts_number;
	send_rows(lease_node, &rows, lease_node->late_starts_sent);
	talloc_free(rows.mem);
	late_mark_sent(late, LATE_TO_MEMBERS, SIZE_MAX);
}

/* Returns true if there are tasks that should be written to the store now. */
static bool is_keep_due(struct lease_node *lease_node, uint64_t now_ms)
{
	if (lease_node->is_keeping)
		return false;
	if (TAILQ_EMPTY(late_unsent(tasks_of(lease_node), LATE_TO_STORE))) {
		lease_node->keep_due_ms = 0;
		return false;
	}
	if (!lease_node->keep_due_ms)
		lease_node->keep_due_ms = now_ms + KEEP_DELAY_MS;
	return lease_node->keep_due_ms <= now_ms &&
	       now_ms - lease_node->kept_ms >= KEEP_INTERVAL_MS;
}

static void keep_in_store(struct lease_node *lease_node, uint64_t now_ms)
{
	struct late_tasks *late = tasks_of(lease_node);
	Bergamot__LateStarts msg = BERGAMOT__LATE_STARTS__INIT;
	struct late_task *task;

#ifdef BREAK_KEEP_LATE
	late_mark_sent(late, LATE_TO_STORE, SIZE_MAX);
#endif
	if (!lease_node->ports->keep_late_starts) {
		late_mark_sent(late, LATE_TO_STORE, SIZE_MAX);
		return;
	}
	if (!is_keep_due(lease_node, now_ms))
		return;
	lease_node->keep_due_ms = 0;
	lease_node->kept_ms = now_ms;
	lease_node->is_keeping = true;
	msg.number = ++lease_node->late_starts_number;
	msg.starts = talloc_array(lease_node, Bergamot__LateStart *,
				  MAX_TASKS_PER_KEY);
	TAILQ_FOREACH(task, late_unsent(late, LATE_TO_STORE),
		      channels[LATE_TO_STORE].entry) {
		if (msg.n_starts == MAX_TASKS_PER_KEY)
			break;
		msg.starts[msg.n_starts++] = pack_row(msg.starts, task, now_ms);
	}
	lease_node->ports->keep_late_starts(lease_node->ports->ctx, &msg);
	talloc_free(msg.starts);
	late_mark_sent(late, LATE_TO_STORE, msg.n_starts);
}

void lease_node_send_late_starts(struct lease_node *lease_node, uint64_t now_ms)
{
	lease_node_tell_late_starts(lease_node, now_ms);
	keep_in_store(lease_node, now_ms);
}

void lease_node_late_starts_kept(struct lease_node *lease_node, bool is_kept,
				 uint64_t now_ms)
{
	lease_node->is_keeping = false;
	if (is_kept)
		return;
	log_warning(LOG_PEER,
		    "starts without an answer are not kept in the store; tried "
		    "again in %d ms",
		    KEEP_RETRY_MS);
	late_mark_unsent(tasks_of(lease_node), LATE_TO_STORE);
	lease_node->keep_due_ms = now_ms + KEEP_RETRY_MS;
}

void lease_node_send_all_late_starts(struct lease_node *lease_node, uint64_t to,
				     uint64_t now_ms)
{
	struct late_task *task = late_first(tasks_of(lease_node));
	struct leader_member *m = leader_find(lease_node->members, to);
	struct rows rows = { .to = to, .now_ms = now_ms };

	if (m)
		m->missed_late_starts = false;
	if (!task)
		return;
	rows.mem = talloc_new(lease_node);
	/* Others' starts are in the store, and with the entries of their jobs.
	 */
	for (; task; task = task->hh.next)
		if (task->worker && task->until_ms > now_ms)
			add_row(lease_node, &rows, task);
	send_rows(lease_node, &rows, lease_node->late_starts_number);
	talloc_free(rows.mem);
}

void lease_node_tell_leader(struct lease_node *lease_node, uint64_t now_ms)
{
	struct late_task *task = late_first(tasks_of(lease_node));
	struct rows rows = { .to = lease_node->leader, .now_ms = now_ms };

#ifdef BREAK_TELL_LEADER
	return;
#endif
	if (!task || !lease_node->leader ||
	    lease_node->leader == lease_node->options.incarnation)
		return;
	rows.mem = talloc_new(lease_node);
	for (; task; task = task->hh.next)
		if (task->was_linked && !task->worker &&
		    task->until_ms > now_ms)
			add_row(lease_node, &rows, task);
	send_rows(lease_node, &rows, 0);
	talloc_free(rows.mem);
}

/* Returns NULL, or why a member's note must not be merged. */
static const char *find_fault(const Bergamot__LateStart *row)
{
	if (!step_job_is_task(row->task))
		return "it does not name a task";
	if (row->over_in_ms > LATE_START_MAX_OVER_MS)
		return "it waits for too long";
	return NULL;
}

/* Starts announced with their order are many; most are withdrawn at once. */
static void log_row(struct lease_node *lease_node, uint64_t from,
		    const Bergamot__LateStart *row)
{
	const struct late_task *known =
		late_find(tasks_of(lease_node), row->task);

	if (row->ahead || (known && known->is_ahead))
		log_debug(LOG_PEER,
			  "task %s: started by member %016" PRIx64
			  "; waits %u ms at most",
			  row->task, from, row->over_in_ms);
	else
		log_info(LOG_PEER,
			 "task %s: a start by member %016" PRIx64
			 " has no answer; waits %u ms at most",
			 row->task, from, row->over_in_ms);
}

static void merge_late_starts(struct lease_node *lease_node, uint64_t from,
			      const Bergamot__LateStarts *msg, bool is_linked,
			      uint64_t now_ms)
{
	for (size_t i = 0; i < msg->n_starts; i++) {
		const Bergamot__LateStart *row = msg->starts[i];
		const char *fault = find_fault(row);
		struct late_task *task;

		if (fault) {
			log_warning(LOG_PEER,
				    "dropped a late start of member "
				    "%016" PRIx64 ": %s",
				    from, fault);
			continue;
		}
		log_row(lease_node, from, row);
		task = late_merge(tasks_of(lease_node), row->task, from,
				  row->over_in_ms ? now_ms + row->over_in_ms
						  : 0);
		if (!task)
			continue;
		task->is_ahead = row->ahead;
		task->was_linked |= is_linked;
	}
}

void lease_node_on_late_starts(struct lease_node *lease_node, uint64_t from,
			       const Bergamot__LateStarts *msg, uint64_t now_ms)
{
	struct leader_member *m = leader_find(lease_node->members, from);

	if (m && msg->after <= m->late_starts_number &&
	    msg->number > m->late_starts_number)
		m->late_starts_number = msg->number;
	merge_late_starts(lease_node, from, msg, true, now_ms);
}

void lease_node_late_starts_read(struct lease_node *lease_node, uint64_t from,
				 const Bergamot__LateStarts *msg,
				 uint64_t now_ms)
{
	struct leader_member *m = leader_find(lease_node->members, from);

	if (from == lease_node->options.incarnation ||
	    (m && msg->number <= m->late_starts_number))
		return;
	if (m)
		m->late_starts_number = msg->number;
	merge_late_starts(lease_node, from, msg, false, now_ms);
}
