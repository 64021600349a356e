#ifndef CTL_OPTIONS_H
#define CTL_OPTIONS_H

#include <argtable2.h>
#include <stdbool.h>
#include <stddef.h>

/* Options that several commands have in common. */

struct option_table {
	void **entries; /* of argtable: option_help() first, arg_end() last */
	size_t count;
	const char *explanation; /* printed below the help; NULL for none */
};

/* -h, --help */
struct arg_lit *option_help(void);

/* --json */
struct arg_lit *option_json(const char *doc);

/* -a, --address; doc says whether it is the callers' or operators' address. */
struct arg_str *option_address(const char *doc);

/* -t, --token-file */
struct arg_file *option_token_file(void);

/* Returns the option's value, or fallback (may be NULL) when not given. */
const char *option_text(const struct arg_str *option, const char *fallback);

/* Like option_text for the name of a file. */
const char *option_file(const struct arg_file *option, const char *fallback);

/*
 * Parses the arguments into the table's entries, which the caller frees.
 * Returns true if the command is to run. Otherwise help was printed, or errors
 * on standard error, and *code is set to the exit code.
 */
bool option_parse(int argc, char **argv, const struct option_table *table,
		  int *code);

#endif
