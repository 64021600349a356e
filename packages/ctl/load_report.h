#ifndef CTL_LOAD_REPORT_H
#define CTL_LOAD_REPORT_H

#include <stdio.h>

#include "ctl/load_trace.h"

/* What a run of load found: figures of jobs, and messages by kind. */

/* One submission's fate. */
struct report_job {
	uint64_t sent_us; /* from the begin of the run */
	uint64_t done_us; /* 0: no answer */
	char outcome[16];
	char reason[24];
	char job[64]; /* the id that was answered */
	bool cancelled; /* a cancel was sent */
	bool mismatched; /* a resubmission got another outcome */
};

/* Counters of the instances that matter here; summed over all of them. */
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
	const struct report_job *jobs; /* as many as in the trace */
	double hops_ms; /* two client hops, measured idle */
	uint64_t counters[REPORT_COUNTERS]; /* of this run */
};

/* Adds the counters of one instance's /metrics text. */
void report_add_metrics(uint64_t counters[REPORT_COUNTERS], const char *text);

/* One JSON object in a line. */
void report_print_json(const struct report_input *input, FILE *out);

/* The same for a person. */
void report_print_table(const struct report_input *input, FILE *out);

/* One line a job: tab-separated, with a heading. */
void report_print_jobs(const struct report_input *input, FILE *out);

#endif
