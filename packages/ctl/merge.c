/* timeline: merges the time lines of all processes into one. */
#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "ctl/command.h"
#include "ctl/json_view.h"
#include "ctl/options.h"

struct event {
	int64_t wall_us;
	size_t order; /* in which lines were read; breaks ties */
	json_object *obj;
};

struct timeline {
	struct event *events;
	size_t count;
	const char *job; /* keep only events of this job; NULL for all */
};

static void add_line(struct timeline *t, const char *line)
{
	json_object *obj = json_tokener_parse(line);
	json_object *wall;

	if (!json_object_object_get_ex(obj, "wall_us", &wall) ||
	    (t->job && strcmp(json_view_text(obj, "job"), t->job))) {
		json_object_put(obj);
		return;
	}
	if (t->count == talloc_array_length(t->events))
		t->events = talloc_realloc(t, t->events, struct event,
					   (unsigned)(t->count * 2 + 1024));
	t->events[t->count].wall_us = json_object_get_int64(wall);
	t->events[t->count].order = t->count;
	t->events[t->count++].obj = obj;
}

static bool read_file(struct timeline *t, const char *path)
{
	FILE *f = fopen(path, "re");
	char *line = NULL;
	size_t size = 0;

	if (!f) {
		fprintf(stderr, "bergamotctl: %s: cannot be read\n", path);
		return false;
	}
	while (getline(&line, &size, f) > 0)
		add_line(t, line);
	free(line);
	fclose(f);
	return true;
}

static int compare_events(const void *a, const void *b)
{
	const struct event *x = a, *y = b;

	if (x->wall_us != y->wall_us)
		return x->wall_us < y->wall_us ? -1 : 1;
	return x->order < y->order ? -1 : x->order > y->order;
}

static bool same_task(json_object *a, json_object *b)
{
	return !strcmp(json_view_text(a, "job"), json_view_text(b, "job")) &&
	       !strcmp(json_view_text(a, "task"), json_view_text(b, "task"));
}

/*
 * Returns true if the event starts a task a second time, which violates an
 * invariant unless the earlier start is proven not to have run the task.
 */
static bool is_second_start(const struct timeline *t, size_t i)
{
	json_object *obj = t->events[i].obj;

	if (strcmp(json_view_text(obj, "event"), "task_start"))
		return false;
	while (i--) {
		json_object *before = t->events[i].obj;

		if (!same_task(before, obj))
			continue;
		if (!strcmp(json_view_text(before, "event"), "task_start"))
			return true;
		if (!strcmp(json_view_text(before, "event"), "task_result") &&
		    !strcmp(json_view_text(before, "detail"), "not_started"))
			return false;
	}
	return false;
}

static void print_event(const struct timeline *t, size_t i, bool json)
{
	json_object *obj = t->events[i].obj;
	double ms =
		(double)(t->events[i].wall_us - t->events[0].wall_us) / 1000;
	/* The search is quadratic, so only do it for a single job. */
	bool contradiction = t->job && is_second_start(t, i);

	if (json) {
		json_object_object_add(obj, "contradiction",
				       json_object_new_boolean(contradiction));
		puts(json_object_to_json_string_ext(obj,
						    JSON_C_TO_STRING_PLAIN));
		return;
	}
	printf("%10.3f ms  %-10s %-14s", ms, json_view_text(obj, "instance"),
	       json_view_text(obj, "event"));
	if (*json_view_text(obj, "task"))
		printf(" task %-4s", json_view_text(obj, "task"));
	printf(" %s %s%s\n", json_view_text(obj, "worker"),
	       json_view_text(obj, "detail"),
	       contradiction ? "  <-- SECOND START" : "");
}

static int merge(struct timeline *t, const struct arg_file *files, bool json)
{
	for (int i = 0; i < files->count; i++)
		if (!read_file(t, files->filename[i]))
			return COMMAND_USAGE;
	if (t->count)
		qsort(t->events, t->count, sizeof(*t->events), compare_events);
	for (size_t i = 0; i < t->count; i++)
		print_event(t, i, json);
	for (size_t i = 0; i < t->count; i++)
		json_object_put(t->events[i].obj);
	return COMMAND_OK;
}

int command_timeline(int argc, char **argv)
{
	struct arg_lit *json = option_json("print JSON lines");
	struct arg_str *job = arg_str0("j", "job", "ID",
				       "only this job, with contradictions "
				       "marked");
	struct arg_file *files =
		arg_filen(NULL, NULL, "FILE", 1, 1000, "time line files");
	void *entries[] = { option_help(), json, job, files, arg_end(10) };
	struct option_table table = { entries,
				      sizeof(entries) / sizeof(entries[0]),
				      NULL };
	struct timeline *t = talloc_zero(NULL, struct timeline);
	int code;

	if (option_parse(argc, argv, &table, &code)) {
		t->job = option_text(job, NULL);
		code = merge(t, files, json->count);
	}
	arg_freetable(entries, table.count);
	talloc_free(t);
	return code;
}
