#include "base/histogram.h"

#include <inttypes.h>
#include <stdatomic.h>

static const struct {
	const char *name;
	const char *doc;
} descriptions[HISTOGRAM_COUNT] = {
#define HISTOGRAM_DESCRIBE(id, name, doc) [HISTOGRAM_##id] = { name, doc },
	HISTOGRAM_TABLE(HISTOGRAM_DESCRIBE)
#undef HISTOGRAM_DESCRIBE
};

/* Upper bounds. Tasks run from 50 ms to seconds; calls take under 1 ms. */
static const uint64_t bounds_ms[] = { 1,    2,	  5,	10,   20,   50,
				      100,  200,  400,	700,  1000, 1500,
				      2000, 3000, 5000, 10000 };

#define BOUND_COUNT (sizeof(bounds_ms) / sizeof(bounds_ms[0]))

/* The last bucket counts observations above all bounds. */
static atomic_uint_fast64_t buckets[HISTOGRAM_COUNT][BOUND_COUNT + 1];
static atomic_uint_fast64_t sums_ms[HISTOGRAM_COUNT];

void histogram_observe_ms(enum histogram_id id, uint64_t ms)
{
	size_t i = 0;

	while (i < BOUND_COUNT && ms > bounds_ms[i])
		i++;
	atomic_fetch_add_explicit(&buckets[id][i], 1, memory_order_relaxed);
	atomic_fetch_add_explicit(&sums_ms[id], ms, memory_order_relaxed);
}

uint64_t histogram_count_up_to(enum histogram_id id, uint64_t ms)
{
	uint64_t count = 0;

	for (size_t i = 0; i < BOUND_COUNT && bounds_ms[i] <= ms; i++)
		count += atomic_load_explicit(&buckets[id][i],
					      memory_order_relaxed);
	return count;
}

static char *append_one(char *text, enum histogram_id id)
{
	const char *name = descriptions[id].name;
	uint64_t count = 0;

	text = talloc_asprintf_append_buffer(
		text, "# HELP bergamot_%s %s\n# TYPE bergamot_%s histogram\n",
		name, descriptions[id].doc, name);
	for (size_t i = 0; i < BOUND_COUNT; i++) {
		count += atomic_load_explicit(&buckets[id][i],
					      memory_order_relaxed);
		text = talloc_asprintf_append_buffer(
			text, "bergamot_%s_bucket{le=\"%g\"} %" PRIu64 "\n",
			name, (double)bounds_ms[i] / 1000, count);
	}
	count += atomic_load_explicit(&buckets[id][BOUND_COUNT],
				      memory_order_relaxed);
	return talloc_asprintf_append_buffer(
		text,
		"bergamot_%s_bucket{le=\"+Inf\"} %" PRIu64 "\n"
		"bergamot_%s_sum %g\nbergamot_%s_count %" PRIu64 "\n",
		name, count, name,
		(double)atomic_load_explicit(&sums_ms[id],
					     memory_order_relaxed) /
			1000,
		name, count);
}

char *histogram_append(char *text)
{
	for (int id = 0; id < HISTOGRAM_COUNT; id++)
		text = append_one(text, (enum histogram_id)id);
	return text;
}
