/* plan, plan show, confirm: commands of operators that change things. */
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/command.h"
#include "ctl/json_view.h"
#include "ctl/options.h"
#include "ctl/request.h"

#define PRINT (JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE)
#define CONFIRM_TIMEOUT_MS 30000

/* Output for people */

static void print_value(json_object *v)
{
	printf("%s", v ? json_object_to_json_string_ext(v, PRINT) : "-");
}

static void print_difference(const char *title, json_object *list)
{
	printf("%s:\n", title);
	for (size_t i = 0; i < json_view_length(list); i++) {
		json_object *change = json_object_array_get_idx(list, i);

		printf("  %s: ", json_view_text(change, "at"));
		print_value(json_view_value(change, "before"));
		printf(" -> ");
		print_value(json_view_value(change, "after"));
		putchar('\n');
	}
	if (!json_view_length(list))
		printf("  nothing\n");
}

static void print_figures(const char *what, const char *key, json_object *list)
{
	for (size_t i = 0; i < json_view_length(list); i++) {
		json_object *row = json_object_array_get_idx(list, i);

		printf("  %s of %s: %s -> %s\n", what, json_view_text(row, key),
		       json_view_text(row, "before"),
		       json_view_text(row, "after"));
	}
}

static void print_effects(json_object *effects)
{
	json_object *warnings = json_view_value(effects, "warnings");

	printf("effects:\n");
	print_figures("slots", "service", json_view_value(effects, "slots"));
	print_figures("tasks a second", "team",
		      json_view_value(effects, "quotas"));
	printf("  tasks in flight on workers taken out: %s\n",
	       json_view_text(effects, "in_flight"));
	for (size_t i = 0; i < json_view_length(warnings); i++)
		printf("warning: %s\n",
		       json_object_get_string(
			       json_object_array_get_idx(warnings, i)));
}

static bool print_plan(const char *text)
{
	json_object *plan = json_tokener_parse(text);
	bool good = json_view_value(plan, "plan") &&
		    json_view_value(plan, "difference");

	if (good) {
		printf("plan %s: version %s -> %s\n",
		       json_view_text(plan, "plan"),
		       json_view_text(plan, "base_version"),
		       json_view_text(plan, "version"));
		print_difference("difference",
				 json_view_value(plan, "difference"));
		print_effects(json_view_value(plan, "effects"));
	}
	json_object_put(plan);
	return good;
}

static void print_refusal(json_object *obj)
{
	const char *word = *json_view_text(obj, "outcome")
				   ? json_view_text(obj, "outcome")
				   : "refused";

	printf("%s: %s\n", word, json_view_text(obj, "message"));
	if (!json_view_value(obj, "yours"))
		return;
	printf("made for version %s; version %s is in force\n",
	       json_view_text(obj, "base_version"),
	       json_view_text(obj, "version"));
	print_difference("your plan", json_view_value(obj, "yours"));
	print_difference("changed meanwhile", json_view_value(obj, "theirs"));
}

/* Parsing of intents */

/* Returns a boolean, an integer or, for any other text, a string. */
static json_object *parse_value(const char *text)
{
	char *end;
	long long n = strtoll(text, &end, 10);

	if (!strcmp(text, "true") || !strcmp(text, "false"))
		return json_object_new_boolean(*text == 't');
	return *text && !*end ? json_object_new_int64(n)
			      : json_object_new_string(text);
}

static json_object *parse_pairs(const char **words, int count)
{
	json_object *obj = json_object_new_object();

	for (int i = 0; i < count; i++) {
		const char *equals = strchr(words[i], '=');
		char key[64];

		if (!equals || (size_t)(equals - words[i]) >= sizeof(key)) {
			json_object_put(obj);
			return NULL;
		}
		snprintf(key, sizeof(key), "%.*s", (int)(equals - words[i]),
			 words[i]);
		json_object_object_add(obj, key, parse_value(equals + 1));
	}
	return obj;
}

/*
 * Parses a verb and its arguments: names for remove-workers, else KEY=VALUE
 * pairs, which for add-workers describe one worker. Returns NULL on error.
 */
static json_object *parse_intent(const char **words, int count)
{
	json_object *list = json_object_new_array();
	json_object *intent;

	if (!strcmp(words[0], "add-workers")) {
		json_object *worker = parse_pairs(words + 1, count - 1);

		if (!worker) {
			json_object_put(list);
			return NULL;
		}
		json_object_array_add(list, worker);
	} else if (!strcmp(words[0], "remove-workers")) {
		for (int i = 1; i < count; i++)
			json_object_array_add(list,
					      json_object_new_string(words[i]));
	}
	if (json_view_length(list)) {
		intent = json_object_new_object();
		json_object_object_add(intent, "workers", list);
	} else {
		json_object_put(list);
		intent = parse_pairs(words + 1, count - 1);
	}
	if (intent)
		json_object_object_add(intent, "intent",
				       json_object_new_string(words[0]));
	return intent;
}

/* Commands */

/* The options that plan and confirm share. */
struct plan_options {
	struct arg_lit *json;
	struct arg_str *address;
	struct arg_file *token;
};

static int exit_code(const struct request_answer *answer, json_object *obj)
{
	if (answer->http_status == 200)
		return COMMAND_OK;
	if (!strcmp(json_view_text(obj, "outcome"), "unknown"))
		return COMMAND_UNKNOWN;
	return COMMAND_FAILED;
}

static int print_answer(const struct request_answer *answer, bool json)
{
	json_object *obj;
	int code;

	if (!request_was_answered(answer))
		return COMMAND_UNREACHABLE;
	obj = json_tokener_parse(answer->body);
	code = exit_code(answer, obj);
	if (json)
		fputs(answer->body, stdout);
	else if (code != COMMAND_OK)
		print_refusal(obj);
	else if (!print_plan(answer->body))
		printf("plan %s is confirmed: version %s\n",
		       json_view_text(obj, "plan"),
		       json_view_text(obj, "version"));
	json_object_put(obj);
	return code;
}

static struct plan_options make_plan_options(void)
{
	return (struct plan_options){
		.json = option_json("print JSON; a plan is confirmed from it"),
		.address = option_address("operators' address"),
		.token = option_token_file(),
	};
}

static int post(const struct plan_options *o, const char *path,
		const char *body)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct request request = {
		.method = "POST",
		.address = option_text(o->address, REQUEST_DEFAULT_OPERATORS),
		.path = path,
		.body = body,
		.token_file = option_file(o->token, NULL),
		.timeout_ms = CONFIRM_TIMEOUT_MS,
	};
	struct request_answer answer = request_send(mem, &request);
	int code = print_answer(&answer, o->json->count);

	talloc_free(mem);
	return code;
}

static int show(const char *path)
{
	char *text = request_read_file(NULL, path);
	int code = COMMAND_FAILED;

	if (text && print_plan(text))
		code = COMMAND_OK;
	else if (text)
		fprintf(stderr, "bergamotctl: not a plan\n");
	talloc_free(text);
	return code;
}

static json_object *read_intent_file(const char *path)
{
	char *text = request_read_file(NULL, path);
	json_object *intent = text ? json_tokener_parse(text) : NULL;

	if (text && !intent)
		fprintf(stderr, "bergamotctl: %s: not JSON\n", path);
	talloc_free(text);
	return intent;
}

/* Makes the intent from words or file; prints an error on failure. */
static json_object *make_intent(const struct arg_str *words, const char *file)
{
	json_object *intent = NULL;

	if (file && words->count) {
		fprintf(stderr, "bergamotctl: an intent is given in words or "
				"in a file, not both\n");
		return NULL;
	}
	if (file)
		return read_intent_file(file);
	if (words->count)
		intent = parse_intent(words->sval, words->count);
	if (!intent)
		fprintf(stderr, "bergamotctl: an intent is a word and "
				"KEY=VALUE pairs, or --intent-file "
				"with JSON\n");
	return intent;
}

static int plan(const struct plan_options *o, const struct arg_str *words,
		const char *file)
{
	json_object *intent;
	int code = COMMAND_USAGE;

	if (words->count && !strcmp(words->sval[0], "show"))
		return show(words->count > 1 ? words->sval[1] : "-");
	intent = make_intent(words, file);
	if (intent)
		code = post(o, "/v1/plans",
			    json_object_to_json_string_ext(intent, PRINT));
	json_object_put(intent);
	return code;
}

int command_plan(int argc, char **argv)
{
	struct plan_options o = make_plan_options();
	struct arg_file *file =
		arg_file0("i", "intent-file", "FILE", "the intent as JSON");
	struct arg_str *words = arg_strn(NULL, NULL, "INTENT", 0, 1000,
					 "a word and KEY=VALUE pairs");
	void *entries[] = { option_help(), o.json, o.address,  o.token,
			    file,	   words,  arg_end(10) };
	struct option_table table = {
		entries, sizeof(entries) / sizeof(entries[0]),
		"Makes a plan; nothing changes until it is confirmed.\n"
		"  plan drain worker=NAME | data_centre=NAME\n"
		"  plan undrain worker=NAME | data_centre=NAME\n"
		"  plan add-workers name=N address=HOST:PORT data_centre=N "
		"service=N slots=N\n"
		"  plan remove-workers NAME...\n"
		"  plan set-limit team=N tasks_per_s=N burst=N weight=N\n"
		"  plan set-service service=N deadline_ms=N max_tasks=N\n"
		"  plan show FILE\n"
		"Keep the plan for 'confirm' with --json > FILE.\n"
	};
	int code;

	if (option_parse(argc, argv, &table, &code))
		code = plan(&o, words, option_file(file, NULL));
	arg_freetable(entries, table.count);
	return code;
}

static int confirm(const struct plan_options *o, const char *path)
{
	char *text = request_read_file(NULL, path);
	int code = text ? post(o, "/v1/plans/confirm", text) : COMMAND_FAILED;

	talloc_free(text);
	return code;
}

int command_confirm(int argc, char **argv)
{
	struct plan_options o = make_plan_options();
	struct arg_str *file =
		arg_str0(NULL, NULL, "FILE", "the plan; - is standard input");
	void *entries[] = { option_help(), o.json, o.address,
			    o.token,	   file,   arg_end(10) };
	struct option_table table = {
		entries, sizeof(entries) / sizeof(entries[0]),
		"Confirms the plan in FILE, or on standard input. A repeat is "
		"safe.\nExit codes: 0 confirmed, 1 refused, 4 unknown: confirm "
		"it again.\n"
	};
	int code;

	if (option_parse(argc, argv, &table, &code))
		code = confirm(&o, option_text(file, "-"));
	arg_freetable(entries, table.count);
	return code;
}
