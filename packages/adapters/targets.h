#ifndef ADAPTERS_TARGETS_H
#define ADAPTERS_TARGETS_H

#include "base/mailbox.h"

/*
 * The targets' side: a traffic thread that sends starts, stops and questions
 * for usage to workers over HTTP and passes the results to control.
 *
 *     POST   /v1/tasks/{job}/{index}   Bergamot-Token, Bergamot-Lease-Ms
 *     DELETE /v1/tasks/{job}/{index}   Bergamot-Token
 *     GET    /v1/usage
 *
 * An answer is a start's own when its Bergamot-Task header echoes
 * "{job}/{index}/{token}". Bergamot-Not-Started marks a refusal;
 * Bergamot-Leaving: true is the worker's word that it takes no new work.
 */

struct targets_options {
	struct mailbox *control;
	int worker_connections;
	size_t answer_bytes;
};

/* For struct thread_options: arg is a struct targets_options. */
void *targets_init(TALLOC_CTX *mem, struct tevent_context *ev, void *arg);
void targets_handle(void *state, struct mailbox_message *msg);

#endif
