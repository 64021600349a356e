/* load: parses the arguments of a load run. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/command.h"
#include "ctl/load_run.h"
#include "ctl/options.h"

/* Options that can be repeated, and the fields of their values. */
struct lists {
	struct arg_str *targets;
	struct arg_str *workers;
	struct arg_str *teams;
};

#define TARGET_FIELDS "HOST:PORT,DC,WEIGHT"
#define WORKERS_FIELDS "DC,COUNT,SLOTS,SLOWEST"
#define TEAM_FIELDS "NAME,WEIGHT"

/* Splits "A,B,C" into count fields of a copy owned by mem. */
static bool split_fields(TALLOC_CTX *mem, char **fields, size_t count,
			 const char *text, const char *names)
{
	char *p = strtok(talloc_strdup(mem, text), ",");
	size_t n = 0;

	for (; p && n < count; p = strtok(NULL, ","))
		fields[n++] = p;
	if (n == count && !p)
		return true;
	fprintf(stderr, "bergamotctl: load: %s: expected %s\n", text, names);
	return false;
}

static bool read_targets(struct load_options *l, const struct arg_str *targets)
{
	char *p[4];

	for (int i = 0; i < targets->count; i++) {
		if (!split_fields(l, p, 3, targets->sval[i], TARGET_FIELDS))
			return false;
		l->targets[i] = (struct trace_target){ p[0], p[1], atof(p[2]) };
	}
	l->trace.target_count = (size_t)targets->count;
	return true;
}

static bool read_workers(struct load_options *l, const struct arg_str *workers)
{
	char *p[4];

	for (int i = 0; i < workers->count; i++) {
		if (!split_fields(l, p, 4, workers->sval[i], WORKERS_FIELDS))
			return false;
		l->workers[i] =
			(struct trace_workers){ p[0], (uint32_t)atoi(p[1]),
						(uint32_t)atoi(p[2]),
						atof(p[3]) };
	}
	l->worker_count = (size_t)workers->count;
	return true;
}

static bool read_teams(struct load_options *l, const struct arg_str *teams)
{
	char *p[4];

	l->teams[0] = (struct trace_team){ "default", 1 };
	for (int i = 0; i < teams->count; i++) {
		if (!split_fields(l, p, 2, teams->sval[i], TEAM_FIELDS))
			return false;
		l->teams[i] = (struct trace_team){ p[0], atof(p[1]) };
	}
	l->trace.team_count = teams->count ? (size_t)teams->count : 1;
	return true;
}

static bool read_lists(struct load_options *l, const struct lists *lists)
{
	return read_targets(l, lists->targets) &&
	       read_workers(l, lists->workers) && read_teams(l, lists->teams);
}

/* A numeric option with its default. */
struct number_option {
	const char *option;
	const char *unit;
	const char *doc;
	double initial;
	struct arg_dbl *arg;
};

enum number_id {
	N_SEED,
	N_SECONDS,
	N_RATE,
	N_LOAD,
	N_TASKS_MIN,
	N_TASKS_MAX,
	N_TASKS_ALPHA,
	N_RUN_MEDIAN,
	N_RUN_SIGMA,
	N_RUN_MAX,
	N_DEADLINE,
	N_BURST_AT,
	N_BURST_FOR,
	N_BURST_FACTOR,
	N_BURST_SHARE,
	N_DECLARED,
	N_RESUBMIT,
	N_NEVER_FITS,
	N_NEVER_FITS_TASKS,
	N_CANCEL_AT,
	N_CANCEL,
	N_COUNT
};

static struct number_option numbers[N_COUNT] = {
	[N_SEED] = { "seed", "N", "seed of the trace", 1, NULL },
	[N_SECONDS] = { "seconds", "S", "length of the run", 10, NULL },
	[N_RATE] = { "rate", "N", "jobs a second", 10, NULL },
	[N_LOAD] = { "load", "PERCENT",
		     "load on --workers' slots, in place of --rate", 0, NULL },
	[N_TASKS_MIN] = { "tasks-min", "N", "fewest tasks of a job", 1, NULL },
	[N_TASKS_MAX] = { "tasks-max", "N", "most tasks of a job", 100, NULL },
	[N_TASKS_ALPHA] = { "tasks-alpha", "X",
			    "exponent of the bounded Pareto "
			    "distribution of tasks",
			    1.1, NULL },
	[N_RUN_MEDIAN] = { "run-median", "MS", "median run time of a task", 100,
			   NULL },
	[N_RUN_SIGMA] = { "run-sigma", "X", "sigma of the log-normal run times",
			  0.6, NULL },
	[N_RUN_MAX] = { "run-max", "MS", "longest run time of a task", 5000,
			NULL },
	[N_DEADLINE] = { "deadline", "MS", "deadline of a job", 10000, NULL },
	[N_BURST_AT] = { "burst-at", "S", "start of a burst", 0, NULL },
	[N_BURST_FOR] = { "burst-for", "S", "length of the burst", 0, NULL },
	[N_BURST_FACTOR] = { "burst-factor", "X",
			     "job rate in the burst, as a multiple", 10, NULL },
	[N_BURST_SHARE] = { "burst-share", "PART",
			    "part of the burst sent to the first "
			    "target's data centre",
			    0, NULL },
	[N_DECLARED] = { "declared-factor", "X",
			 "largest factor by which declared run "
			 "times are too long or too short",
			 1, NULL },
	[N_RESUBMIT] = { "resubmit", "PART",
			 "part of the jobs that is sent again while running", 0,
			 NULL },
	[N_NEVER_FITS] = { "never-fits", "PART",
			   "part of the jobs that has too many tasks to run", 0,
			   NULL },
	[N_NEVER_FITS_TASKS] = { "never-fits-tasks", "N", "tasks of such a job",
				 600, NULL },
	[N_CANCEL_AT] = { "cancel-at", "S",
			  "time at which running jobs are cancelled", 0, NULL },
	[N_CANCEL] = { "cancel", "PERCENT",
		       "part of the running jobs to cancel", 0, NULL },
};

static double number_value(enum number_id id)
{
	return numbers[id].arg->count ? numbers[id].arg->dval[0]
				      : numbers[id].initial;
}

static void read_numbers(struct load_options *l)
{
	struct trace_options *o = &l->trace;

	o->seed = (unsigned long)number_value(N_SEED);
	o->seconds = number_value(N_SECONDS);
	o->jobs_per_s = number_value(N_RATE);
	l->percent = number_value(N_LOAD);
	o->tasks_min = (uint32_t)number_value(N_TASKS_MIN);
	o->tasks_max = (uint32_t)number_value(N_TASKS_MAX);
	o->tasks_alpha = number_value(N_TASKS_ALPHA);
	o->run_median_ms = number_value(N_RUN_MEDIAN);
	o->run_sigma = number_value(N_RUN_SIGMA);
	o->run_max_ms = number_value(N_RUN_MAX);
	o->deadline_ms = (uint32_t)number_value(N_DEADLINE);
	o->burst_at_s = number_value(N_BURST_AT);
	o->burst_for_s = number_value(N_BURST_FOR);
	o->burst_factor = number_value(N_BURST_FACTOR);
	o->burst_share = number_value(N_BURST_SHARE);
	o->declared_factor = number_value(N_DECLARED);
	o->resubmit = number_value(N_RESUBMIT);
	o->never_fits = number_value(N_NEVER_FITS);
	o->never_fits_tasks = (uint32_t)number_value(N_NEVER_FITS_TASKS);
	l->cancel_at_s = number_value(N_CANCEL_AT);
	l->cancel_percent = number_value(N_CANCEL);
}

#define FIXED_OPTIONS 9 /* options before the numbers */

int command_load(int argc, char **argv)
{
	struct arg_lit *json = option_json("print JSON");
	struct lists lists = {
		.targets = arg_strn("i", "instance", TARGET_FIELDS, 1,
				    TRACE_MAX_TARGETS,
				    "callers' address, data centre, weight"),
		.workers = arg_strn("w", "workers", WORKERS_FIELDS, 0,
				    LOAD_MAX_DATA_CENTRES,
				    "a data centre's workers, for ideal and "
				    "bound"),
		.teams = arg_strn("t", "team", TEAM_FIELDS, 0, TRACE_MAX_TEAMS,
				  "team of jobs"),
	};
	struct arg_str *operators =
		arg_strn("m", "metrics", "HOST:PORT", 0, LOAD_MAX_OPERATORS,
			 "operators' address, for counters");
	struct arg_file *jobs = arg_file0("o", "jobs", "FILE",
					  "write one line per job to FILE");
	struct arg_file *requests = arg_file0(
		NULL, "requests", "FILE",
		"write the callers' history to FILE, one JSON line per request");
	struct arg_lit *own_ids =
		arg_lit0(NULL, "own-ids",
			 "request an id for each job, and resubmit "
			 "under it when disconnected");
	void *entries[FIXED_OPTIONS + N_COUNT + 1] = {
		option_help(), json, lists.targets, operators, lists.workers,
		lists.teams,   jobs, requests,	    own_ids
	};
	struct option_table table = { entries,
				      sizeof(entries) / sizeof(entries[0]),
				      NULL };
	struct load_options *l = talloc_zero(NULL, struct load_options);
	int code;

	for (int i = 0; i < N_COUNT; i++)
		entries[FIXED_OPTIONS + i] = numbers[i].arg =
			arg_dbl0(NULL, numbers[i].option, numbers[i].unit,
				 numbers[i].doc);
	entries[FIXED_OPTIONS + N_COUNT] = arg_end(20);
	if (option_parse(argc, argv, &table, &code)) {
		read_numbers(l);
		for (int i = 0; i < operators->count; i++)
			l->operators[l->operator_count++] = operators->sval[i];
		l->json = json->count;
		l->own_ids = own_ids->count;
		l->jobs_file = option_file(jobs, NULL);
		l->requests_file = option_file(requests, NULL);
		code = read_lists(l, &lists) ? load_run(l) : COMMAND_USAGE;
	}
	arg_freetable(entries, table.count);
	talloc_free(l);
	return code;
}
