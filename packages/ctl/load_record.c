#include "ctl/load_record.h"

#include <json-c/json.h>

#include "base/clock.h"

static const char *const errors[] = {
	[HTTP_CLIENT_ANSWERED] = "",
	[HTTP_CLIENT_NOT_SENT] = "refused",
	[HTTP_CLIENT_TOO_LARGE] = "too_large",
	[HTTP_CLIENT_TIMEOUT] = "timeout",
	[HTTP_CLIENT_BROKEN] = "broken",
};

static json_object *parse_answer(const struct http_client_answer *a)
{
	return a->status == HTTP_CLIENT_ANSWERED && a->body
		       ? json_tokener_parse(a->body)
		       : NULL;
}

void load_record_write(FILE *out, const struct load_record_request *r,
		       const struct http_client_answer *a)
{
	json_object *line = json_object_new_object();
	json_object *answer = parse_answer(a), *job = NULL;

	if (r->job)
		job = json_object_new_string(r->job);
	else if (json_object_object_get_ex(answer, "job", &job))
		job = json_object_get(job);
	else
		job = json_object_new_string("");
	json_object_object_add(line, "op",
			       json_object_new_string(r->operation));
	json_object_object_add(line, "job", job);
	json_object_object_add(line, "instance",
			       json_object_new_string(r->instance));
	json_object_object_add(line, "begin_us",
			       json_object_new_int64((int64_t)r->begin_us));
	json_object_object_add(line, "end_us",
			       json_object_new_int64((int64_t)clock_wall_us()));
	json_object_object_add(line, "body",
			       r->body ? json_tokener_parse(r->body) : NULL);
	json_object_object_add(line, "answer", answer);
	json_object_object_add(line, "error",
			       json_object_new_string(errors[a->status]));
	fprintf(out, "%s\n",
		json_object_to_json_string_ext(line, JSON_C_TO_STRING_PLAIN));
	json_object_put(line);
}
