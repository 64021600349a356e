#ifndef BASE_THREAD_H
#define BASE_THREAD_H

#include "base/mailbox.h"

/*
 * A thread with its own tevent loop and mailbox. It shares no data with other
 * threads except the messages passed through mailboxes.
 */

struct thread;

struct thread_options {
	const char *name; /* up to 15 characters, shown in debuggers */
	/*
	 * Runs in the new thread before its loop starts: creates the thread's
	 * state, owned by mem, and returns it, or NULL on failure.
	 */
	void *(*init)(TALLOC_CTX *mem, struct tevent_context *ev, void *arg);
	void *arg;
	mailbox_handler *handler; /* ctx is what init returned */
	size_t mailbox_limit; /* messages; 0 means the mailbox's default */
};

/*
 * Starts the thread and waits for init. Returns NULL when the thread or its
 * mailbox cannot be created, or when init failed.
 */
struct thread *thread_start(TALLOC_CTX *mem,
			    const struct thread_options *options);

/* Returns the thread's mailbox, to post to from any thread. */
struct mailbox *thread_mailbox(struct thread *thread);

/* Ends the loop, joins the thread and frees its state. */
void thread_stop(struct thread *thread);

#endif
