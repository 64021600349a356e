#ifndef BASE_THREAD_H
#define BASE_THREAD_H

#include "base/mailbox.h"

/*
 * A traffic thread: a tevent loop of its own with a mailbox, and nothing
 * shared with other threads but what the mailbox passes.
 */

struct thread;

struct thread_options {
	const char *name; /* up to 15 characters, seen in debuggers */
	/*
	 * Runs in the new thread before its loop: sets the thread's state up
	 * under mem and returns it, or NULL on failure.
	 */
	void *(*init)(TALLOC_CTX *mem, struct tevent_context *ev, void *arg);
	void *arg;
	mailbox_handler *handler; /* ctx is what init returned */
	size_t mailbox_limit; /* messages; 0 means the mailbox's default */
};

/* Starts the thread and waits for init; NULL when init failed. */
struct thread *thread_start(TALLOC_CTX *mem,
			    const struct thread_options *options);

/* The thread's mailbox. */
struct mailbox *thread_mailbox(struct thread *thread);

/* Ends the loop, joins the thread and frees its state. */
void thread_stop(struct thread *thread);

#endif
