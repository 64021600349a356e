#include "core/lease_node_state.h"

#include <inttypes.h>

#include "base/log.h"
#include "core/late_task.h"

/* A message holds so many starts at most; more go into further ones. */
#define MAX_STARTS_PER_MESSAGE 1024

static Bergamot__OpenStart *
pack_row(TALLOC_CTX *mem, const struct open_start *start, uint64_t now_ms)
{
	Bergamot__OpenStart *row = talloc(mem, Bergamot__OpenStart);

	bergamot__open_start__init(row);
	row->step = start->step;
	row->index = start->index;
	row->run = start->number;
	if (start->over_ms > now_ms)
		row->over_in_ms = (uint32_t)(start->over_ms - now_ms);
	row->repeated = start->is_repeated;
	return row;
}

static bool has_valid_time(const Bergamot__OpenStart *row)
{
	if (row->over_in_ms <= LATE_START_MAX_OVER_MS)
		return true;
	log_warning(LOG_PEER,
		    "dropped a start that a member tells: it waits for %u ms",
		    row->over_in_ms);
	return false;
}

static struct open_start unpack_row(const Bergamot__OpenStart *row,
				    uint64_t now_ms)
{
	return (struct open_start){
		.step = row->step,
		.index = row->index,
		.number = row->run,
		.over_ms = row->over_in_ms ? now_ms + row->over_in_ms : 0,
		.is_repeated = row->repeated,
		.worker = row->worker,
		.has_ended = row->ended,
	};
}

Bergamot__OpenStart **lease_node_pack_starts(TALLOC_CTX *mem,
					     const struct open_starts *starts,
					     uint64_t now_ms)
{
	Bergamot__OpenStart **rows =
		talloc_array(mem, Bergamot__OpenStart *, starts->count);

	for (uint32_t i = 0; i < starts->count; i++)
		rows[i] = pack_row(mem, &starts->rows[i], now_ms);
	return rows;
}

void lease_node_unpack_starts(TALLOC_CTX *mem, struct open_starts *starts,
			      Bergamot__OpenStart *const *rows, size_t count,
			      uint64_t now_ms)
{
	if (count > OPEN_STARTS_MAX)
		count = OPEN_STARTS_MAX;
	starts->count = 0;
	starts->rows = talloc_array(mem, struct open_start, count);
	for (size_t i = 0; i < count; i++)
		if (has_valid_time(rows[i]))
			starts->rows[starts->count++] =
				unpack_row(rows[i], now_ms);
}

/* Returns NULL, or why a start that a leader tells must not be kept. */
static const char *find_fault(const struct lease_node_job *job, uint64_t from,
			      const struct open_start *start)
{
	if (from != job->sent_to && from != job->last_former)
		return "its sender does not have the job";
	return open_start_find_fault(start, job->job->steps,
				     job->job->step_count);
}

/*
 * Notes a start of ours with the members that may lead next, as the entry of
 * its job may not be able to tell them.
 */
static void note_for_members(struct lease_node *lease_node,
			     const struct lease_start *start)
{
	const struct open_start *row = &start->row;
	char name[STEP_JOB_TASK_BYTES];

#ifdef BREAK_TELL_AHEAD
	return;
#endif
	if (!row->worker || !row->over_ms)
		return;
	step_job_name_task(name, start->id, row->step, row->index);
	late_note_ahead(pool_late_tasks(lease_pool(lease_node->dispatch)), name,
			row->worker, row->over_ms);
	lease_node->has_own_start = true;
}

/* Returns true if what is sent to an entry now arrives, as far as is known. */
static bool is_linked(const struct lease_node *lease_node, uint64_t entry)
{
	const struct leader_member *m = leader_find(lease_node->members, entry);

	return m && m->linked && m->link_has_beat;
}

/* Notes a start with the next leaders, see late_note_handed. */
static void hand_on_start(struct lease_node *lease_node, const char *id,
			  const struct open_start *start)
{
	char name[STEP_JOB_TASK_BYTES];

#ifdef BREAK_HAND_ON
	return;
#endif
	step_job_name_task(name, id, start->step, start->index);
	late_note_handed(pool_late_tasks(lease_pool(lease_node->dispatch)),
			 name, lease_node->options.incarnation,
			 start->is_repeated ? 0 : start->number,
			 start->over_ms);
}

void lease_node_hand_on_starts(struct lease_node *lease_node, const char *id,
			       const struct open_starts *starts)
{
	for (uint32_t i = 0; i < starts->count; i++)
		hand_on_start(lease_node, id, &starts->rows[i]);
}

/*
 * Keeps a start, or strikes it out. is_late: its leader is a former one, so
 * that the present one was not told of it with the job.
 */
static void add_or_settle(struct lease_node *lease_node, TALLOC_CTX *mem,
			  const char *id, struct open_starts *open,
			  const struct open_start *start, bool is_late)
{
	char name[STEP_JOB_TASK_BYTES];

	/* A start without an answer may be carried out after its run ended. */
	if (start->has_ended)
		return;
	if (start->over_ms) {
		open_starts_add(mem, open, start, lease_node->active_ms);
		if (is_late)
			hand_on_start(lease_node, id, start);
		return;
	}
	if (!open_starts_settle(open, start))
		return;
	step_job_name_task(name, id, start->step, start->index);
	late_settle(pool_late_tasks(lease_pool(lease_node->dispatch)), name,
		    start->number);
}

/* The job has ended here when its leader's message arrives. */
static void note_for_ended(struct lease_node *lease_node, uint64_t from,
			   uint64_t request, const struct open_start *start)
{
	struct lease_node_ended *ended;

	if (open_start_find_fault(start, NULL, 0))
		return;
	TAILQ_FOREACH(ended, &lease_node->ended, entry)
		if (ended->request == request && ended->last_leader == from)
			add_or_settle(lease_node, ended, ended->id,
				      &ended->open, start,
				      ended->leader != from);
}

/*
 * Keeps where a task runs. is_late: another leader has the job by now, and may
 * have started the task since.
 */
static void note_place(struct lease_node_job *job,
		       const struct open_start *start, bool is_late)
{
	if (start->has_ended ? is_late : !start->worker)
		return;
	task_places_set(job, &job->places, job->job, start->step, start->index,
			start->has_ended ? 0 : start->worker, is_late);
}

/* Keeps a start with its job, for the next leader, or strikes it out. */
static void note_start(struct lease_node *lease_node, uint64_t from,
		       uint64_t request, const struct open_start *start)
{
	struct lease_node_job *job;
	const char *fault;

	HASH_FIND(hh, lease_node->jobs, &request, sizeof(request), job);
	if (!job) {
		note_for_ended(lease_node, from, request, start);
		return;
	}
	fault = find_fault(job, from, start);
	if (fault) {
		log_warning(LOG_PEER,
			    "job %s: dropped a start that member %016" PRIx64
			    " tells: %s",
			    job->id, from, fault);
		return;
	}
	note_place(job, start, job->sent_to && from != job->sent_to);
	add_or_settle(lease_node, job, job->id, &job->open, start,
		      from != job->sent_to);
}

static void send_batch(struct lease_node *lease_node,
		       const struct start_batch *batch)
{
	Bergamot__OpenStarts msg = BERGAMOT__OPEN_STARTS__INIT;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;

	peer.body_case = BERGAMOT__PEER__BODY_OPEN_STARTS;
	peer.open_starts = &msg;
	for (size_t i = 0; i < batch->count; i += msg.n_starts) {
		msg.starts = batch->rows + i;
		msg.n_starts = batch->count - i;
		if (msg.n_starts > MAX_STARTS_PER_MESSAGE)
			msg.n_starts = MAX_STARTS_PER_MESSAGE;
		lease_node->ports->send(lease_node->ports->ctx, batch->entry,
					&peer);
	}
}

static void send_batches(struct lease_node *lease_node, bool with_starts_only)
{
	struct start_batch *batch, *next;

	HASH_ITER(hh, lease_node->start_batches, batch, next) {
		if (with_starts_only && !batch->has_start)
			continue;
		send_batch(lease_node, batch);
		HASH_REMOVE(lease_node->start_batches, batch);
		talloc_free(batch);
	}
}

void lease_node_send_starts(void *ctx)
{
	struct lease_node *lease_node = ctx;

	send_batches(lease_node, true);
	if (lease_node->has_own_start)
		lease_node_tell_late_starts(lease_node, lease_node->active_ms);
	lease_node->has_own_start = false;
}

void lease_node_send_outcomes(struct lease_node *lease_node)
{
	send_batches(lease_node, false);
}

static struct start_batch *get_batch(struct lease_node *lease_node,
				     uint64_t entry)
{
	struct start_batch *batch;

	HASH_FIND(hh, lease_node->start_batches, &entry, sizeof(entry), batch);
	if (batch)
		return batch;
	batch = talloc_zero(lease_node, struct start_batch);
	batch->entry = entry;
	HASH_ADD(hh, lease_node->start_batches, entry, sizeof(batch->entry),
		 batch);
	return batch;
}

static void add_to_batch(struct lease_node *lease_node,
			 const struct lease_start *start)
{
	struct start_batch *batch = get_batch(lease_node, start->waiter.entry);

	if (talloc_array_length(batch->rows) == batch->count)
		batch->rows = talloc_realloc(
			batch, batch->rows, Bergamot__OpenStart *,
			batch->count ? batch->count * 2 : 8);
	batch->rows[batch->count] =
		pack_row(batch, &start->row, lease_node->active_ms);
	batch->rows[batch->count]->worker = start->row.worker;
	batch->rows[batch->count]->ended = start->row.has_ended;
	batch->rows[batch->count++]->request = start->waiter.request;
	if (!start->row.over_ms || batch->has_start)
		return;
	batch->has_start = true;
	lease_node->ports->wake(lease_node->ports->ctx);
}

void lease_node_on_start(void *ctx, const struct lease_start *start)
{
	struct lease_node *lease_node = ctx;
	uint64_t entry = start->waiter.entry;

	/* An entry that is this process is lost with it. */
	if (entry == lease_node->options.incarnation ||
	    !is_linked(lease_node, entry))
		note_for_members(lease_node, start);
	if (entry == lease_node->options.incarnation)
		note_start(lease_node, entry, start->waiter.request,
			   &start->row);
	else
		add_to_batch(lease_node, start);
}

void lease_node_on_open_starts(struct lease_node *lease_node, uint64_t from,
			       const Bergamot__OpenStarts *msg, uint64_t now_ms)
{
	for (size_t i = 0; i < msg->n_starts; i++) {
		const Bergamot__OpenStart *row = msg->starts[i];
		struct open_start start = unpack_row(row, now_ms);

		if (has_valid_time(row))
			note_start(lease_node, from, row->request, &start);
	}
}
