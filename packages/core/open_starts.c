#include "core/open_starts.h"

#include "base/log.h"
#include "core/failed_runs.h"

static bool is_of_task(const struct open_start *start, uint32_t step,
		       uint32_t index)
{
	return start->step == step && start->index == index;
}

static struct open_start *find(const struct open_starts *starts,
			       const struct open_start *like)
{
	for (uint32_t i = 0; i < starts->count; i++)
		if (starts->rows[i].number == like->number &&
		    is_of_task(&starts->rows[i], like->step, like->index))
			return &starts->rows[i];
	return NULL;
}

/* Keeps the order: starts are struck out about in the order of their notes. */
static void remove_at(struct open_starts *starts, uint32_t i)
{
	starts->count--;
	for (; i < starts->count; i++)
		starts->rows[i] = starts->rows[i + 1];
}

static void append(TALLOC_CTX *mem, struct open_starts *starts,
		   const struct open_start *start, uint64_t now_ms)
{
	if (starts->count == OPEN_STARTS_MAX)
		open_starts_expire(starts, now_ms);
	if (starts->count == OPEN_STARTS_MAX) {
		log_warning(LOG_JOB,
			    "a job has %d starts without a known outcome; that "
			    "of task %u.%u run %u is forgotten",
			    OPEN_STARTS_MAX, starts->rows[0].step,
			    starts->rows[0].index, starts->rows[0].number);
		remove_at(starts, 0);
	}
	if (talloc_array_length(starts->rows) == starts->count)
		starts->rows =
			talloc_realloc(mem, starts->rows, struct open_start,
				       starts->count ? starts->count * 2 : 4);
	starts->rows[starts->count++] = *start;
}

void open_starts_add(TALLOC_CTX *mem, struct open_starts *starts,
		     const struct open_start *start, uint64_t now_ms)
{
	struct open_start *known = find(starts, start);

	if (!known) {
		append(mem, starts, start, now_ms);
		return;
	}
	known->is_repeated |= start->is_repeated;
	if (start->over_ms > known->over_ms)
		known->over_ms = start->over_ms;
}

bool open_starts_settle(struct open_starts *starts,
			const struct open_start *start)
{
	struct open_start *known = start->number ? find(starts, start) : NULL;

	if (!known || known->is_repeated)
		return false;
	remove_at(starts, (uint32_t)(known - starts->rows));
	return true;
}

void open_starts_expire(struct open_starts *starts, uint64_t now_ms)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < starts->count; i++)
		if (starts->rows[i].over_ms > now_ms)
			starts->rows[kept++] = starts->rows[i];
	starts->count = kept;
}

bool open_starts_have(const struct open_starts *starts,
		      const struct open_start *like)
{
	if (like->number)
		return find(starts, like);
	for (uint32_t i = 0; i < starts->count; i++) {
		const struct open_start *start = &starts->rows[i];

		if (is_of_task(start, like->step, like->index) &&
		    start->over_ms + OPEN_START_SAME_MS > like->over_ms &&
		    like->over_ms + OPEN_START_SAME_MS > start->over_ms)
			return true;
	}
	return false;
}

const char *open_start_find_fault(const struct open_start *start,
				  const struct job_step *steps,
				  uint32_t step_count)
{
	if (start->step >= (steps ? step_count : STEP_JOB_MAX_STEPS))
		return "the job has no such step";
	if (start->index >=
	    (steps ? steps[start->step].count : OPEN_START_MAX_TASKS))
		return "the step has no such task";
	if (start->number > FAILED_RUN_MAX_NUMBER)
		return "no run has such a number";
	return NULL;
}
