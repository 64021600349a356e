#include "wire/frame.h"

#include <string.h>

struct frame_reader {
	uint8_t *data;
	size_t start; /* bytes before it are consumed */
	size_t len;
	enum frame_status failed;
};

struct frame_reader *frame_reader_create(TALLOC_CTX *mem)
{
	return talloc_zero(mem, struct frame_reader);
}

static void compact(struct frame_reader *reader)
{
	if (!reader->start)
		return;
	memmove(reader->data, reader->data + reader->start,
		reader->len - reader->start);
	reader->len -= reader->start;
	reader->start = 0;
}

void frame_feed(struct frame_reader *reader, const void *data, size_t len)
{
	size_t room = talloc_get_size(reader->data);

	if (reader->failed || !len)
		return;
	if (reader->len + len > room)
		compact(reader);
	if (reader->len + len > room) {
		room = (reader->len + len) * 2;
		reader->data = talloc_realloc(reader, reader->data, uint8_t,
					      (unsigned)room);
	}
	memcpy(reader->data + reader->len, data, len);
	reader->len += len;
}

static uint32_t decode_length(const uint8_t *p)
{
	return (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 |
	       (uint32_t)p[2] << 8 | p[3];
}

static enum frame_status fail(struct frame_reader *reader,
			      enum frame_status status)
{
	reader->failed = status;
	return status;
}

enum frame_status frame_next(struct frame_reader *reader, Bergamot__Peer **msg)
{
	size_t available = reader->len - reader->start;
	const uint8_t *p = reader->data + reader->start;
	uint32_t len;

	*msg = NULL;
	if (reader->failed)
		return reader->failed;
	if (available < FRAME_HEADER_BYTES)
		return FRAME_INCOMPLETE;
	len = decode_length(p);
	if (len > FRAME_MAX_BYTES)
		return fail(reader, FRAME_TOO_LARGE);
	if (available < FRAME_HEADER_BYTES + (size_t)len)
		return FRAME_INCOMPLETE;
	*msg = bergamot__peer__unpack(NULL, len, p + FRAME_HEADER_BYTES);
	if (!*msg)
		return fail(reader, FRAME_MALFORMED);
	if ((*msg)->body_case == BERGAMOT__PEER__BODY__NOT_SET) {
		frame_free(*msg);
		*msg = NULL;
		return fail(reader, FRAME_MALFORMED);
	}
	reader->start += FRAME_HEADER_BYTES + (size_t)len;
	if (reader->start == reader->len)
		reader->start = reader->len = 0;
	return FRAME_OK;
}

void frame_free(Bergamot__Peer *msg)
{
	if (msg)
		bergamot__peer__free_unpacked(msg, NULL);
}

uint8_t *frame_pack(TALLOC_CTX *mem, const Bergamot__Peer *msg)
{
	size_t len = bergamot__peer__get_packed_size(msg);
	uint8_t *frame = talloc_array(mem, uint8_t,
				      (unsigned)(FRAME_HEADER_BYTES + len));

	frame[0] = (uint8_t)(len >> 24);
	frame[1] = (uint8_t)(len >> 16);
	frame[2] = (uint8_t)(len >> 8);
	frame[3] = (uint8_t)len;
	bergamot__peer__pack(msg, frame + FRAME_HEADER_BYTES);
	return frame;
}

const char *frame_status_text(enum frame_status status)
{
	static const char *const texts[] = {
		[FRAME_OK] = "ok",
		[FRAME_INCOMPLETE] = "incomplete",
		[FRAME_TOO_LARGE] = "frame too large",
		[FRAME_MALFORMED] = "malformed frame",
	};

	return texts[status];
}
