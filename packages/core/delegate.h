#ifndef CORE_DELEGATE_H
#define CORE_DELEGATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "core/dispatch.h"
#include "core/ports.h"

/*
 * Spill-over: a dispatcher whose backlog is larger than its slots delegates
 * unstarted tasks, a batch in one message, to a dispatcher that advertises
 * idle slots. The job stays its owner's. A delegated task counts as started;
 * only the peer's word that it was not makes it pending again. A lost peer
 * makes its tasks unknown, which fails the job.
 *
 * The peer runs a batch as a job of its own dispatcher, without a record, and
 * gives back at once what it has no idle slot for. A batch is taken once: its
 * number is above those that came before from the same owner.
 */

struct delegates;

struct delegate_options {
	const struct ports *ports;
	struct dispatch *dispatch;
};

/* Copies the options; owned by mem. */
struct delegates *delegate_create(TALLOC_CTX *mem,
				  const struct delegate_options *options);

/* A dispatcher that tasks may be delegated to, the best first. */
struct delegate_peer {
	uint64_t incarnation;
	const char *data_centre;
	uint32_t idle_slots; /* as last told; delegate_spill takes from it */
};

/* Has a data centre undrained workers for a service? */
bool delegate_serves(const struct config_document *doc, const char *data_centre,
		     const char *service);

/* Delegates what should not wait here. */
void delegate_spill(struct delegates *delegates, struct delegate_peer *peers,
		    size_t count, const struct config_document *doc,
		    uint64_t now_ms);

/* Takes a batch of a peer's; refusing gives it all back. */
void delegate_take(struct delegates *delegates, uint64_t from,
		   const Bergamot__Delegate *msg, bool refuse, uint64_t now_ms);

/* A peer's result of a task that was delegated to it. */
void delegate_result(struct delegates *delegates, uint64_t from,
		     const Bergamot__DelegatedResult *msg, uint64_t now_ms);
void delegate_stop(struct delegates *delegates, uint64_t from,
		   const Bergamot__DelegateStop *msg, uint64_t now_ms);

/* The link to a peer is lost. */
void delegate_peer_down(struct delegates *delegates, uint64_t peer,
			uint64_t now_ms);

/*
 * A job of the dispatcher ended: a peer's batch is reported, and what was
 * delegated of an own job is stopped. True when it was a peer's batch.
 */
bool delegate_job_ended(struct delegates *delegates, struct job *job,
			const struct outcome *outcome);

#endif
