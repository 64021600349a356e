#include <string.h>

#include "core/tests/fake_nodes_state.h"

#include "wire/frame.h"

#define MAX_STEP_MS 500 /* between two ticks in fakes_advance */

/* Ports */

static void port_stop(void *ctx, const struct port_stop *stop)
{
	(void)ctx;
	(void)stop;
}

static void port_query_usage(void *ctx, const char *worker, const char *address)
{
	(void)ctx;
	(void)worker;
	(void)address;
}

int fakes_find_member(const struct fake_nodes *f, uint64_t incarnation)
{
	for (int i = 0; i < FAKES_NODES; i++)
		if (f->members[i].node_state &&
		    f->members[i].incarnation == incarnation)
			return i;
	return -1;
}

static void port_send(void *ctx, uint64_t incarnation,
		      const Bergamot__Peer *msg)
{
	struct member *m = ctx;
	int from = (int)(m - m->f->members);
	int to = fakes_find_member(m->f, incarnation);
	struct packet *packet;

	if (to < 0 || !m->f->linked[from][to])
		return;
	packet = talloc_zero(NULL, struct packet);
	packet->frame = frame_pack(packet, msg);
	STAILQ_INSERT_TAIL(&m->f->queues[from][to], packet, entry);
}

static void port_address(void *ctx, const char *address)
{
	(void)ctx;
	(void)address;
}

static void port_read_config(void *ctx)
{
	(void)ctx;
}

static void port_watch_config(void *ctx, bool enabled)
{
	(void)ctx;
	(void)enabled;
}

static uint64_t port_random_id(void *ctx)
{
	struct member *m = ctx;

	return ++m->f->last_id;
}

static const struct ports fake_ports = {
	.reply = fakes_reply,
	.start = fakes_start,
	.stop = port_stop,
	.query_usage = port_query_usage,
	.send = port_send,
	.dial = port_address,
	.hang_up = port_address,
	.read_config = port_read_config,
	.watch_config = port_watch_config,
	.write_config = fakes_write_config,
	.operator_reply = fakes_operator_reply,
	.claim_key = fakes_claim_key,
	.random_id = port_random_id,
};

/* Nodes */

struct fake_nodes *fakes_create(void)
{
	struct fake_nodes *f = talloc_zero(NULL, struct fake_nodes);

	TAILQ_INIT(&f->starts);
	for (int a = 0; a < FAKES_NODES; a++)
		for (int b = 0; b < FAKES_NODES; b++)
			STAILQ_INIT(&f->queues[a][b]);
	f->now_ms = 1000;
	return f;
}

static struct settings *make_settings(TALLOC_CTX *mem, int node)
{
	enum settings_status status;
	char *message;
	char *text = talloc_asprintf(
		mem,
		"{\"cluster\":\"c\",\"instance\":\"n%d\","
		"\"data_centre\":\"%s\",\"platform\":{\"url\":\"-\"},"
		"\"jobs\":{\"deadline_ms\":%d},"
		"\"records\":{\"ttl_ms\":%d,\"answer_ms\":3000}}",
		node, node < 2 ? "a" : "b", FAKES_DEADLINE_MS, FAKES_TTL_MS);
	struct settings *s = settings_parse(mem, "fake", text, strlen(text),
					    &status, &message);

	HOLDS(s, "the settings of the fake nodes are valid");
	return s;
}

void fakes_boot(struct fake_nodes *f, int node)
{
	struct member *m = &f->members[node];
	struct node_options options = {
		.ports = &m->ports,
		.seed = 7,
		.now_ms = f->now_ms,
	};

	m->f = f;
	m->ports = fake_ports;
	m->ports.ctx = m;
	m->incarnation = ++f->last_id;
	m->stopping = false;
	m->config_version = 0;
	m->settings = make_settings(f, node);
	options.settings = m->settings;
	options.incarnation = m->incarnation;
	m->node_state = node_create(NULL, &options);
}

bool fakes_is_up(const struct fake_nodes *f, int node)
{
	return f->members[node].node_state != NULL;
}

struct node *fakes_node(struct fake_nodes *f, int node)
{
	return f->members[node].node_state;
}

static void drop_queue(struct fake_nodes *f, int a, int b)
{
	struct packet *p;

	while ((p = STAILQ_FIRST(&f->queues[a][b]))) {
		STAILQ_REMOVE_HEAD(&f->queues[a][b], entry);
		talloc_free(p);
	}
}

static void report_down(struct fake_nodes *f, int node, int other)
{
	struct node *node_state = f->members[node].node_state;

	if (node_state)
		node_peer_down(node_state, f->members[other].incarnation,
			       f->now_ms);
}

void fakes_cut(struct fake_nodes *f, int a, int b)
{
	if (!f->linked[a][b])
		return;
	f->linked[a][b] = f->linked[b][a] = false;
	fakes_reports_lost(f, a, b);
	drop_queue(f, a, b);
	drop_queue(f, b, a);
	report_down(f, a, b);
	report_down(f, b, a);
}

static void report_up(struct fake_nodes *f, int node, int other)
{
	Bergamot__Hello hello = BERGAMOT__HELLO__INIT;

	node_hello(f->members[other].node_state, &hello);
	node_peer_up(f->members[node].node_state, &hello, f->now_ms);
}

void fakes_link(struct fake_nodes *f, int a, int b)
{
	if (a == b || f->linked[a][b] || !fakes_is_up(f, a) ||
	    !fakes_is_up(f, b))
		return;
	f->linked[a][b] = f->linked[b][a] = true;
	report_up(f, a, b);
	report_up(f, b, a);
}

void fakes_join(struct fake_nodes *f, int node)
{
	fakes_boot(f, node);
	for (int i = 0; i < FAKES_NODES; i++)
		fakes_link(f, node, i);
}

void fakes_kill(struct fake_nodes *f, int node)
{
	struct node *node_state = f->members[node].node_state;

	if (!node_state)
		return;
	f->members[node].node_state = NULL;
	memset(f->must_know_leaving[node], 0,
	       sizeof(f->must_know_leaving[node]));
	for (int i = 0; i < f->request_count; i++)
		if (f->requests[i].node == node)
			f->requests[i].node = -1;
	for (int i = 0; i < FAKES_NODES; i++)
		fakes_cut(f, node, i);
	talloc_free(node_state);
	TALLOC_FREE(f->members[node].settings);
}

void fakes_exit_stopped(struct fake_nodes *f)
{
	for (int n = 0; n < FAKES_NODES; n++) {
		struct member *m = &f->members[n];

		if (!m->node_state || !m->stopping ||
		    !node_is_stopped(m->node_state))
			continue;
		for (int i = 0; i < f->request_count; i++)
			HOLDS(f->requests[i].node != n ||
				      f->requests[i].kind >= 0,
			      "a stopped process has answered its requests");
		fakes_kill(f, n);
	}
}

void fakes_check_config(struct fake_nodes *f)
{
	for (int i = 0; i < FAKES_NODES; i++) {
		struct member *m = &f->members[i];
		uint64_t version =
			m->node_state ? config_version(m->node_state->config)
				      : 0;

		if (!m->node_state)
			continue;
		HOLDS(version >= m->config_version,
		      "a node never returns to an older configuration");
		HOLDS(!f->document || version <= f->version,
		      "no node has a newer configuration than the platform");
		m->config_version = version;
	}
}

void fakes_stop(struct fake_nodes *f, int node)
{
	struct member *m = &f->members[node];

	if (!m->node_state || m->stopping)
		return;
	m->stopping = true;
	node_begin_stop(m->node_state, f->now_ms);
}

bool fakes_deliver(struct fake_nodes *f, int a, int b)
{
	struct packet *p = STAILQ_FIRST(&f->queues[a][b]);
	struct frame_reader *reader;
	Bergamot__Peer *msg;

	if (!p)
		return false;
	STAILQ_REMOVE_HEAD(&f->queues[a][b], entry);
	reader = frame_reader_create(p);
	frame_feed(reader, p->frame, talloc_get_size(p->frame));
	HOLDS(frame_next(reader, &msg) == FRAME_OK,
	      "a packed message can be unpacked");
	node_peer_message(f->members[b].node_state, f->members[a].incarnation,
			  msg, f->now_ms);
	frame_free(msg);
	talloc_free(p);
	fakes_check_config(f);
	return true;
}

void fakes_deliver_all(struct fake_nodes *f)
{
	bool moved = true;

	while (moved) {
		moved = false;
		for (int a = 0; a < FAKES_NODES; a++)
			for (int b = 0; b < FAKES_NODES; b++)
				moved |= fakes_deliver(f, a, b);
	}
	fakes_reports_delivered(f);
}

struct fake_nodes *fakes_create_joined(void)
{
	struct fake_nodes *f = fakes_create();

	for (int i = 0; i < FAKES_NODES; i++)
		fakes_join(f, i);
	fakes_deliver_all(f);
	fakes_offer_config(f, 0, 1, 8);
	fakes_deliver_all(f);
	fakes_advance(f, 1000);
	fakes_deliver_all(f);
	return f;
}

/* Time */

static void check_deadlines(const struct fake_nodes *f, int node)
{
	for (int i = 0; i < f->request_count; i++) {
		const struct request *r = &f->requests[i];

		HOLDS(r->node != node || r->kind >= 0 ||
			      r->deadline_ms > f->now_ms,
		      "each request is answered by its deadline");
	}
}

static void tick(struct fake_nodes *f, int node)
{
	if (!fakes_is_up(f, node))
		return;
	node_tick(f->members[node].node_state, f->now_ms);
	check_deadlines(f, node);
}

void fakes_advance(struct fake_nodes *f, uint64_t ms)
{
	while (ms) {
		uint64_t step = ms < MAX_STEP_MS ? ms : MAX_STEP_MS;

		ms -= step;
		f->now_ms += step;
		fakes_expire_keys(f);
		for (int i = 0; i < FAKES_NODES; i++)
			tick(f, i);
	}
	fakes_exit_stopped(f);
}

void fakes_pause(struct fake_nodes *f, int node, uint64_t ms)
{
	f->now_ms += ms;
	fakes_expire_keys(f);
	for (int i = 0; i < FAKES_NODES; i++)
		if (i != node)
			tick(f, i);
	if (fakes_is_up(f, node))
		node_process_paused(f->members[node].node_state, ms, f->now_ms);
	tick(f, node);
	fakes_exit_stopped(f);
}

/* End */

void fakes_finish(struct fake_nodes *f)
{
	for (int i = 0; i < 6; i++) {
		fakes_deliver_all(f);
		fakes_advance(f, FAKES_DEADLINE_MS / 4);
	}
	for (int i = 0; i < f->request_count; i++)
		HOLDS(f->requests[i].node < 0 || f->requests[i].kind >= 0,
		      "every request is answered");
}

void fakes_free(struct fake_nodes *f)
{
	for (int i = 0; i < FAKES_NODES; i++)
		fakes_kill(f, i);
	fakes_free_starts(f);
	talloc_free(f);
}
