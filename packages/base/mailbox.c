#include "base/mailbox.h"

#include <pthread.h>
#include <stdint.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define DEFAULT_LIMIT 65536 /* messages */

STAILQ_HEAD(message_list, mailbox_message);

struct mailbox {
	pthread_mutex_t lock;
	struct message_list queue;
	size_t depth;
	size_t limit;
	int event_fd;
	mailbox_handler *handler;
	void *ctx;
};

static int destroy(struct mailbox *mailbox)
{
	struct mailbox_message *msg;

	while ((msg = STAILQ_FIRST(&mailbox->queue))) {
		STAILQ_REMOVE_HEAD(&mailbox->queue, entry);
		talloc_free(msg);
	}
	close(mailbox->event_fd);
	pthread_mutex_destroy(&mailbox->lock);
	return 0;
}

/* Moves the whole queue out under the lock, then handles it unlocked. */
static void drain(struct tevent_context *ev, struct tevent_fd *fde,
		  uint16_t flags, void *private_data)
{
	struct mailbox *mailbox = private_data;
	struct message_list batch = STAILQ_HEAD_INITIALIZER(batch);
	struct mailbox_message *msg;
	uint64_t count;

	(void)ev;
	(void)fde;
	(void)flags;
	if (read(mailbox->event_fd, &count, sizeof(count)) < 0)
		return;
	pthread_mutex_lock(&mailbox->lock);
	STAILQ_CONCAT(&batch, &mailbox->queue);
	mailbox->depth = 0;
	pthread_mutex_unlock(&mailbox->lock);
	while ((msg = STAILQ_FIRST(&batch))) {
		STAILQ_REMOVE_HEAD(&batch, entry);
		mailbox->handler(mailbox->ctx, msg);
	}
}

struct mailbox *mailbox_create(TALLOC_CTX *mem,
			       const struct mailbox_options *options)
{
	struct mailbox *mailbox = talloc_zero(mem, struct mailbox);

	mailbox->event_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (mailbox->event_fd < 0) {
		talloc_free(mailbox);
		return NULL;
	}
	pthread_mutex_init(&mailbox->lock, NULL);
	STAILQ_INIT(&mailbox->queue);
	mailbox->limit = options->limit ? options->limit : DEFAULT_LIMIT;
	mailbox->handler = options->handler;
	mailbox->ctx = options->ctx;
	talloc_set_destructor(mailbox, destroy);
	tevent_add_fd(options->ev, mailbox, mailbox->event_fd, TEVENT_FD_READ,
		      drain, mailbox);
	return mailbox;
}

static bool post(struct mailbox *mailbox, struct mailbox_message *msg,
		 bool ignore_limit)
{
	const uint64_t one = 1;
	bool first;

	pthread_mutex_lock(&mailbox->lock);
	if (!ignore_limit && mailbox->depth >= mailbox->limit) {
		pthread_mutex_unlock(&mailbox->lock);
		return false;
	}
	first = !mailbox->depth++;
	STAILQ_INSERT_TAIL(&mailbox->queue, msg, entry);
	pthread_mutex_unlock(&mailbox->lock);
	/* One wake-up serves all messages queued before the next drain. */
	if (first && write(mailbox->event_fd, &one, sizeof(one)) < 0)
		return true;
	return true;
}

bool mailbox_post(struct mailbox *mailbox, struct mailbox_message *msg)
{
	return post(mailbox, msg, false);
}

void mailbox_post_always(struct mailbox *mailbox, struct mailbox_message *msg)
{
	(void)post(mailbox, msg, true);
}

size_t mailbox_depth(struct mailbox *mailbox)
{
	size_t depth;

	pthread_mutex_lock(&mailbox->lock);
	depth = mailbox->depth;
	pthread_mutex_unlock(&mailbox->lock);
	return depth;
}
