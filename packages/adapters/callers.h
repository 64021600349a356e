#ifndef ADAPTERS_CALLERS_H
#define ADAPTERS_CALLERS_H

#include "base/mailbox.h"
#include "base/settings.h"

/*
 * The HTTP interfaces of callers and operators: a traffic thread with one
 * server for each, on separate addresses. It parses and checks requests, then
 * passes them to the control thread. docs/CALLERS.md describes the interface.
 */

struct callers_options {
	struct mailbox *control;
	const struct settings *settings;
	const char *operators_token; /* NULL: all but /metrics refused */
};

/* Functions for struct thread_options; arg is a struct callers_options. */
void *callers_init(TALLOC_CTX *mem, struct tevent_context *ev, void *arg);
void callers_handle(void *state, struct mailbox_message *msg);

#endif
