#include "ctl/load_report.h"

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

static const struct {
	const char *metric;
	const char *word;
} counters[REPORT_COUNTERS] = {
	[REPORT_STARTS] = { "bergamot_tasks_started ", "starts" },
	[REPORT_REFUSED] = { "bergamot_tasks_refused ", "refused_starts" },
	[REPORT_UNKNOWN] = { "bergamot_tasks_unknown ", "unknown_starts" },
	[REPORT_FORWARDS] = { "bergamot_peer_forwards ", "forwards" },
	[REPORT_DELEGATIONS] = { "bergamot_peer_delegations ", "delegations" },
	[REPORT_DELEGATED_RESULTS] = { "bergamot_peer_delegated_results ",
				       "delegated_results" },
	[REPORT_HEARTBEATS] = { "bergamot_peer_heartbeats ", "heartbeats" },
	[REPORT_JOINED] = { "bergamot_jobs_joined ", "resubmissions" },
	[REPORT_LATE] = { "bergamot_answers_late ", "late_answers" },
};

void report_add_metrics(uint64_t sums[REPORT_COUNTERS], const char *text)
{
	const char *line = text;

	while (line && *line) {
		for (int i = 0; i < REPORT_COUNTERS; i++) {
			size_t len = strlen(counters[i].metric);

			if (!strncmp(line, counters[i].metric, len))
				sums[i] += strtoull(line + len, NULL, 10);
		}
		line = strchr(line, '\n');
		line = line ? line + 1 : NULL;
	}
}

/* The sorted values of one figure, from the jobs that have one. */
struct sample {
	double *values;
	size_t count;
};

static struct sample make_sample(TALLOC_CTX *mem, const struct report_input *in,
				 double (*figure)(const struct report_input *in,
						  size_t job))
{
	struct sample s = {
		talloc_array(mem, double, (unsigned)in->trace->count + 1), 0
	};

	for (size_t i = 0; i < in->trace->count; i++) {
		double value = figure(in, i);

		if (value >= 0)
			s.values[s.count++] = value;
	}
	gsl_sort(s.values, 1, s.count);
	return s;
}

static double response_ms(const struct report_input *in, size_t i)
{
	return (double)(in->jobs[i].done_us - in->trace->jobs[i].at_us) / 1000;
}

/* Figures of one job; a negative value means that it has none. */

static double response_over_ideal(const struct report_input *in, size_t i)
{
	const struct trace_job *job = &in->trace->jobs[i];

	if (strcmp(in->jobs[i].outcome, "complete") || !(job->ideal_ms > 0))
		return -1;
	return response_ms(in, i) / (job->ideal_ms + in->hops_ms);
}

/*
 * Also includes jobs that could have been completed but were not, as if they
 * had been answered at their deadline.
 */
static double response_over_ideal_all(const struct report_input *in, size_t i)
{
	const struct trace_job *job = &in->trace->jobs[i];
	double value = response_over_ideal(in, i);

	if (value >= 0 || !(job->ideal_ms > 0) || job->never_fits ||
	    in->jobs[i].cancelled)
		return value;
	return in->options->deadline_ms / (job->ideal_ms + in->hops_ms);
}

static double bound_over_ideal(const struct report_input *in, size_t i)
{
	const struct trace_job *job = &in->trace->jobs[i];

	if (!(job->ideal_ms > 0))
		return -1;
	return (job->bound_ms + in->hops_ms) / (job->ideal_ms + in->hops_ms);
}

static double refusal_ms(const struct report_input *in, size_t i)
{
	return strcmp(in->jobs[i].outcome, "not_run") ? -1 : response_ms(in, i);
}

static double send_lag_ms(const struct report_input *in, size_t i)
{
	return (double)(in->jobs[i].sent_us - in->trace->jobs[i].at_us) / 1000;
}

static const struct {
	const char *name;
	double (*figure)(const struct report_input *in, size_t job);
} figures[] = {
	{ "response_over_ideal", response_over_ideal },
	{ "response_over_ideal_all", response_over_ideal_all },
	{ "bound_over_ideal", bound_over_ideal },
	{ "refusal_ms", refusal_ms },
	{ "send_lag_ms", send_lag_ms },
};

#define FIGURE_COUNT (sizeof(figures) / sizeof(figures[0]))

static void add_number(json_object *obj, const char *key, double value)
{
	char text[32];

	snprintf(text, sizeof(text), "%.4g", value);
	json_object_object_add(obj, key, json_object_new_double_s(value, text));
}

static json_object *summarize(const struct report_input *in, size_t figure)
{
	json_object *obj = json_object_new_object();
	TALLOC_CTX *mem = talloc_new(NULL);
	struct sample s = make_sample(mem, in, figures[figure].figure);

	json_object_object_add(obj, "count",
			       json_object_new_int64((int64_t)s.count));
	if (s.count) {
		add_number(obj, "mean", gsl_stats_mean(s.values, 1, s.count));
		add_number(obj, "p50",
			   gsl_stats_quantile_from_sorted_data(s.values, 1,
							       s.count, 0.5));
		add_number(obj, "p99",
			   gsl_stats_quantile_from_sorted_data(s.values, 1,
							       s.count, 0.99));
	}
	talloc_free(mem);
	return obj;
}

static void count_word(json_object *obj, const char *word)
{
	json_object *v;
	int64_t n = 1;

	if (json_object_object_get_ex(obj, word, &v))
		n += json_object_get_int64(v);
	json_object_object_add(obj, word, json_object_new_int64(n));
}

static json_object *count_outcomes(const struct report_input *in)
{
	json_object *obj = json_object_new_object();

	for (size_t i = 0; i < in->trace->count; i++) {
		const struct report_job *job = &in->jobs[i];
		char word[48];

		snprintf(word, sizeof(word), "%s%s%s",
			 *job->outcome ? job->outcome : "no_answer",
			 *job->reason ? " " : "", job->reason);
		count_word(obj, word);
	}
	return obj;
}

/* Share of jobs completed by their deadline, of those that could be. */
static double share_on_time(const struct report_input *in)
{
	size_t possible = 0, on_time = 0;

	for (size_t i = 0; i < in->trace->count; i++) {
		if (in->trace->jobs[i].never_fits || in->jobs[i].cancelled)
			continue;
		possible++;
		on_time += !strcmp(in->jobs[i].outcome, "complete") &&
			   response_ms(in, i) <= in->options->deadline_ms;
	}
	return possible ? (double)on_time / (double)possible : 1;
}

static size_t count_mismatched(const struct report_input *in)
{
	size_t count = 0;

	for (size_t i = 0; i < in->trace->count; i++)
		count += in->jobs[i].mismatched;
	return count;
}

static json_object *messages_per_start(const struct report_input *in)
{
	json_object *obj = json_object_new_object();
	double starts = (double)in->counters[REPORT_STARTS];

	for (int i = REPORT_STARTS + 1; i < REPORT_COUNTERS; i++)
		add_number(obj, counters[i].word,
			   starts > 0 ? (double)in->counters[i] / starts : 0);
	return obj;
}

static json_object *make_report(const struct report_input *in)
{
	json_object *obj = json_object_new_object();

	json_object_object_add(
		obj, "seed", json_object_new_int64((int64_t)in->options->seed));
	json_object_object_add(
		obj, "jobs", json_object_new_int64((int64_t)in->trace->count));
	json_object_object_add(
		obj, "starts",
		json_object_new_int64((int64_t)in->counters[REPORT_STARTS]));
	add_number(obj, "hops_ms", in->hops_ms);
	add_number(obj, "on_time", share_on_time(in));
	json_object_object_add(
		obj, "resubmissions_mismatched",
		json_object_new_int64((int64_t)count_mismatched(in)));
	for (size_t i = 0; i < FIGURE_COUNT; i++)
		json_object_object_add(obj, figures[i].name, summarize(in, i));
	json_object_object_add(obj, "outcomes", count_outcomes(in));
	json_object_object_add(obj, "messages_per_start",
			       messages_per_start(in));
	return obj;
}

void report_print_json(const struct report_input *in, FILE *out)
{
	json_object *obj = make_report(in);

	fprintf(out, "%s\n",
		json_object_to_json_string_ext(obj, JSON_C_TO_STRING_PLAIN));
	json_object_put(obj);
}

void report_print_table(const struct report_input *in, FILE *out)
{
	json_object *obj = make_report(in);

	json_object_object_foreach(obj, key, value)
	{
		if (!json_object_is_type(value, json_type_object)) {
			fprintf(out, "%-28s %s\n", key,
				json_object_get_string(value));
			continue;
		}
		fprintf(out, "%s\n", key);
		json_object_object_foreach(value, word, number)
			fprintf(out, "  %-26s %s\n", word,
				json_object_get_string(number));
	}
	json_object_put(obj);
}

void report_print_jobs(const struct report_input *in, FILE *out)
{
	fprintf(out, "at_ms\tjob\ttarget\tteam\ttasks\toutcome\treason\t"
		     "response_ms\tideal_ms\tbound_ms\n");
	for (size_t i = 0; i < in->trace->count; i++) {
		const struct trace_job *t = &in->trace->jobs[i];
		const struct report_job *j = &in->jobs[i];

		fprintf(out, "%.1f\t%s\t%s\t%s\t%u\t%s\t%s\t%.2f\t%.2f\t%.2f\n",
			(double)t->at_us / 1000, j->job,
			in->options->targets[t->target].address,
			in->options->teams[t->team].name, t->tasks,
			*j->outcome ? j->outcome : "no_answer", j->reason,
			j->done_us ? response_ms(in, i) : -1, t->ideal_ms,
			t->bound_ms);
	}
}
