#include "ctl/load_trace.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <string.h>

#define WORK_SAMPLES 20000 /* draws for the mean work of a job */
#define MAX_RESUBMIT_DELAY_MS 200 /* after the first submission */

static double draw_run_ms(gsl_rng *rng, const struct trace_options *o)
{
	double ms = gsl_ran_lognormal(rng, log(o->run_median_ms), o->run_sigma);

	return ms > o->run_max_ms ? o->run_max_ms : ms;
}

/* Inverse of the bounded Pareto distribution function. */
static uint32_t draw_tasks(gsl_rng *rng, const struct trace_options *o)
{
	double u = gsl_rng_uniform(rng);
	double low = pow(o->tasks_min, o->tasks_alpha);
	double high = pow(o->tasks_max + 1.0, o->tasks_alpha);
	double x = pow(-(u * high - u * low - high) / (high * low),
		       -1 / o->tasks_alpha);

	return x > o->tasks_max ? o->tasks_max : (uint32_t)x;
}

double trace_mean_work_s(const struct trace_options *o)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	double tasks = 0, run_ms = 0;

	gsl_rng_set(rng, 1);
	for (int i = 0; i < WORK_SAMPLES; i++) {
		tasks += draw_tasks(rng, o);
		run_ms += draw_run_ms(rng, o);
	}
	gsl_rng_free(rng);
	return tasks / WORK_SAMPLES * run_ms / WORK_SAMPLES / 1000;
}

static bool in_burst(const struct trace_options *o, double at_s)
{
	return o->burst_for_s > 0 && at_s >= o->burst_at_s &&
	       at_s < o->burst_at_s + o->burst_for_s;
}

/* Draws a target inside or outside data_centre; NULL means any target. */
static size_t draw_target(gsl_rng *rng, const struct trace_options *o,
			  const char *data_centre, bool inside)
{
	double sum = 0, u;

	for (size_t i = 0; i < o->target_count; i++)
		if (!data_centre ||
		    !strcmp(o->targets[i].data_centre, data_centre) == inside)
			sum += o->targets[i].weight;
	u = gsl_rng_uniform(rng) * sum;
	for (size_t i = 0; i < o->target_count; i++) {
		if (data_centre &&
		    !strcmp(o->targets[i].data_centre, data_centre) != inside)
			continue;
		u -= o->targets[i].weight;
		if (u < 0)
			return i;
	}
	return 0;
}

static size_t draw_team(gsl_rng *rng, const struct trace_options *o)
{
	double sum = 0, u;

	for (size_t i = 0; i < o->team_count; i++)
		sum += o->teams[i].weight;
	u = gsl_rng_uniform(rng) * sum;
	for (size_t i = 0; i < o->team_count; i++) {
		u -= o->teams[i].weight;
		if (u < 0)
			return i;
	}
	return 0;
}

static void draw_times(gsl_rng *rng, const struct trace_options *o,
		       TALLOC_CTX *mem, struct trace_job *job)
{
	job->run_ms = talloc_array(mem, float, job->tasks);
	job->declared_ms = talloc_array(mem, float, job->tasks);
	for (uint32_t i = 0; i < job->tasks; i++) {
		double factor = o->declared_factor > 1
					? pow(o->declared_factor,
					      2 * gsl_rng_uniform(rng) - 1)
					: 1;

		job->run_ms[i] = (float)draw_run_ms(rng, o);
		job->declared_ms[i] = (float)(job->run_ms[i] * factor);
	}
}

static void draw_job(gsl_rng *rng, const struct trace_options *o,
		     TALLOC_CTX *mem, struct trace_job *job, double at_s)
{
	const char *first = o->targets[0].data_centre;

	*job = (struct trace_job){ .at_us = (uint64_t)(at_s * 1e6) };
	if (in_burst(o, at_s) && o->burst_share > 0)
		job->target = draw_target(
			rng, o, first, gsl_rng_uniform(rng) < o->burst_share);
	else
		job->target = draw_target(rng, o, NULL, true);
	job->team = draw_team(rng, o);
	job->never_fits = gsl_rng_uniform(rng) < o->never_fits;
	job->tasks = job->never_fits ? o->never_fits_tasks : draw_tasks(rng, o);
	draw_times(rng, o, mem, job);
	if (gsl_rng_uniform(rng) >= o->resubmit)
		return;
	job->resubmit_after_us = 1 + (uint64_t)(gsl_rng_uniform(rng) *
						MAX_RESUBMIT_DELAY_MS * 1000);
	job->resubmit_target =
		draw_target(rng, o, o->targets[job->target].data_centre, true);
}

struct trace *trace_create(TALLOC_CTX *mem, const struct trace_options *o)
{
	struct trace *trace = talloc_zero(mem, struct trace);
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	size_t capacity = 0;
	double at_s = 0;

	gsl_rng_set(rng, o->seed);
	for (;;) {
		double rate = o->jobs_per_s *
			      (in_burst(o, at_s) ? o->burst_factor : 1);

		at_s += gsl_ran_exponential(rng, 1 / rate);
		if (at_s >= o->seconds)
			break;
		if (trace->count == capacity) {
			capacity = capacity ? capacity * 2 : 1024;
			trace->jobs = talloc_realloc(trace, trace->jobs,
						     struct trace_job,
						     (unsigned)capacity);
		}
		draw_job(rng, o, trace, &trace->jobs[trace->count++], at_s);
	}
	gsl_rng_free(rng);
	return trace;
}

char *trace_body(TALLOC_CTX *mem, const struct trace_options *o,
		 const struct trace_job *job)
{
	char *text = talloc_asprintf(mem,
				     "{\"service\":\"quote\",\"team\":\"%s\","
				     "\"deadline_ms\":%u,\"tasks\":[",
				     o->teams[job->team].name, o->deadline_ms);

	for (uint32_t i = 0; i < job->tasks; i++)
		text = talloc_asprintf_append_buffer(
			text,
			"%s{\"run_ms\":%.0f,\"body\":{\"run_ms\":%.1f,"
			"\"answer\":%u}}",
			i ? "," : "", ceil(job->declared_ms[i]), job->run_ms[i],
			i);
	return talloc_strdup_append_buffer(text, "]}");
}
