/*
 * The old dispatcher reports to the new one the tasks that it still runs on its
 * workers, so that the new one does not exceed their slots.
 */
#include <stdlib.h>

#include "base/tests/run_suite.h"
#include "core/tests/fake_nodes.h"

static void add_foreign(void *ctx, const char *service,
			const struct placement_worker *w)
{
	(void)service;
	*(uint32_t *)ctx += w->foreign_tasks;
}

static uint32_t count_foreign_at(struct fake_nodes *f, int node)
{
	uint32_t foreign = 0;

	dispatch_each_worker(fakes_node(f, node)->dispatch, add_foreign,
			     &foreign);
	return foreign;
}

/*
 * Tries incarnations until the dispatcher role moves from node 0, which has a
 * job running, to node 1.
 */
static struct fake_nodes *create_with_moved_role(void)
{
	for (int tries = 0; tries < 64; tries++) {
		struct fake_nodes *f = fakes_create();

		for (int i = 0; i < tries; i++) {
			fakes_boot(f, 2);
			fakes_kill(f, 2);
		}
		fakes_boot(f, 0);
		fakes_offer_config(f, 0, 1, 2);
		fakes_submit(f, 0, -1, 1);
		fakes_boot(f, 1);
		fakes_offer_config(f, 1, 1, 2);
		fakes_link(f, 0, 1);
		fakes_deliver_all(f);
		if (node_is_dispatcher(fakes_node(f, 1)))
			return f;
		fakes_finish(f);
		fakes_free(f);
	}
	ck_abort_msg("the role never moved");
	return NULL;
}

START_TEST(test_use_is_reported_until_it_ends)
{
	struct fake_nodes *f = create_with_moved_role();
	int request;

	ck_assert_uint_eq(fakes_count_starts(f), 2);
	fakes_advance(f, 10);
	fakes_deliver_all(f);
	ck_assert_uint_eq(count_foreign_at(f, 1), 2);
	request = fakes_submit(f, 1, -1, 0);
	ck_assert_uint_eq(fakes_count_starts(f), 2); /* no slot is free */
	fakes_resolve(f, 0, FAKES_DONE);
	fakes_advance(f, 10);
	fakes_deliver_all(f);
	ck_assert_uint_eq(count_foreign_at(f, 1), 1);
	/* one of each dispatcher */
	ck_assert_uint_eq(fakes_count_starts(f), 2);
	fakes_resolve(f, 0, FAKES_DONE);
	fakes_resolve(f, 0, FAKES_DONE);
	ck_assert_int_eq(fakes_answer(f, request, NULL, NULL),
			 OUTCOME_COMPLETE);
	fakes_finish(f);
	fakes_free(f);
}
END_TEST

int main(void)
{
	return RUN_CASE("role_state", NULL, NULL,
			test_use_is_reported_until_it_ends);
}
