#include "daemon/operators.h"

#include <string.h>

#include "base/clock.h"

bool operators_serve(struct node *node,
		     const struct message_operator_request *msg)
{
	static const struct {
		const char *method;
		const char *path;
		void (*serve)(struct node *node, uint64_t request,
			      const char *body, uint64_t now_ms);
	} routes[] = {
		{ "POST", "/v1/plans", node_plan },
		{ "POST", "/v1/plans/confirm", node_confirm },
	};

	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (strcmp(routes[i].path, msg->path) ||
		    strcmp(routes[i].method, msg->method))
			continue;
		routes[i].serve(node, msg->request, msg->body, clock_now_ms());
		return true;
	}
	return false;
}
