#ifndef CORE_RECORD_H
#define CORE_RECORD_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>

#include "core/job_id.h"
#include "core/outcome.h"

/*
 * Records of jobs by id: what makes a resubmission safe. A record exists from
 * the job's first submission at its owner until its id has expired; memory is
 * capped by refusing new ones, never by dropping old ones early.
 */

/* Who waits for an outcome. */
struct record_waiter {
	STAILQ_ENTRY(record_waiter) entry;
	uint64_t peer; /* incarnation of the entry instance, 0: this one */
	uint64_t request; /* its number there */
};

STAILQ_HEAD(record_waiter_list, record_waiter);

struct job;

struct record {
	uint64_t incarnation;
	uint64_t serial;
	uint64_t body_hash; /* 0: cancelled before its submission came */
	struct outcome outcome; /* OUTCOME_RUNNING while job is set */
	struct job *job; /* NULL once there is an outcome */
	struct record_waiter_list waiters;
};

struct record_table;

struct record_options {
	uint64_t memory_bytes; /* cap over all records */
	uint64_t answer_ms; /* how long whole answers are kept */
};

/* Copies the options; owned by mem. */
struct record_table *record_table_create(TALLOC_CTX *mem,
					 const struct record_options *options);

/* NULL when there is none. */
struct record *record_find(struct record_table *table, const struct job_id *id);

/*
 * Adds a record that lives until expires_ms. NULL at the memory cap: the
 * caller then refuses the job as not run.
 */
struct record *record_add(struct record_table *table, const struct job_id *id,
			  uint64_t body_hash, uint64_t expires_ms);

/* Adds a request that waits for the outcome; peer 0 is this instance. */
void record_wait(struct record *record, uint64_t peer, uint64_t request);

/*
 * Sets the outcome, copying its results. The record keeps them for answer_ms
 * and the outcome alone from then on.
 */
void record_finish(struct record_table *table, struct record *record,
		   const struct outcome *outcome, uint64_t now_ms);

/*
 * Takes over a finished record of an owner that stopped, whatever the memory
 * cap; above the cap without its results. A record that is there stays.
 */
void record_adopt(struct record_table *table, const struct record *from,
		  uint64_t expires_ms, uint64_t now_ms);

/* Milliseconds until the record may go. */
uint64_t record_remaining_ms(const struct record *record, uint64_t now_ms);

/* Drops old answers and expired records. */
void record_tick(struct record_table *table, uint64_t now_ms);

/* Calls visit for each record. */
void record_each(struct record_table *table,
		 void (*visit)(void *ctx, struct record *record), void *ctx);

/* Records held, and the memory they count for. */
size_t record_count(const struct record_table *table);
uint64_t record_memory_bytes(const struct record_table *table);

#endif
