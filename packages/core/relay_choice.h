#ifndef CORE_RELAY_CHOICE_H
#define CORE_RELAY_CHOICE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Chooses the instance that calls a worker for the leader, by rendezvous
 * hashing weighted by processor share: a change of the candidates moves few
 * workers. Candidates in the worker's data centre are preferred.
 */

#define RELAY_CHOICE_MAX 64 /* candidates */

struct relay_choice_candidate {
	uint64_t incarnation;
	uint32_t weight; /* processor share, in thousandths of a core */
	const char *data_centre;
};

/*
 * Returns the incarnation of the candidate at a rank, counted from 0, in the
 * worker's order of preference, or 0 if there are no candidates. Ranks wrap
 * around at the number of candidates.
 */
uint64_t relay_choice_pick(const struct relay_choice_candidate *candidates,
			   size_t count, const char *worker,
			   const char *data_centre, uint32_t rank);

#endif
