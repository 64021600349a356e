#include "core/lease_node_state.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/counter.h"
#include "base/histogram.h"
#include "base/log.h"
#include "core/late_task.h"

/* Jobs wait up to this long without a leader; after that they are refused. */
#define MAX_LEADERLESS_MS 1500
/*
 * Runs that a former leader started have lapsed by then: a lease and clock
 * drift.
 */
#define RUNS_CLOSED_MS 1100
/*
 * A leader from which no beats arrive has given up this instance's jobs after
 * this time: this instance's beats to it have lost their validity
 * (LEADER_VALID_MS), and it has waited for this instance to come back.
 */
#define ABANDONED_MS (LEADER_VALID_MS + LEASE_ABANDON_MS)
/* A leader from which no beats arrive, and its runs, since its last beat. */
#define CLOSED_MS (ABANDONED_MS + RUNS_CLOSED_MS)
/* Past a job's deadline, for the leader's own answer to arrive. */
#define ANSWER_GRACE_MS 100
#define RETRY_AFTER_MS 1000 /* another instance leads by then */

static void answer_caller(struct lease_node *lease_node,
			  struct lease_node_job *job, enum lease_end end,
			  enum lease_reason reason, uint32_t retry_after_ms)
{
	struct lease_node_answer answer = {
		.request = job->request,
		.end = end,
		.reason = reason,
		.retry_after_ms = retry_after_ms,
	};

	counter_add(end == LEASE_COMPLETED  ? COUNTER_JOBS_COMPLETE
		    : end == LEASE_REFUSED  ? COUNTER_JOBS_REFUSED
		    : end == LEASE_GIVEN_UP ? COUNTER_JOBS_UNKNOWN
					    : COUNTER_JOBS_FAILED,
		    1);
	histogram_observe_ms(HISTOGRAM_JOB,
			     lease_node->active_ms - job->received_ms);
	lease_node->ports->answer(lease_node->ports->ctx, &answer);
	talloc_free(job);
}

static void cancel_at(struct lease_node *lease_node,
		      const struct lease_node_job *job, uint64_t leader,
		      uint64_t now_ms)
{
	struct lease_waiter waiter = { leader, job->request };

	if (leader == lease_node->options.incarnation)
		lease_cancel(lease_node->dispatch, &waiter, job->id, now_ms);
	else if (leader)
		lease_node_send_cancel(lease_node, job->request, job->id,
				       leader);
}

/* Cancels a job at the leaders that may have it, also this instance. */
static void cancel_at_leaders(struct lease_node *lease_node,
			      const struct lease_node_job *job, uint64_t now_ms)
{
	cancel_at(lease_node, job, job->sent_to, now_ms);
	cancel_at(lease_node, job, job->former, now_ms);
}

/* Remembers a job that has ended without its leader's answer. */
static void add_ended(struct lease_node *lease_node, struct lease_node_job *job,
		      uint64_t now_ms)
{
	struct lease_node_ended *ended;
	uint64_t leader = job->sent_to;

	if (leader == lease_node->options.incarnation)
		leader = 0; /* it has cancelled the job */
	open_starts_expire(&job->open, now_ms);
	if (!leader && job->closed_ms <= now_ms && !job->open.count)
		return;
	ended = talloc_zero(lease_node, struct lease_node_ended);
	ended->request = job->request;
	memcpy(ended->id, job->id, sizeof(ended->id));
	ended->ended_ms = now_ms;
	ended->leader = leader;
	ended->last_leader = job->sent_to ? job->sent_to : job->last_former;
	ended->closed_ms = job->closed_ms;
	ended->open = job->open;
	talloc_steal(ended, ended->open.rows);
	job->open = (struct open_starts){ NULL, 0 };
	TAILQ_INSERT_TAIL(&lease_node->ended, ended, entry);
}

/*
 * Answers a job here: refused if it was never sent to a leader, else given up.
 */
static void end_job(struct lease_node *lease_node, struct lease_node_job *job,
		    enum lease_reason reason, uint64_t now_ms)
{
	bool never_sent = !job->sent_to && !job->handed;

	log_info(LOG_CALLER,
		 "job %s: %s (%s) after %" PRIu64 " ms, at leader %016" PRIx64
		 ", %u earlier leaders",
		 job->id,
		 lease_end_text(never_sent ? LEASE_REFUSED : LEASE_GIVEN_UP),
		 lease_reason_text(reason), now_ms - job->received_ms,
		 job->sent_to, job->handed);
	/* Cancelling it at the leader must not answer it again. */
	HASH_REMOVE(lease_node->jobs, job);
	cancel_at_leaders(lease_node, job, now_ms);
	add_ended(lease_node, job, now_ms);
	answer_caller(lease_node, job,
		      never_sent ? LEASE_REFUSED : LEASE_GIVEN_UP, reason,
		      RETRY_AFTER_MS);
}

static void submit_locally(struct lease_node *lease_node,
			   const struct lease_node_job *job, uint64_t now_ms)
{
	/* The dispatcher notes starts with the job while it reads these. */
	struct open_start *open =
		talloc_memdup(lease_node, job->open.rows,
			      job->open.count * sizeof(*job->open.rows));
	struct lease_submission submission = {
		.waiter = { lease_node->options.incarnation, job->request },
		.id = job->id,
		.queue = job->queue,
		.service = job->service,
		.priority = job->priority,
		.attempts = job->attempts,
		.objective_ms = job->objective_ms,
		.remaining_ms = job->deadline_ms > now_ms
					? job->deadline_ms - now_ms
					: 0,
		.age_ms = now_ms - job->received_ms,
		.handed = job->handed,
		.closed_in_ms =
			job->closed_ms > now_ms ? job->closed_ms - now_ms : 0,
		.waited_ms = now_ms,
		.no_start_in_ms = job->no_start_ms > now_ms
					  ? job->no_start_ms - now_ms
					  : 0,
		.failed = job->failed,
		.open = { open, job->open.count },
		.places = job->places,
		.text = job->job->text,
		.steps = job->job->steps,
		.step_count = job->job->step_count,
	};

	lease_submit(lease_node->dispatch, &submission, now_ms);
	talloc_free(open);
	lease_node_schedule_run(lease_node);
}

/*
 * Returns true if the leader is linked, and its beats arrive. It counts on us
 * from when it reads a new link's Hello, which may be later than we read its
 * own; a beat over the link shows that it has read it.
 */
static bool is_reachable(struct lease_node *lease_node, uint64_t leader,
			 uint64_t now_ms)
{
	const struct leader_member *m =
		leader_find(lease_node->members, leader);

#ifndef BREAK_LINK_BEAT
	if (m && !m->link_has_beat)
		return false;
#endif
	return m && m->linked && now_ms - m->last_beat_ms <= LEADER_QUIET_MS;
}

/*
 * Returns true if a beat shows that the leader has received what was sent to
 * it by then.
 */
static bool has_received(struct lease_node *lease_node, uint64_t leader,
			 uint64_t sent_ms)
{
	const struct leader_member *m =
		leader_find(lease_node->members, leader);

	return m && m->linked && m->valid_until_ms > sent_ms + LEADER_VALID_MS;
}

/*
 * Returns true while a former leader may start tasks of a job that was
 * cancelled there at left_ms: it counts on this instance's beats, and has not
 * received the cancel as far as is known.
 */
static bool may_still_start(struct lease_node *lease_node, uint64_t former,
			    uint64_t left_ms, uint64_t now_ms)
{
	const struct leader_member *m =
		leader_find(lease_node->members, former);

#ifdef BREAK_LEAVE_FORMER
	return false;
#endif
	return m && m->linked && m->claim &&
	       now_ms < left_ms + LEADER_VALID_MS &&
	       now_ms < m->last_beat_ms + LEADER_VALID_MS &&
	       !has_received(lease_node, former, left_ms);
}

/*
 * Notes until when a former leader may start tasks of a job although its link
 * is down: its own side may still be open, and it then counts on this
 * instance's beats.
 */
static void note_lost_former(struct lease_node *lease_node,
			     struct lease_node_job *job)
{
	const struct leader_member *m =
		leader_find(lease_node->members, job->former);

#ifdef BREAK_LOST_FORMER
	return;
#endif
	if (m && !m->linked && m->claim &&
	    m->last_beat_ms + LEADER_VALID_MS > job->no_start_ms)
		job->no_start_ms = m->last_beat_ms + LEADER_VALID_MS;
}

/*
 * Cancels a job at its former leader, unless that is to have it again. One that
 * still leads receives our beats, and would go on serving the job. Returns
 * false until the next leader may have the job: it may skip the wait for the
 * former one's runs, but knows only workers that have joined by then.
 */
static bool leave_former(struct lease_node *lease_node,
			 struct lease_node_job *job, uint64_t now_ms)
{
	if (job->former && job->former != lease_node->leader) {
		if (!job->left_ms) {
			cancel_at(lease_node, job, job->former, now_ms);
			job->left_ms = now_ms;
		}
		if (may_still_start(lease_node, job->former, job->left_ms,
				    now_ms))
			return false;
		note_lost_former(lease_node, job);
	}
	job->former = job->left_ms = 0;
	return true;
}

/* Adds a start of a task that a member other than the leader announced. */
static void add_known_start(struct lease_node *lease_node,
			    struct lease_node_job *job, uint32_t step,
			    uint32_t index, uint64_t now_ms)
{
	char name[STEP_JOB_TASK_BYTES];
	const struct late_task *late;
	struct open_start start = { .step = step, .index = index };

	step_job_name_task(name, job->id, step, index);
	late = late_find(pool_late_tasks(lease_pool(lease_node->dispatch)),
			 name);
	if (!late || !late->waits || late->until_ms <= now_ms ||
	    late->from == lease_node->leader)
		return;
	start.number = late->number;
	start.over_ms = late->until_ms;
	if (!open_starts_have(&job->open, &start))
		open_starts_add(job, &job->open, &start, now_ms);
}

/*
 * The job may have been sent before, through another entry: adds what is known
 * here of starts of its tasks.
 */
static void add_known_starts(struct lease_node *lease_node,
			     struct lease_node_job *job, uint64_t now_ms)
{
	const struct step_job *steps = job->job;

#ifdef BREAK_KNOWN_STARTS
	return;
#endif
	if (!late_has_waiting(
		    pool_late_tasks(lease_pool(lease_node->dispatch))))
		return;
	for (uint32_t s = 0; s < steps->step_count; s++)
		for (uint32_t i = 0; i < steps->steps[s].count; i++)
			add_known_start(lease_node, job, s, i, now_ms);
}

/* Sends a job to the leader, if there is one that can be reached. */
static void send_to_leader(struct lease_node *lease_node,
			   struct lease_node_job *job, uint64_t now_ms)
{
	uint64_t leader = lease_node->leader;
	bool leads = leader == lease_node->options.incarnation;

	if (!leader || (!leads && !is_reachable(lease_node, leader, now_ms)))
		return;
	if (!leave_former(lease_node, job, now_ms))
		return;
	open_starts_expire(&job->open, now_ms);
	if (!leads)
		add_known_starts(lease_node, job, now_ms);
	job->sent_to = leader;
	if (leads) {
		submit_locally(lease_node, job, now_ms);
	} else {
		counter_add(COUNTER_PEER_FORWARDS, 1);
		lease_node_send_job(lease_node, job, leader, now_ms);
	}
}

/*
 * Returns the time by which a former leader's runs of a job are certain to have
 * ended.
 */
static uint64_t runs_closed_ms(struct lease_node *lease_node, uint64_t former,
			       uint64_t now_ms)
{
	const struct leader_member *m =
		leader_find(lease_node->members, former);

	if (former == lease_node->options.incarnation)
		return now_ms + RUNS_CLOSED_MS;
	/* Its beats say that it does not lead. */
	if (m && m->linked && !m->claim)
		return now_ms + RUNS_CLOSED_MS;
	return (m ? m->last_beat_ms : now_ms) + CLOSED_MS;
}

/* Returns true if no run or start of former leaders can be open. */
static bool is_settled(struct lease_node_ended *ended, uint64_t now_ms)
{
	open_starts_expire(&ended->open, now_ms);
	return ended->closed_ms <= now_ms && !ended->open.count;
}

static void announce_ended(struct lease_node *lease_node,
			   struct lease_node_ended *ended, uint64_t now_ms)
{
	uint64_t leader = lease_node->leader;

	if (is_settled(ended, now_ms) || ended->announced_to == leader)
		return;
	ended->announced_to = leader;
	if (leader == lease_node->options.incarnation) {
		if (ended->closed_ms > now_ms)
			lease_note_open_runs(lease_node->dispatch, ended->id,
					     ended->closed_ms, now_ms);
		lease_note_open_starts(lease_node->dispatch, leader, ended->id,
				       &ended->open, now_ms);
	} else if (leader) {
		lease_node_announce_ended(lease_node, ended, leader, now_ms);
	}
}

/* Announces to a new leader the jobs that may be open at a former one. */
static void announce_all_ended(struct lease_node *lease_node, uint64_t now_ms)
{
	struct lease_node_ended *ended;
	uint64_t closed_ms;

	TAILQ_FOREACH(ended, &lease_node->ended, entry) {
		if (ended->leader && ended->leader != lease_node->leader) {
			closed_ms = runs_closed_ms(lease_node, ended->leader,
						   now_ms);
			if (closed_ms > ended->closed_ms)
				ended->closed_ms = closed_ms;
			ended->leader = 0;
		}
		if (!ended->leader)
			announce_ended(lease_node, ended, now_ms);
	}
}

static void expire_ended(struct lease_node *lease_node, uint64_t now_ms)
{
	struct lease_node_ended *ended = TAILQ_FIRST(&lease_node->ended);
	struct lease_node_ended *next;

	for (; ended; ended = next) {
		next = TAILQ_NEXT(ended, entry);
		if (ended->leader &&
		    has_received(lease_node, ended->leader, ended->ended_ms)) {
			/* It knows of all runs, the next one of no start. */
			ended->announced_to = ended->leader;
			ended->leader = 0;
			ended->closed_ms = 0;
		}
		if (ended->leader || !is_settled(ended, now_ms))
			continue;
		TAILQ_REMOVE(&lease_node->ended, ended, entry);
		talloc_free(ended);
	}
}

/*
 * The job stays at its former leader, which may be the next one, too: after a
 * link's reset or a pause of this instance it still has the job's results.
 */
static void take_back_job(struct lease_node *lease_node,
			  struct lease_node_job *job, uint64_t now_ms)
{
	uint64_t closed_ms = runs_closed_ms(lease_node, job->sent_to, now_ms);

	job->former = job->last_former = job->sent_to;
	job->left_ms = 0;
	open_starts_expire(&job->open, now_ms);
	lease_node_hand_on_starts(lease_node, job->id, &job->open);
	if (closed_ms > job->closed_ms)
		job->closed_ms = closed_ms;
	job->handed++;
	job->sent_to = 0;
}

void lease_node_take_back_jobs(struct lease_node *lease_node,
			       uint64_t incarnation, uint64_t now_ms)
{
	struct lease_node_job *job, *next;

	HASH_ITER(hh, lease_node->jobs, job, next)
		if (job->sent_to == incarnation)
			take_back_job(lease_node, job, now_ms);
}

void lease_node_reassign(struct lease_node *lease_node, uint64_t now_ms)
{
	struct lease_node_job *job, *next;
	uint32_t count = 0;

	announce_all_ended(lease_node, now_ms);
	HASH_ITER(hh, lease_node->jobs, job, next) {
		uint64_t former = job->sent_to;

		if (former && former == lease_node->leader)
			continue;
		if (former)
			take_back_job(lease_node, job, now_ms);
		send_to_leader(lease_node, job, now_ms);
		count += former || lease_node->leader;
	}
	if (count)
		log_info(LOG_CALLER,
			 "%u open jobs reassigned, leader is %016" PRIx64,
			 count, lease_node->leader);
}

/* Returns true if nobody has led for so long that jobs no longer wait. */
static bool is_leaderless_for_long(const struct lease_node *lease_node,
				   uint64_t now_ms)
{
	return lease_node->leaderless_ms &&
	       now_ms - lease_node->leaderless_ms > MAX_LEADERLESS_MS;
}

void lease_node_submit(struct lease_node *lease_node, uint64_t request,
		       const struct queue_config_queue *queue,
		       const struct step_job *from, uint64_t remaining_ms,
		       uint64_t now_ms)
{
	struct lease_node_job *job =
		talloc_zero(lease_node, struct lease_node_job);

	lease_node_check_pause(lease_node, now_ms);
	job->request = request;
	memcpy(job->id, from->id, sizeof(job->id));
	job->queue = talloc_strdup(job, queue->name);
	job->service = talloc_strdup(job, queue->service);
	job->priority = queue->priority;
	job->attempts = queue->attempts;
	job->objective_ms =
		(uint64_t)(queue->stretch *
			   (double)step_job_longest_chain_ms(from)) +
		queue->objective_ms;
	job->received_ms = now_ms;
	job->deadline_ms = now_ms + remaining_ms;
	job->job = talloc_steal(job, (struct step_job *)from);
	HASH_ADD(hh, lease_node->jobs, request, sizeof(job->request), job);
	if (lease_node->ends_ms &&
	    now_ms + job->objective_ms > lease_node->ends_ms)
		end_job(lease_node, job, LEASE_STOPPING, now_ms);
	else if (is_leaderless_for_long(lease_node, now_ms))
		end_job(lease_node, job, LEASE_NO_LEADER, now_ms);
	else
		send_to_leader(lease_node, job, now_ms);
}

void lease_node_caller_disconnected(struct lease_node *lease_node,
				    uint64_t request, uint64_t now_ms)
{
	struct lease_node_job *job;

	HASH_FIND(hh, lease_node->jobs, &request, sizeof(request), job);
	if (!job)
		return;
	log_info(LOG_CALLER, "job %s: caller disconnected after %" PRIu64 " ms",
		 job->id, now_ms - job->received_ms);
	HASH_REMOVE(lease_node->jobs, job);
	cancel_at_leaders(lease_node, job, now_ms);
	add_ended(lease_node, job, now_ms);
	talloc_free(job);
}

void lease_node_cancel_elsewhere(struct lease_node *lease_node,
				 uint64_t request, uint64_t former,
				 uint64_t now_ms)
{
	struct lease_node_job *job;

	HASH_FIND(hh, lease_node->jobs, &request, sizeof(request), job);
	if (job && job->sent_to != former)
		cancel_at(lease_node, job, job->sent_to, now_ms);
}

void lease_node_job_ended(struct lease_node *lease_node,
			  const struct lease_node_answer *answer)
{
	enum lease_end end = answer->end;
	struct lease_node_job *job;

	HASH_FIND(hh, lease_node->jobs, &answer->request,
		  sizeof(answer->request), job);
	if (!job)
		return;
	if (end == LEASE_REFUSED && job->handed)
		end = LEASE_GIVEN_UP; /* an earlier leader may have run it */
	HASH_REMOVE(lease_node->jobs, job);
	if (end == LEASE_GIVEN_UP)
		add_ended(lease_node, job, lease_node->active_ms);
	answer_caller(lease_node, job, end, answer->reason,
		      answer->retry_after_ms);
}

/*
 * Returns true if a job that no leader has had would end too late to be of use,
 * even if it started now. The next leader would refuse it, after all of the
 * backlog before it.
 */
static bool is_too_late(const struct lease_node *lease_node,
			const struct lease_node_job *job, uint64_t now_ms)
{
	uint64_t ends_ms =
		now_ms - job->received_ms + step_job_longest_chain_ms(job->job);

	return lease_node->options.admission && !job->handed &&
	       ends_ms > job->objective_ms * LEASE_MAX_OBJECTIVE_FACTOR;
}

void lease_node_expire_jobs(struct lease_node *lease_node, uint64_t now_ms)
{
	struct lease_node_job *job, *next;

	expire_ended(lease_node, now_ms);
	HASH_ITER(hh, lease_node->jobs, job, next) {
		if (now_ms >= job->deadline_ms + ANSWER_GRACE_MS)
			end_job(lease_node, job, LEASE_DEADLINE, now_ms);
		else if (job->sent_to)
			continue;
		else if (is_leaderless_for_long(lease_node, now_ms) ||
			 is_too_late(lease_node, job, now_ms))
			end_job(lease_node, job, LEASE_NO_LEADER, now_ms);
		else
			send_to_leader(lease_node, job, now_ms);
	}
}

void lease_node_end_jobs(struct lease_node *lease_node, uint64_t now_ms)
{
	struct lease_node_job *job, *next;

	HASH_ITER(hh, lease_node->jobs, job, next)
		end_job(lease_node, job, LEASE_STOPPING, now_ms);
}

uint32_t lease_node_count_waiting(struct lease_node *lease_node,
				  const char *queue)
{
	struct lease_node_backlog *backlog;
	struct lease_node_job *job;
	uint32_t waiting = 0;

	HASH_FIND_STR(lease_node->backlogs, queue, backlog);
	if (backlog)
		waiting = backlog->waiting;
	for (job = lease_node->jobs; job; job = job->hh.next)
		waiting += !job->sent_to && !strcmp(job->queue, queue);
	return waiting;
}
