#ifndef ADAPTERS_PLATFORM_H
#define ADAPTERS_PLATFORM_H

#include "base/mailbox.h"
#include "base/settings.h"

/*
 * The client of the platform: a traffic thread that uses Consul's published
 * HTTP API for the configuration document, idempotency keys and the lists of
 * instances and workers. Each call is counted, has a timeout and is charged to
 * a budget of reads or writes; failed calls are retried after an exponential
 * delay with jitter.
 *
 *     {prefix}/config     the configuration document
 *     {prefix}/keys/HEX   a claimed idempotency key; deleted with its session
 *     {prefix}-instance   service list: ID, address and port of peer links
 *     {prefix}-worker     service list: ID is the worker's name
 *
 * Meta {"leaving": "true"} marks a list entry whose instance or worker is
 * leaving.
 */

struct platform_options {
	struct mailbox *control;
	const struct settings *settings;
	const char *token; /* X-Consul-Token, or NULL */
};

/* Functions for struct thread_options; arg is a struct platform_options. */
void *platform_init(TALLOC_CTX *mem, struct tevent_context *ev, void *arg);
void platform_handle(void *state, struct mailbox_message *msg);

#endif
