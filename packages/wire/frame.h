#ifndef WIRE_FRAME_H
#define WIRE_FRAME_H

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "wire/peer.pb-c.h"

/*
 * Frames on a peer link: four bytes of length, most significant first, then
 * one packed Peer message. Not for I/O: the reader is fed by its owner.
 */

#define FRAME_HEADER_BYTES 4
#define FRAME_MAX_BYTES (16u << 20) /* payload of one frame */

enum frame_status {
	FRAME_OK,
	FRAME_MORE, /* no whole frame yet */
	FRAME_TOO_LARGE, /* the link must be closed */
	FRAME_MALFORMED, /* the link must be closed */
};

struct frame_reader;

/* Owned by mem, with the bytes it holds. */
struct frame_reader *frame_reader_create(TALLOC_CTX *mem);

/* Adds bytes read from the link. */
void frame_feed(struct frame_reader *reader, const void *data, size_t len);

/*
 * Takes the next message. On FRAME_OK *msg is to be freed with frame_free; on
 * an error the reader yields nothing more.
 */
enum frame_status frame_next(struct frame_reader *reader, Bergamot__Peer **msg);

/* Frees a message of frame_next; NULL is allowed. */
void frame_free(Bergamot__Peer *msg);

/* Packs msg with its header; the length is talloc_get_size of the result. */
uint8_t *frame_pack(TALLOC_CTX *mem, const Bergamot__Peer *msg);

/* A word for a status, for logs. */
const char *frame_status_text(enum frame_status status);

#endif
