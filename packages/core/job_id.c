#include "core/job_id.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define CHECKED_DIGITS 52 /* digits that the checksum covers */
#define GRANTED_MASK ((UINT64_C(1) << 48) - 1) /* 12 digits */

struct grant {
	uint64_t first;
	uint64_t end;
	uint64_t granted_ms;
};

/* Sorted by serial and by time, so that expired grants are at the front. */
struct job_id_grants {
	uint64_t incarnation;
	uint32_t data_centre;
	uint64_t ttl_ms;
	uint64_t next_serial;
	struct grant *list;
	size_t start;
	size_t len;
};

uint32_t job_id_system(const char *cluster)
{
	return XXH32(cluster, strlen(cluster), 0);
}

uint32_t job_id_data_centre(const char *name)
{
	return XXH32(name, strlen(name), 0);
}

void job_id_format(char text[JOB_ID_TEXT_BYTES], const struct job_id *id,
		   uint32_t system)
{
	snprintf(text, JOB_ID_TEXT_BYTES,
		 "%016" PRIx64 "%016" PRIx64 "%08" PRIx32 "%012" PRIx64,
		 id->incarnation, id->serial, id->data_centre,
		 id->granted_ms & GRANTED_MASK);
	snprintf(text + CHECKED_DIGITS, JOB_ID_TEXT_BYTES - CHECKED_DIGITS,
		 "%08" PRIx32, XXH32(text, CHECKED_DIGITS, system));
}

static uint64_t read_hex(const char *text, int digits)
{
	char copy[17];

	memcpy(copy, text, (size_t)digits);
	copy[digits] = '\0';
	return strtoull(copy, NULL, 16);
}

enum job_id_status job_id_parse(struct job_id *id, const char *text,
				uint32_t system)
{
	if (strlen(text) != JOB_ID_TEXT_BYTES - 1 ||
	    strspn(text, "0123456789abcdef") != JOB_ID_TEXT_BYTES - 1)
		return JOB_ID_MALFORMED;
#ifndef BREAK_ID
	if (read_hex(text + CHECKED_DIGITS, 8) !=
	    XXH32(text, CHECKED_DIGITS, system))
		return JOB_ID_FOREIGN;
#else
	(void)system;
#endif
	id->incarnation = read_hex(text, 16);
	id->serial = read_hex(text + 16, 16);
	id->data_centre = (uint32_t)read_hex(text + 32, 8);
	id->granted_ms = read_hex(text + 40, 12);
	return JOB_ID_OK;
}

bool job_id_issue(struct job_id_block *block, struct job_id *id)
{
	if (!block->count)
		return false;
	id->incarnation = block->incarnation;
	id->serial = block->first++;
	id->data_centre = block->data_centre;
	id->granted_ms = block->granted_ms;
	block->count--;
	return true;
}

struct job_id_grants *
job_id_grants_create(TALLOC_CTX *mem,
		     const struct job_id_grants_options *options)
{
	struct job_id_grants *grants = talloc_zero(mem, struct job_id_grants);

	grants->incarnation = options->incarnation;
	grants->data_centre = job_id_data_centre(options->data_centre);
	grants->ttl_ms = options->ttl_ms;
	grants->next_serial = 1;
	return grants;
}

static void remove_expired(struct job_id_grants *grants, uint64_t now_ms)
{
	while (grants->start < grants->len &&
	       grants->list[grants->start].granted_ms + grants->ttl_ms < now_ms)
		grants->start++;
	if (grants->start < grants->len / 2 || !grants->start)
		return;
	grants->len -= grants->start;
	memmove(grants->list, grants->list + grants->start,
		grants->len * sizeof(*grants->list));
	grants->start = 0;
}

struct job_id_block job_id_grant(struct job_id_grants *grants, uint64_t now_ms,
				 uint32_t count)
{
	struct job_id_block block = {
		.incarnation = grants->incarnation,
		.data_centre = grants->data_centre,
		.first = grants->next_serial,
		.count = count,
		.granted_ms = now_ms & GRANTED_MASK,
	};

	remove_expired(grants, now_ms);
	if (grants->len == talloc_array_length(grants->list))
		grants->list =
			talloc_realloc(grants, grants->list, struct grant,
				       (unsigned)(grants->len * 2 + 16));
	grants->next_serial += count;
	grants->list[grants->len].first = block.first;
	grants->list[grants->len].end = grants->next_serial;
	grants->list[grants->len].granted_ms = block.granted_ms;
	grants->len++;
	return block;
}

static const struct grant *find_grant(const struct job_id_grants *grants,
				      uint64_t serial)
{
	size_t low = grants->start;
	size_t high = grants->len;

	while (low < high) {
		size_t mid = low + (high - low) / 2;
		const struct grant *g = &grants->list[mid];

		if (serial < g->first)
			high = mid;
		else if (serial >= g->end)
			low = mid + 1;
		else
			return g;
	}
	return NULL;
}

enum job_id_validity job_id_check(struct job_id_grants *grants,
				  const struct job_id *id, uint64_t now_ms)
{
	const struct grant *g;

	if (!id->serial || id->serial >= grants->next_serial)
		return JOB_ID_NEVER_GRANTED;
	g = find_grant(grants, id->serial);
	if (g && g->granted_ms != id->granted_ms)
		return JOB_ID_NEVER_GRANTED;
	if (!g || !job_id_remaining_ms(grants, id, now_ms))
		return JOB_ID_EXPIRED;
	return JOB_ID_VALID;
}

uint64_t job_id_remaining_ms(const struct job_id_grants *grants,
			     const struct job_id *id, uint64_t now_ms)
{
	uint64_t end = id->granted_ms + grants->ttl_ms;

	return end > now_ms ? end - now_ms : 0;
}
