#ifndef CORE_STEP_JOB_H
#define CORE_STEP_JOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/*
 * A caller's job for leased workers: a list of steps, each a number of tasks of
 * the same kind. The caller chooses the job's id.
 *
 * Not for a job's progress: see core/lease_dispatch.h.
 */

#define STEP_JOB_ID_DIGITS 16
#define STEP_JOB_ID_BYTES (STEP_JOB_ID_DIGITS + 1)
#define STEP_JOB_TASK_BYTES 56 /* of a task's name: ID.0.STEP.INDEX */
#define STEP_JOB_SPEC_BYTES 4000 /* largest text of a job */
#define STEP_JOB_MAX_STEPS 64

/* The resources of a worker that one task uses. */
struct step_job_demand {
	uint32_t cpu_milli; /* thousandths of a core */
	uint32_t mem_mb;
	uint32_t accelerators;
};

struct job_step {
	uint32_t count;
	struct step_job_demand demand; /* of each task */
	uint32_t estimate_ms; /* the caller's estimate of a task's run time */
	uint32_t max_per_worker; /* tasks of the step; 0 means no limit */
	char *label; /* the worker must have it; NULL for none */
	char *rack; /* where the input data is; NULL for anywhere */
	uint32_t *after; /* indices of earlier steps that must be done */
	uint32_t after_count;
};

struct step_job {
	char id[STEP_JOB_ID_BYTES];
	char *text; /* passed on to the workers */
	bool needs_storage; /* the caller may fetch its result later */
	/* a requested but missing feature; or NULL */
	const char *unsupported_feature;
	struct job_step *steps;
	uint32_t step_count;
};

enum step_job_status {
	STEP_JOB_OK,
	STEP_JOB_BAD_ID,
	STEP_JOB_BAD_TEXT,
	STEP_JOB_NO_STEPS,
	STEP_JOB_BAD_STEP,
	STEP_JOB_BAD_ORDER,
	STEP_JOB_TOO_LARGE,
};

/* Returns true if text is 16 hexadecimal digits, of either case. */
bool step_job_is_id(const char *text, size_t len);

/* Names a task ID.0.STEP.INDEX. */
void step_job_name_task(char name[STEP_JOB_TASK_BYTES], const char *id,
			uint32_t step, uint32_t index);

/* Returns true if text can name a task: a job's id, a dot, and more. */
bool step_job_is_task(const char *text);

/*
 * Checks a parsed job. max_tasks limits the tasks of all steps together. On
 * failure *message, a literal, names the fault.
 */
enum step_job_status step_job_check(const struct step_job *job,
				    uint32_t max_tasks, const char **message);

/* Returns a stable word for a status, for answers. */
const char *step_job_status_text(enum step_job_status status);

/* Returns the estimated run time in ms of the longest chain of steps. */
uint64_t step_job_longest_chain_ms(const struct step_job *job);

/* Returns the number of tasks of all steps. */
uint32_t step_job_tasks(const struct step_job *job);

#endif
