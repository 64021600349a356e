#include "core/lease_node_state.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"

/* A message holds so many tasks at most; more go into further ones. */
#define MAX_TASKS_PER_MESSAGE 256

static Bergamot__WorkerCrash *
pack_crash(TALLOC_CTX *mem, const struct crash_note *crash, uint64_t now_ms)
{
	Bergamot__WorkerCrash *row = talloc(mem, Bergamot__WorkerCrash);

	bergamot__worker_crash__init(row);
	row->worker = crash->worker;
	row->born_ms = crash->born_ms;
	row->alone = crash->is_alone;
	row->confirmed = crash->is_confirmed;
	row->withdrawn = crash->is_withdrawn;
	row->in_wave = crash->is_in_wave;
	row->under_way = !crash->is_doubtful;
	row->age_ms = (uint32_t)(now_ms - crash->noted_ms);
	return row;
}

static Bergamot__TaskCrashes *
pack_record(TALLOC_CTX *mem, struct crash_record *record, uint64_t now_ms)
{
	Bergamot__TaskCrashes *row = talloc(mem, Bergamot__TaskCrashes);

	bergamot__task_crashes__init(row);
	row->task = record->task;
	row->crashes =
		talloc_array(mem, Bergamot__WorkerCrash *, record->count);
	row->n_crashes = record->count;
	for (uint32_t i = 0; i < record->count; i++)
		row->crashes[i] = pack_crash(mem, &record->crashes[i], now_ms);
	return row;
}

/* Sends rows to one member, or if to is 0 to all that are linked. */
static void send_rows(struct lease_node *lease_node, uint64_t to,
		      bool only_eligible, Bergamot__TaskCrashes **rows,
		      size_t count)
{
	Bergamot__CrashRecords msg = BERGAMOT__CRASH_RECORDS__INIT;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	const struct leader_member *m;

	if (!count)
		return;
	msg.tasks = rows;
	msg.n_tasks = count;
	peer.body_case = BERGAMOT__PEER__BODY_CRASH_RECORDS;
	peer.crash_records = &msg;
	if (to) {
		lease_node->ports->send(lease_node->ports->ctx, to, &peer);
		return;
	}
	for (m = leader_members(lease_node->members); m; m = m->hh.next)
		if (m->linked && (m->weight || !only_eligible))
			lease_node->ports->send(lease_node->ports->ctx,
						m->incarnation, &peer);
}

enum selection { ALL_RECORDS, UNSENT_RECORDS, RECORDS_AHEAD };

static void send_records(struct lease_node *lease_node, uint64_t to,
			 const struct crash_records *records,
			 enum selection selection, uint64_t now_ms)
{
	struct crash_record *record = crash_first(records);
	Bergamot__TaskCrashes *rows[MAX_TASKS_PER_MESSAGE];
	TALLOC_CTX *mem;
	size_t count = 0;

	if (!record)
		return;
	mem = talloc_new(lease_node);
	for (; record; record = record->hh.next) {
		if (selection == UNSENT_RECORDS && !record->is_unsent)
			continue;
		rows[count++] = pack_record(mem, record, now_ms);
		if (count < MAX_TASKS_PER_MESSAGE)
			continue;
		send_rows(lease_node, to, selection == RECORDS_AHEAD, rows,
			  count);
		count = 0;
	}
	send_rows(lease_node, to, selection == RECORDS_AHEAD, rows, count);
	talloc_free(mem);
}

void lease_node_send_crashes(struct lease_node *lease_node, uint64_t now_ms)
{
	struct crash_records *records = lease_crashes(lease_node->dispatch);
	struct crash_records *ahead = lease_crashes_ahead(lease_node->dispatch);

#ifdef BREAK_CRASH_RECORDS
	crash_clear(ahead);
	return;
#endif
	if (crash_has_unsent(records))
		send_records(lease_node, 0, records, UNSENT_RECORDS, now_ms);
	crash_mark_all_sent(records);
	send_records(lease_node, 0, ahead, RECORDS_AHEAD, now_ms);
	crash_clear(ahead);
}

void lease_node_send_all_crashes(struct lease_node *lease_node, uint64_t to,
				 uint64_t now_ms)
{
	send_records(lease_node, to, lease_crashes(lease_node->dispatch),
		     ALL_RECORDS, now_ms);
}

/* Returns NULL, or why a member's record must not be merged. */
static const char *find_fault(const Bergamot__TaskCrashes *row)
{
	if (!step_job_is_task(row->task))
		return "it does not name a task";
	if (!row->n_crashes || row->n_crashes > CRASH_RECORD_MAX_CRASHES)
		return "too few or too many crashes";
	for (size_t i = 0; i < row->n_crashes; i++) {
		if (!row->crashes[i]->born_ms)
			return "a worker without a start time";
		if (row->crashes[i]->age_ms >= CRASH_RECORD_KEEP_MS)
			return "a crash that has expired";
	}
	return NULL;
}

static void merge_row(struct lease_node *lease_node,
		      const Bergamot__TaskCrashes *row, uint64_t now_ms)
{
	struct crash_records *records = lease_crashes(lease_node->dispatch);

	for (size_t i = 0; i < row->n_crashes; i++) {
		const Bergamot__WorkerCrash *from = row->crashes[i];
		struct crash_note crash = {
			.worker = from->worker,
			.born_ms = from->born_ms,
			.noted_ms = now_ms > from->age_ms
					    ? now_ms - from->age_ms
					    : 0,
			.is_alone = from->alone,
			.is_confirmed = from->confirmed,
			.is_withdrawn = from->withdrawn,
			.is_in_wave = from->in_wave,
			.is_doubtful = !from->under_way,
		};

		crash_note(records, row->task, &crash);
	}
}

void lease_node_on_crashes(struct lease_node *lease_node, uint64_t from,
			   const Bergamot__CrashRecords *msg, uint64_t now_ms)
{
	for (size_t i = 0; i < msg->n_tasks; i++) {
		const char *fault = find_fault(msg->tasks[i]);

		if (!fault) {
			merge_row(lease_node, msg->tasks[i], now_ms);
			continue;
		}
		log_warning(LOG_PEER,
			    "dropped a crash record of member %016" PRIx64
			    ": %s",
			    from, fault);
	}
	lease_apply_crashes(lease_node->dispatch, now_ms);
}
