#include "adapters/peers.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/queue.h>
#include <unistd.h>

#include "adapters/address.h"
#include "adapters/messages.h"
#include "base/counter.h"
#include "base/hash_table.h"
#include "base/log.h"
#include "wire/frame.h"

#define LISTEN_BACKLOG 256
#define READ_BYTES 65536
#define MIN_RETRY_MS 50
#define MAX_RETRY_MS 1000
#define DEFAULT_QUEUE_BYTES (64u << 20)
#define MAX_LINKS 4096
#define DEFAULT_SILENCE_MS 5000

/*
 * One TCP connection. A dialled link (address set) outlives its connection and
 * dials again; an accepted one is freed with its connection. The peer's Hello
 * identifies the peer, after which either side may send.
 */
struct link {
	LIST_ENTRY(link) entry;
	struct peers *peers;
	char *address; /* NULL for an accepted link */
	int fd; /* -1 while not connected */
	bool connecting;
	struct tevent_fd *fde;
	struct tevent_timer *retry;
	struct tevent_timer *hello_timer; /* limit for the peer's Hello */
	uint32_t retry_ms;
	uint64_t incarnation; /* of the peer; 0 before its Hello */
	uint64_t hello_order; /* order in which Hellos arrived */
	uint8_t *hello; /* the peer's, as a frame */
	struct frame_reader *reader;
	uint8_t *out; /* unsent bytes: from out_start to out_len */
	size_t out_start;
	size_t out_len;
};

/* A peer that has sent its Hello over one or more links. */
struct peer {
	UT_hash_handle hh;
	uint64_t incarnation;
	/*
	 * The link to send on: the one whose Hello came first, so that messages
	 * stay in order while a second one opens.
	 */
	struct link *first;
};

struct peers {
	struct peers_options options;
	struct tevent_context *ev;
	LIST_HEAD(, link) links;
	struct peer *by_incarnation;
	unsigned link_count;
	uint64_t hello_count;
	int listen_fd;
};

static void connect_link(struct link *link);

/* Messages to the control thread */

static void post_down(struct peers *peers, uint64_t incarnation)
{
	struct message_peer_down *msg =
		message_create(struct message_peer_down, MESSAGE_PEER_DOWN);

	msg->incarnation = incarnation;
	mailbox_post_always(peers->options.control, &msg->head);
}

/* Destructors: protobuf-c's memory is freed with the message that holds it. */
static int free_hello(struct message_peer_up *msg)
{
	frame_free(msg->peer);
	return 0;
}

static int free_message(struct message_peer_message *msg)
{
	frame_free(msg->peer);
	return 0;
}

static void post_up(const struct link *link)
{
	struct message_peer_up *msg =
		message_create(struct message_peer_up, MESSAGE_PEER_UP);

	msg->peer = bergamot__peer__unpack(
		NULL, talloc_get_size(link->hello) - FRAME_HEADER_BYTES,
		link->hello + FRAME_HEADER_BYTES);
	talloc_set_destructor(msg, free_hello);
	mailbox_post_always(link->peers->options.control, &msg->head);
}

static void post_message(struct peers *peers, uint64_t incarnation,
			 Bergamot__Peer *peer)
{
	struct message_peer_message *msg = message_create(
		struct message_peer_message, MESSAGE_PEER_MESSAGE);

	msg->incarnation = incarnation;
	msg->peer = peer;
	talloc_set_destructor(msg, free_message);
	mailbox_post_always(peers->options.control, &msg->head);
}

static struct peer *find_peer(struct peers *peers, uint64_t incarnation)
{
	struct peer *peer;

	HASH_FIND(hh, peers->by_incarnation, &incarnation, sizeof(incarnation),
		  peer);
	return peer;
}

static struct link *find_first_link(struct peers *peers, uint64_t incarnation)
{
	struct link *first = NULL;
	struct link *link;

	LIST_FOREACH(link, &peers->links, entry)
		if (link->incarnation == incarnation &&
		    (!first || link->hello_order < first->hello_order))
			first = link;
	return first;
}

static void add_peer(struct link *link)
{
	struct peer *peer = talloc_zero(link->peers, struct peer);

	peer->incarnation = link->incarnation;
	peer->first = link;
	HASH_ADD(hh, link->peers->by_incarnation, incarnation,
		 sizeof(peer->incarnation), peer);
}

/* Returns the link that replaces a closed one; NULL if none is left. */
static struct link *replace_first_link(struct peers *peers,
				       uint64_t incarnation)
{
	struct peer *peer = find_peer(peers, incarnation);

	peer->first = find_first_link(peers, incarnation);
	if (peer->first)
		return peer->first;
	HASH_DEL(peers->by_incarnation, peer);
	talloc_free(peer);
	return NULL;
}

/* Closing */

/*
 * Messages in transit on the closed link may be lost, so the peer is reported
 * as down even if it has another link; it is then reported as up again at once.
 */
static void report_link_lost(struct peers *peers, uint64_t incarnation)
{
	struct link *other = replace_first_link(peers, incarnation);

	post_down(peers, incarnation);
	if (other)
		post_up(other);
}

static void on_retry(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *private_data)
{
	struct link *link = private_data;

	(void)ev;
	(void)te;
	(void)now;
	link->retry = NULL;
	connect_link(link);
}

static void schedule_retry(struct link *link)
{
	struct timeval at;

	link->retry_ms = link->retry_ms ? link->retry_ms * 2 : MIN_RETRY_MS;
	if (link->retry_ms > MAX_RETRY_MS)
		link->retry_ms = MAX_RETRY_MS;
	at = tevent_timeval_current_ofs(link->retry_ms / 1000,
					link->retry_ms % 1000 * 1000);
	link->retry =
		tevent_add_timer(link->peers->ev, link, at, on_retry, link);
}

static void close_link(struct link *link)
{
	uint64_t incarnation = link->incarnation;

	TALLOC_FREE(link->fde);
	TALLOC_FREE(link->hello_timer);
	TALLOC_FREE(link->reader);
	TALLOC_FREE(link->out);
	TALLOC_FREE(link->hello);
	if (link->fd >= 0)
		close(link->fd);
	link->fd = -1;
	link->connecting = false;
	link->out_start = link->out_len = 0;
	link->incarnation = 0;
	if (incarnation)
		report_link_lost(link->peers, incarnation);
	if (link->address) {
		schedule_retry(link);
		return;
	}
	LIST_REMOVE(link, entry);
	link->peers->link_count--;
	talloc_free(link);
}

/* Sending */

/* Sends queued bytes; returns false when the link was closed. */
static bool send_queue(struct link *link)
{
	while (link->out_start < link->out_len) {
		ssize_t n = send(link->fd, link->out + link->out_start,
				 link->out_len - link->out_start, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN) {
			tevent_fd_set_flags(link->fde,
					    TEVENT_FD_READ | TEVENT_FD_WRITE);
			return true;
		}
		if (n < 0) {
			close_link(link);
			return false;
		}
		link->out_start += (size_t)n;
	}
	link->out_start = link->out_len = 0;
	tevent_fd_set_flags(link->fde, TEVENT_FD_READ);
	return true;
}

static void append_to_queue(struct link *link, const uint8_t *data, size_t len)
{
	if (link->out_start) {
		memmove(link->out, link->out + link->out_start,
			link->out_len - link->out_start);
		link->out_len -= link->out_start;
		link->out_start = 0;
	}
	if (link->out_len + len > talloc_get_size(link->out))
		link->out =
			talloc_realloc(link, link->out, uint8_t,
				       (unsigned)((link->out_len + len) * 2));
	memcpy(link->out + link->out_len, data, len);
	link->out_len += len;
	counter_add(COUNTER_PEER_BYTES_SENT, len);
}

static void send_frame(struct link *link, const uint8_t *data, size_t len)
{
	size_t limit = link->peers->options.queue_bytes;

	if (link->out_len - link->out_start + len >
	    (limit ? limit : DEFAULT_QUEUE_BYTES)) {
		log_warning(LOG_PEER, "send queue of a peer link is full; "
				      "closing the link");
		close_link(link);
		return;
	}
	append_to_queue(link, data, len);
	if (!link->connecting)
		send_queue(link);
}

/* Receiving */

static bool receive_hello(struct link *link, Bergamot__Peer *peer)
{
	const Bergamot__Hello *hello = peer->hello;

	if (peer->body_case != BERGAMOT__PEER__BODY_HELLO ||
	    !hello->incarnation ||
	    strcmp(hello->cluster, link->peers->options.cluster)) {
		frame_free(peer);
		return false;
	}
	link->incarnation = hello->incarnation;
	link->hello_order = ++link->peers->hello_count;
	link->hello = frame_pack(link, peer);
	link->retry_ms = 0;
	TALLOC_FREE(link->hello_timer);
	if (!find_peer(link->peers, link->incarnation)) {
		add_peer(link);
		post_up(link);
	}
	frame_free(peer);
	return true;
}

/* Handles all complete frames; returns false when the link was closed. */
static bool receive_messages(struct link *link)
{
	Bergamot__Peer *peer;
	enum frame_status status;

	while ((status = frame_next(link->reader, &peer)) == FRAME_OK) {
		if (link->incarnation) {
			post_message(link->peers, link->incarnation, peer);
			continue;
		}
		if (receive_hello(link, peer))
			continue;
		status = FRAME_MALFORMED;
		break;
	}
	if (status == FRAME_INCOMPLETE)
		return true;
	counter_add(COUNTER_PEER_BAD_FRAMES, 1);
	log_warning(LOG_PEER, "bad data on a peer link: %s; link closed",
		    frame_status_text(status));
	close_link(link);
	return false;
}

static void read_link(struct link *link)
{
	uint8_t data[READ_BYTES];
	ssize_t n = recv(link->fd, data, sizeof(data), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		close_link(link);
		return;
	}
	frame_feed(link->reader, data, (size_t)n);
	receive_messages(link);
}

/* Opening */

static bool finish_connect(struct link *link)
{
	int err = 0;
	socklen_t len = sizeof(err);

	getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &err, &len);
	if (err) {
		close_link(link);
		return false;
	}
	link->connecting = false;
	return true;
}

static void on_link_ready(struct tevent_context *ev, struct tevent_fd *fde,
			  uint16_t flags, void *private_data)
{
	struct link *link = private_data;

	(void)ev;
	(void)fde;
	if (link->connecting && !finish_connect(link))
		return;
	if ((flags & TEVENT_FD_WRITE) && !send_queue(link))
		return;
	if (flags & TEVENT_FD_READ)
		read_link(link);
}

static struct timeval silence_timeout(const struct peers *peers)
{
	uint32_t ms = peers->options.silence_ms;

	return tevent_timeval_current_ofs(ms / 1000, ms % 1000 * 1000);
}

/*
 * Connections that send no Hello must not use up MAX_LINKS, and a dialled one
 * must be retried.
 */
static void on_hello_timeout(struct tevent_context *ev, struct tevent_timer *te,
			     struct timeval now, void *private_data)
{
	struct link *link = private_data;

	(void)ev;
	(void)te;
	(void)now;
	link->hello_timer = NULL;
	close_link(link);
}

/*
 * Starts using a connected or connecting socket. Without TCP_USER_TIMEOUT the
 * kernel would retransmit for minutes on a path that is cut, at growing
 * intervals, so that delivery would resume as late after the path is restored.
 * Opening a new connection is faster.
 */
static void attach(struct link *link, int fd)
{
	const int on = 1;
	const unsigned silence_ms = link->peers->options.silence_ms;

	link->fd = fd;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence_ms,
		   sizeof(silence_ms));
	link->hello_timer = tevent_add_timer(link->peers->ev, link,
					     silence_timeout(link->peers),
					     on_hello_timeout, link);
	link->reader = frame_reader_create(link);
	link->fde = tevent_add_fd(link->peers->ev, link, fd,
				  TEVENT_FD_READ | TEVENT_FD_WRITE,
				  on_link_ready, link);
	append_to_queue(link, link->peers->options.hello,
			link->peers->options.hello_len);
}

static void connect_link(struct link *link)
{
	struct address address;
	int fd;

	if (!address_parse(&address, link->address))
		return;
	fd = socket(address.storage.ss_family,
		    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd >= 0 &&
	    connect(fd, (const struct sockaddr *)&address.storage,
		    address.len) &&
	    errno != EINPROGRESS) {
		close(fd);
		fd = -1;
	}
	if (fd < 0) {
		schedule_retry(link);
		return;
	}
	link->connecting = true;
	attach(link, fd);
}

static struct link *add_link(struct peers *peers, const char *address)
{
	struct link *link = talloc_zero(peers, struct link);

	link->peers = peers;
	link->fd = -1;
	if (address)
		link->address = talloc_strdup(link, address);
	LIST_INSERT_HEAD(&peers->links, link, entry);
	peers->link_count++;
	return link;
}

static void on_accept(struct tevent_context *ev, struct tevent_fd *fde,
		      uint16_t flags, void *private_data)
{
	struct peers *peers = private_data;
	int fd = accept4(peers->listen_fd, NULL, NULL,
			 SOCK_NONBLOCK | SOCK_CLOEXEC);

	(void)ev;
	(void)fde;
	(void)flags;
	if (fd < 0)
		return;
	if (peers->link_count >= MAX_LINKS) {
		close(fd);
		return;
	}
	attach(add_link(peers, NULL), fd);
}

/* Requests from the control thread */

static struct link *find_address(struct peers *peers, const char *address)
{
	struct link *link;

	LIST_FOREACH(link, &peers->links, entry)
		if (link->address && !strcmp(link->address, address))
			return link;
	return NULL;
}

static void dial(struct peers *peers, const char *address)
{
	if (!find_address(peers, address))
		connect_link(add_link(peers, address));
}

static void hang_up(struct peers *peers, const char *address)
{
	struct link *link = find_address(peers, address);

	if (!link)
		return;
	TALLOC_FREE(link->retry);
	TALLOC_FREE(link->address); /* so that close_link frees the link */
	close_link(link);
}

static void send_to(struct peers *peers, uint64_t incarnation,
		    const uint8_t *frame)
{
	const struct peer *peer = find_peer(peers, incarnation);

	if (peer)
		send_frame(peer->first, frame, talloc_get_size(frame));
}

static int destroy(struct peers *peers)
{
	struct link *link;

	HASH_CLEAR(hh, peers->by_incarnation);
	LIST_FOREACH(link, &peers->links, entry)
		if (link->fd >= 0) {
			TALLOC_FREE(link->fde);
			close(link->fd);
		}
	close(peers->listen_fd);
	return 0;
}

void *peers_init(TALLOC_CTX *mem, struct tevent_context *ev, void *arg)
{
	struct peers *peers = talloc_zero(mem, struct peers);
	struct address address;

	peers->options = *(const struct peers_options *)arg;
	if (!peers->options.silence_ms)
		peers->options.silence_ms = DEFAULT_SILENCE_MS;
	peers->ev = ev;
	LIST_INIT(&peers->links);
	peers->listen_fd = -1;
	if (address_parse(&address, peers->options.listen))
		peers->listen_fd = address_listen(&address, LISTEN_BACKLOG);
	if (peers->listen_fd < 0) {
		talloc_free(peers);
		return NULL;
	}
	talloc_set_destructor(peers, destroy);
	tevent_add_fd(ev, peers, peers->listen_fd, TEVENT_FD_READ, on_accept,
		      peers);
	return peers;
}

void peers_handle(void *state, struct mailbox_message *msg)
{
	struct peers *peers = state;

	switch (msg->kind) {
	case MESSAGE_PEER_SEND:
		send_to(peers, ((struct message_peer_send *)msg)->incarnation,
			((struct message_peer_send *)msg)->frame);
		break;
	case MESSAGE_PEER_DIAL:
		dial(peers, ((struct message_peer_address *)msg)->address);
		break;
	case MESSAGE_PEER_HANG_UP:
		hang_up(peers, ((struct message_peer_address *)msg)->address);
		break;
	}
	talloc_free(msg);
}
