#ifndef ADAPTERS_HTTP_SERVER_H
#define ADAPTERS_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/*
 * HTTP server in a tevent loop, on libmicrohttpd. The handler gets each request
 * whole; it is answered, at once or later, by its number. Until then its
 * connection is suspended. Not thread safe: one loop owns a server.
 */

struct http_server;

struct http_server_request {
	uint64_t number;
	const char *method;
	const char *path; /* without the query */
	const char *body; /* NUL-terminated */
	size_t body_len;
	void *connection; /* for http_server_header and http_server_query */
};

struct http_server_response {
	int status;
	const char *content_type; /* NULL means application/json */
	const char *body; /* copied; may be NULL */
	size_t body_len;
	/* Alternating names and values, NULL-terminated; may be NULL. */
	const char *const *headers;
};

struct http_server_options {
	struct tevent_context *ev;
	const char *listen; /* address; port 0 selects a free port */
	size_t body_bytes; /* limit; larger bodies are answered 413 */
	size_t header_bytes; /* limit; larger headers are answered 431 */
	unsigned connections; /* limit */
	/* Time after which a stalled or idle connection is closed. */
	unsigned idle_ms;
	/* Called for each whole request, which is valid during the call. */
	void (*handler)(void *ctx, const struct http_server_request *request);
	/* Called when a request ends before its answer is sent; may be NULL. */
	void (*aborted)(void *ctx, uint64_t number);
	/*
	 * Call aborted as soon as a caller closes its connection, or its own
	 * direction of it; the request is then answered 504. Otherwise a close
	 * is detected only when the answer is sent.
	 */
	bool detect_disconnects;
	void *ctx;
};

/* Creates a server; returns NULL when it cannot listen on the address. */
struct http_server *
http_server_create(TALLOC_CTX *mem, const struct http_server_options *options);

/* Returns the port that the server listens on. */
uint16_t http_server_port(const struct http_server *server);

/* Answers a request; ignored when the request has ended. */
void http_server_reply(struct http_server *server, uint64_t number,
		       const struct http_server_response *response);

/* Return the value of a header or a query argument, NULL when absent. */
const char *http_server_header(const struct http_server_request *request,
			       const char *name);
const char *http_server_query(const struct http_server_request *request,
			      const char *name);

/*
 * Limits that may change at run time, up to those of the options. 0 leaves a
 * limit unchanged.
 */
struct http_server_limits {
	size_t header_bytes;
	unsigned idle_ms; /* applies to a connection from its next request on */
};

void http_server_set_limits(struct http_server *server,
			    const struct http_server_limits *limits);

/* Closes each connection after its next answer. */
void http_server_close_after_answer(struct http_server *server);

/* Returns the number of open connections, including idle ones. */
unsigned http_server_connections(const struct http_server *server);

/*
 * Stops accepting connections. Requests on those that are established by then
 * are still served, until http_server_is_drained.
 */
void http_server_quiesce(struct http_server *server);

/* Returns true once no connection is left after http_server_quiesce. */
bool http_server_is_drained(const struct http_server *server);

#endif
