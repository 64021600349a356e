/* Links between instances: both ends in one loop, and a far side by hand. */
#include <netinet/in.h>
#include <stdlib.h>
#include <unistd.h>

#include "adapters/messages.h"
#include "adapters/peers.h"
#include "base/tests/run_suite.h"
#include "wire/frame.h"

#define SILENCE_MS 200
#define BIG_BYTES (1u << 20)
#define BIG_COUNT 16 /* more than the kernel takes */

/* An end, and what its control was told. */
struct end {
	struct mailbox *control;
	void *peers;
	char address[32];
	int ups, downs, messages;
};

static struct tevent_context *ev;
static struct end a, b;
static int listen_fd;
static char far_address[32];

static void on_message(void *ctx, struct mailbox_message *msg)
{
	struct end *end = ctx;

	end->ups += msg->kind == MESSAGE_PEER_UP;
	end->downs += msg->kind == MESSAGE_PEER_DOWN;
	end->messages += msg->kind == MESSAGE_PEER_MESSAGE;
	talloc_free(msg);
}

static uint8_t *pack_hello(uint64_t incarnation, const char *cluster)
{
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	Bergamot__Hello hello = BERGAMOT__HELLO__INIT;

	hello.incarnation = incarnation;
	hello.cluster = (char *)cluster;
	peer.body_case = BERGAMOT__PEER__BODY_HELLO;
	peer.hello = &hello;
	return frame_pack(ev, &peer);
}

/* A listening socket on a free port, whose address is written to text. */
static int listen_anywhere(char *text, size_t size)
{
	struct sockaddr_in in = { .sin_family = AF_INET };
	socklen_t len = sizeof(in);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert(!bind(fd, (struct sockaddr *)&in, sizeof(in)));
	ck_assert(!listen(fd, 8));
	ck_assert(!getsockname(fd, (struct sockaddr *)&in, &len));
	snprintf(text, size, "127.0.0.1:%d", ntohs(in.sin_port));
	return fd;
}

static void create(struct end *end, uint64_t incarnation, uint32_t silence_ms)
{
	struct mailbox_options mailbox = { .ev = ev,
					   .handler = on_message,
					   .ctx = end };
	struct peers_options options = { .listen = end->address,
					 .cluster = "test",
					 .silence_ms = silence_ms };

	close(listen_anywhere(end->address, sizeof(end->address)));
	end->ups = end->downs = end->messages = 0;
	options.control = end->control = mailbox_create(ev, &mailbox);
	options.hello = pack_hello(incarnation, "test");
	options.hello_len = talloc_get_size(options.hello);
	end->peers = peers_init(ev, ev, &options);
	ck_assert_ptr_nonnull(end->peers);
}

static void setup(void)
{
	ev = tevent_context_init(NULL);
	listen_fd = listen_anywhere(far_address, sizeof(far_address));
}

static void teardown(void)
{
	talloc_free(ev);
	close(listen_fd);
}

static void address_call(struct end *end, enum message_kind kind,
			 const char *address)
{
	struct message_peer_address *msg =
		message_create(struct message_peer_address, kind);

	msg->address = talloc_strdup(msg, address);
	peers_handle(end->peers, &msg->head);
}

static void send_bytes(struct end *end, uint64_t incarnation, size_t bytes)
{
	struct message_peer_send *msg =
		message_create(struct message_peer_send, MESSAGE_PEER_SEND);
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	Bergamot__ConfigOffer offer = BERGAMOT__CONFIG_OFFER__INIT;

	offer.deflated.data = talloc_zero_size(msg, bytes);
	offer.deflated.len = bytes;
	peer.body_case = BERGAMOT__PEER__BODY_CONFIG_OFFER;
	peer.config_offer = &offer;
	msg->incarnation = incarnation;
	msg->frame = frame_pack(msg, &peer);
	peers_handle(end->peers, &msg->head);
}

static void run_until(const int *count, int value)
{
	while (*count < value)
		tevent_loop_once(ev);
}

/* Either of a pair's two connections carries what the other did. */
START_TEST(test_pair_outlives_one_of_two_connections)
{
	create(&a, 1, 0);
	create(&b, 2, 0);
	address_call(&a, MESSAGE_PEER_DIAL, b.address);
	run_until(&b.ups, 1);
	run_until(&a.ups, 1);
	address_call(&b, MESSAGE_PEER_DIAL, a.address);
	send_bytes(&a, 2, 1);
	run_until(&b.messages, 1);
	ck_assert_int_eq(a.ups + b.ups, 2);
	do /* until b's own is the second one */
		send_bytes(&b, 1, 1);
	while (tevent_loop_once(ev), a.messages < 20);
	address_call(&a, MESSAGE_PEER_HANG_UP, b.address);
	run_until(&b.ups, 2);
	run_until(&a.ups, 2);
	ck_assert_int_eq(a.downs + b.downs, 2);
	send_bytes(&a, 2, 1);
	run_until(&b.messages, 2);
	address_call(&b, MESSAGE_PEER_HANG_UP, a.address);
	run_until(&a.downs, 2);
	ck_assert_int_eq(a.ups + b.ups, 4);
}
END_TEST

/* Waits for a connection of a's at the far side that the test plays. */
static int accept_far(void)
{
	int fd;

	while ((fd = accept4(listen_fd, NULL, NULL, SOCK_NONBLOCK)) < 0)
		tevent_loop_once(ev);
	return fd;
}

/* Has a dial the far side, which answers with these bytes. */
static int dial_far(const uint8_t *answer)
{
	struct timeval soon = { 0, 1000 };
	ssize_t len = (ssize_t)talloc_get_size(answer);
	int fd;

	ck_assert(!setsockopt(listen_fd, SOL_SOCKET, SO_RCVTIMEO, &soon,
			      sizeof(soon)));
	create(&a, 1, SILENCE_MS);
	address_call(&a, MESSAGE_PEER_DIAL, far_address);
	fd = accept_far();
	ck_assert_int_eq(write(fd, answer, (size_t)len), len);
	return fd;
}

START_TEST(test_other_cluster_is_refused)
{
	int fd = dial_far(pack_hello(2, "other"));

	close(accept_far());
	ck_assert_int_eq(a.ups, 0);
	close(fd);
}
END_TEST

START_TEST(test_far_side_without_hello_is_dialled_again)
{
	int fd = dial_far(talloc_size(ev, 0));

	close(accept_far());
	ck_assert_int_eq(a.ups, 0);
	close(fd);
}
END_TEST

/* As on a path that is cut: nothing that is sent is taken. */
START_TEST(test_far_side_that_takes_nothing_is_dialled_again)
{
	int fd = dial_far(pack_hello(2, "test"));

	run_until(&a.ups, 1);
	for (int i = 0; i < BIG_COUNT; i++)
		send_bytes(&a, 2, BIG_BYTES);
	run_until(&a.downs, 1);
	close(accept_far());
	close(fd);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("peers");
	TCase *tc = tcase_create("peers");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, test_pair_outlives_one_of_two_connections);
	tcase_add_test(tc, test_other_cluster_is_refused);
	tcase_add_test(tc, test_far_side_without_hello_is_dialled_again);
	tcase_add_test(tc, test_far_side_that_takes_nothing_is_dialled_again);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
