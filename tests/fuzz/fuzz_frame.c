/* Feeds arbitrary bytes to the frame reader in pieces of any size. */
#include <stdint.h>

#include "wire/frame.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct frame_reader *reader = frame_reader_create(NULL);
	size_t step = size ? data[0] + 1u : 1;

	for (size_t at = 0; at < size; at += step) {
		Bergamot__Peer *msg;

		frame_feed(reader, data + at,
			   size - at < step ? size - at : step);
		while (frame_next(reader, &msg) == FRAME_OK)
			frame_free(msg);
	}
	talloc_free(reader);
	return 0;
}
