#ifndef CORE_DELEGATE_H
#define CORE_DELEGATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "core/dispatch.h"
#include "core/ports.h"

/*
 * Spill-over: a dispatcher with too many waiting tasks for its slots delegates
 * some of them to a dispatcher that advertises idle slots, in batches of one
 * message each. The job keeps its owner. A delegated task counts as started;
 * only the peer's report that it was not started makes it pending again. If the
 * link to the peer is lost, the fate of its tasks is unknown and the job fails.
 *
 * The peer runs a batch as a job of its own dispatcher, without a record, and
 * returns at once the tasks it has no idle slot for. It accepts a batch only
 * once: the batch's number must be above all earlier ones of the same owner.
 */

struct delegates;

struct delegate_options {
	const struct ports *ports;
	struct dispatch *dispatch;
};

/* Creates the state of delegation, owned by mem; copies the options. */
struct delegates *delegate_create(TALLOC_CTX *mem,
				  const struct delegate_options *options);

/* A dispatcher that tasks may be delegated to. */
struct delegate_peer {
	uint64_t incarnation;
	const char *data_centre;
	uint32_t idle_slots; /* last advertised; delegate_spill lowers it */
};

/* Returns true if a data centre has undrained workers for a service. */
bool delegate_serves(const struct config_document *doc, const char *data_centre,
		     const char *service);

/*
 * Delegates waiting tasks that exceed the local slots. The caller lists the
 * best peer first.
 */
void delegate_spill(struct delegates *delegates, struct delegate_peer *peers,
		    size_t count, const struct config_document *doc,
		    uint64_t now_ms);

/*
 * Handles a batch from the peer with incarnation from. Runs as many of its
 * tasks as there are idle slots, none if refuse is set, and returns the others.
 */
void delegate_accept(struct delegates *delegates, uint64_t from,
		     const Bergamot__Delegate *msg, bool refuse,
		     uint64_t now_ms);

/* Handles a peer's result of a task that was delegated to it. */
void delegate_result(struct delegates *delegates, uint64_t from,
		     const Bergamot__DelegatedResult *msg, uint64_t now_ms);

/* Handles an owner's request to stop a batch. */
void delegate_stop(struct delegates *delegates, uint64_t from,
		   const Bergamot__DelegateStop *msg, uint64_t now_ms);

/*
 * Handles the loss of the link to a peer: fails the jobs with tasks delegated
 * to it and cancels its batches here.
 */
void delegate_peer_down(struct delegates *delegates, uint64_t peer,
			uint64_t now_ms);

/*
 * Handles the end of a job of the dispatcher. If it was a peer's batch, reports
 * the results to the owner and returns true. Otherwise stops the job's
 * delegated tasks and returns false.
 */
bool delegate_job_ended(struct delegates *delegates, struct job *job,
			const struct outcome *outcome);

#endif
