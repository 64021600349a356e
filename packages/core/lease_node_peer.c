#include "core/lease_node_state.h"

#include <inttypes.h>
#include <string.h>

#include "base/counter.h"
#include "base/host_port.h"
#include "base/json_text.h"
#include "base/log.h"
#include "wire/deflate.h"

#define MAX_CONFIG_BYTES (4u << 20) /* of a document as text */
#define MAX_BACKLOGS 256
/* Limits of a job from an entry, whose settings limit it further. */
#define MAX_JOB_TASKS 100000
#define MAX_HANDED 10000 /* earlier leaders; bounds run numbers */
/* Members that reach the store have read a new configuration by then. */
#define OFFER_WAIT_MS 300
#define OFFER_SPREAD_MS 2000
#define OFFER_RETRY_MS 1000 /* it may be on its way over a slow link */

static void send_to(struct lease_node *lease_node, uint64_t to,
		    const Bergamot__Peer *msg)
{
	lease_node->ports->send(lease_node->ports->ctx, to, msg);
}

/* Beats */

struct waiting_rows {
	TALLOC_CTX *mem;
	Bergamot__QueueWaiting **rows;
	size_t count;
};

static void add_waiting(void *ctx, const char *queue, uint32_t waiting)
{
	struct waiting_rows *rows = ctx;
	Bergamot__QueueWaiting *row;

	for (size_t i = 0; i < rows->count; i++)
		if (!strcmp(rows->rows[i]->queue, queue)) {
			rows->rows[i]->waiting += waiting;
			return;
		}
	if (rows->count >= MAX_BACKLOGS)
		return;
	row = talloc(rows->mem, Bergamot__QueueWaiting);
	bergamot__queue_waiting__init(row);
	row->queue = (char *)queue;
	row->waiting = waiting;
	rows->rows = talloc_realloc(rows->mem, rows->rows,
				    Bergamot__QueueWaiting *, rows->count + 1);
	rows->rows[rows->count++] = row;
}

static void set_backlog(struct lease_node *lease_node, const char *queue,
			uint32_t waiting)
{
	struct lease_node_backlog *backlog;

	HASH_FIND_STR(lease_node->backlogs, queue, backlog);
	if (!backlog) {
		backlog = talloc_zero(lease_node, struct lease_node_backlog);
		backlog->queue = talloc_strdup(backlog, queue);
		HASH_ADD_KEYPTR(hh, lease_node->backlogs, backlog->queue,
				strlen(backlog->queue), backlog);
	}
	backlog->waiting = waiting;
}

static void clear_backlogs(struct lease_node *lease_node)
{
	struct lease_node_backlog *backlog, *next;

	HASH_ITER(hh, lease_node->backlogs, backlog, next) {
		HASH_DEL(lease_node->backlogs, backlog);
		talloc_free(backlog);
	}
}

/* Lists the members whose link came up since the last beat to this member. */
static void fill_addresses(struct lease_node *lease_node,
			   struct leader_member *to, TALLOC_CTX *mem,
			   Bergamot__LeaderBeat *beat, uint64_t now_ms)
{
	const struct leader_member *m;

	for (m = leader_members(lease_node->members); m; m = m->hh.next) {
		if (!m->linked || m->link_changed_ms < to->listed_ms)
			continue;
		beat->addresses = talloc_realloc(mem, beat->addresses, char *,
						 beat->n_addresses + 1);
		beat->addresses[beat->n_addresses++] = m->address;
	}
	to->listed_ms = now_ms;
}

static void send_beat(struct lease_node *lease_node,
		      struct leader_member *member,
		      const struct waiting_rows *rows, uint64_t now_ms)
{
	Bergamot__LeaderBeat beat = BERGAMOT__LEADER_BEAT__INIT;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;

	leader_fill_beat(lease_node->members, member, &beat, now_ms);
	beat.config_version =
		lease_node->config ? lease_node->config->version : 0;
	beat.waiting = rows->rows;
	beat.n_waiting = rows->count;
	fill_addresses(lease_node, member, rows->mem, &beat, now_ms);
	peer.body_case = BERGAMOT__PEER__BODY_LEADER_BEAT;
	peer.leader_beat = &beat;
	counter_add(COUNTER_PEER_HEARTBEATS, 1);
	send_to(lease_node, member->incarnation, &peer);
}

void lease_node_send_beats(struct lease_node *lease_node, uint64_t now_ms)
{
	struct waiting_rows rows = { .mem = NULL };
	struct leader_member *m;
	bool listed = false;

	for (m = leader_members(lease_node->members); m; m = m->hh.next) {
		if (!leader_beat_due(lease_node->members, m, now_ms))
			continue;
		if (!listed) {
			rows.mem = talloc_new(lease_node);
			if (lease_node->claim)
				lease_each_waiting(lease_node->dispatch,
						   add_waiting, &rows);
			listed = true;
		}
		send_beat(lease_node, m, &rows, now_ms);
	}
	if (listed && lease_node->claim) {
		clear_backlogs(lease_node);
		for (size_t i = 0; i < rows.count; i++)
			set_backlog(lease_node, rows.rows[i]->queue,
				    rows.rows[i]->waiting);
	}
	talloc_free(rows.mem);
}

static void send_config(struct lease_node *lease_node,
			struct leader_member *member, uint64_t now_ms)
{
	const struct queue_config *config = lease_node->config;
	Bergamot__ConfigOffer offer = BERGAMOT__CONFIG_OFFER__INIT;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;

	if (!lease_node->config_packed)
		lease_node->config_packed = deflate_pack(
			lease_node->config, config->text, config->text_len);
	offer.version = config->version;
	offer.deflated.data = lease_node->config_packed;
	offer.deflated.len = talloc_get_size(lease_node->config_packed);
	offer.text_len = (uint32_t)config->text_len;
	peer.body_case = BERGAMOT__PEER__BODY_CONFIG_OFFER;
	peer.config_offer = &offer;
	member->offered_version = config->version;
	member->offered_ms = now_ms;
	log_info(LOG_CONFIG,
		 "configuration %" PRIu64 " sent to member %s, which has "
		 "%" PRIu64,
		 config->version, member->instance, member->config_version);
	send_to(lease_node, member->incarnation, &peer);
}

/*
 * Sends the configuration to a member whose beat has an older version. Members
 * read it from the store by themselves, at about the same time; only one that
 * cannot is to get it here. The leader, which receives the most beats, goes
 * before the others, and these follow one after the other.
 */
static void offer_config(struct lease_node *lease_node,
			 struct leader_member *member, uint64_t now_ms)
{
	uint64_t wait_ms = OFFER_WAIT_MS;

	if (!lease_node->claim)
		wait_ms += lease_node->options.incarnation % OFFER_SPREAD_MS;
	if (!lease_node->config ||
	    member->config_version >= lease_node->config->version ||
	    now_ms - lease_node->config_read_ms < wait_ms ||
	    now_ms - member->link_changed_ms < wait_ms ||
	    (member->offered_version == lease_node->config->version &&
	     now_ms - member->offered_ms < OFFER_RETRY_MS))
		return;
	send_config(lease_node, member, now_ms);
}

/* Dials an instance that a beat names. */
static void note_address(struct lease_node *lease_node, const char *address)
{
	size_t len = strlen(address);
	char sample[JSON_TEXT_SAMPLE_BYTES];

	if (host_port_classify(address, len) == HOST_PORT_NUMERIC) {
		lease_node_member_listed(lease_node, address);
		return;
	}
	json_text_sample(sample, sizeof(sample), address, len);
	log_info(LOG_MEMBER, "address %s in a beat is not IP:PORT; ignored",
		 sample);
}

static void on_beat(struct lease_node *lease_node, uint64_t from,
		    const Bergamot__LeaderBeat *beat, uint64_t now_ms)
{
	struct leader_member *member = leader_find(lease_node->members, from);

	leader_receive_beat(lease_node->members, from, beat, now_ms);
	for (size_t i = 0; i < beat->n_addresses; i++)
		note_address(lease_node, beat->addresses[i]);
	if (beat->claim && from == lease_node->leader) {
		clear_backlogs(lease_node);
		for (size_t i = 0; i < beat->n_waiting && i < MAX_BACKLOGS; i++)
			set_backlog(lease_node, beat->waiting[i]->queue,
				    beat->waiting[i]->waiting);
	}
	if (member)
		offer_config(lease_node, member, now_ms);
}

/* Configuration */

static void on_config(struct lease_node *lease_node,
		      const Bergamot__ConfigOffer *offer, uint64_t now_ms)
{
	char *text;

	if (lease_node->config && offer->version <= lease_node->config->version)
		return;
	text = deflate_unpack(lease_node, offer->deflated.data,
			      offer->deflated.len, offer->text_len,
			      MAX_CONFIG_BYTES);
	if (text)
		lease_node_config_read(lease_node, text, offer->text_len,
				       now_ms);
	else
		log_warning(LOG_CONFIG,
			    "dropped configuration %" PRIu64
			    " of a peer: it cannot be decompressed",
			    offer->version);
	talloc_free(text);
}

/* Jobs */

static Bergamot__JobStep *pack_step(TALLOC_CTX *mem, const struct job_step *s)
{
	Bergamot__JobStep *step = talloc(mem, Bergamot__JobStep);

	bergamot__job_step__init(step);
	step->count = s->count;
	step->cpu_milli = s->demand.cpu_milli;
	step->mem_mb = s->demand.mem_mb;
	step->accelerators = s->demand.accelerators;
	step->estimate_ms = s->estimate_ms;
	step->max_per_worker = s->max_per_worker;
	if (s->label)
		step->label = s->label;
	if (s->rack)
		step->rack = s->rack;
	step->after = s->after;
	step->n_after = s->after_count;
	return step;
}

void lease_node_send_job(struct lease_node *lease_node,
			 const struct lease_node_job *job, uint64_t to,
			 uint64_t now_ms)
{
	Bergamot__QueueJob msg = BERGAMOT__QUEUE_JOB__INIT;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	TALLOC_CTX *mem = talloc_new(lease_node);

	msg.request = job->request;
	msg.id = (char *)job->id;
	msg.queue = job->queue;
	msg.service = job->service;
	msg.priority = job->priority;
	msg.attempts = job->attempts;
	msg.objective_ms = (uint32_t)job->objective_ms;
	if (job->deadline_ms > now_ms)
		msg.remaining_ms = (uint32_t)(job->deadline_ms - now_ms);
	msg.age_ms = (uint32_t)(now_ms - job->received_ms);
	msg.handed = job->handed;
	if (job->closed_ms > now_ms)
		msg.closed_in_ms = (uint32_t)(job->closed_ms - now_ms);
	if (job->no_start_ms > now_ms)
		msg.no_start_in_ms = (uint32_t)(job->no_start_ms - now_ms);
	msg.attempt = job->failed.attempt;
	msg.failed = lease_node_pack_failed(mem, &job->failed);
	msg.n_failed = job->failed.count;
	msg.open_starts = lease_node_pack_starts(mem, &job->open, now_ms);
	msg.n_open_starts = job->open.count;
	msg.workers = job->places.workers;
	msg.n_workers = job->places.count;
	msg.spec.data = (uint8_t *)job->job->text;
	msg.spec.len = strlen(job->job->text);
	msg.n_steps = job->job->step_count;
	msg.steps = talloc_array(mem, Bergamot__JobStep *, msg.n_steps);
	for (size_t i = 0; i < msg.n_steps; i++)
		msg.steps[i] = pack_step(mem, &job->job->steps[i]);
	peer.body_case = BERGAMOT__PEER__BODY_QUEUE_JOB;
	peer.queue_job = &msg;
	send_to(lease_node, to, &peer);
	talloc_free(mem);
}

void lease_node_send_cancel(struct lease_node *lease_node, uint64_t request,
			    const char *id, uint64_t to)
{
	Bergamot__QueueJobCancel msg = BERGAMOT__QUEUE_JOB_CANCEL__INIT;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;

	msg.request = request;
	msg.id = (char *)id;
	peer.body_case = BERGAMOT__PEER__BODY_QUEUE_JOB_CANCEL;
	peer.queue_job_cancel = &msg;
	send_to(lease_node, to, &peer);
}

void lease_node_announce_ended(struct lease_node *lease_node,
			       const struct lease_node_ended *ended,
			       uint64_t to, uint64_t now_ms)
{
	Bergamot__QueueJobCancel msg = BERGAMOT__QUEUE_JOB_CANCEL__INIT;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	TALLOC_CTX *mem = talloc_new(lease_node);

	msg.request = ended->request;
	msg.id = (char *)ended->id;
	if (ended->closed_ms > now_ms)
		msg.closed_in_ms = (uint32_t)(ended->closed_ms - now_ms);
	msg.open_starts = lease_node_pack_starts(mem, &ended->open, now_ms);
	msg.n_open_starts = ended->open.count;
	peer.body_case = BERGAMOT__PEER__BODY_QUEUE_JOB_CANCEL;
	peer.queue_job_cancel = &msg;
	send_to(lease_node, to, &peer);
	talloc_free(mem);
}

static void unpack_step(struct job_step *step, const Bergamot__JobStep *from)
{
	step->count = from->count;
	step->demand.cpu_milli = from->cpu_milli;
	step->demand.mem_mb = from->mem_mb;
	step->demand.accelerators = from->accelerators;
	step->estimate_ms = from->estimate_ms;
	step->max_per_worker = from->max_per_worker;
	step->label = *from->label ? from->label : NULL;
	step->rack = *from->rack ? from->rack : NULL;
	step->after = from->after;
	step->after_count = (uint32_t)from->n_after;
}

/* Returns NULL, or why a peer's job must not reach the dispatcher. */
static const char *find_fault(const Bergamot__QueueJob *msg,
			      const struct lease_submission *submission)
{
	struct step_job job = {
		.text = (char *)submission->text,
		.steps = (struct job_step *)submission->steps,
		.step_count = submission->step_count,
	};
	const char *message = NULL;

	if (!step_job_is_id(msg->id, strlen(msg->id)))
		return "the id is not 16 hexadecimal digits";
	if (msg->handed > MAX_HANDED)
		return "too many earlier leaders";
	memcpy(job.id, msg->id, sizeof(job.id));
	step_job_check(&job, MAX_JOB_TASKS, &message);
	return message;
}

/*
 * Returns false if the member no longer takes this instance for the leader: its
 * job waited for long to be read, and it has taken that back. One that it still
 * counts as sent here is sent again once it is refused.
 */
static bool counts_on_us(struct lease_node *lease_node, uint64_t member,
			 uint64_t now_ms)
{
	const struct leader_member *m =
		leader_find(lease_node->members, member);

	return m && m->valid_until_ms > now_ms;
}

/* Returns a time after which a member that counts on us has sent its job. */
static uint64_t sent_after_ms(struct lease_node *lease_node, uint64_t member)
{
	return leader_find(lease_node->members, member)->valid_until_ms -
	       LEADER_VALID_MS;
}

static void on_job(struct lease_node *lease_node, uint64_t from,
		   const Bergamot__QueueJob *msg, uint64_t now_ms)
{
	TALLOC_CTX *mem = talloc_new(lease_node);
	struct job_step *steps =
		talloc_zero_array(mem, struct job_step, msg->n_steps);
	struct lease_submission submission = {
		.waiter = { from, msg->request },
		.id = msg->id,
		.queue = msg->queue,
		.service = msg->service,
		.priority = msg->priority,
		.attempts = msg->attempts,
		.objective_ms = msg->objective_ms,
		.remaining_ms = msg->remaining_ms,
		.age_ms = msg->age_ms,
		.handed = msg->handed,
		.closed_in_ms = msg->closed_in_ms,
		.no_start_in_ms = msg->no_start_in_ms,
		.places = { msg->workers, (uint32_t)msg->n_workers },
		.text = talloc_strndup(mem, (const char *)msg->spec.data,
				       msg->spec.len),
		.steps = steps,
		.step_count = (uint32_t)msg->n_steps,
	};
	struct lease_answer refusal = {
		.waiter = submission.waiter,
		.id = msg->id,
		.end = LEASE_REFUSED,
		.reason = LEASE_NO_LEADER,
		.retry_after_ms = 0,
	};
	const char *fault;

	for (size_t i = 0; i < msg->n_steps; i++)
		unpack_step(&steps[i], msg->steps[i]);
	lease_node_unpack_failed(mem, &submission.failed, msg->attempt,
				 msg->failed, msg->n_failed);
	lease_node_unpack_starts(mem, &submission.open, msg->open_starts,
				 msg->n_open_starts, now_ms);
	fault = find_fault(msg, &submission);
	if (fault) {
		log_warning(LOG_PEER,
			    "refused a job of member %016" PRIx64 ": %s", from,
			    fault);
		refusal.reason = LEASE_NEVER_FITS;
		lease_node_on_answer(lease_node, &refusal);
	} else if (lease_node->claim &&
		   counts_on_us(lease_node, from, now_ms)) {
		submission.waited_ms = sent_after_ms(lease_node, from);
		lease_submit(lease_node->dispatch, &submission, now_ms);
		lease_node_schedule_run(lease_node);
	} else {
		lease_node_on_answer(lease_node, &refusal);
	}
	talloc_free(mem);
}

void lease_node_on_answer(void *ctx, const struct lease_answer *from)
{
	struct lease_node *lease_node = ctx;
	Bergamot__QueueJobEnd msg = BERGAMOT__QUEUE_JOB_END__INIT;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	struct lease_node_answer answer = {
		.request = from->waiter.request,
		.end = from->end,
		.reason = from->reason,
		.retry_after_ms = from->retry_after_ms,
	};

	if (from->waiter.entry == lease_node->options.incarnation) {
		lease_node_job_ended(lease_node, &answer);
		return;
	}
	msg.request = from->waiter.request;
	msg.id = (char *)from->id;
	msg.end = from->end;
	msg.reason = from->reason;
	msg.retry_after_ms = from->retry_after_ms;
	peer.body_case = BERGAMOT__PEER__BODY_QUEUE_JOB_END;
	peer.queue_job_end = &msg;
	send_to(lease_node, from->waiter.entry, &peer);
}

/*
 * Returns true if the job was refused because its receiver no longer leads. The
 * job is sent to the next leader.
 */
static bool is_misdirected(struct lease_node *lease_node, uint64_t from,
			   const Bergamot__QueueJobEnd *msg)
{
	struct lease_node_job *job;

	if (msg->end != LEASE_REFUSED || msg->reason != LEASE_NO_LEADER)
		return false;
	HASH_FIND(hh, lease_node->jobs, &msg->request, sizeof(msg->request),
		  job);
	if (job && job->sent_to == from)
		job->sent_to = 0;
	return true;
}

static void on_end(struct lease_node *lease_node, uint64_t from,
		   const Bergamot__QueueJobEnd *msg, uint64_t now_ms)
{
	struct lease_node_answer answer = {
		.request = msg->request,
		.end = (enum lease_end)msg->end,
		.reason = (enum lease_reason)msg->reason,
		.retry_after_ms = msg->retry_after_ms,
	};

	if (msg->end >= LEASE_END_COUNT || msg->reason >= LEASE_REASON_COUNT ||
	    is_misdirected(lease_node, from, msg))
		return;
	lease_node_cancel_elsewhere(lease_node, msg->request, from, now_ms);
	lease_node_job_ended(lease_node, &answer);
}

static void on_cancel(struct lease_node *lease_node, uint64_t from,
		      const Bergamot__QueueJobCancel *msg, uint64_t now_ms)
{
	struct lease_waiter waiter = { from, msg->request };
	struct open_starts open;
	TALLOC_CTX *mem;

	if (!lease_node->claim || !step_job_is_id(msg->id, strlen(msg->id)))
		return;
	lease_cancel(lease_node->dispatch, &waiter, msg->id, now_ms);
	if (msg->closed_in_ms)
		lease_note_open_runs(lease_node->dispatch, msg->id,
				     now_ms + msg->closed_in_ms, now_ms);
	mem = talloc_new(lease_node);
	lease_node_unpack_starts(mem, &open, msg->open_starts,
				 msg->n_open_starts, now_ms);
	lease_note_open_starts(lease_node->dispatch, from, msg->id, &open,
			       now_ms);
	talloc_free(mem);
}

void lease_node_peer_message(struct lease_node *lease_node, uint64_t from,
			     const Bergamot__Peer *msg, uint64_t now_ms)
{
	lease_node_check_pause(lease_node, now_ms);
	switch (msg->body_case) {
	case BERGAMOT__PEER__BODY_LEADER_BEAT:
		on_beat(lease_node, from, msg->leader_beat, now_ms);
		break;
	case BERGAMOT__PEER__BODY_CONFIG_OFFER:
		on_config(lease_node, msg->config_offer, now_ms);
		break;
	case BERGAMOT__PEER__BODY_QUEUE_JOB:
		on_job(lease_node, from, msg->queue_job, now_ms);
		break;
	case BERGAMOT__PEER__BODY_QUEUE_JOB_END:
		on_end(lease_node, from, msg->queue_job_end, now_ms);
		break;
	case BERGAMOT__PEER__BODY_QUEUE_JOB_FAILURES:
		lease_node_on_failures(lease_node, from,
				       msg->queue_job_failures);
		break;
	case BERGAMOT__PEER__BODY_OPEN_STARTS:
		lease_node_on_open_starts(lease_node, from, msg->open_starts,
					  now_ms);
		break;
	case BERGAMOT__PEER__BODY_QUEUE_JOB_CANCEL:
		on_cancel(lease_node, from, msg->queue_job_cancel, now_ms);
		break;
	case BERGAMOT__PEER__BODY_WORKER_ORDERS:
		relay_receive_orders(lease_node->relay, from,
				     msg->worker_orders, now_ms);
		break;
	case BERGAMOT__PEER__BODY_WORKER_ANSWERS:
		relay_receive_answers(lease_node->relay, from,
				      msg->worker_answers, now_ms);
		lease_node_schedule_run(lease_node);
		break;
	case BERGAMOT__PEER__BODY_CRASH_RECORDS:
		lease_node_on_crashes(lease_node, from, msg->crash_records,
				      now_ms);
		break;
	case BERGAMOT__PEER__BODY_LATE_STARTS:
		lease_node_on_late_starts(lease_node, from, msg->late_starts,
					  now_ms);
		break;
	default:
		log_debug(LOG_PEER,
			  "dropped message of type %d of a peer: not used "
			  "with leased workers",
			  (int)msg->body_case);
	}
}
