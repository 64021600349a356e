#include "base/random.h"

#include <stdio.h>
#include <stdlib.h>
#include <sys/random.h>
#include <xxhash.h>

void random_bytes(void *buf, size_t len)
{
	char *p = buf;

	while (len) {
		ssize_t n = getrandom(p, len, 0);

		if (n <= 0) {
			perror("getrandom");
			abort();
		}
		p += n;
		len -= (size_t)n;
	}
}

uint64_t random_identity(void)
{
	uint64_t id = 0;

	while (!id)
		random_bytes(&id, sizeof(id));
	return id;
}

void random_seed(struct random_generator *r, uint64_t seed)
{
	r->state = seed;
}

/* Hashing a counter is good enough for jitter and sampling. */
uint64_t random_next(struct random_generator *r)
{
	r->state++;
	return XXH3_64bits(&r->state, sizeof(r->state));
}

uint64_t random_below(struct random_generator *r, uint64_t bound)
{
	return bound ? random_next(r) % bound : 0;
}
