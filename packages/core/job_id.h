#ifndef CORE_JOB_ID_H
#define CORE_JOB_ID_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/*
 * Job ids and the blocks of serials they are issued from.
 *
 * An id is bound to its owner: the only incarnation of an instance that may
 * ever start the job's tasks. The owner grants blocks of serials to entry
 * instances, which issue ids from them without a request to the owner. The
 * owner stores a few bytes per block and nothing for an id that is not used.
 */

#define JOB_ID_TEXT_BYTES 61 /* 60 hexadecimal digits and NUL */

struct job_id {
	uint64_t incarnation; /* of the owner */
	uint64_t serial; /* within the incarnation, from 1 */
	uint32_t data_centre; /* hash of the owner's data centre's name */
	uint64_t granted_ms; /* grant of its block, on the owner's clock */
};

enum job_id_status {
	JOB_ID_OK,
	JOB_ID_MALFORMED, /* wrong length or characters */
	JOB_ID_FOREIGN, /* wrong checksum: of another cluster, or damaged */
};

/* Returns the seed of the ids' checksum, a hash of the cluster's name. */
uint32_t job_id_system(const char *cluster);

/* Returns the hash of a data centre's name that ids contain. */
uint32_t job_id_data_centre(const char *name);

void job_id_format(char text[JOB_ID_TEXT_BYTES], const struct job_id *id,
		   uint32_t system);

enum job_id_status job_id_parse(struct job_id *id, const char *text,
				uint32_t system);

/* A run of serials, issued from first upwards. */
struct job_id_block {
	uint64_t incarnation; /* of the owner */
	uint32_t data_centre;
	uint64_t first;
	uint32_t count; /* serials left */
	uint64_t granted_ms; /* on the owner's clock */
};

/* Issues the next id of a block; returns false if the block is used up. */
bool job_id_issue(struct job_id_block *block, struct job_id *id);

/* The blocks that an owner has granted. */
struct job_id_grants;

struct job_id_grants_options {
	uint64_t incarnation;
	const char *data_centre;
	uint64_t ttl_ms; /* lifetime of an id, from the grant of its block */
};

struct job_id_grants *
job_id_grants_create(TALLOC_CTX *mem,
		     const struct job_id_grants_options *options);

/* Grants a new block of count serials. */
struct job_id_block job_id_grant(struct job_id_grants *grants, uint64_t now_ms,
				 uint32_t count);

enum job_id_validity {
	JOB_ID_VALID, /* in a granted block, and not expired */
	JOB_ID_EXPIRED, /* whether its job ever ran is unknown by now */
	JOB_ID_NEVER_GRANTED, /* no such serial was ever granted */
};

/* Checks an id whose incarnation is this owner's. */
enum job_id_validity job_id_check(struct job_id_grants *grants,
				  const struct job_id *id, uint64_t now_ms);

/* Milliseconds until the id expires; 0 if it has expired. */
uint64_t job_id_remaining_ms(const struct job_id_grants *grants,
			     const struct job_id *id, uint64_t now_ms);

#endif
