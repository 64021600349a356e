#ifndef WIRE_FRAME_H
#define WIRE_FRAME_H

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include "wire/peer.pb-c.h"

/*
 * Frames on a peer link: a length of four bytes, most significant first, then
 * one packed Peer message. The reader does no I/O: its owner passes it the
 * bytes.
 */

#define FRAME_HEADER_BYTES 4
#define FRAME_MAX_BYTES (16u << 20) /* payload of one frame */

enum frame_status {
	FRAME_OK,
	FRAME_INCOMPLETE, /* the next frame is incomplete */
	FRAME_TOO_LARGE, /* the link must be closed */
	FRAME_MALFORMED, /* the link must be closed */
};

struct frame_reader;

/* Creates a reader on mem, which also owns the reader's buffer. */
struct frame_reader *frame_reader_create(TALLOC_CTX *mem);

/* Adds bytes read from the link. */
void frame_feed(struct frame_reader *reader, const void *data, size_t len);

/*
 * Reads the next message. On FRAME_OK the caller frees *msg with frame_free;
 * otherwise *msg is NULL. After an error every call returns the same error.
 */
enum frame_status frame_next(struct frame_reader *reader, Bergamot__Peer **msg);

/* Frees a message from frame_next; NULL is allowed. */
void frame_free(Bergamot__Peer *msg);

/* Packs msg as a frame, whose length is talloc_get_size of the result. */
uint8_t *frame_pack(TALLOC_CTX *mem, const Bergamot__Peer *msg);

/* Returns a text for status, for logs. */
const char *frame_status_text(enum frame_status status);

#endif
