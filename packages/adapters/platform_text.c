#include "adapters/platform_text.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/base64.h"
#include "base/host_port.h"
#include "base/json_text.h"

#define MAX_ID_BYTES 200
/* Of a worker's name in the document. */
#define MAX_NAME_BYTES 63
/* Brackets around an entry of a list, and the most that an entry may nest. */
#define ENTRY_DEPTH 1
#define MAX_DEPTH 16

static bool read_entry(TALLOC_CTX *mem, json_object *entry,
		       struct platform_text_value *value)
{
	const char *text = json_text_get(entry, "Value");
	json_object *index;
	size_t len;

	if (!json_object_object_get_ex(entry, "ModifyIndex", &index) ||
	    !json_object_is_type(index, json_type_int) ||
	    json_object_get_int64(index) <= 0 ||
	    json_object_get_uint64(index) == UINT64_MAX)
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
	if (!valid)
		TALLOC_FREE(value->text);
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

/* Returns a string without a NUL; NULL for any other value. */
static const char *get_text(json_object *obj, const char *key)
{
	const char *text = json_text_get(obj, key);
	json_object *v;

	if (!text || !json_object_object_get_ex(obj, key, &v) ||
	    strlen(text) != (size_t)json_object_get_string_len(v))
		return NULL;
	return text;
}

static bool is_worker_name(const char *text)
{
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
				      "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				      "0123456789._-";
	size_t len = strlen(text);

	return len <= MAX_NAME_BYTES && strspn(text, allowed) == len;
}

/* Writes HOST:PORT; false unless it can be dialled. */
static bool read_address(json_object *service, char *address, size_t size)
{
	const char *host = get_text(service, "Address");
	json_object *port;
	int len;

	if (!host || !json_object_object_get_ex(service, "Port", &port) ||
	    !json_object_is_type(port, json_type_int))
		return false;
	len = snprintf(address, size, "%s:%" PRId64, host,
		       json_object_get_int64(port));
	return len > 0 && (size_t)len < size &&
	       host_port_classify(address, (size_t)len) == HOST_PORT_NUMERIC;
}

/* Returns NULL, or why the entry names no instance or worker. */
static const char *read_listed(json_object *item, enum platform_text_list kind,
			       char *address, size_t size,
			       struct platform_text_listed *entry)
{
	json_object *service;

	if (!json_object_object_get_ex(item, "Service", &service))
		return "no object with a Service";
	entry->id = get_text(service, "ID");
	if (!entry->id || !*entry->id || strlen(entry->id) > MAX_ID_BYTES)
		return "the ID is no text of 1 to 200 bytes";
	*address = '\0';
	if (!read_address(service, address, size) &&
	    kind == PLATFORM_TEXT_INSTANCES)
		return "the address and port are not IP:PORT with a port from "
		       "1 to 65535";
	if (kind == PLATFORM_TEXT_WORKERS && !is_worker_name(entry->id))
		return "the ID is not 1 to 63 letters, digits, '.', '_' or '-'";
	entry->address = address;
	entry->leaving = is_leaving(service);
	return NULL;
}

static void note_odd(struct platform_text_odd *odd, json_object *item,
		     const char *reason)
{
	char sample[JSON_TEXT_SAMPLE_BYTES];
	json_object *service = NULL;
	const char *id;

	json_object_object_get_ex(item, "Service", &service);
	id = json_text_get(service, "ID");
	json_text_sample(sample, sizeof(sample), id ? id : "",
			 id ? strlen(id) : 0);
	snprintf(odd->text, sizeof(odd->text), "%s: %s", sample, reason);
	odd->count++;
}

bool platform_text_for_each_listed(
	const struct http_client_answer *a, enum platform_text_list kind,
	void (*visit)(void *ctx, const struct platform_text_listed *entry),
	void *ctx, struct platform_text_odd *odd)
{
	char address[HOST_PORT_BYTES];
	char sample[JSON_TEXT_SAMPLE_BYTES];
	json_object *list;
	size_t deep;

	memset(odd, 0, sizeof(*odd));
	if (a->http_status == 404)
		return true; /* no such service */
	if (a->http_status != 200)
		return false;
	deep = json_text_blank_deep(a->body, a->body_len, ENTRY_DEPTH,
				    MAX_DEPTH, sample, sizeof(sample));
	list = json_tokener_parse(a->body);
	if (!json_object_is_type(list, json_type_array)) {
		json_object_put(list);
		return false;
	}
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		json_object *item = json_object_array_get_idx(list, i);
		struct platform_text_listed entry;
		const char *reason = read_listed(item, kind, address,
						 sizeof(address), &entry);

		if (reason)
			note_odd(odd, item, reason);
		else
			visit(ctx, &entry);
	}
	json_object_put(list);
	if (deep)
		snprintf(odd->text, sizeof(odd->text),
			 "%s: brackets nested more than %d deep", sample,
			 MAX_DEPTH);
	return true;
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
