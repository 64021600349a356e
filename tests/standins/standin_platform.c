/*
 * Stand-in for the platform: the calls of Consul's HTTP API that bergamotd
 * makes, and a control path for tests.
 *
 *     PUT /standin/faults   {"out": false, "slow_ms": 0, "lose_writes": 0,
 *                            "stale": false}; absent faults are off;
 *                            consistent reads are never stale
 *     PUT /standin/restore  restarts with this document, at a low index
 *     PUT /standin/list?service=NAME   [{"id","address","port","leaving"}]
 *     PUT /standin/raw?service=NAME    the body is the list, whatever it is
 *     PUT /standin/expire   ends all sessions and deletes their keys
 *     GET /standin/state    {"reads","writes","sessions","session_ttl_s"}
 */
#include <argtable2.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "adapters/http_server.h"
#include "base/base64.h"

#define BODY_BYTES (8u << 20)
#define CONNECTIONS 4096
#define HEADER_BYTES 16384
#define IDLE_MS 600000

/* A key with its value, or a service's list under its URL path. */
struct item {
	LIST_ENTRY(item) entry;
	char *key;
	char *value;
	char *previous; /* the value that stale reads return */
	char *session;
	unsigned long long index;
	unsigned long long previous_index;
};

struct blocking_query {
	LIST_ENTRY(blocking_query) entry;
	uint64_t number;
	char *key;
	bool keys_only;
};

static struct {
	struct tevent_context *ev;
	struct http_server *server;
	LIST_HEAD(, item) items;
	LIST_HEAD(, blocking_query) queries;
	unsigned long long index;
	unsigned long long sessions; /* see expire_sessions() */
	unsigned long long session_ttl_s; /* of the last one */
	unsigned long long reads;
	unsigned long long writes;
	bool out;
	bool stale;
	int slow_ms;
	int lose_writes;
} s;

struct delayed_reply {
	uint64_t number;
	int status;
	char *body;
	char index[24];
};

static void send_reply(const struct delayed_reply *delayed)
{
	const char *headers[] = { "X-Consul-Index", delayed->index, NULL };
	struct http_server_response response = {
		.status = delayed->status,
		.body = delayed->body,
		.body_len = strlen(delayed->body),
		.headers = headers,
	};

	http_server_reply(s.server, delayed->number, &response);
}

static void on_delay_over(struct tevent_context *ev, struct tevent_timer *te,
			  struct timeval now, void *private_data)
{
	(void)ev;
	(void)te;
	(void)now;
	send_reply(private_data);
	talloc_free(private_data);
}

static struct timeval in_ms(int ms)
{
	return tevent_timeval_current_ofs((uint32_t)ms / 1000,
					  (uint32_t)ms % 1000 * 1000);
}

static void reply(uint64_t number, int status, const char *body,
		  unsigned long long index)
{
	struct delayed_reply *delayed =
		talloc_zero(s.server, struct delayed_reply);

	delayed->number = number;
	delayed->status = status;
	delayed->body = talloc_strdup(delayed, body);
	snprintf(delayed->index, sizeof(delayed->index), "%llu", index);
	if (s.slow_ms) {
		tevent_add_timer(s.ev, delayed, in_ms(s.slow_ms), on_delay_over,
				 delayed);
		return;
	}
	send_reply(delayed);
	talloc_free(delayed);
}

/* For the control path, which slow_ms does not delay. */
static void reply_undelayed(uint64_t number, const char *body)
{
	int slow_ms = s.slow_ms;

	s.slow_ms = 0;
	reply(number, 200, body, s.index);
	s.slow_ms = slow_ms;
}

static struct item *find_item(const char *key)
{
	struct item *i;

	LIST_FOREACH(i, &s.items, entry)
		if (!strcmp(i->key, key))
			return i;
	return NULL;
}

static void reply_item(uint64_t number, const char *key, bool keys_only,
		       bool consistent)
{
	struct item *i = find_item(key);
	bool stale = i && s.stale && !consistent && i->previous;
	char *value, *body;

	if (!i) {
		reply(number, 404, "[]", 1);
		return;
	}
	value = stale ? i->previous : i->value;
	if (keys_only) {
		body = talloc_asprintf(i, "[\"%s\"]", key);
	} else if (*key == '/') {
		body = talloc_strdup(i, value);
	} else {
		char *coded = base64_encode(i, value, strlen(value));

		body = talloc_asprintf(
			i,
			"[{\"Key\":\"%s\",\"ModifyIndex\":%llu,\"Value\":\"%s\"}]",
			key, stale ? i->previous_index : i->index, coded);
		talloc_free(coded);
	}
	reply(number, 200, body,
	      keys_only || !stale ? i->index : i->previous_index);
	talloc_free(body);
}

static void answer_queries(const char *key)
{
	struct blocking_query *w, *next;

	for (w = LIST_FIRST(&s.queries); w; w = next) {
		next = LIST_NEXT(w, entry);
		if (strcmp(w->key, key))
			continue;
		LIST_REMOVE(w, entry);
		reply_item(w->number, w->key, w->keys_only, false);
		talloc_free(w);
	}
}

static struct item *set_item(const char *key, const char *value)
{
	struct item *i = find_item(key);

	if (!i) {
		i = talloc_zero(s.server, struct item);
		i->key = talloc_strdup(i, key);
		LIST_INSERT_HEAD(&s.items, i, entry);
	}
	talloc_free(i->previous);
	i->previous = i->value;
	i->previous_index = i->index;
	i->value = talloc_strdup(i, value);
	i->index = ++s.index;
	answer_queries(key);
	return i;
}

static void on_wait_timeout(struct tevent_context *ev, struct tevent_timer *te,
			    struct timeval now, void *private_data)
{
	struct blocking_query *w = private_data;

	(void)ev;
	(void)te;
	(void)now;
	LIST_REMOVE(w, entry);
	reply_item(w->number, w->key, w->keys_only, false);
	talloc_free(w);
}

/* A blocking query waits until the index differs from the known one. */
static void handle_read(const struct http_server_request *r, const char *key)
{
	const char *index = http_server_query(r, "index");
	const char *wait_s = http_server_query(r, "wait");
	struct item *i = find_item(key);
	unsigned long long known = index ? strtoull(index, NULL, 10) : 0;
	struct blocking_query *w;

	s.reads++;
	if (!known || known != (i ? i->index : 1)) {
		reply_item(r->number, key, http_server_query(r, "keys"),
			   http_server_query(r, "consistent"));
		return;
	}
	w = talloc_zero(s.server, struct blocking_query);
	w->number = r->number;
	w->key = talloc_strdup(w, key);
	w->keys_only = http_server_query(r, "keys");
	LIST_INSERT_HEAD(&s.queries, w, entry);
	tevent_add_timer(s.ev, w, in_ms((wait_s ? atoi(wait_s) : 300) * 1000),
			 on_wait_timeout, w);
}

static bool drop_answer(const struct http_server_request *r)
{
	if (!s.lose_writes)
		return false;
	s.lose_writes--;
	reply(r->number, 500, "answer lost", s.index);
	return true;
}

static void handle_put(const struct http_server_request *r, const char *key)
{
	const char *cas = http_server_query(r, "cas");
	struct item *i = find_item(key);
	bool applies = !cas || strtoull(cas, NULL, 10) == (i ? i->index : 0);

	s.writes++;
	if (applies)
		set_item(key, r->body);
	if (!drop_answer(r))
		reply(r->number, 200, applies ? "true" : "false", s.index);
}

static const char *kv_text(json_object *list, size_t n, const char *key)
{
	json_object *kv = NULL, *v = NULL;

	json_object_object_get_ex(json_object_array_get_idx(list, n), "KV",
				  &kv);
	json_object_object_get_ex(kv, key, &v);
	return v ? json_object_get_string(v) : "";
}

/*
 * Applies check-not-exists and lock as one transaction. The lock, the second
 * operation, holds key, session and value.
 */
static void handle_transaction(const struct http_server_request *r)
{
	json_object *list = json_tokener_parse(r->body);
	const char *key = kv_text(list, 1, "Key");
	const char *session = kv_text(list, 1, "Session");
	size_t len;

	s.writes++;
	if (strtoull(session, NULL, 10) <= s.sessions >> 32) {
		reply(r->number, 409,
		      "{\"Errors\":[{\"What\":\"invalid session\"}]}", s.index);
	} else if (find_item(key)) {
		if (!drop_answer(r))
			reply(r->number, 409,
			      "{\"Errors\":[{\"What\":\"key exists\"}]}",
			      s.index);
	} else {
		char *value =
			base64_decode(NULL, kv_text(list, 1, "Value"), &len);
		struct item *i = set_item(key, value);

		i->session = talloc_strdup(i, session);
		talloc_free(value);
		if (!drop_answer(r))
			reply(r->number, 200, "{\"Results\":[]}", s.index);
	}
	json_object_put(list);
}

/*
 * The low half of s.sessions is the number of the last session; sessions up to
 * the number in the high half have ended.
 */
static void expire_sessions(void)
{
	struct item *i, *next;

	s.sessions = (s.sessions & 0xffffffff) * 0x100000001ull;
	for (i = LIST_FIRST(&s.items); i; i = next) {
		next = LIST_NEXT(i, entry);
		if (!i->session)
			continue;
		LIST_REMOVE(i, entry);
		talloc_free(i);
	}
}

static void create_session(const struct http_server_request *r)
{
	const char *ttl = strstr(r->body, "\"TTL\":\"");
	char body[64];

	s.writes++;
	s.sessions++;
	s.session_ttl_s = ttl ? strtoull(ttl + 7, NULL, 10) : 0;
	snprintf(body, sizeof(body), "{\"ID\":\"%llu\"}",
		 s.sessions & 0xffffffff);
	reply(r->number, 200, body, s.index);
}

static int number_of(json_object *obj, const char *key)
{
	json_object *v;

	return json_object_object_get_ex(obj, key, &v) ? json_object_get_int(v)
						       : 0;
}

static const char *text_of(json_object *obj, const char *key)
{
	json_object *v;

	return json_object_object_get_ex(obj, key, &v)
		       ? json_object_get_string(v)
		       : "";
}

static void set_faults(const char *text)
{
	json_object *faults = json_tokener_parse(text);

	s.out = number_of(faults, "out");
	s.stale = number_of(faults, "stale");
	s.slow_ms = number_of(faults, "slow_ms");
	s.lose_writes = number_of(faults, "lose_writes");
	json_object_put(faults);
}

static void set_list(const struct http_server_request *r)
{
	json_object *list = json_tokener_parse(r->body);
	char *text = talloc_strdup(NULL, "[");
	const char *service = http_server_query(r, "service");
	char key[256];

	for (size_t i = 0; i < json_object_array_length(list); i++) {
		json_object *e = json_object_array_get_idx(list, i);

		text = talloc_asprintf_append_buffer(
			text,
			"%s{\"Service\":{\"ID\":\"%s\",\"Address\":\"%s\","
			"\"Port\":%d,\"Meta\":{\"leaving\":\"%s\"}}}",
			i ? "," : "", text_of(e, "id"), text_of(e, "address"),
			number_of(e, "port"),
			number_of(e, "leaving") ? "true" : "false");
	}
	text = talloc_strdup_append_buffer(text, "]");
	snprintf(key, sizeof(key), "/v1/health/service/%s",
		 service ? service : "");
	set_item(key, text);
	talloc_free(text);
	json_object_put(list);
}

static void set_raw_list(const struct http_server_request *r)
{
	const char *service = http_server_query(r, "service");
	char key[256];

	snprintf(key, sizeof(key), "/v1/health/service/%s",
		 service ? service : "");
	set_item(key, r->body);
}

static void handle_control(const struct http_server_request *r,
			   const char *what)
{
	char body[128];

	if (!strcmp(what, "faults")) {
		set_faults(r->body);
	} else if (!strcmp(what, "restore")) {
		struct item *i = set_item("bergamot/config", r->body);

		s.index = i->index = 2;
		TALLOC_FREE(i->previous);
	} else if (!strcmp(what, "list")) {
		set_list(r);
	} else if (!strcmp(what, "raw")) {
		set_raw_list(r);
	} else if (!strcmp(what, "expire")) {
		expire_sessions();
	}
	snprintf(body, sizeof(body),
		 "{\"reads\":%llu,\"writes\":%llu,\"sessions\":%llu,"
		 "\"session_ttl_s\":%llu}",
		 s.reads, s.writes, s.sessions & 0xffffffff, s.session_ttl_s);
	reply_undelayed(r->number, body);
}

static void on_request(void *ctx, const struct http_server_request *r)
{
	static const char kv[] = "/v1/kv/";
	static const char standin[] = "/standin/";
	bool is_read = !strcmp(r->method, "GET");

	(void)ctx;
	if (!strncmp(r->path, standin, sizeof(standin) - 1))
		handle_control(r, r->path + sizeof(standin) - 1);
	else if (s.out)
		reply(r->number, 500, "no leader", s.index);
	else if (is_read && !strncmp(r->path, kv, sizeof(kv) - 1))
		handle_read(r, r->path + sizeof(kv) - 1);
	else if (is_read)
		handle_read(r, r->path);
	else if (!strncmp(r->path, kv, sizeof(kv) - 1))
		handle_put(r, r->path + sizeof(kv) - 1);
	else if (!strcmp(r->path, "/v1/txn"))
		handle_transaction(r);
	else
		create_session(r);
}

static void on_aborted(void *ctx, uint64_t number)
{
	struct blocking_query *w;

	(void)ctx;
	LIST_FOREACH(w, &s.queries, entry)
		if (w->number == number) {
			LIST_REMOVE(w, entry);
			talloc_free(w);
			return;
		}
}

int main(int argc, char **argv)
{
	struct arg_str *listen =
		arg_str1(NULL, "listen", "HOST:PORT", "address");
	struct arg_end *end = arg_end(10);
	void *table[] = { listen, end };
	struct http_server_options options = {
		.body_bytes = BODY_BYTES,
		.header_bytes = HEADER_BYTES,
		.connections = CONNECTIONS,
		.idle_ms = IDLE_MS,
		.handler = on_request,
		.aborted = on_aborted,
	};

	signal(SIGPIPE, SIG_IGN);
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	s.ev = tevent_context_init(NULL);
	s.index = 1;
	options.ev = s.ev;
	options.listen = listen->sval[0];
	s.server = http_server_create(NULL, &options);
	if (!s.server)
		return 1;
	printf("ready\n");
	fflush(stdout);
	return tevent_loop_wait(s.ev);
}
