#ifndef CORE_STEP_JOB_H
#define CORE_STEP_JOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/*
 * What a caller asks of the leased workers: a job of steps, each of tasks that
 * are alike. Its id is the caller's choice.
 *
 * Not for its progress: that is the leader's (core/lease_dispatch.h).
 */

#define STEP_JOB_ID_DIGITS 16
#define STEP_JOB_ID_BYTES (STEP_JOB_ID_DIGITS + 1)
#define STEP_JOB_TASK_BYTES 56 /* of a task's name: ID.0.STEP.INDEX */
#define STEP_JOB_SPEC_BYTES 4000 /* largest text of a job */
#define STEP_JOB_MAX_STEPS 64

/* What one task takes of a worker. */
struct step_job_demand {
	uint32_t cpu_milli; /* thousandths of a core */
	uint32_t mem_mb;
	uint32_t accelerators;
};

struct job_step {
	uint32_t count;
	struct step_job_demand demand; /* of each task */
	uint32_t estimate_ms; /* the caller's guess at a task's run time */
	uint32_t max_per_worker; /* tasks of the step; 0 means no limit */
	char *label; /* the worker must have it; NULL for none */
	char *rack; /* where the data is; NULL for anywhere */
	uint32_t *after; /* earlier steps that must have ended */
	uint32_t after_count;
};

struct step_job {
	char id[STEP_JOB_ID_BYTES];
	char *text; /* passed on to the workers */
	bool stored; /* the caller may ask for it later */
	const char *unsupported; /* a feature that is asked for; or NULL */
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

/* 16 digits of lower or upper case hexadecimal. */
bool step_job_is_id(const char *text, size_t len);

/*
 * Checks a job that was read; *message (a literal) says what is wrong.
 * max_tasks counts over all steps.
 */
enum step_job_status step_job_check(const struct step_job *job,
				    uint32_t max_tasks, const char **message);

/* A stable word for a status, for answers. */
const char *step_job_status_text(enum step_job_status status);

/* Estimated run time of the longest chain of steps. */
uint64_t step_job_longest_chain_ms(const struct step_job *job);

/* Tasks over all steps. */
uint32_t step_job_tasks(const struct step_job *job);

#endif
