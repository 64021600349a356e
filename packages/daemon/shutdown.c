#include "daemon/shutdown.h"

#include "adapters/messages.h"
#include "base/log.h"

#define FINAL_DELAY_MS 200 /* to send the last answers */
/* Longest wait for idle connections of callers to close. */
#define CLOSE_TIMEOUT_MS 2000

static void notify_callers(struct shutdown *shutdown, bool quiesce)
{
	struct message_callers_stop *msg = message_create(
		struct message_callers_stop, MESSAGE_CALLERS_STOP);

	msg->quiesce = quiesce;
	mailbox_post_always(thread_mailbox(shutdown->callers), &msg->head);
}

void shutdown_begin(struct shutdown *shutdown, uint64_t now_ms)
{
	if (shutdown->began_ms)
		return;
	log_info(LOG_MAIN, "graceful shutdown begins");
	shutdown->began_ms = now_ms;
	notify_callers(shutdown, false);
	node_begin_stop(shutdown->node, now_ms);
}

/*
 * Returns true once the records are handed over and the balancer has had time
 * to notice that this instance is not ready.
 */
static bool may_quiesce(const struct shutdown *shutdown, uint64_t now_ms)
{
	return node_has_handed_over(shutdown->node) &&
	       now_ms - shutdown->began_ms >=
		       (uint64_t)shutdown->settings->stop_grace_ms;
}

static void enforce_limit(struct shutdown *shutdown, uint64_t now_ms)
{
	if (now_ms - shutdown->began_ms <
	    (uint64_t)shutdown->settings->stop_limit_ms)
		return;
	log_warning(LOG_MAIN, "stop.limit_ms has passed; the process ends now");
	node_log_unfinished(shutdown->node);
	shutdown->finished = true;
}

static void finish_if_idle(struct shutdown *shutdown, uint64_t now_ms)
{
	if (!node_is_stopped(shutdown->node)) {
		shutdown->idle_since_ms = 0;
		return;
	}
	if (!shutdown->idle_since_ms)
		shutdown->idle_since_ms = now_ms;
	if (!shutdown->drained &&
	    now_ms - shutdown->quiesced_ms < CLOSE_TIMEOUT_MS)
		return;
	shutdown->finished = now_ms - shutdown->idle_since_ms >= FINAL_DELAY_MS;
}

void shutdown_tick(struct shutdown *shutdown, uint64_t now_ms)
{
	if (!shutdown->began_ms || shutdown->finished)
		return;
	if (!shutdown->quiesced_ms && may_quiesce(shutdown, now_ms)) {
		shutdown->quiesced_ms = now_ms;
		notify_callers(shutdown, true);
	}
	if (shutdown->quiesced_ms)
		finish_if_idle(shutdown, now_ms);
	if (!shutdown->finished)
		enforce_limit(shutdown, now_ms);
}

bool shutdown_is_finished(const struct shutdown *shutdown)
{
#ifdef BREAK_STOP
	return shutdown->began_ms != 0;
#endif
	return shutdown->finished;
}
