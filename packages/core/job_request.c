#include "core/job_request.h"

#include <json-c/json.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define DEFAULT_TEAM "default"
#define MAX_DEADLINE_MS 3600000
#define NAME_CHARACTERS                                                        \
	"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"

struct reader {
	struct job_request *job;
	const struct job_request_limits *limits;
	enum job_request_status status;
	char *message;
};

static bool reject(struct reader *r, enum job_request_status status,
		   const char *path, const char *allowed)
{
	r->status = status;
	r->message = talloc_asprintf(NULL, "%s: allowed: %s", path, allowed);
	return false;
}

static bool read_name(struct reader *r, const char *path, json_object *v,
		      char **field)
{
	const char *text = json_object_get_string(v);
	size_t len;

	if (!json_object_is_type(v, json_type_string))
		return reject(r, JOB_REQUEST_WRONG_TYPE, path,
			      "a name as text");
	len = (size_t)json_object_get_string_len(v);
	if (!len || len > JOB_REQUEST_NAME_BYTES ||
	    strspn(text, NAME_CHARACTERS) != len)
		return reject(r, JOB_REQUEST_OUT_OF_RANGE, path,
			      "1 to 63 letters, digits, '.', '_' or '-'");
	talloc_free(*field);
	*field = talloc_strndup(r->job, text, len);
	return true;
}

static bool read_number(struct reader *r, const char *path, json_object *v,
			int64_t least, int64_t most, uint32_t *field)
{
	int64_t n = json_object_get_int64(v);

	if (!json_object_is_type(v, json_type_int))
		return reject(r, JOB_REQUEST_WRONG_TYPE, path,
			      "a whole number of milliseconds");
	if (n < least || n > most)
		return reject(r, JOB_REQUEST_OUT_OF_RANGE, path,
			      "0 to 3600000 ms");
	*field = (uint32_t)n;
	return true;
}

static bool read_body(struct reader *r, struct job_request_task *task,
		      json_object *v)
{
	size_t len;
	const char *text = json_object_to_json_string_length(
		v, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE,
		&len);

	task->body = talloc_strndup(r->job->tasks, text, len);
	return true;
}

static bool read_task(struct reader *r, struct job_request_task *task,
		      json_object *v)
{
	bool ok = true;

	if (!json_object_is_type(v, json_type_object))
		return reject(r, JOB_REQUEST_WRONG_TYPE, "tasks[]", "objects");
	json_object_object_foreach(v, key, value)
	{
		if (!strcmp(key, "run_ms"))
			ok = read_number(r, "tasks[].run_ms", value, 0,
					 JOB_REQUEST_MAX_RUN_MS, &task->run_ms);
		else if (!strcmp(key, "body"))
			ok = read_body(r, task, value);
		else
			ok = reject(r, JOB_REQUEST_UNKNOWN_KEY, "tasks[]",
				    "the keys run_ms and body");
		if (!ok)
			return false;
	}
	if (!task->body)
		task->body = talloc_strdup(r->job->tasks, "null");
	return true;
}

static bool read_tasks(struct reader *r, json_object *v)
{
	size_t n;

	if (!json_object_is_type(v, json_type_array))
		return reject(r, JOB_REQUEST_WRONG_TYPE, "tasks",
			      "a list of tasks");
	n = json_object_array_length(v);
#ifndef BREAK_JOB
	if (!n)
		return reject(r, JOB_REQUEST_OUT_OF_RANGE, "tasks",
			      "at least one");
#endif
	if (n > (size_t)r->limits->tasks)
		return reject(r, JOB_REQUEST_TOO_MANY_TASKS, "tasks",
			      "no more tasks than the jobs.tasks setting");
	talloc_free(r->job->tasks);
	r->job->tasks =
		talloc_zero_array(r->job, struct job_request_task, (unsigned)n);
	r->job->task_count = (uint32_t)n;
	for (size_t i = 0; i < n; i++)
		if (!read_task(r, &r->job->tasks[i],
			       json_object_array_get_idx(v, i)))
			return false;
	return true;
}

static bool read_job(struct reader *r, json_object *root)
{
	struct job_request *job = r->job;
	bool ok = true;

	if (!json_object_is_type(root, json_type_object))
		return reject(r, JOB_REQUEST_WRONG_TYPE, "(the whole body)",
			      "an object");
	json_object_object_foreach(root, key, value)
	{
		if (!strcmp(key, "service"))
			ok = read_name(r, key, value, &job->service);
		else if (!strcmp(key, "team"))
			ok = read_name(r, key, value, &job->team);
		else if (!strcmp(key, "deadline_ms"))
			ok = read_number(r, key, value, 1, MAX_DEADLINE_MS,
					 &job->deadline_ms);
		else if (!strcmp(key, "tasks"))
			ok = read_tasks(r, value);
		else
			ok = reject(r, JOB_REQUEST_UNKNOWN_KEY, "(the job)",
				    "the keys service, team, deadline_ms and "
				    "tasks");
		if (!ok)
			return false;
	}
	if (!job->service)
		return reject(r, JOB_REQUEST_MISSING, "service",
			      "a service's name");
	if (!job->tasks)
		return reject(r, JOB_REQUEST_MISSING, "tasks",
			      "a list of tasks");
	if (!job->team)
		job->team = talloc_strdup(job, DEFAULT_TEAM);
	return true;
}

/* Only white space may follow the JSON value. */
static bool is_white_space(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (!strchr(" \t\r\n", text[i]) || !text[i])
			return false;
	return true;
}

static json_object *parse_text(struct reader *r, const char *text, size_t len)
{
	json_tokener *tok = json_tokener_new_ex(r->limits->depth);
	json_object *root;
	size_t end;

	json_tokener_set_flags(tok, JSON_TOKENER_STRICT |
					    JSON_TOKENER_ALLOW_TRAILING_CHARS |
					    JSON_TOKENER_VALIDATE_UTF8);
	root = json_tokener_parse_ex(tok, text, (int)len);
	end = json_tokener_get_parse_end(tok);
	/* json-c completes a literal only when a character follows it. */
	if (json_tokener_get_error(tok) == json_tokener_continue)
		root = json_tokener_parse_ex(tok, "\n", 1);
	if (json_tokener_get_error(tok) != json_tokener_success ||
	    !is_white_space(text + end, len - end)) {
		reject(r, JOB_REQUEST_SYNTAX, "(the whole body)",
		       "one JSON object in UTF-8");
		json_object_put(root);
		root = NULL;
	} else if (!root) {
		reject(r, JOB_REQUEST_WRONG_TYPE, "(the whole body)",
		       "an object");
	}
	json_tokener_free(tok);
	return root;
}

struct job_request *job_request_parse(TALLOC_CTX *mem, const char *text,
				      size_t len,
				      const struct job_request_limits *limits,
				      enum job_request_status *status,
				      char **message)
{
	struct reader r = { .limits = limits };
	json_object *root;
	bool ok;

	r.job = talloc_zero(mem, struct job_request);
	root = parse_text(&r, text, len);
	ok = root && read_job(&r, root);
	json_object_put(root);
	*status = r.status;
	*message = talloc_steal(mem, r.message);
	if (!ok) {
		talloc_free(r.job);
		return NULL;
	}
	r.job->raw = talloc_strndup(r.job, text, len);
	r.job->raw_len = len;
	r.job->hash = XXH3_64bits(text, len);
	return r.job;
}

const char *job_request_status_word(enum job_request_status status)
{
	static const char *const words[] = {
		[JOB_REQUEST_OK] = "ok",
		[JOB_REQUEST_SYNTAX] = "syntax",
		[JOB_REQUEST_UNKNOWN_KEY] = "unknown_key",
		[JOB_REQUEST_WRONG_TYPE] = "wrong_type",
		[JOB_REQUEST_MISSING] = "missing_key",
		[JOB_REQUEST_OUT_OF_RANGE] = "out_of_range",
		[JOB_REQUEST_TOO_MANY_TASKS] = "too_many_tasks",
	};

	return words[status];
}
