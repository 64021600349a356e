#ifndef ADAPTERS_HTTP_SERVER_H
#define ADAPTERS_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/*
 * HTTP server in a tevent loop, on libmicrohttpd. A request is handed over
 * whole and answered later by its number; while it waits, its connection is
 * suspended. Not thread safe: one loop owns a server.
 */

struct http_server;

struct http_server_request {
	uint64_t number;
	const char *method;
	const char *path; /* without the query */
	const char *body; /* NUL follows it */
	size_t body_len;
	void *connection; /* for http_server_header and http_server_query */
};

struct http_server_response {
	int status;
	const char *content_type; /* NULL means application/json */
	const char *body; /* copied; may be NULL */
	size_t body_len;
	/* Name and value in turn, NULL at the end; may be NULL. */
	const char *const *headers;
};

struct http_server_options {
	struct tevent_context *ev;
	const char *listen; /* address; port 0 takes a free one */
	size_t body_bytes; /* limit; larger bodies are answered 413 */
	size_t header_bytes; /* memory of a connection */
	unsigned connections; /* limit */
	unsigned idle_ms; /* a stalled or idle connection is closed */
	/* Called for each whole request; valid during the call. */
	void (*handler)(void *ctx, const struct http_server_request *request);
	/* A request ended without its answer being sent; may be NULL. */
	void (*aborted)(void *ctx, uint64_t number);
	/*
	 * Look whether a caller closes its connection while it waits, and tell
	 * by aborted; otherwise that is noticed with the answer.
	 */
	bool watch_callers;
	void *ctx;
};

/* NULL when the address cannot be listened on. */
struct http_server *
http_server_create(TALLOC_CTX *mem, const struct http_server_options *options);

/* The port listened on. */
uint16_t http_server_port(const struct http_server *server);

/* Answers a request; a number that has gone is ignored. */
void http_server_reply(struct http_server *server, uint64_t number,
		       const struct http_server_response *response);

/* A request header, or a query argument; NULL when absent. */
const char *http_server_header(const struct http_server_request *request,
			       const char *name);
const char *http_server_query(const struct http_server_request *request,
			      const char *name);

/*
 * Limits that change while it serves; those of the options still hold. 0 leaves
 * one as it is.
 */
struct http_server_limits {
	size_t header_bytes;
	unsigned idle_ms; /* of connections from their next request on */
};

void http_server_set_limits(struct http_server *server,
			    const struct http_server_limits *limits);

/* Each connection closes after its next answer. */
void http_server_close_after_answer(struct http_server *server);

/* Open connections, idle ones included. */
unsigned http_server_connections(const struct http_server *server);

/* Stops accepting; open connections are served on. */
void http_server_quiesce(struct http_server *server);

#endif
