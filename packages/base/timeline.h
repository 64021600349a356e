#ifndef BASE_TIMELINE_H
#define BASE_TIMELINE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Time line of events: one JSON line per event, with wall and monotonic time,
 * instance and incarnation. `bergamotctl timeline` merges the files of all
 * processes. As in the log, lines are queued without blocking, and dropped and
 * counted (log_dropped) when the queue is full.
 */

#define TIMELINE_NO_TASK (-1)

struct timeline_options {
	const char *path; /* NULL turns the time line off */
	const char *instance;
	const char *data_centre;
	uint64_t incarnation;
};

struct timeline_event {
	const char *event; /* a word such as "task_start" */
	const char *job; /* the job's id as text, or NULL */
	int task; /* index, or TIMELINE_NO_TASK */
	const char *worker; /* or NULL */
	const char *detail; /* free text, or NULL */
};

/* Opens the time line; false when it has a path that cannot be opened. */
bool timeline_open(const struct timeline_options *options);

/* Writes the queued events and closes the time line. */
void timeline_close(void);

/* Returns true if events are written; lets callers skip building them. */
bool timeline_enabled(void);

/* Queues an event; does nothing when the time line is off. */
void timeline_write(const struct timeline_event *event);

#endif
