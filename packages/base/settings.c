#include "base/settings_keys.h"

#include <errno.h>
#include <json-c/json.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#define MAX_FILE_BYTES (8 << 20)
#define MAX_DEPTH 32 /* levels of nested JSON */

#define FIELD(name) offsetof(struct settings, name)
/* min, max, unit and allowed of a name: 1 to 63 bytes. */
#define NAME_BYTES 1, 63, "", NULL

/* clang-format off: it would break each entry into more lines. */
const struct settings_key settings_keys[] = {
	{ "cluster", TEXT, FIELD(cluster), "bergamot", NAME_BYTES,
	  "name of the whole system; ids of another system are refused" },
	{ "instance", TEXT, FIELD(instance), "instance-1", NAME_BYTES,
	  "name of this instance, unique in the cluster" },
	{ "data_centre", TEXT, FIELD(data_centre), "dc-1", NAME_BYTES,
	  "data centre this instance stands in" },
	{ "callers.listen", ADDRESS, FIELD(callers_listen), "127.0.0.1:7400", 0,
	  0, "", NULL, "address for callers' HTTP" },
	{ "callers.body_bytes", NUMBER, FIELD(callers_body_bytes), "4194304",
	  1024, 67108864, "bytes", NULL, "largest request body" },
	{ "callers.header_bytes", NUMBER, FIELD(callers_header_bytes), "16384",
	  4096, 1048576, "bytes", NULL,
	  "largest request line with headers; a connection may use twice that" },
	{ "callers.connections", NUMBER, FIELD(callers_connections), "4096", 1,
	  60000, "connections", NULL, "open connections of callers" },
	{ "callers.idle_ms", NUMBER, FIELD(callers_idle_ms), "60000", 1000,
	  600000, "ms", NULL,
	  "time after which an idle or stalled connection is closed" },
	{ "operators.listen", ADDRESS, FIELD(operators_listen),
	  "127.0.0.1:7401", 0, 0, "", NULL, "address for operators' HTTP" },
	{ "operators.token_file", TEXT, FIELD(operators_token_file), NULL, 1,
	  4095, "", NULL,
	  "file whose first line is the operators' bearer token; without it operators' changes are refused" },
	{ "peers.listen", ADDRESS, FIELD(peers_listen), "127.0.0.1:7402", 0, 0,
	  "", NULL, "address for the links between instances" },
	{ "peers.advertise", ADDRESS, FIELD(peers_advertise), NULL, 0, 0, "",
	  NULL,
	  "address by which other instances reach this one; by default peers.listen" },
	{ "peers.seeds", TEXT_LIST, FIELD(peers_seeds), NULL, 0, 64, "", NULL,
	  "peer addresses to try at the start" },
	{ "platform.url", TEXT, FIELD(platform_url), NULL, 1, 1023, "", NULL,
	  "base URL of the platform's key-value service; without it the document in config is used" },
	{ "platform.token_file", TEXT, FIELD(platform_token_file), NULL, 1,
	  4095, "", NULL,
	  "file whose first line is the token for the platform" },
	{ "platform.prefix", TEXT, FIELD(platform_prefix), "bergamot",
	  NAME_BYTES, "prefix of this cluster's keys" },
	{ "platform.reads_per_s", NUMBER, FIELD(platform_reads_per_s), "20", 1,
	  10000, "1/s", NULL,
	  "this instance's budget of reads, waiting watches included" },
	{ "platform.writes_per_s", NUMBER, FIELD(platform_writes_per_s), "10",
	  1, 10000, "1/s", NULL, "this instance's budget of writes" },
	{ "log.file", TEXT, FIELD(log_file), "-", 1, 4095, "", NULL,
	  "log file; - is standard error, stdout standard output" },
	{ "log.level", WORD, FIELD(log_level), "info", 0, 0, "",
	  "error|warning|info|debug", "lowest level written" },
	{ "log.modules", TEXT, FIELD(log_modules), NULL, 0, 1023, "", NULL,
	  "levels by module, as in job=debug,peer=error" },
	{ "log.lines_per_s", NUMBER, FIELD(log_lines_per_s), "10000", 10,
	  1000000, "1/s", NULL,
	  "most lines below warning in a second; what is left out is counted" },
	{ "timeline.file", TEXT, FIELD(timeline_file), NULL, 1, 4095, "", NULL,
	  "file for the time line of events; without it none is written" },
	{ "jobs.tasks", NUMBER, FIELD(job_tasks), "1000", 1, 100000, "tasks",
	  NULL, "most tasks in a job" },
	{ "jobs.json_depth", NUMBER, FIELD(job_json_depth), "32", 4, 256,
	  "levels", NULL, "deepest nesting of a job's JSON" },
	{ "jobs.deadline_ms", NUMBER, FIELD(job_deadline_ms), "10000", 1,
	  3600000, "ms", NULL,
	  "deadline of a job that names none and whose service names none" },
	{ "jobs.backlog_tasks", NUMBER, FIELD(backlog_tasks), "200000", 1,
	  10000000, "tasks", NULL, "tasks that may wait; more are refused" },
	{ "records.ttl_ms", NUMBER, FIELD(record_ttl_ms), "600000", 1000,
	  86200000, "ms", NULL, "life of an id and of its record" },
	{ "records.answer_ms", NUMBER, FIELD(record_answer_ms), "60000", 100,
	  86400000, "ms", NULL,
	  "time for which a record keeps the whole answer" },
	{ "records.memory_bytes", NUMBER, FIELD(record_memory_bytes),
	  "67108864", 65536, 2147483647, "bytes", NULL,
	  "memory for records; at the cap new ids are refused" },
	{ "placement.policy", WORD, FIELD(placement), "dispatcher", 0, 0, "",
	  "random|two_choices|partition|dispatcher",
	  "who starts tasks on which worker" },
	{ "placement.dispatchers", NUMBER, FIELD(dispatchers), "0", 0, 64,
	  "instances", NULL,
	  "dispatchers a data centre; 0 derives them from the workers" },
	{ "placement.job_order", WORD, FIELD(job_order), "least_remaining", 0,
	  0, "", "fifo|least_remaining", "order of a team's jobs" },
	{ "placement.spill", FLAG, FIELD(spill), "true", 0, 0, "", NULL,
	  "delegate unstarted tasks to a dispatcher with idle slots" },
	{ "limits.quota_shares", WORD, FIELD(quota_shares), "demand", 0, 0, "",
	  "even|demand", "how a team's quota is shared among dispatchers" },
	{ "limits.retry_percent", NUMBER, FIELD(retry_percent), "10", 0, 100,
	  "%", NULL, "retries allowed, as a part of the starts" },
	{ "limits.breaker", FLAG, FIELD(breaker), "true", 0, 0, "", NULL,
	  "circuit breakers on workers" },
	{ "limits.breaker_open_percent", NUMBER, FIELD(breaker_open_percent),
	  "30", 1, 100, "%", NULL,
	  "most of a service's workers with an open breaker at once" },
	{ "targets.threads", NUMBER, FIELD(target_threads), "2", 1, 16,
	  "threads", NULL, "threads for targets' HTTP" },
	{ "targets.connections", NUMBER, FIELD(target_connections), "60", 1,
	  1024, "connections", NULL, "connections to one worker" },
	{ "targets.answer_bytes", NUMBER, FIELD(answer_bytes), "1048576", 64,
	  67108864, "bytes", NULL, "largest answer of a task" },
	{ "stop.limit_ms", NUMBER, FIELD(stop_limit_ms), "30000", 0, 3600000,
	  "ms", NULL, "longest graceful shutdown" },
	{ "stop.grace_ms", NUMBER, FIELD(stop_grace_ms), "1000", 0, 600000,
	  "ms", NULL,
	  "time for which a stopping instance takes new connections, so that the balancer sees it is not ready" },
	{ "store.address", ADDRESS, FIELD(store_address), NULL, 0, 0, "", NULL,
	  "address of the platform's store; with it this instance serves queues on leased workers" },
	{ "store.reads_per_s", DECIMAL, FIELD(store_reads_per_s), "2000", 1,
	  1000000, "1/s", NULL,
	  "read calls that the store takes from all instances together" },
	{ "store.writes_per_s", DECIMAL, FIELD(store_writes_per_s), "400", 1,
	  1000000, "1/s", NULL,
	  "write calls that the store takes from all instances together" },
	{ "readiness.listen", ADDRESS, FIELD(readiness_listen), NULL, 0, 0, "",
	  NULL, "address that the balancer asks whether to send callers" },
	{ "metrics.listen", ADDRESS, FIELD(metrics_listen), NULL, 0, 0, "",
	  NULL, "address of /metrics and /v1/status on leased workers" },
	{ "machine.cores", DECIMAL, FIELD(machine_cores), "1", 0, 1024, "cores",
	  NULL, "processor share of this machine; the largest leads first" },
	{ "machine.first_start", FLAG, FIELD(first_start), "false", 0, 0, "",
	  NULL,
	  "the whole system starts for the first time, with this instance" },
	{ "leases.max_ms", NUMBER, FIELD(lease_ms), "1000", 100, 60000, "ms",
	  NULL, "longest lease that a worker grants" },
	{ "leases.stop_ms", DECIMAL, FIELD(lease_stop_ms), "50", 0, 60000, "ms",
	  NULL, "longest time a worker takes to stop a task" },
	{ "leases.far_factor", DECIMAL, FIELD(far_factor), "1", 1, 100, "",
	  NULL, "run time of a task away from its data, as a multiple" },
	{ "leases.grace_s", DECIMAL, FIELD(grace_s), "6", 0, 3600, "s", NULL,
	  "time from SIGTERM until the process is killed" },
	{ "leases.order", WORD, FIELD(queue_order), "late_last", 0, 0, "",
	  "late_last|shortest|priority|slack|arrival",
	  "order of the jobs that wait for leased workers" },
	{ "leases.placement", WORD, FIELD(lease_placement), "fastest", 0, 0, "",
	  "fastest|best_fit|first", "which leased worker takes a task" },
	{ "leases.direct_workers", NUMBER, FIELD(direct_workers), "64", 1,
	  100000, "workers", NULL,
	  "with more workers than that the leader has other instances call them" },
	{ "leases.admission", FLAG, FIELD(queue_admission), "true", 0, 0, "",
	  NULL, "refuse jobs at once that would end too late" },
	{ "config", DOCUMENT, FIELD(config), NULL, 0, 0, "", NULL,
	  "configuration document of a site without a platform: services, workers, teams" },
};
/* clang-format on */

const size_t settings_key_count =
	sizeof(settings_keys) / sizeof(settings_keys[0]);

struct reader {
	const char *file;
	struct settings *settings;
	enum settings_status status;
	char *message;
	TALLOC_CTX *mem;
};

static void *field_of(struct settings *s, const struct settings_key *key)
{
	return (char *)s + key->offset;
}

static bool reject(struct reader *r, enum settings_status status,
		   const char *path, const char *found, const char *allowed)
{
	r->status = status;
	r->message = talloc_asprintf(r->mem, "%s: %s: found %s; allowed: %s",
				     r->file, path, found, allowed);
	return false;
}

static bool is_allowed_word(const char *allowed, const char *word)
{
	size_t len = strlen(word);

	for (const char *p = allowed; p && *p;) {
		size_t n = strcspn(p, "|");

		if (n == len && !strncmp(p, word, n))
			return true;
		p += n + (p[n] == '|');
	}
	return false;
}

static bool is_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	char *end;
	long port;

	if (!colon || colon == text || !colon[1])
		return false;
	errno = 0;
	port = strtol(colon + 1, &end, 10);
	return !errno && !*end && port >= 0 && port <= UINT16_MAX;
}

static bool is_valid_text(const struct settings_key *key, const char *text)
{
	size_t len = strlen(text);

	if (key->kind == WORD)
		return is_allowed_word(key->allowed, text);
	if (key->kind == ADDRESS)
		return is_address(text);
	return len >= (size_t)key->min && len <= (size_t)key->max;
}

static bool reject_value(struct reader *r, enum settings_status status,
			 const struct settings_key *key, json_object *v)
{
	return reject(r, status, key->path, json_object_to_json_string(v),
		      settings_allowed(r->mem, key));
}

static bool read_text(struct reader *r, const struct settings_key *key,
		      json_object *v)
{
	const char *text = json_object_get_string(v);
	char **field = field_of(r->settings, key);

	if (!json_object_is_type(v, json_type_string))
		return reject_value(r, SETTINGS_WRONG_TYPE, key, v);
	if (strlen(text) != (size_t)json_object_get_string_len(v) ||
	    !is_valid_text(key, text))
		return reject_value(r, SETTINGS_OUT_OF_RANGE, key, v);
	talloc_free(*field);
	*field = talloc_strdup(r->settings, text);
	return true;
}

static bool read_number(struct reader *r, const struct settings_key *key,
			json_object *v)
{
	int64_t n = json_object_get_int64(v);
	int *field = field_of(r->settings, key);

	if (!json_object_is_type(v, json_type_int))
		return reject_value(r, SETTINGS_WRONG_TYPE, key, v);
	if (n < key->min || n > key->max)
		return reject_value(r, SETTINGS_OUT_OF_RANGE, key, v);
	*field = (int)n;
	return true;
}

static bool read_decimal(struct reader *r, const struct settings_key *key,
			 json_object *v)
{
	double n = json_object_get_double(v);

	if (!json_object_is_type(v, json_type_int) &&
	    !json_object_is_type(v, json_type_double))
		return reject_value(r, SETTINGS_WRONG_TYPE, key, v);
	if (!(n >= (double)key->min && n <= (double)key->max))
		return reject_value(r, SETTINGS_OUT_OF_RANGE, key, v);
	*(double *)field_of(r->settings, key) = n;
	return true;
}

static bool read_flag(struct reader *r, const struct settings_key *key,
		      json_object *v)
{
	bool *field = field_of(r->settings, key);

	if (!json_object_is_type(v, json_type_boolean))
		return reject_value(r, SETTINGS_WRONG_TYPE, key, v);
	*field = json_object_get_boolean(v);
	return true;
}

static bool read_list(struct reader *r, const struct settings_key *key,
		      json_object *v)
{
	char ***field = field_of(r->settings, key);
	size_t n;

	if (!json_object_is_type(v, json_type_array))
		return reject_value(r, SETTINGS_WRONG_TYPE, key, v);
	n = json_object_array_length(v);
	if (n > (size_t)key->max)
		return reject(r, SETTINGS_OUT_OF_RANGE, key->path,
			      "a longer list", settings_allowed(r->mem, key));
	*field = talloc_zero_array(r->settings, char *, n + 1);
	for (size_t i = 0; i < n; i++) {
		json_object *item = json_object_array_get_idx(v, i);

		if (!json_object_is_type(item, json_type_string))
			return reject(r, SETTINGS_WRONG_TYPE, key->path,
				      json_object_to_json_string(item),
				      "a text");
		(*field)[i] =
			talloc_strdup(*field, json_object_get_string(item));
	}
	return true;
}

static bool read_document(struct reader *r, const struct settings_key *key,
			  json_object *v)
{
	char **field = field_of(r->settings, key);

	if (!json_object_is_type(v, json_type_object))
		return reject_value(r, SETTINGS_WRONG_TYPE, key, v);
	talloc_free(*field);
	*field = talloc_strdup(r->settings, json_object_to_json_string_ext(
						    v, JSON_C_TO_STRING_PLAIN));
	return true;
}

static bool read_value(struct reader *r, const struct settings_key *key,
		       json_object *v)
{
	static bool (*const readers[])(
		struct reader *, const struct settings_key *, json_object *) = {
		[TEXT] = read_text,	  [WORD] = read_text,
		[ADDRESS] = read_text,	  [NUMBER] = read_number,
		[DECIMAL] = read_decimal, [FLAG] = read_flag,
		[TEXT_LIST] = read_list,  [DOCUMENT] = read_document,
	};

	return readers[key->kind](r, key, v);
}

static const struct settings_key *find_key(const char *path)
{
	for (size_t i = 0; i < settings_key_count; i++)
		if (!strcmp(settings_keys[i].path, path))
			return &settings_keys[i];
	return NULL;
}

static bool is_section(const char *path)
{
	size_t len = strlen(path);

	for (size_t i = 0; i < settings_key_count; i++)
		if (!strncmp(settings_keys[i].path, path, len) &&
		    settings_keys[i].path[len] == '.')
			return true;
	return false;
}

#define MAX_COMPARED_BYTES 64 /* of a key */

static size_t min_size(size_t a, size_t b)
{
	return a < b ? a : b;
}

/* Levenshtein distance, to suggest the nearest known key. */
static size_t edit_distance(const char *a, const char *b)
{
	size_t row[MAX_COMPARED_BYTES + 1];
	size_t la = min_size(strlen(a), MAX_COMPARED_BYTES);
	size_t lb = min_size(strlen(b), MAX_COMPARED_BYTES);

	for (size_t j = 0; j <= lb; j++)
		row[j] = j;
	for (size_t i = 1; i <= la; i++) {
		size_t diagonal = row[0];

		row[0] = i;
		for (size_t j = 1; j <= lb; j++) {
			size_t substitute = diagonal + (a[i - 1] != b[j - 1]);

			diagonal = row[j];
			row[j] = min_size(substitute,
					  min_size(row[j], row[j - 1]) + 1);
		}
	}
	return row[lb];
}

static const char *nearest_key(const char *path)
{
	const char *best = settings_keys[0].path;
	size_t least = SIZE_MAX;

	for (size_t i = 0; i < settings_key_count; i++) {
		size_t d = edit_distance(path, settings_keys[i].path);

		if (d < least) {
			least = d;
			best = settings_keys[i].path;
		}
	}
	return best;
}

static bool read_object(struct reader *r, const char *prefix, json_object *obj)
{
	json_object_object_foreach(obj, name, value)
	{
		char *path = talloc_asprintf(r->mem, "%s%s%s", prefix,
					     *prefix ? "." : "", name);
		const struct settings_key *key = find_key(path);

		if (key) {
			if (!read_value(r, key, value))
				return false;
			continue;
		}
		if (!is_section(path))
			return reject(
				r, SETTINGS_UNKNOWN_KEY, path, "an unknown key",
				talloc_asprintf(r->mem,
						"known keys; the nearest is %s",
						nearest_key(path)));
		if (!json_object_is_type(value, json_type_object))
			return reject(r, SETTINGS_WRONG_TYPE, path,
				      json_object_to_json_string(value),
				      "an object of settings");
		if (!read_object(r, path, value))
			return false;
	}
	return true;
}

static void set_default(struct settings *s, const struct settings_key *key)
{
	if (key->kind == NUMBER)
		*(int *)field_of(s, key) =
			key->initial ? (int)strtol(key->initial, NULL, 10) : 0;
	else if (key->kind == DECIMAL)
		*(double *)field_of(s, key) =
			key->initial ? strtod(key->initial, NULL) : 0;
	else if (key->kind == FLAG)
		*(bool *)field_of(s, key) =
			key->initial && !strcmp(key->initial, "true");
	else if (key->kind == TEXT_LIST)
		*(char ***)field_of(s, key) = talloc_zero_array(s, char *, 1);
	else if (key->initial)
		*(char **)field_of(s, key) = talloc_strdup(s, key->initial);
}

static struct settings *defaults(TALLOC_CTX *mem)
{
	struct settings *s = talloc_zero(mem, struct settings);

	for (size_t i = 0; i < settings_key_count; i++)
		set_default(s, &settings_keys[i]);
	return s;
}

static int line_number(const char *text, size_t offset)
{
	int line = 1;

	for (size_t i = 0; i < offset; i++)
		line += text[i] == '\n';
	return line;
}

static json_object *parse_text(struct reader *r, const char *text, size_t len)
{
	json_tokener *tok = json_tokener_new_ex(MAX_DEPTH);
	json_object *root = json_tokener_parse_ex(tok, text, (int)len);
	size_t end = json_tokener_get_parse_end(tok);
	enum json_tokener_error err;

	/* A literal at the end of the text needs a delimiter to be complete. */
	if (json_tokener_get_error(tok) == json_tokener_continue)
		root = json_tokener_parse_ex(tok, "\n", 1);
	err = json_tokener_get_error(tok);
	if (err != json_tokener_success) {
		r->status = SETTINGS_SYNTAX;
		r->message = talloc_asprintf(
			r->mem, "%s: line %d: %s; allowed: JSON with comments",
			r->file, line_number(text, end < len ? end : len),
			err == json_tokener_continue
				? "unexpected end of text"
				: json_tokener_error_desc(err));
	}
	json_tokener_free(tok);
	return root;
}

struct settings *settings_parse(TALLOC_CTX *mem, const char *name,
				const char *text, size_t len,
				enum settings_status *status, char **message)
{
	struct reader r = { .file = name, .mem = talloc_new(mem) };
	json_object *root;
	bool ok = false;

	r.settings = defaults(mem);
	root = parse_text(&r, text, len);
	if (root && !json_object_is_type(root, json_type_object))
		reject(&r, SETTINGS_WRONG_TYPE, "(the whole file)",
		       json_type_to_name(json_object_get_type(root)),
		       "an object of settings");
	else if (root)
		ok = read_object(&r, "", root);
	else if (r.status == SETTINGS_OK)
		reject(&r, SETTINGS_WRONG_TYPE, "(the whole file)", "null",
		       "an object of settings");
	json_object_put(root);
	*status = r.status;
	*message = r.message ? talloc_steal(mem, r.message) : NULL;
	talloc_free(r.mem);
	if (ok)
		return r.settings;
	talloc_free(r.settings);
	return NULL;
}

/*
 * Reads up to MAX_FILE_BYTES into a NUL-terminated text. Returns NULL with
 * errno set when the file cannot be opened.
 */
static char *read_file(TALLOC_CTX *mem, const char *path, size_t *len)
{
	FILE *f = fopen(path, "re");
	char *text;

	if (!f)
		return NULL;
	text = talloc_size(mem, MAX_FILE_BYTES + 1);
	*len = fread(text, 1, MAX_FILE_BYTES, f);
	text[*len] = '\0';
	fclose(f);
	return text;
}

struct settings *settings_load(TALLOC_CTX *mem, const char *path,
			       enum settings_status *status, char **message)
{
	struct settings *s;
	size_t len = 0;
	char *text;

	*status = SETTINGS_OK;
	*message = NULL;
	if (!path)
		return defaults(mem);
	text = read_file(mem, path, &len);
	if (!text) {
		*status = SETTINGS_NO_FILE;
		*message =
			talloc_asprintf(mem, "%s: %s", path, strerror(errno));
		return NULL;
	}
	s = settings_parse(mem, path, text, len, status, message);
	talloc_free(text);
	return s;
}

char *settings_read_secret(TALLOC_CTX *mem, const char *path)
{
	size_t len = 0;
	char *text = read_file(mem, path, &len);
	char *secret;

	if (!text)
		return NULL;
	len = strcspn(text, "\r\n");
	secret = len ? talloc_strndup(mem, text, len) : NULL;
	talloc_free(text);
	return secret;
}
