#include "fake_store.h"

#define KEY_MS 18000 /* until a key ends */

struct kept {
	uint64_t from;
	uint64_t written_ms;
	uint8_t *data;
	size_t len;
};

struct fake_store {
	struct kept *kept; /* in the order of their writing */
	size_t count;
};

struct fake_store *fake_store_create(TALLOC_CTX *mem)
{
	return talloc_zero(mem, struct fake_store);
}

void fake_store_keep(struct fake_store *store, uint64_t from,
		     const Bergamot__LateStarts *msg, uint64_t now_ms)
{
	struct kept *kept;

	store->kept = talloc_realloc(store, store->kept, struct kept,
				     store->count + 1);
	kept = &store->kept[store->count++];
	kept->from = from;
	kept->written_ms = now_ms + FAKE_STORE_CALL_MS;
	kept->len = bergamot__late_starts__get_packed_size(msg);
	kept->data = talloc_size(store, kept->len);
	bergamot__late_starts__pack(msg, kept->data);
}

void fake_store_read(const struct fake_store *store,
		     struct fake_store_reader *reader,
		     struct lease_node *lease_node, uint64_t now_ms)
{
	if (reader->due_ms > now_ms)
		return;
	reader->due_ms = now_ms + FAKE_STORE_READ_MS;
	for (; reader->next < store->count; reader->next++) {
		const struct kept *kept = &store->kept[reader->next];
		Bergamot__LateStarts *msg;

		if (kept->written_ms > now_ms)
			return;
		if (kept->written_ms + KEY_MS <= now_ms)
			continue;
		msg = bergamot__late_starts__unpack(NULL, kept->len,
						    kept->data);
		lease_node_late_starts_read(lease_node, kept->from, msg,
					    now_ms);
		bergamot__late_starts__free_unpacked(msg, NULL);
	}
}
