#include "adapters/messages.h"

void *message_create_size(size_t size, const char *name, enum message_kind kind)
{
	struct mailbox_message *msg = talloc_zero_size(NULL, size);

	talloc_set_name_const(msg, name);
	msg->kind = kind;
	return msg;
}
