#include "base/thread.h"

#include <pthread.h>
#include <semaphore.h>
#include <signal.h>

enum { KIND_STOP = -1 };

struct thread {
	struct thread_options options;
	pthread_t id;
	sem_t ready;
	struct mailbox *mailbox;
	void *state;
	bool failed;
	bool stopping;
};

static void on_message(void *ctx, struct mailbox_message *msg)
{
	struct thread *thread = ctx;

	if (msg->kind == KIND_STOP) {
		thread->stopping = true;
		talloc_free(msg);
		return;
	}
	thread->options.handler(thread->state, msg);
}

static bool set_up(struct thread *thread, TALLOC_CTX *mem,
		   struct tevent_context *ev)
{
	struct mailbox_options mo = {
		.ev = ev,
		.handler = on_message,
		.ctx = thread,
		.limit = thread->options.mailbox_limit,
	};

	thread->mailbox = mailbox_create(mem, &mo);
	if (!thread->mailbox)
		return false;
	thread->state = thread->options.init(mem, ev, thread->options.arg);
	return thread->state != NULL;
}

static void *run(void *arg)
{
	struct thread *thread = arg;
	TALLOC_CTX *mem = talloc_new(NULL);
	struct tevent_context *ev = tevent_context_init(mem);

	thread->failed = !set_up(thread, mem, ev);
	sem_post(&thread->ready);
	while (!thread->failed && !thread->stopping)
		if (tevent_loop_once(ev))
			break;
	talloc_free(thread->state);
	talloc_free(mem);
	return NULL;
}

/* Blocks all signals in the new thread; the control thread handles them. */
static int create_without_signals(struct thread *thread)
{
	sigset_t all, old;
	int err;

	sigfillset(&all);
	pthread_sigmask(SIG_SETMASK, &all, &old);
	err = pthread_create(&thread->id, NULL, run, thread);
	pthread_sigmask(SIG_SETMASK, &old, NULL);
	return err;
}

struct thread *thread_start(TALLOC_CTX *mem,
			    const struct thread_options *options)
{
	struct thread *thread = talloc_zero(mem, struct thread);

	thread->options = *options;
	sem_init(&thread->ready, 0, 0);
	if (create_without_signals(thread)) {
		talloc_free(thread);
		return NULL;
	}
	if (options->name)
		pthread_setname_np(thread->id, options->name);
	while (sem_wait(&thread->ready))
		;
	if (thread->failed) {
		pthread_join(thread->id, NULL);
		talloc_free(thread);
		return NULL;
	}
	return thread;
}

struct mailbox *thread_mailbox(struct thread *thread)
{
	return thread->mailbox;
}

void thread_stop(struct thread *thread)
{
	struct mailbox_message *msg = talloc_zero(NULL, struct mailbox_message);

	msg->kind = KIND_STOP;
	mailbox_post_always(thread->mailbox, msg);
	pthread_join(thread->id, NULL);
	sem_destroy(&thread->ready);
	talloc_free(thread);
}
