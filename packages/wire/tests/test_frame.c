/* Frames arrive in parts of any size; an invalid one stops the reader. */
#include <string.h>

#include "base/tests/run_suite.h"
#include "wire/frame.h"

static uint8_t *pack_ack(TALLOC_CTX *mem, uint64_t transfer)
{
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	Bergamot__HandOverAck ack = BERGAMOT__HAND_OVER_ACK__INIT;

	ack.transfer = transfer;
	peer.body_case = BERGAMOT__PEER__BODY_HAND_OVER_ACK;
	peer.hand_over_ack = &ack;
	return frame_pack(mem, &peer);
}

START_TEST(test_byte_by_byte)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct frame_reader *reader = frame_reader_create(mem);
	Bergamot__Peer *msg;

	for (uint64_t i = 1; i < 50; i++) {
		uint8_t *frame = pack_ack(mem, i);
		size_t len = talloc_get_size(frame);

		for (size_t b = 0; b < len; b++) {
			ck_assert_int_eq(frame_next(reader, &msg),
					 FRAME_INCOMPLETE);
			frame_feed(reader, frame + b, 1);
		}
		ck_assert_int_eq(frame_next(reader, &msg), FRAME_OK);
		ck_assert(msg->hand_over_ack->transfer == i);
		frame_free(msg);
	}
	talloc_free(mem);
}
END_TEST

START_TEST(test_oversize_frame)
{
	struct frame_reader *reader = frame_reader_create(NULL);
	Bergamot__Peer *msg;

	frame_feed(reader, "\xff\xff\xff\xff", 4);
	ck_assert_int_eq(frame_next(reader, &msg), FRAME_TOO_LARGE);
	frame_feed(reader, "\0\0\0\0", 4);
	ck_assert_int_eq(frame_next(reader, &msg), FRAME_TOO_LARGE);
	talloc_free(reader);
}
END_TEST

START_TEST(test_malformed_frame)
{
	struct frame_reader *reader = frame_reader_create(NULL);
	Bergamot__Peer *msg;

	frame_feed(reader, "\0\0\0\4junk", 8);
	ck_assert_int_eq(frame_next(reader, &msg), FRAME_MALFORMED);
	ck_assert_ptr_null(msg);
	talloc_free(reader);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("frame");
	TCase *tc = tcase_create("frame");

	tcase_add_test(tc, test_byte_by_byte);
	tcase_add_test(tc, test_oversize_frame);
	tcase_add_test(tc, test_malformed_frame);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
