#include "adapters/http_client.h"

#include <curl/curl.h>
#include <errno.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"

#define MIN_BODY_ROOM_BYTES 512
#define MAX_SPARE_HANDLES 64
#define SWEEP_MS 50
/*
 * If a sweep is later than this, the loop was delayed and sockets may hold
 * answers that were not read yet.
 */
#define MAX_SWEEP_DELAY_MS 10
/* libcurl allocates this buffer for each request; its default is 16 kB. */
#define READ_BUFFER_BYTES 1024L
/* libcurl sends "Expect: 100-continue" only with larger bodies. */
#define EXPECT_ABOVE_BYTES 1024
#define MAX_ORIGIN_BYTES 256
#define REMAINING_HEADER_BYTES 96

/*
 * A request and its easy handle. Finished transfers are kept and reused, since
 * a new handle would have to allocate its buffers again.
 */
struct transfer {
	SLIST_ENTRY(transfer) spare;
	LIST_ENTRY(transfer) active;
	struct http_client *client;
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	size_t answer_limit;
	uint64_t send_before_ms; /* 0: no limit */
	uint64_t expires_ms;
	uint64_t remaining_until_ms;
	struct curl_slist *remaining; /* the header with the remaining time */
	bool may_be_sent; /* a connection was assigned: may have been sent */
	bool no_resend; /* libcurl must not send it a second time */
	bool too_large;
	struct http_client_answer answer;
	http_client_done *done;
	void *ctx;
};

struct http_client {
	struct http_client_options options;
	CURLM *multi;
	struct tevent_timer *timer;
	uint64_t timer_us; /* expiry of timer; may be before due_us */
	uint64_t due_us; /* when libcurl's next timeout expires; 0: none */
	struct tevent_immediate *immediate; /* for a timeout of 0 ms */
	struct watch **watches; /* indexed by descriptor */
	struct tevent_timer *sweep;
	uint64_t sweep_due_ms;
	uint64_t last_sweep_ms; /* time of the last sweep */
	SLIST_HEAD(, transfer) spares;
	LIST_HEAD(, transfer) actives;
	size_t spare_count;
};

/* A socket registered with the loop. */
struct watch {
	struct http_client *client;
	struct tevent_fd *fde;
	curl_socket_t fd;
	bool own; /* opened by open_socket: freed by close_socket */
	bool idle; /* the connection has no request */
};

static pthread_once_t global_once = PTHREAD_ONCE_INIT;

static void init_global(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
}

/* Completion of transfers */

static enum http_client_status transfer_status(const struct transfer *t,
					       CURLcode code)
{
	if (code == CURLE_OK)
		return HTTP_CLIENT_ANSWERED;
	if (t->too_large)
		return HTTP_CLIENT_TOO_LARGE;
	if (!t->may_be_sent)
		return HTTP_CLIENT_NOT_SENT;
	return code == CURLE_OPERATION_TIMEDOUT ? HTTP_CLIENT_TIMEOUT
						: HTTP_CLIENT_BROKEN;
}

/* ABORTED_BY_CALLBACK: a kept-alive connection was closed; see before_send. */
static bool is_closed(const struct transfer *t, CURLcode code)
{
	long error = 0;

	curl_easy_getinfo(t->easy, CURLINFO_OS_ERRNO, &error);
	switch (code) {
	case CURLE_COULDNT_CONNECT:
		return t->may_be_sent || error == ECONNREFUSED ||
		       error == ECONNRESET;
	case CURLE_ABORTED_BY_CALLBACK:
	case CURLE_GOT_NOTHING:
	case CURLE_PARTIAL_FILE:
		return t->may_be_sent;
	case CURLE_RECV_ERROR:
	case CURLE_SEND_ERROR:
		return t->may_be_sent &&
		       (!error || error == ECONNRESET || error == EPIPE);
	default:
		return false;
	}
}

static void release_transfer(struct transfer *t)
{
	struct http_client *client = t->client;

	curl_slist_free_all(t->headers);
	t->headers = NULL;
	TALLOC_FREE(t->body);
	TALLOC_FREE(t->answer.body);
	LIST_REMOVE(t, active);
	if (client->spare_count >= MAX_SPARE_HANDLES) {
		curl_easy_cleanup(t->easy);
		talloc_free(t);
		return;
	}
	SLIST_INSERT_HEAD(&client->spares, t, spare);
	client->spare_count++;
}

static void finish_transfer(struct transfer *t, CURLcode code)
{
	struct http_client *client = t->client;

	t->answer.status = transfer_status(t, code);
	t->answer.is_closed = is_closed(t, code);
	t->answer.message = curl_easy_strerror(code);
	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE,
			  &t->answer.http_status);
	if (!t->answer.body)
		t->answer.body = talloc_strdup(t, "");
	curl_multi_remove_handle(client->multi, t->easy);
	t->done(t->ctx, &t->answer);
	release_transfer(t);
}

static void finish_completed(struct http_client *client)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(client->multi, &left))) {
		struct transfer *t;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE,
				  (char **)&t);
		finish_transfer(t, msg->data.result);
	}
}

static void arm_sweep(struct http_client *client);

static bool is_expired(const struct transfer *t, uint64_t now_ms)
{
	return t->expires_ms <= now_ms ||
	       (!t->may_be_sent && t->send_before_ms &&
		t->send_before_ms <= now_ms);
}

/*
 * Ends expired transfers, because libcurl does not time out a request that
 * waits for a connection to its host. The loop runs timers before it reads
 * sockets. After a delay of the loop, transfers that expired since the last
 * sweep are left to the next one, so that an answer already in the socket is
 * read first.
 */
static void sweep(struct tevent_context *ev, struct tevent_timer *te,
		  struct timeval now, void *private_data)
{
	struct http_client *client = private_data;
	uint64_t now_ms = clock_now_ms();
	bool late = now_ms > client->sweep_due_ms + MAX_SWEEP_DELAY_MS;
	uint64_t until_ms = late ? client->last_sweep_ms : now_ms;
	struct transfer *t, *next;

	(void)ev;
	(void)te;
	(void)now;
	client->sweep = NULL;
	client->last_sweep_ms = now_ms;
	for (t = LIST_FIRST(&client->actives); t; t = next) {
		next = LIST_NEXT(t, active);
		if (is_expired(t, until_ms))
			finish_transfer(t, CURLE_OPERATION_TIMEDOUT);
	}
	arm_sweep(client);
}

static void arm_sweep(struct http_client *client)
{
	struct timeval at;

	if (client->sweep || LIST_EMPTY(&client->actives))
		return;
	at = tevent_timeval_current_ofs(0, SWEEP_MS * 1000);
	client->sweep_due_ms = clock_now_ms() + SWEEP_MS;
	client->sweep =
		tevent_add_timer(client->options.ev, client, at, sweep, client);
}

/* Socket events */

static void on_socket(struct tevent_context *ev, struct tevent_fd *fde,
		      uint16_t flags, void *private_data)
{
	struct watch *watch = private_data;
	struct http_client *client = watch->client;
	int action = 0;
	int running;

	(void)ev;
	if (watch->idle) {
		tevent_fd_set_flags(fde, 0); /* the server closed it */
		return;
	}
	if (flags & TEVENT_FD_READ)
		action |= CURL_CSELECT_IN;
	if (flags & TEVENT_FD_WRITE)
		action |= CURL_CSELECT_OUT;
	curl_multi_socket_action(client->multi, watch->fd, action, &running);
	finish_completed(client);
}

static struct watch *find_watch(const struct http_client *client,
				curl_socket_t fd)
{
	return (size_t)fd < talloc_array_length(client->watches)
		       ? client->watches[fd]
		       : NULL;
}

static struct watch *add_watch(struct http_client *client, curl_socket_t fd,
			       bool own)
{
	struct watch *watch = talloc_zero(client, struct watch);
	size_t room = talloc_array_length(client->watches);

	if ((size_t)fd >= room) {
		client->watches =
			talloc_realloc(client, client->watches, struct watch *,
				       (unsigned)fd * 2 + 1);
		while (room < talloc_array_length(client->watches))
			client->watches[room++] = NULL;
	}
	client->watches[fd] = watch;
	watch->client = client;
	watch->fd = fd;
	watch->own = own;
	watch->fde = tevent_add_fd(client->options.ev, watch, fd, 0, on_socket,
				   watch);
	return watch;
}

static void remove_watch(struct watch *watch)
{
	watch->client->watches[watch->fd] = NULL;
	talloc_free(watch);
}

static curl_socket_t open_socket(void *userp, curlsocktype purpose,
				 struct curl_sockaddr *address)
{
	int fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
			address->protocol);

	(void)purpose;
	if (fd < 0)
		return CURL_SOCKET_BAD;
	add_watch(userp, fd, true);
	return fd;
}

static int close_socket(void *userp, curl_socket_t fd)
{
	struct watch *watch = find_watch(userp, fd);

	if (watch)
		remove_watch(watch);
	return close(fd);
}

/*
 * An idle connection stays registered for reading: removing and adding it
 * again would cost two system calls per request.
 */
static int watch_socket(CURL *easy, curl_socket_t fd, int what, void *userp,
			void *socketp)
{
	struct http_client *client = userp;
	struct watch *watch = find_watch(client, fd);
	uint16_t flags = 0;

	(void)easy;
	(void)socketp;
	if (what == CURL_POLL_REMOVE) {
		if (watch && !watch->own)
			remove_watch(watch);
		else if (watch)
			watch->idle = true;
		return 0;
	}
	if (!watch)
		watch = add_watch(client, fd, false);
	if (what & CURL_POLL_IN)
		flags |= TEVENT_FD_READ;
	if (what & CURL_POLL_OUT)
		flags |= TEVENT_FD_WRITE;
	watch->idle = false;
	tevent_fd_set_flags(watch->fde, flags);
	return 0;
}

/* libcurl's timeouts */

static void run_timeouts(struct http_client *client)
{
	int running;

	client->due_us = 0;
	curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0,
				 &running);
	finish_completed(client);
}

static void on_immediate(struct tevent_context *ev, struct tevent_immediate *im,
			 void *private_data)
{
	(void)ev;
	(void)im;
	run_timeouts(private_data);
}

static void arm_timer(struct http_client *client);

static void on_timeout(struct tevent_context *ev, struct tevent_timer *te,
		       struct timeval now, void *private_data)
{
	struct http_client *client = private_data;

	(void)ev;
	(void)te;
	(void)now;
	client->timer = NULL;
	if (client->due_us && client->due_us <= clock_now_us())
		run_timeouts(client);
	else
		arm_timer(client);
}

/*
 * A timer that would expire before due_us is kept; on_timeout arms the next
 * one.
 */
static void arm_timer(struct http_client *client)
{
	uint64_t now_us = clock_now_us();
	uint64_t us = client->due_us > now_us ? client->due_us - now_us : 0;
	struct timeval at;

	if (!client->due_us ||
	    (client->timer && client->timer_us <= client->due_us))
		return;
	talloc_free(client->timer);
	at = tevent_timeval_current_ofs((uint32_t)(us / 1000000),
					(uint32_t)(us % 1000000));
	client->timer_us = client->due_us;
	client->timer = tevent_add_timer(client->options.ev, client, at,
					 on_timeout, client);
}

static int set_timer(CURLM *multi, long timeout_ms, void *userp)
{
	struct http_client *client = userp;

	(void)multi;
	client->due_us = timeout_ms < 0
				 ? 0
				 : clock_now_us() + (uint64_t)timeout_ms * 1000;
	if (timeout_ms)
		arm_timer(client);
	else
		tevent_schedule_immediate(client->immediate, client->options.ev,
					  on_immediate, client);
	return 0;
}

static int destroy(struct http_client *client)
{
	struct transfer *t;

	while ((t = LIST_FIRST(&client->actives))) {
		curl_multi_remove_handle(client->multi, t->easy);
		release_transfer(t);
	}
	while ((t = SLIST_FIRST(&client->spares))) {
		SLIST_REMOVE_HEAD(&client->spares, spare);
		curl_easy_cleanup(t->easy);
	}
	curl_multi_cleanup(client->multi);
	return 0;
}

struct http_client *
http_client_create(TALLOC_CTX *mem, const struct http_client_options *options)
{
	struct http_client *client = talloc_zero(mem, struct http_client);

	pthread_once(&global_once, init_global);
	client->options = *options;
	client->immediate = tevent_create_immediate(client);
	client->multi = curl_multi_init();
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_PIPELINING,
			  (long)CURLPIPE_NOTHING);
	curl_multi_setopt(client->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  options->host_connections);
	if (options->idle_connections)
		curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
				  options->idle_connections);
	talloc_set_destructor(client, destroy);
	return client;
}

/* Data callbacks and options of transfers */

static size_t write_answer(char *data, size_t size, size_t count, void *userp)
{
	struct transfer *t = userp;
	struct http_client_answer *a = &t->answer;
	size_t len = size * count;

	if (a->body_len + len > t->answer_limit) {
		t->too_large = true;
		return 0;
	}
	if (a->body_len + len + 1 > talloc_get_size(a->body)) {
		size_t room = (a->body_len + len) * 2 + MIN_BODY_ROOM_BYTES;

		a->body = talloc_realloc(t, a->body, char, (unsigned)room);
	}
	memcpy(a->body + a->body_len, data, len);
	a->body_len += len;
	a->body[a->body_len] = '\0';
	return len;
}

static bool is_kept_header(const char *line)
{
	return !strncasecmp(line, "Bergamot-", 9) ||
	       !strncasecmp(line, "X-", 2);
}

static size_t keep_header(char *data, size_t size, size_t count, void *userp)
{
	struct transfer *t = userp;
	struct http_client_answer *a = &t->answer;
	size_t len = size * count;
	char line[192];
	struct http_client_header *h;
	char *colon;

	if (a->header_count == HTTP_CLIENT_MAX_HEADERS || len >= sizeof(line))
		return len;
	memcpy(line, data, len);
	line[len] = '\0';
	line[strcspn(line, "\r\n")] = '\0';
	colon = strchr(line, ':');
	if (!colon || !is_kept_header(line))
		return len;
	*colon++ = '\0';
	colon += strspn(colon, " ");
	h = &a->headers[a->header_count];
	if (strlen(line) >= sizeof(h->name) ||
	    strlen(colon) >= sizeof(h->value))
		return len;
	strcpy(h->name, line);
	strcpy(h->value, colon);
	a->header_count++;
	return len;
}

static void set_body(struct transfer *t,
		     const struct http_client_request *request)
{
	t->no_resend = true;
	t->body = talloc_memdup(t, request->body, request->body_len + 1);
	curl_easy_setopt(t->easy, CURLOPT_POST, 1L);
	curl_easy_setopt(t->easy, CURLOPT_POSTFIELDS, t->body);
	curl_easy_setopt(t->easy, CURLOPT_POSTFIELDSIZE,
			 (long)request->body_len);
}

static uint64_t remaining_ms(uint64_t until_ms, uint64_t now_ms)
{
	return until_ms > now_ms ? until_ms - now_ms : 0;
}

/*
 * Writes the remaining time over the old value in place, which fits because
 * the value only shrinks.
 */
static void update_remaining_header(struct transfer *t, uint64_t now_ms)
{
	char *value = strchr(t->remaining->data, ':') + 2;

	snprintf(value, strlen(value) + 1, "%" PRIu64,
		 remaining_ms(t->remaining_until_ms, now_ms));
}

/*
 * libcurl calls this with an established connection, before the first byte of
 * the request is sent. It does so again before it resends a request because a
 * kept-alive connection was closed before the answer.
 */
static int before_send(void *userp, char *remote, char *local, int remote_port,
		       int local_port)
{
	struct transfer *t = userp;
	uint64_t now_ms = clock_now_ms();

	(void)remote;
	(void)local;
	(void)remote_port;
	(void)local_port;
#ifndef BREAK_SEND_BEFORE
	if (t->send_before_ms && now_ms >= t->send_before_ms)
		return CURL_PREREQFUNC_ABORT;
#endif
#ifndef BREAK_RESEND
	if (t->may_be_sent && t->no_resend)
		return CURL_PREREQFUNC_ABORT;
#endif
	if (t->remaining)
		update_remaining_header(t, now_ms);
	t->may_be_sent = true;
	return CURL_PREREQFUNC_OK;
}

static void set_headers(struct transfer *t,
			const struct http_client_request *request)
{
	const char *const *h;
	char line[REMAINING_HEADER_BYTES];

	t->headers = curl_slist_append(NULL, "Accept:"); /* omit this header */
	if (request->body_len > EXPECT_ABOVE_BYTES)
		curl_slist_append(t->headers, "Expect:");
	for (h = request->headers; h && *h; h++)
		t->headers = curl_slist_append(t->headers, *h);
	if (request->remaining_header) {
		snprintf(line, sizeof(line), "%s: %" PRIu64,
			 request->remaining_header,
			 remaining_ms(request->remaining_until_ms,
				      clock_now_ms()));
		curl_slist_append(t->headers, line);
		for (t->remaining = t->headers; t->remaining->next;)
			t->remaining = t->remaining->next;
		t->remaining_until_ms = request->remaining_until_ms;
	}
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, t->headers);
}

/* Sets the options common to all requests; they persist on a reused handle. */
static CURL *create_easy(struct transfer *t)
{
	CURL *easy = curl_easy_init();

	curl_easy_setopt(easy, CURLOPT_PRIVATE, t);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, before_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, t);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*"); /* ignore environment */
	curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, READ_BUFFER_BYTES);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, t->client);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, t->client);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, write_answer);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, keep_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, t);
	return easy;
}

static struct transfer *acquire_transfer(struct http_client *client)
{
	struct transfer *t = SLIST_FIRST(&client->spares);
	CURL *easy;

	if (t) {
		SLIST_REMOVE_HEAD(&client->spares, spare);
		client->spare_count--;
		easy = t->easy;
		memset(t, 0, sizeof(*t));
	} else {
		t = talloc_zero(client, struct transfer);
		t->client = client;
		easy = create_easy(t);
	}
	t->client = client;
	t->easy = easy;
	LIST_INSERT_HEAD(&client->actives, t, active);
	return t;
}

/*
 * Sets the path separately as the request target: libcurl parses and formats
 * the URL several times per request, which is cheaper without the path.
 */
static void set_url(struct transfer *t, const char *url)
{
	const char *host = strstr(url, "://");
	const char *path = host ? strchr(host + 3, '/') : NULL;
	char origin[MAX_ORIGIN_BYTES];

	if (!path || (size_t)(path - url) >= sizeof(origin)) {
		curl_easy_setopt(t->easy, CURLOPT_URL, url);
		curl_easy_setopt(t->easy, CURLOPT_REQUEST_TARGET, NULL);
		return;
	}
	memcpy(origin, url, (size_t)(path - url));
	origin[path - url] = '\0';
	curl_easy_setopt(t->easy, CURLOPT_URL, origin);
	curl_easy_setopt(t->easy, CURLOPT_REQUEST_TARGET, path);
}

void http_client_send(struct http_client *client,
		      const struct http_client_request *request,
		      http_client_done *done, void *ctx)
{
	struct transfer *t = acquire_transfer(client);

	t->done = done;
	t->ctx = ctx;
	t->answer_limit = request->answer_bytes;
	t->send_before_ms = request->send_before_ms;
	t->expires_ms = clock_now_ms() + request->timeout_ms;
	if (request->body)
		set_body(t, request);
	else
		curl_easy_setopt(t->easy, CURLOPT_HTTPGET, 1L);
	set_headers(t, request);
	curl_easy_setopt(t->easy, CURLOPT_CUSTOMREQUEST, request->method);
	set_url(t, request->url);
	curl_multi_add_handle(client->multi, t->easy);
	arm_sweep(client);
}

const char *http_client_header(const struct http_client_answer *answer,
			       const char *name)
{
	for (size_t i = 0; i < answer->header_count; i++)
		if (!strcasecmp(answer->headers[i].name, name))
			return answer->headers[i].value;
	return NULL;
}
