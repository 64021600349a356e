/*
 * Stand-in for the network between processes: relays TCP connections, and cuts,
 * freezes or delays those that match its rules. One process serves many routes:
 *
 *     standin-link --rules FILE --route LISTEN=TARGET=NAME ...
 *
 * A line of the rules file is "cut|freeze|mute|reset|delay SOURCE ROUTE MS"
 * with shell patterns for SOURCE and ROUTE; the first match applies, and only
 * delay uses MS. The source of a peer link is the instance in its Hello; for
 * any other connection it is "-". SIGHUP rereads the file and prints "ready". A
 * cut closes connections, a reset aborts them with RST; a freeze leaves them
 * open without relaying, and mute holds back only what the target sends.
 */
#include <argtable2.h>
#include <errno.h>
#include <fnmatch.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <tevent.h>
#include <unistd.h>

#include "adapters/address.h"
#include "base/clock.h"
#include "wire/frame.h"

#define CHUNK_BYTES 65536
#define MAX_ROUTES 512
#define MAX_RULES 256
#define BACKLOG 256
#define MUTE_MS 3600000 /* longer than a test; ends once no rule matches */
/* High byte of a frame's length; an HTTP request starts with a letter. */
#define FIRST_PEER_BYTE 0

enum mode { PASS, CUT, FREEZE, MUTE, RESET, DELAY };

struct rule {
	enum mode mode;
	char source[64];
	char route[64];
	unsigned ms;
};

struct chunk {
	STAILQ_ENTRY(chunk) entry;
	uint64_t due_ms;
	size_t sent;
	uint8_t *data;
};

struct conn;

struct side {
	struct conn *conn;
	struct side *other;
	int fd;
	struct tevent_fd *fde;
	struct tevent_timer *timer;
	STAILQ_HEAD(, chunk) out;
	bool at_eof;
};

struct route {
	char *name;
	struct address target;
};

struct conn {
	LIST_ENTRY(conn) entry;
	const struct route *route;
	char source[64];
	struct frame_reader *hello; /* NULL once the source is known */
	struct rule rule; /* the rule in force */
	struct side client;
	struct side server;
};

static struct tevent_context *ev;
static LIST_HEAD(, conn) conns;
static struct rule rules[MAX_RULES];
static size_t rule_count;
static const char *rules_file;

static void read_rules(void)
{
	static const char *const mode_names[] = { "pass", "cut",   "freeze",
						  "mute", "reset", "delay" };
	FILE *in = fopen(rules_file, "re");
	char word[16];
	struct rule r;

	rule_count = 0;
	while (in && rule_count < MAX_RULES &&
	       fscanf(in, "%15s %63s %63s %u", word, r.source, r.route,
		      &r.ms) == 4) {
		for (r.mode = PASS; r.mode < DELAY; r.mode++)
			if (!strcmp(mode_names[r.mode], word))
				break;
		rules[rule_count++] = r;
	}
	if (in)
		fclose(in);
}

static struct rule find_rule(const struct conn *c)
{
	struct rule pass = { .mode = PASS };

	for (size_t i = 0; i < rule_count; i++)
		if (!fnmatch(rules[i].source, c->source, 0) &&
		    !fnmatch(rules[i].route, c->route->name, 0))
			return rules[i];
	return pass;
}

static int close_conn(struct conn *c)
{
	LIST_REMOVE(c, entry);
	TALLOC_FREE(c->client.fde);
	TALLOC_FREE(c->server.fde);
	close(c->client.fd);
	if (c->server.fd >= 0)
		close(c->server.fd);
	return 0;
}

static void on_due(struct tevent_context *tev, struct tevent_timer *te,
		   struct timeval now, void *private_data);

static void wait_until(struct side *s, uint64_t due_ms)
{
	uint64_t ms = due_ms - clock_now_ms();

	if (!s->timer)
		s->timer =
			tevent_add_timer(ev, s->conn,
					 tevent_timeval_current_ofs(
						 (uint32_t)(ms / 1000),
						 (uint32_t)(ms % 1000 * 1000)),
					 on_due, s);
}

/* Writes the chunks that are due; false when the connection was closed. */
static bool flush_due(struct side *s)
{
	struct chunk *k;

	while (s->fde && (k = STAILQ_FIRST(&s->out))) {
		size_t len = talloc_get_size(k->data) - k->sent;
		ssize_t n;

		if (k->due_ms > clock_now_ms()) {
			wait_until(s, k->due_ms);
			return true;
		}
		n = send(s->fd, k->data + k->sent, len, MSG_NOSIGNAL);
		if (n < 0 && (errno == EAGAIN || errno == ENOTCONN)) {
			TEVENT_FD_WRITEABLE(s->fde);
			return true;
		}
		if (n < 0) {
			talloc_free(s->conn);
			return false;
		}
		k->sent += (size_t)n;
		if ((size_t)n == len) {
			STAILQ_REMOVE_HEAD(&s->out, entry);
			talloc_free(k);
		}
	}
	if (s->fde)
		TEVENT_FD_NOT_WRITEABLE(s->fde);
	if (s->fde && s->other->at_eof) {
		talloc_free(s->conn);
		return false;
	}
	return true;
}

static void on_due(struct tevent_context *tev, struct tevent_timer *te,
		   struct timeval now, void *private_data)
{
	struct side *s = private_data;

	(void)tev;
	(void)te;
	(void)now;
	s->timer = NULL;
	if (s->conn->rule.mode != FREEZE)
		flush_due(s);
}

static void on_ready(struct tevent_context *tev, struct tevent_fd *fde,
		     uint16_t flags, void *private_data);

static void add_fd_event(struct side *s, uint16_t flags)
{
	s->fde = tevent_add_fd(ev, s->conn, s->fd, flags, on_ready, s);
}

/* Makes all delayed chunks due. */
static void release_chunks(struct side *s)
{
	struct chunk *k;

	TALLOC_FREE(s->timer);
	STAILQ_FOREACH(k, &s->out, entry)
		k->due_ms = 0;
}

/* Makes the kernel send RST instead of FIN when the sockets are closed. */
static void reset_on_close(struct conn *c)
{
	const struct linger option = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(c->client.fd, SOL_SOCKET, SO_LINGER, &option,
		   sizeof(option));
	if (c->server.fd >= 0)
		setsockopt(c->server.fd, SOL_SOCKET, SO_LINGER, &option,
			   sizeof(option));
}

/* Called once the source is known, and at each change of the rules. */
static void apply_rule(struct conn *c)
{
	c->rule = find_rule(c);
	if (c->rule.mode == RESET)
		reset_on_close(c);
	if (c->rule.mode == CUT || c->rule.mode == RESET) {
		talloc_free(c);
		return;
	}
	if (c->rule.mode == PASS)
		release_chunks(&c->client);
	if (c->server.fd < 0) {
		c->server.fd = socket(c->route->target.storage.ss_family,
				      SOCK_STREAM | SOCK_NONBLOCK, 0);
		if (connect(c->server.fd,
			    (const struct sockaddr *)&c->route->target.storage,
			    c->route->target.len) &&
		    errno != EINPROGRESS) {
			talloc_free(c);
			return;
		}
		add_fd_event(&c->server, TEVENT_FD_READ | TEVENT_FD_WRITE);
	}
	tevent_fd_set_flags(c->client.fde,
			    c->rule.mode == FREEZE ? 0 : TEVENT_FD_READ);
	tevent_fd_set_flags(
		c->server.fde,
		c->rule.mode == FREEZE ? 0 : TEVENT_FD_READ | TEVENT_FD_WRITE);
	if (c->rule.mode != FREEZE)
		flush_due(&c->client);
}

/* Reads the source from the first frame; false while it is incomplete. */
static bool read_source(struct conn *c, const uint8_t *data, size_t len)
{
	Bergamot__Peer *peer;
	enum frame_status status;

	snprintf(c->source, sizeof(c->source), "-");
	if (data[0] == FIRST_PEER_BYTE) {
		frame_feed(c->hello, data, len);
		status = frame_next(c->hello, &peer);
		if (status == FRAME_INCOMPLETE)
			return false;
		if (status == FRAME_OK) {
			if (peer->body_case == BERGAMOT__PEER__BODY_HELLO)
				snprintf(c->source, sizeof(c->source), "%s",
					 peer->hello->instance);
			frame_free(peer);
		}
	}
	TALLOC_FREE(c->hello);
	return true;
}

static void relay(struct side *from, const uint8_t *data, size_t len)
{
	struct conn *c = from->conn;
	struct chunk *k = talloc_zero(c, struct chunk);
	bool source_read = c->hello && read_source(c, data, len);

	k->data = talloc_memdup(k, data, len);
	STAILQ_INSERT_TAIL(&from->other->out, k, entry);
	if (c->rule.mode == DELAY)
		k->due_ms = clock_now_ms() + c->rule.ms;
	else if (c->rule.mode == MUTE && from == &c->server)
		k->due_ms = clock_now_ms() + MUTE_MS;
	if (source_read)
		apply_rule(c);
	else
		flush_due(from->other);
}

static void on_ready(struct tevent_context *tev, struct tevent_fd *fde,
		     uint16_t flags, void *private_data)
{
	struct side *s = private_data;
	uint8_t data[CHUNK_BYTES];
	ssize_t n;

	(void)tev;
	(void)fde;
	if ((flags & TEVENT_FD_WRITE) && !flush_due(s))
		return;
	if (!(flags & TEVENT_FD_READ))
		return;
	n = recv(s->fd, data, sizeof(data), 0);
	if (n < 0 && errno == EAGAIN)
		return;
	if (n > 0) {
		relay(s, data, (size_t)n);
		return;
	}
	s->at_eof = true;
	if (s->conn->hello || n < 0) {
		talloc_free(s->conn);
		return;
	}
	TEVENT_FD_NOT_READABLE(s->fde);
	flush_due(s->other);
}

static void init_side(struct side *s, struct side *other, struct conn *c,
		      int fd)
{
	s->conn = c;
	s->other = other;
	s->fd = fd;
	STAILQ_INIT(&s->out);
}

static void on_accept(struct tevent_context *tev, struct tevent_fd *fde,
		      uint16_t flags, void *private_data)
{
	struct conn *c;
	int fd = accept4(*(int *)talloc_get_type_abort(private_data, int), NULL,
			 NULL, SOCK_NONBLOCK);

	(void)tev;
	(void)fde;
	(void)flags;
	if (fd < 0)
		return;
	c = talloc_zero(NULL, struct conn);
	c->route = talloc_get_type_abort(talloc_parent(private_data),
					 struct route);
	c->hello = frame_reader_create(c);
	init_side(&c->client, &c->server, c, fd);
	init_side(&c->server, &c->client, c, -1);
	LIST_INSERT_HEAD(&conns, c, entry);
	talloc_set_destructor(c, close_conn);
	add_fd_event(&c->client, TEVENT_FD_READ);
}

/* text is LISTEN=TARGET=NAME */
static bool add_route(TALLOC_CTX *mem, const char *text)
{
	struct route *r = talloc_zero(mem, struct route);
	char *copy = talloc_strdup(r, text);
	char *target = strchr(copy, '=');
	char *name = target ? strchr(target + 1, '=') : NULL;
	int *fd = talloc(r, int);
	struct address listen_at;

	if (!name)
		return false;
	*target++ = *name++ = '\0';
	r->name = name;
	if (!address_parse(&listen_at, copy) ||
	    !address_parse(&r->target, target))
		return false;
	*fd = address_listen(&listen_at, BACKLOG);
	return *fd >= 0 &&
	       tevent_add_fd(ev, r, *fd, TEVENT_FD_READ, on_accept, fd);
}

static void on_hup(struct tevent_context *tev, struct tevent_signal *se,
		   int signum, int count, void *siginfo, void *private_data)
{
	struct conn *c, *next;

	(void)tev;
	(void)se;
	(void)signum;
	(void)count;
	(void)siginfo;
	(void)private_data;
	read_rules();
	for (c = LIST_FIRST(&conns); c; c = next) {
		next = LIST_NEXT(c, entry);
		if (!c->hello)
			apply_rule(c);
	}
	printf("ready\n");
	fflush(stdout);
}

int main(int argc, char **argv)
{
	struct arg_file *file =
		arg_file1(NULL, "rules", "FILE", "file of rules");
	struct arg_str *routes = arg_strn(NULL, "route", "LISTEN=TARGET=NAME",
					  1, MAX_ROUTES, "route to relay");
	struct arg_end *end = arg_end(10);
	void *table[] = { file, routes, end };

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	rules_file = file->filename[0];
	ev = tevent_context_init(NULL);
	for (int i = 0; i < routes->count; i++)
		if (!add_route(ev, routes->sval[i])) {
			fprintf(stderr, "standin-link: bad route %s\n",
				routes->sval[i]);
			return 1;
		}
	tevent_add_signal(ev, ev, SIGHUP, 0, on_hup, NULL);
	read_rules();
	printf("ready\n");
	fflush(stdout);
	return tevent_loop_wait(ev);
}
