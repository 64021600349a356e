#ifndef CTL_LOAD_REPORT_H
#define CTL_LOAD_REPORT_H

#include <stdio.h>

#include "ctl/load_trace.h"

/* Results of a load run: figures of the jobs, and messages by kind. */

/* The result of one job. */
struct report_job {
	uint64_t sent_us; /* since the start of the run */
	uint64_t done_us; /* 0: no answer */
	char outcome[16];
	char reason[24];
	char job[64]; /* the id in the answer */
	bool cancelled; /* a cancel was sent */
	bool mismatched; /* a resubmission got a different outcome */
};

/* Counters that are reported, summed over all instances. */
enum report_counter {
	REPORT_STARTS,
	REPORT_REFUSED,
	REPORT_UNKNOWN,
	REPORT_FORWARDS,
	REPORT_DELEGATIONS,
	REPORT_DELEGATED_RESULTS,
	REPORT_HEARTBEATS,
	REPORT_JOINED,
	REPORT_LATE,
	REPORT_COUNTERS
};

struct report_input {
	const struct trace_options *options;
	const struct trace *trace;
	const struct report_job *jobs; /* one per job of the trace */
	double hops_ms; /* two client hops to an idle instance */
	uint64_t counters[REPORT_COUNTERS]; /* of this run */
};

/* Adds the counters in one instance's /metrics text. */
void report_add_metrics(uint64_t counters[REPORT_COUNTERS], const char *text);

/* Prints the report as one line with a JSON object. */
void report_print_json(const struct report_input *input, FILE *out);

/* Prints the report as a table for people. */
void report_print_table(const struct report_input *input, FILE *out);

/* Prints one tab-separated line per job, below a header line. */
void report_print_jobs(const struct report_input *input, FILE *out);

#endif
