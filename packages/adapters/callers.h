#ifndef ADAPTERS_CALLERS_H
#define ADAPTERS_CALLERS_H

#include "base/mailbox.h"
#include "base/settings.h"

/*
 * Callers' and operators' HTTP: a traffic thread with a server for each, on
 * addresses of their own. Requests are read and checked here, then passed to
 * control; docs/CALLERS.md is the interface.
 */

struct callers_options {
	struct mailbox *control;
	const struct settings *settings;
	const char *operators_token; /* NULL refuses operators' changes */
};

/* For struct thread_options: arg is a struct callers_options. */
void *callers_init(TALLOC_CTX *mem, struct tevent_context *ev, void *arg);
void callers_handle(void *state, struct mailbox_message *msg);

#endif
