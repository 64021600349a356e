/*
 * Measures one instance with stand-in tasks that end immediately: starts/s with
 * callers in a closed loop, CPU time per start of each thread, and the latency
 * at half that load compared with a direct request to a worker.
 *
 *     speed [--port N] [--runs N] [--threads N] [--load N] BUILD
 *
 * The program starts the build's bergamotd and stand-in workers, and prints
 * JSON.
 */
#include <argtable2.h>
#include <dirent.h>
#include <fcntl.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <math.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "adapters/http_client.h"
#include "base/clock.h"
#include "base/random.h"

#define WORKER_PROCESSES 4
#define WORKERS 4 /* of each process, in the instance's configuration */
/* The last worker of each process gets only direct requests: it stays idle. */
#define PORTS (WORKERS + 1)
#define SLOTS 32
#define TASKS 20 /* in a job of the load */
#define CALLERS 48 /* in the closed loop */
#define WARM_UP_MS 500
#define RUN_MS 3000
#define PROBES_PER_S 250
#define MAX_PROBES 20000
#define ANSWER_BYTES (1u << 20)
#define TIMEOUT_MS 20000
#define MAX_THREADS 16
#define SHOWN_FAILURES 10
#define STARTUP_MS 1000
#define MAX_RUNS 64
#define WORKER_PORT_OFFSET 10 /* lower ones are the instance's */

extern char **environ;

struct probes {
	uint64_t us[MAX_PROBES];
	size_t count;
};

struct thread_time {
	char name[32];
	uint64_t ns;
};

struct bench {
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	struct http_client *client;
	pid_t pids[WORKER_PROCESSES + 1]; /* the instance is the last */
	int pid_count;
	int port; /* the first one used */
	int threads; /* for targets */
	int load_per_s; /* starts; 0: half of the measured starts/s */
	char folder[64];
	char *load_body;
	char *probe_body;
	bool running;
	uint64_t jobs_done;
	uint64_t failures;
	struct probes direct;
	struct probes through;
};

struct call {
	struct bench *b;
	uint64_t began_us;
	struct probes *probes; /* NULL for load */
	bool closed_loop; /* the answer triggers the next job */
};

struct result {
	double starts_per_s;
	double load_per_s;
	double direct_us, through_p50_us, through_p99_us;
	double cpu_us[MAX_THREADS]; /* per start, by thread */
	char names[MAX_THREADS][32];
	int threads;
};

/* Processes */

static void spawn(struct bench *b, char *const *argv)
{
	posix_spawn_file_actions_t quiet;
	pid_t pid;

	posix_spawn_file_actions_init(&quiet);
	posix_spawn_file_actions_addopen(&quiet, STDOUT_FILENO, "/dev/null",
					 O_WRONLY, 0);
	if (posix_spawn(&pid, argv[0], &quiet, NULL, argv, environ)) {
		fprintf(stderr, "speed: cannot start %s\n", argv[0]);
		exit(1);
	}
	posix_spawn_file_actions_destroy(&quiet);
	b->pids[b->pid_count++] = pid;
}

static void stop_all(struct bench *b)
{
	while (b->pid_count) {
		pid_t pid = b->pids[--b->pid_count];

		kill(pid, SIGTERM);
		waitpid(pid, NULL, 0);
	}
}

/* False when a process has exited, for example because its port is in use. */
static bool all_running(const struct bench *b)
{
	for (int i = 0; i < b->pid_count; i++)
		if (waitpid(b->pids[i], NULL, WNOHANG))
			return false;
	return true;
}

static void start_workers(struct bench *b, const char *build)
{
	for (int i = 0; i < WORKER_PROCESSES; i++) {
		int first = b->port + WORKER_PORT_OFFSET + i * PORTS;
		char *argv[] = {
			talloc_asprintf(b->mem,
					"%s/tests/standins/standin-worker",
					build),
			"--port",
			talloc_asprintf(b->mem, "%d", first),
			"--count",
			talloc_asprintf(b->mem, "%d", PORTS),
			"--slots",
			talloc_asprintf(b->mem, "%d", SLOTS),
			NULL,
		};

		spawn(b, argv);
	}
}

static void write_settings(struct bench *b, const char *path)
{
	FILE *f = fopen(path, "we");

	if (!f)
		exit(1);
	fprintf(f,
		"{\"callers\":{\"listen\":\"127.0.0.1:%d\"},"
		"\"operators\":{\"listen\":\"127.0.0.1:%d\"},"
		"\"peers\":{\"listen\":\"127.0.0.1:%d\"},"
		"\"targets\":{\"threads\":%d},"
		"\"records\":{\"memory_bytes\":1073741824},"
		"\"log\":{\"level\":\"error\"},"
		"\"config\":{\"version\":1,\"services\":[{\"name\":\"s\"}],"
		"\"teams\":[{\"name\":\"default\"}],\"workers\":[",
		b->port, b->port + 1, b->port + 2, b->threads);
	for (int i = 0; i < WORKER_PROCESSES * WORKERS; i++)
		fprintf(f,
			"%s{\"name\":\"w%d\",\"data_centre\":\"dc-1\","
			"\"address\":\"127.0.0.1:%d\",\"service\":\"s\","
			"\"slots\":%d}",
			i ? "," : "", i,
			b->port + WORKER_PORT_OFFSET + i / WORKERS * PORTS +
				i % WORKERS,
			SLOTS);
	fputs("]}}\n", f);
	fclose(f);
}

static void start_instance(struct bench *b, const char *build)
{
	char *path = talloc_asprintf(b->mem, "%s/settings.json", b->folder);
	char *argv[] = { talloc_asprintf(b->mem, "%s/packages/daemon/bergamotd",
					 build),
			 path, NULL };

	write_settings(b, path);
	spawn(b, argv);
}

/* CPU time of the instance's threads, from /proc */

static bool read_file(const char *path, char *text, size_t size)
{
	FILE *f = fopen(path, "re");
	bool ok = f && fgets(text, (int)size, f);

	if (f)
		fclose(f);
	return ok;
}

static int read_threads(pid_t pid, struct thread_time *times)
{
	char path[320], text[128];
	struct dirent *entry;
	DIR *dir;
	int n = 0;

	snprintf(path, sizeof(path), "/proc/%d/task", pid);
	dir = opendir(path);
	while (dir && n < MAX_THREADS && (entry = readdir(dir))) {
		struct thread_time *t = &times[n];

		if (entry->d_name[0] == '.')
			continue;
		snprintf(path, sizeof(path), "/proc/%d/task/%s/comm", pid,
			 entry->d_name);
		if (!read_file(path, t->name, sizeof(t->name)))
			continue;
		t->name[strcspn(t->name, "\n")] = '\0';
		snprintf(path, sizeof(path), "/proc/%d/task/%s/schedstat", pid,
			 entry->d_name);
		if (!read_file(path, text, sizeof(text)))
			continue;
		t->ns = strtoull(text, NULL, 10);
		n++;
	}
	if (dir)
		closedir(dir);
	return n;
}

/* Requests */

static void send_job(struct bench *b, struct probes *probes, bool closed_loop);

static void note_failure(struct bench *b, const struct http_client_answer *a)
{
	if (b->failures++ < SHOWN_FAILURES)
		fprintf(stderr, "speed: status %ld, %s: %.300s\n",
			a->http_status, a->message, a->body);
}

static void on_answer(void *ctx, struct http_client_answer *a)
{
	struct call *call = ctx;
	struct bench *b = call->b;
	uint64_t us = clock_now_us() - call->began_us;

	if (a->status != HTTP_CLIENT_ANSWERED || a->http_status != 200)
		note_failure(b, a);
	else if (!call->probes)
		b->jobs_done++;
	else if (call->probes->count < MAX_PROBES)
		call->probes->us[call->probes->count++] = us;
	if (call->closed_loop && b->running)
		send_job(b, NULL, true);
	talloc_free(call);
}

static void send_request(struct bench *b, struct http_client_request *request,
			 struct probes *probes, bool closed_loop)
{
	struct call *call = talloc_zero(b->mem, struct call);

	request->method = "POST";
	request->timeout_ms = TIMEOUT_MS;
	request->answer_bytes = ANSWER_BYTES;
	request->body_len = strlen(request->body);
	call->b = b;
	call->probes = probes;
	call->closed_loop = closed_loop;
	call->began_us = clock_now_us();
	http_client_send(b->client, request, on_answer, call);
}

static void send_job(struct bench *b, struct probes *probes, bool closed_loop)
{
	char url[64];
	struct http_client_request request = {
		.url = url,
		.body = probes ? b->probe_body : b->load_body,
	};

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/v1/jobs", b->port);
	send_request(b, &request, probes, closed_loop);
}

static void send_direct(struct bench *b)
{
	static const char *const headers[] = {
		"Bergamot-Token: 0000000000000001", "Bergamot-Lease-Ms: 1000",
		NULL
	};
	char url[64];
	struct http_client_request request = {
		.url = url,
		.headers = headers,
		.body = "{\"answer\":1}",
	};

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/v1/tasks/probe/0",
		 b->port + WORKER_PORT_OFFSET + WORKERS);
	send_request(b, &request, &b->direct, false);
}

static char *job_body(TALLOC_CTX *mem, int tasks)
{
	char *text = talloc_strdup(mem, "{\"service\":\"s\",\"tasks\":[");

	for (int i = 0; i < tasks; i++)
		text = talloc_asprintf_append(
			text, "%s{\"run_ms\":0,\"body\":{\"answer\":%d}}",
			i ? "," : "", i);
	return talloc_strdup_append(text, "]}");
}

/* Time */

static void on_timer(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *private_data)
{
	(void)ev;
	(void)te;
	(void)now;
	*(bool *)private_data = true;
}

static void run_until_us(struct bench *b, uint64_t at_us)
{
	uint64_t now_us = clock_now_us();
	bool over = false;
	uint64_t us;

	if (now_us >= at_us)
		return;
	us = at_us - now_us;
	tevent_add_timer(b->ev, b->mem,
			 tevent_timeval_current_ofs((uint32_t)(us / 1000000),
						    (uint32_t)(us % 1000000)),
			 on_timer, &over);
	while (!over)
		tevent_loop_once(b->ev);
}

static void run_for_ms(struct bench *b, uint64_t ms)
{
	run_until_us(b, clock_now_us() + ms * 1000);
}

/* Measurements */

static void measure_starts(struct bench *b, struct result *r)
{
	struct thread_time before[MAX_THREADS], after[MAX_THREADS];
	pid_t pid = b->pids[b->pid_count - 1];
	uint64_t began_us, jobs;
	double starts;

	b->running = true;
	for (int i = 0; i < CALLERS; i++)
		send_job(b, NULL, true);
	run_for_ms(b, WARM_UP_MS);
	read_threads(pid, before);
	jobs = b->jobs_done;
	began_us = clock_now_us();
	run_for_ms(b, RUN_MS);
	starts = (double)(b->jobs_done - jobs) * TASKS;
	r->starts_per_s = starts * 1e6 / (double)(clock_now_us() - began_us);
	r->threads = read_threads(pid, after);
	for (int i = 0; i < r->threads; i++) {
		strcpy(r->names[i], after[i].name);
		r->cpu_us[i] =
			(double)(after[i].ns - before[i].ns) / 1000 / starts;
	}
	b->running = false;
	run_for_ms(b, WARM_UP_MS);
}

static int compare_us(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

static double quantile(struct probes *p, double q)
{
	if (!p->count)
		return 0;
	qsort(p->us, p->count, sizeof(p->us[0]), compare_us);
	return (double)p->us[(size_t)((double)(p->count - 1) * q)];
}

/*
 * Microseconds to the next event of a Poisson process. The divisor is 2^53, the
 * number of values of the 53 random bits.
 */
static double gap_us(struct random_generator *random, double per_s)
{
	double u = (double)(random_next(random) >> 11) / 9007199254740992.0;

	return -log(1 - u) * 1e6 / per_s;
}

/* Open-loop load, and single-task probes, direct and through the instance. */
static void measure_latency(struct bench *b, struct result *r)
{
	double load = b->load_per_s ? b->load_per_s : r->starts_per_s / 2;
	double next_job_us = 0, next_probe_us = 0;
	uint64_t began_us = clock_now_us();
	struct random_generator random;

	random_seed(&random, 1);
	r->load_per_s = load;
	b->direct.count = b->through.count = 0;
	for (;;) {
		uint64_t us = clock_now_us() - began_us;
		double next_us;

		if (us >= RUN_MS * 1000)
			break;
		for (; next_job_us <= (double)us;
		     next_job_us += gap_us(&random, load / TASKS))
			send_job(b, NULL, false);
		if (next_probe_us <= (double)us) {
			next_probe_us += gap_us(&random, PROBES_PER_S);
			if (random_below(&random, 2))
				send_direct(b);
			else
				send_job(b, &b->through, false);
		}
		next_us = fmin(next_job_us, next_probe_us);
		run_until_us(b, began_us + (uint64_t)next_us + 1);
	}
	run_for_ms(b, WARM_UP_MS);
	r->direct_us = quantile(&b->direct, 0.5);
	r->through_p50_us = quantile(&b->through, 0.5);
	r->through_p99_us = quantile(&b->through, 0.99);
}

/* Output */

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

static void add_median(json_object *obj, const char *key, size_t offset,
		       const struct result *results, int runs)
{
	double values[MAX_RUNS];

	for (int i = 0; i < runs; i++)
		values[i] =
			*(const double *)((const char *)&results[i] + offset);
	qsort(values, (size_t)runs, sizeof(values[0]), compare_doubles);
	json_object_object_add(obj, key,
			       json_object_new_double(values[runs / 2]));
}

static void print_results(const struct result *results, int runs,
			  uint64_t failures)
{
	json_object *obj = json_object_new_object();
	json_object *cpu = json_object_new_object();

#define MEDIAN(field)                                                          \
	add_median(obj, #field, offsetof(struct result, field), results, runs)
	json_object_object_add(obj, "runs", json_object_new_int(runs));
	json_object_object_add(obj, "failures",
			       json_object_new_int64((int64_t)failures));
	MEDIAN(starts_per_s);
	MEDIAN(load_per_s);
	MEDIAN(direct_us);
	MEDIAN(through_p50_us);
	MEDIAN(through_p99_us);
#undef MEDIAN
	for (int t = 0; t < results[0].threads; t++) {
		char name[48];

		snprintf(name, sizeof(name), "%s-%d", results[0].names[t], t);
		add_median(cpu, name,
			   offsetof(struct result, cpu_us) +
				   sizeof(double) * (size_t)t,
			   results, runs);
	}
	json_object_object_add(obj, "cpu_us_per_start", cpu);
	puts(json_object_to_json_string_ext(obj, JSON_C_TO_STRING_PRETTY));
	json_object_put(obj);
}

static int run(struct bench *b, const char *build, int runs)
{
	struct result *results = talloc_zero_array(b->mem, struct result, runs);
	struct http_client_options options = { 0 };

	strcpy(b->folder, "/tmp/speed-XXXXXX");
	if (!mkdtemp(b->folder))
		return 1;
	options.ev = b->ev = tevent_context_init(b->mem);
	b->client = http_client_create(b->mem, &options);
	b->load_body = job_body(b->mem, TASKS);
	b->probe_body = job_body(b->mem, 1);
	start_workers(b, build);
	start_instance(b, build);
	run_for_ms(b, STARTUP_MS);
	if (!all_running(b)) {
		fprintf(stderr, "speed: a process exited during startup\n");
		stop_all(b);
		return 1;
	}
	for (int i = 0; i < runs; i++) {
		measure_starts(b, &results[i]);
		measure_latency(b, &results[i]);
	}
	stop_all(b);
	print_results(results, runs, b->failures);
	unlink(talloc_asprintf(b->mem, "%s/settings.json", b->folder));
	rmdir(b->folder);
	talloc_free(b->client);
	talloc_free(b->mem);
	return b->failures ? 1 : 0;
}

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int0(NULL, "port", "N", "first of 30 ports");
	struct arg_int *runs =
		arg_int0(NULL, "runs", "N", "number of runs, up to 64");
	struct arg_int *threads =
		arg_int0(NULL, "threads", "N", "targets.threads");
	struct arg_int *load =
		arg_int0(NULL, "load", "N", "starts/s during the latency test");
	struct arg_file *build = arg_file1(NULL, NULL, "BUILD", "build folder");
	struct arg_end *end = arg_end(10);
	void *table[] = { port, runs, threads, load, build, end };

	port->ival[0] = 18400;
	runs->ival[0] = 5;
	threads->ival[0] = 2;
	load->ival[0] = 0;
	signal(SIGPIPE, SIG_IGN);
	if (arg_parse(argc, argv, table) || runs->ival[0] < 1 ||
	    runs->ival[0] > MAX_RUNS) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	struct bench b = {
		.mem = talloc_new(NULL),
		.port = port->ival[0],
		.threads = threads->ival[0],
		.load_per_s = load->ival[0],
	};

	return run(&b, build->filename[0], runs->ival[0]);
}
