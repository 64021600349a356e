#include "base/heap.h"

#include <stdbool.h>

#define FIRST_ROOM 16 /* nodes */

struct heap {
	struct heap_node **nodes; /* from index 1 */
	size_t count;
	size_t room;
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

static void put(struct heap *heap, size_t place, struct heap_node *node)
{
	heap->nodes[place] = node;
	node->place = place;
}

static void sift_up(struct heap *heap, struct heap_node *node)
{
	size_t place = node->place;

	while (place > 1 && precedes(node, heap->nodes[place / 2])) {
		put(heap, place, heap->nodes[place / 2]);
		place /= 2;
	}
	put(heap, place, node);
}

static void sift_down(struct heap *heap, struct heap_node *node)
{
	size_t place = node->place;

	for (;;) {
		size_t child = place * 2;

		if (child > heap->count)
			break;
		if (child < heap->count &&
		    precedes(heap->nodes[child + 1], heap->nodes[child]))
			child++;
		if (!precedes(heap->nodes[child], node))
			break;
		put(heap, place, heap->nodes[child]);
		place = child;
	}
	put(heap, place, node);
}

void heap_add(struct heap *heap, struct heap_node *node, uint64_t key)
{
	if (heap->count + 1 >= heap->room) {
		heap->room = heap->room ? heap->room * 2 : FIRST_ROOM;
		heap->nodes =
			talloc_realloc(heap, heap->nodes, struct heap_node *,
				       (unsigned)heap->room);
	}
	node->key = key;
	node->order = heap->next_order++;
	put(heap, ++heap->count, node);
	sift_up(heap, node);
}

void heap_remove(struct heap *heap, struct heap_node *node)
{
	struct heap_node *last;
	size_t place = node->place;

	if (!place)
		return;
	last = heap->nodes[heap->count--];
	node->place = 0;
	if (last == node)
		return;
	put(heap, place, last);
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
