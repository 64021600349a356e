#include "fake_scenario.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"
#include "core/lease_node.h"
#include "fake_store.h"

#define LEASE_MS 1000
#define STOP_MS 50
#define CLOCK_PERCENT 98 /* workers' clocks are slow */
#define FIRST_CLOCK_MS 500000
#define CAPACITY_MILLI 4000
#define TASK_MILLI 1000
#define TASK_MS 9000
#define MAX_RUNS 8
#define MAX_ENDS 32
#define TICK_MS 20
#define NETWORK_MS 2 /* one way */
#define ORDER_DELAY_MS 2000
#define RESTART_MS 1000 /* until a killed instance is started again */
#define STOP_LIMIT_MS 1500
#define REGISTRATION_MS 700 /* until instances read it */
#define LIST_PERIOD_MS 1400 /* between two readings of the registrations */
#define OVERLOAD_LAG_MS 200
#define RESEND_MS 1300
#define STORE_MS FAKE_STORE_CALL_MS
#define CALLER_DEADLINE_MS 20000
#define DIAL_PERIOD_MS 500
#define LINK_SILENCE_MS 1500 /* limit for unacknowledged data on a link */
#define EVENT_SLOTS 16384 /* above the longest delay in ms */
#define BEGIN_MS 40000
#define ELECTION_MS 1500 /* instance 0 leads by then */
#define CUT_MS 4500 /* after the last fault, until all cuts are healed */
#define SETTLE_MS 1500
#define FIRST_WEIGHT 300
#define WEIGHT_STEP 10 /* between instances */
#define MAX_ATTEMPTS 6
#define JOB_ID "00000000000000a1"

static const char *const kind_texts[SCENARIO_KIND_COUNT] = {
	[SCENARIO_CUT_LINK] = "cut_link",
	[SCENARIO_CUT_ONE_WAY] = "cut_one_way",
	[SCENARIO_CUT_WORKER] = "cut_worker",
	[SCENARIO_PARTITION] = "partition",
	[SCENARIO_HEAL] = "heal",
	[SCENARIO_HEAL_WORKERS] = "heal_workers",
	[SCENARIO_FREEZE] = "freeze",
	[SCENARIO_KILL] = "kill",
	[SCENARIO_STOP] = "stop",
	[SCENARIO_RESET_LINK] = "reset_link",
	[SCENARIO_HALF_CLOSE] = "half_close",
	[SCENARIO_SILENCE] = "silence",
	[SCENARIO_RESTART_WORKER] = "restart_worker",
	[SCENARIO_LOSE_ANSWER] = "lose_answer",
	[SCENARIO_DELAY_START] = "delay_start",
	[SCENARIO_DELAY_HOLD] = "delay_hold",
	[SCENARIO_DELAY_STOP] = "delay_stop",
	[SCENARIO_DRAIN] = "drain",
	[SCENARIO_UNREGISTER] = "unregister",
	[SCENARIO_LIST_LATE] = "list_late",
	[SCENARIO_JOIN] = "join",
	[SCENARIO_OVERLOAD] = "overload",
	[SCENARIO_HANG_UP] = "hang_up",
	[SCENARIO_CUT_STORE] = "cut_store",
	[SCENARIO_WAIT] = "wait",
};

enum call_kind { CALL_HOLD, CALL_START, CALL_STOP, CALL_KINDS };

struct call {
	TAILQ_ENTRY(call) entry; /* while the worker's answer waits */
	enum call_kind kind;
	int node;
	uint64_t incarnation;
	int worker;
	uint64_t token; /* or serial */
	uint64_t fence;
	char task[STEP_JOB_TASK_BYTES];
	uint32_t number;
	uint64_t deadline_ms;
	uint64_t ends_read;
	uint32_t wait_ms;
	uint64_t until_ms; /* a hold waits until then */
	bool unanswered;
	bool ended; /* answered or timed out */
};

struct run {
	uint32_t number;
	uint32_t attempt; /* of the caller, when it started */
	int node; /* that sent the start */
	uint64_t started_ms;
	uint64_t stopped_ms; /* it ends then; 0: no stop has arrived */
};

struct end {
	uint64_t number_of_end;
	uint32_t number;
	enum pool_end how;
};

struct worker {
	char id[8];
	uint64_t born_ms;
	uint64_t clock_base_ms;
	uint64_t clock_since_ms;
	uint64_t down_until_ms;
	bool draining;
	uint64_t unregistered_until_ms;
	bool is_absent; /* has not joined yet */
	bool unlisted[SCENARIO_NODES]; /* its registration was not read yet */
	uint64_t fence;
	uint64_t lease_ms; /* on its clock */
	uint32_t refused_number; /* this run and lower ones never start */
	struct run runs[MAX_RUNS];
	size_t run_count;
	struct end ends[MAX_ENDS];
	size_t end_count;
	uint64_t last_end;
	TAILQ_HEAD(, call) holds;
	char task[STEP_JOB_TASK_BYTES];
	bool loses_answer;
	struct {
		bool is_set;
		uint32_t grants_ms; /* 0: late by 2 s, and has expired */
	} delays[CALL_KINDS];
	bool connected[SCENARIO_NODES]; /* to its present process */
};

struct node {
	struct play *play;
	int index;
	char name[2];
	struct lease_node *lease_node;
	struct lease_node_ports ports;
	uint64_t incarnation; /* 0: killed */
	uint64_t lives;
	uint64_t frozen_since_ms;
	uint64_t frozen_until_ms;
	uint64_t restart_ms;
	uint64_t stop_ends_ms;
	uint64_t overloaded_until_ms;
	bool flush_due;
	struct fake_store_reader reader;
	bool is_store_cut;
	bool leads; /* as last traced */
	uint64_t linked[SCENARIO_NODES]; /* incarnations; 0: no link */
	/* What this side of a link sends is lost until then; 0: it is not. */
	uint64_t dead_until_ms[SCENARIO_NODES];
	uint32_t closed[SCENARIO_NODES]; /* times that this side closed */
	uint32_t read_closed[SCENARIO_NODES]; /* as the process has read */
};

enum event_kind {
	EV_MESSAGE,
	EV_LINK_UP,
	EV_LINK_DOWN,
	EV_ORDER,
	EV_ANSWER,
	EV_TIMEOUT,
	EV_FLUSH,
	EV_SUBMIT,
	EV_DISCONNECT,
	EV_LISTED,
	EV_LISTED_LATE,
	EV_REFRESHED,
	EV_KEPT,
	EV_RESEND,
};

struct event {
	STAILQ_ENTRY(event) entry;
	enum event_kind kind;
	int node;
	uint64_t incarnation; /* of that node, when it was sent */
	uint64_t from; /* incarnation of the sender */
	int sender; /* of a message, and the receiver's closed when sent */
	uint32_t closed;
	uint8_t *data;
	size_t len;
	struct call *call;
	struct pool_reply reply;
	struct pool_lists lists; /* of a hold */
	uint64_t request;
	int worker;
	uint64_t sent_ms; /* of the call that is answered */
};

STAILQ_HEAD(event_list, event);

struct play {
	const struct scenario *scenario;
	struct scenario_result *result;
	struct node nodes[SCENARIO_NODES];
	struct worker workers[SCENARIO_WORKERS];
	bool cut[SCENARIO_NODES][SCENARIO_NODES];
	bool worker_cut[SCENARIO_NODES][SCENARIO_WORKERS];
	struct event_list events[EVENT_SLOTS];
	struct fake_store *store;
	struct event_list kept; /* sent during a cut, arrive afterwards */
	size_t event_count; /* submissions, and orders that are on their way */
	uint64_t now_ms;
	uint64_t begin_ms; /* the job is sent */
	uint32_t attempts;
	uint64_t request; /* of the last attempt */
	int caller_node;
	uint64_t caller_incarnation;
	bool is_open; /* the caller waits for an answer */
	bool started;
};

static const struct queue_config_queue queue = {
	.name = "q",
	.service = "s",
	.attempts = 2,
	.stretch = 1.6,
	.objective_ms = 60,
};

const char *scenario_kind_text(enum scenario_kind kind)
{
	return kind_texts[kind];
}

void scenario_print(const struct scenario *s)
{
	printf("%u %u %u %u %u %u%s", s->entry, s->resend_entry,
	       s->direct_workers, s->keeps_messages, s->announces,
	       s->ticks_first, s->full_answers ? " full" : "");
	for (size_t i = 0; i < s->fault_count; i++)
		printf(" %u:%s(%u,%u)", s->faults[i].at_ms,
		       kind_texts[s->faults[i].kind], s->faults[i].a,
		       s->faults[i].b);
	printf("\n");
}

static bool read_fault(struct scenario_fault *fault, const char *text,
		       int *used)
{
	char kind[32];

	if (sscanf(text, " %u:%31[^(](%u,%u)%n", &fault->at_ms, kind, &fault->a,
		   &fault->b, used) != 4)
		return false;
	for (int i = 0; i < SCENARIO_KIND_COUNT; i++)
		if (!strcmp(kind, kind_texts[i])) {
			fault->kind = (enum scenario_kind)i;
			return true;
		}
	return false;
}

bool scenario_read(struct scenario *s, const char *text)
{
	unsigned int keeps, announces, ticks;
	int used;

	memset(s, 0, sizeof(*s));
	if (sscanf(text, "%u %u %u %u %u %u%n", &s->entry, &s->resend_entry,
		   &s->direct_workers, &keeps, &announces, &ticks, &used) != 6)
		return false;
	s->keeps_messages = keeps;
	s->announces = announces;
	s->ticks_first = ticks;
	text += used;
	s->full_answers = !strncmp(text, " full", 5);
	if (s->full_answers)
		text += 5;
	for (; *text; text += used)
		if (s->fault_count == SCENARIO_MAX_FAULTS ||
		    !read_fault(&s->faults[s->fault_count++], text, &used))
			return false;
	return true;
}

__attribute__((format(printf, 2, 3))) static void trace(const struct play *play,
							const char *format, ...)
{
	va_list args;

	if (!play->scenario->trace)
		return;
	printf("%6" PRId64 " ms  ", (int64_t)(play->now_ms - play->begin_ms));
	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	printf("\n");
}

static bool is_frozen(const struct play *play, const struct node *node)
{
	return node->frozen_until_ms > play->now_ms;
}

static bool is_running(const struct play *play, const struct node *node)
{
	return node->lease_node && !is_frozen(play, node);
}

/* Events */

static void add_event(struct play *play, struct event *event, uint64_t due_ms)
{
	STAILQ_INSERT_TAIL(&play->events[due_ms % EVENT_SLOTS], event, entry);
}

static struct event *create_event(struct play *play, enum event_kind kind,
				  const struct node *node)
{
	struct event *event = talloc_zero(play, struct event);

	event->kind = kind;
	if (node) {
		event->node = node->index;
		event->incarnation = node->incarnation;
	}
	return event;
}

static struct event *schedule_event(struct play *play, enum event_kind kind,
				    const struct node *node, uint64_t delay_ms)
{
	struct event *event = create_event(play, kind, node);

	add_event(play, event, play->now_ms + (delay_ms ? delay_ms : 1));
	return event;
}

/* Sends an event, or keeps or drops it where the way is cut. */
static void send_event(struct play *play, struct event *event, bool is_cut,
		       uint64_t delay_ms)
{
	if (!is_cut)
		add_event(play, event, play->now_ms + delay_ms);
	else if (play->scenario->keeps_messages)
		STAILQ_INSERT_TAIL(&play->kept, event, entry);
	else
		talloc_free(event);
}

/* Ports of an instance */

static void port_send(void *ctx, uint64_t incarnation,
		      const Bergamot__Peer *msg)
{
	struct node *node = ctx;
	struct play *play = node->play;

	for (int i = 0; i < SCENARIO_NODES; i++) {
		struct node *to = &play->nodes[i];
		struct event *event;

		if (to->incarnation != incarnation || !incarnation ||
		    node->linked[i] != incarnation || node->dead_until_ms[i])
			continue;
		event = create_event(play, EV_MESSAGE, to);
		event->from = node->incarnation;
		event->sender = node->index;
		event->closed = to->closed[node->index];
		event->len = bergamot__peer__get_packed_size(msg);
		event->data = talloc_size(event, event->len);
		bergamot__peer__pack(msg, event->data);
		send_event(play, event, play->cut[node->index][i], NETWORK_MS);
	}
}

static void port_dial(void *ctx, const char *address)
{
	(void)ctx;
	(void)address;
}

static struct queue_config *port_parse(void *ctx, TALLOC_CTX *mem,
				       const char *text, size_t len)
{
	struct queue_config *config = talloc_zero(mem, struct queue_config);

	(void)ctx;
	config->version = strtoull(text, NULL, 10);
	config->text = talloc_strndup(config, text, len);
	config->text_len = len;
	return config;
}

static uint64_t port_wall_ms(void *ctx)
{
	const struct node *node = ctx;

	return node->play->now_ms + UINT64_C(1790000000000) +
	       (uint64_t)node->index * 7;
}

static void port_wake(void *ctx)
{
	struct node *node = ctx;

	if (!node->flush_due)
		schedule_event(node->play, EV_FLUSH, node, 1);
	node->flush_due = true;
}

/* The platform's store answers with what it has when it is asked. */
static void port_refresh_workers(void *ctx)
{
	struct node *node = ctx;

	schedule_event(node->play, EV_REFRESHED, node, STORE_MS)->sent_ms =
		node->play->now_ms;
}

static void port_keep(void *ctx, const Bergamot__LateStarts *msg)
{
	struct node *node = ctx;
	struct play *play = node->play;

	fake_store_keep(play->store, node->incarnation, msg, play->now_ms);
	schedule_event(play, EV_KEPT, node, STORE_MS);
}

static void resend_later(struct play *play)
{
	play->is_open = false;
	schedule_event(play, EV_RESEND, NULL, RESEND_MS);
	play->event_count++;
}

static void port_answer(void *ctx, const struct lease_node_answer *answer)
{
	struct node *node = ctx;
	struct play *play = node->play;

	trace(play, "instance %d answers attempt %" PRIu64 ": %s (%s)",
	      node->index, answer->request, lease_end_text(answer->end),
	      lease_reason_text(answer->reason));
	if (!play->is_open || answer->request != play->request)
		return;
	play->is_open = false;
	if (answer->end == LEASE_GIVEN_UP)
		resend_later(play);
}

static struct call *create_call(struct node *node, enum call_kind kind,
				const char *worker, uint64_t token,
				uint64_t fence)
{
	struct call *call = talloc_zero(node->play, struct call);

	call->kind = kind;
	call->node = node->index;
	call->incarnation = node->incarnation;
	call->worker = (int)strtol(worker + 1, NULL, 10);
	call->token = token;
	call->fence = fence;
	return call;
}

static void send_order(struct play *play, struct event *order, bool is_cut,
		       uint64_t delay_ms)
{
	if (!is_cut || play->scenario->keeps_messages)
		play->event_count++;
	send_event(play, order, is_cut, delay_ms);
}

/* Returns by how much the call is late. */
static uint64_t delay_order(struct play *play, struct worker *w,
			    struct call *call)
{
	uint32_t grants_ms = w->delays[call->kind].grants_ms;

	w->delays[call->kind].is_set = false;
	call->unanswered = true;
	trace(play, "the order to %s is late", w->id);
	if (!grants_ms)
		return ORDER_DELAY_MS;
	if (call->deadline_ms)
		call->deadline_ms += grants_ms;
	return grants_ms;
}

static void send_call(struct node *node, struct call *call, uint32_t timeout_ms)
{
	struct play *play = node->play;
	struct worker *w = &play->workers[call->worker];
	bool is_cut = play->worker_cut[node->index][call->worker];
	struct event *order = create_event(play, EV_ORDER, NULL);
	uint64_t delay_ms = NETWORK_MS;

	if (w->delays[call->kind].is_set && !is_cut)
		delay_ms = delay_order(play, w, call);
	order->call = call;
	/* Only an open connection keeps it: a new one is given up. */
	if (is_cut && !w->connected[node->index])
		talloc_free(order);
	else
		send_order(play, order, is_cut, delay_ms);
	schedule_event(play, EV_TIMEOUT, node, timeout_ms)->call = call;
}

static void port_hold(void *ctx, const struct pool_hold_call *from)
{
	struct call *call = create_call(ctx, CALL_HOLD, from->worker,
					from->serial, from->fence);

	call->ends_read = from->ends_read;
	call->deadline_ms = from->deadline_ms;
	call->wait_ms = from->wait_ms;
	send_call(ctx, call, from->timeout_ms);
}

static void port_start(void *ctx, const struct pool_start_call *from)
{
	struct call *call = create_call(ctx, CALL_START, from->worker,
					from->token, from->fence);
	const struct node *node = ctx;

	call->deadline_ms = from->deadline_ms;
	call->number = from->number;
	snprintf(call->task, sizeof(call->task), "%s", from->task);
	trace(node->play, "instance %d sends %s a start of run %u, token %llu",
	      node->index, from->worker, from->number,
	      (unsigned long long)from->fence % 1000000);
	send_call(ctx, call, from->timeout_ms);
}

static void port_stop(void *ctx, const struct pool_stop_call *from)
{
	struct call *call = create_call(ctx, CALL_STOP, from->worker,
					from->token, from->fence);
	const struct node *node = ctx;

	call->number = from->number;
	snprintf(call->task, sizeof(call->task), "%s", from->task);
	trace(node->play, "instance %d sends %s a stop of run %u", node->index,
	      from->worker, from->number);
	send_call(ctx, call, from->timeout_ms);
}

/* Workers */

static uint64_t worker_clock(const struct play *play, const struct worker *w)
{
	return w->clock_base_ms +
	       (play->now_ms - w->clock_since_ms) * CLOCK_PERCENT / 100;
}

static void end_run(struct play *play, struct worker *w, size_t i,
		    enum pool_end how)
{
	struct end *end = &w->ends[w->end_count++];

	trace(play, "%s: run %u ends: %s", w->id, w->runs[i].number,
	      pool_end_text(how));
	end->number_of_end = ++w->last_end;
	end->number = w->runs[i].number;
	end->how = how;
	if (w->refused_number < end->number)
		w->refused_number = end->number;
	w->runs[i] = w->runs[--w->run_count];
}

/* Reports a start of the task while one of its runs is open. */
static void check_start(struct play *play, const struct call *call)
{
	struct scenario_result *result = play->result;

	play->started = true;
	for (int i = 0; i < SCENARIO_WORKERS; i++) {
		const struct worker *w = &play->workers[i];

		if (!w->run_count || result->two_runs)
			continue;
		result->two_runs = true;
		result->resent = play->attempts != w->runs[0].attempt;
		result->at_ms = play->now_ms - play->begin_ms;
		snprintf(result->text, sizeof(result->text),
			 "run %u on w%d by instance %d in attempt %u; run %u "
			 "on %s since %" PRIu64 " ms by instance %d in attempt "
			 "%u",
			 call->number, call->worker, call->node, play->attempts,
			 w->runs[0].number, w->id,
			 play->now_ms - w->runs[0].started_ms, w->runs[0].node,
			 w->runs[0].attempt);
		trace(play, "two runs: %s", result->text);
	}
}

static void renew_lease(struct play *play, struct worker *w,
			const struct call *call)
{
	uint64_t clock_ms = worker_clock(play, w);
	uint64_t until_ms = call->deadline_ms;

	if (until_ms > clock_ms + LEASE_MS)
		until_ms = clock_ms + LEASE_MS;
	if (until_ms <= w->lease_ms)
		return;
	w->lease_ms = until_ms;
	if (call->kind == CALL_HOLD && w->run_count)
		trace(play,
		      "%s: instance %d renews the lease for %" PRIu64
		      " ms, token %llu",
		      w->id, call->node, until_ms - clock_ms,
		      (unsigned long long)call->fence % 1000000);
}

static enum pool_answer start_run(struct play *play, struct worker *w,
				  const struct call *call)
{
	struct run *run;

	if (call->deadline_ms <= worker_clock(play, w))
		return POOL_DEADLINE_PASSED;
	renew_lease(play, w, call);
	for (size_t i = 0; i < w->run_count; i++)
		if (w->runs[i].number == call->number)
			return POOL_OK;
	if (call->number <= w->refused_number)
		return POOL_RUN_OLD;
	if ((w->run_count + 1) * TASK_MILLI > CAPACITY_MILLI)
		return POOL_DOES_NOT_FIT;
	trace(play, "%s: starts run %u for instance %d", w->id, call->number,
	      call->node);
	check_start(play, call);
	run = &w->runs[w->run_count++];
	*run = (struct run){ .number = call->number,
			     .attempt = play->attempts,
			     .node = call->node,
			     .started_ms = play->now_ms };
	memcpy(w->task, call->task, sizeof(w->task));
	return POOL_OK;
}

static enum pool_answer stop_run(struct play *play, struct worker *w,
				 const struct call *call)
{
	if (w->refused_number < call->number)
		w->refused_number = call->number;
	for (size_t i = 0; i < w->run_count; i++)
		if (w->runs[i].number == call->number && !w->runs[i].stopped_ms)
			w->runs[i].stopped_ms = play->now_ms + STOP_MS - 1;
	return POOL_OK;
}

static void fill_lists(struct worker *w, struct event *e)
{
	struct pool_listed_run *running =
		talloc_array(e, struct pool_listed_run, w->run_count);
	struct pool_listed_end *ended =
		talloc_array(e, struct pool_listed_end, w->end_count);

	for (size_t i = 0; i < w->run_count; i++)
		running[i] = (struct pool_listed_run){ w->task,
						       w->runs[i].number, 1 };
	for (size_t i = 0; i < w->end_count; i++)
		ended[i] = (struct pool_listed_end){ w->ends[i].number_of_end,
						     w->task, w->ends[i].number,
						     w->ends[i].how };
	e->lists = (struct pool_lists){ running, w->run_count, ended,
					w->end_count };
}

static void answer_call(struct play *play, struct call *call,
			enum pool_answer answer)
{
	struct worker *w = &play->workers[call->worker];
	struct node *node = &play->nodes[call->node];
	struct event *e;

	if (call->unanswered || call->ended ||
	    node->incarnation != call->incarnation)
		return;
	if (w->loses_answer) {
		w->loses_answer = false;
		trace(play, "the answer of %s is lost", w->id);
		return;
	}
	e = create_event(play, EV_ANSWER, node);
	e->call = call;
	e->reply.answer = answer;
	if (answer != POOL_REFUSED) {
		e->reply.clock_ms = worker_clock(play, w);
		if (play->scenario->full_answers ||
		    (call->kind == CALL_HOLD && answer == POOL_OK))
			e->reply.born_ms = w->born_ms;
	}
	if (call->kind == CALL_HOLD && answer == POOL_OK)
		fill_lists(w, e);
	send_event(play, e, play->worker_cut[call->node][call->worker],
		   NETWORK_MS);
}

static void begin_hold(struct play *play, struct worker *w, struct call *call)
{
	size_t kept = 0;

	for (size_t i = 0; i < w->end_count; i++)
		if (w->ends[i].number_of_end > call->ends_read)
			w->ends[kept++] = w->ends[i];
	w->end_count = kept;
	renew_lease(play, w, call);
	call->until_ms = play->now_ms + call->wait_ms;
	TAILQ_INSERT_TAIL(&w->holds, call, entry);
}

static void execute_call(struct play *play, struct call *call)
{
	struct worker *w = &play->workers[call->worker];

	if (w->down_until_ms > play->now_ms) {
		answer_call(play, call, POOL_REFUSED);
		return;
	}
	w->connected[call->node] = true;
	if (call->fence < w->fence) {
		answer_call(play, call, POOL_FENCED);
		return;
	}
	if (call->fence > w->fence && w->run_count)
		trace(play, "%s: obeys instance %d, token %llu", w->id,
		      call->node, (unsigned long long)call->fence % 1000000);
	w->fence = call->fence;
	if (call->kind == CALL_HOLD)
		begin_hold(play, w, call);
	else if (call->kind == CALL_START)
		answer_call(play, call, start_run(play, w, call));
	else
		answer_call(play, call, stop_run(play, w, call));
}

static void step_worker(struct play *play, struct worker *w)
{
	struct call *call, *next;

	for (size_t i = 0; i < w->run_count; i++)
		if (w->lease_ms <= worker_clock(play, w))
			end_run(play, w, i--, POOL_LAPSED);
		else if (w->runs[i].stopped_ms &&
			 w->runs[i].stopped_ms <= play->now_ms)
			end_run(play, w, i--, POOL_STOPPED);
	for (call = TAILQ_FIRST(&w->holds); call; call = next) {
		next = TAILQ_NEXT(call, entry);
		if (call->until_ms > play->now_ms &&
		    (!w->end_count || w->last_end <= call->ends_read))
			continue;
		TAILQ_REMOVE(&w->holds, call, entry);
		answer_call(play, call, POOL_OK);
	}
}

static void set_up_worker(struct play *play, struct worker *w,
			  uint64_t clock_ms)
{
	w->born_ms = play->now_ms + UINT64_C(1790000000000);
	w->clock_base_ms = clock_ms;
	w->clock_since_ms = play->now_ms;
	w->fence = w->lease_ms = w->last_end = 0;
	w->refused_number = 0;
	memset(w->connected, 0, sizeof(w->connected));
	w->run_count = w->end_count = 0;
	TAILQ_INIT(&w->holds);
}

/* Instances */

static void link_to(struct play *play, struct node *node,
		    const struct node *other)
{
	Bergamot__Hello hello;

	bergamot__hello__init(&hello);
	hello.incarnation = other->incarnation;
	hello.instance = (char *)other->name;
	hello.address = (char *)other->name;
	node->linked[other->index] = other->incarnation;
	lease_node_peer_up(node->lease_node, &hello, play->now_ms);
}

/* A frozen instance reads the other one's Hello once it runs again. */
static void open_link(struct play *play, struct node *node,
		      const struct node *other)
{
	if (!is_frozen(play, node)) {
		link_to(play, node, other);
		return;
	}
	node->linked[other->index] = other->incarnation;
	schedule_event(play, EV_LINK_UP, node, 0)->from = other->incarnation;
}

/* Returns true if an instance has sent its Hello, before it froze if it has. */
static bool has_sent_hello(const struct play *play, const struct node *node)
{
	return node->lease_node &&
	       (!is_frozen(play, node) ||
		play->now_ms - node->frozen_since_ms <= NETWORK_MS);
}

static void link_nodes(struct play *play, struct node *a, struct node *b)
{
	if (a == b || !has_sent_hello(play, a) || !has_sent_hello(play, b) ||
	    (is_frozen(play, a) && is_frozen(play, b)) ||
	    play->cut[a->index][b->index] || play->cut[b->index][a->index])
		return;
	/* A side that has not noticed the loss of its link goes on using it. */
	if (!a->dead_until_ms[b->index])
		open_link(play, a, b);
	if (!b->dead_until_ms[a->index])
		open_link(play, b, a);
}

/* What is kept behind a cut is lost when its sender's side closes. */
static void drop_kept_messages(struct play *play, const struct node *from,
			       const struct node *to)
{
	struct event *e = STAILQ_FIRST(&play->kept);
	struct event *next;

	for (; e; e = next) {
		next = STAILQ_NEXT(e, entry);
		if (e->kind != EV_MESSAGE || e->sender != from->index ||
		    e->node != to->index)
			continue;
		STAILQ_REMOVE(&play->kept, e, event, entry);
		talloc_free(e);
	}
}

static void read_hello(struct play *play, struct node *node, uint64_t from)
{
	for (int i = 0; i < SCENARIO_NODES; i++)
		if (play->nodes[i].incarnation == from &&
		    node->linked[i] == from)
			link_to(play, node, &play->nodes[i]);
}

/* The side of instance a closes, and what it has not sent is lost. */
static void unlink_nodes(struct play *play, struct node *a, struct node *b)
{
	struct event *event;

	a->dead_until_ms[b->index] = 0;
	if (!a->lease_node || !a->linked[b->index])
		return;
	event = schedule_event(play, EV_LINK_DOWN, a, 0);
	event->from = a->linked[b->index];
	event->sender = b->index;
	a->linked[b->index] = 0;
	a->closed[b->index]++;
	drop_kept_messages(play, a, b);
}

/* An instance that uses a dead link notices; a newer one may be open. */
static void notice_dead_link(struct play *play, struct node *a, struct node *b)
{
	trace(play, "the link of instance %d to instance %d closes", a->index,
	      b->index);
	unlink_nodes(play, a, b);
	if (a->lease_node && b->lease_node &&
	    b->linked[a->index] == a->incarnation &&
	    !b->dead_until_ms[a->index]) {
		a->linked[b->index] = b->incarnation;
		schedule_event(play, EV_LINK_UP, a, 0)->from = b->incarnation;
	}
}

static void notice_dead_links(struct play *play)
{
	for (int a = 0; a < SCENARIO_NODES; a++)
		for (int b = 0; b < SCENARIO_NODES; b++)
			if (play->nodes[a].dead_until_ms[b] == play->now_ms)
				notice_dead_link(play, &play->nodes[a],
						 &play->nodes[b]);
}

static void list_worker(struct play *play, struct node *node, int i)
{
	static const char *const labels[] = { "a", NULL };
	struct pool_registration registration = {
		.id = play->workers[i].id,
		.address = "x",
		.service = "s",
		.data_centre = "d",
		.labels = labels,
		.capacity = { CAPACITY_MILLI, 32768, 0 },
		.born_ms = play->workers[i].born_ms,
		.draining = play->workers[i].draining,
	};

	if (play->workers[i].is_absent ||
	    play->workers[i].unlisted[node->index])
		return;
	if (play->workers[i].unregistered_until_ms > play->now_ms) {
		lease_node_worker_removed(node->lease_node, registration.id,
					  play->now_ms);
		return;
	}

	lease_node_worker_listed(node->lease_node, &registration, play->now_ms);
}

/*
 * A registration that has lapsed before it was read is missed only if the store
 * has discarded its history: the list is read anew.
 */
static void list_unread_worker(struct play *play, struct node *node, int i)
{
	struct worker *w = &play->workers[i];
	bool was_unread = w->unlisted[node->index];

	w->unlisted[node->index] = false;
	list_worker(play, node, i);
	if (was_unread && w->unregistered_until_ms > play->now_ms)
		lease_node_worker_list_complete(node->lease_node, play->now_ms);
}

static void refresh_workers(struct play *play, struct node *node,
			    uint64_t as_of_ms)
{
	for (int i = 0; i < SCENARIO_WORKERS; i++)
		list_unread_worker(play, node, i);
	lease_node_worker_list_current(node->lease_node, as_of_ms);
}

static void start_node(struct play *play, struct node *node)
{
	struct lease_node_options options = {
		.ports = &node->ports,
		.instance = node->name,
		.data_centre = "d",
		.address = node->name,
		.weight = FIRST_WEIGHT - (uint32_t)node->index * WEIGHT_STEP,
		.direct_workers = play->scenario->direct_workers,
		.first_start = !node->lives,
		.lease_ms = LEASE_MS,
		.stop_ms = STOP_MS,
		.far_factor = 1,
		.admission = true,
		.order = lease_find_order("late_last"),
		.place = place_find("fastest"),
		.seed = 1,
		.now_ms = play->now_ms,
	};

	node->lives++;
	node->restart_ms = node->stop_ends_ms = node->frozen_until_ms = 0;
	node->overloaded_until_ms = 0;
	node->flush_due = false;
	node->reader = (struct fake_store_reader){ 0 };
	memcpy(node->read_closed, node->closed, sizeof(node->closed));
	node->incarnation = (uint64_t)(node->index + 1) * 1000 + node->lives;
	options.incarnation = node->incarnation;
	node->ports = (struct lease_node_ports){
		.ctx = node,
		.workers = { node, port_hold, port_start, port_stop },
		.answer = port_answer,
		.send = port_send,
		.dial = port_dial,
		.parse_config = port_parse,
		.wall_ms = port_wall_ms,
		.wake = port_wake,
		.refresh_workers = port_refresh_workers,
		.keep_late_starts = port_keep,
	};
	node->lease_node = lease_node_create(NULL, &options);
	lease_node_config_read(node->lease_node, "1", 1, play->now_ms);
	for (int i = 0; i < SCENARIO_WORKERS; i++)
		list_worker(play, node, i);
	lease_node_worker_list_complete(node->lease_node, play->now_ms);
	lease_node_worker_list_current(node->lease_node, play->now_ms);
	for (int i = 0; i < SCENARIO_NODES; i++)
		link_nodes(play, node, &play->nodes[i]);
}

/* Links that are cut close once the cut is healed. */
static void kill_node(struct play *play, struct node *node)
{
	if (play->is_open && play->caller_incarnation == node->incarnation)
		resend_later(play);
	talloc_free(node->lease_node);
	node->lease_node = NULL;
	node->incarnation = 0;
	node->leads = false;
	node->frozen_until_ms = 0;
	memset(node->linked, 0, sizeof(node->linked));
	memset(node->dead_until_ms, 0, sizeof(node->dead_until_ms));
	for (int i = 0; i < SCENARIO_NODES; i++)
		if (!play->cut[node->index][i])
			unlink_nodes(play, &play->nodes[i], node);
	node->restart_ms = play->now_ms + RESTART_MS;
}

static void tick_node(struct play *play, struct node *node)
{
	bool leads;

	if (node->overloaded_until_ms > play->now_ms)
		lease_node_record_lag(node->lease_node, OVERLOAD_LAG_MS);
	lease_node_tick(node->lease_node, play->now_ms);
	fake_store_read(play->store, &node->reader, node->lease_node,
			play->now_ms);
	leads = lease_node_leads(node->lease_node);
	if (leads != node->leads)
		trace(play, "instance %d %s", node->index,
		      leads ? "leads" : "no longer leads");
	node->leads = leads;
}

static void step_node(struct play *play, struct node *node)
{
	if (node->restart_ms && node->restart_ms <= play->now_ms) {
		trace(play, "instance %d is started again", node->index);
		start_node(play, node);
	} else if (node->stop_ends_ms && node->stop_ends_ms <= play->now_ms &&
		   is_running(play, node)) {
		lease_node_end_jobs(node->lease_node, play->now_ms);
		kill_node(play, node);
	} else if (is_running(play, node) &&
		   (play->now_ms + (uint64_t)node->index * 3) % TICK_MS == 0) {
		tick_node(play, node);
	}
}

static void dial_unlinked(struct play *play)
{
	for (int a = 0; a < SCENARIO_NODES; a++)
		for (int b = 0; b < a; b++) {
			struct node *x = &play->nodes[a];
			struct node *y = &play->nodes[b];

			if (x->linked[b] != y->incarnation ||
			    y->linked[a] != x->incarnation)
				link_nodes(play, x, y);
		}
}

/* The caller */

static void submit(struct play *play, int first)
{
	for (int i = 0; i < SCENARIO_NODES; i++) {
		struct node *node = &play->nodes[(first + i) % SCENARIO_NODES];
		struct event *event;

		if (!node->lease_node || node->stop_ends_ms)
			continue;
		play->attempts++;
		play->request = play->attempts;
		play->caller_node = node->index;
		play->caller_incarnation = node->incarnation;
		play->is_open = true;
		trace(play,
		      "the caller sends the job to instance %d, attempt "
		      "%u",
		      node->index, play->attempts);
		event = schedule_event(play, EV_SUBMIT, node, 0);
		event->request = play->request;
		play->event_count++;
		return;
	}
}

static void deliver_job(struct play *play, struct node *node, uint64_t request)
{
	struct step_job *job = talloc_zero(NULL, struct step_job);

	memcpy(job->id, JOB_ID, sizeof(job->id));
	job->text = talloc_strdup(job, "t");
	job->step_count = 1;
	job->steps = talloc_zero_array(job, struct job_step, 1);
	job->steps[0].count = 1;
	job->steps[0].demand.cpu_milli = TASK_MILLI;
	job->steps[0].estimate_ms = TASK_MS;
	lease_node_submit(node->lease_node, request, &queue, job,
			  CALLER_DEADLINE_MS, play->now_ms);
}

/* Faults. Each returns false if it changes nothing. */

static bool set_cut(bool *cut)
{
	bool changed = !*cut;

	*cut = true;
	return changed;
}

static bool cut_link(struct play *play, uint32_t a, uint32_t b)
{
	bool changed = set_cut(&play->cut[a][b]);

	return set_cut(&play->cut[b][a]) || changed;
}

static bool cut_partition(struct play *play, uint32_t nodes, uint32_t workers)
{
	bool changed = false;

	for (uint32_t a = 0; a < SCENARIO_NODES; a++) {
		bool inside = nodes >> a & 1;

		for (uint32_t b = 0; b < a; b++)
			if (inside != (nodes >> b & 1))
				changed |= cut_link(play, a, b);
		for (uint32_t w = 0; w < SCENARIO_WORKERS; w++)
			if (inside != (workers >> w & 1))
				changed |= set_cut(&play->worker_cut[a][w]);
	}
	return changed;
}

/* Delivers what was kept during the cut. */
static void deliver_kept(struct play *play)
{
	struct event *event;

	while ((event = STAILQ_FIRST(&play->kept))) {
		STAILQ_REMOVE_HEAD(&play->kept, entry);
		add_event(play, event, play->now_ms + NETWORK_MS);
	}
}

static bool heal_workers(struct play *play)
{
	static const bool none[SCENARIO_NODES][SCENARIO_WORKERS];
	bool changed = memcmp(none, play->worker_cut, sizeof(none)) != 0;

	memset(play->worker_cut, 0, sizeof(play->worker_cut));
	return changed;
}

/* Instances read the changes of the list that they have missed. */
static bool heal_stores(struct play *play)
{
	bool changed = false;

	for (int i = 0; i < SCENARIO_NODES; i++) {
		struct node *node = &play->nodes[i];

		if (!node->is_store_cut)
			continue;
		changed = true;
		node->is_store_cut = false;
		port_refresh_workers(node);
	}
	return changed;
}

static bool heal(struct play *play)
{
	bool changed = heal_workers(play);

	for (int a = 0; a < SCENARIO_NODES; a++)
		for (int b = 0; b < a; b++) {
			struct node *x = &play->nodes[a];
			struct node *y = &play->nodes[b];

			if (!play->cut[a][b] && !play->cut[b][a])
				continue;
			changed = true;
			play->cut[a][b] = play->cut[b][a] = false;
			if (play->scenario->keeps_messages &&
			    x->linked[b] == y->incarnation &&
			    y->linked[a] == x->incarnation)
				continue;
			unlink_nodes(play, x, y);
			unlink_nodes(play, y, x);
		}
	deliver_kept(play);
	changed |= heal_stores(play);
	return changed;
}

static bool reset_link(struct play *play, struct node *a, struct node *b)
{
	if (!a->linked[b->index] || !b->linked[a->index])
		return false;
	unlink_nodes(play, a, b);
	unlink_nodes(play, b, a);
	return true;
}

static bool half_close(struct play *play, struct node *a, struct node *b,
		       uint32_t open_ms)
{
	if (!a->linked[b->index] || !b->linked[a->index] ||
	    a->dead_until_ms[b->index] || b->dead_until_ms[a->index])
		return false;
	unlink_nodes(play, a, b);
	b->dead_until_ms[a->index] = play->now_ms + open_ms;
	return true;
}

static bool silence_link(struct play *play, struct node *a, struct node *b,
			 uint32_t later_ms)
{
	uint64_t until_ms = play->now_ms + LINK_SILENCE_MS;

	if (!a->linked[b->index] || !b->linked[a->index] ||
	    a->dead_until_ms[b->index] || b->dead_until_ms[a->index])
		return false;
	a->dead_until_ms[b->index] = until_ms;
	b->dead_until_ms[a->index] = until_ms + later_ms;
	return true;
}

static bool hang_up(struct play *play)
{
	struct event *event;

	if (!play->is_open)
		return false;
	event = schedule_event(play, EV_DISCONNECT,
			       &play->nodes[play->caller_node], 0);
	event->request = play->request;
	resend_later(play);
	return true;
}

/* A connection to the worker's former process takes its orders with it. */
static void drop_kept_orders(struct play *play, int worker)
{
	struct event *e = STAILQ_FIRST(&play->kept);
	struct event *next;

	for (; e; e = next) {
		next = STAILQ_NEXT(e, entry);
		if (e->kind != EV_ORDER || e->call->worker != worker)
			continue;
		STAILQ_REMOVE(&play->kept, e, event, entry);
		talloc_free(e);
		play->event_count--;
	}
}

/* Instances read the worker's registration anew. */
static void announce(struct play *play, const struct worker *w,
		     uint64_t delay_ms)
{
	for (int i = 0; i < SCENARIO_NODES; i++)
		schedule_event(play, EV_LISTED, &play->nodes[i], delay_ms)
			->worker = (int)(w - play->workers);
}

static bool join_worker(struct play *play, struct worker *w, struct node *first)
{
	w->is_absent = false;
	announce(play, w, LIST_PERIOD_MS);
	schedule_event(play, EV_LISTED, first, 0)->worker =
		(int)(w - play->workers);
	return true;
}

static bool drain_worker(struct play *play, struct worker *w)
{
	bool changed = set_cut(&w->draining);

	announce(play, w, 0);
	return changed;
}

static bool unregister_worker(struct play *play, struct worker *w,
			      uint32_t for_ms)
{
	if (w->unregistered_until_ms > play->now_ms)
		return false;
	w->unregistered_until_ms = play->now_ms + for_ms;
	announce(play, w, 0);
	announce(play, w, for_ms);
	return true;
}

static bool overload_node(struct play *play, struct node *node, uint32_t ms)
{
	if (!is_running(play, node))
		return false;
	node->overloaded_until_ms = play->now_ms + ms;
	return true;
}

static bool restart_worker(struct play *play, struct worker *w,
			   uint32_t down_ms)
{
	drop_kept_orders(play, (int)(w - play->workers));
	set_up_worker(play, w, 1);
	w->down_until_ms = play->now_ms + down_ms;
	w->clock_since_ms = w->down_until_ms;
	w->born_ms += down_ms;
	w->draining = false;
	if (play->scenario->announces)
		announce(play, w, down_ms + REGISTRATION_MS);
	return true;
}

static bool stop_node(struct play *play, struct node *node)
{
	if (!is_running(play, node) || node->stop_ends_ms)
		return false;
	node->stop_ends_ms = play->now_ms + STOP_LIMIT_MS;
	lease_node_begin_stop(node->lease_node, node->stop_ends_ms,
			      play->now_ms);
	return true;
}

static bool freeze_node(struct play *play, struct node *node, uint32_t ms)
{
	if (!is_running(play, node))
		return false;
	node->frozen_since_ms = play->now_ms;
	node->frozen_until_ms = play->now_ms + ms;
	return true;
}

static bool delay_call(struct play *play, const struct scenario_fault *f,
		       enum call_kind kind)
{
	play->workers[f->a].delays[kind].grants_ms = f->b;
	return set_cut(&play->workers[f->a].delays[kind].is_set);
}

static void step(struct play *play);

static bool apply_fault(struct play *play, const struct scenario_fault *f)
{
	struct node *node = &play->nodes[f->a % SCENARIO_NODES];
	struct worker *w = &play->workers[f->a % SCENARIO_WORKERS];
	struct node *first = &play->nodes[f->a / 10 % SCENARIO_NODES];
	struct node *second = &play->nodes[f->a % 10 % SCENARIO_NODES];

	trace(play, "fault: %s(%u,%u)", kind_texts[f->kind], f->a, f->b);
	switch (f->kind) {
	case SCENARIO_CUT_LINK:
		return cut_link(play, f->a, f->b);
	case SCENARIO_CUT_ONE_WAY:
		return set_cut(&play->cut[f->a][f->b]);
	case SCENARIO_CUT_WORKER:
		return set_cut(&play->worker_cut[f->a][f->b]);
	case SCENARIO_PARTITION:
		return cut_partition(play, f->a, f->b);
	case SCENARIO_HEAL:
		return heal(play);
	case SCENARIO_HEAL_WORKERS:
		return heal_workers(play);
	case SCENARIO_FREEZE:
		return freeze_node(play, node, f->b);
	case SCENARIO_KILL:
		if (!node->lease_node)
			return false;
		kill_node(play, node);
		return true;
	case SCENARIO_STOP:
		return stop_node(play, node);
	case SCENARIO_RESET_LINK:
		return reset_link(play, node, &play->nodes[f->b]);
	case SCENARIO_HALF_CLOSE:
		return half_close(play, first, second, f->b);
	case SCENARIO_SILENCE:
		return silence_link(play, first, second, f->b);
	case SCENARIO_RESTART_WORKER:
		return restart_worker(play, w, f->b);
	case SCENARIO_LOSE_ANSWER:
		return set_cut(&w->loses_answer);
	case SCENARIO_DELAY_START:
		return delay_call(play, f, CALL_START);
	case SCENARIO_DELAY_HOLD:
		return delay_call(play, f, CALL_HOLD);
	case SCENARIO_DELAY_STOP:
		return delay_call(play, f, CALL_STOP);
	case SCENARIO_DRAIN:
		return drain_worker(play, w);
	case SCENARIO_UNREGISTER:
		return unregister_worker(play, w, f->b);
	case SCENARIO_CUT_STORE:
		return set_cut(&node->is_store_cut);
	case SCENARIO_WAIT:
		for (uint32_t i = 0; i < f->b; i++)
			step(play);
		return f->at_ms == 0;
	case SCENARIO_JOIN:
		return join_worker(play, &play->workers[f->b], node);
	case SCENARIO_LIST_LATE:
		schedule_event(play, EV_LISTED_LATE, node, 0)->worker =
			(int)f->b;
		return true;
	case SCENARIO_OVERLOAD:
		return overload_node(play, node, f->b);
	default:
		return hang_up(play);
	}
}

/* Time */

static void deliver_answer(struct play *play, struct node *node,
			   const struct event *e)
{
	struct call *call = e->call;

	if (call->ended)
		return;
	call->ended = true;
	if (call->kind == CALL_HOLD)
		lease_node_hold_answered(
			node->lease_node, play->workers[call->worker].id,
			call->token, &e->reply, &e->lists, play->now_ms);
	else if (call->kind == CALL_START)
		lease_node_start_answered(node->lease_node, call->token,
					  &e->reply, play->now_ms);
	else
		lease_node_stop_answered(node->lease_node, call->token,
					 &e->reply, play->now_ms);
}

static void deliver_to_node(struct play *play, struct node *node,
			    struct event *e)
{
	Bergamot__Peer *msg;

	switch (e->kind) {
	case EV_MESSAGE:
		/* A killed instance's last messages precede its close. */
		if (node->read_closed[e->sender] != e->closed &&
		    play->nodes[e->sender].incarnation == e->from)
			break;
		msg = bergamot__peer__unpack(NULL, e->len, e->data);
		lease_node_peer_message(node->lease_node, e->from, msg,
					play->now_ms);
		bergamot__peer__free_unpacked(msg, NULL);
		break;
	case EV_LINK_UP:
		read_hello(play, node, e->from);
		break;
	case EV_LINK_DOWN:
		node->read_closed[e->sender]++;
		lease_node_peer_down(node->lease_node, e->from, play->now_ms);
		break;
	case EV_ANSWER:
		deliver_answer(play, node, e);
		break;
	case EV_LISTED_LATE:
		list_unread_worker(play, node, e->worker);
		break;
	case EV_REFRESHED:
		if (!node->is_store_cut)
			refresh_workers(play, node, e->sent_ms);
		break;
	case EV_KEPT:
		lease_node_late_starts_kept(node->lease_node, true,
					    play->now_ms);
		break;
	case EV_TIMEOUT:
		e->reply.answer = POOL_NO_ANSWER;
		deliver_answer(play, node, e);
		break;
	case EV_FLUSH:
		node->flush_due = false;
		lease_node_flush(node->lease_node, play->now_ms);
		break;
	case EV_SUBMIT:
		deliver_job(play, node, e->request);
		break;
	case EV_DISCONNECT:
		lease_node_caller_disconnected(node->lease_node, e->request,
					       play->now_ms);
		break;
	default:
		if (!node->is_store_cut)
			list_worker(play, node, e->worker);
	}
}

/* Returns false if the event was put off, as its instance is frozen. */
static bool deliver(struct play *play, struct event *e)
{
	struct node *node = &play->nodes[e->node];
	bool counts = e->kind == EV_ORDER || e->kind == EV_SUBMIT ||
		      e->kind == EV_RESEND;

	if (e->kind == EV_ORDER) {
		execute_call(play, e->call);
	} else if (e->kind == EV_RESEND) {
		if (!play->is_open && play->attempts < MAX_ATTEMPTS)
			submit(play, (int)play->scenario->resend_entry);
	} else if (node->lease_node && node->incarnation == e->incarnation) {
		if (is_frozen(play, node)) {
			add_event(play, e, node->frozen_until_ms);
			return false;
		}
		deliver_to_node(play, node, e);
	}
	play->event_count -= counts;
	return true;
}

static void thaw_nodes(struct play *play)
{
	for (int i = 0; i < SCENARIO_NODES; i++) {
		struct node *node = &play->nodes[i];

		if (!node->lease_node || node->frozen_until_ms != play->now_ms)
			continue;
		trace(play, "instance %d runs again", i);
		if (play->scenario->ticks_first)
			tick_node(play, node);
	}
}

static void step(struct play *play)
{
	struct event_list *due = &play->events[++play->now_ms % EVENT_SLOTS];
	struct event *event;

	thaw_nodes(play);
	while ((event = STAILQ_FIRST(due))) {
		STAILQ_REMOVE_HEAD(due, entry);
		if (deliver(play, event))
			talloc_free(event);
	}
	if (play->now_ms % DIAL_PERIOD_MS == 0)
		dial_unlinked(play);
	notice_dead_links(play);
	for (int i = 0; i < SCENARIO_WORKERS; i++)
		step_worker(play, &play->workers[i]);
	for (int i = 0; i < SCENARIO_NODES; i++)
		step_node(play, &play->nodes[i]);
}

static void set_up(struct play *play)
{
	play->now_ms = BEGIN_MS;
	play->begin_ms = BEGIN_MS + ELECTION_MS;
	play->store = fake_store_create(play);
	STAILQ_INIT(&play->kept);
	for (size_t i = 0; i < EVENT_SLOTS; i++)
		STAILQ_INIT(&play->events[i]);
	for (int i = 0; i < SCENARIO_WORKERS; i++) {
		struct worker *w = &play->workers[i];

		snprintf(w->id, sizeof(w->id), "w%d", i);
		set_up_worker(play, w, FIRST_CLOCK_MS);
	}
	for (size_t i = 0; i < play->scenario->fault_count; i++) {
		const struct scenario_fault *f = &play->scenario->faults[i];

		if (f->kind == SCENARIO_LIST_LATE)
			play->workers[f->b].unlisted[f->a] = true;
		if (f->kind == SCENARIO_JOIN)
			play->workers[f->b].is_absent = true;
	}
	for (int i = 0; i < SCENARIO_NODES; i++) {
		struct node *node = &play->nodes[i];

		node->play = play;
		node->index = i;
		node->name[0] = (char)('a' + i);
		start_node(play, node);
	}
}

/* Returns true if no run is open and none can start any more. */
static bool is_over(const struct play *play)
{
	bool is_idle = play->started && !play->is_open && !play->event_count;

	for (int i = 0; i < SCENARIO_WORKERS; i++)
		is_idle = is_idle && !play->workers[i].run_count;
	return is_idle;
}

/* Returns how late the latest order is. */
static uint32_t longest_delay_ms(const struct scenario *s)
{
	uint32_t longest_ms = 0;

	for (size_t i = 0; i < s->fault_count; i++) {
		const struct scenario_fault *f = &s->faults[i];

		if (f->kind >= SCENARIO_DELAY_START &&
		    f->kind <= SCENARIO_DELAY_STOP && f->b > longest_ms)
			longest_ms = f->b;
	}
	return longest_ms;
}

static void play_faults(struct play *play)
{
	const struct scenario *s = play->scenario;
	uint64_t last_ms =
		s->fault_count ? s->faults[s->fault_count - 1].at_ms : 0;
	uint64_t end_ms = last_ms + CUT_MS + SETTLE_MS + longest_delay_ms(s);
	size_t next = 0;

	for (uint64_t t = 0; t <= end_ms; t++) {
		for (; next < s->fault_count && s->faults[next].at_ms <= t;
		     next++)
			if (!apply_fault(play, &s->faults[next])) {
				play->result->without_effect = true;
				return;
			}
		if (!t)
			submit(play, (int)s->entry);
		if (t == last_ms + CUT_MS)
			heal(play);
		step(play);
		if (play->result->two_runs ||
		    (next == s->fault_count && is_over(play)))
			return;
	}
}

/* A fault that waits for a call or answer that never came changes nothing. */
static bool has_unused_fault(const struct play *play)
{
	bool unused = false;

	for (int i = 0; i < SCENARIO_WORKERS; i++) {
		unused |= play->workers[i].loses_answer;
		for (int kind = 0; kind < CALL_KINDS; kind++)
			unused |= play->workers[i].delays[kind].is_set;
	}
	return unused;
}

void scenario_play(const struct scenario *scenario,
		   struct scenario_result *result)
{
	struct play *play = talloc_zero(NULL, struct play);

	memset(result, 0, sizeof(*result));
	play->scenario = scenario;
	play->result = result;
	set_up(play);
	while (play->now_ms < play->begin_ms)
		step(play);
	play_faults(play);
	result->no_start = !play->started;
	result->attempts = play->attempts;
	result->without_effect |= has_unused_fault(play);
	for (int i = 0; i < SCENARIO_NODES; i++)
		talloc_free(play->nodes[i].lease_node);
	talloc_free(play);
}

bool scenario_play_text(const char *text, struct scenario_result *result)
{
	struct scenario scenario;

	if (!scenario_read(&scenario, text))
		return false;
	scenario.trace = getenv("BERGAMOT_SHOW") != NULL;
	scenario_play(&scenario, result);
	if (result->two_runs || scenario.full_answers)
		return true;
	scenario.full_answers = true;
	scenario_play(&scenario, result);
	return true;
}
