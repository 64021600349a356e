/* Threads and mailboxes: order, limits, and messages from many threads. */
#include <pthread.h>

#include "base/tests/run_suite.h"
#include "base/thread.h"

#define POSTERS 4
#define EACH 5000 /* messages per poster */

struct number {
	struct mailbox_message head;
	int poster;
	int value;
};

struct receiver {
	struct mailbox *report; /* to the test's own loop */
	int next[POSTERS];
	int wrong;
	int left;
};

static int reported_wrong = -1;

static void *init(TALLOC_CTX *mem, struct tevent_context *ev, void *arg)
{
	struct receiver *r = talloc_zero(mem, struct receiver);

	(void)ev;
	r->report = arg;
	r->left = POSTERS * EACH;
	return r;
}

static void *init_fails(TALLOC_CTX *mem, struct tevent_context *ev, void *arg)
{
	(void)mem;
	(void)ev;
	(void)arg;
	return NULL;
}

static struct number *new_number(int poster, int value)
{
	struct number *n = talloc_zero(NULL, struct number);

	n->poster = poster;
	n->value = value;
	return n;
}

static void receive(void *ctx, struct mailbox_message *msg)
{
	struct receiver *r = ctx;
	struct number *n = (struct number *)msg;

	r->wrong += n->value != r->next[n->poster]++;
	talloc_free(msg);
	if (!--r->left)
		mailbox_post_always(r->report, &new_number(0, r->wrong)->head);
}

static void on_report(void *ctx, struct mailbox_message *msg)
{
	(void)ctx;
	reported_wrong = ((struct number *)msg)->value;
	talloc_free(msg);
}

struct poster {
	struct mailbox *to;
	int number;
};

static void *post_all(void *arg)
{
	struct poster *p = arg;

	for (int i = 0; i < EACH; i++) {
		struct number *n = new_number(p->number, i);

		while (!mailbox_post(p->to, &n->head))
			; /* full: the caller still owns n */
	}
	return NULL;
}

START_TEST(test_many_posters)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct mailbox_options mailbox = {
		.ev = tevent_context_init(mem),
		.handler = on_report,
	};
	struct thread_options options = {
		.name = "receiver",
		.init = init,
		.arg = mailbox_create(mem, &mailbox),
		.handler = receive,
		.mailbox_limit = 100,
	};
	struct thread *thread = thread_start(mem, &options);
	struct poster posters[POSTERS];
	pthread_t ids[POSTERS];

	for (int i = 0; i < POSTERS; i++) {
		posters[i] = (struct poster){ thread_mailbox(thread), i };
		pthread_create(&ids[i], NULL, post_all, &posters[i]);
	}
	while (reported_wrong < 0)
		tevent_loop_once(mailbox.ev);
	ck_assert_int_eq(reported_wrong, 0);
	for (int i = 0; i < POSTERS; i++)
		pthread_join(ids[i], NULL);
	thread_stop(thread);
	talloc_free(mem);
}
END_TEST

START_TEST(test_failed_init)
{
	struct thread_options options = { .init = init_fails };

	ck_assert_ptr_null(thread_start(NULL, &options));
}
END_TEST

/* At the limit mailbox_post fails and mailbox_post_always succeeds. */
START_TEST(test_mailbox_limit)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct mailbox_options options = {
		.ev = tevent_context_init(mem),
		.handler = on_report,
		.limit = 1,
	};
	struct mailbox *mailbox = mailbox_create(mem, &options);
	struct number *second = new_number(0, 2);

	ck_assert(mailbox_post(mailbox, &new_number(0, 1)->head));
	ck_assert(!mailbox_post(mailbox, &second->head));
	mailbox_post_always(mailbox, &second->head);
	ck_assert_uint_eq(mailbox_depth(mailbox), 2);
	tevent_loop_once(options.ev);
	ck_assert_uint_eq(mailbox_depth(mailbox), 0);
	ck_assert_int_eq(reported_wrong, 2);
	ck_assert(mailbox_post(
		mailbox, &new_number(0, 3)->head)); /* freed with the mailbox */
	talloc_free(mem);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("thread");
	TCase *tc = tcase_create("thread");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, test_many_posters);
	tcase_add_test(tc, test_failed_init);
	tcase_add_test(tc, test_mailbox_limit);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
