#ifndef CORE_RELAY_CHOICE_H
#define CORE_RELAY_CHOICE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Which instance calls a worker for the leader: rendezvous hashing weighted by
 * processor share, so that a change of the candidates moves few workers, with
 * those in the worker's data centre first.
 */

#define RELAY_CHOICE_MAX 64 /* candidates */

struct relay_choice_candidate {
	uint64_t incarnation;
	uint32_t weight; /* processor share, in thousandths of a core */
	const char *data_centre;
};

/*
 * The candidate at a place in the worker's order of preference; places beyond
 * the last one count from the first again. 0 when there is none.
 */
uint64_t relay_choice_pick(const struct relay_choice_candidate *candidates,
			   size_t count, const char *worker,
			   const char *data_centre, uint32_t place);

#endif
