#ifndef BASE_MAILBOX_H
#define BASE_MAILBOX_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/queue.h>
#include <talloc.h>
#include <tevent.h>

/*
 * Bounded queue of typed messages into one thread's tevent loop. Any thread may
 * post; the owner's loop calls the handler for each message, in order.
 *
 * A message begins with struct mailbox_message and is a talloc object without a
 * parent, because talloc trees must not be shared between threads. Posting
 * passes ownership to the mailbox, and then to the handler, which frees it.
 */

struct mailbox;

struct mailbox_message {
	STAILQ_ENTRY(mailbox_message) entry;
	int kind;
};

typedef void mailbox_handler(void *ctx, struct mailbox_message *msg);

struct mailbox_options {
	struct tevent_context *ev;
	mailbox_handler *handler;
	void *ctx;
	size_t limit; /* messages; 0 means 65536 */
};

/* Creates a mailbox in the owner's thread; NULL when eventfd fails. */
struct mailbox *mailbox_create(TALLOC_CTX *mem,
			       const struct mailbox_options *options);

/*
 * Posts msg from any thread. Returns false when the queue is full; the
 * caller then still owns msg.
 */
bool mailbox_post(struct mailbox *mailbox, struct mailbox_message *msg);

/* Posts msg even over the limit, for answers that must not be lost. */
void mailbox_post_always(struct mailbox *mailbox, struct mailbox_message *msg);

/* Returns the number of queued messages, from any thread. */
size_t mailbox_depth(struct mailbox *mailbox);

#endif
