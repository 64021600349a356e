/*
 * One odd entry in a list of the platform is left out; the others hold. Its
 * reason is reported, in a short text.
 */
#include <string.h>

#include "adapters/platform_text.h"
#include "base/tests/run_suite.h"

#define MAX_ENTRIES 16
#define LONG_BYTES 10240
#define TEN_CHARS "0123456789"
/* One character more than a name may have. */
#define LONG_NAME                                                              \
	TEN_CHARS TEN_CHARS TEN_CHARS TEN_CHARS TEN_CHARS TEN_CHARS "0123"

static TALLOC_CTX *mem;
static size_t count;
static char *ids[MAX_ENTRIES];
static char *addresses[MAX_ENTRIES];
static bool leaving[MAX_ENTRIES];
static struct platform_text_odd odd;
static enum platform_text_list kind;

static void set_up(void)
{
	mem = talloc_new(NULL);
	kind = PLATFORM_TEXT_INSTANCES;
}

static void tear_down(void)
{
	talloc_free(mem);
}

static void record(void *ctx, const struct platform_text_listed *entry)
{
	(void)ctx;
	ck_assert_uint_lt(count, MAX_ENTRIES);
	ids[count] = talloc_strdup(mem, entry->id);
	addresses[count] = talloc_strdup(mem, entry->address);
	leaving[count++] = entry->leaving;
}

static bool read_bytes(const char *body, size_t len)
{
	struct http_client_answer answer = {
		.status = HTTP_CLIENT_ANSWERED,
		.http_status = 200,
		.body = talloc_memdup(mem, body, len + 1),
		.body_len = len,
	};

	count = 0;
	return platform_text_for_each_listed(&answer, kind, record, NULL, &odd);
}

/* Reads a list of two instances with rows between them. */
static void read_among_others(const char *rows)
{
	char *body = talloc_asprintf(
		mem,
		"[{\"Service\":{\"ID\":\"a\",\"Address\":\"10.0.0.1\","
		"\"Port\":1}},%s,{\"Service\":{\"ID\":\"z\",\"Address\":"
		"\"10.0.0.2\",\"Port\":65535,\"Meta\":{\"leaving\":"
		"\"true\"}}}]",
		rows);

	ck_assert(read_bytes(body, strlen(body)));
	ck_assert_uint_ge(count, 2);
	ck_assert_str_eq(ids[0], "a");
	ck_assert_str_eq(addresses[0], "10.0.0.1:1");
	ck_assert(!leaving[0]);
	ck_assert_str_eq(ids[count - 1], "z");
	ck_assert_str_eq(addresses[count - 1], "10.0.0.2:65535");
	ck_assert(leaving[count - 1]);
}

static char *nested(size_t depth)
{
	char *text = talloc_zero_size(mem, depth * 2 + 1);

	memset(text, '[', depth);
	memset(text + depth, ']', depth);
	return text;
}

static void check_left_out(const char *row)
{
	read_among_others(row);
	ck_assert_msg(count == 2, "%.200s", row);
	ck_assert_uint_eq(odd.count, 1);
	ck_assert_uint_lt(strlen(odd.text), sizeof(odd.text));
}

START_TEST(test_deeply_nested_entry)
{
	for (size_t depth = 40; depth <= 10000; depth += 9960) {
		check_left_out(talloc_asprintf(
			mem,
			"{\"Service\":{\"ID\":\"b\",\"Address\":\"10.0.0.3\","
			"\"Port\":1,\"Meta\":{\"a\":%s}}}",
			nested(depth)));
		ck_assert_ptr_nonnull(strstr(odd.text, "nested"));
		check_left_out(nested(depth));
	}
}
END_TEST

START_TEST(test_port_out_of_range)
{
	static const char *const ports[] = {
		"0",
		"-1",
		"65536",
		"1000000000000",
		"99999999999999999999",
		"-99999999999999999999",
		"80.5",
		"1e999",
		"\"80\"",
		"null",
		"[80]",
	};

	for (size_t i = 0; i < sizeof(ports) / sizeof(ports[0]); i++) {
		check_left_out(talloc_asprintf(
			mem,
			"{\"Service\":{\"ID\":\"b\",\"Address\":\"10.0.0.3\","
			"\"Port\":%s}}",
			ports[i]));
		ck_assert_ptr_nonnull(strstr(odd.text, "b"));
		ck_assert_ptr_nonnull(strstr(odd.text, "port"));
	}
}
END_TEST

START_TEST(test_address_that_cannot_be_dialled)
{
	static const char *const texts[] = {
		"\"10.0.0.1:\"",
		"\"[::1\"",
		"\"a b\"",
		"\"10.0.0.1/x\"",
		"\"u@10.0.0.1\"",
		"\"10.0.0.1\\u0000\"",
		"\"\\r\\nX: y\"",
		"\"10.0.0.1:99999\"",
		"7",
		"{}",
	};

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++)
		check_left_out(talloc_asprintf(
			mem,
			"{\"Service\":{\"ID\":\"b\",\"Address\":%s,"
			"\"Port\":1}}",
			texts[i]));
}
END_TEST

START_TEST(test_entry_that_is_none)
{
	static const char *const rows[] = {
		"7",
		"null",
		"[]",
		"\"a\"",
		"{}",
		"{\"Service\":7}",
		"{\"Service\":null}",
		"{\"Service\":{}}",
		"{\"Service\":{\"ID\":7}}",
		"{\"Service\":{\"ID\":\"\"}}",
	};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		check_left_out(rows[i]);
}
END_TEST

/* An ID with a NUL must not mark the worker with the ID up to it as leaving. */
START_TEST(test_odd_id)
{
	char *id = talloc_zero_size(mem, LONG_BYTES + 1);

	memset(id, 'i', LONG_BYTES);
	check_left_out("{\"Service\":{\"ID\":\"a\\u0000\",\"Address\":"
		       "\"10.0.0.3\",\"Port\":1,\"Meta\":{\"leaving\":"
		       "\"true\"}}}");
	check_left_out(talloc_asprintf(
		mem,
		"{\"Service\":{\"ID\":\"%s\",\"Address\":\"10.0.0.3\","
		"\"Port\":1}}",
		id));
}
END_TEST

START_TEST(test_bytes_that_are_no_text)
{
	check_left_out("{\"Service\":{\"ID\":\"\xff\xfe\",\"Address\":"
		       "\"\xff\",\"Port\":1}}");
}
END_TEST

START_TEST(test_same_id_twice)
{
	static const char row[] = "{\"Service\":{\"ID\":\"b\",\"Address\":"
				  "\"10.0.0.3\",\"Port\":1}}";

	read_among_others(talloc_asprintf(mem, "%s,%s", row, row));
	ck_assert_uint_eq(count, 4);
	ck_assert_uint_eq(odd.count, 0);
}
END_TEST

/* Only the name of a worker is used, which the document gives an address. */
START_TEST(test_worker)
{
	static const char *const names[] = {
		"", "a b", "a/b", "a\\r\\nb", "\xff", "\xc3\xa9", LONG_NAME,
	};
	static const char row[] = "{\"Service\":{\"ID\":\"%s\"}}";

	kind = PLATFORM_TEXT_WORKERS;
	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		check_left_out(talloc_asprintf(mem, row, names[i]));
	read_among_others("{\"Service\":{\"ID\":\"b\",\"Port\":0}}");
	ck_assert_uint_eq(count, 3);
	ck_assert_str_eq(ids[1], "b");
}
END_TEST

/* A list that cannot be read must not look like one without entries. */
START_TEST(test_unreadable_list)
{
	static const char *const bodies[] = {
		"",	"{}", "7", "null", "[", "[{\"Service\":{\"ID\":\"a\"",
		"\xff",
	};

	for (size_t i = 0; i < sizeof(bodies) / sizeof(bodies[0]); i++)
		ck_assert_msg(!read_bytes(bodies[i], strlen(bodies[i])), "%s",
			      bodies[i]);
	ck_assert(read_bytes("[]", 2));
	ck_assert_uint_eq(count, 0);
}
END_TEST

START_TEST(test_value_with_an_impossible_index)
{
	static const char *const indices[] = { "-1", "0.5", "\"7\"", "null",
					       "99999999999999999999" };

	for (size_t i = 0; i < sizeof(indices) / sizeof(indices[0]); i++) {
		char *body = talloc_asprintf(
			mem, "[{\"ModifyIndex\":%s,\"Value\":\"aGk=\"}]",
			indices[i]);
		struct http_client_answer answer = {
			.status = HTTP_CLIENT_ANSWERED,
			.http_status = 200,
			.body = body,
			.body_len = strlen(body),
		};
		struct platform_text_value value;

		ck_assert_msg(!platform_text_read_value(mem, &answer, &value),
			      "%s", indices[i]);
	}
}
END_TEST

int main(void)
{
	return RUN_CASE(
		"platform_text", set_up, tear_down, test_deeply_nested_entry,
		test_port_out_of_range, test_address_that_cannot_be_dialled,
		test_entry_that_is_none, test_odd_id,
		test_bytes_that_are_no_text, test_same_id_twice, test_worker,
		test_unreadable_list, test_value_with_an_impossible_index);
}
