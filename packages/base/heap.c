#include "base/heap.h"

#include <stdbool.h>

#define INITIAL_CAPACITY 16 /* nodes */

struct heap {
	struct heap_node **nodes; /* from index 1 */
	size_t count;
	size_t capacity;
	uint64_t next_order;
};

struct heap *heap_create(TALLOC_CTX *mem)
{
	return talloc_zero(mem, struct heap);
}

static bool precedes(const struct heap_node *a, const struct heap_node *b)
{
	return a->key < b->key || (a->key == b->key && a->order < b->order);
}

static void set_node(struct heap *heap, size_t index, struct heap_node *node)
{
	heap->nodes[index] = node;
	node->index = index;
}

static void sift_up(struct heap *heap, struct heap_node *node)
{
	size_t index = node->index;

	while (index > 1 && precedes(node, heap->nodes[index / 2])) {
		set_node(heap, index, heap->nodes[index / 2]);
		index /= 2;
	}
	set_node(heap, index, node);
}

static void sift_down(struct heap *heap, struct heap_node *node)
{
	size_t index = node->index;

	for (;;) {
		size_t child = index * 2;

		if (child > heap->count)
			break;
		if (child < heap->count &&
		    precedes(heap->nodes[child + 1], heap->nodes[child]))
			child++;
		if (!precedes(heap->nodes[child], node))
			break;
		set_node(heap, index, heap->nodes[child]);
		index = child;
	}
	set_node(heap, index, node);
}

void heap_add(struct heap *heap, struct heap_node *node, uint64_t key)
{
	if (heap->count + 1 >= heap->capacity) {
		heap->capacity =
			heap->capacity ? heap->capacity * 2 : INITIAL_CAPACITY;
		heap->nodes =
			talloc_realloc(heap, heap->nodes, struct heap_node *,
				       (unsigned)heap->capacity);
	}
	node->key = key;
	node->order = heap->next_order++;
	set_node(heap, ++heap->count, node);
	sift_up(heap, node);
}

void heap_remove(struct heap *heap, struct heap_node *node)
{
	struct heap_node *last;
	size_t index = node->index;

	if (!index)
		return;
	last = heap->nodes[heap->count--];
	node->index = 0;
	if (last == node)
		return;
	set_node(heap, index, last);
	sift_up(heap, last);
	sift_down(heap, last);
}

void heap_move(struct heap *heap, struct heap_node *node, uint64_t key)
{
	node->key = key;
	sift_up(heap, node);
	sift_down(heap, node);
}

struct heap_node *heap_first(const struct heap *heap)
{
	return heap->count ? heap->nodes[1] : NULL;
}

size_t heap_count(const struct heap *heap)
{
	return heap->count;
}
