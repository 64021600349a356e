/* submit, get, cancel: commands of callers. */
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "ctl/command.h"
#include "ctl/json_view.h"
#include "ctl/options.h"
#include "ctl/request.h"

#define MAX_ATTEMPTS 3 /* of a job that was not forwarded */

static int exit_code(const char *outcome)
{
	static const struct {
		const char *outcome;
		int code;
	} codes[] = {
		{ "complete", COMMAND_OK },
		{ "running", COMMAND_OK },
		{ "not_run", COMMAND_NOT_RUN },
		{ "unknown", COMMAND_UNKNOWN },
	};

	for (size_t i = 0; i < sizeof(codes) / sizeof(codes[0]); i++)
		if (!strcmp(codes[i].outcome, outcome))
			return codes[i].code;
	return COMMAND_FAILED;
}

static void print_results(json_object *answer)
{
	json_object *results;

	if (!json_object_object_get_ex(answer, "results", &results))
		return;
	for (size_t i = 0; i < json_object_array_length(results); i++)
		printf("  task %zu: %s\n", i,
		       json_object_to_json_string_ext(
			       json_object_array_get_idx(results, i),
			       JSON_C_TO_STRING_PLAIN));
}

static int print_answer(const struct request_answer *answer, bool json)
{
	json_object *obj;
	int code;

	if (!request_was_answered(answer))
		return COMMAND_UNREACHABLE;
	obj = json_tokener_parse(answer->body);
	code = exit_code(json_view_text(obj, "outcome"));
	if (json) {
		fputs(answer->body, stdout);
	} else {
		printf("job %s: %s%s%s\n", json_view_text(obj, "job"),
		       json_view_text(obj, "outcome"),
		       *json_view_text(obj, "reason") ? ", " : "",
		       json_view_text(obj, "reason"));
		if (*json_view_text(obj, "message"))
			printf("  %s\n", json_view_text(obj, "message"));
		print_results(obj);
	}
	json_object_put(obj);
	return code;
}

static bool was_not_forwarded(const struct request_answer *answer)
{
	json_object *obj =
		answer->body ? json_tokener_parse(answer->body) : NULL;
	bool not_forwarded =
		!strcmp(json_view_text(obj, "this_attempt"), "not_forwarded");

	json_object_put(obj);
	return not_forwarded;
}

/*
 * Requests a job id, which is needed to query the job's progress. Returns NULL
 * on failure.
 */
static char *fetch_id(TALLOC_CTX *mem, const char *address)
{
	struct request request = {
		.method = "POST",
		.address = address,
		.path = "/v1/job-ids",
		.body = "",
	};
	struct request_answer answer = request_send(mem, &request);
	json_object *obj = answer.body ? json_tokener_parse(answer.body) : NULL;
	json_object *ids = json_view_value(obj, "ids");
	char *id = NULL;

	if (json_view_length(ids))
		id = talloc_strdup(mem,
				   json_object_get_string(
					   json_object_array_get_idx(ids, 0)));
	json_object_put(obj);
	return id;
}

/*
 * Submits once. A watched job that has neither an id nor an idempotency key
 * gets a new id first.
 */
static struct request_answer
send_attempt(TALLOC_CTX *mem, struct request *request, const char *id)
{
	if (request->watch && !id && !request->idempotency_key)
		id = fetch_id(mem, request->address);
	request->method = id ? "PUT" : "POST";
	request->path =
		id ? talloc_asprintf(mem, "/v1/jobs/%s", id) : "/v1/jobs";
	request->progress = id != NULL;
	return request_send(mem, request);
}

/*
 * Submits a job. Without a given id it retries, since an attempt that was not
 * forwarded cannot have started the job.
 */
static struct request_answer submit(TALLOC_CTX *mem, struct request *request,
				    const char *id)
{
	struct request_answer answer = send_attempt(mem, request, id);

	for (int i = 1; i < MAX_ATTEMPTS && !id && was_not_forwarded(&answer);
	     i++)
		answer = send_attempt(mem, request, id);
	return answer;
}

struct submit_arguments {
	struct arg_lit *help;
	struct arg_lit *json;
	struct arg_lit *watch;
	struct arg_str *address;
	struct arg_str *key;
	struct arg_str *id;
	struct arg_str *file;
	struct arg_end *end;
};

static int run_submit(const struct submit_arguments *a)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	const char *id = option_text(a->id, NULL);
	struct request request = {
		.address = option_text(a->address, REQUEST_DEFAULT_CALLERS),
		.body = request_read_file(mem, option_text(a->file, "-")),
		.idempotency_key = option_text(a->key, NULL),
		.watch = a->watch->count && isatty(STDERR_FILENO),
	};
	int code = COMMAND_USAGE;

	if (request.body) {
		struct request_answer answer = submit(mem, &request, id);

		code = print_answer(&answer, a->json->count);
	}
	talloc_free(mem);
	return code;
}

int command_submit(int argc, char **argv)
{
	struct submit_arguments a = {
		.help = option_help(),
		.json = option_json("print the answer as JSON"),
		.watch = arg_lit0("w", "watch",
				  "show the progress on a terminal"),
		.address = option_address("callers' address of an instance"),
		.key = arg_str0(NULL, "key", "KEY", "idempotency key"),
		.id = arg_str0(NULL, "id", "ID", "submit under this id"),
		.file = arg_str0(NULL, NULL, "FILE",
				 "the job; - is standard input"),
		.end = arg_end(10),
	};
	void *entries[] = { a.help, a.json, a.watch, a.address,
			    a.key,  a.id,   a.file,  a.end };
	struct option_table table = { entries,
				      sizeof(entries) / sizeof(entries[0]),
				      NULL };
	int code;

	if (option_parse(argc, argv, &table, &code))
		code = run_submit(&a);
	arg_freetable(entries, table.count);
	return code;
}

static int request_job(const char *method, const char *address, const char *id,
		       bool json)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct request request = {
		.method = method,
		.address = address,
		.path = talloc_asprintf(mem, "/v1/jobs/%s", id),
	};
	struct request_answer answer = request_send(mem, &request);
	int code = print_answer(&answer, json);

	talloc_free(mem);
	return code;
}

static int run_job_command(int argc, char **argv, const char *method)
{
	struct arg_lit *json = option_json("print the answer as JSON");
	struct arg_str *address =
		option_address("callers' address of an instance");
	struct arg_str *id = arg_str1(NULL, NULL, "ID", "the job's id");
	void *entries[] = { option_help(), json, address, id, arg_end(10) };
	struct option_table table = { entries,
				      sizeof(entries) / sizeof(entries[0]),
				      NULL };
	int code;

	if (option_parse(argc, argv, &table, &code))
		code = request_job(
			method, option_text(address, REQUEST_DEFAULT_CALLERS),
			id->sval[0], json->count);
	arg_freetable(entries, table.count);
	return code;
}

int command_get(int argc, char **argv)
{
	return run_job_command(argc, argv, "GET");
}

int command_cancel(int argc, char **argv)
{
	return run_job_command(argc, argv, "DELETE");
}
