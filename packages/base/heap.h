#ifndef BASE_HEAP_H
#define BASE_HEAP_H

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/*
 * A binary heap of nodes that are part of what they order, least key first.
 * A node knows its place, so that any node can be moved or removed in
 * logarithmic time. Equal keys leave in the order in which they came.
 */

struct heap_node {
	uint64_t key;
	uint64_t order; /* of arrival, set by heap_add */
	size_t place; /* from 1; 0: in no heap */
};

struct heap;

/* An empty heap, owned by mem; nodes stay their owners'. */
struct heap *heap_create(TALLOC_CTX *mem);

/* The node must be in no heap. */
void heap_add(struct heap *heap, struct heap_node *node, uint64_t key);

/* Removes a node; one that is in no heap is left as it is. */
void heap_remove(struct heap *heap, struct heap_node *node);

/* Gives a node of the heap another key. */
void heap_move(struct heap *heap, struct heap_node *node, uint64_t key);

/* The node with the least key, NULL when there is none. */
struct heap_node *heap_first(const struct heap *heap);

/* How many nodes the heap has. */
size_t heap_count(const struct heap *heap);

/* The structure a node is part of. */
#define HEAP_ENTRY(node, type, field)                                          \
	((type *)(void *)((char *)(node)-offsetof(type, field)))

#endif
