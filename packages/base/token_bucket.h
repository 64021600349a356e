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
	uint64_t refilled_ms;
};

/*
 * Initializes a full bucket with per_s tokens a second. A burst of 0 means the
 * tokens of one second.
 */
void bucket_init(struct token_bucket *bucket, double per_s, double burst,
		 uint64_t now_ms);

/* Sets the rate, and the burst to the tokens of one second at that rate. */
void bucket_set_rate(struct token_bucket *bucket, double per_s,
		     uint64_t now_ms);

/*
 * Takes tokens and returns true. Returns false and takes none when fewer than
 * tokens + reserve are available.
 */
bool bucket_take(struct token_bucket *bucket, double tokens, double reserve,
		 uint64_t now_ms);

/*
 * Takes tokens even when they are not available yet, leaving a negative
 * balance. Returns the time in ms until the balance is 0 again.
 */
uint64_t bucket_take_delayed(struct token_bucket *bucket, double tokens,
			     uint64_t now_ms);

/*
 * Returns the available tokens; negative after bucket_take_delayed has taken
 * tokens in advance.
 */
double bucket_tokens_left(const struct token_bucket *bucket, uint64_t now_ms);

#endif
