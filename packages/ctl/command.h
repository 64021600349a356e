#ifndef CTL_COMMAND_H
#define CTL_COMMAND_H

/* The subcommands of bergamotctl; each parses its own arguments. */

enum command_exit {
	COMMAND_OK = 0,
	COMMAND_FAILED = 1, /* the job failed, or the answer is an error */
	COMMAND_USAGE = 2,
	COMMAND_NOT_RUN = 3, /* the job was rejected and did not run */
	COMMAND_UNKNOWN = 4, /* the job may or may not have run */
	COMMAND_UNREACHABLE = 5, /* the instance did not answer */
};

struct command {
	const char *name;
	const char *summary;
	/* Returns an enum command_exit; argv[0] is the subcommand's name. */
	int (*run)(int argc, char **argv);
};

/* Each returns an enum command_exit. */
int command_submit(int argc, char **argv);
int command_get(int argc, char **argv);
int command_cancel(int argc, char **argv);
int command_status(int argc, char **argv);
int command_metrics(int argc, char **argv);
int command_timeline(int argc, char **argv);
int command_plan(int argc, char **argv);
int command_confirm(int argc, char **argv);
int command_load(int argc, char **argv);
int command_check_settings(int argc, char **argv);

#endif
