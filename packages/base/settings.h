#ifndef BASE_SETTINGS_H
#define BASE_SETTINGS_H

#include <stdbool.h>
#include <stdio.h>
#include <talloc.h>

/*
 * Settings of one process, read once at startup from JSON with comments. One
 * table of keys drives parsing, validation, the printed defaults and
 * docs/SETTINGS.md.
 *
 * Whatever operators change at run time belongs in the configuration document
 * instead (core/config.h).
 */

enum settings_status {
	SETTINGS_OK,
	SETTINGS_NO_FILE,
	SETTINGS_SYNTAX,
	SETTINGS_UNKNOWN_KEY,
	SETTINGS_WRONG_TYPE,
	SETTINGS_OUT_OF_RANGE,
	SETTINGS_MISSING,
};

/* Each field is the value of one key; see settings_keys in settings.c. */
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
 * Reads the file at path; returns the defaults when path is NULL. On error
 * returns NULL, sets *status to a value other than SETTINGS_OK and *message to
 * a text owned by mem that names the file, the key's path, the value found and
 * the values allowed.
 */
struct settings *settings_load(TALLOC_CTX *mem, const char *path,
			       enum settings_status *status, char **message);

/* Like settings_load for a text in memory; messages give name as the file. */
struct settings *settings_parse(TALLOC_CTX *mem, const char *name,
				const char *text, size_t len,
				enum settings_status *status, char **message);

/* Prints settings as JSON, with each key's doc text as a comment. */
void settings_print(const struct settings *settings, FILE *out);

/* Prints the table of keys as Markdown: docs/SETTINGS.md. */
void settings_print_markdown(FILE *out);

/*
 * Returns the first line of a file without its newline, owned by mem, or NULL
 * when the file cannot be read or the line is empty.
 */
char *settings_read_secret(TALLOC_CTX *mem, const char *path);

#endif
