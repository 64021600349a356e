/*
 * Stand-in for targets: workers that sleep for a task's run time and answer
 * with the echo that the targets' protocol requires. One process serves many
 * workers, one port each, and writes a record of their starts and ends.
 *
 * The task's body is {"run_ms": N, "answer": any}. PUT /standin/leaving with
 * true or false sets whether the worker announces that it is leaving; it still
 * starts the tasks it gets.
 */
#include <argtable2.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "adapters/http_server.h"
#include "base/clock.h"

#define BODY_BYTES (8u << 20)
#define CONNECTIONS 4096
#define HEADER_BYTES 16384
#define IDLE_MS 600000
#define STRAGGLER_FACTOR 20 /* times slower than without --straggler */

struct worker;

struct task {
	LIST_ENTRY(task) entry;
	struct worker *worker;
	uint64_t request;
	char *task_id; /* "{job}/{index}" */
	char *token;
	char *answer;
	struct tevent_timer *timer;
};

struct worker {
	struct http_server *server;
	struct tevent_context *ev;
	char *name;
	double speed;
	unsigned slots;
	unsigned running;
	bool failing; /* fails every task immediately */
	bool leaving;
	LIST_HEAD(, task) tasks;
};

static FILE *record;

static void write_record(const struct worker *w, const char *event,
			 const char *task_id, const char *token)
{
	if (!record)
		return;
	fprintf(record,
		"{\"wall_us\":%llu,\"worker\":\"%s\",\"event\":\"%s\","
		"\"task\":\"%s\",\"token\":\"%s\"}\n",
		(unsigned long long)clock_wall_us(), w->name, event, task_id,
		token);
	fflush(record);
}

static void send_answer(struct worker *w, uint64_t request, int status,
			const char *task_id, const char *token,
			const char *refusal, const char *body)
{
	char echo[256];
	const char *headers[] = { "Bergamot-Task",
				  echo,
				  "Bergamot-Leaving",
				  w->leaving ? "true" : "false",
				  "Bergamot-Not-Started",
				  refusal,
				  NULL };
	struct http_server_response response = {
		.status = status,
		.body = body,
		.body_len = strlen(body),
		.headers = headers,
	};

	snprintf(echo, sizeof(echo), "%s/%s", task_id, token);
	http_server_reply(w->server, request, &response);
}

static void end_task(struct task *t, int status, const char *event,
		     const char *body)
{
	struct worker *w = t->worker;

	write_record(w, event, t->task_id, t->token);
	send_answer(w, t->request, status, t->task_id, t->token, NULL, body);
	w->running--;
	LIST_REMOVE(t, entry);
	talloc_free(t);
}

static void on_finished(struct tevent_context *ev, struct tevent_timer *te,
			struct timeval now, void *private_data)
{
	struct task *t = private_data;

	(void)ev;
	(void)te;
	(void)now;
	t->timer = NULL;
	end_task(t, 200, "end", t->answer);
}

static double run_ms(json_object *body)
{
	json_object *v;

	if (!json_object_object_get_ex(body, "run_ms", &v))
		return 0;
	return json_object_get_double(v);
}

static void start_task(struct worker *w, const struct http_server_request *r,
		       const char *task_id, const char *token)
{
	json_object *body = json_tokener_parse(r->body);
	json_object *v = NULL;
	uint64_t us = (uint64_t)(run_ms(body) * 1000 / w->speed);
	struct task *t;

	if (w->running >= w->slots) {
		json_object_put(body);
		write_record(w, "refuse", task_id, token);
		send_answer(w, r->number, 503, task_id, token, "busy", "{}");
		return;
	}
	if (w->failing) {
		json_object_put(body);
		write_record(w, "start", task_id, token);
		send_answer(w, r->number, 500, task_id, token, NULL, "{}");
		return;
	}
	t = talloc_zero(w, struct task);
	t->worker = w;
	t->request = r->number;
	t->task_id = talloc_strdup(t, task_id);
	t->token = talloc_strdup(t, token);
	json_object_object_get_ex(body, "answer", &v);
	t->answer = talloc_asprintf(
		t, "{\"task\":\"%s\",\"worker\":\"%s\",\"answer\":%s}", task_id,
		w->name, json_object_to_json_string(v));
	json_object_put(body);
	w->running++;
	LIST_INSERT_HEAD(&w->tasks, t, entry);
	write_record(w, "start", task_id, token);
	t->timer = tevent_add_timer(
		w->ev, t,
		tevent_timeval_current_ofs((uint32_t)(us / 1000000),
					   (uint32_t)(us % 1000000)),
		on_finished, t);
}

static void stop_task(struct worker *w, const struct http_server_request *r,
		      const char *task_id, const char *token)
{
	struct task *t, *next;

	for (t = LIST_FIRST(&w->tasks); t; t = next) {
		next = LIST_NEXT(t, entry);
		if (!strcmp(t->task_id, task_id) && !strcmp(t->token, token))
			end_task(t, 410, "stopped", "{}");
	}
	send_answer(w, r->number, 200, task_id, token, NULL, "{}");
}

static void reply_usage(struct worker *w, const struct http_server_request *r)
{
	char body[128];
	struct http_server_response response = { .status = 200, .body = body };

	response.body_len = (size_t)snprintf(
		body, sizeof(body),
		"{\"slots\":%u,\"running\":%u,\"leaving\":%s}", w->slots,
		w->running, w->leaving ? "true" : "false");
	http_server_reply(w->server, r->number, &response);
}

static void on_request(void *ctx, const struct http_server_request *r)
{
	static const char prefix[] = "/v1/tasks/";
	struct worker *w = ctx;
	const char *token = http_server_header(r, "Bergamot-Token");
	struct http_server_response not_found = { .status = 404 };

	if (!strcmp(r->path, "/standin/leaving"))
		w->leaving = !strcmp(r->body, "true");
	if (!strcmp(r->path, "/v1/usage") ||
	    !strcmp(r->path, "/standin/leaving"))
		reply_usage(w, r);
	else if (strncmp(r->path, prefix, sizeof(prefix) - 1) || !token)
		http_server_reply(w->server, r->number, &not_found);
	else if (!strcmp(r->method, "DELETE"))
		stop_task(w, r, r->path + sizeof(prefix) - 1, token);
	else
		start_task(w, r, r->path + sizeof(prefix) - 1, token);
}

/* The task continues after its caller has closed the connection. */
static void on_aborted(void *ctx, uint64_t number)
{
	struct worker *w = ctx;
	struct task *t;

	LIST_FOREACH(t, &w->tasks, entry)
		if (t->request == number)
			write_record(w, "hung_up", t->task_id, t->token);
}

static bool add_worker(TALLOC_CTX *mem, struct tevent_context *ev,
		       const char *host, int port, const char *name,
		       unsigned slots, double speed, bool failing)
{
	struct worker *w = talloc_zero(mem, struct worker);
	struct http_server_options options = {
		.ev = ev,
		.listen = talloc_asprintf(w, "%s:%d", host, port),
		.body_bytes = BODY_BYTES,
		.header_bytes = HEADER_BYTES,
		.connections = CONNECTIONS,
		.idle_ms = IDLE_MS,
		.handler = on_request,
		.aborted = on_aborted,
		.ctx = w,
	};

	w->ev = ev;
	w->name = talloc_strdup(w, name);
	w->slots = slots;
	w->speed = speed;
	w->failing = failing;
	LIST_INIT(&w->tasks);
	w->server = http_server_create(w, &options);
	return w->server != NULL;
}

struct arguments {
	struct arg_str *host;
	struct arg_int *port;
	struct arg_int *count;
	struct arg_int *first;
	struct arg_int *of;
	struct arg_int *slots;
	struct arg_dbl *slowest;
	struct arg_int *failing;
	struct arg_int *straggler;
	struct arg_str *name;
	struct arg_file *record;
	struct arg_end *end;
};

/*
 * Speed relative to the first worker: run times grow linearly from 1 for the
 * first worker to slowest for the last.
 */
static double speed_of(int i, int count, double slowest)
{
	return count < 2 ? 1 : 1 / (1 + (slowest - 1) * i / (count - 1));
}

static int serve(const struct arguments *a)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct tevent_context *ev = tevent_context_init(mem);
	int count = a->count->ival[0], first = a->first->ival[0];
	int of = a->of->ival[0] ? a->of->ival[0] : first + count;

	if (a->record->count)
		record = fopen(a->record->filename[0], "ae");
	for (int i = 0; i < count; i++) {
		char *name =
			talloc_asprintf(mem, "%s%d", a->name->sval[0], i + 1);

		if (!add_worker(mem, ev, a->host->sval[0], a->port->ival[0] + i,
				name, (unsigned)a->slots->ival[0],
				speed_of(first + i, of, a->slowest->dval[0]) /
					(a->straggler->ival[0] == first + i + 1
						 ? STRAGGLER_FACTOR
						 : 1),
				a->failing->ival[0] == first + i + 1)) {
			fprintf(stderr,
				"standin-worker: cannot listen on port %d\n",
				a->port->ival[0] + i);
			return 1;
		}
	}
	printf("ready\n");
	fflush(stdout);
	return tevent_loop_wait(ev);
}

int main(int argc, char **argv)
{
	struct arguments a = {
		.host = arg_str0(NULL, "host", "IP", "address"),
		.port = arg_int1(NULL, "port", "N", "first port"),
		.count = arg_int0(NULL, "count", "N", "number of workers"),
		.first = arg_int0(NULL, "first", "N",
				  "number of workers in earlier processes"),
		.of = arg_int0(NULL, "of", "N",
			       "total number of workers, for --slowest"),
		.slots = arg_int0(NULL, "slots", "N", "slots of each worker"),
		.slowest = arg_dbl0(NULL, "slowest", "X",
				    "the last worker is X times slower"),
		.failing = arg_int0(NULL, "failing", "N",
				    "worker N fails every task immediately"),
		.straggler = arg_int0(NULL, "straggler", "N",
				      "worker N is 20 times slower"),
		.name = arg_str0(NULL, "name", "TEXT",
				 "prefix of the workers' names"),
		.record = arg_file0(NULL, "record", "FILE",
				    "record of starts and ends"),
		.end = arg_end(10),
	};
	void *table[] = { a.host,      a.port,	a.count,   a.first,
			  a.of,	       a.slots, a.slowest, a.failing,
			  a.straggler, a.name,	a.record,  a.end };

	a.host->sval[0] = "127.0.0.1";
	a.count->ival[0] = 1;
	a.first->ival[0] = 0;
	a.of->ival[0] = 0;
	a.slots->ival[0] = 8;
	a.slowest->dval[0] = 1;
	a.failing->ival[0] = 0;
	a.straggler->ival[0] = 0;
	a.name->sval[0] = "w";
	signal(SIGPIPE, SIG_IGN);
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, a.end, argv[0]);
		return 2;
	}
	return serve(&a);
}
