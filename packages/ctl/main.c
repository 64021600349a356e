/* bergamotctl: the command line tool for operators and callers. */
#include <stdio.h>
#include <string.h>

#include "ctl/command.h"

static const struct command commands[] = {
	{ "submit", "submit a job and print its answer", command_submit },
	{ "get", "fetch a job's outcome again", command_get },
	{ "cancel", "cancel a job", command_cancel },
	{ "status", "members, workers, versions in force", command_status },
	{ "metrics", "counters of an instance", command_metrics },
	{ "timeline", "merge time lines of all processes", command_timeline },
	{ "plan", "make or show a plan of a change", command_plan },
	{ "confirm", "confirm a plan", command_confirm },
	{ "load", "send load and measure responses", command_load },
	{ "check-settings", "check a settings file", command_check_settings },
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

static int print_usage(FILE *out, int code)
{
	fprintf(out, "Usage: bergamotctl COMMAND [ARGUMENTS]\n\nCommands:\n");
	for (size_t i = 0; i < COMMAND_COUNT; i++)
		fprintf(out, "  %-16s %s\n", commands[i].name,
			commands[i].summary);
	fprintf(out,
		"\n'bergamotctl COMMAND --help' lists a command's arguments.\n"
		"Exit codes: 0 done, 1 failed, 2 usage, 3 not run, "
		"4 unknown, 5 unreachable.\n");
	return code;
}

int main(int argc, char **argv)
{
	if (argc < 2)
		return print_usage(stderr, COMMAND_USAGE);
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h"))
		return print_usage(stdout, COMMAND_OK);
	if (!strcmp(argv[1], "--version")) {
		printf("bergamotctl " BP_VERSION "\n");
		return COMMAND_OK;
	}
	for (size_t i = 0; i < COMMAND_COUNT; i++)
		if (!strcmp(argv[1], commands[i].name))
			return commands[i].run(argc - 1, argv + 1);
	fprintf(stderr, "bergamotctl: %s: no such command\n", argv[1]);
	return print_usage(stderr, COMMAND_USAGE);
}
