#ifndef DAEMON_CONTROL_STATE_H
#define DAEMON_CONTROL_STATE_H

#include "adapters/messages.h"
#include "base/thread.h"
#include "base/timer.h"
#include "core/node.h"
#include "daemon/control.h"
#include "daemon/shutdown.h"

/*
 * State of the control thread, private to control*.c. control.c creates it and
 * runs its timers, control_ports.c implements the core's ports, and
 * control_messages.c passes the traffic threads' messages to the core.
 */

#define CONTROL_BUSY_TICK_MS 5 /* while a job or a request is in flight */
#define CONTROL_MAX_TARGET_THREADS 16

struct control {
	const struct settings *settings;
	struct tevent_context *ev;
	struct mailbox *mailbox;
	struct loop_timer *timers;
	struct loop_timer_subscription *tick;
	struct node *node;
	struct ports ports;
	uint64_t incarnation;
	struct thread *callers;
	struct thread *peers;
	struct thread *platform; /* NULL: none in the settings */
	char *platform_token;
	struct thread *targets[CONTROL_MAX_TARGET_THREADS];
	int target_count;
	uint8_t *hello;
	char *operators_token;
	struct shutdown shutdown;
	uint64_t last_run_ms; /* when the event loop last ran */
};

/* control.c */

/*
 * Informs the core when the process was paused. Every event handler calls it
 * first, since any event may be the first one after a pause.
 */
void control_check_pause(struct control *control, uint64_t now_ms);

/* control_ports.c */

/*
 * Fills in control->ports. If the settings have no platform, calls of the
 * platform's ports fail at once.
 */
void control_set_ports(struct control *control);

/* Creates a reply without a body, for control_send_http_reply. */
struct message_http_reply *control_new_reply(uint64_t request, int status);

/* Sends a reply to the callers' thread, which takes ownership. */
void control_send_http_reply(struct control *control,
			     struct message_http_reply *msg);

/* control_messages.c */

/* Handles a message of a traffic thread; ctx is the struct control. */
void control_on_message(void *ctx, struct mailbox_message *msg);

#endif
