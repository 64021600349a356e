#ifndef CORE_HANDOVER_H
#define CORE_HANDOVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "core/job_id.h"
#include "core/ports.h"
#include "core/record.h"

/*
 * Hand-over of a stopping owner's records to a successor, which then answers
 * for the owner's job ids: with the record's outcome, or with "closed" if an id
 * has no record. If a successor fails, the records are sent to another one.
 * This may be repeated safely: the records are final by then, so that two
 * successors give the same answers.
 *
 * Also keeps a table of routes: for each stopped incarnation, the one that
 * answers for its ids. A wrong route leads to an "unknown", never to a wrong
 * answer.
 */

struct handover;

struct handover_options {
	const struct ports *ports;
	struct record_table *records;
	uint64_t incarnation;
	uint64_t ttl_ms; /* life of an id, from the grant of its block */
	uint32_t part_records; /* in one message; 0 means 1024 */
	/*
	 * Writes the incarnations that may become the successor, the best
	 * first, and returns their number.
	 */
	size_t (*candidates)(void *ctx, uint64_t *out, size_t max);
	void *ctx;
};

/* Copies the options; owned by mem. */
struct handover *handover_create(TALLOC_CTX *mem,
				 const struct handover_options *options);

/* Functions of the stopping owner */

/* Starts the hand-over. Every record must be final. */
void handover_begin(struct handover *handover, uint64_t now_ms);

/* Returns true from handover_begin on, also when the hand-over is done. */
bool handover_has_begun(const struct handover *handover);

/*
 * Returns true when the last part is acknowledged, or when there was no
 * candidate to send the records to.
 */
bool handover_is_done(const struct handover *handover);

/* Returns the successor that acknowledged the last part; 0 if none has yet. */
uint64_t handover_successor(const struct handover *handover);

/* Sends the next part, or completes the hand-over after the last one. */
void handover_receive_ack(struct handover *handover, uint64_t from,
			  const Bergamot__HandOverAck *ack, uint64_t now_ms);

/*
 * To be called when an instance is lost or leaves. If it is the successor, all
 * records are sent to another candidate.
 */
void handover_lost(struct handover *handover, uint64_t incarnation,
		   uint64_t now_ms);

/*
 * Sends all records to another candidate if the successor has not acknowledged
 * a part in time. Removes expired owners and routes.
 */
void handover_tick(struct handover *handover, uint64_t now_ms);

/* Functions of the successor */

/*
 * Adopts a part and acknowledges it. Not to be called while this instance
 * stops, so that the sender chooses another successor.
 */
void handover_receive(struct handover *handover, uint64_t from,
		      const Bergamot__HandOver *msg, uint64_t now_ms);

enum handover_id_status {
	HANDOVER_NOT_ADOPTED, /* not the successor of the id's owner */
	HANDOVER_CLOSED, /* the job never ran and never will */
	HANDOVER_EXPIRED, /* the job may have run: its record may be gone */
};

/* Returns the status of an id of another owner that has no record here. */
enum handover_id_status handover_check_id(const struct handover *handover,
					  const struct job_id *id,
					  uint64_t now_ms);

/*
 * Writes the incarnations that this instance answers for; returns their number,
 * at most max.
 */
size_t handover_list_adopted(const struct handover *handover, uint64_t *out,
			     size_t max);

/*
 * Returns true for some seconds after an adoption, while it is to be announced
 * to all members.
 */
bool handover_is_announcing(const struct handover *handover, uint64_t now_ms);

/* Routing */

/* Adds a route: the successor answers for the ids of incarnation. */
void handover_add_route(struct handover *handover, uint64_t incarnation,
			uint64_t successor, uint64_t now_ms);

/*
 * Returns the incarnation that answers for the ids of another; the same one if
 * there is no route.
 */
uint64_t handover_find_successor(const struct handover *handover,
				 uint64_t incarnation);

#endif
