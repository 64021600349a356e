#include "base/settings_keys.h"

#include <json-c/json.h>
#include <stdint.h>
#include <string.h>

static const void *field_in(const struct settings *s,
			    const struct settings_key *key)
{
	return (const char *)s + key->offset;
}

const char *settings_allowed(TALLOC_CTX *mem, const struct settings_key *key)
{
	switch (key->kind) {
	case TEXT:
		return talloc_asprintf(mem, "text of %ld to %ld bytes",
				       key->min, key->max);
	case WORD:
		return talloc_asprintf(mem, "one of %s", key->allowed);
	case ADDRESS:
		return "an address such as 127.0.0.1:7400";
	case NUMBER:
		return talloc_asprintf(mem, "a whole number from %ld to %ld %s",
				       key->min, key->max, key->unit);
	case DECIMAL:
		return talloc_asprintf(mem, "a number from %ld to %ld %s",
				       key->min, key->max, key->unit);
	case FLAG:
		return "true or false";
	case TEXT_LIST:
		return talloc_asprintf(mem, "a list of up to %ld texts",
				       key->max);
	case DOCUMENT:
		return "an object";
	}
	return "";
}

static char *value_text(TALLOC_CTX *mem, const struct settings *s,
			const struct settings_key *key)
{
	json_object *v = NULL;
	char *text;

	if (key->kind == NUMBER)
		v = json_object_new_int(*(const int *)field_in(s, key));
	else if (key->kind == DECIMAL)
		v = json_object_new_double(*(const double *)field_in(s, key));
	else if (key->kind == FLAG)
		v = json_object_new_boolean(*(const bool *)field_in(s, key));
	else if (key->kind == TEXT_LIST) {
		char **list = *(char **const *)field_in(s, key);

		v = json_object_new_array();
		for (; list && *list; list++)
			json_object_array_add(v, json_object_new_string(*list));
	} else if (*(char *const *)field_in(s, key)) {
		const char *value = *(char *const *)field_in(s, key);

		if (key->kind == DOCUMENT)
			return talloc_strdup(mem, value);
		v = json_object_new_string(value);
	}
	text = talloc_strdup(mem, json_object_to_json_string_ext(
					  v, JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(v);
	return text;
}

static size_t section_length(const char *path)
{
	const char *dot = strchr(path, '.');

	return dot ? (size_t)(dot - path) : 0;
}

static bool same_section(const char *a, const char *b)
{
	size_t len = section_length(a);

	return len == section_length(b) && !strncmp(a, b, len);
}

/* Omits unset keys, so that the output is a valid settings file. */
static bool is_printed(const struct settings *s, const struct settings_key *key)
{
#ifdef BREAK_PRINT
	return true;
#endif
	return key->kind == NUMBER || key->kind == FLAG ||
	       key->kind == TEXT_LIST || *(char *const *)field_in(s, key);
}

void settings_print(const struct settings *s, FILE *out)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	const char *section = "";
	bool first = true;

	fputs("{", out);
	for (size_t i = 0; i < settings_key_count; i++) {
		const struct settings_key *key = &settings_keys[i];
		size_t len = section_length(key->path);
		const char *name = key->path + (len ? len + 1 : 0);

		if (!is_printed(s, key))
			continue;
		if (!same_section(section, key->path)) {
			if (section_length(section))
				fputs("\n\t}", out);
			fputs(first ? "\n" : ",\n", out);
			if (len)
				fprintf(out, "\t\"%.*s\": {\n", (int)len,
					key->path);
			section = key->path;
		} else {
			fputs(first ? "\n" : ",\n", out);
		}
		first = false;
		fprintf(out, "%s/* %s%s%s */\n%s\"%s\": %s",
			len ? "\t\t" : "\t", key->doc, *key->unit ? "; " : "",
			key->unit, len ? "\t\t" : "\t", name,
			value_text(mem, s, key));
	}
	fputs(section_length(section) ? "\n\t}\n}\n" : "\n}\n", out);
	talloc_free(mem);
}

void settings_print_markdown(FILE *out)
{
	TALLOC_CTX *mem = talloc_new(NULL);

	fputs("# Settings\n\n"
	      "JSON with comments, read once at the start. Printed by\n"
	      "`bergamotd --print-settings-table`.\n\n"
	      "| key | allowed | default | meaning |\n|---|---|---|---|\n",
	      out);
	for (size_t i = 0; i < settings_key_count; i++) {
		char *allowed = talloc_strdup(
			mem, settings_allowed(mem, &settings_keys[i]));

		/* A bar would end the table cell. */
		for (char *p = allowed; (p = strchr(p, '|'));)
			*p = '/';

		fprintf(out, "| `%s` | %s | %s | %s |\n", settings_keys[i].path,
			allowed,
			settings_keys[i].initial ? settings_keys[i].initial
						 : "unset",
			settings_keys[i].doc);
	}
	talloc_free(mem);
}
