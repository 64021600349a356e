#include "base/counter.h"
#include "base/log.h"
#include "core/node_state.h"

static void count_linked(void *ctx, struct member_entry *member)
{
	*(size_t *)ctx += member->linked;
}

/*
 * Holds starts until peers' messages from the time of the pause have arrived:
 * workers that leave, a newer configuration, another dispatcher.
 */
static void hold_starts(struct node *node)
{
	size_t linked = 0;

	member_each(node->members, count_linked, &linked);
#ifdef BREAK_PAUSE
	linked = 0;
#endif
	if (linked < 2)
		return; /* only this instance itself */
	node->starts_held_until_ms = node->now_ms + NODE_START_HOLD_MS;
	dispatch_pause_starts(node->dispatch, true);
}

void node_end_start_hold(struct node *node)
{
	if (!node->starts_held_until_ms ||
	    node->now_ms < node->starts_held_until_ms)
		return;
	node->starts_held_until_ms = 0;
	dispatch_pause_starts(node->dispatch, false);
}

void node_process_paused(struct node *node, uint64_t gap_ms, uint64_t now_ms)
{
	node->now_ms = now_ms;
	counter_add(COUNTER_PAUSES, 1);
	log_warning(LOG_MAIN,
		    "process was paused for %llu ms; expired work is dropped",
		    (unsigned long long)gap_ms);
	member_discount_pause(node->members, gap_ms);
	hold_starts(node);
	dispatch_tick(node->dispatch, now_ms);
}
