#include "daemon/control_state.h"

#include <string.h>

#include "adapters/callers.h"
#include "adapters/peers.h"
#include "adapters/platform.h"
#include "adapters/targets.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/random.h"
#include "base/timeline.h"
#include "wire/frame.h"

#define IDLE_TICK_MS 100
/* If the event loop did not run for longer, the process was paused. */
#define PAUSE_THRESHOLD_MS 2000

/* Time */

void control_check_pause(struct control *control, uint64_t now_ms)
{
	uint64_t gap_ms = now_ms > control->last_run_ms
				  ? now_ms - control->last_run_ms
				  : 0;

	control->last_run_ms = now_ms;
	if (gap_ms > PAUSE_THRESHOLD_MS)
		node_process_paused(control->node, gap_ms, now_ms);
}

static void on_tick(void *ctx, uint64_t now_ms)
{
	struct control *control = ctx;

	control_check_pause(control, now_ms);
	node_tick(control->node, now_ms);
	if (node_is_idle(control->node) && !control->shutdown.began_ms)
		loop_timer_set_period(control->tick, IDLE_TICK_MS);
	shutdown_tick(&control->shutdown, now_ms);
}

void control_begin_stop(struct control *control)
{
	loop_timer_set_period(control->tick, CONTROL_BUSY_TICK_MS);
	shutdown_begin(&control->shutdown, clock_now_ms());
}

bool control_is_stopped(const struct control *control)
{
	return shutdown_is_finished(&control->shutdown);
}

void control_reload(struct control *control, const struct settings *settings)
{
	if (settings->config)
		node_config_read(control->node, PORT_PLATFORM_OK,
				 settings->config, strlen(settings->config),
				 clock_now_ms());
}

/* Construction */

/* Returns false when a file is configured but holds no token. */
static bool read_token(struct control *control, const char *file, char **token)
{
	*token = file ? settings_read_secret(control, file) : NULL;
	return !file || *token;
}

static bool start_callers(struct control *control)
{
	struct callers_options options = {
		.control = control->mailbox,
		.settings = control->settings,
		.operators_token = control->operators_token,
	};
	struct thread_options thread = {
		.name = "callers",
		.init = callers_init,
		.arg = &options,
		.handler = callers_handle,
	};

	control->callers = thread_start(control, &thread);
	return control->callers != NULL;
}

static uint8_t *pack_hello(struct control *control)
{
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	Bergamot__Hello hello = BERGAMOT__HELLO__INIT;
	const struct settings *s = control->settings;

	hello.cluster = s->cluster;
	hello.instance = s->instance;
	hello.data_centre = s->data_centre;
	hello.incarnation = control->incarnation;
	hello.address =
		s->peers_advertise ? s->peers_advertise : s->peers_listen;
	hello.protocol = 1;
	peer.body_case = BERGAMOT__PEER__BODY_HELLO;
	peer.hello = &hello;
	return frame_pack(control, &peer);
}

static bool start_peers(struct control *control)
{
	struct peers_options options = {
		.control = control->mailbox,
		.listen = control->settings->peers_listen,
		.cluster = control->settings->cluster,
	};
	struct thread_options thread = {
		.name = "peers",
		.init = peers_init,
		.arg = &options,
		.handler = peers_handle,
	};

	control->hello = pack_hello(control);
	options.hello = control->hello;
	options.hello_len = talloc_get_size(control->hello);
	control->peers = thread_start(control, &thread);
	return control->peers != NULL;
}

static bool start_targets(struct control *control)
{
	struct targets_options options = {
		.control = control->mailbox,
		.worker_connections = control->settings->target_connections,
		.answer_bytes = (size_t)control->settings->answer_bytes,
	};
	struct thread_options thread = {
		.name = "targets",
		.init = targets_init,
		.arg = &options,
		.handler = targets_handle,
	};

	for (int i = 0; i < control->settings->target_threads; i++) {
		control->targets[i] = thread_start(control, &thread);
		if (!control->targets[i])
			return false;
		control->target_count++;
	}
	return true;
}

static bool start_platform(struct control *control)
{
	struct platform_options options = {
		.control = control->mailbox,
		.settings = control->settings,
		.token = control->platform_token,
	};
	struct thread_options thread = {
		.name = "platform",
		.init = platform_init,
		.arg = &options,
		.handler = platform_handle,
	};

	if (!control->settings->platform_url)
		return true;
	control->platform = thread_start(control, &thread);
	return control->platform != NULL;
}

static void create_node(struct control *control)
{
	struct node_options options = {
		.ports = &control->ports,
		.settings = control->settings,
		.incarnation = control->incarnation,
		.seed = random_identity(),
		.now_ms = clock_now_ms(),
	};

	control->node = node_create(control, &options);
}

static bool open_timeline(const struct control *control)
{
	struct timeline_options options = {
		.path = control->settings->timeline_file,
		.instance = control->settings->instance,
		.data_centre = control->settings->data_centre,
		.incarnation = control->incarnation,
	};

	return timeline_open(&options);
}

/* Returns NULL, or a message about what could not be opened or started. */
static const char *start(struct control *control)
{
	const struct settings *s = control->settings;

	if (!open_timeline(control))
		return "timeline.file cannot be opened";
	if (!read_token(control, s->operators_token_file,
			&control->operators_token))
		return "operators.token_file cannot be read or is empty";
	if (!read_token(control, s->platform_token_file,
			&control->platform_token))
		return "platform.token_file cannot be read or is empty";
	if (!start_targets(control))
		return "cannot start the threads that call targets";
	if (!start_peers(control))
		return "cannot listen on the address of peers.listen";
	if (!start_platform(control))
		return "cannot start the thread that calls the platform";
	if (!start_callers(control))
		return "cannot listen on the address of callers.listen or "
		       "operators.listen";
	return NULL;
}

struct control *control_create(TALLOC_CTX *mem, struct tevent_context *ev,
			       const struct settings *settings,
			       const char **message)
{
	struct control *control = talloc_zero(mem, struct control);
	struct mailbox_options mailbox = {
		.ev = ev,
		.handler = control_on_message,
		.ctx = control,
	};

	control->settings = settings;
	control->ev = ev;
	control->incarnation = random_identity();
	control_set_ports(control);
	control->mailbox = mailbox_create(control, &mailbox);
	*message = start(control);
	if (*message) {
		control_destroy(control);
		return NULL;
	}
	create_node(control);
	control->shutdown.settings = control->settings;
	control->shutdown.node = control->node;
	control->shutdown.callers = control->callers;
	control->last_run_ms = clock_now_ms();
	control->timers = loop_timer_create(control, ev);
	control->tick = loop_timer_subscribe(
		control->timers, CONTROL_BUSY_TICK_MS, on_tick, control);
	return control;
}

void control_destroy(struct control *control)
{
	if (control->callers)
		thread_stop(control->callers);
	if (control->peers)
		thread_stop(control->peers);
	if (control->platform)
		thread_stop(control->platform);
	for (int i = 0; i < control->target_count; i++)
		thread_stop(control->targets[i]);
	timeline_close();
	talloc_free(control);
}
