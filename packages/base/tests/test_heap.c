/* A heap agrees with a linear search under random changes. */
#include <stdlib.h>

#include "base/tests/run_suite.h"
#include "base/heap.h"
#include "base/random.h"

#define NODES 200
#define STEPS 20000

static struct heap_node nodes[NODES];

static struct heap_node *least(void)
{
	struct heap_node *best = NULL;

	for (size_t i = 0; i < NODES; i++)
		if (nodes[i].index && (!best || nodes[i].key < best->key ||
				       (nodes[i].key == best->key &&
					nodes[i].order < best->order)))
			best = &nodes[i];
	return best;
}

START_TEST(test_random_changes)
{
	struct heap *heap = heap_create(NULL);
	struct random_generator random;

	random_seed(&random, 1);
	for (int i = 0; i < STEPS; i++) {
		struct heap_node *n = &nodes[random_below(&random, NODES)];
		uint64_t key = random_below(&random, 50);

		if (!n->index)
			heap_add(heap, n, key);
		else if (random_below(&random, 2))
			heap_move(heap, n, key);
		else
			heap_remove(heap, n);
		ck_assert_ptr_eq(heap_first(heap), least());
	}
	talloc_free(heap);
}
END_TEST

START_TEST(test_removal_from_the_middle)
{
	struct heap *heap = heap_create(NULL);
	struct heap_node *first;
	struct random_generator random;

	random_seed(&random, 2);
	for (int round = 0; round < 50; round++) {
		for (size_t i = 0; i < NODES; i++)
			heap_add(heap, &nodes[i], random_next(&random));
		for (size_t i = 0; i < NODES / 2; i++)
			heap_remove(heap, &nodes[random_below(&random, NODES)]);
		while ((first = heap_first(heap))) {
			ck_assert_ptr_eq(first, least());
			heap_remove(heap, first);
		}
	}
	talloc_free(heap);
}
END_TEST

START_TEST(test_equal_keys_keep_their_order)
{
	struct heap *heap = heap_create(NULL);

	for (size_t i = 0; i < NODES; i++) {
		nodes[i].index = 0;
		heap_add(heap, &nodes[i], 7);
	}
	for (size_t i = 0; i < NODES; i++) {
		ck_assert_ptr_eq(heap_first(heap), &nodes[i]);
		heap_remove(heap, &nodes[i]);
		heap_remove(heap, &nodes[i]); /* not in a heap: no effect */
	}
	ck_assert_uint_eq(heap_count(heap), 0);
	talloc_free(heap);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("heap");
	TCase *tc = tcase_create("heap");

	tcase_add_test(tc, test_random_changes);
	tcase_add_test(tc, test_removal_from_the_middle);
	tcase_add_test(tc, test_equal_keys_keep_their_order);
	suite_add_tcase(suite, tc);
	return run_suite(suite);
}
