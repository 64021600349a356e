/* Parses settings; valid settings must parse again after printing. */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "base/settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	enum settings_status status;
	char *message = NULL;
	struct settings *s = settings_parse(mem, "fuzz", (const char *)data,
					    size, &status, &message);
	char *printed = NULL;
	size_t len = 0;
	FILE *out;

	if (!s) {
		if (status == SETTINGS_OK || !message)
			abort();
		talloc_free(mem);
		return 0;
	}
	out = open_memstream(&printed, &len);
	settings_print(s, out);
	fclose(out);
	if (!settings_parse(mem, "printed", printed, len, &status, &message))
		abort();
	free(printed);
	talloc_free(mem);
	return 0;
}
