/* Parsing of documents, the version in force, and plans. */
#include <string.h>

#include "base/tests/run_suite.h"
#include "core/config.h"
#include "core/plan.h"

#define DOCUMENT DOCUMENT_AT("127.0.0.1:1")
#define DOCUMENT_AT(address)                                                   \
	"{\"version\":3,\"plans\":[\"p0\"],"                                   \
	"\"services\":[{\"name\":\"quote\"}],"                                 \
	"\"workers\":[{\"name\":\"w1\",\"address\":\"" address "\","           \
	"\"data_centre\":\"a\",\"service\":\"quote\",\"slots\":8},"            \
	"{\"name\":\"w2\",\"address\":\"127.0.0.1:2\",\"data_centre\":\"b\","  \
	"\"service\":\"quote\",\"slots\":4}],"                                 \
	"\"teams\":[{\"name\":\"north\",\"tasks_per_s\":10}]}"

static struct config_document *parse(const char *text)
{
	enum config_status status;
	char *message;
	struct config_document *doc =
		config_parse(NULL, text, strlen(text), &status, &message);

	talloc_free(message);
	return doc;
}

START_TEST(test_names_are_unique)
{
	ck_assert_ptr_null(parse("{\"version\":1,\"teams\":[{\"name\":\"a\"},"
				 "{\"name\":\"a\"}]}"));
	ck_assert_ptr_null(
		parse("{\"version\":1,\"services\":[{\"name\":\"a\"},"
		      "{\"name\":\"a\"}]}"));
}
END_TEST

START_TEST(test_version_never_falls)
{
	struct config_state *state = config_state_create(NULL);
	const char *five = "{\"version\":5}", *four = "{\"version\":4}";
	const char *other = "{\"version\":5,\"teams\":[{\"name\":\"a\"}]}";

	ck_assert_int_eq(config_offer(state, five, strlen(five)), CONFIG_OK);
	ck_assert_int_eq(config_offer(state, four, strlen(four)), CONFIG_OLDER);
	ck_assert_uint_eq(config_offered_version(state), 4);
	ck_assert_int_eq(config_offer(state, other, strlen(other)),
			 CONFIG_CONFLICT);
	ck_assert_int_eq(config_offer(state, "{", 1), CONFIG_SYNTAX);
	ck_assert_uint_eq(config_version(state), 5);
	talloc_free(state);
}
END_TEST

static void check_difference(const char *before, const char *after,
			     const char *expected)
{
	struct config_document *a = parse(before), *b = parse(after);
	char *text = plan_difference(NULL, a, b);

	ck_assert_str_eq(text, expected);
	talloc_free(text);
	talloc_free(a);
	talloc_free(b);
}

/* A change of each kind of field, a removed entry and a new one. */
START_TEST(test_difference_between_versions)
{
	check_difference(DOCUMENT, DOCUMENT, "[]");
	check_difference(DOCUMENT, DOCUMENT_AT("127.0.0.1:3"),
			 "[{\"at\":\"workers/w1/address\",\"before\":"
			 "\"127.0.0.1:1\",\"after\":\"127.0.0.1:3\"}]");
	check_difference(
		DOCUMENT,
		"{\"version\":4,\"services\":[{\"name\":\"quote\"}],"
		"\"workers\":[{\"name\":\"w2\",\"address\":\"127.0.0.1:2\","
		"\"data_centre\":\"b\",\"service\":\"quote\",\"slots\":4,"
		"\"drained\":true},{\"name\":\"w1\",\"address\":"
		"\"127.0.0.1:1\",\"data_centre\":\"a\",\"service\":\"quote\","
		"\"slots\":9}],\"teams\":[{\"name\":\"south\"}]}",
		"[{\"at\":\"workers/w2/drained\",\"before\":false,"
		"\"after\":true},{\"at\":\"workers/w1/slots\",\"before\":8,"
		"\"after\":9},{\"at\":\"teams/south\",\"before\":null,"
		"\"after\":{\"name\":\"south\",\"tasks_per_s\":0,\"burst\":0,"
		"\"weight\":0}},{\"at\":\"teams/north\",\"before\":"
		"{\"name\":\"north\",\"tasks_per_s\":10,\"burst\":0,"
		"\"weight\":0},\"after\":null}]");
}
END_TEST

static uint32_t count_running(void *ctx, const char *worker)
{
	(void)ctx;
	return !strcmp(worker, "w1") ? 2 : 0;
}

static const struct {
	const char *intent;
	const char *expected; /* in the plan, or in the message of a refusal */
	enum plan_status status;
} intents[] = {
	{ "{\"intent\":\"drain\",\"worker\":\"w1\"}",
	  "{\"at\":\"workers/w1/drained\",\"before\":null,\"after\":true}",
	  PLAN_OK },
	{ "{\"intent\":\"drain\",\"data_centre\":\"a\"}",
	  "{\"service\":\"quote\",\"before\":12,\"after\":4}", PLAN_OK },
	{ "{\"intent\":\"drain\",\"data_centre\":\"a\"}", "\"in_flight\":2",
	  PLAN_OK },
	{ "{\"intent\":\"remove-workers\",\"workers\":[\"w1\",\"w2\"]}",
	  "leaves 0 slots for service quote", PLAN_OK },
	{ "{\"intent\":\"set-limit\",\"team\":\"north\",\"tasks_per_s\":20}",
	  "{\"team\":\"north\",\"before\":10,\"after\":20}", PLAN_OK },
	{ "{\"intent\":\"set-service\",\"service\":\"new\",\"max_tasks\":5}",
	  "services/new", PLAN_OK },
	{ "{\"intent\":\"add-workers\",\"workers\":[{\"name\":\"w1\"}]}",
	  "workers[2].address", PLAN_BAD_INTENT },
	{ "{\"intent\":\"set-limit\",\"team\":\"north\",\"burst\":-1}",
	  "teams[0].burst", PLAN_BAD_INTENT },
	{ "{\"intent\":\"drain\",\"worker\":\"w9\"}", "no worker w9",
	  PLAN_BAD_INTENT },
	{ "{\"intent\":\"drain\",\"data_centre\":\"z\"}", "has no workers",
	  PLAN_BAD_INTENT },
	{ "{\"intent\":\"undrain\",\"worker\":\"w1\"}", "so already",
	  PLAN_NO_CHANGE },
	{ "{\"intent\":\"fly\"}", "unknown intent fly", PLAN_BAD_INTENT },
	{ "[]", "unknown intent (none)", PLAN_BAD_INTENT },
	{ "nonsense", "unknown intent (none)", PLAN_BAD_INTENT },
};

START_TEST(test_intent)
{
	struct config_document *doc = parse(DOCUMENT);
	struct plan_context context = { doc, "p1", count_running, NULL };
	enum plan_status status;
	char *message = NULL;
	char *plan =
		plan_make(doc, &context, intents[_i].intent, &status, &message);

	ck_assert_int_eq(status, intents[_i].status);
	ck_assert_ptr_nonnull(
		strstr(plan ? plan : message, intents[_i].expected));
	talloc_free(doc);
}
END_TEST

START_TEST(test_confirm)
{
	struct config_document *doc = parse(DOCUMENT), *next, *other;
	struct plan_context context = { doc, "p1", NULL, NULL };
	enum plan_status status;
	char *message, *id, *text;
	char *plan =
		plan_make(doc, &context, intents[0].intent, &status, &message);

	text = plan_confirm(doc, &context, plan, &id, &status, &message);
	ck_assert_int_eq(status, PLAN_OK);
	ck_assert_str_eq(id, "p1");
	next = parse(text);
	ck_assert_uint_eq(next->version, 4);
	ck_assert(plan_is_confirmed(next, "p1") &&
		  plan_is_confirmed(next, "p0"));
	ck_assert(config_find_worker(next, "w1")->drained);
	/*
	 * Confirming the plan again reports that it is in force already. A plan
	 * made for another version is stale, and an altered plan is refused.
	 */
	context.document = next;
	plan_confirm(doc, &context, plan, &id, &status, &message);
	ck_assert_int_eq(status, PLAN_CONFIRMED);
	other = parse("{\"version\":4}");
	context.document = other;
	plan_confirm(doc, &context, plan, &id, &status, &message);
	ck_assert_int_eq(status, PLAN_STALE);
	context.document = doc;
	*strstr(plan, "\"w1\"") = ' ';
	ck_assert_ptr_null(
		plan_confirm(doc, &context, plan, &id, &status, &message));
	ck_assert_int_eq(status, PLAN_BAD_PLAN);
	talloc_free(other);
	talloc_free(next);
	talloc_free(doc);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("config");
	TCase *tc = tcase_create("config");

	tcase_add_test(tc, test_names_are_unique);
	tcase_add_test(tc, test_version_never_falls);
	tcase_add_test(tc, test_difference_between_versions);
	tcase_add_loop_test(tc, test_intent, 0,
			    sizeof(intents) / sizeof(intents[0]));
	tcase_add_test(tc, test_confirm);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
