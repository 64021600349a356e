#ifndef ADAPTERS_HTTP_CLIENT_H
#define ADAPTERS_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/*
 * HTTP client in a tevent loop, on libcurl's multi interface. A request with a
 * body is sent at most once: libcurl's own resend on a fresh connection is
 * refused. Redirects and 100-continue are off.
 */

struct http_client;

struct http_client_options {
	struct tevent_context *ev;
	long host_connections; /* to one host; 0 means no limit */
	long idle_connections; /* kept open in all; 0 means libcurl's own */
};

#define HTTP_CLIENT_MAX_HEADERS 8

struct http_client_request {
	const char *method;
	const char *url;
	const char *const *headers; /* whole lines, NULL at the end */
	const char *body; /* copied; NULL for none */
	size_t body_len;
	uint64_t timeout_ms;
	/*
	 * Not sent at all from then on (clock_now_ms), though it may have
	 * waited for a connection; 0 means no such limit.
	 */
	uint64_t send_before_ms;
	/*
	 * A header whose value is the time left until left_until_ms (in ms, on
	 * clock_now_ms), as of when the request is sent; NULL for none.
	 */
	const char *left_header;
	uint64_t left_until_ms;
	size_t answer_bytes; /* limit */
};

enum http_client_status {
	HTTP_CLIENT_ANSWERED, /* an HTTP answer, whatever its status */
	HTTP_CLIENT_NOT_SENT, /* no connection, or too late: no byte was sent */
	HTTP_CLIENT_TOO_LARGE, /* the answer went over its limit */
	HTTP_CLIENT_TIMEOUT,
	HTTP_CLIENT_BROKEN, /* sent at least in part, and no whole answer */
};

struct http_client_header {
	char name[32];
	char value[128];
};

struct http_client_answer {
	enum http_client_status status;
	long http_status;
	char *body; /* NUL-terminated; steal it to keep it */
	size_t body_len;
	/* Headers whose names begin with "Bergamot-" or "X-". */
	struct http_client_header headers[HTTP_CLIENT_MAX_HEADERS];
	size_t header_count;
	const char *message; /* libcurl's word on a failure */
};

/* Takes the end of a request; the answer is freed after it. */
typedef void http_client_done(void *ctx, struct http_client_answer *answer);

/* A client in the loop's thread; freeing it ends its requests unanswered. */
struct http_client *
http_client_create(TALLOC_CTX *mem, const struct http_client_options *options);

/* Sends a request; done is called once, never from within this call. */
void http_client_send(struct http_client *client,
		      const struct http_client_request *request,
		      http_client_done *done, void *ctx);

/* A kept header's value, NULL when absent. Names compare without case. */
const char *http_client_header(const struct http_client_answer *answer,
			       const char *name);

#endif
