#ifndef ADAPTERS_PLATFORM_STATE_H
#define ADAPTERS_PLATFORM_STATE_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <tevent.h>

#include "adapters/http_client.h"
#include "adapters/messages.h"
#include "adapters/platform.h"
#include "adapters/platform_text.h"
#include "base/random.h"
#include "base/token_bucket.h"

/*
 * What the parts of the platform's thread share; for platform*.c alone.
 * platform.c makes the calls within their budgets, platform_watch.c reads and
 * watches, platform_write.c writes the document, platform_claim.c claims keys.
 */

#ifdef BREAK_TIMEOUT
#define PLATFORM_CALL_TIMEOUT_MS 500
#else
#define PLATFORM_CALL_TIMEOUT_MS 2000
#endif
#define PLATFORM_MAX_TRIES 4 /* of one write or claim */

enum watch_kind { WATCH_CONFIG, WATCH_INSTANCES, WATCH_WORKERS, WATCH_COUNT };

struct platform;
struct claim;

/* A blocking query, repeated while the watch is held. */
struct watch {
	struct platform *platform;
	enum watch_kind kind;
	bool busy;
	uint64_t index; /* of the last answer; 0: none */
	uint64_t backoff_ms;
	struct tevent_timer *timer;
};

struct platform {
	struct platform_options options;
	struct tevent_context *ev;
	struct http_client *client;
	struct random_generator random;
	struct token_bucket
		reads; /* a waiting watch takes a token like any other */
	struct token_bucket writes;
	struct watch watches[WATCH_COUNT];
	bool hold; /* the watches */
	bool reading; /* the document */
	uint64_t document_index;
	char *document; /* last passed on */
	char *session;
	bool session_asked;
	uint64_t session_ends_ms;
	STAILQ_HEAD(, claim) claims; /* waiting for a session */
};

/* platform.c */

/*
 * Calls the platform; body may be NULL, done gets ctx and the answer. Returns
 * false, having sent nothing, when the budget is used up.
 */
bool platform_call(struct platform *p, const char *method, const char *path,
		   const char *body, uint64_t timeout_ms,
		   http_client_done *done, void *ctx);

/* Did the platform itself answer? Counts a failure when it did not. */
bool platform_answered(const struct http_client_answer *a);

/* The delay after backoff_ms, which is 0 at first; half of it is jitter. */
uint64_t platform_next_backoff_ms(struct platform *p, uint64_t backoff_ms);

/* Calls handler once, unless mem, which owns the timer, is freed before. */
struct tevent_timer *platform_after(struct platform *p, TALLOC_CTX *mem,
				    uint64_t ms, tevent_timer_handler_t handler,
				    void *ctx);

/* Path of the configuration document. */
char *platform_config_path(TALLOC_CTX *mem, const struct platform *p);

/* platform_watch.c */

/* Reads the document and tells the control thread. */
void platform_read_document(struct platform *p);

/* Passes a document on unless it is the one passed on last. */
void platform_take_document(struct platform *p,
			    const struct platform_text_value *v);

/* Asks once for all that is watched, even when no watch is held. */
void platform_begin_watches(struct platform *p);
void platform_hold_watches(struct platform *p, bool hold);

/* platform_write.c */

/* Writes the document if it still has the version that it is based on. */
void platform_write_document(struct platform *p,
			     const struct message_write_config *msg);

/* platform_claim.c */

/* Creates a key, or tells which value it has. */
void platform_claim_key(struct platform *p,
			const struct message_claim_key *msg);

#endif
