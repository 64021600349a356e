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
#include "core/lease_status.h"
#include "daemon/monitor.h"
#include "platform/caller_api.h"
#include "platform/store_sync.h"
#include "platform/wire_text.h"
#include "platform/worker_client.h"
#include "wire/frame.h"

#define BUSY_TICK_MS 20 /* while a job is open; a stop takes longer */
#define IDLE_TICK_MS 100 /* beats are due every 120 ms */
#define LAG_EVERY_MS 25 /* some in each of the leader's windows (200 ms) */
#define SETTINGS_POLL_MS 2000 /* the file may change without a signal */
/* The balancer asks every second and believes the second refusal. */
#define BALANCER_MS 2500
#define STOP_MARGIN_MS 700 /* before the process would be killed */
/* Answers to all that is still open then have time to be sent. */
#define LAST_ANSWERS_MS 300
/* Messages for relays gather so long; a task takes many times that. */
#define GATHER_US 1000
/* A link that takes nothing for so long is opened anew. */
#define LINK_SILENCE_MS 1500

struct lct {
	const struct set_settings *settings;
	const char *settings_path;
	struct timespec settings_time; /* of the file's last change */
	struct tevent_context *ev;
	struct tmr *timers;
	struct tmr_subscription *tick;
	struct tevent_timer *flush; /* NULL: nothing has gathered */
	struct mbx *mailbox; /* from the peer links */
	void *peers;
	uint64_t incarnation;
	struct lnd_ports ports;
	struct lnd *node;
	struct wkc *workers;
	struct cap *callers;
	struct sts *store;
	uint64_t stop_ms; /* when the shutdown began; 0: it has not */
};

/* Ports of the core */

static void port_answer(void *ctx, const struct lnd_answer *answer)
{
	struct lct *lct = ctx;

	cap_answer(lct->callers, answer);
}

static void port_send(void *ctx, uint64_t incarnation,
		      const Bergamot__Peer *peer)
{
	struct lct *lct = ctx;
	struct msg_peer_send *msg =
		msg_create(struct msg_peer_send, MSG_PEER_SEND);

	msg->incarnation = incarnation;
	msg->frame = frm_pack(msg, peer);
	prs_handle(lct->peers, &msg->head);
}

static void port_dial(void *ctx, const char *address)
{
	struct lct *lct = ctx;
	struct msg_peer_address *msg =
		msg_create(struct msg_peer_address, MSG_PEER_DIAL);

	msg->address = talloc_strdup(msg, address);
	prs_handle(lct->peers, &msg->head);
}

static struct qcf *port_parse_config(void *ctx, TALLOC_CTX *mem,
				     const char *text, size_t len)
{
	const char *message;
	struct qcf *config = wtx_config(mem, text, len, &message);

	(void)ctx;
	if (!config)
		log_warning(LOG_CONFIG, "configuration not taken: %s", message);
	return config;
}

static uint64_t port_wall_ms(void *ctx)
{
	(void)ctx;
	return clk_wall_us() / 1000;
}

static void on_flush(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *private_data)
{
	struct lct *lct = private_data;

	(void)ev;
	(void)te;
	(void)now;
	lct->flush = NULL;
	lnd_flush(lct->node, clk_now_ms());
}

static void port_wake(void *ctx)
{
	struct lct *lct = ctx;

	if (!lct->flush)
		lct->flush = tevent_add_timer(
			lct->ev, lct, tevent_timeval_current_ofs(0, GATHER_US),
			on_flush, lct);
}

static void set_ports(struct lct *lct)
{
	lct->ports = (struct lnd_ports){
		.ctx = lct,
		.workers = wkc_ports(lct->workers),
		.answer = port_answer,
		.send = port_send,
		.dial = port_dial,
		.parse_config = port_parse_config,
		.wall_ms = port_wall_ms,
		.wake = port_wake,
	};
}

/* Messages of the peer links */

static void on_message(void *ctx, struct mbx_message *head)
{
	struct lct *lct = ctx;
	uint64_t now_ms = clk_now_ms();

	switch (head->kind) {
	case MSG_PEER_UP:
		lnd_peer_up(lct->node,
			    ((struct msg_peer_up *)head)->peer->hello, now_ms);
		break;
	case MSG_PEER_DOWN:
		lnd_peer_down(lct->node,
			      ((struct msg_peer_down *)head)->incarnation,
			      now_ms);
		break;
	case MSG_PEER_MESSAGE:
		lnd_peer_message(lct->node,
				 ((struct msg_peer_message *)head)->incarnation,
				 ((struct msg_peer_message *)head)->peer,
				 now_ms);
		break;
	}
	talloc_free(head);
}

/* Time */

static void poll_settings(void *ctx, uint64_t now_ms)
{
	struct lct *lct = ctx;
	enum set_status status;
	struct set_settings *s;
	struct stat st;
	char *message;

	(void)now_ms;
	if (!lct->settings_path || stat(lct->settings_path, &st) ||
	    !memcmp(&st.st_mtim, &lct->settings_time, sizeof(st.st_mtim)))
		return;
	lct->settings_time = st.st_mtim;
	s = set_load(lct, lct->settings_path, &status, &message);
	if (s)
		lct_reload(lct, s);
	else
		log_warning(LOG_MAIN, "settings not reloaded: %s", message);
	talloc_free(s);
	talloc_free(message);
}

/* Time between SIGTERM and the end of the process, at the latest. */
static uint64_t stop_limit_ms(const struct lct *lct)
{
	uint64_t limit_ms = (uint64_t)(lct->settings->grace_s * 1000);

	return limit_ms > STOP_MARGIN_MS ? limit_ms - STOP_MARGIN_MS : 0;
}

/* When all that is still open is answered. */
static uint64_t last_answers_ms(const struct lct *lct)
{
	uint64_t limit_ms = stop_limit_ms(lct);

	return lct->stop_ms +
	       (limit_ms > LAST_ANSWERS_MS ? limit_ms - LAST_ANSWERS_MS : 0);
}

static void on_tick(void *ctx, uint64_t now_ms)
{
	struct lct *lct = ctx;

	lnd_tick(lct->node, now_ms);
	if (lct->stop_ms && now_ms >= last_answers_ms(lct))
		lnd_end_jobs(lct->node, now_ms);
	tmr_set_period(lct->tick,
		       lnd_is_idle(lct->node) ? IDLE_TICK_MS : BUSY_TICK_MS);
}

void lct_begin_stop(struct lct *lct)
{
	if (lct->stop_ms)
		return;
	lct->stop_ms = clk_now_ms();
	lnd_begin_stop(lct->node, last_answers_ms(lct), lct->stop_ms);
	sts_leave(lct->store);
	cap_close_soon(lct->callers);
}

bool lct_is_stopped(const struct lct *lct)
{
	uint64_t now_ms = clk_now_ms();

	if (!lct->stop_ms)
		return false;
	if (now_ms - lct->stop_ms >= stop_limit_ms(lct))
		return true;
	return now_ms - lct->stop_ms >= BALANCER_MS &&
	       !lnd_open_jobs(lct->node) && !cap_connections(lct->callers);
}

static void dial_seeds(struct lct *lct, const struct set_settings *settings)
{
	for (char **seed = settings->peers_seeds; seed && *seed; seed++)
		lnd_member_listed(lct->node, *seed);
}

void lct_reload(struct lct *lct, const struct set_settings *settings)
{
	log_info(LOG_MAIN, "settings read again; seeds are taken over");
	dial_seeds(lct, settings);
}

/* Construction */

static uint8_t *pack_hello(struct lct *lct)
{
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	Bergamot__Hello hello = BERGAMOT__HELLO__INIT;
	const struct set_settings *s = lct->settings;

	hello.cluster = s->cluster;
	hello.instance = s->instance;
	hello.data_centre = s->data_centre;
	hello.incarnation = lct->incarnation;
	hello.address =
		s->peers_advertise ? s->peers_advertise : s->peers_listen;
	hello.protocol = 1;
	peer.body_case = BERGAMOT__PEER__BODY_HELLO;
	peer.hello = &hello;
	return frm_pack(lct, &peer);
}

static bool start_peers(struct lct *lct)
{
	struct mbx_options mailbox = {
		.ev = lct->ev,
		.handler = on_message,
		.ctx = lct,
	};
	struct prs_options options = {
		.listen = lct->settings->peers_listen,
		.cluster = lct->settings->cluster,
		.silence_ms = LINK_SILENCE_MS,
	};

	lct->mailbox = mbx_create(lct, &mailbox);
	if (!lct->mailbox)
		return false;
	options.control = lct->mailbox;
	options.hello = pack_hello(lct);
	options.hello_len = talloc_get_size(options.hello);
	lct->peers = prs_init(lct, lct->ev, &options);
	return lct->peers != NULL;
}

static void create_node(struct lct *lct)
{
	const struct set_settings *s = lct->settings;
	struct lnd_options options = {
		.ports = &lct->ports,
		.instance = s->instance,
		.data_centre = s->data_centre,
		.address = s->peers_listen,
		.incarnation = lct->incarnation,
		.seed = rnd_identity(),
		.weight = (uint32_t)(s->machine_cores * 1000),
		.first_start = s->first_start,
		.lease_ms = (uint32_t)s->lease_ms,
		.stop_ms = (uint32_t)s->lease_stop_ms,
		.far_factor = s->far_factor,
		.direct_workers = (uint32_t)s->direct_workers,
		.admission = s->queue_admission,
		.order = ldp_find_order(s->queue_order),
		.place = lpc_find(s->lease_placement),
		.now_ms = clk_now_ms(),
	};

	lct->node = lnd_create(lct, &options);
}

static const char *start_callers(struct lct *lct)
{
	const struct set_settings *s = lct->settings;
	const char *message;
	struct cap_options options = {
		.ev = lct->ev,
		.node = &lct->node,
		.callers_listen = s->callers_listen,
		.readiness_listen = s->readiness_listen,
		.body_bytes = (size_t)s->callers_body_bytes,
		.header_bytes = (size_t)s->callers_header_bytes,
		.connections = (unsigned)s->callers_connections,
		.idle_ms = (unsigned)s->callers_idle_ms,
		.job_tasks = (uint32_t)s->job_tasks,
	};

	lct->callers = cap_create(lct, &options, &message);
	return message;
}

static json_object *show_status(void *ctx)
{
	struct lct *lct = ctx;
	json_object *obj = lnd_status(lct->node, clk_now_ms());
	struct stc_left left = sts_left(lct->store);

	jsn_add_number(obj, "callers", cap_connections(lct->callers));
	jsn_add_number(obj, "store_failures", ctr_get(CTR_STORE_FAILURES));
	jsn_add_number(obj, "store_reads_left",
		       left.reads > 0 ? (uint64_t)left.reads : 0);
	jsn_add_number(obj, "store_writes_left",
		       left.writes > 0 ? (uint64_t)left.writes : 0);
	return obj;
}

static bool start_monitor(struct lct *lct)
{
	struct mon_options options = {
		.ev = lct->ev,
		.listen = lct->settings->metrics_listen,
		.status = show_status,
		.ctx = lct,
	};

	return !options.listen || mon_create(lct, &options);
}

static bool lag_is_wanted(void *ctx)
{
	struct lct *lct = ctx;

	return lnd_leads(lct->node);
}

static void on_lag(void *ctx, uint64_t lag_ms)
{
	struct lct *lct = ctx;

	lnd_note_lag(lct->node, lag_ms);
}

static bool start_lag(struct lct *lct)
{
	struct llg_options options = {
		.ev = lct->ev,
		.timers = lct->timers,
		.every_ms = LAG_EVERY_MS,
		.wanted = lag_is_wanted,
		.measured = on_lag,
		.ctx = lct,
	};

	return llg_create(lct, &options) != NULL;
}

static void start_store(struct lct *lct)
{
	struct sts_options options = {
		.ev = lct->ev,
		.timers = lct->timers,
		.node = lct->node,
		.store = lct->settings->store_address,
		.reads_per_s = lct->settings->store_reads_per_s,
		.writes_per_s = lct->settings->store_writes_per_s,
		.incarnation = lct->incarnation,
		.peer_address = lct->settings->peers_listen,
		.seed = rnd_identity(),
	};

	lct->store = sts_create(lct, &options);
}

static const char *start(struct lct *lct)
{
	struct wkc_options workers = { .ev = lct->ev, .node = &lct->node };
	const char *message;

	lct->workers = wkc_create(lct, &workers);
	set_ports(lct);
	if (!start_peers(lct))
		return "peers.listen cannot be listened on";
	create_node(lct);
	message = start_callers(lct);
	if (message)
		return message;
	lct->timers = tmr_create(lct, lct->ev);
	start_store(lct);
	if (!start_monitor(lct))
		return "metrics.listen cannot be listened on";
	if (!start_lag(lct))
		return "no descriptors are left";
	dial_seeds(lct, lct->settings);
	lct->tick = tmr_subscribe(lct->timers, BUSY_TICK_MS, on_tick, lct);
	tmr_subscribe(lct->timers, SETTINGS_POLL_MS, poll_settings, lct);
	return NULL;
}

struct lct *lct_create(TALLOC_CTX *mem, struct tevent_context *ev,
		       const struct set_settings *settings,
		       const char *settings_path, const char **message)
{
	struct lct *lct = talloc_zero(mem, struct lct);
	struct stat st;

	lct->settings = settings;
	lct->settings_path = settings_path;
	if (settings_path && !stat(settings_path, &st))
		lct->settings_time = st.st_mtim;
	lct->ev = ev;
	lct->incarnation = rnd_identity();
	*message = start(lct);
	if (!*message)
		return lct;
	talloc_free(lct);
	return NULL;
}
