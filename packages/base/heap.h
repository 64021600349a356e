#ifndef BASE_HEAP_H
#define BASE_HEAP_H

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/*
 * An intrusive binary min-heap. A node stores its index, so that any node can
 * be moved or removed in logarithmic time. Nodes with equal keys come out in
 * the order in which they were added.
 */

struct heap_node {
	uint64_t key;
	uint64_t order; /* of insertion, set by heap_add */
	size_t index; /* from 1; 0: not in a heap */
};

struct heap;

/* Creates an empty heap, owned by mem. It does not own its nodes. */
struct heap *heap_create(TALLOC_CTX *mem);

/* Adds a node, which must not be in any heap. */
void heap_add(struct heap *heap, struct heap_node *node, uint64_t key);

/* Removes a node; does nothing when the node is not in a heap. */
void heap_remove(struct heap *heap, struct heap_node *node);

/* Changes a node's key; the node must be in this heap. */
void heap_move(struct heap *heap, struct heap_node *node, uint64_t key);

/* Returns the node with the least key, or NULL for an empty heap. */
struct heap_node *heap_first(const struct heap *heap);

/* Returns the number of nodes. */
size_t heap_count(const struct heap *heap);

/* The structure that contains the node as a field. */
#define HEAP_ENTRY(node, type, field)                                          \
	((type *)(void *)((char *)(node)-offsetof(type, field)))

#endif
