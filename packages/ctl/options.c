#include "ctl/options.h"

#include <stdio.h>

#include "ctl/command.h"

#define GLOSSARY_FORMAT "  %-36s %s\n"

struct arg_lit *option_help(void)
{
	return arg_lit0("h", "help", "print this help");
}

struct arg_lit *option_json(const char *doc)
{
	return arg_lit0(NULL, "json", doc);
}

struct arg_str *option_address(const char *doc)
{
	return arg_str0("a", "address", "HOST:PORT", doc);
}

struct arg_file *option_token_file(void)
{
	return arg_file0("t", "token-file", "FILE",
			 "file with the bearer token");
}

const char *option_text(const struct arg_str *option, const char *fallback)
{
	return option->count ? option->sval[0] : fallback;
}

const char *option_file(const struct arg_file *option, const char *fallback)
{
	return option->count ? option->filename[0] : fallback;
}

bool option_parse(int argc, char **argv, const struct option_table *table,
		  int *code)
{
	const struct arg_lit *help = table->entries[0];
	struct arg_end *end = table->entries[table->count - 1];
	int errors = arg_parse(argc, argv, table->entries);

	if (help->count) {
		printf("Usage: bergamotctl %s", argv[0]);
		arg_print_syntax(stdout, table->entries, "\n\n");
		arg_print_glossary(stdout, table->entries, GLOSSARY_FORMAT);
		if (table->explanation)
			printf("\n%s", table->explanation);
		*code = COMMAND_OK;
	} else if (errors) {
		arg_print_errors(stderr, end, argv[0]);
		*code = COMMAND_USAGE;
	}
	return !help->count && !errors;
}
