#ifndef CORE_TESTS_FAKE_NODES_STATE_H
#define CORE_TESTS_FAKE_NODES_STATE_H

#include <stdio.h>
#include <stdlib.h>

#include "core/tests/fake_nodes.h"

/* State that fake_nodes.c and fake_nodes_outside.c share, private to them. */

#define MAX_REQUESTS 512
#define MAX_CLAIMS 64
#define MAX_CONFIRMS 64

struct packet {
	STAILQ_ENTRY(packet) entry;
	uint8_t *frame;
};

STAILQ_HEAD(packet_list, packet);

struct start {
	TAILQ_ENTRY(start) entry;
	uint64_t incarnation; /* of the sender */
	uint64_t token;
	int job; /* -1 for an id that no answer has contained yet */
	int key; /* -1 for none */
	uint32_t task;
	int variant;
	char *text;
	char *body;
	bool running;
};

TAILQ_HEAD(start_list, start);

/* The answers that callers got for an id, and its starts at workers. */
struct known_job {
	char text[JOB_ID_TEXT_BYTES];
	bool started[FAKES_TASKS];
	bool any_started;
	int key; /* in the body of its starts, like the variant */
	int variant;
	int final_kind; /* of the answers; OUTCOME_RUNNING before one */
};

struct request {
	int node; /* -1 once its node was killed */
	int job;
	int key;
	int variant;
	uint64_t deadline_ms;
	int kind; /* -1 before the answer */
	enum outcome_reason reason;
	uint32_t started;
};

struct member {
	struct fake_nodes *f;
	struct node *node_state;
	struct ports ports;
	struct settings *settings;
	uint64_t incarnation;
	uint64_t config_version;
	bool stopping;
};

struct claim {
	int node;
	uint64_t incarnation;
	uint64_t number;
	int key;
	char text[JOB_ID_TEXT_BYTES];
};

/* A write of the configuration that has not been answered. */
struct write {
	int node;
	uint64_t incarnation;
	uint64_t number;
	uint64_t base;
	char *document;
};

struct fake_nodes {
	struct member members[FAKES_NODES];
	bool linked[FAKES_NODES][FAKES_NODES];
	struct packet_list queues[FAKES_NODES][FAKES_NODES];
	struct start_list starts;
	struct known_job jobs[FAKES_JOBS];
	int job_count;
	struct request requests[MAX_REQUESTS];
	int request_count;
	char keys[FAKES_KEYS][JOB_ID_TEXT_BYTES]; /* the platform's values */
	uint64_t key_expires_ms[FAKES_KEYS];
	bool key_started[FAKES_KEYS][FAKES_TASKS]; /* under this claim */
	struct write writes[MAX_CLAIMS];
	int write_count;
	char *plan; /* the last one made */
	char *confirms[MAX_CONFIRMS]; /* plans, by request */
	int confirm_count;
	char *document; /* the platform's; NULL before the first plan */
	char *replaced; /* the platform's document before */
	uint64_t version;
	char *applied; /* ids of the plans that were written */
	/* True if a node must regard a worker as leaving, for each source. */
	bool must_know_leaving[FAKES_NODES][FAKES_WORKERS][DRAIN_SOURCE_COUNT];
	/* The same, as soon as the reports in flight have arrived. */
	bool leaving_in_flight[FAKES_NODES][FAKES_WORKERS][DRAIN_SOURCE_COUNT];
	/* Reports of its return may be in flight until then; 0: none. */
	uint64_t return_in_flight_until_ms[FAKES_WORKERS][DRAIN_SOURCE_COUNT];
	struct claim claims[MAX_CLAIMS];
	int claim_count;
	uint64_t last_id;
	uint64_t now_ms;
};

/* Aborts with the name of the violated rule if the condition is false. */
#define HOLDS(condition, rule)                                                 \
	do {                                                                   \
		if (!(condition)) {                                            \
			fprintf(stderr, "oracle: %s\n", rule);                 \
			abort();                                               \
		}                                                              \
	} while (0)

/* Nodes */

/* Returns the index of the node with an incarnation, or -1. */
int fakes_find_member(const struct fake_nodes *f, uint64_t incarnation);

/* Ends stopped processes and checks that they left no request waiting. */
void fakes_exit_stopped(struct fake_nodes *f);

void fakes_check_config(struct fake_nodes *f);

/* Callers, workers and the platform */

void fakes_reply(void *ctx, const struct port_reply *p);
void fakes_start(void *ctx, const struct port_start *start);
void fakes_claim_key(void *ctx, uint64_t request, const char *key,
		     const char *value);
void fakes_write_config(void *ctx, uint64_t request, uint64_t base,
			const char *document, size_t len);
void fakes_operator_reply(void *ctx, uint64_t request, int http_status,
			  const char *body);
void fakes_free_starts(struct fake_nodes *f);

/* Expires claims, after which their keys may run again. */
void fakes_expire_keys(struct fake_nodes *f);

/*
 * Updates which nodes are expected to know of leaving workers, after the nodes'
 * reports to each other were delivered, or were lost with the link of a and b.
 */
void fakes_reports_delivered(struct fake_nodes *f);
void fakes_reports_lost(struct fake_nodes *f, int a, int b);

#endif
