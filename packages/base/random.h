#ifndef BASE_RANDOM_H
#define BASE_RANDOM_H

#include <stddef.h>
#include <stdint.h>

/*
 * Random numbers. Identity (incarnations, tokens) comes from the kernel;
 * jitter and sampling come from a seeded generator, so that a test with a
 * fixed seed repeats.
 */

struct random_generator {
	uint64_t state;
};

/* Fills buf from the kernel's generator; ends the process if it cannot. */
void random_bytes(void *buf, size_t len);

/* A 64-bit number from the kernel's generator, never 0. */
uint64_t random_identity(void);

/* The same seed gives the same numbers. */
void random_seed(struct random_generator *r, uint64_t seed);

/* The next 64 bits of a seeded generator. */
uint64_t random_next(struct random_generator *r);

/* Uniform in [0, bound); 0 for bound 0. */
uint64_t random_below(struct random_generator *r, uint64_t bound);

#endif
