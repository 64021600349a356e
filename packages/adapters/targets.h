#ifndef ADAPTERS_TARGETS_H
#define ADAPTERS_TARGETS_H

#include "base/mailbox.h"

/*
 * The client of targets: a traffic thread that sends task starts, task stops
 * and usage queries to workers over HTTP and passes the results to the control
 * thread.
 *
 *     POST   /v1/tasks/{job}/{index}   Bergamot-Token, Bergamot-Lease-Ms
 *     DELETE /v1/tasks/{job}/{index}   Bergamot-Token
 *     GET    /v1/usage
 *
 * An answer belongs to a start if its Bergamot-Task header repeats the start's
 * "{job}/{index}/{token}". Bergamot-Not-Started marks an answer of a
 * worker that refused the start and did not run the task. With
 * Bergamot-Leaving: true a worker announces that it accepts no new tasks.
 */

struct targets_options {
	struct mailbox *control;
	int worker_connections;
	size_t answer_bytes;
};

/* Functions for struct thread_options; arg is a struct targets_options. */
void *targets_init(TALLOC_CTX *mem, struct tevent_context *ev, void *arg);
void targets_handle(void *state, struct mailbox_message *msg);

#endif
