#ifndef CORE_CONFIG_H
#define CORE_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/*
 * The operators' configuration: one JSON document with a version, stored in the
 * platform and changed only by compare-and-swap. Every member keeps the highest
 * version it has received and never returns to a lower one.
 *
 * The settings of a single process are in base/settings.h.
 *
 *     {"version": 3, "plans": ["..."],
 *      "services": [{"name": "quote", "deadline_ms": 2000}],
 *      "workers": [{"name": "w1", "address": "127.0.0.1:9000",
 *                   "data_centre": "a", "rack": "r1", "service": "quote",
 *                   "slots": 8, "drained": false}],
 *      "teams": [{"name": "north", "tasks_per_s": 1000, "burst": 2000,
 *                 "weight": 1}],
 *      "drained_data_centres": ["b"]}
 */

enum config_status {
	CONFIG_OK,
	CONFIG_SYNTAX,
	CONFIG_INVALID, /* the message names the invalid entry */
	CONFIG_OLDER, /* ignored: not above the version in force */
	CONFIG_CONFLICT, /* ignored: version in force, other content */
};

struct config_service {
	char *name;
	uint32_t deadline_ms; /* default of jobs; 0: jobs.deadline_ms */
	uint32_t max_tasks; /* per job; 0: no limit besides jobs.tasks */
};

struct config_worker {
	char *name;
	char *address; /* host:port of its target */
	char *data_centre;
	char *rack;
	char *service;
	uint32_t slots;
	bool drained;
};

struct config_team {
	char *name;
	uint32_t tasks_per_s; /* 0: no quota */
	uint32_t burst; /* tasks; 0: one second of tasks_per_s */
	uint32_t weight; /* for job_order.h; 0 means 1 */
};

struct config_index;

/* Immutable after config_parse. */
struct config_document {
	uint64_t version;
	struct config_service *services;
	size_t service_count;
	struct config_worker *workers;
	size_t worker_count;
	struct config_team *teams;
	size_t team_count;
	char **drained_data_centres;
	size_t drained_count;
	char **plans; /* ids of the last confirmed plans, oldest first */
	size_t plan_count;
	char *text;
	size_t text_len;
	/* For the config_find functions. */
	struct config_index *services_by_name;
	struct config_index *workers_by_name;
	struct config_index *teams_by_name;
};

/*
 * Parses and checks a document. On error returns NULL and sets *status and
 * *message, which mem owns and which names the entry and the allowed values.
 */
struct config_document *config_parse(TALLOC_CTX *mem, const char *text,
				     size_t len, enum config_status *status,
				     char **message);

/* Returns a document as JSON text. */
char *config_print(TALLOC_CTX *mem, const struct config_document *doc);

/*
 * The same without the services, workers and teams that are equal in other.
 * other may be NULL.
 */
char *config_print_changes(TALLOC_CTX *mem, const struct config_document *doc,
			   const struct config_document *other);

/* Find an entry by name, owned by the document; NULL if there is none. */
const struct config_service *
config_find_service(const struct config_document *doc, const char *name);
const struct config_team *config_find_team(const struct config_document *doc,
					   const char *name);
const struct config_worker *
config_find_worker(const struct config_document *doc, const char *name);

/* Returns true if the data centre is drained. */
bool config_is_drained(const struct config_document *doc,
		       const char *data_centre);

/* The version in force on one member. */
struct config_state;

/* Creates a state without a version in force. */
struct config_state *config_state_create(TALLOC_CTX *mem);

/* The document in force; NULL before the first. */
const struct config_document *config_current(const struct config_state *state);

/* The document in force before that; NULL if there was none. */
const struct config_document *config_previous(const struct config_state *state);

/* The version in force; 0 before the first. */
uint64_t config_version(const struct config_state *state);

/*
 * Puts a document in force if its version is above the current one. The version
 * in force never falls.
 */
enum config_status config_offer(struct config_state *state, const char *text,
				size_t len);

/* The version of the last offer; 0 if the document was invalid. */
uint64_t config_offered_version(const struct config_state *state);

/* Why the last offer was not put in force. */
const char *config_last_message(const struct config_state *state);

#endif
