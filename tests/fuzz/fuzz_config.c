/* Parses a configuration; a valid one must parse again after printing. */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "core/config.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	enum config_status status;
	char *message = NULL;
	struct config_document *doc =
		config_parse(mem, (const char *)data, size, &status, &message);
	struct config_document *again;
	char *text;

	if (!doc) {
		if (status == CONFIG_OK || !message)
			abort();
		talloc_free(mem);
		return 0;
	}
	text = config_print(mem, doc);
	again = config_parse(mem, text, strlen(text), &status, &message);
	if (!again || again->version != doc->version ||
	    again->worker_count != doc->worker_count ||
	    again->team_count != doc->team_count ||
	    again->plan_count != doc->plan_count ||
	    again->drained_count != doc->drained_count ||
	    strcmp(text, config_print(mem, again)) != 0)
		abort();
	talloc_free(mem);
	return 0;
}
