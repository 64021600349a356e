#include "ctl/load_run.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/http_client.h"
#include "base/clock.h"
#include "base/random.h"
#include "ctl/command.h"
#include "ctl/load_bound.h"
#include "ctl/load_record.h"
#include "ctl/load_report.h"
#include "ctl/request.h"

#define ANSWER_GRACE_MS 3000 /* after a job's deadline */
#define MAX_ANSWER_BYTES (64u << 20)
#define IDS_PER_REQUEST 1000
#define HOP_SAMPLES 21 /* round trips; their median is reported */

struct load {
	struct load_options options;
	struct trace *trace;
	struct report_job *jobs;
	char **ids; /* one per job; NULL: sent without an id */
	bool *maybe_accepted; /* per job: an attempt may have been accepted */
	struct tevent_context *ev;
	struct http_client *client;
	struct random_generator random;
	FILE *requests; /* the callers' history; NULL for none */
	uint64_t begin_us;
	size_t next;
	size_t pending; /* unanswered requests and armed timers */
};

struct call {
	struct load *load;
	size_t job;
	size_t target;
	bool repeated;
	struct load_record_request request;
};

static uint64_t elapsed_us(const struct load *l)
{
	return clock_now_us() - l->begin_us;
}

/* Answers */

static void copy_text(char *out, size_t size, json_object *obj, const char *key)
{
	json_object *v;

	if (json_object_object_get_ex(obj, key, &v))
		snprintf(out, size, "%s", json_object_get_string(v));
}

static void flag_mismatch(struct report_job *job, const char *outcome)
{
	/*
	 * The answers to a submission and to its resubmission arrive in either
	 * order. Both come from one record, so their outcomes must be equal.
	 */
	if (*job->outcome && *outcome && strcmp(job->outcome, outcome))
		job->mismatched = true;
}

static void record_answer(const struct call *call,
			  const struct http_client_answer *a)
{
	struct load *l = call->load;
	struct report_job *job = &l->jobs[call->job];
	char outcome[sizeof(job->outcome)] = "";
	json_object *obj = NULL;

	if (a->status == HTTP_CLIENT_ANSWERED && a->body)
		obj = json_tokener_parse(a->body);
	copy_text(outcome, sizeof(outcome), obj, "outcome");
	if (call->repeated) {
		flag_mismatch(job, outcome);
	} else {
		job->done_us = elapsed_us(l);
		flag_mismatch(job, outcome);
		memcpy(job->outcome, outcome, sizeof(outcome));
		copy_text(job->reason, sizeof(job->reason), obj, "reason");
		copy_text(job->job, sizeof(job->job), obj, "job");
	}
	json_object_put(obj);
}

/* Requests */

static bool is_in_time(const struct load *l, size_t job)
{
	return elapsed_us(l) < l->trace->jobs[job].at_us +
				       l->options.trace.deadline_ms * 1000ull;
}

/* Returns the next instance of the same data centre. */
static size_t next_target(const struct load *l, size_t target)
{
	size_t i = target;

	do
		i = (i + 1) % l->options.trace.target_count;
	while (strcmp(l->options.targets[i].data_centre,
		      l->options.targets[target].data_centre));
	return i;
}

static void send_job(struct load *l, size_t i, size_t target, bool repeated);

static bool was_not_forwarded(const struct http_client_answer *a)
{
	json_object *obj = a->body ? json_tokener_parse(a->body) : NULL;
	char word[sizeof("not_forwarded")] = "";

	copy_text(word, sizeof(word), obj, "this_attempt");
	json_object_put(obj);
	return !strcmp(word, "not_forwarded");
}

/*
 * Prepares a retry under --own-ids and returns true if the job is to be sent
 * again: with the same id after a broken connection, which may have delivered
 * it, or with a new id when the instance did not forward it.
 */
static bool prepare_retry(struct load *l, struct call *call,
			  const struct http_client_answer *a)
{
	bool disconnected = a->status == HTTP_CLIENT_BROKEN;

	if (!l->options.own_ids || (!disconnected && !was_not_forwarded(a)))
		return false;
	if (disconnected)
		l->maybe_accepted[call->job] = true;
	else if (l->maybe_accepted[call->job])
		return false; /* an earlier attempt may have been accepted */
	else
		l->ids[call->job] = NULL;
	return true;
}

static void on_answer(void *ctx, struct http_client_answer *a)
{
	struct call *call = ctx;
	struct load *l = call->load;

	l->pending--;
	if (l->requests)
		load_record_write(l->requests, &call->request, a);
	/* Like a balancer, skip an instance that refuses connections. */
	if (is_in_time(l, call->job) &&
	    (a->status == HTTP_CLIENT_NOT_SENT || prepare_retry(l, call, a)))
		send_job(l, call->job, next_target(l, call->target),
			 call->repeated);
	else
		record_answer(call, a);
	talloc_free(call);
}

static void on_id(void *ctx, struct http_client_answer *a)
{
	struct call *call = ctx;
	struct load *l = call->load;
	size_t target = call->target;
	json_object *obj = a->status == HTTP_CLIENT_ANSWERED && a->body
				   ? json_tokener_parse(a->body)
				   : NULL;
	json_object *ids = NULL;

	l->pending--;
	json_object_object_get_ex(obj, "ids", &ids);
	if (json_object_is_type(ids, json_type_array) &&
	    json_object_array_length(ids))
		l->ids[call->job] = talloc_strdup(
			l->ids, json_object_get_string(
					json_object_array_get_idx(ids, 0)));
	else
		target = next_target(l, target);
	json_object_put(obj);
	if (is_in_time(l, call->job))
		send_job(l, call->job, target, false);
	talloc_free(call);
}

static void request_id(struct load *l, size_t i, size_t target)
{
	struct call *call = talloc_zero(l->client, struct call);
	struct http_client_request request = {
		.method = "POST",
		.url = talloc_asprintf(call, "http://%s/v1/job-ids?count=1",
				       l->options.targets[target].address),
		.timeout_ms = ANSWER_GRACE_MS,
		.answer_bytes = MAX_ANSWER_BYTES,
	};

	call->load = l;
	call->job = i;
	call->target = target;
	l->pending++;
	http_client_send(l->client, &request, on_id, call);
}

static void submit(struct load *l, size_t i, size_t target, bool repeated)
{
	static const char *const headers[] = { "Content-Type: application/json",
					       NULL };
	const struct trace_job *job = &l->trace->jobs[i];
	struct call *call = talloc_zero(l->client, struct call);
	struct http_client_request request = {
		.method = l->ids[i] ? "PUT" : "POST",
		.url = talloc_asprintf(call, "http://%s/v1/jobs%s%s",
				       l->options.targets[target].address,
				       l->ids[i] ? "/" : "",
				       l->ids[i] ? l->ids[i] : ""),
		.headers = headers,
		.body = trace_body(call, &l->options.trace, job),
		.timeout_ms = l->options.trace.deadline_ms + ANSWER_GRACE_MS,
		.answer_bytes = MAX_ANSWER_BYTES,
	};

	request.body_len = strlen(request.body);
	call->load = l;
	call->job = i;
	call->target = target;
	call->repeated = repeated;
	call->request = (struct load_record_request){
		.operation = "submit",
		.job = l->ids[i],
		.instance = l->options.targets[target].address,
		.body = request.body,
		.begin_us = clock_wall_us(),
	};
	l->pending++;
	http_client_send(l->client, &request, on_answer, call);
}

static void send_job(struct load *l, size_t i, size_t target, bool repeated)
{
	if (l->options.own_ids && !l->ids[i])
		request_id(l, i, target);
	else
		submit(l, i, target, repeated);
}

struct repeat {
	struct load *load;
	size_t job;
};

static void on_repeat(struct tevent_context *ev, struct tevent_timer *te,
		      struct timeval now, void *private_data)
{
	struct repeat *r = private_data;
	struct load *l = r->load;

	(void)ev;
	(void)te;
	(void)now;
	l->pending--;
	if (!l->jobs[r->job].done_us)
		send_job(l, r->job, l->trace->jobs[r->job].resubmit_target,
			 true);
	talloc_free(r);
}

static struct timeval after_us(uint64_t us)
{
	return tevent_timeval_current_ofs((uint32_t)(us / 1000000),
					  (uint32_t)(us % 1000000));
}

static void schedule_repeat(struct load *l, size_t i)
{
	struct repeat *r = talloc_zero(l->client, struct repeat);

	r->load = l;
	r->job = i;
	l->pending++;
	tevent_add_timer(l->ev, r,
			 after_us(l->trace->jobs[i].resubmit_after_us),
			 on_repeat, r);
}

/* Sends all jobs that are due, whether or not earlier ones were answered. */
static void on_due(struct tevent_context *ev, struct tevent_timer *te,
		   struct timeval now, void *private_data)
{
	struct load *l = private_data;
	uint64_t at_us, now_us;

	(void)te;
	(void)now;
	while (l->next < l->trace->count &&
	       l->trace->jobs[l->next].at_us <= elapsed_us(l)) {
		size_t i = l->next++;

		l->jobs[i].sent_us = elapsed_us(l);
		send_job(l, i, l->trace->jobs[i].target, false);
		if (l->trace->jobs[i].resubmit_after_us && l->ids[i])
			schedule_repeat(l, i);
	}
	if (l->next == l->trace->count)
		return;
	at_us = l->trace->jobs[l->next].at_us;
	now_us = elapsed_us(l);
	tevent_add_timer(ev, l->client,
			 after_us(at_us > now_us ? at_us - now_us : 0), on_due,
			 l);
}

static void on_cancel_answered(void *ctx, struct http_client_answer *a)
{
	struct call *call = ctx;

	if (call->load->requests)
		load_record_write(call->load->requests, &call->request, a);
	call->load->pending--;
	talloc_free(call);
}

static void cancel_job(struct load *l, size_t i)
{
	struct call *call = talloc_zero(l->client, struct call);
	struct http_client_request request = {
		.method = "DELETE",
		.url = talloc_asprintf(
			call, "http://%s/v1/jobs/%s",
			l->options.targets[l->trace->jobs[i].target].address,
			l->ids[i]),
		.timeout_ms = ANSWER_GRACE_MS,
		.answer_bytes = MAX_ANSWER_BYTES,
	};

	call->load = l;
	call->request = (struct load_record_request){
		.operation = "cancel",
		.job = l->ids[i],
		.instance =
			l->options.targets[l->trace->jobs[i].target].address,
		.begin_us = clock_wall_us(),
	};
	l->jobs[i].cancelled = true;
	l->pending++;
	http_client_send(l->client, &request, on_cancel_answered, call);
}

static void on_cancel_due(struct tevent_context *ev, struct tevent_timer *te,
			  struct timeval now, void *private_data)
{
	struct load *l = private_data;

	(void)ev;
	(void)te;
	(void)now;
	l->pending--;
	for (size_t i = 0; i < l->next; i++)
		if (!l->jobs[i].done_us && l->ids[i] &&
		    (double)random_below(&l->random, 100) <
			    l->options.cancel_percent)
			cancel_job(l, i);
}

/* Before and after the run */

static struct request_answer send_and_wait(TALLOC_CTX *mem, const char *method,
					   const char *address,
					   const char *path)
{
	struct request request = {
		.method = method,
		.address = address,
		.path = path,
		.timeout_ms = ANSWER_GRACE_MS,
	};

	return request_send(mem, &request);
}

static void read_counters(const struct load *l, uint64_t out[REPORT_COUNTERS])
{
	TALLOC_CTX *mem = talloc_new(NULL);

	for (size_t i = 0; i < l->options.operator_count; i++) {
		struct request_answer a = send_and_wait(
			mem, "GET", l->options.operators[i], "/metrics");

		if (a.http_status == 200)
			report_add_metrics(out, a.body);
	}
	talloc_free(mem);
}

static bool assign_ids(struct load *l, size_t target, json_object *ids,
		       size_t *from)
{
	size_t n = json_object_is_type(ids, json_type_array)
			   ? json_object_array_length(ids)
			   : 0;

	for (size_t i = 0; i < n; (*from)++) {
		if (*from == l->trace->count)
			return true;
		if (l->trace->jobs[*from].target == target)
			l->ids[*from] = talloc_strdup(
				l->ids,
				json_object_get_string(
					json_object_array_get_idx(ids, i++)));
	}
	return n;
}

/* Fetches ids for a target's jobs, needed to resubmit or cancel them. */
static bool fetch_ids(struct load *l, size_t target)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	size_t from = 0;
	bool ok = true;

	while (ok && from < l->trace->count) {
		struct request_answer a = send_and_wait(
			mem, "POST", l->options.targets[target].address,
			talloc_asprintf(mem, "/v1/job-ids?count=%d",
					IDS_PER_REQUEST));
		json_object *obj = a.body ? json_tokener_parse(a.body) : NULL;
		json_object *ids = NULL;

		json_object_object_get_ex(obj, "ids", &ids);
		ok = assign_ids(l, target, ids, &from);
		json_object_put(obj);
	}
	talloc_free(mem);
	return ok;
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

struct wait {
	bool done;
};

static void on_hop_answer(void *ctx, struct http_client_answer *a)
{
	struct wait *wait = ctx;

	(void)a;
	wait->done = true;
}

/* Returns the median round trip to an idle instance: two client hops. */
static double measure_hops_ms(struct load *l)
{
	double samples[HOP_SAMPLES];
	struct http_client_request request = { .method = "GET",
					       .timeout_ms = ANSWER_GRACE_MS,
					       .answer_bytes =
						       MAX_ANSWER_BYTES };

	request.url = talloc_asprintf(l->client, "http://%s/ready",
				      l->options.targets[0].address);
	for (int i = 0; i < HOP_SAMPLES; i++) {
		uint64_t begin_us = clock_now_us();
		struct wait wait = { false };

		http_client_send(l->client, &request, on_hop_answer, &wait);
		while (!wait.done)
			tevent_loop_once(l->ev);
		samples[i] = (double)(clock_now_us() - begin_us) / 1000;
	}
	qsort(samples, HOP_SAMPLES, sizeof(double), compare_doubles);
	return samples[HOP_SAMPLES / 2];
}

static void set_rate(struct load *l)
{
	double speed = 0;

	for (size_t i = 0; i < l->options.worker_count; i++) {
		struct bound_slots *s =
			bound_slots_create(NULL, &l->options.workers[i]);

		for (size_t n = 0; n < s->count; n++)
			speed += s->speeds[n];
		talloc_free(s);
	}
	if (l->options.percent > 0)
		l->options.trace.jobs_per_s =
			l->options.percent / 100 * speed /
			trace_mean_work_s(&l->options.trace);
}

static bool prepare(struct load *l, TALLOC_CTX *mem)
{
	bool ids =
		l->options.trace.resubmit > 0 || l->options.cancel_percent > 0;

	set_rate(l);
	l->trace = trace_create(mem, &l->options.trace);
	for (size_t i = 0; i < l->options.worker_count; i++)
		bound_replay(l->trace, &l->options.trace,
			     &l->options.workers[i]);
	l->jobs = talloc_zero_array(mem, struct report_job,
				    (unsigned)l->trace->count + 1);
	l->ids = talloc_zero_array(mem, char *, (unsigned)l->trace->count + 1);
	l->maybe_accepted =
		talloc_zero_array(mem, bool, (unsigned)l->trace->count + 1);
	for (size_t i = 0; ids && i < l->options.trace.target_count; i++) {
		if (fetch_ids(l, i))
			continue;
		fprintf(stderr, "bergamotctl: load: %s returned no job ids\n",
			l->options.targets[i].address);
		return false;
	}
	return true;
}

static void run(struct load *l)
{
	l->begin_us = clock_now_us();
	if (l->options.cancel_percent > 0) {
		l->pending++;
		tevent_add_timer(
			l->ev, l->client,
			after_us((uint64_t)(l->options.cancel_at_s * 1e6)),
			on_cancel_due, l);
	}
	on_due(l->ev, NULL, tevent_timeval_current(), l);
	while (l->next < l->trace->count || l->pending)
		if (tevent_loop_once(l->ev))
			break;
}

static int report_write_error(TALLOC_CTX *mem, const char *path)
{
	fprintf(stderr, "bergamotctl: %s: cannot be written\n", path);
	talloc_free(mem);
	return COMMAND_FAILED;
}

static bool print_jobs(const struct report_input *input, const char *path)
{
	FILE *out = fopen(path, "we");

	if (!out) {
		report_write_error(NULL, path);
		return false;
	}
	report_print_jobs(input, out);
	return !fclose(out);
}

static int run_and_report(struct load *l)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct http_client_options client = { 0 };
	struct report_input input = { .options = &l->options.trace };
	uint64_t before[REPORT_COUNTERS] = { 0 };
	int code = COMMAND_OK;

	if (!prepare(l, mem)) {
		talloc_free(mem);
		return COMMAND_UNREACHABLE;
	}
	if (l->options.requests_file) {
		l->requests = fopen(l->options.requests_file, "we");
		if (!l->requests)
			return report_write_error(mem,
						  l->options.requests_file);
	}
	client.ev = l->ev = tevent_context_init(mem);
	l->client = http_client_create(mem, &client);
	random_seed(&l->random, l->options.trace.seed);
	input.hops_ms = measure_hops_ms(l);
	read_counters(l, before);
	run(l);
	read_counters(l, input.counters);
	for (int i = 0; i < REPORT_COUNTERS; i++)
		input.counters[i] -= before[i];
	input.trace = l->trace;
	input.jobs = l->jobs;
	if (l->options.json)
		report_print_json(&input, stdout);
	else
		report_print_table(&input, stdout);
	if (l->options.jobs_file && !print_jobs(&input, l->options.jobs_file))
		code = COMMAND_FAILED;
	if (l->requests && fclose(l->requests))
		code = report_write_error(NULL, l->options.requests_file);
	talloc_free(l->client);
	talloc_free(mem);
	return code;
}

int load_run(const struct load_options *options)
{
	struct load *l = talloc_zero(NULL, struct load);
	int code;

	l->options = *options;
	l->options.trace.targets = l->options.targets;
	l->options.trace.teams = l->options.teams;
	code = run_and_report(l);
	talloc_free(l);
	return code;
}
