#ifndef CORE_RECORD_H
#define CORE_RECORD_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>

#include "core/job_id.h"
#include "core/outcome.h"

/*
 * Records of jobs by id, which make resubmission safe. A record exists from the
 * job's first submission at its owner until its id has expired. At the memory
 * cap new records are refused; existing ones are never dropped early.
 */

/* A request that waits for the outcome. */
struct record_waiter {
	STAILQ_ENTRY(record_waiter) entry;
	uint64_t peer; /* incarnation of the entry instance, 0: this one */
	uint64_t request; /* its number at the entry instance */
};

STAILQ_HEAD(record_waiter_list, record_waiter);

struct job;

struct record {
	uint64_t incarnation;
	uint64_t serial;
	uint64_t body_hash; /* 0: cancelled before it was submitted */
	struct outcome outcome; /* OUTCOME_RUNNING while job is set */
	struct job *job; /* NULL once there is an outcome */
	struct record_waiter_list waiters;
};

struct record_table;

struct record_options {
	uint64_t memory_bytes; /* cap on the sum of all records */
	uint64_t answer_ms; /* how long results are kept */
};

/* Creates an empty table owned by mem; copies the options. */
struct record_table *record_table_create(TALLOC_CTX *mem,
					 const struct record_options *options);

/* The record of an id; NULL if there is none. */
struct record *record_find(struct record_table *table, const struct job_id *id);

/*
 * Adds a record that is kept until expires_ms. Returns NULL at the memory cap;
 * the caller then refuses the job as not run.
 */
struct record *record_add(struct record_table *table, const struct job_id *id,
			  uint64_t body_hash, uint64_t expires_ms);

/* Adds a request that waits for the outcome; peer 0 is this instance. */
void record_add_waiter(struct record *record, uint64_t peer, uint64_t request);

/* Returns false if no such request waits, such as after the outcome. */
bool record_remove_waiter(struct record *record, uint64_t peer,
			  uint64_t request);

/*
 * Sets the outcome and copies its results. The record keeps the results for
 * answer_ms, and only the outcome after that.
 */
void record_finish(struct record_table *table, struct record *record,
		   const struct outcome *outcome, uint64_t now_ms);

/*
 * Copies a finished record of an owner that stopped, even at the memory cap,
 * but then without its results. Does nothing if the id has a record already.
 */
void record_adopt(struct record_table *table, const struct record *from,
		  uint64_t expires_ms, uint64_t now_ms);

/* Milliseconds until the record expires; 0 if it has. */
uint64_t record_remaining_ms(const struct record *record, uint64_t now_ms);

/* Drops results older than answer_ms and expired records. */
void record_tick(struct record_table *table, uint64_t now_ms);

/* Calls visit for each record. */
void record_each(struct record_table *table,
		 void (*visit)(void *ctx, struct record *record), void *ctx);

/* The number of records, and the memory counted for them. */
size_t record_count(const struct record_table *table);
uint64_t record_memory_bytes(const struct record_table *table);

#endif
