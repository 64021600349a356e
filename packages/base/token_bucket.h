#ifndef BASE_TOKEN_BUCKET_H
#define BASE_TOKEN_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A token bucket: an average rate with a burst. Not thread safe; the caller
 * passes the time.
 */
struct token_bucket {
	double per_s;
	double burst;
	double tokens;
	uint64_t filled_ms;
};

/* Full, at that rate; a burst of 0 means the tokens of one second. */
void bucket_init(struct token_bucket *bucket, double per_s, double burst,
		 uint64_t now_ms);

/* Another rate from now on, with the tokens of one second as the burst. */
void bucket_set_rate(struct token_bucket *bucket, double per_s,
		     uint64_t now_ms);

/*
 * Takes a number of tokens; false, taking none, where less than these and the
 * reserve are left.
 */
bool bucket_take(struct token_bucket *bucket, double tokens, double reserve,
		 uint64_t now_ms);

/* Takes them also where they have to be waited for; returns how long, in ms. */
uint64_t bucket_take_delayed(struct token_bucket *bucket, double tokens,
			     uint64_t now_ms);

/* The tokens there are; below 0, some are waited for. */
double bucket_tokens_left(const struct token_bucket *bucket, uint64_t now_ms);

#endif
