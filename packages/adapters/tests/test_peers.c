/*
 * Links between two instances in one loop, and links of one instance to a
 * remote side that the test plays.
 */
#include <netinet/in.h>
#include <stdlib.h>
#include <unistd.h>

#include "adapters/messages.h"
#include "adapters/peers.h"
#include "base/tests/run_suite.h"
#include "wire/frame.h"

#define TIMEOUT_MS 200
#define MESSAGE_BYTES (1u << 20)
#define MESSAGE_COUNT 16 /* more than the kernel's buffers hold */

/* One instance, and the messages that its control mailbox received. */
struct end {
	struct mailbox *control;
	void *peers;
	char address[32];
	int ups, downs, messages;
};

static struct tevent_context *ev;
static struct end a, b;
static int listen_fd;
static char remote_address[32];

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

/* Opens a listening socket on a free port; writes its address to text. */
static int listen_on_free_port(char *text, size_t size)
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

static void create_instance(struct end *end, uint64_t incarnation,
			    uint32_t silence_ms)
{
	struct mailbox_options mailbox = { .ev = ev,
					   .handler = on_message,
					   .ctx = end };
	struct peers_options options = { .listen = end->address,
					 .cluster = "test",
					 .silence_ms = silence_ms };

	close(listen_on_free_port(end->address, sizeof(end->address)));
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
	listen_fd = listen_on_free_port(remote_address, sizeof(remote_address));
}

static void teardown(void)
{
	talloc_free(ev);
	close(listen_fd);
}

static void handle_address_message(struct end *end, enum message_kind kind,
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

/* Messages go through either of a pair's two connections. */
START_TEST(test_pair_outlives_one_of_two_connections)
{
	create_instance(&a, 1, 0);
	create_instance(&b, 2, 0);
	handle_address_message(&a, MESSAGE_PEER_DIAL, b.address);
	run_until(&b.ups, 1);
	run_until(&a.ups, 1);
	handle_address_message(&b, MESSAGE_PEER_DIAL, a.address);
	send_bytes(&a, 2, 1);
	run_until(&b.messages, 1);
	ck_assert_int_eq(a.ups + b.ups, 2);
	do /* until the connection that b dialled is open, too */
		send_bytes(&b, 1, 1);
	while (tevent_loop_once(ev), a.messages < 20);
	handle_address_message(&a, MESSAGE_PEER_HANG_UP, b.address);
	run_until(&b.ups, 2);
	run_until(&a.ups, 2);
	ck_assert_int_eq(a.downs + b.downs, 2);
	send_bytes(&a, 2, 1);
	run_until(&b.messages, 2);
	handle_address_message(&b, MESSAGE_PEER_HANG_UP, a.address);
	run_until(&a.downs, 2);
	ck_assert_int_eq(a.ups + b.ups, 4);
}
END_TEST

/* Accepts the next connection of instance a to the remote side. */
static int accept_remote(void)
{
	int fd;

	while ((fd = accept4(listen_fd, NULL, NULL, SOCK_NONBLOCK)) < 0)
		tevent_loop_once(ev);
	return fd;
}

/* Lets instance a dial the remote side, which then sends these bytes. */
static int dial_remote(const uint8_t *answer)
{
	struct timeval soon = { 0, 1000 };
	ssize_t len = (ssize_t)talloc_get_size(answer);
	int fd;

	ck_assert(!setsockopt(listen_fd, SOL_SOCKET, SO_RCVTIMEO, &soon,
			      sizeof(soon)));
	create_instance(&a, 1, TIMEOUT_MS);
	handle_address_message(&a, MESSAGE_PEER_DIAL, remote_address);
	fd = accept_remote();
	ck_assert_int_eq(write(fd, answer, (size_t)len), len);
	return fd;
}

START_TEST(test_other_cluster_is_refused)
{
	int fd = dial_remote(pack_hello(2, "other"));

	close(accept_remote());
	ck_assert_int_eq(a.ups, 0);
	close(fd);
}
END_TEST

START_TEST(test_peer_without_hello_is_dialled_again)
{
	int fd = dial_remote(talloc_size(ev, 0));

	close(accept_remote());
	ck_assert_int_eq(a.ups, 0);
	close(fd);
}
END_TEST

/* As on a path that is cut, the remote side never reads. */
START_TEST(test_peer_that_reads_nothing_is_dialled_again)
{
	int fd = dial_remote(pack_hello(2, "test"));

	run_until(&a.ups, 1);
	for (int i = 0; i < MESSAGE_COUNT; i++)
		send_bytes(&a, 2, MESSAGE_BYTES);
	run_until(&a.downs, 1);
	close(accept_remote());
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
	tcase_add_test(tc, test_peer_without_hello_is_dialled_again);
	tcase_add_test(tc, test_peer_that_reads_nothing_is_dialled_again);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
