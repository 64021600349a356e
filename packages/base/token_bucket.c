#include "base/token_bucket.h"

#include <math.h>

static void fill(struct tkb *tkb, uint64_t now_ms)
{
	if (now_ms > tkb->filled_ms)
		tkb->tokens +=
			(double)(now_ms - tkb->filled_ms) * tkb->per_s / 1000;
	if (tkb->tokens > tkb->burst)
		tkb->tokens = tkb->burst;
	tkb->filled_ms = now_ms;
}

void tkb_init(struct tkb *tkb, double per_s, double burst, uint64_t now_ms)
{
	tkb->per_s = per_s;
	tkb->burst = burst > 0 ? burst : per_s;
	tkb->tokens = tkb->burst;
	tkb->filled_ms = now_ms;
}

void tkb_set_rate(struct tkb *tkb, double per_s, uint64_t now_ms)
{
	fill(tkb, now_ms);
	tkb->per_s = per_s;
	tkb->burst = per_s;
	if (tkb->tokens > per_s)
		tkb->tokens = per_s;
}

bool tkb_take(struct tkb *tkb, double tokens, double reserve, uint64_t now_ms)
{
	fill(tkb, now_ms);
	if (tkb->tokens < tokens + reserve)
		return false;
	tkb->tokens -= tokens;
	return true;
}

uint64_t tkb_take_later(struct tkb *tkb, double tokens, uint64_t now_ms)
{
	fill(tkb, now_ms);
	tkb->tokens -= tokens;
	if (tkb->tokens >= 0 || tkb->per_s <= 0)
		return 0;
	return (uint64_t)ceil(-tkb->tokens * 1000 / tkb->per_s);
}

double tkb_left(const struct tkb *tkb, uint64_t now_ms)
{
	struct tkb copy = *tkb;

	fill(&copy, now_ms);
	return copy.tokens;
}
