/* status, metrics, check-settings: read-only commands of operators. */
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/settings.h"
#include "ctl/command.h"
#include "ctl/json_view.h"
#include "ctl/options.h"
#include "ctl/request.h"

static void print_table(json_object *list, const char *const *columns)
{
	for (const char *const *c = columns; *c; c++)
		printf("%-16s", *c);
	putchar('\n');
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		json_object *row = json_object_array_get_idx(list, i);

		for (const char *const *c = columns; *c; c++)
			printf("%-16s", json_view_text_or(row, *c, "-"));
		putchar('\n');
	}
}

static void print_list(json_object *obj, const char *key,
		       const char *const *columns)
{
	json_object *list;

	if (!json_object_object_get_ex(obj, key, &list))
		return;
	putchar('\n');
	print_table(list, columns);
}

/*
 * Prints the status of an instance with leased workers. Each instance that
 * reads the registrations lists its own pool of workers, but only the leader
 * holds them.
 */
static void print_leased(json_object *obj)
{
	static const char *const figures[] = { "claim",
					       "open_requests",
					       "jobs",
					       "waiting_tasks",
					       "running_tasks",
					       "workers_held",
					       "workers_usable",
					       "free_milli",
					       "breakers_open",
					       "callers",
					       "store_failures",
					       "store_reads_left",
					       "store_writes_left",
					       NULL };
	static const char *const queue_columns[] = { "queue", "service",
						     "priority", "waiting",
						     NULL };
	static const char *const member_columns[] = {
		"instance",	  "data_centre",  "state",	 "weight",
		"config_version", "heard_ms_ago", "incarnation", NULL
	};
	static const char *const worker_columns[] = {
		"worker",     "data_centre", "state",	  "breaker",
		"running",    "used_milli",  "cpu_milli", "speed_percent",
		"lost_holds", NULL
	};

	printf("instance %s: ready %s, leads %s, leader %s, configuration %s\n\n",
	       json_view_text_or(obj, "instance", "-"),
	       json_view_text_or(obj, "ready", "-"),
	       json_view_text_or(obj, "leads", "-"),
	       json_view_text_or(obj, "leader", "-"),
	       json_view_text_or(obj, "config_version", "-"));
	for (const char *const *f = figures; *f; f++)
		printf("%-20s%s\n", *f, json_view_text_or(obj, *f, "-"));
	print_list(obj, "queues", queue_columns);
	print_list(obj, "members", member_columns);
	print_list(obj, "workers", worker_columns);
}

static void print_status(const char *body, bool json)
{
	static const char *const member_columns[] = {
		"instance",	  "data_centre", "state",
		"config_version", "slots",	 "idle_slots",
		"backlog_tasks",  "incarnation", NULL
	};
	static const char *const worker_columns[] = { "worker",	     "service",
						      "slots",	     "running",
						      "breaker",     "leaving",
						      "mean_run_us", NULL };
	json_object *obj;

	if (json) {
		puts(body);
		return;
	}
	obj = json_tokener_parse(body);
	if (json_object_object_get_ex(obj, "leads", NULL)) {
		print_leased(obj);
		json_object_put(obj);
		return;
	}
	printf("instance %s: ready %s, dispatcher %s, configuration %s\n",
	       json_view_text_or(obj, "instance", "-"),
	       json_view_text_or(obj, "ready", "-"),
	       json_view_text_or(obj, "dispatcher", "-"),
	       json_view_text_or(obj, "config_version", "-"));
	print_list(obj, "members", member_columns);
	print_list(obj, "workers", worker_columns);
	json_object_put(obj);
}

/* With json, prints the Prometheus lines as one object. */
static void print_metrics(const char *body, bool json)
{
	json_object *obj = json_object_new_object();
	char name[128];
	long long value;

	for (const char *line = body; line && *line && json;) {
		if (sscanf(line, "%127[a-z0-9_] %lld", name, &value) == 2)
			json_object_object_add(obj, name,
					       json_object_new_int64(value));
		line = strchr(line, '\n');
		line += line ? 1 : 0;
	}
	fputs(json ? json_object_to_json_string_ext(obj, JSON_C_TO_STRING_PLAIN)
		   : body,
	      stdout);
	fputs(json ? "\n" : "", stdout);
	json_object_put(obj);
}

static int query(const struct request *request, bool json,
		 void (*print)(const char *body, bool json))
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct request_answer answer = request_send(mem, request);
	int code = COMMAND_OK;

	if (!request_was_answered(&answer)) {
		code = COMMAND_UNREACHABLE;
	} else if (answer.http_status != 200) {
		fputs(answer.body, stderr);
		code = COMMAND_FAILED;
	} else {
		print(answer.body, json);
	}
	talloc_free(mem);
	return code;
}

static int run_query(int argc, char **argv, const char *path,
		     void (*print)(const char *body, bool json))
{
	struct arg_lit *json = option_json("print JSON");
	struct arg_str *address = option_address("operators' address");
	struct arg_file *token = option_token_file();
	void *entries[] = { option_help(), json, address, token, arg_end(10) };
	struct option_table table = { entries,
				      sizeof(entries) / sizeof(entries[0]),
				      NULL };
	int code;

	if (option_parse(argc, argv, &table, &code)) {
		struct request request = {
			.method = "GET",
			.address =
				option_text(address, REQUEST_DEFAULT_OPERATORS),
			.path = path,
			.token_file = option_file(token, NULL),
		};

		code = query(&request, json->count, print);
	}
	arg_freetable(entries, table.count);
	return code;
}

int command_status(int argc, char **argv)
{
	return run_query(argc, argv, "/v1/status", print_status);
}

int command_metrics(int argc, char **argv)
{
	return run_query(argc, argv, "/metrics", print_metrics);
}

static int check_settings(const char *path, bool json)
{
	enum settings_status status;
	char *message;
	struct settings *s = settings_load(NULL, path, &status, &message);
	int code = s ? COMMAND_OK : COMMAND_FAILED;

	if (json) {
		json_object *obj = json_object_new_object();

		json_object_object_add(obj, "file",
				       json_object_new_string(path));
		json_object_object_add(obj, "valid",
				       json_object_new_boolean(s != NULL));
		if (!s)
			json_object_object_add(obj, "message",
					       json_object_new_string(message));
		puts(json_object_to_json_string_ext(obj,
						    JSON_C_TO_STRING_PLAIN));
		json_object_put(obj);
	} else if (s) {
		printf("%s: settings are valid\n", path);
	} else {
		fprintf(stderr, "bergamotctl: %s\n", message);
	}
	talloc_free(message);
	talloc_free(s);
	return code;
}

int command_check_settings(int argc, char **argv)
{
	struct arg_lit *json = option_json("print JSON");
	struct arg_file *file = arg_file1(NULL, NULL, "FILE", "settings file");
	void *entries[] = { option_help(), json, file, arg_end(10) };
	struct option_table table = { entries,
				      sizeof(entries) / sizeof(entries[0]),
				      NULL };
	int code;

	if (option_parse(argc, argv, &table, &code))
		code = check_settings(file->filename[0], json->count);
	arg_freetable(entries, table.count);
	return code;
}
