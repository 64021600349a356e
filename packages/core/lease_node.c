#include "core/lease_state.h"

#include <inttypes.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"

/* A claim is raised again after so long, when a worker obeys another one. */
#define FOREIGN_RAISE_MS 4000
/* Others may have another leader after LDM_VALID_MS. */
#define PAUSE_MS (LDM_VALID_MS - LDM_BEAT_MS)
/* Registrations lapse after three heartbeats of 1.5 s at the least. */
#define FIRST_READ_MS 4000
/* Instances of a data centre that read the list of workers: a rack may go. */
#define STANDBYS 3
#define STANDBY_SLACK 2 /* they stay it for so many more: no flapping */
#define STANDBY_LOOK_MS 200 /* after the start, other instances have told */
/* A leader's next beat comes at its idle loop's pace, and takes its way. */
#define HOLD_BACK_MS 400

/* Pauses */

/*
 * The process was paused: another instance may lead by now, so that nothing
 * starts before its beats were heard. To be called before anything else.
 */
void lnd_look_for_pause(struct lnd *lnd, uint64_t now_ms)
{
	uint64_t gap_ms = now_ms - lnd->active_ms;

	if (lnd->active_ms && gap_ms > PAUSE_MS) {
		log_warning(LOG_MAIN,
			    "paused for %" PRIu64 " ms; starts nothing for "
			    "%d ms",
			    gap_ms, HOLD_BACK_MS);
		ctr_add(CTR_PAUSES, 1);
		ldp_hold_back(lnd->dispatch, now_ms + HOLD_BACK_MS);
	}
	lnd->active_ms = now_ms;
}

/* Leading */

static void check_entries(struct lnd *lnd, uint64_t now_ms)
{
	struct ldm_member *m;

	if (!lnd->claim)
		return;
	for (m = ldm_members(lnd->members); m; m = m->hh.next) {
		if (!m->valid_until_ms || m->valid_until_ms > now_ms)
			continue;
		m->valid_until_ms = 0;
		ldp_entry_lost(lnd->dispatch, m->incarnation, false, now_ms);
	}
}

/* Takes a change of the leader over. */
static void follow(struct lnd *lnd, uint64_t now_ms)
{
	uint64_t claim = ldm_claim(lnd->members);
	uint64_t leader = ldm_leader(lnd->members);

	if (claim != lnd->claim) {
		if (!claim)
			ldp_release(lnd->dispatch);
		else
			ldp_lead(lnd->dispatch, claim, now_ms);
		lnd->claim = claim;
	}
	if (leader)
		lnd->leaderless_ms = 0;
	else if (!lnd->leaderless_ms)
		lnd->leaderless_ms = now_ms;
	if (leader == lnd->leader)
		return;
	lnd->leader = leader;
	lnd_reassign(lnd, now_ms);
}

static void review_standby(struct lnd *lnd, uint64_t now_ms)
{
	uint32_t better = ldm_better_near(lnd->members, now_ms);
	uint32_t most = STANDBYS + (lnd->standby ? STANDBY_SLACK : 0);
	bool wanted = lnd->claim ||
		      (better < most && !ldm_is_overloaded(lnd->members));

	if (wanted == lnd->standby ||
	    now_ms - lnd->options.now_ms < STANDBY_LOOK_MS)
		return;
	lnd->standby = wanted;
	log_info(LOG_MEMBER,
		 "%s the list of workers: %u instances of this data centre "
		 "are larger",
		 wanted ? "reads" : "no longer reads", better);
}

static void decide(struct lnd *lnd, uint64_t now_ms)
{
	ldm_decide(lnd->members, now_ms, lnd->ports->wall_ms(lnd->ports->ctx));
	follow(lnd, now_ms);
}

/*
 * Workers that obey an instance that is not heard of: one whose claim was above
 * ours and that is gone, or one that is cut off, for which we wait. Only a
 * majority takes them back.
 */
static void take_back(struct lnd *lnd, uint64_t now_ms)
{
	struct lpl *pool = ldp_pool(lnd->dispatch);
	bool outranked = ldm_is_outranked(lnd->members);
	uint64_t foreign_ms = lpl_foreign_ms(pool, now_ms);

	if (!lnd->claim || !ldm_has_majority(lnd->members, now_ms) ||
	    foreign_ms < (outranked ? LDM_VALID_MS : FOREIGN_RAISE_MS) ||
	    (!outranked && now_ms - lnd->raised_ms < FOREIGN_RAISE_MS))
		return;
	lnd->raised_ms = now_ms;
	ldm_raise(lnd->members, now_ms, lnd->ports->wall_ms(lnd->ports->ctx));
	lnd->claim = ldm_claim(lnd->members);
	lpl_lead(pool, lnd->claim, now_ms);
}

void lnd_tick(struct lnd *lnd, uint64_t now_ms)
{
	lnd_look_for_pause(lnd, now_ms);
	check_entries(lnd, now_ms);
	ldm_set_mature(lnd->members,
		       lnd->workers_read_ms &&
			       now_ms - lnd->workers_read_ms >= LPL_DOUBT_MS);
	decide(lnd, now_ms);
	review_standby(lnd, now_ms);
	take_back(lnd, now_ms);
	lnd_send_beats(lnd, now_ms);
	rly_tick(lnd->relay, now_ms);
	ldp_tick(lnd->dispatch, now_ms);
	lnd_expire_jobs(lnd, now_ms);
}

void lnd_flush(struct lnd *lnd, uint64_t now_ms)
{
	lnd_look_for_pause(lnd, now_ms);
	if (lnd->run_due)
		ldp_run(lnd->dispatch, now_ms);
	lnd->run_due = false;
	rly_flush(lnd->relay);
}

/* Configuration */

const struct qcf *lnd_config(const struct lnd *lnd)
{
	return lnd->config;
}

void lnd_config_read(struct lnd *lnd, const char *text, size_t len,
		     uint64_t now_ms)
{
	struct qcf *read =
		lnd->ports->parse_config(lnd->ports->ctx, lnd, text, len);

	(void)now_ms;
	if (!read)
		return; /* the port has logged why */
	if (lnd->config && read->version <= lnd->config->version) {
		talloc_free(read);
		return;
	}
	log_info(LOG_CONFIG,
		 "configuration %" PRIu64 " in force after %" PRIu64
		 ": %zu queues, %zu services",
		 read->version, lnd->config ? lnd->config->version : 0,
		 read->queue_count, read->service_count);
	ctr_add(CTR_CONFIG_CHANGES, 1);
	talloc_free(lnd->config);
	lnd->config = read;
	lnd_offer_config(lnd, 0);
}

/* Workers */

bool lnd_wants_workers(const struct lnd *lnd)
{
	return lnd->standby;
}

void lnd_workers_dropped(struct lnd *lnd)
{
	lnd->workers_read_ms = 0;
	lpl_list_dropped(ldp_pool(lnd->dispatch));
	ldm_set_able(lnd->members, false);
}

void lnd_worker_listed(struct lnd *lnd, const struct lpl_entry *entry,
		       uint64_t now_ms)
{
	lpl_take_entry(ldp_pool(lnd->dispatch), entry, now_ms);
}

void lnd_worker_gone(struct lnd *lnd, const char *id, uint64_t now_ms)
{
	lpl_entry_gone(ldp_pool(lnd->dispatch), id, now_ms);
}

/*
 * At the first start of the whole system nobody has led before, and no
 * registration has lapsed yet that another instance has read.
 */
static bool knows_all_workers(const struct lnd *lnd, uint64_t now_ms)
{
	return lnd->options.first_start && now_ms > LPL_DOUBT_MS &&
	       now_ms - lnd->options.now_ms <= FIRST_READ_MS;
}

void lnd_workers_read(struct lnd *lnd, uint64_t now_ms)
{
	uint64_t since_ms = now_ms;

	if (knows_all_workers(lnd, now_ms))
		since_ms -= LPL_DOUBT_MS;
	if (!lnd->workers_read_ms)
		lnd->workers_read_ms = since_ms;
	lpl_list_read(ldp_pool(lnd->dispatch), since_ms);
	ldm_set_able(lnd->members, true);
}

void lnd_start_answered(struct lnd *lnd, uint64_t token,
			const struct lpl_reply *reply, uint64_t now_ms)
{
	lnd_look_for_pause(lnd, now_ms);
	if (rly_start_answered(lnd->relay, token, reply))
		return;
	lpl_start_answered(ldp_pool(lnd->dispatch), token, reply, now_ms);
	if (reply->answer != LPL_OK)
		ldp_run(lnd->dispatch, now_ms);
}

void lnd_stop_answered(struct lnd *lnd, uint64_t token,
		       const struct lpl_reply *reply, uint64_t now_ms)
{
	lnd_look_for_pause(lnd, now_ms);
	if (rly_stop_answered(lnd->relay, token, reply))
		return;
	lpl_stop_answered(ldp_pool(lnd->dispatch), token, reply, now_ms);
}

void lnd_hold_answered(struct lnd *lnd, const char *worker, uint64_t serial,
		       const struct lpl_reply *reply,
		       const struct lpl_lists *lists, uint64_t now_ms)
{
	lnd_look_for_pause(lnd, now_ms);
	if (rly_hold_answered(lnd->relay, serial, reply, lists))
		return;
	lpl_hold_answered(ldp_pool(lnd->dispatch), worker, serial, reply, lists,
			  now_ms);
	ldp_run(lnd->dispatch, now_ms);
}

void lnd_note_lag(struct lnd *lnd, uint64_t lag_ms)
{
	ldm_note_lag(lnd->members, lag_ms);
}

/* Members */

void lnd_member_listed(struct lnd *lnd, const char *address)
{
	struct lnd_address *known;

	if (!strcmp(address, lnd->options.address) ||
	    HASH_COUNT(lnd->addresses) >= LND_MAX_ADDRESSES)
		return;
	HASH_FIND_STR(lnd->addresses, address, known);
	if (known)
		return;
	known = talloc_zero(lnd, struct lnd_address);
	known->text = talloc_strdup(known, address);
	HASH_ADD_KEYPTR(hh, lnd->addresses, known->text, strlen(known->text),
			known);
	lnd->ports->dial(lnd->ports->ctx, address);
}

void lnd_peer_up(struct lnd *lnd, const Bergamot__Hello *hello, uint64_t now_ms)
{
	lnd_look_for_pause(lnd, now_ms);
	ldm_link_up(lnd->members, hello, now_ms);
	lnd_send_beats(lnd, now_ms);
	lnd_reassign(lnd, now_ms);
}

void lnd_peer_down(struct lnd *lnd, uint64_t incarnation, uint64_t now_ms)
{
	lnd_look_for_pause(lnd, now_ms);
	ldm_link_down(lnd->members, incarnation, now_ms);
	rly_member_lost(lnd->relay, incarnation, now_ms);
	if (lnd->claim)
		ldp_entry_lost(lnd->dispatch, incarnation, true, now_ms);
	lnd_lose_leader(lnd, incarnation, now_ms);
	decide(lnd, now_ms);
}

/* State */

bool lnd_is_ready(const struct lnd *lnd)
{
	return lnd->config && lnd->leader && !lnd->stopping;
}

bool lnd_leads(const struct lnd *lnd)
{
	return lnd->claim != 0;
}

bool lnd_is_idle(const struct lnd *lnd)
{
	return !lnd->jobs && !ldp_load(lnd->dispatch).jobs;
}

uint32_t lnd_open_jobs(const struct lnd *lnd)
{
	return HASH_COUNT(lnd->jobs);
}

struct ldp *lnd_dispatch(struct lnd *lnd)
{
	return lnd->dispatch;
}

struct ldm *lnd_members(struct lnd *lnd)
{
	return lnd->members;
}

void lnd_begin_stop(struct lnd *lnd, uint64_t ends_ms, uint64_t now_ms)
{
	if (lnd->stopping)
		return;
	lnd->ends_ms = ends_ms;
	log_info(LOG_MAIN, "stopping: %u open jobs, leads %s",
		 lnd_open_jobs(lnd), lnd->claim ? "yes" : "no");
	lnd->stopping = true;
	ldm_stop(lnd->members);
	lnd_send_beats(lnd, now_ms);
	follow(lnd, now_ms);
}

static int destroy(struct lnd *lnd)
{
	HASH_CLEAR(hh, lnd->jobs);
	HASH_CLEAR(hh, lnd->addresses);
	HASH_CLEAR(hh, lnd->backlogs);
	return 0;
}

static void send_relayed(void *ctx, uint64_t incarnation,
			 const Bergamot__Peer *msg)
{
	struct lnd *lnd = ctx;

	lnd->ports->send(lnd->ports->ctx, incarnation, msg);
}

static void wake_for_relay(void *ctx)
{
	struct lnd *lnd = ctx;

	lnd->ports->wake(lnd->ports->ctx);
}

static struct rly *create_relay(struct lnd *lnd)
{
	struct rly_options options = {
		.local = lnd->ports->workers,
		.members = lnd->members,
		.direct_workers = lnd->options.direct_workers,
		.send = send_relayed,
		.wake = wake_for_relay,
		.ctx = lnd,
		.now_ms = lnd->options.now_ms,
	};

	return rly_create(lnd, &options);
}

struct lnd *lnd_create(TALLOC_CTX *mem, const struct lnd_options *options)
{
	struct lnd *lnd = talloc_zero(mem, struct lnd);
	struct ldm_options members = {
		.incarnation = options->incarnation,
		.address = options->address,
		.data_centre = options->data_centre,
		.weight = options->weight,
		.now_ms = options->now_ms,
	};
	struct ldp_options dispatch = {
		.order = options->order,
		.place = options->place,
		.lease_ms = options->lease_ms,
		.stop_ms = options->stop_ms,
		.far_factor = options->far_factor,
		.admission = options->admission,
		.seed = options->seed,
		.answer = lnd_on_answer,
		.ctx = lnd,
	};

	lnd->options = *options;
	lnd->ports = options->ports;
	lnd->leaderless_ms = options->now_ms;
	lnd->members = ldm_create(lnd, &members);
	lnd->relay = create_relay(lnd);
	dispatch.ports = rly_ports(lnd->relay);
	lnd->dispatch = ldp_create(lnd, &dispatch);
	rly_set_pool(lnd->relay, ldp_pool(lnd->dispatch));
	talloc_set_destructor(lnd, destroy);
	return lnd;
}
