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
 * for its ids: by the record, or "closed" where there is none. Sent again to
 * another successor as often as needed, because records are final by then and
 * two successors give the same answers.
 *
 * Also keeps who answers for the ids of incarnations that stopped. A wrong
 * entry there costs an "unknown", never a wrong answer.
 */

struct handover;

struct handover_options {
	const struct ports *ports;
	struct record_table *records;
	uint64_t incarnation;
	uint64_t ttl_ms; /* life of an id, from its block's grant */
	uint32_t part_records; /* in one message; 0 means 1024 */
	/* Writes who may take over, the best first; returns how many. */
	size_t (*candidates)(void *ctx, uint64_t *out, size_t max);
	void *ctx;
};

/* Copies the options; owned by mem. */
struct handover *handover_create(TALLOC_CTX *mem,
				 const struct handover_options *options);

/* At the stopping owner. */

/* Begins once every record is final. */
void handover_begin(struct handover *handover, uint64_t now_ms);

/* True from handover_begin on, also when it is done. */
bool handover_has_begun(const struct handover *handover);

/* True when it is acknowledged, or nobody is there to take it. */
bool handover_is_done(const struct handover *handover);

/* Who took over; 0 before the last acknowledgement. */
uint64_t handover_successor(const struct handover *handover);

/* The successor has a part: the next one is sent, or the hand-over is done. */
void handover_acked(struct handover *handover, uint64_t from,
		    const Bergamot__HandOverAck *ack, uint64_t now_ms);

/* A candidate was lost or leaves: another one gets all records. */
void handover_lost(struct handover *handover, uint64_t incarnation,
		   uint64_t now_ms);

/* Gives up on a successor that is silent, and forgets what has expired. */
void handover_tick(struct handover *handover, uint64_t now_ms);

/* At the successor. */

/*
 * Adopts a part and acknowledges it. Not to be called while this instance
 * stops: the sender then goes to another.
 */
void handover_receive(struct handover *handover, uint64_t from,
		      const Bergamot__HandOver *msg, uint64_t now_ms);

enum handover_verdict {
	HANDOVER_NOT_ADOPTED, /* nothing can be told about the id */
	HANDOVER_CLOSED, /* never ran and never will */
	HANDOVER_EXPIRED, /* too old to tell */
};

/* Judges an id without a record, of another owner. */
enum handover_verdict handover_judge(const struct handover *handover,
				     const struct job_id *id, uint64_t now_ms);

/* Incarnations this instance answers for, written to out. */
size_t handover_adopted(const struct handover *handover, uint64_t *out,
			size_t max);

/* True for some seconds after an adoption, which is to be told to all. */
bool handover_has_news(const struct handover *handover, uint64_t now_ms);

/* Routing. */

/* A peer said that successor answers for the ids of incarnation. */
void handover_learn(struct handover *handover, uint64_t incarnation,
		    uint64_t successor, uint64_t now_ms);

/* Who answers for the ids of an incarnation; itself when nothing is known. */
uint64_t handover_route(const struct handover *handover, uint64_t incarnation);

#endif
