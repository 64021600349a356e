#include "adapters/http_server.h"

#include <errno.h>
#include <linux/filter.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "base/hash_table.h"

#include "adapters/address.h"
#include "base/counter.h"
#include "base/log.h"

#define LISTEN_BACKLOG 1024
#define MIN_BODY_ROOM_BYTES 1024
/*
 * A body up to limit times this is read and discarded, to answer 413; for a
 * larger one the connection is closed.
 */
#define DISCARD_FACTOR 4
/* Headers up to limit times this are read, so that 431 can be answered. */
#define HEADER_MEMORY_FACTOR 2
/*
 * At its connection limit libmicrohttpd stops accepting. It resumes in the
 * first MHD_run after a connection ends, but does not request that run.
 */
#define MAX_RUN_INTERVAL_MS 100
/* TCP handshakes that have begun are complete after this time. */
#define HANDSHAKE_US 100000
/* In a TCP header. */
#define TCP_FLAGS_OFFSET 13
#define TCP_FLAG_SYN 0x02

struct request {
	UT_hash_handle hh;
	struct http_server *server;
	uint64_t number;
	struct MHD_Connection *connection;
	char *method;
	char *path;
	char *body;
	size_t body_len;
	bool too_large;
	bool handling; /* the handler is running */
	bool handler_called;
	bool suspended;
	struct tevent_fd *watch; /* detects a close while suspended */
	struct MHD_Response *response;
	int status;
};

struct http_server {
	struct http_server_options options;
	size_t header_bytes; /* limit in force */
	unsigned idle_s; /* for new requests; 0: that of the options */
	struct MHD_Daemon *daemon;
	struct request *requests; /* passed to the handler, not answered */
	uint64_t next_number;
	struct tevent_timer *timer;
	struct tevent_immediate *run_soon;
	bool run_scheduled;
	bool closing; /* close connections after their next answer */
	int quiesced_fd; /* listens no longer, but is still open; or -1 */
};

static void run(struct http_server *server);

static void on_timer(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *private_data)
{
	struct http_server *server = private_data;

	(void)ev;
	(void)te;
	(void)now;
	server->timer = NULL;
	run(server);
}

static void arm_timer(struct http_server *server)
{
	MHD_UNSIGNED_LONG_LONG ms;
	struct timeval at;

	TALLOC_FREE(server->timer);
	if (MHD_get_timeout(server->daemon, &ms) != MHD_YES ||
	    ms > MAX_RUN_INTERVAL_MS)
		ms = MAX_RUN_INTERVAL_MS;
	at = tevent_timeval_current_ofs((uint32_t)(ms / 1000),
					(uint32_t)(ms % 1000 * 1000));
	server->timer = tevent_add_timer(server->options.ev, server, at,
					 on_timer, server);
}

static void run(struct http_server *server)
{
	MHD_run(server->daemon);
	arm_timer(server);
}

static void on_ready(struct tevent_context *ev, struct tevent_fd *fde,
		     uint16_t flags, void *private_data)
{
	(void)ev;
	(void)fde;
	(void)flags;
	run(private_data);
}

static void on_immediate(struct tevent_context *ev, struct tevent_immediate *im,
			 void *private_data)
{
	struct http_server *server = private_data;

	(void)ev;
	(void)im;
	server->run_scheduled = false;
	run(server);
}

/* One run serves all connections resumed in this iteration of the loop. */
static void run_soon(struct http_server *server)
{
	if (server->run_scheduled)
		return;
	server->run_scheduled = true;
	tevent_schedule_immediate(server->run_soon, server->options.ev,
				  on_immediate, server);
}

/* Requests */

/* Rounds up, as libmicrohttpd's timeouts are in whole seconds. */
static unsigned round_up_to_seconds(unsigned ms)
{
	return (ms + 999) / 1000;
}

static struct request *create_request(struct http_server *server,
				      struct MHD_Connection *connection,
				      const char *method, const char *path)
{
	struct request *r = talloc_zero(server, struct request);

	r->server = server;
	r->connection = connection;
	r->method = talloc_strdup(r, method);
	r->path = talloc_strdup(r, path);
	r->body = talloc_strdup(r, "");
	if (server->idle_s)
		MHD_set_connection_option(connection,
					  MHD_CONNECTION_OPTION_TIMEOUT,
					  server->idle_s);
	return r;
}

static void add_body(struct request *r, const char *data, size_t len)
{
	size_t limit = r->server->options.body_bytes;

	if (r->too_large || r->body_len + len > limit) {
		r->too_large = true;
		r->body_len += len;
		return;
	}
	if (r->body_len + len + 1 > talloc_get_size(r->body)) {
		size_t room = (r->body_len + len) * 2 + MIN_BODY_ROOM_BYTES;

		r->body = talloc_realloc(r, r->body, char, (unsigned)room);
	}
	memcpy(r->body + r->body_len, data, len);
	r->body_len += len;
	r->body[r->body_len] = '\0';
}

static int connection_fd(const struct request *r)
{
	return MHD_get_connection_info(r->connection,
				       MHD_CONNECTION_INFO_CONNECTION_FD)
		->connect_fd;
}

static enum MHD_Result queue_response(struct request *r)
{
	enum MHD_Result result = MHD_queue_response(
		r->connection, (unsigned)r->status, r->response);

	MHD_destroy_response(r->response);
	r->response = NULL;
	return result;
}

static void set_response(struct request *r, int status, const char *body)
{
	r->status = status;
	r->response = MHD_create_response_from_buffer(
		strlen(body), (void *)body, MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(r->response, "Content-Type",
				"application/json");
}

static enum MHD_Result refuse(struct request *r, int status, const char *reason)
{
	char *body = talloc_asprintf(
		r, "{\"outcome\":\"rejected\",\"reason\":\"%s\"}\n", reason);

	counter_add(COUNTER_HTTP_BAD_REQUESTS, 1);
	set_response(r, status, body);
	return queue_response(r);
}

/*
 * Sets too_large from the Content-Length. Returns true if the request must be
 * refused without reading its body: if the body exceeds the limit by
 * DISCARD_FACTOR, or if the caller sent Expect and waits for 100 Continue. Any
 * other too large body is read and discarded first, as a reset while the caller
 * still sends could destroy the answer.
 */
static bool must_refuse_unread(struct request *r)
{
	const char *length = MHD_lookup_connection_value(
		r->connection, MHD_HEADER_KIND, "Content-Length");
	unsigned long long bytes = length ? strtoull(length, NULL, 10) : 0;
	size_t limit = r->server->options.body_bytes;

	r->too_large = bytes > limit;
	return bytes > limit * DISCARD_FACTOR ||
	       (r->too_large &&
		MHD_lookup_connection_value(r->connection, MHD_HEADER_KIND,
					    "Expect"));
}

static bool is_header_too_large(struct MHD_Connection *connection, size_t limit)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);

	return info && info->header_size > limit;
}

static void resume_connection(struct request *r)
{
	TALLOC_FREE(r->watch);
	r->suspended = false;
	MHD_resume_connection(r->connection);
	run_soon(r->server);
}

/*
 * The caller sent a further request, or closed the connection. It may have
 * closed its own direction only, and then reads the answer. As the handler has
 * had the request, this must not say that nothing was done (503).
 */
static void on_caller_readable(struct tevent_context *ev, struct tevent_fd *fde,
			       uint16_t flags, void *private_data)
{
	struct request *r = private_data;
	struct http_server *server = r->server;
	char byte;
	ssize_t n = recv(connection_fd(r), &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	(void)ev;
	(void)fde;
	(void)flags;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	TALLOC_FREE(r->watch);
	if (n > 0)
		return;
	HASH_DEL(server->requests, r);
	if (server->options.aborted)
		server->options.aborted(server->options.ctx, r->number);
	set_response(r, MHD_HTTP_GATEWAY_TIMEOUT,
		     "{\"reason\":\"caller_closed\"}\n");
	resume_connection(r);
}

static void watch_caller(struct request *r)
{
	r->watch = tevent_add_fd(r->server->options.ev, r, connection_fd(r),
				 TEVENT_FD_READ, on_caller_readable, r);
}

static enum MHD_Result call_handler(struct request *r)
{
	struct http_server *server = r->server;
	struct http_server_request request = {
		.number = ++server->next_number,
		.method = r->method,
		.path = r->path,
		.body = r->body,
		.body_len = r->body_len,
		.connection = r->connection,
	};

	r->number = request.number;
	HASH_ADD(hh, server->requests, number, sizeof(r->number), r);
	r->handler_called = true;
	r->handling = true;
	server->options.handler(server->options.ctx, &request);
	r->handling = false;
	if (r->response)
		return queue_response(r);
	r->suspended = true;
	MHD_suspend_connection(r->connection);
	if (server->options.detect_disconnects)
		watch_caller(r);
	return MHD_YES;
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *upload_data,
				  size_t *upload_data_size, void **con_cls)
{
	struct http_server *server = cls;
	struct request *r = *con_cls;

	(void)version;
	if (!r) {
		*con_cls = r = create_request(server, connection, method, url);
		if (is_header_too_large(connection, server->header_bytes))
			return refuse(r, 431, "header_too_large");
		if (must_refuse_unread(r))
			return refuse(r, 413, "body_too_large");
		return MHD_YES;
	}
	if (*upload_data_size) {
		add_body(r, upload_data, *upload_data_size);
		*upload_data_size = 0;
		return r->body_len > server->options.body_bytes * DISCARD_FACTOR
			       ? MHD_NO
			       : MHD_YES;
	}
	if (r->too_large)
		return refuse(r, 413, "body_too_large");
	if (r->response)
		return queue_response(r);
	if (r->handler_called)
		return MHD_YES;
	return call_handler(r);
}

static void on_completed(void *cls, struct MHD_Connection *connection,
			 void **con_cls, enum MHD_RequestTerminationCode toe)
{
	struct http_server *server = cls;
	struct request *r = *con_cls;
	struct request *found;

	(void)connection;
	(void)toe;
	if (!r)
		return;
	HASH_FIND(hh, server->requests, &r->number, sizeof(r->number), found);
	if (found == r) {
		HASH_DEL(server->requests, r);
		if (server->options.aborted)
			server->options.aborted(server->options.ctx, r->number);
	}
	if (r->response)
		MHD_destroy_response(r->response);
	*con_cls = NULL;
	talloc_free(r);
}

static void fill_response(struct request *r,
			  const struct http_server_response *from)
{
	const char *type = from->content_type;
	const char *const *h;

	r->status = from->status;
	r->response = MHD_create_response_from_buffer(
		from->body_len, (void *)(from->body ? from->body : ""),
		MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(r->response, "Content-Type",
				type ? type : "application/json");
	if (r->server->closing)
		MHD_add_response_header(r->response, "Connection", "close");
	for (h = from->headers; h && h[0]; h += 2)
		if (h[1])
			MHD_add_response_header(r->response, h[0], h[1]);
}

void http_server_reply(struct http_server *server, uint64_t number,
		       const struct http_server_response *response)
{
	struct request *r;

	HASH_FIND(hh, server->requests, &number, sizeof(number), r);
	if (!r)
		return;
	HASH_DEL(server->requests, r);
	fill_response(r, response);
	if (r->handling || !r->suspended)
		return; /* call_handler queues it after the handler's call */
	resume_connection(r);
}

const char *http_server_header(const struct http_server_request *request,
			       const char *name)
{
	return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
					   name);
}

const char *http_server_query(const struct http_server_request *request,
			      const char *name)
{
	return MHD_lookup_connection_value(request->connection,
					   MHD_GET_ARGUMENT_KIND, name);
}

void http_server_set_limits(struct http_server *server,
			    const struct http_server_limits *limits)
{
	size_t max_bytes = server->options.header_bytes;
	unsigned idle_ms = limits->idle_ms;

	if (limits->header_bytes)
		server->header_bytes = limits->header_bytes < max_bytes
					       ? limits->header_bytes
					       : max_bytes;
	if (idle_ms > server->options.idle_ms)
		idle_ms = server->options.idle_ms;
	if (idle_ms)
		server->idle_s = round_up_to_seconds(idle_ms);
}

/* The daemon */

/* libmicrohttpd requires suspended connections to be resumed first. */
static int destroy(struct http_server *server)
{
	struct request *r, *next;

	HASH_ITER(hh, server->requests, r, next) {
		HASH_DEL(server->requests, r);
		TALLOC_FREE(r->watch);
		if (r->suspended)
			MHD_resume_connection(r->connection);
	}
	MHD_stop_daemon(server->daemon);
	if (server->quiesced_fd >= 0)
		close(server->quiesced_fd);
	return 0;
}

static struct MHD_Daemon *start_daemon(struct http_server *server, int fd)
{
	const struct http_server_options *o = &server->options;

	return MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, 0, NULL,
		NULL, on_request, server, MHD_OPTION_LISTEN_SOCKET, fd,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
		MHD_OPTION_CONNECTION_LIMIT, o->connections,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		o->header_bytes * HEADER_MEMORY_FACTOR,
		MHD_OPTION_CONNECTION_TIMEOUT, round_up_to_seconds(o->idle_ms),
		MHD_OPTION_END);
}

struct http_server *
http_server_create(TALLOC_CTX *mem, const struct http_server_options *options)
{
	struct http_server *server = talloc_zero(mem, struct http_server);
	const union MHD_DaemonInfo *info;
	struct address address;
	int fd = -1;

	server->options = *options;
	server->header_bytes = options->header_bytes;
	server->quiesced_fd = -1;
	if (address_parse(&address, options->listen))
		fd = address_listen(&address, LISTEN_BACKLOG);
	if (fd >= 0)
		server->daemon = start_daemon(server, fd);
	if (!server->daemon) {
		if (fd >= 0)
			close(fd);
		talloc_free(server);
		return NULL;
	}
	talloc_set_destructor(server, destroy);
	server->run_soon = tevent_create_immediate(server);
	info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	tevent_add_fd(options->ev, server, info->epoll_fd, TEVENT_FD_READ,
		      on_ready, server);
	run(server);
	return server;
}

uint16_t http_server_port(const struct http_server *server)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_LISTEN_FD);

	return address_local_port(info->listen_fd);
}

void http_server_close_after_answer(struct http_server *server)
{
	server->closing = true;
}

unsigned http_server_connections(const struct http_server *server)
{
	return MHD_get_daemon_info(server->daemon,
				   MHD_DAEMON_INFO_CURRENT_CONNECTIONS)
		->num_connections;
}

/*
 * Makes the kernel drop connection attempts. Otherwise a connection that is
 * established between the last accept4 and close is reset without an answer.
 */
static void drop_new_connections(int fd)
{
	static struct sock_filter code[] = {
		BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
		BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TCP_FLAG_SYN, 0, 1),
		BPF_STMT(BPF_RET | BPF_K, 0), /* drop */
		BPF_STMT(BPF_RET | BPF_K, UINT32_MAX), /* accept */
	};
	const struct sock_fprog filter = {
		.len = sizeof(code) / sizeof(code[0]),
		.filter = code,
	};

	if (setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &filter,
		       sizeof(filter)))
		log_warning(LOG_CALLER,
			    "connection attempts are not dropped before the "
			    "listening socket is closed: %s",
			    strerror(errno));
}

/* Connections in the listening socket's queue are served, too. */
static void drain_queue(struct http_server *server)
{
	struct sockaddr_storage from;
	socklen_t len = sizeof(from);
	int waiting;

	while ((waiting = accept4(server->quiesced_fd, (struct sockaddr *)&from,
				  &len, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		MHD_add_connection(server->daemon, waiting,
				   (struct sockaddr *)&from, len);
		len = sizeof(from);
	}
	run_soon(server);
}

static void close_quiesced(struct tevent_context *ev, struct tevent_timer *te,
			   struct timeval now, void *private_data)
{
	struct http_server *server = private_data;

	(void)ev;
	(void)te;
	(void)now;
	drain_queue(server);
	close(server->quiesced_fd);
	server->quiesced_fd = -1;
}

void http_server_quiesce(struct http_server *server)
{
	server->quiesced_fd = MHD_quiesce_daemon(server->daemon);
	if (server->quiesced_fd < 0)
		return;
#ifdef BREAK_QUIESCE
	close_quiesced(NULL, NULL, tevent_timeval_zero(), server);
	return;
#endif
	drop_new_connections(server->quiesced_fd);
	drain_queue(server);
	tevent_add_timer(server->options.ev, server,
			 tevent_timeval_current_ofs(0, HANDSHAKE_US),
			 close_quiesced, server);
}

bool http_server_is_drained(const struct http_server *server)
{
	return server->quiesced_fd < 0 && !http_server_connections(server);
}
