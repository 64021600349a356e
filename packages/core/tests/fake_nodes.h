#ifndef CORE_TESTS_FAKE_NODES_H
#define CORE_TESTS_FAKE_NODES_H

#include "core/node_state.h"

/*
 * Up to three nodes connected by queues of packed messages, with fake workers
 * and a fake platform, for unit tests and the fuzzer. Messages, starts and time
 * advance only by the calls below. Each step checks the invariants and aborts
 * if one is violated.
 */

#define FAKES_NODES 3
#define FAKES_JOBS 64
#define FAKES_KEYS 4
#define FAKES_TASKS 3 /* maximum of a job */
#define FAKES_DEADLINE_MS 2000
#define FAKES_TTL_MS 20000
#define FAKES_KEY_TTL_MS                                                       \
	(FAKES_TTL_MS + 2 * FAKES_DEADLINE_MS) /* lifetime of a claim */
#define FAKES_WORKERS 2 /* wa in data centre a, wb in b */

struct fake_nodes;

struct fake_nodes *fakes_create(void);
/* Creates them all up, linked and configured with workers of 8 slots. */
struct fake_nodes *fakes_create_joined(void);
void fakes_free(struct fake_nodes *f);

/* Starts a new incarnation of a killed node; nodes 0 and 1 share "a". */
void fakes_boot(struct fake_nodes *f, int node);
/* Starts a new incarnation and links it to the others. */
void fakes_join(struct fake_nodes *f, int node);
void fakes_kill(struct fake_nodes *f, int node);
void fakes_stop(struct fake_nodes *f, int node);
bool fakes_is_up(const struct fake_nodes *f, int node);
struct node *fakes_node(struct fake_nodes *f, int node);

/* Opens or cuts the link of a pair; a cut loses its undelivered messages. */
void fakes_link(struct fake_nodes *f, int a, int b);
void fakes_cut(struct fake_nodes *f, int a, int b);

/* Delivers the oldest message from a to b; returns false if there is none. */
bool fakes_deliver(struct fake_nodes *f, int a, int b);

/* Delivers all messages until none is left. */
void fakes_deliver_all(struct fake_nodes *f);

/*
 * Advances the clock of all nodes. fakes_pause ticks the paused node only once,
 * at the end.
 */
void fakes_advance(struct fake_nodes *f, uint64_t ms);
void fakes_pause(struct fake_nodes *f, int node, uint64_t ms);

/* Issues an id at a node; returns the job's number, or -1. */
int fakes_issue(struct fake_nodes *f, int node);

/* Requests of callers at a node. Each returns the request's number, or -1. */
int fakes_submit(struct fake_nodes *f, int node, int job, int variant);
int fakes_submit_keyed(struct fake_nodes *f, int node, int key);
int fakes_fetch(struct fake_nodes *f, int node, int job);
int fakes_cancel(struct fake_nodes *f, int node, int job);

/*
 * Returns the kind of the answer, or -1 before it has arrived. reason and
 * started may be NULL.
 */
int fakes_answer(const struct fake_nodes *f, int request,
		 enum outcome_reason *reason, uint32_t *started);

/* Returns the number of starts that are in flight or run at the workers. */
size_t fakes_count_starts(const struct fake_nodes *f);

enum fakes_fate {
	FAKES_RUN, /* the start reaches its worker */
	FAKES_DONE, /* the task runs, and its answer arrives */
	FAKES_FAIL, /* the task runs, and is reported as failed */
	FAKES_REFUSE, /* provably not started, or failed if it was running */
	FAKES_LOSE_ANSWER, /* reported as unknown; the task may still start */
	FAKES_LOSE_START, /* never arrives; reported as unknown */
	FAKES_FATES
};

/* Decides what happens to a start, given by its index; the oldest is 0. */
void fakes_resolve(struct fake_nodes *f, size_t start, enum fakes_fate fate);

/* Delivers all messages and resolves all starts as done. */
void fakes_finish_starts(struct fake_nodes *f);

/* Reports to a node a worker's usage, or its entry in the worker list. */
void fakes_usage(struct fake_nodes *f, int node, int worker, bool leaving,
		 uint32_t running);
void fakes_listed(struct fake_nodes *f, int node, int worker, bool leaving);

/*
 * Answers the oldest claim of a key. With PORT_PLATFORM_LOST, applied is
 * whether the write took effect.
 */
void fakes_answer_claim(struct fake_nodes *f, enum port_platform_status status,
			bool applied);

/* Gives a node a configuration of a version, as read from the platform. */
void fakes_offer_config(struct fake_nodes *f, int node, uint64_t version,
			int slots);

/*
 * Operators. fakes_plan makes a plan to drain or undrain a worker, and
 * fakes_confirm applies the last plan. fakes_answer_write answers the oldest
 * write. fakes_read_config gives a node the document that the platform holds,
 * or the one it replaced. From the first plan on, no node may have a version
 * above the platform's.
 */
void fakes_plan(struct fake_nodes *f, int node, int worker, bool drained);
void fakes_confirm(struct fake_nodes *f, int node);
void fakes_answer_write(struct fake_nodes *f, enum port_platform_status status,
			bool applied);
bool fakes_read_config(struct fake_nodes *f, int node, bool replaced);

/* Advances past all deadlines; every request must then be answered. */
void fakes_finish(struct fake_nodes *f);

#endif
