#include "daemon/lease_control.h"

#include <inttypes.h>
#include <string.h>
#include <sys/stat.h>

#include "adapters/messages.h"
#include "adapters/peers.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/json_text.h"
#include "base/log.h"
#include "base/loop_lag.h"
#include "base/random.h"
#include "base/timer.h"
#include "core/lease_node.h"
#include "core/lease_node_status.h"
#include "daemon/monitor.h"
#include "platform/caller_api.h"
#include "platform/store_sync.h"
#include "platform/wire_text.h"
#include "platform/worker_client.h"
#include "wire/frame.h"

/* While a job is open; stopping a run takes longer than a tick. */
#define BUSY_TICK_MS 20
#define IDLE_TICK_MS 100 /* heartbeats are due every 120 ms */
#define LAG_SAMPLE_MS 25 /* several in each 200 ms window of the leader */
#define SETTINGS_POLL_MS 2000 /* the file may change without a signal */
/* The balancer checks readiness every second and acts on the second failure. */
#define BALANCER_NOTICE_MS 2500
/* The process ends this long before the platform would kill it. */
#define STOP_MARGIN_MS 700
/* Time to send the answers to all jobs still open at the end of a shutdown. */
#define FINAL_ANSWERS_MS 300
/* Delay for batching messages to relays; short compared with a task. */
#define FLUSH_DELAY_US 1000
/* A peer link is reopened when sent data is unacknowledged for longer. */
#define LINK_SILENCE_TIMEOUT_MS 1500

struct lease_control {
	const struct settings *settings;
	const char *settings_path;
	struct timespec settings_time; /* of the file's last change */
	struct tevent_context *ev;
	struct loop_timer *timers;
	struct loop_timer_subscription *tick;
	struct tevent_timer *flush; /* NULL: no messages to flush */
	struct mailbox *mailbox; /* from the peer links */
	void *peers;
	uint64_t incarnation;
	struct lease_node_ports ports;
	struct lease_node *node;
	struct worker_client *workers;
	struct caller_api *callers;
	struct store_sync *store;
	uint64_t stop_ms; /* when the shutdown began; 0: it has not */
};

/* Ports of the core */

static void port_answer(void *ctx, const struct lease_node_answer *answer)
{
	struct lease_control *control = ctx;

	caller_api_answer(control->callers, answer);
}

static void port_send(void *ctx, uint64_t incarnation,
		      const Bergamot__Peer *peer)
{
	struct lease_control *control = ctx;
	struct message_peer_send *msg =
		message_create(struct message_peer_send, MESSAGE_PEER_SEND);

	msg->incarnation = incarnation;
	msg->frame = frame_pack(msg, peer);
	peers_handle(control->peers, &msg->head);
}

static void port_dial(void *ctx, const char *address)
{
	struct lease_control *control = ctx;
	struct message_peer_address *msg =
		message_create(struct message_peer_address, MESSAGE_PEER_DIAL);

	msg->address = talloc_strdup(msg, address);
	peers_handle(control->peers, &msg->head);
}

static struct queue_config *port_parse_config(void *ctx, TALLOC_CTX *mem,
					      const char *text, size_t len)
{
	const char *message;
	struct queue_config *config =
		wire_text_config(mem, text, len, &message);

	(void)ctx;
	if (!config)
		log_warning(LOG_CONFIG, "configuration document rejected: %s",
			    message);
	return config;
}

static uint64_t port_wall_ms(void *ctx)
{
	(void)ctx;
	return clock_wall_us() / 1000;
}

static void on_flush(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *private_data)
{
	struct lease_control *control = private_data;

	(void)ev;
	(void)te;
	(void)now;
	control->flush = NULL;
	lease_node_flush(control->node, clock_now_ms());
}

static void port_wake(void *ctx)
{
	struct lease_control *control = ctx;

	if (!control->flush)
		control->flush = tevent_add_timer(
			control->ev, control,
			tevent_timeval_current_ofs(0, FLUSH_DELAY_US), on_flush,
			control);
}

static void port_refresh_workers(void *ctx)
{
	struct lease_control *control = ctx;

	if (control->store)
		store_sync_refresh_workers(control->store);
}

static void port_keep_late_starts(void *ctx, const Bergamot__LateStarts *msg)
{
	struct lease_control *control = ctx;

	store_sync_keep_late_starts(control->store, msg);
}

static void set_ports(struct lease_control *control)
{
	control->ports = (struct lease_node_ports){
		.ctx = control,
		.workers = worker_client_ports(control->workers),
		.answer = port_answer,
		.send = port_send,
		.dial = port_dial,
		.parse_config = port_parse_config,
		.wall_ms = port_wall_ms,
		.wake = port_wake,
		.refresh_workers = port_refresh_workers,
		.keep_late_starts = port_keep_late_starts,
	};
}

/* Messages of the peer links */

static void on_message(void *ctx, struct mailbox_message *head)
{
	struct lease_control *control = ctx;
	uint64_t now_ms = clock_now_ms();

	switch (head->kind) {
	case MESSAGE_PEER_UP:
		lease_node_peer_up(
			control->node,
			((struct message_peer_up *)head)->peer->hello, now_ms);
		break;
	case MESSAGE_PEER_DOWN:
		lease_node_peer_down(
			control->node,
			((struct message_peer_down *)head)->incarnation,
			now_ms);
		break;
	case MESSAGE_PEER_MESSAGE:
		lease_node_peer_message(
			control->node,
			((struct message_peer_message *)head)->incarnation,
			((struct message_peer_message *)head)->peer, now_ms);
		break;
	}
	talloc_free(head);
}

/* Time */

static void poll_settings(void *ctx, uint64_t now_ms)
{
	struct lease_control *control = ctx;
	enum settings_status status;
	struct settings *s;
	struct stat st;
	char *message;

	(void)now_ms;
	if (!control->settings_path || stat(control->settings_path, &st) ||
	    !memcmp(&st.st_mtim, &control->settings_time, sizeof(st.st_mtim)))
		return;
	control->settings_time = st.st_mtim;
	s = settings_load(control, control->settings_path, &status, &message);
	if (s)
		lease_control_reload(control, s);
	else
		log_warning(
			LOG_MAIN,
			"settings file cannot be reloaded, earlier settings "
			"stay in force: %s",
			message);
	talloc_free(s);
	talloc_free(message);
}

/* Longest time from SIGTERM to the end of the process. */
static uint64_t stop_limit_ms(const struct lease_control *control)
{
	uint64_t limit_ms = (uint64_t)(control->settings->grace_s * 1000);

	return limit_ms > STOP_MARGIN_MS ? limit_ms - STOP_MARGIN_MS : 0;
}

/* Time at which all jobs still open are answered. */
static uint64_t final_answers_ms(const struct lease_control *control)
{
	uint64_t limit_ms = stop_limit_ms(control);

	return control->stop_ms +
	       (limit_ms > FINAL_ANSWERS_MS ? limit_ms - FINAL_ANSWERS_MS : 0);
}

static void on_tick(void *ctx, uint64_t now_ms)
{
	struct lease_control *control = ctx;

	lease_node_tick(control->node, now_ms);
	if (control->stop_ms && now_ms >= final_answers_ms(control))
		lease_node_end_jobs(control->node, now_ms);
	loop_timer_set_period(control->tick, lease_node_is_idle(control->node)
						     ? IDLE_TICK_MS
						     : BUSY_TICK_MS);
}

void lease_control_begin_stop(struct lease_control *control)
{
	if (control->stop_ms)
		return;
	control->stop_ms = clock_now_ms();
	lease_node_begin_stop(control->node, final_answers_ms(control),
			      control->stop_ms);
	store_sync_leave(control->store);
	caller_api_close_after_answer(control->callers);
}

bool lease_control_is_stopped(const struct lease_control *control)
{
	uint64_t now_ms = clock_now_ms();

	if (!control->stop_ms)
		return false;
	if (now_ms - control->stop_ms >= stop_limit_ms(control))
		return true;
	return now_ms - control->stop_ms >= BALANCER_NOTICE_MS &&
	       !lease_node_count_open_jobs(control->node) &&
	       !caller_api_connections(control->callers);
}

static void dial_seeds(struct lease_control *control,
		       const struct settings *settings)
{
	for (char **seed = settings->peers_seeds; seed && *seed; seed++)
		lease_node_member_listed(control->node, *seed);
}

void lease_control_reload(struct lease_control *control,
			  const struct settings *settings)
{
	log_info(LOG_MAIN, "settings reloaded; peers.seeds applied");
	dial_seeds(control, settings);
}

/* Construction */

static uint8_t *pack_hello(struct lease_control *control)
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

static bool start_peers(struct lease_control *control)
{
	struct mailbox_options mailbox = {
		.ev = control->ev,
		.handler = on_message,
		.ctx = control,
	};
	struct peers_options options = {
		.listen = control->settings->peers_listen,
		.cluster = control->settings->cluster,
		.silence_ms = LINK_SILENCE_TIMEOUT_MS,
	};

	control->mailbox = mailbox_create(control, &mailbox);
	if (!control->mailbox)
		return false;
	options.control = control->mailbox;
	options.hello = pack_hello(control);
	options.hello_len = talloc_get_size(options.hello);
	control->peers = peers_init(control, control->ev, &options);
	return control->peers != NULL;
}

static void create_node(struct lease_control *control)
{
	const struct settings *s = control->settings;
	struct lease_node_options options = {
		.ports = &control->ports,
		.instance = s->instance,
		.data_centre = s->data_centre,
		.address = s->peers_listen,
		.incarnation = control->incarnation,
		.seed = random_identity(),
		.weight = (uint32_t)(s->machine_cores * 1000),
		.first_start = s->first_start,
		.lease_ms = (uint32_t)s->lease_ms,
		.stop_ms = (uint32_t)s->lease_stop_ms,
		.far_factor = s->far_factor,
		.direct_workers = (uint32_t)s->direct_workers,
		.admission = s->queue_admission,
		.order = lease_find_order(s->queue_order),
		.place = place_find(s->lease_placement),
		.now_ms = clock_now_ms(),
	};

	control->node = lease_node_create(control, &options);
}

static const char *start_callers(struct lease_control *control)
{
	const struct settings *s = control->settings;
	const char *message;
	struct caller_api_options options = {
		.ev = control->ev,
		.node = &control->node,
		.callers_listen = s->callers_listen,
		.readiness_listen = s->readiness_listen,
		.body_bytes = (size_t)s->callers_body_bytes,
		.header_bytes = (size_t)s->callers_header_bytes,
		.connections = (unsigned)s->callers_connections,
		.idle_ms = (unsigned)s->callers_idle_ms,
		.job_tasks = (uint32_t)s->job_tasks,
	};

	control->callers = caller_api_create(control, &options, &message);
	return message;
}

static json_object *show_status(void *ctx)
{
	struct lease_control *control = ctx;
	json_object *obj = lease_node_status(control->node, clock_now_ms());
	struct store_left left = store_sync_budget_left(control->store);

	json_text_add_number(obj, "callers",
			     caller_api_connections(control->callers));
	json_text_add_number(obj, "store_failures",
			     counter_get(COUNTER_STORE_FAILURES));
	json_text_add_number(obj, "store_reads_left",
			     left.reads > 0 ? (uint64_t)left.reads : 0);
	json_text_add_number(obj, "store_writes_left",
			     left.writes > 0 ? (uint64_t)left.writes : 0);
	return obj;
}

static bool start_monitor(struct lease_control *control)
{
	struct monitor_options options = {
		.ev = control->ev,
		.listen = control->settings->metrics_listen,
		.status = show_status,
		.ctx = control,
	};

	return !options.listen || monitor_create(control, &options);
}

static bool is_lag_needed(void *ctx)
{
	struct lease_control *control = ctx;

	return lease_node_leads(control->node);
}

static void on_lag(void *ctx, uint64_t lag_ms)
{
	struct lease_control *control = ctx;

	lease_node_record_lag(control->node, lag_ms);
}

static bool start_lag_measurement(struct lease_control *control)
{
	struct loop_lag_options options = {
		.ev = control->ev,
		.timers = control->timers,
		.period_ms = LAG_SAMPLE_MS,
		.is_enabled = is_lag_needed,
		.on_measured = on_lag,
		.ctx = control,
	};

	return loop_lag_create(control, &options) != NULL;
}

static void start_store(struct lease_control *control)
{
	struct store_sync_options options = {
		.ev = control->ev,
		.timers = control->timers,
		.node = control->node,
		.store = control->settings->store_address,
		.reads_per_s = control->settings->store_reads_per_s,
		.writes_per_s = control->settings->store_writes_per_s,
		.incarnation = control->incarnation,
		.peer_address = control->settings->peers_listen,
		.seed = random_identity(),
	};

	control->store = store_sync_create(control, &options);
}

static const char *start(struct lease_control *control)
{
	struct worker_client_options workers = { .ev = control->ev,
						 .node = &control->node };
	const char *message;

	control->workers = worker_client_create(control, &workers);
	set_ports(control);
	if (!start_peers(control))
		return "cannot listen on the address of peers.listen";
	create_node(control);
	message = start_callers(control);
	if (message)
		return message;
	control->timers = loop_timer_create(control, control->ev);
	start_store(control);
	if (!start_monitor(control))
		return "cannot listen on the address of metrics.listen";
	if (!start_lag_measurement(control))
		return "cannot open a pipe: no file descriptors are left";
	dial_seeds(control, control->settings);
	control->tick = loop_timer_subscribe(control->timers, BUSY_TICK_MS,
					     on_tick, control);
	loop_timer_subscribe(control->timers, SETTINGS_POLL_MS, poll_settings,
			     control);
	return NULL;
}

struct lease_control *lease_control_create(TALLOC_CTX *mem,
					   struct tevent_context *ev,
					   const struct settings *settings,
					   const char *settings_path,
					   const char **message)
{
	struct lease_control *control = talloc_zero(mem, struct lease_control);
	struct stat st;

	control->settings = settings;
	control->settings_path = settings_path;
	if (settings_path && !stat(settings_path, &st))
		control->settings_time = st.st_mtim;
	control->ev = ev;
	control->incarnation = random_identity();
	*message = start(control);
	if (!*message)
		return control;
	talloc_free(control);
	return NULL;
}
