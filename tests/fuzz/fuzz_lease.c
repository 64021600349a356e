/*
 * Messages of other instances with fields taken from the input, in any order
 * and against each other, reach an instance that leads, relays or follows: no
 * message ends the process, and each job is answered at most once.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "core/lease_node.h"

#define MEMBERS 3
#define MAX_ROWS 4
#define TICK_MS 20

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

struct input {
	const uint8_t *data;
	size_t len;
};

static struct lease_node *node;
static struct lease_node_ports ports;
static uint64_t now_ms;
static uint64_t last_serial;
static uint64_t last_token;
static bool open[256]; /* callers' requests, by number */
static TALLOC_CTX *mem;

static uint8_t next_byte(struct input *in)
{
	if (!in->len)
		return 0;
	in->len--;
	return *in->data++;
}

/* Small values are frequent, extreme ones occur. */
static uint64_t next_number(struct input *in)
{
	uint8_t kind = next_byte(in);
	uint64_t value = 0;

	if (kind < 200)
		return kind % 16;
	if (kind < 230)
		return now_ms + kind;
	if (kind < 240)
		return kind & 1 ? last_serial : last_token;
	if (kind < 246)
		return UINT64_MAX >> (kind % 12);
	for (int i = 0; i < 8; i++)
		value = value << 8 | next_byte(in);
	return value;
}

static char *next_text(struct input *in)
{
	static const char *const texts[] = {
		"",
		"w1",
		"s",
		"q",
		"00000000000000a1",
		"00000000000000a1.0.0.0",
		"00000000000000a1.0.9.9",
		"00000000000000a1.0",
		"10.0.0.1:80",
		"d",
	};
	uint8_t kind = next_byte(in);

	if (kind < 230)
		return talloc_strdup(mem, texts[kind % 10]);
	return talloc_asprintf(mem, "%0*d", kind * 4, 7); /* long */
}

static void port_hold(void *ctx, const struct pool_hold_call *call)
{
	(void)ctx;
	last_serial = call->serial;
}

static void port_start(void *ctx, const struct pool_start_call *call)
{
	(void)ctx;
	last_token = call->token;
}

static void port_stop(void *ctx, const struct pool_stop_call *call)
{
	(void)ctx;
	last_token = call->token;
}

static void port_answer(void *ctx, const struct lease_node_answer *answer)
{
	(void)ctx;
	if (answer->request >= 256 || !open[answer->request])
		abort();
	open[answer->request] = false;
}

static void port_send(void *ctx, uint64_t incarnation,
		      const Bergamot__Peer *msg)
{
	uint8_t *packed =
		talloc_size(mem, bergamot__peer__get_packed_size(msg));

	(void)ctx;
	(void)incarnation;
	bergamot__peer__pack(msg, packed);
	if (msg->body_case == BERGAMOT__PEER__BODY_WORKER_ORDERS)
		for (size_t i = 0; i < msg->worker_orders->n_orders; i++)
			last_serial = msg->worker_orders->orders[i]->number;
}

static void port_dial(void *ctx, const char *address)
{
	(void)ctx;
	(void)address;
}

static struct queue_config *port_parse(void *ctx, TALLOC_CTX *parent,
				       const char *text, size_t len)
{
	(void)ctx;
	(void)parent;
	(void)text;
	(void)len;
	return NULL;
}

static uint64_t port_wall_ms(void *ctx)
{
	(void)ctx;
	return now_ms + UINT64_C(1790000000000);
}

static void port_none(void *ctx)
{
	(void)ctx;
}

static void fill_beat(struct input *in, Bergamot__LeaderBeat *beat)
{
	beat->claim = next_number(in);
	beat->highest_claim = next_number(in);
	beat->weight = (uint32_t)next_number(in);
	beat->share = (uint32_t)next_number(in);
	beat->clock_ms = next_number(in);
	beat->echo_ms = next_number(in);
	beat->stopping = next_byte(in) & 1;
	beat->leaderless = next_byte(in) & 1;
	beat->majority = next_byte(in) & 1;
	beat->overloaded = next_byte(in) & 1;
	beat->n_addresses = next_byte(in) % MAX_ROWS;
	beat->addresses = talloc_array(mem, char *, MAX_ROWS);
	for (size_t i = 0; i < beat->n_addresses; i++)
		beat->addresses[i] = next_text(in);
}

static void fill_job(struct input *in, Bergamot__QueueJob *job)
{
	job->request = next_number(in);
	job->id = next_text(in);
	job->queue = next_text(in);
	job->service = next_text(in);
	job->priority = (uint32_t)next_number(in);
	job->attempts = (uint32_t)next_number(in);
	job->objective_ms = (uint32_t)next_number(in);
	job->remaining_ms = (uint32_t)next_number(in);
	job->age_ms = (uint32_t)next_number(in);
	job->handed = (uint32_t)next_number(in);
	job->closed_in_ms = (uint32_t)next_number(in);
	job->spec.data = (uint8_t *)next_text(in);
	job->spec.len = strlen((char *)job->spec.data);
	job->n_steps = next_byte(in) % MAX_ROWS;
	job->steps = talloc_array(mem, Bergamot__JobStep *, MAX_ROWS);
	for (size_t i = 0; i < job->n_steps; i++) {
		Bergamot__JobStep *step = talloc(mem, Bergamot__JobStep);

		bergamot__job_step__init(step);
		step->count = (uint32_t)next_number(in);
		step->cpu_milli = (uint32_t)next_number(in);
		step->mem_mb = (uint32_t)next_number(in);
		step->estimate_ms = (uint32_t)next_number(in);
		step->max_per_worker = (uint32_t)next_number(in);
		step->label = next_text(in);
		step->rack = next_text(in);
		step->n_after = next_byte(in) % MAX_ROWS;
		step->after = talloc_array(mem, uint32_t, MAX_ROWS);
		for (size_t a = 0; a < step->n_after; a++)
			step->after[a] = (uint32_t)next_number(in);
		job->steps[i] = step;
	}
}

static void fill_end(struct input *in, Bergamot__QueueJobEnd *end)
{
	end->request = next_byte(in);
	end->id = next_text(in);
	end->end = (uint32_t)next_number(in);
	end->reason = (uint32_t)next_number(in);
	end->retry_after_ms = (uint32_t)next_number(in);
}

static void fill_orders(struct input *in, Bergamot__WorkerOrders *orders)
{
	orders->clock_ms = next_number(in);
	orders->n_orders = next_byte(in) % MAX_ROWS;
	orders->orders = talloc_array(mem, Bergamot__WorkerOrder *, MAX_ROWS);
	for (size_t i = 0; i < orders->n_orders; i++) {
		Bergamot__WorkerOrder *order =
			talloc(mem, Bergamot__WorkerOrder);

		bergamot__worker_order__init(order);
		order->call = (Bergamot__WorkerCall)(next_byte(in) % 5);
		order->number = next_number(in);
		order->worker = next_text(in);
		order->address = next_text(in);
		order->fence = next_number(in);
		order->timeout_ms = (uint32_t)next_number(in);
		order->wait_ms = (uint32_t)next_number(in);
		order->task = next_text(in);
		order->spec.data = (uint8_t *)next_text(in);
		order->spec.len = strlen((char *)order->spec.data);
		orders->orders[i] = order;
	}
}

static void fill_answer(struct input *in, Bergamot__WorkerAnswer *answer)
{
	answer->call = (Bergamot__WorkerCall)(next_byte(in) % 5);
	answer->number = next_number(in);
	answer->answer = (uint32_t)next_number(in);
	answer->clock_ms = next_number(in);
	answer->born_ms = next_number(in);
	answer->n_running = next_byte(in) % MAX_ROWS;
	answer->running = talloc_array(mem, Bergamot__ListedRun *, MAX_ROWS);
	for (size_t i = 0; i < answer->n_running; i++) {
		Bergamot__ListedRun *run = talloc(mem, Bergamot__ListedRun);

		bergamot__listed_run__init(run);
		run->task = next_text(in);
		run->run = (uint32_t)next_number(in);
		run->percent = (uint32_t)next_number(in);
		answer->running[i] = run;
	}
	answer->n_ended = next_byte(in) % MAX_ROWS;
	answer->ended = talloc_array(mem, Bergamot__ListedEnd *, MAX_ROWS);
	for (size_t i = 0; i < answer->n_ended; i++) {
		Bergamot__ListedEnd *end = talloc(mem, Bergamot__ListedEnd);

		bergamot__listed_end__init(end);
		end->number = next_number(in);
		end->task = next_text(in);
		end->run = (uint32_t)next_number(in);
		end->how = (uint32_t)next_number(in);
		answer->ended[i] = end;
	}
}

static void fill_answers(struct input *in, Bergamot__WorkerAnswers *answers)
{
	answers->n_answers = next_byte(in) % MAX_ROWS;
	answers->answers =
		talloc_array(mem, Bergamot__WorkerAnswer *, MAX_ROWS);
	for (size_t i = 0; i < answers->n_answers; i++) {
		answers->answers[i] = talloc(mem, Bergamot__WorkerAnswer);
		bergamot__worker_answer__init(answers->answers[i]);
		fill_answer(in, answers->answers[i]);
	}
}

static void fill_crashes(struct input *in, Bergamot__CrashRecords *records)
{
	records->n_tasks = next_byte(in) % MAX_ROWS;
	records->tasks = talloc_array(mem, Bergamot__TaskCrashes *, MAX_ROWS);
	for (size_t i = 0; i < records->n_tasks; i++) {
		Bergamot__TaskCrashes *row = talloc(mem, Bergamot__TaskCrashes);

		bergamot__task_crashes__init(row);
		row->task = next_text(in);
		row->n_crashes = next_byte(in) % (MAX_ROWS + 2);
		row->crashes = talloc_array(mem, Bergamot__WorkerCrash *,
					    MAX_ROWS + 2);
		for (size_t c = 0; c < row->n_crashes; c++) {
			Bergamot__WorkerCrash *crash =
				talloc(mem, Bergamot__WorkerCrash);
			uint8_t flags = next_byte(in);

			bergamot__worker_crash__init(crash);
			crash->worker = flags & 8 ? crash_worker_key("w1")
						  : next_number(in);
			crash->born_ms = next_number(in);
			crash->alone = flags & 1;
			crash->confirmed = flags & 2;
			crash->withdrawn = flags & 4;
			crash->age_ms = (uint32_t)next_number(in);
			row->crashes[c] = crash;
		}
		records->tasks[i] = row;
	}
}

static void fill_late_starts(struct input *in, Bergamot__LateStarts *late)
{
	late->n_starts = next_byte(in) % 4;
	late->starts = talloc_array(mem, Bergamot__LateStart *, late->n_starts);
	for (size_t i = 0; i < late->n_starts; i++) {
		Bergamot__LateStart *row = talloc(mem, Bergamot__LateStart);

		bergamot__late_start__init(row);
		row->task = next_text(in);
		row->over_in_ms = (uint32_t)next_number(in);
		late->starts[i] = row;
	}
	late->number = next_number(in);
	late->after = next_number(in);
}

static void fill_failed(struct input *in, Bergamot__FailedRun ***rows,
			size_t *count)
{
	*count = next_byte(in) % MAX_ROWS;
	*rows = talloc_array(mem, Bergamot__FailedRun *, MAX_ROWS);
	for (size_t i = 0; i < *count; i++) {
		Bergamot__FailedRun *row = talloc(mem, Bergamot__FailedRun);

		bergamot__failed_run__init(row);
		row->step = (uint32_t)next_number(in);
		row->index = (uint32_t)next_number(in);
		row->run = (uint32_t)next_number(in);
		(*rows)[i] = row;
	}
}

static void fill_failures(struct input *in, Bergamot__QueueJobFailures *msg)
{
	msg->request = next_byte(in);
	msg->id = next_text(in);
	msg->attempt = next_number(in);
	fill_failed(in, &msg->failed, &msg->n_failed);
}

static void fill_starts(struct input *in, Bergamot__OpenStart ***rows,
			size_t *count)
{
	*count = next_byte(in) % MAX_ROWS;
	*rows = talloc_array(mem, Bergamot__OpenStart *, MAX_ROWS);
	for (size_t i = 0; i < *count; i++) {
		Bergamot__OpenStart *row = talloc(mem, Bergamot__OpenStart);
		uint8_t flags;

		bergamot__open_start__init(row);
		row->request = next_byte(in);
		row->step = (uint32_t)next_number(in);
		row->index = (uint32_t)next_number(in);
		row->run = (uint32_t)next_number(in);
		row->over_in_ms = (uint32_t)next_number(in);
		flags = next_byte(in);
		row->repeated = flags & 1;
		row->ended = flags >> 1 & 1;
		row->worker = flags >> 2;
		(*rows)[i] = row;
	}
}

static void fill_workers(struct input *in, Bergamot__QueueJob *job)
{
	job->n_workers = next_byte(in) % MAX_ROWS;
	job->workers = talloc_array(mem, uint64_t, MAX_ROWS);
	for (size_t i = 0; i < job->n_workers; i++)
		job->workers[i] = next_number(in);
}

static void receive(struct input *in, uint8_t kind)
{
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	Bergamot__LeaderBeat beat = BERGAMOT__LEADER_BEAT__INIT;
	Bergamot__QueueJob job = BERGAMOT__QUEUE_JOB__INIT;
	Bergamot__QueueJobEnd end = BERGAMOT__QUEUE_JOB_END__INIT;
	Bergamot__QueueJobCancel cancel = BERGAMOT__QUEUE_JOB_CANCEL__INIT;
	Bergamot__WorkerOrders orders = BERGAMOT__WORKER_ORDERS__INIT;
	Bergamot__WorkerAnswers answers = BERGAMOT__WORKER_ANSWERS__INIT;
	Bergamot__CrashRecords crashes = BERGAMOT__CRASH_RECORDS__INIT;
	Bergamot__LateStarts late = BERGAMOT__LATE_STARTS__INIT;
	Bergamot__QueueJobFailures failures =
		BERGAMOT__QUEUE_JOB_FAILURES__INIT;
	Bergamot__OpenStarts starts = BERGAMOT__OPEN_STARTS__INIT;
	uint64_t from = 1 + next_byte(in) % MEMBERS;

	switch (kind) {
	case 0:
		fill_beat(in, &beat);
		peer.body_case = BERGAMOT__PEER__BODY_LEADER_BEAT;
		peer.leader_beat = &beat;
		break;
	case 1:
		fill_job(in, &job);
		peer.body_case = BERGAMOT__PEER__BODY_QUEUE_JOB;
		peer.queue_job = &job;
		break;
	case 2:
		fill_end(in, &end);
		peer.body_case = BERGAMOT__PEER__BODY_QUEUE_JOB_END;
		peer.queue_job_end = &end;
		break;
	case 3:
		cancel.request = next_number(in);
		cancel.id = next_text(in);
		fill_starts(in, &cancel.open_starts, &cancel.n_open_starts);
		peer.body_case = BERGAMOT__PEER__BODY_QUEUE_JOB_CANCEL;
		peer.queue_job_cancel = &cancel;
		break;
	case 4:
		fill_orders(in, &orders);
		peer.body_case = BERGAMOT__PEER__BODY_WORKER_ORDERS;
		peer.worker_orders = &orders;
		break;
	case 9:
		fill_crashes(in, &crashes);
		peer.body_case = BERGAMOT__PEER__BODY_CRASH_RECORDS;
		peer.crash_records = &crashes;
		break;
	case 10:
		fill_late_starts(in, &late);
		if (late.number % 2) {
			lease_node_late_starts_read(node, from, &late, now_ms);
			return;
		}
		peer.body_case = BERGAMOT__PEER__BODY_LATE_STARTS;
		peer.late_starts = &late;
		break;
	case 11:
		fill_failures(in, &failures);
		peer.body_case = BERGAMOT__PEER__BODY_QUEUE_JOB_FAILURES;
		peer.queue_job_failures = &failures;
		break;
	case 12:
		fill_job(in, &job);
		job.handed = 1 + next_byte(in) % 4;
		job.attempt = next_number(in);
		fill_failed(in, &job.failed, &job.n_failed);
		peer.body_case = BERGAMOT__PEER__BODY_QUEUE_JOB;
		peer.queue_job = &job;
		break;
	case 13:
		fill_starts(in, &starts.starts, &starts.n_starts);
		peer.body_case = BERGAMOT__PEER__BODY_OPEN_STARTS;
		peer.open_starts = &starts;
		break;
	case 14:
		fill_job(in, &job);
		job.handed = 1 + next_byte(in) % 4;
		fill_starts(in, &job.open_starts, &job.n_open_starts);
		fill_workers(in, &job);
		peer.body_case = BERGAMOT__PEER__BODY_QUEUE_JOB;
		peer.queue_job = &job;
		break;
	default:
		fill_answers(in, &answers);
		peer.body_case = BERGAMOT__PEER__BODY_WORKER_ANSWERS;
		peer.worker_answers = &answers;
	}
	lease_node_peer_message(node, from, &peer, now_ms);
}

static void submit(struct input *in)
{
	static const struct queue_config_queue queue = {
		.name = "q",
		.service = "s",
		.attempts = 2,
		.stretch = 1.6,
	};
	uint8_t request = next_byte(in);
	struct step_job *job;

	if (open[request])
		return;
	open[request] = true;
	job = talloc_zero(mem, struct step_job);
	strcpy(job->id, "00000000000000a1");
	job->text = talloc_strdup(job, "t");
	job->step_count = 1;
	job->steps = talloc_zero_array(job, struct job_step, 1);
	job->steps[0].count = 1 + next_byte(in) % 3;
	job->steps[0].demand.cpu_milli = 1000;
	job->steps[0].estimate_ms = 100;
	lease_node_submit(node, request, &queue, job, 500, now_ms);
}

static void advance(uint64_t ms)
{
	for (uint64_t t = 0; t < ms; t += TICK_MS) {
		now_ms += TICK_MS;
		lease_node_tick(node, now_ms);
		lease_node_flush(node, now_ms);
	}
}

static void set_up(uint32_t direct_workers)
{
	static const char *const labels[] = { "a", NULL };
	struct lease_node_options options = {
		.ports = &ports,
		.instance = "own",
		.data_centre = "d",
		.address = "own",
		.incarnation = 100,
		.order = lease_find_order("late_last"),
		.place = place_find("fastest"),
		.weight = 250,
		.lease_ms = 1000,
		.stop_ms = 50,
		.far_factor = 1,
		.direct_workers = direct_workers,
		.admission = true,
		.now_ms = 1000,
	};
	struct pool_registration registration = {
		.id = "w1",
		.address = "10.0.0.1:80",
		.service = "s",
		.data_centre = "d",
		.labels = labels,
		.capacity = { 4000, 1000, 0 },
		.born_ms = 1,
	};

	now_ms = 1000;
	last_serial = last_token = 0;
	memset(open, 0, sizeof(open));
	ports = (struct lease_node_ports){
		.workers = { NULL, port_hold, port_start, port_stop },
		.answer = port_answer,
		.send = port_send,
		.dial = port_dial,
		.parse_config = port_parse,
		.wall_ms = port_wall_ms,
		.wake = port_none,
	};
	node = lease_node_create(mem, &options);
	lease_node_worker_listed(node, &registration, now_ms);
	registration.id = "w2";
	lease_node_worker_listed(node, &registration, now_ms);
	lease_node_worker_list_complete(node, now_ms);
	for (uint64_t i = 1; i <= MEMBERS; i++) {
		Bergamot__Hello hello = BERGAMOT__HELLO__INIT;

		hello.incarnation = i;
		hello.instance = hello.address =
			talloc_asprintf(mem, "m%d", (int)i);
		hello.data_centre = "d";
		lease_node_peer_up(node, &hello, now_ms);
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct input in = { data, size };

	mem = talloc_new(NULL);
	set_up(next_byte(&in) & 1);
	if (next_byte(&in) & 1)
		advance(4000); /* it leads then */
	while (in.len) {
		uint8_t kind = next_byte(&in) % 15;

		if (kind < 6 || kind >= 9)
			receive(&in, kind);
		else if (kind == 6)
			submit(&in);
		else
			advance(kind == 7 ? TICK_MS : 400);
	}
	advance(1000);
	talloc_free(mem);
	return 0;
}
