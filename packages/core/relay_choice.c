#include "core/relay_choice.h"

#include <math.h>
#include <stdbool.h>
#include <string.h>
#include <xxhash.h>

/* Exceeds all scores of candidates in the worker's own data centre. */
#define REMOTE_PENALTY 1e6

/*
 * Lower is better. The probability that a candidate is first is its share of
 * the total weight.
 */
static double score(const struct relay_choice_candidate *c, const char *worker,
		    const char *data_centre)
{
	uint64_t hash =
		XXH3_64bits_withSeed(worker, strlen(worker), c->incarnation);
	double fraction = ((double)(hash >> 11) + 1) / (double)(1ULL << 53);
	bool remote = strcmp(c->data_centre, data_centre) != 0;

	return -log(fraction) / (c->weight ? c->weight : 1) +
	       (remote ? REMOTE_PENALTY : 0);
}

uint64_t relay_choice_pick(const struct relay_choice_candidate *candidates,
			   size_t count, const char *worker,
			   const char *data_centre, uint32_t rank)
{
	double scores[RELAY_CHOICE_MAX];
	size_t best = 0;

	if (!count)
		return 0;
	if (count > RELAY_CHOICE_MAX)
		count = RELAY_CHOICE_MAX;
	for (size_t i = 0; i < count; i++)
		scores[i] = score(&candidates[i], worker, data_centre);
	for (uint32_t steps_left = rank % (uint32_t)count + 1; steps_left--;) {
		best = 0;
		for (size_t i = 1; i < count; i++)
			if (scores[i] < scores[best])
				best = i;
		if (steps_left)
			scores[best] = INFINITY;
	}
	return candidates[best].incarnation;
}
