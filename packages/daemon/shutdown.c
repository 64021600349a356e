#include "daemon/shutdown.h"

#include "adapters/messages.h"
#include "base/log.h"

#define LINGER_MS 200 /* for answers on their way when all is done */
/* Callers' connections that are open but silent are waited for so long. */
#define SILENT_MS 2000

static void tell_callers(struct shutdown *shutdown, bool quiesce)
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
	tell_callers(shutdown, false);
	node_begin_stop(shutdown->node, now_ms);
}

/* The balancer has had time to see that this instance is not ready. */
static bool may_quiesce(const struct shutdown *shutdown, uint64_t now_ms)
{
	return node_has_handed_over(shutdown->node) &&
	       now_ms - shutdown->began_ms >=
		       (uint64_t)shutdown->settings->stop_grace_ms;
}

static void check_limit(struct shutdown *shutdown, uint64_t now_ms)
{
	if (now_ms - shutdown->began_ms <
	    (uint64_t)shutdown->settings->stop_limit_ms)
		return;
	log_warning(LOG_MAIN, "stop.limit_ms is over");
	node_log_unfinished(shutdown->node);
	shutdown->over = true;
}

static void check_end(struct shutdown *shutdown, uint64_t now_ms)
{
	if (!node_is_stopped(shutdown->node)) {
		shutdown->idle_ms = 0;
		return;
	}
	if (!shutdown->idle_ms)
		shutdown->idle_ms = now_ms;
	if (!shutdown->drained && now_ms - shutdown->quiesced_ms < SILENT_MS)
		return;
	shutdown->over = now_ms - shutdown->idle_ms >= LINGER_MS;
}

void shutdown_tick(struct shutdown *shutdown, uint64_t now_ms)
{
	if (!shutdown->began_ms || shutdown->over)
		return;
	if (!shutdown->quiesced_ms && may_quiesce(shutdown, now_ms)) {
		shutdown->quiesced_ms = now_ms;
		tell_callers(shutdown, true);
	}
	if (shutdown->quiesced_ms)
		check_end(shutdown, now_ms);
	if (!shutdown->over)
		check_limit(shutdown, now_ms);
}

bool shutdown_is_over(const struct shutdown *shutdown)
{
#ifdef BREAK_STOP
	return shutdown->began_ms != 0;
#endif
	return shutdown->over;
}
