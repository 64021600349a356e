/* Room of a worker: no start brings it over its capacity. */
#include "base/tests/run_suite.h"
#include "core/lease_pool.h"

static struct step_job_demand amounts(uint32_t cpu_milli, uint32_t mem_mb,
				      uint32_t accelerators)
{
	struct step_job_demand d = { cpu_milli, mem_mb, accelerators };

	return d;
}

static bool fits(struct step_job_demand capacity, struct step_job_demand used,
		 struct step_job_demand demand)
{
	struct pool_worker worker = { .capacity = capacity, .used = used };

	return pool_fits(&worker, &demand);
}

START_TEST(test_fits)
{
	struct step_job_demand capacity = { 4000, 1000, 1 };
	struct step_job_demand used = { 3000, 900, 1 };

	ck_assert(fits(capacity, used, amounts(1000, 100, 0)));
	ck_assert(!fits(capacity, used, amounts(1001, 100, 0)));
	ck_assert(!fits(capacity, used, amounts(1000, 101, 0)));
	ck_assert(!fits(capacity, used, amounts(1, 1, 1)));
}
END_TEST

/* A sum that wraps is no room. */
START_TEST(test_demand_past_32_bits_with_what_is_used)
{
	struct step_job_demand capacity = { 4000, 1000, 1 };
	struct step_job_demand used = { 1, 1, 1 };

	ck_assert(!fits(capacity, used, amounts(UINT32_MAX, 0, 0)));
	ck_assert(!fits(capacity, used, amounts(1, UINT32_MAX, 0)));
	ck_assert(!fits(capacity, used, amounts(1, 1, UINT32_MAX)));
}
END_TEST

/* Nothing fits while what is used exceeds a capacity that has shrunk. */
START_TEST(test_capacity_shrunk_below_what_is_used)
{
	struct step_job_demand capacity = { 2000, 1000, 0 };
	struct step_job_demand used = { 3000, 0, 0 };

	ck_assert(!fits(capacity, used, amounts(1, 0, 0)));
	capacity.cpu_milli = 0;
	ck_assert(!fits(capacity, used, amounts(1, 0, 0)));
}
END_TEST

int main(void)
{
	return RUN_CASE("lease_pool", NULL, NULL, test_fits,
			test_demand_past_32_bits_with_what_is_used,
			test_capacity_shrunk_below_what_is_used);
}
