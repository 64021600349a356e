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
 * Internals of the platform's thread, only for platform*.c. platform.c makes
 * the calls within their budgets, platform_watch.c reads the document and
 * watches it and the lists, platform_write.c writes the document,
 * platform_claim.c claims keys.
 */

#ifdef BREAK_TIMEOUT
#define PLATFORM_CALL_TIMEOUT_MS 500
#else
#define PLATFORM_CALL_TIMEOUT_MS 2000
#endif
#define PLATFORM_MAX_TRIES 4 /* for each write or claim */

enum watch_kind { WATCH_CONFIG, WATCH_INSTANCES, WATCH_WORKERS, WATCH_COUNT };

struct platform;
struct claim;

/* A blocking query, repeated while watches are enabled. */
struct watch {
	struct platform *platform;
	enum watch_kind kind;
	bool busy; /* the query is open */
	uint64_t index; /* of the last answer; 0: none */
	uint64_t backoff_ms;
	struct tevent_timer *timer;
	bool unreadable; /* the last answer had no list */
	char *odd; /* last reported entry that was left out; NULL: none */
	uint64_t odd_logged_ms;
};

struct platform {
	struct platform_options options;
	struct tevent_context *ev;
	struct http_client *client;
	struct random_generator random;
	struct token_bucket reads; /* shared by watches and other reads */
	struct token_bucket writes;
	struct watch watches[WATCH_COUNT];
	bool watches_enabled;
	bool reading_document;
	uint64_t document_index;
	char *document; /* last one passed to control */
	char *session;
	bool session_requested;
	uint64_t session_use_until_ms; /* end of its use for new claims */
	STAILQ_HEAD(, claim) claims; /* waiting for a session */
};

/* platform.c */

/*
 * Calls the platform; body may be NULL, done gets ctx and the answer. Returns
 * false without sending anything when the budget is exhausted.
 */
bool platform_call(struct platform *p, const char *method, const char *path,
		   const char *body, uint64_t timeout_ms,
		   http_client_done *done, void *ctx);

/*
 * Returns true if the platform answered with a status below 500; else counts a
 * failure.
 */
bool platform_check_answer(const struct http_client_answer *a);

/*
 * Returns the delay in ms that follows backoff_ms, 0 for the first one. Half of
 * it is random.
 */
uint64_t platform_next_backoff_ms(struct platform *p, uint64_t backoff_ms);

/* Calls handler once after ms milliseconds; freeing mem cancels the timer. */
struct tevent_timer *platform_start_timer(struct platform *p, TALLOC_CTX *mem,
					  uint64_t ms,
					  tevent_timer_handler_t handler,
					  void *ctx);

/* Returns the URL path of the configuration document. */
char *platform_config_path(TALLOC_CTX *mem, const struct platform *p);

/* platform_watch.c */

/* Reads the document and sends the result to the control thread. */
void platform_read_document(struct platform *p);

/*
 * Reports a successful read to the control thread, with the document unless it
 * equals the last one passed.
 */
void platform_pass_on_document(struct platform *p,
			       const struct platform_text_value *v);

/* Sends the first query of each watch, even if watches are not enabled. */
void platform_start_watches(struct platform *p);

/* Starts or stops repeating the queries; an open query is not aborted. */
void platform_enable_watches(struct platform *p, bool enabled);

/* platform_write.c */

/* Writes the document unless the stored one is newer than base_version. */
void platform_write_document(struct platform *p,
			     const struct message_write_config *msg);

/* platform_claim.c */

/* Creates a key, or reports the value that it already has. */
void platform_claim_key(struct platform *p,
			const struct message_claim_key *msg);

#endif
