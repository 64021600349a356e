/*
 * Measures slopes for docs/CAPACITY.md on the core without I/O: bytes of state
 * and processor time by the number of records, tasks, workers, members and
 * teams. Prints points, linear fit and residual of each slope as a JSON line.
 */
#include <gsl/gsl_fit.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/settings.h"
#include "core/config.h"
#include "core/job_request.h"
#include "core/node.h"
#include "core/record.h"
#include "wire/deflate.h"
#include "wire/frame.h"

#define MAX_POINTS 8
#define BLOCK_HEADER_BYTES 96 /* added to the size of each talloc block */
#define REPEATS 5 /* a point is the median of this many runs */
#define INCARNATION 77
#define HEARTBEAT_PERIODS 16
#define TEAMS 150

/* Processor time of this thread in microseconds. */
static double cpu_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

/* Fakes of the ports; the tokens of starts are kept for answer_all(). */

struct fake {
	uint64_t next;
	uint64_t *tokens;
	size_t count;
	size_t sent_bytes;
	uint32_t numbering; /* of teams, as in the node's heartbeats */
	uint64_t replies;
	uint64_t usage_requests;
};

static void fake_reply(void *ctx, const struct port_reply *reply)
{
	(void)reply;
	((struct fake *)ctx)->replies++;
}

static void fake_start(void *ctx, const struct port_start *start)
{
	struct fake *f = ctx;

	f->tokens[f->count++] = start->token;
}

static void fake_stop(void *ctx, const struct port_stop *stop)
{
	(void)ctx;
	(void)stop;
}

static void fake_query_usage(void *ctx, const char *worker, const char *address)
{
	((struct fake *)ctx)->usage_requests++;
	(void)worker;
	(void)address;
}

static void fake_send(void *ctx, uint64_t incarnation,
		      const Bergamot__Peer *msg)
{
	struct fake *f = ctx;

	(void)incarnation;
	f->sent_bytes +=
		FRAME_HEADER_BYTES + bergamot__peer__get_packed_size(msg);
	if (msg->body_case == BERGAMOT__PEER__BODY_HEARTBEAT &&
	    msg->heartbeat->rates)
		f->numbering = msg->heartbeat->rates->numbering;
}

static void fake_address(void *ctx, const char *address)
{
	(void)ctx;
	(void)address;
}

static void fake_read_config(void *ctx)
{
	(void)ctx;
}

static void fake_write_config(void *ctx, uint64_t request, uint64_t base,
			      const char *document, size_t len)
{
	(void)ctx;
	(void)request;
	(void)base;
	(void)document;
	(void)len;
}

static void fake_claim(void *ctx, uint64_t request, const char *key,
		       const char *value)
{
	(void)ctx;
	(void)request;
	(void)key;
	(void)value;
}

static uint64_t fake_random_id(void *ctx)
{
	return ++((struct fake *)ctx)->next;
}

static const struct ports port_table = {
	.reply = fake_reply,
	.start = fake_start,
	.stop = fake_stop,
	.query_usage = fake_query_usage,
	.send = fake_send,
	.dial = fake_address,
	.hang_up = fake_address,
	.read_config = fake_read_config,
	.write_config = fake_write_config,
	.claim_key = fake_claim,
	.random_id = fake_random_id,
};

/* A node of data centre "a" with a given number of workers and teams. */

struct bench {
	TALLOC_CTX *mem;
	struct fake *fake;
	struct ports ports;
	struct settings *settings;
	struct node *node;
	uint64_t now_ms;
};

static char *make_document(TALLOC_CTX *mem, int version, int workers, int teams)
{
	char *text = talloc_asprintf(mem,
				     "{\"version\":%d,\"services\":[{\"name\":"
				     "\"quote\"}],\"workers\":[",
				     version);

	for (int i = 0; i < workers; i++)
		text = talloc_asprintf_append_buffer(
			text,
			"%s{\"name\":\"worker-%04d\",\"address\":"
			"\"10.20.%d.%d:9000\",\"data_centre\":\"a\",\"rack\":"
			"\"rack-%03d\",\"service\":\"quote\",\"slots\":8,"
			"\"drained\":false}",
			i ? "," : "", i, i / 250, i % 250, i / 8);
	text = talloc_strdup_append_buffer(text, "],\"teams\":[");
	for (int i = 0; i < teams; i++)
		text = talloc_asprintf_append_buffer(
			text,
			"%s{\"name\":\"team-%03d\",\"tasks_per_s\":2000,"
			"\"burst\":10000000,\"weight\":1}",
			i ? "," : "", i);
	return talloc_strdup_append_buffer(text, "]}");
}

static struct bench make_bench(int workers, int teams)
{
	struct bench b = { .mem = talloc_new(NULL), .now_ms = 1000 };
	struct node_options options = { .incarnation = INCARNATION, .seed = 1 };
	enum settings_status status;
	char *message;

	b.fake = talloc_zero(b.mem, struct fake);
	b.fake->tokens = talloc_array(b.fake, uint64_t, 1 << 20);
	b.settings = settings_load(b.mem, NULL, &status, &message);
	b.settings->data_centre = talloc_strdup(b.settings, "a");
	b.settings->record_memory_bytes = 2000000000;
	b.settings->dispatchers = 1;
	b.settings->config = make_document(b.settings, 1, workers, teams);
	options.settings = b.settings;
	options.now_ms = b.now_ms;
	b.ports = port_table;
	b.ports.ctx = b.fake;
	options.ports = talloc_memdup(b.mem, &b.ports, sizeof(b.ports));
	b.node = node_create(b.mem, &options);
	return b;
}

static struct job_request *make_job(int tasks)
{
	struct job_request_limits limits = { .tasks = 100000, .depth = 32 };
	char *text = talloc_strdup(NULL, "{\"service\":\"quote\",\"team\":"
					 "\"team-000\",\"tasks\":[");
	enum job_request_status status;
	struct job_request *job;
	char *message;

	for (int i = 0; i < tasks; i++)
		text = talloc_asprintf_append_buffer(
			text, "%s{\"run_ms\":100,\"body\":{\"scan\":%d}}",
			i ? "," : "", i);
	text = talloc_strdup_append_buffer(text, "]}");
	job = job_request_parse(NULL, text, strlen(text), &limits, &status,
				&message);
	talloc_free(text);
	return job;
}

static void answer_all(struct bench *b)
{
	while (b->fake->count) {
		struct port_result result = { .kind = PORT_DONE };

		result.token = b->fake->tokens[--b->fake->count];
		result.body = talloc_strdup(NULL, "{\"ok\":true}");
		node_task_result(b->node, &result, b->now_ms);
	}
}

/* The measurements: each function returns the value for n. */

static double core_us_of_tasks(int n)
{
	struct bench b = make_bench(100, 1);
	struct job_request *job = make_job(n);
	double us = cpu_us();

	node_submit(b.node, 1, NULL, job, b.now_ms);
	answer_all(&b);
	us = cpu_us() - us;
	talloc_free(b.mem);
	return us;
}

static double core_us_of_jobs(int n)
{
	struct bench b = make_bench(100, 1);
	double begin, us = 0;

	for (int i = 0; i < n; i++) {
		struct job_request *job = make_job(1);

		begin = cpu_us();
		node_submit(b.node, 1, NULL, job, b.now_ms);
		answer_all(&b);
		us += cpu_us() - begin;
	}
	talloc_free(b.mem);
	return us;
}

static double record_bytes(int n)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct record_options options = { .memory_bytes = UINT64_C(1) << 33 };
	struct record_table *table = record_table_create(mem, &options);
	struct outcome outcome = { .kind = OUTCOME_FAILED };
	double bytes;

	for (int i = 0; i < n; i++) {
		struct job_id id = { .incarnation = 1,
				     .serial = (uint64_t)i + 1 };

		record_finish(table, record_add(table, &id, 1, 1000), &outcome,
			      1);
	}
	bytes = (double)(talloc_total_size(mem) +
			 talloc_total_blocks(mem) * BLOCK_HEADER_BYTES);
	talloc_free(mem);
	return bytes;
}

static double worker_bytes(int n)
{
	struct bench b = make_bench(n, 1);
	double bytes =
		(double)(talloc_total_size(b.node) +
			 talloc_total_blocks(b.node) * BLOCK_HEADER_BYTES);

	talloc_free(b.mem);
	return bytes;
}

static double team_bytes(int n)
{
	struct bench b = make_bench(1, n);
	double bytes =
		(double)(talloc_total_size(b.node) +
			 talloc_total_blocks(b.node) * BLOCK_HEADER_BYTES);

	talloc_free(b.mem);
	return bytes;
}

static double document_bytes(int n)
{
	char *text = make_document(NULL, 1, n, 150);
	double bytes = (double)strlen(text);

	talloc_free(text);
	return bytes;
}

/* Size of the offer of a document to a peer. */
static double offer_bytes(int n)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	char *text = make_document(mem, 1, n, 150);
	double bytes =
		(double)talloc_get_size(deflate_pack(mem, text, strlen(text)));

	talloc_free(mem);
	return bytes;
}

static double change_us(int n)
{
	struct bench b = make_bench(n, 150);
	char *text = make_document(b.mem, 2, n, 150);
	double us = cpu_us();

	node_config_read(b.node, PORT_PLATFORM_OK, text, strlen(text),
			 b.now_ms);
	us = cpu_us() - us;
	talloc_free(b.mem);
	return us;
}

static void add_peer(struct bench *b, int i)
{
	Bergamot__Hello hello = BERGAMOT__HELLO__INIT;
	char name[32], address[32];

	snprintf(name, sizeof(name), "entry-%02d", i);
	snprintf(address, sizeof(address), "10.1.0.%d:7402", i);
	hello.cluster = b->settings->cluster;
	hello.instance = name;
	hello.data_centre = b->settings->data_centre;
	hello.incarnation = 1000 + (uint64_t)i;
	hello.address = address;
	node_peer_up(b->node, &hello, b->now_ms);
}

/* A member joins a data centre of n workers: ownership is recomputed. */
static double rebuild_us(int n)
{
	struct bench b = make_bench(n, 150);
	double us;

	add_peer(&b, 1);
	us = cpu_us();
	add_peer(&b, 2);
	us = cpu_us() - us;
	talloc_free(b.mem);
	return us;
}

/* Receives the heartbeat of a member that holds the dispatcher role. */
static void receive_heartbeat(struct bench *b, int i, uint64_t beat)
{
	Bergamot__Member self = BERGAMOT__MEMBER__INIT;
	Bergamot__Heartbeat body = BERGAMOT__HEARTBEAT__INIT;
	Bergamot__TeamRates rates = BERGAMOT__TEAM_RATES__INIT;
	Bergamot__Peer msg = BERGAMOT__PEER__INIT;
	uint32_t parts[TEAMS];

	for (int t = 0; t < TEAMS; t++)
		parts[t] = 100;
	rates.numbering = b->fake->numbering;
	rates.whole = true;
	rates.demand = rates.shares = parts;
	rates.n_demand = rates.n_shares = TEAMS;
	body.rates = &rates;
	self.incarnation = 1000 + (uint64_t)i;
	self.instance = self.address = "entry";
	self.data_centre = b->settings->data_centre;
	self.beat = beat;
	self.slots = 8;
	self.config_version = 1;
	body.self = &self;
	msg.body_case = BERGAMOT__PEER__BODY_HEARTBEAT;
	msg.heartbeat = &body;
	node_peer_message(b->node, self.incarnation, &msg, b->now_ms);
}

/* Each team submits 20 to 100 tasks of its quota of 2,000 per second. */
static void submit_for_all_teams(struct bench *b, int teams, int round)
{
	for (int i = 0; i < teams; i++) {
		char team[16];
		struct job_request *job =
			make_job(20 * (1 + (i * 7 + round * 3) % 5));

		snprintf(team, sizeof(team), "team-%03d", i);
		job->team = talloc_strdup(job, team);
		node_submit(b->node, 1, NULL, job, b->now_ms);
	}
	answer_all(b);
}

/* Bytes or processor time per heartbeat period with n dispatchers. */
static double measure_heartbeat(int n, bool bytes, int busy_teams)
{
	struct bench b = make_bench(283, TEAMS);
	double us = 0, begin, sum;

	b.settings->dispatchers = n;
	for (int i = 1; i < n; i++)
		add_peer(&b, i);
	b.fake->sent_bytes = 0;
	for (int i = 0; i < HEARTBEAT_PERIODS; i++) {
		for (int p = 1; p < n; p++)
			receive_heartbeat(&b, p, (uint64_t)i + 1);
		submit_for_all_teams(&b, busy_teams, i);
		begin = cpu_us();
		node_tick(b.node, b.now_ms += 1000);
		us += cpu_us() - begin;
	}
	sum = bytes ? (double)b.fake->sent_bytes : us;
	talloc_free(b.mem);
	return sum / HEARTBEAT_PERIODS;
}

static double heartbeat_bytes(int n)
{
	return measure_heartbeat(n, true, 0);
}

static double heartbeat_us(int n)
{
	return measure_heartbeat(n, false, 0);
}

static double busy_heartbeat_bytes(int n)
{
	return measure_heartbeat(n, true, TEAMS);
}

/*
 * Usage requests per second to 100 workers under n tasks per second. Workers
 * that the tasks keep busy get no requests.
 */
static double usage_requests(int n)
{
	struct bench b = make_bench(100, 1);
	double requests;

	node_tick(b.node, b.now_ms += 1000);
	b.fake->usage_requests = 0; /* not counted: one per new worker */
	for (int i = 0; i < HEARTBEAT_PERIODS; i++) {
		node_submit(b.node, 1, NULL, make_job(n), b.now_ms);
		answer_all(&b);
		node_tick(b.node, b.now_ms += 1000);
	}
	requests = (double)b.fake->usage_requests;
	talloc_free(b.mem);
	return requests / HEARTBEAT_PERIODS;
}

static double tick_us(int n)
{
	struct bench b = make_bench(n, 150);
	double us;

	node_tick(b.node, b.now_ms += 2000);
	us = cpu_us();
	for (int i = 0; i < 100; i++)
		node_tick(b.node, b.now_ms += 5);
	us = (cpu_us() - us) / 100;
	talloc_free(b.mem);
	return us;
}

static const struct slope {
	const char *name;
	const char *unit;
	const char *per;
	double (*measure)(int n);
	int points[MAX_POINTS]; /* up to the first 0 */
} slopes[] = {
	{ "core_time_per_task",
	  "us",
	  "task",
	  core_us_of_tasks,
	  { 50, 100, 200, 400, 580 } },
	{ "core_time_per_job",
	  "us",
	  "job of 1 task",
	  core_us_of_jobs,
	  { 500, 1000, 2000, 4000 } },
	{ "record_state",
	  "bytes",
	  "record",
	  record_bytes,
	  { 5000, 10000, 20000, 40000, 80000 } },
	{ "worker_state",
	  "bytes",
	  "worker",
	  worker_bytes,
	  { 100, 283, 800, 1700 } },
	{ "team_state", "bytes", "team", team_bytes, { 25, 50, 100, 150 } },
	{ "document_size",
	  "bytes",
	  "worker",
	  document_bytes,
	  { 100, 283, 800, 1700 } },
	{ "offer_size",
	  "bytes",
	  "worker",
	  offer_bytes,
	  { 100, 283, 800, 1700 } },
	{ "config_change_time",
	  "us",
	  "worker",
	  change_us,
	  { 100, 283, 800, 1700 } },
	{ "ownership_rebuild_time",
	  "us",
	  "worker",
	  rebuild_us,
	  { 100, 283, 800, 1700 } },
	{ "heartbeat_bytes_per_s",
	  "bytes",
	  "member",
	  heartbeat_bytes,
	  { 2, 4, 8, 16, 32 } },
	{ "busy_heartbeat_bytes_per_s",
	  "bytes",
	  "member",
	  busy_heartbeat_bytes,
	  { 2, 4, 8, 16, 32 } },
	{ "heartbeat_time_per_s",
	  "us",
	  "member",
	  heartbeat_us,
	  { 2, 4, 8, 16, 32 } },
	{ "usage_questions_per_s",
	  "questions",
	  "task a second, 100 workers",
	  usage_requests,
	  { 1, 20, 50, 90, 100, 200 } },
	{ "idle_tick_time", "us", "worker", tick_us, { 100, 283, 800, 1700 } },
};

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

static double median_of(const struct slope *s, int n)
{
	double values[REPEATS];

	for (int i = 0; i < REPEATS; i++)
		values[i] = s->measure(n);
	qsort(values, REPEATS, sizeof(*values), compare_doubles);
	return values[REPEATS / 2];
}

static void run_slope(const struct slope *s)
{
	double x[MAX_POINTS], y[MAX_POINTS];
	double c0, c1, cov00, cov01, cov11, sumsq;
	size_t n = 0;

	for (; n < MAX_POINTS && s->points[n]; n++) {
		x[n] = s->points[n];
		y[n] = median_of(s, s->points[n]);
	}
	gsl_fit_linear(x, 1, y, 1, n, &c0, &c1, &cov00, &cov01, &cov11, &sumsq);
	printf("{\"slope\":\"%s\",\"unit\":\"%s\",\"per\":\"%s\","
	       "\"each\":%.4g,\"fixed\":%.4g,\"residual\":%.3g,\"points\":[",
	       s->name, s->unit, s->per, c1, c0, sqrt(sumsq / (double)n));
	for (size_t i = 0; i < n; i++)
		printf("%s[%g,%.5g]", i ? "," : "", x[i], y[i]);
	printf("]}\n");
	fflush(stdout);
}

int main(int argc, char **argv)
{
	for (size_t i = 0; i < sizeof(slopes) / sizeof(slopes[0]); i++)
		if (argc < 2 || !strcmp(argv[1], slopes[i].name))
			run_slope(&slopes[i]);
	return 0;
}
