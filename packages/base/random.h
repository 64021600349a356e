#ifndef BASE_RANDOM_H
#define BASE_RANDOM_H

#include <stddef.h>
#include <stdint.h>

/*
 * Random numbers. Identities (incarnations, tokens) come from the kernel;
 * jitter and sampling come from a seeded generator, so that a test with a
 * fixed seed is reproducible.
 */

struct random_generator {
	uint64_t state;
};

/* Fills buf from the kernel's generator; aborts the process on failure. */
void random_bytes(void *buf, size_t len);

/* Returns a 64-bit number from the kernel's generator, never 0. */
uint64_t random_identity(void);

/* Seeds r; the same seed gives the same sequence. */
void random_seed(struct random_generator *r, uint64_t seed);

/* Returns the next 64 bits of a seeded generator. */
uint64_t random_next(struct random_generator *r);

/* Returns a number uniform in [0, bound), or 0 for bound 0. */
uint64_t random_below(struct random_generator *r, uint64_t bound);

#endif
