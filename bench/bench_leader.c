/*
 * Measures the leader's processor time for each task on a site whose workers
 * are called by relays: core and wire format, without sockets. Usage:
 *
 *     bench_leader WORKERS [SECONDS]
 *
 * Prints JSON lines: microseconds a task in all, and by kind of call. The load
 * grows with the number of workers: 4.1 tasks a second for each.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <time.h>

#include "base/log.h"
#include "base/random.h"
#include "core/lease_node.h"
#include "wire/frame.h"

#define RELAYS 48
#define ENTRIES 98
#define JOBS_PER_WORKER_S 1.15
#define TICK_MS 20
#define RELAY_MS 4 /* from an order to its answer */
#define WORKER_MILLI 16000
#define TASK_MILLI 8000
#define BEAT_MS 120

struct worker {
	char id[24];
	uint64_t next_end;
	struct {
		char task[STEP_JOB_TASK_BYTES];
		uint64_t ends_ms;
	} runs[8];
	size_t run_count;
	uint64_t hold_number; /* of a pending hold; 0: none */
	uint64_t hold_until_ms;
	int hold_relay;
};

/* A frame or order on its way. */
struct event {
	STAILQ_ENTRY(event) entry;
	uint64_t due_ms;
	Bergamot__WorkerOrder *order;
	Bergamot__Peer *owner; /* holds the order */
	int relay;
};

enum part { PART_JOBS, PART_ANSWERS, PART_BEATS, PART_TICK, PART_FLUSH, PARTS };

static const char *const part_names[PARTS] = { "jobs", "answers", "beats",
					       "tick", "flush" };

static struct {
	struct lease_node *node;
	struct worker *workers;
	size_t worker_count;
	STAILQ_HEAD(, event) orders;
	bool flush_due;
	uint64_t now_ms;
	uint64_t tasks;
	uint64_t completed;
	uint64_t bytes;
	double spent_us[PARTS];
	struct random_generator random;
} bench;

static double cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

static uint64_t member_id(int i)
{
	return UINT64_C(0x100000) + (uint64_t)i;
}

static struct worker *find_worker(const char *id)
{
	return &bench.workers[strtoul(id + 2, NULL, 10)];
}

static void port_send(void *ctx, uint64_t incarnation,
		      const Bergamot__Peer *msg)
{
	uint8_t *frame = frame_pack(NULL, msg);
	size_t len = talloc_get_size(frame);
	Bergamot__Peer *peer;

	(void)ctx;
	bench.bytes += len;
	if (msg->body_case == BERGAMOT__PEER__BODY_WORKER_ORDERS) {
		peer = bergamot__peer__unpack(NULL, len - FRAME_HEADER_BYTES,
					      frame + FRAME_HEADER_BYTES);
		for (size_t i = 0; i < peer->worker_orders->n_orders; i++) {
			struct event *e = calloc(1, sizeof(*e));

			e->due_ms = bench.now_ms + RELAY_MS;
			e->order = peer->worker_orders->orders[i];
			e->relay = (int)(incarnation - member_id(0));
			STAILQ_INSERT_TAIL(&bench.orders, e, entry);
		}
	} else if (msg->body_case == BERGAMOT__PEER__BODY_QUEUE_JOB_END) {
		bench.completed += msg->queue_job_end->end == LEASE_COMPLETED;
	}
	talloc_free(frame);
}

static void port_dial(void *ctx, const char *address)
{
	(void)ctx;
	(void)address;
}

static uint64_t port_wall_ms(void *ctx)
{
	(void)ctx;
	return bench.now_ms + UINT64_C(1790000000000);
}

static void port_wake(void *ctx)
{
	(void)ctx;
	bench.flush_due = true;
}

static void port_answer(void *ctx, const struct lease_node_answer *answer)
{
	(void)ctx;
	(void)answer;
}

/* Delivers a message as from a link, and charges it to a part. */
static void deliver(enum part part, uint64_t from, const Bergamot__Peer *msg)
{
	uint8_t *frame = frame_pack(NULL, msg);
	size_t len = talloc_get_size(frame);
	double begin_us = cpu_us();
	Bergamot__Peer *peer = bergamot__peer__unpack(
		NULL, len - FRAME_HEADER_BYTES, frame + FRAME_HEADER_BYTES);

	lease_node_peer_message(bench.node, from, peer, bench.now_ms);
	bergamot__peer__free_unpacked(peer, NULL);
	bench.spent_us[part] += cpu_us() - begin_us;
	talloc_free(frame);
}

static void answer(int relay, Bergamot__WorkerAnswer *row)
{
	Bergamot__WorkerAnswers answers = BERGAMOT__WORKER_ANSWERS__INIT;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;

	row->clock_ms = bench.now_ms;
	row->born_ms = 1;
	answers.answers = &row;
	answers.n_answers = 1;
	peer.body_case = BERGAMOT__PEER__BODY_WORKER_ANSWERS;
	peer.worker_answers = &answers;
	deliver(PART_ANSWERS, member_id(relay), &peer);
}

static void answer_hold(struct worker *w)
{
	Bergamot__WorkerAnswer row = BERGAMOT__WORKER_ANSWER__INIT;
	Bergamot__ListedRun running[8], *running_rows[8];
	Bergamot__ListedEnd ended[8], *ended_rows[8];
	char names[8][STEP_JOB_TASK_BYTES];

	row.call = BERGAMOT__WORKER_CALL__HOLD;
	row.number = w->hold_number;
	for (size_t i = 0; i < w->run_count; i++) {
		if (w->runs[i].ends_ms > bench.now_ms)
			continue;
		memcpy(names[row.n_ended], w->runs[i].task, sizeof(names[0]));
		w->runs[i--] = w->runs[--w->run_count];
		bergamot__listed_end__init(&ended[row.n_ended]);
		ended[row.n_ended].number = ++w->next_end;
		ended[row.n_ended].task = names[row.n_ended];
		ended[row.n_ended].run = 1;
		ended[row.n_ended].how = POOL_DONE;
		ended_rows[row.n_ended] = &ended[row.n_ended];
		row.n_ended++;
	}
	for (size_t i = 0; i < w->run_count; i++) {
		bergamot__listed_run__init(&running[i]);
		running[i].task = w->runs[i].task;
		running[i].run = 1;
		running[i].percent = 40;
		running_rows[i] = &running[i];
	}
	row.n_running = w->run_count;
	row.running = running_rows;
	row.ended = ended_rows;
	w->hold_number = 0;
	answer(w->hold_relay, &row);
}

static void carry_out(struct event *e)
{
	Bergamot__WorkerOrder *order = e->order;
	Bergamot__WorkerAnswer row = BERGAMOT__WORKER_ANSWER__INIT;
	struct worker *w = find_worker(order->worker);

	if (order->call == BERGAMOT__WORKER_CALL__HOLD) {
		w->hold_number = order->number;
		w->hold_until_ms = bench.now_ms + order->wait_ms;
		w->hold_relay = e->relay;
		return;
	}
	if (order->call == BERGAMOT__WORKER_CALL__START) {
		snprintf(w->runs[w->run_count].task, sizeof(w->runs[0].task),
			 "%s", order->task);
		w->runs[w->run_count++].ends_ms =
			bench.now_ms +
			strtoul((char *)order->spec.data, NULL, 10);
		bench.tasks++;
	}
	row.call = order->call;
	row.number = order->number;
	answer(e->relay, &row);
}

static void submit(uint64_t number)
{
	static const struct {
		uint32_t tasks, ms, priority;
	} kinds[] = { { 8, 60, 0 },
		      { 2, 200, 1 },
		      { 2, 200, 1 },
		      { 2, 200, 1 },
		      { 4, 900, 2 } };
	uint32_t kind = (uint32_t)random_below(&bench.random, 100);
	uint32_t k = kind < 24 ? 0 : kind < 96 ? 1 : 4;
	Bergamot__JobStep step = BERGAMOT__JOB_STEP__INIT, *rows = &step;
	Bergamot__QueueJob job = BERGAMOT__QUEUE_JOB__INIT;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	char id[STEP_JOB_ID_BYTES], spec[400];

	snprintf(id, sizeof(id), "%016" PRIx64, number);
	memset(spec, 'x', sizeof(spec));
	spec[snprintf(spec, 16, "%u", kinds[k].ms)] = ' ';
	step.count = kinds[k].tasks;
	step.cpu_milli = TASK_MILLI;
	step.estimate_ms = kinds[k].ms;
	job.request = number;
	job.id = id;
	job.queue = "q";
	job.service = "s";
	job.priority = kinds[k].priority;
	job.attempts = 2;
	job.objective_ms = kinds[k].ms * 16 / 10 + 60;
	job.remaining_ms = 5000;
	job.spec.data = (uint8_t *)spec;
	job.spec.len = sizeof(spec);
	job.n_steps = 1;
	job.steps = &rows;
	peer.body_case = BERGAMOT__PEER__BODY_QUEUE_JOB;
	peer.queue_job = &job;
	deliver(PART_JOBS,
		member_id((int)random_below(&bench.random, RELAYS + ENTRIES)),
		&peer);
}

static void send_beats(void)
{
	for (int i = 0; i < RELAYS + ENTRIES; i++) {
		Bergamot__LeaderBeat beat = BERGAMOT__LEADER_BEAT__INIT;
		Bergamot__Peer peer = BERGAMOT__PEER__INIT;

		beat.clock_ms = beat.echo_ms = bench.now_ms;
		beat.share = i < RELAYS ? 300 : 90;
		peer.body_case = BERGAMOT__PEER__BODY_LEADER_BEAT;
		peer.leader_beat = &beat;
		deliver(PART_BEATS, member_id(i), &peer);
	}
}

static void set_up(void)
{
	static struct lease_node_ports ports = {
		.answer = port_answer,
		.send = port_send,
		.dial = port_dial,
		.wall_ms = port_wall_ms,
		.wake = port_wake,
	};
	struct lease_node_options options = {
		.ports = &ports,
		.instance = "bench",
		.data_centre = "d",
		.address = "a",
		.incarnation = 1,
		.weight = 500,
		.lease_ms = 1000,
		.stop_ms = 50,
		.far_factor = 1,
		.direct_workers = 1,
		.admission = true,
		.order = lease_find_order("late_last"),
		.place = place_find("fastest"),
		.now_ms = bench.now_ms,
	};

	bench.node = lease_node_create(NULL, &options);
	for (size_t i = 0; i < bench.worker_count; i++) {
		struct worker *w = &bench.workers[i];
		struct pool_registration registration = {
			.id = w->id,
			.address = "10.0.0.1:8080",
			.service = "s",
			.data_centre = "d",
			.capacity = { WORKER_MILLI, 65536, 0 },
			.born_ms = 1,
		};

		snprintf(w->id, sizeof(w->id), "i-%zu", i);
		lease_node_worker_listed(bench.node, &registration,
					 bench.now_ms);
	}
	lease_node_worker_list_complete(bench.node, bench.now_ms);
	for (int i = 0; i < RELAYS + ENTRIES; i++) {
		Bergamot__Hello hello = BERGAMOT__HELLO__INIT;

		hello.incarnation = member_id(i);
		hello.instance = hello.address =
			talloc_asprintf(NULL, "m%d", i);
		hello.data_centre = "d";
		lease_node_peer_up(bench.node, &hello, bench.now_ms);
	}
}

static void step(bool loaded, double *due, uint64_t *number)
{
	struct event *e;
	double begin_us;

	bench.now_ms++;
	if (bench.now_ms % BEAT_MS == 0)
		send_beats();
	*due += loaded ? JOBS_PER_WORKER_S * (double)bench.worker_count / 1000
		       : 0;
	for (; *due >= 1; *due -= 1)
		submit(++*number);
	while ((e = STAILQ_FIRST(&bench.orders)) && e->due_ms <= bench.now_ms) {
		STAILQ_REMOVE_HEAD(&bench.orders, entry);
		carry_out(e);
		free(e);
	}
	for (size_t i = 0; i < bench.worker_count; i++) {
		struct worker *w = &bench.workers[i];
		bool ended = false;

		for (size_t r = 0; r < w->run_count; r++)
			ended |= w->runs[r].ends_ms <= bench.now_ms;
		if (w->hold_number &&
		    (ended || w->hold_until_ms <= bench.now_ms))
			answer_hold(w);
	}
	begin_us = cpu_us();
	if (bench.now_ms % TICK_MS == 0)
		lease_node_tick(bench.node, bench.now_ms);
	bench.spent_us[PART_TICK] += cpu_us() - begin_us;
	begin_us = cpu_us();
	if (bench.flush_due) {
		bench.flush_due = false;
		lease_node_flush(bench.node, bench.now_ms);
	}
	bench.spent_us[PART_FLUSH] += cpu_us() - begin_us;
}

int main(int argc, char **argv)
{
	struct log_options log = { .path = "/dev/null",
				   .level = LOG_LEVEL_INFO };
	uint64_t seconds = argc > 2 ? strtoul(argv[2], NULL, 10) : 4;
	uint64_t number = 0;
	double total_us = 0;
	double due = 0;

	if (argc < 2 || !strtoul(argv[1], NULL, 10)) {
		fprintf(stderr, "usage: bench_leader WORKERS [SECONDS]\n");
		return 2;
	}
	if (!getenv("BENCH_NO_LOG"))
		log_open(&log);
	bench.worker_count = strtoul(argv[1], NULL, 10);
	bench.workers = calloc(bench.worker_count, sizeof(struct worker));
	bench.now_ms = 60000;
	STAILQ_INIT(&bench.orders);
	random_seed(&bench.random, 1);
	set_up();
	for (int i = 0; i < 6000; i++)
		step(false, &due, &number);
	memset(bench.spent_us, 0, sizeof(bench.spent_us));
	bench.tasks = bench.bytes = 0;
	for (uint64_t i = 0; i < seconds * 1000; i++)
		step(true, &due, &number);
	for (int p = 0; p < PARTS; p++)
		total_us += bench.spent_us[p];
	printf("{\"workers\":%zu,\"leads\":%s,\"jobs\":%" PRIu64
	       ",\"completed\":%" PRIu64 ",\"tasks\":%" PRIu64
	       ",\"us_per_task\":%.2f",
	       bench.worker_count,
	       lease_node_leads(bench.node) ? "true" : "false", number,
	       bench.completed, bench.tasks, total_us / (double)bench.tasks);
	for (int p = 0; p < PARTS; p++)
		printf(",\"%s\":%.2f", part_names[p],
		       bench.spent_us[p] / (double)bench.tasks);
	printf(",\"sent_bytes_per_task\":%.1f}\n",
	       (double)bench.bytes / (double)bench.tasks);
	log_close();
	return 0;
}
