#include "adapters/platform_state.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"

#define WATCH_WAIT_S 3
#define ODD_PERIOD_MS 10000 /* between two log lines of a list's entries */
#define WATCH_TIMEOUT_MS (WATCH_WAIT_S * 1000 + PLATFORM_CALL_TIMEOUT_MS)

/* The document */

static void post_config_read(struct platform *p,
			     enum port_platform_status status,
			     const char *document)
{
	struct message_config_read *msg =
		message_create(struct message_config_read, MESSAGE_CONFIG_READ);

	msg->status = status;
	if (document) {
		msg->document = talloc_strdup(msg, document);
		msg->len = strlen(document);
	}
	mailbox_post_always(p->options.control, &msg->head);
}

void platform_pass_on_document(struct platform *p,
			       const struct platform_text_value *v)
{
	p->document_index = v->index;
	if (!v->text || (p->document && !strcmp(p->document, v->text))) {
		post_config_read(p, PORT_PLATFORM_OK, NULL);
		return;
	}
	talloc_free(p->document);
	p->document = talloc_strdup(p, v->text);
	post_config_read(p, PORT_PLATFORM_OK, p->document);
}

static void on_document(void *ctx, struct http_client_answer *a)
{
	struct platform *p = ctx;
	struct platform_text_value value;

	p->reading_document = false;
	if (!platform_check_answer(a) ||
	    !platform_text_read_value(NULL, a, &value)) {
		post_config_read(p, PORT_PLATFORM_UNAVAILABLE, NULL);
		return;
	}
	platform_pass_on_document(p, &value);
	talloc_free(value.text);
}

void platform_read_document(struct platform *p)
{
	char *path;

	if (p->reading_document)
		return;
	path = platform_config_path(p, p);
	p->reading_document = platform_call(
		p, "GET", path, NULL, PLATFORM_CALL_TIMEOUT_MS, on_document, p);
	if (!p->reading_document)
		post_config_read(p, PORT_PLATFORM_UNAVAILABLE, NULL);
	talloc_free(path);
}

/* Watches */

static void send_query(struct watch *w);

static void on_watch_timer(struct tevent_context *ev, struct tevent_timer *te,
			   struct timeval now, void *private_data)
{
	struct watch *w = private_data;

	(void)ev;
	(void)te;
	(void)now;
	w->timer = NULL;
	send_query(w);
}

static void schedule_query(struct watch *w)
{
	w->backoff_ms = platform_next_backoff_ms(w->platform, w->backoff_ms);
	talloc_free(w->timer);
	w->timer = platform_start_timer(w->platform, w->platform, w->backoff_ms,
					on_watch_timer, w);
}

static void post_listed(void *ctx, const struct platform_text_listed *entry)
{
	struct watch *w = ctx;
	struct message_listed *msg =
		message_create(struct message_listed, MESSAGE_LISTED);

	msg->worker = w->kind == WATCH_WORKERS;
	msg->name =
		talloc_strdup(msg, msg->worker ? entry->id : entry->address);
	msg->leaving = entry->leaving;
	mailbox_post_always(w->platform->options.control, &msg->head);
}

static const char *list_name(const struct watch *w)
{
	return w->kind == WATCH_WORKERS ? "workers" : "instances";
}

/* Logs entries that are left out, when they change. */
static void note_odd_entries(struct watch *w,
			     const struct platform_text_odd *odd)
{
	uint64_t now_ms = clock_now_ms();

	if (!odd->count) {
		TALLOC_FREE(w->odd);
		return;
	}
	if (w->odd && !strcmp(w->odd, odd->text))
		return;
	if (w->odd_logged_ms && now_ms - w->odd_logged_ms < ODD_PERIOD_MS)
		return;
	log_warning(LOG_PLATFORM,
		    "%zu entries of the list of %s are left out, the last one "
		    "%s; the others hold",
		    odd->count, list_name(w), odd->text);
	talloc_free(w->odd);
	w->odd = talloc_strdup(w->platform, odd->text);
	w->odd_logged_ms = now_ms;
}

/* An unreadable list is asked for again; what was read before holds. */
static void note_unreadable(struct watch *w, const struct http_client_answer *a)
{
	if (!w->unreadable)
		log_warning(LOG_PLATFORM,
			    "the list of %s cannot be read (status %ld, %zu "
			    "bytes); retrying",
			    list_name(w), a->http_status, a->body_len);
	w->unreadable = true;
	counter_add(COUNTER_PLATFORM_FAILURES, 1);
}

/* Returns false if the list cannot be read. */
static bool read_list(struct watch *w, struct http_client_answer *a)
{
	struct platform_text_odd odd;
	bool valid = platform_text_for_each_listed(
		a,
		w->kind == WATCH_WORKERS ? PLATFORM_TEXT_WORKERS
					 : PLATFORM_TEXT_INSTANCES,
		post_listed, w, &odd);

	if (!valid) {
		note_unreadable(w, a);
		return false;
	}
	w->unreadable = false;
	note_odd_entries(w, &odd);
	return true;
}

/* Returns false if the answer cannot be read. */
static bool handle_watch_answer(struct watch *w, struct http_client_answer *a)
{
	struct platform *p = w->platform;
	uint64_t index = platform_text_index(a);
	bool changed = index != w->index || a->http_status != 200;

	/* After a restore of the store the index is lower: start again at 0. */
	w->index = index < w->index ? 0 : index;
	if (w->kind != WATCH_CONFIG) {
		if (!changed || read_list(w, a))
			return true;
		w->index = 0;
		return false;
	}
	/* A stale read left an older index, so the document is read again. */
	if (index != p->document_index || !p->document)
		platform_read_document(p);
	else
		post_config_read(p, PORT_PLATFORM_OK, NULL);
	return true;
}

static void on_watch(void *ctx, struct http_client_answer *a)
{
	struct watch *w = ctx;

	w->busy = false;
	if (!platform_check_answer(a)) {
		w->index = 0;
		if (w->kind == WATCH_CONFIG)
			post_config_read(w->platform, PORT_PLATFORM_UNAVAILABLE,
					 NULL);
		if (w->platform->watches_enabled)
			schedule_query(w);
		return;
	}
	if (!handle_watch_answer(w, a)) {
		if (w->platform->watches_enabled)
			schedule_query(w);
		return;
	}
	w->backoff_ms = 0;
	if (w->platform->watches_enabled)
		send_query(w);
}

/*
 * The document's watch requests only its key, so that a query that ends by its
 * wait time transfers few bytes.
 */
static char *watch_path(struct watch *w)
{
	const char *prefix = w->platform->options.settings->platform_prefix;

	switch (w->kind) {
	case WATCH_CONFIG:
		return talloc_asprintf(w->platform,
				       "/v1/kv/%s/config?keys=true&", prefix);
	case WATCH_INSTANCES:
		return talloc_asprintf(
			w->platform, "/v1/health/service/%s-instance?", prefix);
	default:
		return talloc_asprintf(w->platform,
				       "/v1/health/service/%s-worker?", prefix);
	}
}

static void send_query(struct watch *w)
{
	char *path;

	if (w->busy)
		return;
	path = talloc_asprintf_append_buffer(watch_path(w),
					     "index=%" PRIu64 "&wait=%ds",
					     w->index, WATCH_WAIT_S);
	w->busy = platform_call(w->platform, "GET", path, NULL,
				WATCH_TIMEOUT_MS, on_watch, w);
	talloc_free(path);
	if (!w->busy)
		schedule_query(w);
}

void platform_enable_watches(struct platform *p, bool enabled)
{
	if (p->watches_enabled == enabled)
		return;
	p->watches_enabled = enabled;
	for (int i = 0; i < WATCH_COUNT; i++) {
		TALLOC_FREE(p->watches[i].timer);
		if (enabled)
			send_query(&p->watches[i]);
	}
}

void platform_start_watches(struct platform *p)
{
	for (int i = 0; i < WATCH_COUNT; i++) {
		p->watches[i].platform = p;
		p->watches[i].kind = (enum watch_kind)i;
		send_query(&p->watches[i]);
	}
}
