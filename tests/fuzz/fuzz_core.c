/*
 * Runs operations on several cores with fake workers and a fake platform, in an
 * order given by the input; core/tests/fake_nodes.c checks the invariants.
 */
#include <stdint.h>
#include <stdlib.h>

#include "core/tests/fake_nodes.h"

struct input {
	const uint8_t *data;
	size_t len;
};

static unsigned next_value(struct input *in, unsigned below)
{
	if (!in->len)
		return 0;
	in->len--;
	return *in->data++ % below;
}

static int next_node(struct input *in)
{
	return (int)next_value(in, FAKES_NODES);
}

static int jobs;

static int next_job(struct input *in)
{
	return jobs ? (int)next_value(in, (unsigned)jobs) : -1;
}

static void op_submit_new(struct fake_nodes *f, struct input *in)
{
	int node = next_node(in);
	int job = fakes_issue(f, node);

	if (job < 0)
		return;
	jobs = job + 1;
	fakes_submit(f, next_node(in), job, (int)next_value(in, 4));
}

static void op_repeat(struct fake_nodes *f, struct input *in)
{
	int node = next_node(in);
	int job = next_job(in);

	if (job >= 0)
		fakes_submit(f, node, job, (int)next_value(in, 4));
}

static void op_submit_no_id(struct fake_nodes *f, struct input *in)
{
	int node = next_node(in);

	fakes_submit(f, node, -1, (int)next_value(in, 4));
}

static void op_keyed(struct fake_nodes *f, struct input *in)
{
	int node = next_node(in);

	fakes_submit_keyed(f, node, (int)next_value(in, FAKES_KEYS));
}

static void op_fetch(struct fake_nodes *f, struct input *in)
{
	int node = next_node(in);

	fakes_fetch(f, node, next_job(in));
}

static void op_cancel(struct fake_nodes *f, struct input *in)
{
	int node = next_node(in);

	fakes_cancel(f, node, next_job(in));
}

static void op_deliver(struct fake_nodes *f, struct input *in)
{
	int a = next_node(in);

	fakes_deliver(f, a, next_node(in));
}

static void op_settle(struct fake_nodes *f, struct input *in)
{
	(void)in;
	fakes_deliver_all(f);
}

static void op_resolve(struct fake_nodes *f, struct input *in)
{
	size_t start = next_value(in, 8);

	fakes_resolve(f, start, (enum fakes_fate)next_value(in, FAKES_FATES));
}

static void op_done(struct fake_nodes *f, struct input *in)
{
	fakes_resolve(f, next_value(in, 8), FAKES_DONE);
}

/* Answers a write: it took effect, or did not, or the answer was lost. */
static void answer_write(struct fake_nodes *f, struct input *in,
			 void (*give)(struct fake_nodes *,
				      enum port_platform_status, bool))
{
	unsigned kind = next_value(in, 8);

	give(f,
	     kind < 5	? PORT_PLATFORM_OK
	     : kind < 7 ? PORT_PLATFORM_LOST
			: PORT_PLATFORM_UNAVAILABLE,
	     kind == 5);
}

static void op_claim(struct fake_nodes *f, struct input *in)
{
	answer_write(f, in, fakes_answer_claim);
}

static void op_write(struct fake_nodes *f, struct input *in)
{
	answer_write(f, in, fakes_answer_write);
}

static void op_plan(struct fake_nodes *f, struct input *in)
{
	int node = next_node(in);
	int worker = (int)next_value(in, FAKES_WORKERS);

	fakes_plan(f, node, worker, next_value(in, 2));
}

static void op_confirm(struct fake_nodes *f, struct input *in)
{
	fakes_confirm(f, next_node(in));
}

static void op_link(struct fake_nodes *f, struct input *in)
{
	int a = next_node(in);

	fakes_link(f, a, next_node(in));
}

static void op_cut(struct fake_nodes *f, struct input *in)
{
	int a = next_node(in);

	fakes_cut(f, a, next_node(in));
}

static void op_kill(struct fake_nodes *f, struct input *in)
{
	fakes_kill(f, next_node(in));
}

static void op_restart(struct fake_nodes *f, struct input *in)
{
	int node = next_node(in);

	if (!fakes_is_up(f, node))
		fakes_join(f, node);
}

static void op_stop(struct fake_nodes *f, struct input *in)
{
	fakes_stop(f, next_node(in));
}

static void op_config(struct fake_nodes *f, struct input *in)
{
	int node = next_node(in);
	uint64_t version = next_value(in, 8);

	if (fakes_read_config(f, node, version % 2))
		return;
	fakes_offer_config(f, node, version, (int)next_value(in, 3) + 1);
}

static void op_advance(struct fake_nodes *f, struct input *in)
{
	static const uint64_t steps_ms[] = { 1, 20, 100, 500, 1000, 3000 };

	fakes_advance(f, steps_ms[next_value(in, 6)]);
}

static void op_pause(struct fake_nodes *f, struct input *in)
{
	static const uint64_t gaps_ms[] = { 500, 2500, 6000, 25000 };
	int node = next_node(in);

	fakes_pause(f, node, gaps_ms[next_value(in, 4)]);
}

static void op_usage(struct fake_nodes *f, struct input *in)
{
	int node = next_node(in);
	int worker = (int)next_value(in, FAKES_WORKERS);

	fakes_usage(f, node, worker, next_value(in, 2), next_value(in, 4));
}

static void op_listing(struct fake_nodes *f, struct input *in)
{
	int node = next_node(in);
	int worker = (int)next_value(in, FAKES_WORKERS);

	fakes_listed(f, node, worker, next_value(in, 2));
}

/* Frequent operations are listed more than once to be chosen more often. */
static void (*const operations[])(struct fake_nodes *, struct input *) = {
	op_submit_new, op_submit_new, op_repeat,  op_repeat,  op_submit_no_id,
	op_keyed,      op_keyed,      op_fetch,	  op_cancel,  op_deliver,
	op_deliver,    op_deliver,    op_settle,  op_settle,  op_resolve,
	op_resolve,    op_done,	      op_done,	  op_claim,   op_claim,
	op_link,       op_cut,	      op_kill,	  op_restart, op_stop,
	op_config,     op_advance,    op_advance, op_pause,   op_usage,
	op_listing,    op_plan,	      op_confirm, op_confirm, op_write,
};

#define OPERATIONS (sizeof(operations) / sizeof(operations[0]))

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct input in = { data, size };
	struct fake_nodes *f = fakes_create();

	jobs = 0;
	for (int i = 0; i < FAKES_NODES; i++)
		fakes_join(f, i);
	fakes_deliver_all(f);
	fakes_offer_config(f, 0, 1, 2);
	fakes_offer_config(f, 2, 1, 2);
	fakes_deliver_all(f);
	while (in.len)
		operations[next_value(&in, OPERATIONS)](f, &in);
	fakes_finish(f);
	fakes_free(f);
	return 0;
}
