#include "adapters/platform_text.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/base64.h"
#include "base/json_text.h"

#define MAX_ADDRESS_BYTES 128

static bool read_entry(TALLOC_CTX *mem, json_object *entry,
		       struct platform_text_value *value)
{
	const char *text = json_text_get(entry, "Value");
	json_object *index;
	size_t len;

	if (!json_object_object_get_ex(entry, "ModifyIndex", &index))
		return false;
	value->index = json_object_get_uint64(index);
	value->text = base64_decode(mem, text ? text : "", &len);
	return value->text && strlen(value->text) == len;
}

bool platform_text_read_value(TALLOC_CTX *mem,
			      const struct http_client_answer *a,
			      struct platform_text_value *value)
{
	json_object *list;
	bool valid;

	value->text = NULL;
	value->index = 0;
	if (a->http_status == 404)
		return true;
	if (a->http_status != 200)
		return false;
	list = json_tokener_parse(a->body);
	valid = json_object_is_type(list, json_type_array) &&
		json_object_array_length(list) == 1 &&
		read_entry(mem, json_object_array_get_idx(list, 0), value);
	json_object_put(list);
	return valid;
}

uint64_t platform_text_index(const struct http_client_answer *a)
{
	const char *index = http_client_header(a, "X-Consul-Index");

	return index ? strtoull(index, NULL, 10) : 0;
}

uint64_t platform_text_version(const char *document)
{
	json_object *root = document ? json_tokener_parse(document) : NULL;
	json_object *v = NULL;
	uint64_t version;

	if (json_object_is_type(root, json_type_object))
		json_object_object_get_ex(root, "version", &v);
	version = json_object_get_uint64(v);
	json_object_put(root);
	return version;
}

static bool is_leaving(json_object *service)
{
	json_object *meta;
	const char *leaving;

	if (!json_object_object_get_ex(service, "Meta", &meta))
		return false;
	leaving = json_text_get(meta, "leaving");
	return leaving && !strcmp(leaving, "true");
}

void platform_text_for_each_listed(
	const struct http_client_answer *a,
	void (*visit)(void *ctx, const struct platform_text_listed *entry),
	void *ctx)
{
	json_object *list =
		a->http_status == 200 ? json_tokener_parse(a->body) : NULL;
	size_t count = json_object_is_type(list, json_type_array)
			       ? json_object_array_length(list)
			       : 0;

	for (size_t i = 0; i < count; i++) {
		json_object *item = json_object_array_get_idx(list, i);
		json_object *service, *port = NULL;
		char address[MAX_ADDRESS_BYTES];
		struct platform_text_listed entry = { .address = address };

		if (!json_object_object_get_ex(item, "Service", &service))
			continue;
		entry.id = json_text_get(service, "ID");
		json_object_object_get_ex(service, "Port", &port);
		snprintf(address, sizeof(address), "%s:%d",
			 json_text_get(service, "Address") ?: "",
			 json_object_get_int(port));
		entry.leaving = is_leaving(service);
		if (entry.id)
			visit(ctx, &entry);
	}
	json_object_put(list);
}

char *platform_text_session(TALLOC_CTX *mem, const struct http_client_answer *a)
{
	json_object *obj = json_tokener_parse(a->body);
	const char *id = json_text_get(obj, "ID");
	char *session = id ? talloc_strdup(mem, id) : NULL;

	json_object_put(obj);
	return session;
}

char *platform_text_claim(TALLOC_CTX *mem, const char *key, const char *value,
			  const char *session)
{
	char *encoded = base64_encode(mem, value, strlen(value));
	char *text = talloc_asprintf(
		mem,
		"[{\"KV\":{\"Verb\":\"check-not-exists\",\"Key\":\"%s\"}},"
		"{\"KV\":{\"Verb\":\"lock\",\"Key\":\"%s\",\"Value\":\"%s\","
		"\"Session\":\"%s\"}}]",
		key, key, encoded, session);

	talloc_free(encoded);
	return text;
}

bool platform_text_is_invalid_session(const struct http_client_answer *a)
{
	return a->http_status == 409 && strstr(a->body, "invalid session");
}
