#ifndef ADAPTERS_HTTP_CLIENT_H
#define ADAPTERS_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/*
 * HTTP client in a tevent loop, on libcurl's multi interface. A request with a
 * body is sent at most once: libcurl's own resend on a new connection is
 * aborted. Redirects and 100-continue are disabled.
 */

struct http_client;

struct http_client_options {
	struct tevent_context *ev;
	long host_connections; /* limit for each host; 0: no limit */
	long idle_connections; /* total kept open; 0: libcurl's default */
};

#define HTTP_CLIENT_MAX_HEADERS 8

struct http_client_request {
	const char *method;
	const char *url;
	const char *const *headers; /* whole lines, NULL-terminated */
	const char *body; /* copied; NULL for none */
	size_t body_len;
	uint64_t timeout_ms;
	/*
	 * Latest time to send the request, on clock_now_ms. If it still waits
	 * for a connection then, it is not sent at all; 0 means no limit.
	 */
	uint64_t send_before_ms;
	/*
	 * Name of a header whose value is the time in ms from the sending of
	 * the request to remaining_until_ms (on clock_now_ms); NULL for none.
	 */
	const char *remaining_header;
	uint64_t remaining_until_ms;
	size_t answer_bytes; /* limit for the answer's body */
};

enum http_client_status {
	HTTP_CLIENT_ANSWERED, /* complete answer with any HTTP status */
	HTTP_CLIENT_NOT_SENT, /* no connection, or too late: no byte was sent */
	HTTP_CLIENT_TOO_LARGE, /* the body exceeds answer_bytes */
	HTTP_CLIENT_TIMEOUT,
	HTTP_CLIENT_BROKEN, /* sent at least partly, no complete answer */
};

struct http_client_header {
	char name[32];
	char value[128];
};

struct http_client_answer {
	enum http_client_status status;
	/*
	 * No complete answer: the server closed the connection, or refused it.
	 * Unset if nothing came from it in time.
	 */
	bool is_closed;
	long http_status;
	char *body; /* NUL-terminated; talloc_steal it to keep it */
	size_t body_len;
	/* Headers whose names start with "Bergamot-" or "X-". */
	struct http_client_header headers[HTTP_CLIENT_MAX_HEADERS];
	size_t header_count;
	const char *message; /* libcurl's text for its result code */
};

/* Called when a request ends; the answer is freed after the call. */
typedef void http_client_done(void *ctx, struct http_client_answer *answer);

/*
 * Creates a client, which only the loop's thread may use. Freeing it drops its
 * open requests without calling done.
 */
struct http_client *
http_client_create(TALLOC_CTX *mem, const struct http_client_options *options);

/* Sends a request; done is called exactly once, after this call returns. */
void http_client_send(struct http_client *client,
		      const struct http_client_request *request,
		      http_client_done *done, void *ctx);

/*
 * Returns the value of one of answer->headers, NULL when absent. Names are
 * compared without case.
 */
const char *http_client_header(const struct http_client_answer *answer,
			       const char *name);

#endif
