#include "base/counter.h"

#include <inttypes.h>
#include <stdatomic.h>

static const struct {
	const char *name;
	const char *doc;
} descriptions[COUNTER_COUNT] = {
#define COUNTER_DESCRIBE(id, name, doc) [COUNTER_##id] = { name, doc },
	COUNTER_TABLE(COUNTER_DESCRIBE)
#undef COUNTER_DESCRIBE
};

static atomic_uint_fast64_t values[COUNTER_COUNT];

void counter_add(enum counter_id id, uint64_t n)
{
	atomic_fetch_add_explicit(&values[id], n, memory_order_relaxed);
}

uint64_t counter_get(enum counter_id id)
{
	return atomic_load_explicit(&values[id], memory_order_relaxed);
}

char *counter_text(TALLOC_CTX *mem)
{
	char *text = talloc_strdup(mem, "");

	for (int i = 0; i < COUNTER_COUNT; i++) {
		const char *name = descriptions[i].name;

		text = talloc_asprintf_append_buffer(
			text,
			"# HELP bergamot_%s %s\n# TYPE bergamot_%s counter\n"
			"bergamot_%s %" PRIu64 "\n",
			name, descriptions[i].doc, name, name,
			counter_get((enum counter_id)i));
	}
	return text;
}
