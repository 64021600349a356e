/* Outcomes as sent to callers, and as accepted from peers. */
#include <string.h>

#include "base/tests/run_suite.h"
#include "core/outcome.h"

START_TEST(test_body)
{
	struct outcome o = { .kind = OUTCOME_COMPLETE,
			     .started = 2,
			     .results = "[1,2]" };
	struct outcome unknown = { .kind = OUTCOME_UNKNOWN,
				   .reason = OUTCOME_OWNER_GONE_REASON,
				   .not_forwarded = true };
	char *text = outcome_body(NULL, &o, "j");

	ck_assert_str_eq(text, "{\"job\":\"j\",\"outcome\":\"complete\","
			       "\"reason\":\"\",\"started\":2,"
			       "\"results\":[1,2]}\n");
	ck_assert_int_eq(outcome_http_status(&o), 200);
	talloc_free(text);
	text = outcome_body(NULL, &unknown, "j");
	ck_assert_ptr_nonnull(strstr(text, "\"outcome\":\"unknown\""));
	ck_assert_ptr_nonnull(strstr(text, "\"this_attempt\""));
	ck_assert_int_eq(outcome_http_status(&unknown), 504);
	talloc_free(text);
}
END_TEST

static struct outcome convert_and_back(TALLOC_CTX *mem, const struct outcome *o)
{
	Bergamot__Outcome msg = BERGAMOT__OUTCOME__INIT;

	outcome_to_wire(o, &msg);
	return outcome_from_wire(mem, &msg);
}

START_TEST(test_wire)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct outcome o = { .kind = OUTCOME_COMPLETE,
			     .started = 2,
			     .results = "[1,2]" };
	struct outcome back = convert_and_back(mem, &o);

	ck_assert_int_eq(back.kind, OUTCOME_COMPLETE);
	ck_assert_str_eq(back.results, "[1,2]");
	o.results = NULL;
	ck_assert_int_eq(convert_and_back(mem, &o).kind, OUTCOME_UNKNOWN);
	o.reason = OUTCOME_ANSWER_DROPPED_REASON;
	ck_assert_int_eq(convert_and_back(mem, &o).kind, OUTCOME_COMPLETE);
	o.kind = OUTCOME_UNKNOWN;
	o.not_forwarded = true;
	ck_assert(convert_and_back(mem, &o).not_forwarded);
	talloc_free(mem);
}
END_TEST

/* Kinds and reasons of a later version are read as unknown. */
START_TEST(test_unknown_numbers)
{
	Bergamot__Outcome msg = BERGAMOT__OUTCOME__INIT;

	msg.kind = OUTCOME_KIND_COUNT;
	ck_assert_int_eq(outcome_from_wire(NULL, &msg).kind, OUTCOME_UNKNOWN);
	msg.kind = OUTCOME_NOT_RUN;
	msg.reason = OUTCOME_REASON_COUNT;
	ck_assert_int_eq(outcome_from_wire(NULL, &msg).kind, OUTCOME_UNKNOWN);
	ck_assert_int_eq(outcome_from_wire(NULL, NULL).kind, OUTCOME_UNKNOWN);
}
END_TEST

int main(void)
{
	return RUN_CASE("outcome", NULL, NULL, test_body, test_wire,
			test_unknown_numbers);
}
