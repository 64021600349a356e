#include "base/loop_lag.h"

#include <fcntl.h>
#include <unistd.h>

#include "base/clock.h"

struct loop_lag {
	struct loop_lag_options options;
	int read_fd;
	int write_fd;
	uint64_t sent_ms; /* 0: no byte is in the pipe */
};

static void on_readable(struct tevent_context *ev, struct tevent_fd *fde,
			uint16_t flags, void *private_data)
{
	struct loop_lag *loop_lag = private_data;
	uint64_t now_ms = clock_now_ms();
	uint64_t sent_ms = loop_lag->sent_ms;
	char byte;

	(void)ev;
	(void)fde;
	(void)flags;
	if (read(loop_lag->read_fd, &byte, 1) != 1 || !sent_ms)
		return;
	loop_lag->sent_ms = 0;
	loop_lag->options.on_measured(loop_lag->options.ctx, now_ms - sent_ms);
}

/* At most one byte is in the pipe; the lag is at least its age. */
static void on_tick(void *ctx, uint64_t now_ms)
{
	struct loop_lag *loop_lag = ctx;

	if (loop_lag->sent_ms)
		loop_lag->options.on_measured(loop_lag->options.ctx,
					      now_ms - loop_lag->sent_ms);
	else if (loop_lag->options.is_enabled(loop_lag->options.ctx) &&
		 write(loop_lag->write_fd, "", 1) == 1)
		loop_lag->sent_ms = now_ms;
}

static int destroy(struct loop_lag *loop_lag)
{
	close(loop_lag->read_fd);
	close(loop_lag->write_fd);
	return 0;
}

struct loop_lag *loop_lag_create(TALLOC_CTX *mem,
				 const struct loop_lag_options *options)
{
	struct loop_lag *loop_lag = talloc_zero(mem, struct loop_lag);
	int fds[2];

	if (pipe2(fds, O_CLOEXEC | O_NONBLOCK)) {
		talloc_free(loop_lag);
		return NULL;
	}
	loop_lag->options = *options;
	loop_lag->read_fd = fds[0];
	loop_lag->write_fd = fds[1];
	talloc_set_destructor(loop_lag, destroy);
	tevent_add_fd(options->ev, loop_lag, loop_lag->read_fd, TEVENT_FD_READ,
		      on_readable, loop_lag);
	loop_timer_subscribe(options->timers, options->period_ms, on_tick,
			     loop_lag);
	return loop_lag;
}
