#include "base/loop_lag.h"

#include <fcntl.h>
#include <unistd.h>

#include "base/clock.h"

struct llg {
	struct llg_options options;
	int read_fd;
	int write_fd;
	uint64_t sent_ms; /* 0: no byte is on its way */
};

static void on_readable(struct tevent_context *ev, struct tevent_fd *fde,
			uint16_t flags, void *private_data)
{
	struct llg *llg = private_data;
	uint64_t now_ms = clk_now_ms();
	uint64_t sent_ms = llg->sent_ms;
	char byte;

	(void)ev;
	(void)fde;
	(void)flags;
	if (read(llg->read_fd, &byte, 1) != 1 || !sent_ms)
		return;
	llg->sent_ms = 0;
	llg->options.measured(llg->options.ctx, now_ms - sent_ms);
}

/* One byte at a time: while it waits, the lag is at least its age. */
static void on_tick(void *ctx, uint64_t now_ms)
{
	struct llg *llg = ctx;

	if (llg->sent_ms)
		llg->options.measured(llg->options.ctx, now_ms - llg->sent_ms);
	else if (llg->options.wanted(llg->options.ctx) &&
		 write(llg->write_fd, "", 1) == 1)
		llg->sent_ms = now_ms;
}

static int destroy(struct llg *llg)
{
	close(llg->read_fd);
	close(llg->write_fd);
	return 0;
}

struct llg *llg_create(TALLOC_CTX *mem, const struct llg_options *options)
{
	struct llg *llg = talloc_zero(mem, struct llg);
	int fds[2];

	if (pipe2(fds, O_CLOEXEC | O_NONBLOCK)) {
		talloc_free(llg);
		return NULL;
	}
	llg->options = *options;
	llg->read_fd = fds[0];
	llg->write_fd = fds[1];
	talloc_set_destructor(llg, destroy);
	tevent_add_fd(options->ev, llg, llg->read_fd, TEVENT_FD_READ,
		      on_readable, llg);
	tmr_subscribe(options->timers, options->every_ms, on_tick, llg);
	return llg;
}
