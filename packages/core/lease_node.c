#include "core/lease_node_state.h"

#include <inttypes.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"

/* Interval of raising the claim while workers obey another instance. */
#define FOREIGN_RAISE_MS 4000
/* Others may have elected another leader after LEADER_VALID_MS. */
#define MAX_PAUSE_MS (LEADER_VALID_MS - LEADER_BEAT_MS)
/* Registrations last for at least three heartbeats of 1.5 s. */
#define FIRST_READ_MS 4000
/*
 * Instances of a data centre that read the list of workers; several, since a
 * rack may fail.
 */
#define STANDBY_COUNT 3
/* Ranks beyond STANDBY_COUNT at which a standby remains; avoids flapping. */
#define STANDBY_HYSTERESIS 2
/* Beats of most other instances have arrived this long after the start. */
#define STANDBY_WAIT_MS 100
/*
 * A leader's next beat arrives within this time: its idle loop's period and the
 * network delay.
 */
#define HOLD_BACK_MS 400

/* Pauses */

/* Reports instances that no longer count us as live to the dispatcher. */
static void expire_entries(struct lease_node *lease_node, uint64_t now_ms)
{
	struct leader_member *m;

	if (!lease_node->claim)
		return;
	for (m = leader_members(lease_node->members); m; m = m->hh.next) {
		if (!m->valid_until_ms || m->valid_until_ms > now_ms)
			continue;
		lease_remove_entry(lease_node->dispatch, m->incarnation,
				   m->valid_until_ms, LEASE_ABANDON_MS);
		m->valid_until_ms = 0;
	}
}

/*
 * After a pause of the process another instance may lead. No task starts until
 * its beats have had time to arrive.
 */
void lease_node_check_pause(struct lease_node *lease_node, uint64_t now_ms)
{
	uint64_t gap_ms = now_ms - lease_node->active_ms;

	if (lease_node->active_ms && gap_ms > MAX_PAUSE_MS) {
		log_warning(LOG_MAIN,
			    "this process was paused for %" PRIu64 " ms; "
			    "it starts no task for %d ms",
			    gap_ms, HOLD_BACK_MS);
		counter_add(COUNTER_PAUSES, 1);
		leader_note_pause(lease_node->members);
		expire_entries(lease_node, now_ms);
		lease_abandon_due(lease_node->dispatch, now_ms);
#ifndef BREAK_HOLD_BACK
		lease_defer_starts(lease_node->dispatch, now_ms + HOLD_BACK_MS);
#endif
	}
	lease_node->active_ms = now_ms;
}

/* Leading */

static void release_lead(struct lease_node *lease_node, uint64_t now_ms)
{
	lease_release(lease_node->dispatch);
	lease_node_send_outcomes(lease_node);
	lease_node_send_crashes(lease_node, now_ms);
	lease_node_send_late_starts(lease_node, now_ms);
}

/* Applies a change of the leader. */
static void apply_leader(struct lease_node *lease_node, uint64_t now_ms)
{
	uint64_t claim = leader_claim(lease_node->members);
	uint64_t leader = leader_current(lease_node->members);

	if (claim != lease_node->claim) {
		if (!claim)
			release_lead(lease_node, now_ms);
		else
			lease_lead(lease_node->dispatch, claim, now_ms);
		lease_node->claim = claim;
	}
	if (leader)
		lease_node->leaderless_ms = 0;
	else if (!lease_node->leaderless_ms)
		lease_node->leaderless_ms = now_ms;
	if (leader == lease_node->leader)
		return;
	lease_node->leader = leader;
	lease_node_tell_leader(lease_node, now_ms);
	lease_node_reassign(lease_node, now_ms);
}

static void update_standby(struct lease_node *lease_node, uint64_t now_ms)
{
	uint32_t better =
		leader_count_better_local(lease_node->members, now_ms);
	uint32_t limit =
		STANDBY_COUNT + (lease_node->standby ? STANDBY_HYSTERESIS : 0);
	bool standby =
		lease_node->claim ||
		(better < limit && !leader_is_overloaded(lease_node->members));

	if (standby == lease_node->standby ||
	    now_ms - lease_node->options.now_ms < STANDBY_WAIT_MS)
		return;
	lease_node->standby = standby;
	log_info(LOG_MEMBER,
		 "this instance %s the list of workers: %u instances of its "
		 "data centre have a larger processor share",
		 standby ? "reads" : "no longer reads", better);
}

static void elect_leader(struct lease_node *lease_node, uint64_t now_ms)
{
	leader_elect(lease_node->members, now_ms,
		     lease_node->ports->wall_ms(lease_node->ports->ctx));
	apply_leader(lease_node, now_ms);
}

/*
 * Raises the claim if workers obey an instance that sends no beats here. If its
 * claim was above ours, it is no longer live. If not, it may be cut off by a
 * partition, and we wait longer. Only an instance with a majority reclaims
 * workers.
 */
static void reclaim_workers(struct lease_node *lease_node, uint64_t now_ms)
{
	struct lease_pool *pool = lease_pool(lease_node->dispatch);
	bool outranked = leader_is_outranked(lease_node->members);
	uint64_t foreign_ms = pool_longest_foreign_ms(pool, now_ms);

	if (!lease_node->claim ||
	    !leader_has_majority(lease_node->members, now_ms) ||
	    foreign_ms < (outranked ? LEADER_VALID_MS : FOREIGN_RAISE_MS) ||
	    (!outranked &&
	     now_ms - lease_node->claim_raised_ms < FOREIGN_RAISE_MS))
		return;
	lease_node->claim_raised_ms = now_ms;
	leader_raise_claim(lease_node->members, now_ms,
			   lease_node->ports->wall_ms(lease_node->ports->ctx));
	lease_node->claim = leader_claim(lease_node->members);
	pool_lead(pool, lease_node->claim, now_ms);
}

void lease_node_tick(struct lease_node *lease_node, uint64_t now_ms)
{
	lease_node_check_pause(lease_node, now_ms);
	expire_entries(lease_node, now_ms);
	leader_set_preferred(lease_node->members,
			     lease_node->workers_followed_ms &&
				     now_ms - lease_node->workers_followed_ms >=
					     POOL_LONGEST_PARTITION_MS);
	elect_leader(lease_node, now_ms);
	update_standby(lease_node, now_ms);
	leader_note_token(lease_node->members,
			  pool_highest_fence(lease_pool(lease_node->dispatch)));
	reclaim_workers(lease_node, now_ms);
	lease_node_send_beats(lease_node, now_ms);
	relay_tick(lease_node->relay, now_ms);
	lease_tick(lease_node->dispatch, now_ms);
	lease_node_send_crashes(lease_node, now_ms);
	lease_node_send_outcomes(lease_node);
	lease_node_send_late_starts(lease_node, now_ms);
	lease_node_expire_jobs(lease_node, now_ms);
}

void lease_node_flush(struct lease_node *lease_node, uint64_t now_ms)
{
	lease_node_check_pause(lease_node, now_ms);
	if (lease_node->run_due)
		lease_run(lease_node->dispatch, now_ms);
	lease_node->run_due = false;
	lease_node_send_crashes(lease_node, now_ms);
	lease_node_send_starts(lease_node);
	relay_flush(lease_node->relay);
}

void lease_node_schedule_run(struct lease_node *lease_node)
{
	lease_node->run_due = true;
	lease_node->ports->wake(lease_node->ports->ctx);
}

/* Configuration */

const struct queue_config *
lease_node_config(const struct lease_node *lease_node)
{
	return lease_node->config;
}

void lease_node_config_read(struct lease_node *lease_node, const char *text,
			    size_t len, uint64_t now_ms)
{
	struct queue_config *read = lease_node->ports->parse_config(
		lease_node->ports->ctx, lease_node, text, len);

	if (!read)
		return; /* the port has logged why */
	if (lease_node->config &&
	    read->version <= lease_node->config->version) {
		talloc_free(read);
		return;
	}
	log_info(LOG_CONFIG,
		 "configuration %" PRIu64 " in force, previously %" PRIu64
		 ": %zu queues, %zu services",
		 read->version,
		 lease_node->config ? lease_node->config->version : 0,
		 read->queue_count, read->service_count);
	counter_add(COUNTER_CONFIG_CHANGES, 1);
	talloc_free(lease_node->config);
	lease_node->config = read;
	lease_node->config_packed = NULL;
	lease_node->config_read_ms = now_ms;
}

/* Workers */

bool lease_node_reads_workers(const struct lease_node *lease_node)
{
	return lease_node->standby;
}

void lease_node_worker_list_closed(struct lease_node *lease_node)
{
	lease_node->workers_followed_ms = 0;
	pool_note_list_dropped(lease_pool(lease_node->dispatch));
	leader_set_eligible(lease_node->members, false);
}

bool lease_node_worker_listed(struct lease_node *lease_node,
			      const struct pool_registration *registration,
			      uint64_t now_ms)
{
	if (!pool_register_worker(lease_pool(lease_node->dispatch),
				  registration, now_ms))
		return false;
	lease_node_send_crashes(lease_node, now_ms);
	return true;
}

void lease_node_worker_removed(struct lease_node *lease_node, const char *id,
			       uint64_t now_ms)
{
	pool_unregister_worker(lease_pool(lease_node->dispatch), id, now_ms);
}

void lease_node_worker_list_current(struct lease_node *lease_node,
				    uint64_t as_of_ms)
{
	pool_note_list_current(lease_pool(lease_node->dispatch), as_of_ms);
}

/*
 * Returns true at the first start of the whole system, when no instance has led
 * before and no registration that another instance may have read has expired.
 * When the list is read anew, one may have.
 */
static bool is_first_read(const struct lease_node *lease_node, uint64_t now_ms)
{
	return lease_node->options.first_start &&
	       !lease_node->had_worker_list &&
	       now_ms > POOL_LONGEST_PARTITION_MS &&
	       now_ms - lease_node->options.now_ms <= FIRST_READ_MS;
}

void lease_node_worker_list_complete(struct lease_node *lease_node,
				     uint64_t now_ms)
{
	uint64_t followed_ms = now_ms;

	if (is_first_read(lease_node, now_ms))
		followed_ms -= POOL_LONGEST_PARTITION_MS;
#ifdef BREAK_LIST_ANEW
	if (lease_node->workers_followed_ms)
		return;
#endif
	lease_node->had_worker_list = true;
	lease_node->workers_followed_ms = followed_ms;
	pool_note_list_read(lease_pool(lease_node->dispatch), followed_ms);
	leader_set_eligible(lease_node->members, true);
}

void lease_node_start_answered(struct lease_node *lease_node, uint64_t token,
			       const struct pool_reply *reply, uint64_t now_ms)
{
	lease_node_check_pause(lease_node, now_ms);
	if (relay_start_answered(lease_node->relay, token, reply))
		return;
	pool_start_answered(lease_pool(lease_node->dispatch), token, reply,
			    now_ms);
	if (reply->answer != POOL_OK)
		lease_run(lease_node->dispatch, now_ms);
}

void lease_node_stop_answered(struct lease_node *lease_node, uint64_t token,
			      const struct pool_reply *reply, uint64_t now_ms)
{
	lease_node_check_pause(lease_node, now_ms);
	if (relay_stop_answered(lease_node->relay, token, reply))
		return;
	pool_stop_answered(lease_pool(lease_node->dispatch), token, reply,
			   now_ms);
}

void lease_node_hold_answered(struct lease_node *lease_node, const char *worker,
			      uint64_t serial, const struct pool_reply *reply,
			      const struct pool_lists *lists, uint64_t now_ms)
{
	lease_node_check_pause(lease_node, now_ms);
	if (relay_hold_answered(lease_node->relay, serial, reply, lists))
		return;
	pool_hold_answered(lease_pool(lease_node->dispatch), worker, serial,
			   reply, lists, now_ms);
	lease_run(lease_node->dispatch, now_ms);
	lease_node_send_crashes(lease_node, now_ms);
}

void lease_node_record_lag(struct lease_node *lease_node, uint64_t lag_ms)
{
	leader_record_lag(lease_node->members, lag_ms);
}

/* Members */

void lease_node_member_listed(struct lease_node *lease_node,
			      const char *address)
{
	struct lease_node_address *entry;

	if (!strcmp(address, lease_node->options.address) ||
	    HASH_COUNT(lease_node->addresses) >= LEASE_NODE_MAX_ADDRESSES)
		return;
	HASH_FIND_STR(lease_node->addresses, address, entry);
	if (entry)
		return;
	entry = talloc_zero(lease_node, struct lease_node_address);
	entry->text = talloc_strdup(entry, address);
	HASH_ADD_KEYPTR(hh, lease_node->addresses, entry->text,
			strlen(entry->text), entry);
	if (lease_node->members_read)
		lease_node_member_list_complete(lease_node);
	lease_node->ports->dial(lease_node->ports->ctx, address);
}

void lease_node_member_list_complete(struct lease_node *lease_node)
{
	lease_node->members_read = true;
	leader_set_registered(lease_node->members,
			      HASH_COUNT(lease_node->addresses) + 1);
}

void lease_node_peer_up(struct lease_node *lease_node,
			const Bergamot__Hello *hello, uint64_t now_ms)
{
	lease_node_check_pause(lease_node, now_ms);
	leader_link_up(lease_node->members, hello, now_ms);
	lease_node_send_all_crashes(lease_node, hello->incarnation, now_ms);
	lease_node_send_all_late_starts(lease_node, hello->incarnation, now_ms);
	if (hello->incarnation == lease_node->leader)
		lease_node_tell_leader(lease_node, now_ms);
	lease_node_send_beats(lease_node, now_ms);
	lease_node_reassign(lease_node, now_ms);
}

void lease_node_peer_down(struct lease_node *lease_node, uint64_t incarnation,
			  uint64_t now_ms)
{
	lease_node_check_pause(lease_node, now_ms);
	leader_link_down(lease_node->members, incarnation, now_ms);
	relay_member_lost(lease_node->relay, incarnation, now_ms);
	if (lease_node->claim)
		lease_remove_entry(lease_node->dispatch, incarnation, now_ms,
				   LEASE_RELINK_MS);
	lease_node_take_back_jobs(lease_node, incarnation, now_ms);
	elect_leader(lease_node, now_ms);
}

/* State */

bool lease_node_is_ready(const struct lease_node *lease_node)
{
	return lease_node->config && lease_node->leader &&
	       !lease_node->stopping;
}

bool lease_node_leads(const struct lease_node *lease_node)
{
	return lease_node->claim != 0;
}

bool lease_node_is_idle(const struct lease_node *lease_node)
{
	return !lease_node->jobs && !lease_load(lease_node->dispatch).jobs &&
	       !lease_node->leaderless_ms;
}

uint32_t lease_node_count_open_jobs(const struct lease_node *lease_node)
{
	return HASH_COUNT(lease_node->jobs);
}

struct lease_dispatch *lease_node_dispatch(struct lease_node *lease_node)
{
	return lease_node->dispatch;
}

struct leadership *lease_node_members(struct lease_node *lease_node)
{
	return lease_node->members;
}

void lease_node_begin_stop(struct lease_node *lease_node, uint64_t ends_ms,
			   uint64_t now_ms)
{
	if (lease_node->stopping)
		return;
	lease_node->ends_ms = ends_ms;
	log_info(LOG_MAIN, "stopping: %u open jobs, leads %s",
		 lease_node_count_open_jobs(lease_node),
		 lease_node->claim ? "yes" : "no");
	lease_node->stopping = true;
	leader_stop(lease_node->members);
	/* What others must know to lead goes before the beat. */
	apply_leader(lease_node, now_ms);
	lease_node_send_beats(lease_node, now_ms);
}

static int destroy(struct lease_node *lease_node)
{
	HASH_CLEAR(hh, lease_node->jobs);
	HASH_CLEAR(hh, lease_node->addresses);
	HASH_CLEAR(hh, lease_node->backlogs);
	HASH_CLEAR(hh, lease_node->start_batches);
	return 0;
}

static void send_relayed(void *ctx, uint64_t incarnation,
			 const Bergamot__Peer *msg)
{
	struct lease_node *lease_node = ctx;

	lease_node->ports->send(lease_node->ports->ctx, incarnation, msg);
}

static void refresh_workers(void *ctx)
{
	struct lease_node *lease_node = ctx;

	if (lease_node->ports->refresh_workers)
		lease_node->ports->refresh_workers(lease_node->ports->ctx);
	else
		lease_node_worker_list_current(lease_node,
					       lease_node->active_ms);
}

/*
 * An entry sends a cancel before its next beat over the same link. So when it
 * received the beat that it echoes, its callers still waited for their jobs.
 */
static uint64_t last_waited_ms(void *ctx, uint64_t entry, uint64_t now_ms)
{
	struct lease_node *lease_node = ctx;
	const struct leader_member *m;

	if (entry == lease_node->options.incarnation)
		return now_ms;
	m = leader_find(lease_node->members, entry);
	return m ? m->echoed_ms : 0;
}

static void wake_for_relay(void *ctx)
{
	struct lease_node *lease_node = ctx;

	lease_node->ports->wake(lease_node->ports->ctx);
}

static struct lease_relay *create_relay(struct lease_node *lease_node)
{
	struct relay_options options = {
		.local = lease_node->ports->workers,
		.members = lease_node->members,
		.direct_workers = lease_node->options.direct_workers,
		.send = send_relayed,
		.wake = wake_for_relay,
		.ctx = lease_node,
		.now_ms = lease_node->options.now_ms,
	};

	return relay_create(lease_node, &options);
}

struct lease_node *lease_node_create(TALLOC_CTX *mem,
				     const struct lease_node_options *options)
{
	struct lease_node *lease_node = talloc_zero(mem, struct lease_node);
	struct leader_options members = {
		.incarnation = options->incarnation,
		.address = options->address,
		.data_centre = options->data_centre,
		.weight = options->weight,
		.now_ms = options->now_ms,
	};
	struct lease_options dispatch = {
		.order = options->order,
		.place = options->place,
		.lease_ms = options->lease_ms,
		.stop_ms = options->stop_ms,
		.far_factor = options->far_factor,
		.admission = options->admission,
		.seed = options->seed,
		.answer = lease_node_on_answer,
		.failed = lease_node_on_failed,
		.start_noted = lease_node_on_start,
		.send_starts = lease_node_send_starts,
		.refresh_workers = refresh_workers,
		.last_waited_ms = last_waited_ms,
		.ctx = lease_node,
	};

	lease_node->options = *options;
	TAILQ_INIT(&lease_node->ended);
	lease_node->ports = options->ports;
	lease_node->leaderless_ms = options->now_ms;
	lease_node->members = leader_create(lease_node, &members);
	lease_node->relay = create_relay(lease_node);
	dispatch.ports = relay_ports(lease_node->relay);
	lease_node->dispatch = lease_create(lease_node, &dispatch);
	relay_set_pool(lease_node->relay, lease_pool(lease_node->dispatch));
	talloc_set_destructor(lease_node, destroy);
	return lease_node;
}
