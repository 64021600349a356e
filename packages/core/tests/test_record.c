/* Records keep results for a time, and the outcome until they expire. */

#include "base/tests/run_suite.h"
#include "core/record.h"

static const struct outcome complete = { .kind = OUTCOME_COMPLETE,
					 .started = 2,
					 .results = "[1,2]" };

static struct record_table *make_table(uint64_t bytes)
{
	struct record_options options = { .memory_bytes = bytes,
					  .answer_ms = 100 };

	return record_table_create(NULL, &options);
}

static struct job_id make_id(uint64_t serial)
{
	struct job_id id = { .incarnation = 1, .serial = serial };

	return id;
}

START_TEST(test_results_are_dropped_before_the_record)
{
	struct record_table *table = make_table(100000);
	struct job_id id = make_id(1);
	struct record *record = record_add(table, &id, 9, 1000);
	uint64_t empty_bytes = record_memory_bytes(table);

	ck_assert_int_eq(record->outcome.kind, OUTCOME_RUNNING);
	record_finish(table, record, &complete, 10);
	record_tick(table, 109);
	ck_assert_str_eq(record_find(table, &id)->outcome.results, "[1,2]");
	record_tick(table, 110);
	ck_assert_ptr_null(record->outcome.results);
	ck_assert_int_eq(record->outcome.kind, OUTCOME_COMPLETE);
	ck_assert_int_eq(record->outcome.reason, OUTCOME_ANSWER_DROPPED_REASON);
	ck_assert_uint_eq(record_memory_bytes(table), empty_bytes);
	record_tick(table, 999);
	ck_assert_ptr_nonnull(record_find(table, &id));
	record_tick(table, 1000);
	ck_assert_ptr_null(record_find(table, &id));
	ck_assert_uint_eq(record_memory_bytes(table), 0);
	talloc_free(table);
}
END_TEST

/* At the memory cap new records are refused and existing ones stay. */
START_TEST(test_memory_cap)
{
	struct record_table *table = make_table(1000);
	uint64_t serial = 0;
	struct job_id id;

	do
		id = make_id(++serial);
	while (record_add(table, &id, 9, 1000));
	ck_assert_uint_gt(serial, 1);
	ck_assert_uint_eq(record_count(table), serial - 1);
	record_tick(table, 999);
	ck_assert_uint_eq(record_count(table), serial - 1);
	talloc_free(table);
}
END_TEST

/* At the memory cap another owner's record is stored without its results. */
START_TEST(test_adopts_over_the_cap)
{
	struct record_table *table = make_table(256);
	struct record from = { .incarnation = 2,
			       .serial = 3,
			       .body_hash = 4,
			       .outcome = complete };
	struct job_id id = { .incarnation = 2, .serial = 3 };
	struct record *record;

	record_adopt(table, &from, 1000, 0);
	from.outcome.kind = OUTCOME_FAILED;
	record_adopt(table, &from, 1000, 0);
	record = record_find(table, &id);
	ck_assert_int_eq(record->outcome.kind, OUTCOME_COMPLETE);
	ck_assert_int_eq(record->outcome.reason, OUTCOME_ANSWER_DROPPED_REASON);
	ck_assert_uint_eq(record->body_hash, 4);
	ck_assert_uint_eq(record_remaining_ms(record, 400), 600);
	talloc_free(table);
}
END_TEST

int main(void)
{
	return RUN_CASE("record", NULL, NULL,
			test_results_are_dropped_before_the_record,
			test_memory_cap, test_adopts_over_the_cap);
}
