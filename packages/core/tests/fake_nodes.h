#ifndef CORE_TESTS_FAKE_NODES_H
#define CORE_TESTS_FAKE_NODES_H

#include "core/node_state.h"

/*
 * Up to three nodes joined by queues of packed messages, with fake workers and
 * a fake platform, for unit tests and the fuzzer. Nothing moves by itself.
 * What must always hold is checked at each step; a breach aborts.
 */

#define FAKES_NODES 3
#define FAKES_JOBS 64
#define FAKES_KEYS 4
#define FAKES_TASKS 3 /* at most, of a job */
#define FAKES_DEADLINE_MS 2000
#define FAKES_TTL_MS 20000
#define FAKES_KEY_MS                                                           \
	(FAKES_TTL_MS + 2 * FAKES_DEADLINE_MS) /* life of a claim */
#define FAKES_WORKERS 2 /* wa in data centre a, wb in b */

struct fake_nodes;

struct fake_nodes *fakes_create(void);
/* With all nodes up, linked and configured with workers of 8 slots. */
struct fake_nodes *fakes_create_joined(void);
void fakes_free(struct fake_nodes *f);

/* Boots a new incarnation in place of a dead one; nodes 0 and 1 share "a". */
void fakes_boot(struct fake_nodes *f, int node);
void fakes_join(struct fake_nodes *f,
		int node); /* and links it to the others */
void fakes_kill(struct fake_nodes *f, int node);
void fakes_stop(struct fake_nodes *f, int node);
bool fakes_is_up(const struct fake_nodes *f, int node);
struct node *fakes_node(struct fake_nodes *f, int node);

/* Opens or cuts the link of a pair; a cut loses what is on its way. */
void fakes_link(struct fake_nodes *f, int a, int b);
void fakes_cut(struct fake_nodes *f, int a, int b);

/* Delivers the oldest message from a to b; false when there is none. */
bool fakes_deliver(struct fake_nodes *f, int a, int b);

/* Delivers all messages until none is left. */
void fakes_settle(struct fake_nodes *f);

/* Lets time pass at all nodes; a paused one gets one late tick. */
void fakes_pass(struct fake_nodes *f, uint64_t ms);
void fakes_pause(struct fake_nodes *f, int node, uint64_t ms);

/* A fresh id from a node; its number, or -1. */
int fakes_issue(struct fake_nodes *f, int node);

/* Requests of callers at a node; each gives the request's number. */
int fakes_submit(struct fake_nodes *f, int node, int job, int variant);
int fakes_submit_keyed(struct fake_nodes *f, int node, int key);
int fakes_fetch(struct fake_nodes *f, int node, int job);
int fakes_cancel(struct fake_nodes *f, int node, int job);

/* The answer's kind, or -1 before it; reason and tasks started when set. */
int fakes_answer(const struct fake_nodes *f, int request,
		 enum outcome_reason *reason, uint32_t *started);

/* Starts on their way or running at the workers, the oldest first. */
size_t fakes_starts(const struct fake_nodes *f);

enum fakes_fate {
	FAKES_RUN, /* the start reaches its worker */
	FAKES_DONE, /* started, and answered */
	FAKES_FAIL, /* started, and answered as failed */
	FAKES_REFUSE, /* refused, provably, unless it has started */
	FAKES_LOSE, /* told as unknown; it may still start */
	FAKES_VANISH, /* lost on its way, and told as unknown */
	FAKES_FATES
};

void fakes_resolve(struct fake_nodes *f, size_t start, enum fakes_fate fate);

/* Delivers all messages, and all starts are done and answered. */
void fakes_finish_starts(struct fake_nodes *f);

/* Tells a node what a worker, or the list of workers, says of a worker. */
void fakes_usage(struct fake_nodes *f, int node, int worker, bool leaving,
		 uint32_t running);
void fakes_listed(struct fake_nodes *f, int node, int worker, bool leaving);

/* Answers the oldest claim of a key; applied tells whether a write was. */
void fakes_answer_claim(struct fake_nodes *f, enum port_platform_status status,
			bool applied);

/* Offers configuration of a version to a node, by platform or peer. */
void fakes_offer_config(struct fake_nodes *f, int node, uint64_t version,
			int slots);

/*
 * Operators: a plan to drain a worker or take it back, made by a node; the
 * last plan confirmed at a node; the answer to the oldest write; and a read of
 * what was written, or of what it replaced. From the first plan on, nodes
 * hold what the platform does.
 */
void fakes_plan(struct fake_nodes *f, int node, int worker, bool drained);
void fakes_confirm(struct fake_nodes *f, int node);
void fakes_answer_write(struct fake_nodes *f, enum port_platform_status status,
			bool applied);
bool fakes_read_config(struct fake_nodes *f, int node, bool replaced);

/* Lets everything end; every request must then be answered. */
void fakes_finish(struct fake_nodes *f);

#endif
