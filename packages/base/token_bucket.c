#include "base/token_bucket.h"

#include <math.h>

static void refill(struct token_bucket *bucket, uint64_t now_ms)
{
	if (now_ms > bucket->refilled_ms)
		bucket->tokens += (double)(now_ms - bucket->refilled_ms) *
				  bucket->per_s / 1000;
	if (bucket->tokens > bucket->burst)
		bucket->tokens = bucket->burst;
	bucket->refilled_ms = now_ms;
}

void bucket_init(struct token_bucket *bucket, double per_s, double burst,
		 uint64_t now_ms)
{
	bucket->per_s = per_s;
	bucket->burst = burst > 0 ? burst : per_s;
	bucket->tokens = bucket->burst;
	bucket->refilled_ms = now_ms;
}

void bucket_set_rate(struct token_bucket *bucket, double per_s, uint64_t now_ms)
{
	refill(bucket, now_ms);
	bucket->per_s = per_s;
	bucket->burst = per_s;
	if (bucket->tokens > per_s)
		bucket->tokens = per_s;
}

bool bucket_take(struct token_bucket *bucket, double tokens, double reserve,
		 uint64_t now_ms)
{
	refill(bucket, now_ms);
	if (bucket->tokens < tokens + reserve)
		return false;
	bucket->tokens -= tokens;
	return true;
}

uint64_t bucket_take_delayed(struct token_bucket *bucket, double tokens,
			     uint64_t now_ms)
{
	refill(bucket, now_ms);
	bucket->tokens -= tokens;
	if (bucket->tokens >= 0 || bucket->per_s <= 0)
		return 0;
	return (uint64_t)ceil(-bucket->tokens * 1000 / bucket->per_s);
}

double bucket_tokens_left(const struct token_bucket *bucket, uint64_t now_ms)
{
	struct token_bucket copy = *bucket;

	refill(&copy, now_ms);
	return copy.tokens;
}
