#ifndef CTL_OPTIONS_H
#define CTL_OPTIONS_H

#include <argtable2.h>
#include <stdbool.h>
#include <stddef.h>

/* What the commands' argument tables have in common. */

struct option_table {
	void **entries; /* of argtable: option_help() first, the end last */
	size_t count;
	const char *explanation; /* printed below the help; NULL for none */
};

/* -h, --help */
struct arg_lit *option_help(void);

/* --json */
struct arg_lit *option_json(const char *doc);

/* -a, --address: whose tells the callers' address from the operators'. */
struct arg_str *option_address(const char *whose);

/* -t, --token-file */
struct arg_file *option_token_file(void);

/* The option's text; fallback, which may be NULL, when it was not given. */
const char *option_text(const struct arg_str *option, const char *fallback);

/* The same for a file's name. */
const char *option_file(const struct arg_file *option, const char *fallback);

/*
 * Parses the arguments into the table's entries, which stay the caller's to
 * free. True when the command is to run. Else help was printed, or errors on
 * standard error, and *code is the exit code.
 */
bool option_parse(int argc, char **argv, const struct option_table *table,
		  int *code);

#endif
