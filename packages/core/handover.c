#include "core/handover.h"

#include <string.h>

#include "base/hash_table.h"

#define MAX_PART_RECORDS 1024 /* in one message */
#define MAX_PART_BYTES (1u << 20) /* of results in one message */
#define ACK_TIMEOUT_MS 5000 /* another successor is tried after it */
#define MAX_CANDIDATES 64
#define MAX_ROUTES 1024
#define MAX_ROUTE_HOPS 16
#define ANNOUNCE_MS 3000 /* an adoption is announced for this time */
/*
 * Adopted records are kept for this time beyond the expiry of their ids, so
 * that a record is not removed before its id counts as expired, even if the
 * parts were delayed in transit.
 */
#define RECORD_MARGIN_MS 60000

/* A stopped owner for whose ids this instance answers. */
struct owner {
	UT_hash_handle hh;
	uint64_t incarnation;
	uint64_t owner_clock_ms; /* the owner's clock at adopted_ms */
	uint64_t adopted_ms;
	uint64_t ttl_ms;
};

struct route {
	UT_hash_handle hh;
	uint64_t incarnation;
	uint64_t successor;
	uint64_t learned_ms;
};

struct handover {
	struct handover_options options;
	struct owner *owners;
	struct route *routes;
	uint64_t announce_until_ms;
	/* The current transfer to a successor. */
	bool begun;
	bool done;
	uint64_t successor; /* receives the records; has all when done */
	uint64_t transfer;
	uint32_t part;
	uint32_t attempts;
	uint64_t sent_ms;
	struct job_id *ids; /* of the records to be sent */
	size_t id_count;
	size_t next;
};

/* uthash allocates its tables outside talloc. */
static int destroy(struct handover *handover)
{
	HASH_CLEAR(hh, handover->owners);
	HASH_CLEAR(hh, handover->routes);
	return 0;
}

struct handover *handover_create(TALLOC_CTX *mem,
				 const struct handover_options *options)
{
	struct handover *handover = talloc_zero(mem, struct handover);

	talloc_set_destructor(handover, destroy);
	handover->options = *options;
	if (!options->part_records || options->part_records > MAX_PART_RECORDS)
		handover->options.part_records = MAX_PART_RECORDS;
	return handover;
}

/* Sending */

static void collect_id(void *ctx, struct record *record)
{
	struct handover *handover = ctx;
	struct job_id *id = &handover->ids[handover->id_count++];

	id->incarnation = record->incarnation;
	id->serial = record->serial;
}

static uint64_t owner_clock(const struct owner *owner, uint64_t now_ms)
{
	return owner->owner_clock_ms + (now_ms - owner->adopted_ms);
}

static void fill_owner(Bergamot__ClosedOwner *msg, uint64_t incarnation,
		       uint64_t now_ms, uint64_t ttl_ms)
{
	bergamot__closed_owner__init(msg);
	msg->incarnation = incarnation;
	msg->now_ms = now_ms;
	msg->ttl_ms = ttl_ms;
}

/* Lists this instance and the owners it has adopted. */
static void fill_owners(struct handover *handover, TALLOC_CTX *mem,
			Bergamot__HandOver *msg, uint64_t now_ms)
{
	size_t n = HASH_COUNT(handover->owners) + 1;
	Bergamot__ClosedOwner *all =
		talloc_array(mem, Bergamot__ClosedOwner, (unsigned)n);
	struct owner *o, *next;

	msg->owners = talloc_array(all, Bergamot__ClosedOwner *, (unsigned)n);
	for (size_t i = 0; i < n; i++)
		msg->owners[i] = &all[i];
	fill_owner(&all[msg->n_owners++], handover->options.incarnation, now_ms,
		   handover->options.ttl_ms);
	HASH_ITER(hh, handover->owners, o, next)
		fill_owner(&all[msg->n_owners++], o->incarnation,
			   owner_clock(o, now_ms), o->ttl_ms);
}

struct part {
	Bergamot__Record records[MAX_PART_RECORDS];
	Bergamot__Outcome outcomes[MAX_PART_RECORDS];
	Bergamot__Record *pointers[MAX_PART_RECORDS];
};

static void fill_record(struct part *part, size_t i,
			const struct record *record, uint64_t now_ms)
{
	Bergamot__Record *msg = &part->records[i];

	bergamot__record__init(msg);
	bergamot__outcome__init(&part->outcomes[i]);
	outcome_to_wire(&record->outcome, &part->outcomes[i]);
	msg->incarnation = record->incarnation;
	msg->serial = record->serial;
	msg->body_hash = record->body_hash;
	msg->outcome = &part->outcomes[i];
	msg->remaining_ms = (uint32_t)record_remaining_ms(record, now_ms);
	part->pointers[i] = msg;
}

/* Omits records that expired since the transfer began. */
static void fill_records(struct handover *handover, struct part *part,
			 Bergamot__HandOver *msg, uint64_t now_ms)
{
	size_t bytes = 0;

	msg->records = part->pointers;
	while (handover->next < handover->id_count &&
	       msg->n_records < handover->options.part_records &&
	       bytes < MAX_PART_BYTES) {
		struct record *record =
			record_find(handover->options.records,
				    &handover->ids[handover->next++]);

		if (!record || record->job)
			continue;
		fill_record(part, msg->n_records, record, now_ms);
		bytes += part->outcomes[msg->n_records++].results.len;
	}
}

static void send_part(struct handover *handover, uint64_t now_ms)
{
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	Bergamot__HandOver msg = BERGAMOT__HAND_OVER__INIT;
	struct part *part = talloc(NULL, struct part);

	fill_records(handover, part, &msg, now_ms);
	msg.transfer = handover->transfer;
	msg.part = ++handover->part;
	msg.last = handover->next == handover->id_count;
	if (msg.last)
		fill_owners(handover, part, &msg, now_ms);
	peer.body_case = BERGAMOT__PEER__BODY_HAND_OVER;
	peer.hand_over = &msg;
	handover->sent_ms = now_ms;
	handover->options.ports->send(handover->options.ports->ctx,
				      handover->successor, &peer);
	talloc_free(part);
}

static uint64_t pick_successor(struct handover *handover)
{
	uint64_t incarnations[MAX_CANDIDATES];
	size_t n = handover->options.candidates(handover->options.ctx,
						incarnations, MAX_CANDIDATES);

	return n ? incarnations[handover->attempts++ % n] : 0;
}

static void start_transfer(struct handover *handover, uint64_t now_ms)
{
	const struct ports *ports = handover->options.ports;
	size_t records = record_count(handover->options.records);

	TALLOC_FREE(handover->ids);
	handover->successor = pick_successor(handover);
	handover->done = !handover->successor;
	if (handover->done)
		return;
	handover->ids =
		talloc_array(handover, struct job_id, (unsigned)records + 1);
	handover->id_count = handover->next = 0;
	handover->part = 0;
	handover->transfer = ports->random_id(ports->ctx);
	record_each(handover->options.records, collect_id, handover);
	send_part(handover, now_ms);
}

void handover_begin(struct handover *handover, uint64_t now_ms)
{
	handover->begun = true;
#ifdef BREAK_HAND_OVER
	handover->done = true;
	return;
#endif
	start_transfer(handover, now_ms);
}

bool handover_has_begun(const struct handover *handover)
{
	return handover->begun;
}

bool handover_is_done(const struct handover *handover)
{
	return handover->done;
}

uint64_t handover_successor(const struct handover *handover)
{
	return handover->done ? handover->successor : 0;
}

void handover_receive_ack(struct handover *handover, uint64_t from,
			  const Bergamot__HandOverAck *ack, uint64_t now_ms)
{
	if (!handover->begun || handover->done || from != handover->successor ||
	    ack->transfer != handover->transfer || ack->part != handover->part)
		return;
	if (handover->next < handover->id_count) {
		send_part(handover, now_ms);
		return;
	}
	handover->done = true;
	TALLOC_FREE(handover->ids);
	handover_add_route(handover, handover->options.incarnation,
			   handover->successor, now_ms);
}

void handover_lost(struct handover *handover, uint64_t incarnation,
		   uint64_t now_ms)
{
	if (handover->begun && handover->successor == incarnation)
		start_transfer(handover, now_ms);
}

/* Adopting */

static struct owner *find_owner(const struct handover *handover,
				uint64_t incarnation)
{
	struct owner *o;

	HASH_FIND(hh, handover->owners, &incarnation, sizeof(incarnation), o);
	return o;
}

static void adopt_owner(struct handover *handover,
			const Bergamot__ClosedOwner *msg, uint64_t now_ms)
{
	struct owner *o = find_owner(handover, msg->incarnation);

	if (o || msg->incarnation == handover->options.incarnation)
		return;
	o = talloc_zero(handover, struct owner);
	o->incarnation = msg->incarnation;
	o->owner_clock_ms = msg->now_ms;
	o->adopted_ms = now_ms;
	o->ttl_ms = msg->ttl_ms;
	HASH_ADD(hh, handover->owners, incarnation, sizeof(o->incarnation), o);
	handover_add_route(handover, msg->incarnation,
			   handover->options.incarnation, now_ms);
}

static void adopt_record(struct handover *handover, const Bergamot__Record *msg,
			 uint64_t now_ms)
{
	struct record record = {
		.incarnation = msg->incarnation,
		.serial = msg->serial,
		.body_hash = msg->body_hash,
	};
	TALLOC_CTX *mem = talloc_new(handover);

	record.outcome = outcome_from_wire(mem, msg->outcome);
	if (record.incarnation != handover->options.incarnation)
		record_adopt(handover->options.records, &record,
			     now_ms + msg->remaining_ms + RECORD_MARGIN_MS,
			     now_ms);
	talloc_free(mem);
}

static void send_ack(struct handover *handover, uint64_t to,
		     const Bergamot__HandOver *msg)
{
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	Bergamot__HandOverAck ack = BERGAMOT__HAND_OVER_ACK__INIT;

	ack.transfer = msg->transfer;
	ack.part = msg->part;
	peer.body_case = BERGAMOT__PEER__BODY_HAND_OVER_ACK;
	peer.hand_over_ack = &ack;
	handover->options.ports->send(handover->options.ports->ctx, to, &peer);
}

void handover_receive(struct handover *handover, uint64_t from,
		      const Bergamot__HandOver *msg, uint64_t now_ms)
{
	for (size_t i = 0; i < msg->n_records; i++)
		adopt_record(handover, msg->records[i], now_ms);
	for (size_t i = 0; msg->last && i < msg->n_owners; i++)
		adopt_owner(handover, msg->owners[i], now_ms);
	if (msg->last)
		handover->announce_until_ms = now_ms + ANNOUNCE_MS;
	send_ack(handover, from, msg);
}

enum handover_id_status handover_check_id(const struct handover *handover,
					  const struct job_id *id,
					  uint64_t now_ms)
{
	const struct owner *o = find_owner(handover, id->incarnation);

	if (!o)
		return HANDOVER_NOT_ADOPTED;
#ifdef BREAK_NOT_RUN
	return HANDOVER_CLOSED;
#endif
	if (id->granted_ms + o->ttl_ms <= owner_clock(o, now_ms))
		return HANDOVER_EXPIRED;
	return HANDOVER_CLOSED;
}

size_t handover_list_adopted(const struct handover *handover, uint64_t *out,
			     size_t max)
{
	struct owner *o, *next;
	size_t n = 0;

	HASH_ITER(hh, handover->owners, o, next)
		if (n < max)
			out[n++] = o->incarnation;
	return n;
}

bool handover_is_announcing(const struct handover *handover, uint64_t now_ms)
{
	return now_ms < handover->announce_until_ms;
}

/* Routing */

void handover_add_route(struct handover *handover, uint64_t incarnation,
			uint64_t successor, uint64_t now_ms)
{
	struct route *r;

	HASH_FIND(hh, handover->routes, &incarnation, sizeof(incarnation), r);
	if (!r && HASH_COUNT(handover->routes) >= MAX_ROUTES)
		return;
	if (!r) {
		r = talloc_zero(handover, struct route);
		r->incarnation = incarnation;
		HASH_ADD(hh, handover->routes, incarnation,
			 sizeof(r->incarnation), r);
	}
	r->successor = successor;
	r->learned_ms = now_ms;
}

uint64_t handover_find_successor(const struct handover *handover,
				 uint64_t incarnation)
{
	for (int hops = 0; hops < MAX_ROUTE_HOPS; hops++) {
		struct route *r;

		HASH_FIND(hh, handover->routes, &incarnation,
			  sizeof(incarnation), r);
		if (!r)
			break;
		incarnation = r->successor;
	}
	return incarnation;
}

/* Time */

static void remove_expired_owners(struct handover *handover, uint64_t now_ms)
{
	struct owner *o, *next;

	/*
	 * An owner has granted all its ids before it stopped, so all of them
	 * have expired when their lifetime has passed since its adoption.
	 */
	HASH_ITER(hh, handover->owners, o, next) {
		if (o->adopted_ms + o->ttl_ms > now_ms)
			continue;
		HASH_DEL(handover->owners, o);
		talloc_free(o);
	}
}

static void remove_expired_routes(struct handover *handover, uint64_t now_ms)
{
	struct route *r, *next;

	HASH_ITER(hh, handover->routes, r, next) {
		if (r->learned_ms + handover->options.ttl_ms > now_ms)
			continue;
		HASH_DEL(handover->routes, r);
		talloc_free(r);
	}
}

void handover_tick(struct handover *handover, uint64_t now_ms)
{
	remove_expired_owners(handover, now_ms);
	remove_expired_routes(handover, now_ms);
	if (handover->begun && !handover->done &&
	    now_ms >= handover->sent_ms + ACK_TIMEOUT_MS)
		start_transfer(handover, now_ms);
}
