#ifndef BASE_SETTINGS_H
#define BASE_SETTINGS_H

#include <stdbool.h>
#include <stdio.h>
#include <talloc.h>

/*
 * Settings of one process, read once at its start from JSON with comments.
 * One table of keys drives the reading, the check, the printed defaults and
 * docs/SETTINGS.md.
 *
 * Not for what operators change while the system runs: that is the
 * configuration document (core/config.h).
 */

enum set_status {
	SETTINGS_OK,
	SETTINGS_NO_FILE,
	SETTINGS_SYNTAX,
	SETTINGS_UNKNOWN_KEY,
	SETTINGS_WRONG_TYPE,
	SETTINGS_OUT_OF_RANGE,
	SETTINGS_MISSING,
};

/* X(field, kind, path, default, min, max, unit, doc); see settings.c. */
struct settings {
	char *cluster;
	char *instance;
	char *data_centre;
	char *callers_listen;
	char *operators_listen;
	char *operators_token_file;
	char *peers_listen;
	char *peers_advertise;
	char **peers_seeds; /* NULL-terminated */
	char *platform_url;
	char *platform_token_file;
	char *platform_prefix;
	char *log_file;
	char *log_level;
	char *log_modules;
	int log_lines_per_s;
	char *timeline_file;
	char *placement;
	char *job_order;
	char *quota_shares;
	int platform_reads_per_s;
	int platform_writes_per_s;
	int callers_body_bytes;
	int callers_header_bytes;
	int callers_connections;
	int callers_idle_ms;
	int job_tasks;
	int job_json_depth;
	int job_deadline_ms;
	int answer_bytes;
	int record_ttl_ms;
	int record_memory_bytes;
	int record_answer_ms;
	int backlog_tasks;
	int dispatchers;
	int retry_percent;
	int target_threads;
	int target_connections;
	int stop_limit_ms;
	int stop_grace_ms;
	int breaker_open_percent;
	bool breaker;
	bool spill;
	char *store_address;
	double store_reads_per_s;
	double store_writes_per_s;
	char *readiness_listen;
	char *metrics_listen;
	double machine_cores;
	bool first_start;
	int lease_ms;
	double lease_stop_ms;
	double far_factor;
	double grace_s;
	char *queue_order;
	char *lease_placement;
	int direct_workers;
	bool queue_admission;
	char *config; /* the embedded document's JSON text, or NULL */
};

/*
 * Reads path, or the defaults alone for NULL. On a status other than
 * SETTINGS_OK *message (owned by mem) names file, key path, what was found and
 * what is allowed, and NULL is returned.
 */
struct settings *settings_load(TALLOC_CTX *mem, const char *path,
			       enum set_status *status, char **message);

/* The same for a text already read; name stands in messages. */
struct settings *settings_parse(TALLOC_CTX *mem, const char *name,
				const char *text, size_t len,
				enum set_status *status, char **message);

/* Prints settings as JSON with each key's doc as a comment. */
void settings_print(const struct settings *settings, FILE *out);

/* Prints the table of keys as Markdown: docs/SETTINGS.md. */
void settings_print_markdown(FILE *out);

/*
 * Reads the first line of a file, without its newline; NULL when the file
 * cannot be read or the line is empty.
 */
char *settings_read_secret(TALLOC_CTX *mem, const char *path);

#endif
