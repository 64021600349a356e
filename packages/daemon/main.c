/* bergamotd: one instance of the dispatcher. */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

#include "base/log.h"
#include "base/settings.h"
#include "daemon/control.h"
#include "daemon/lease_control.h"

enum exit_code {
	EXIT_CODE_OK = 0,
	EXIT_CODE_USAGE = 2,
	EXIT_CODE_SETTINGS = 3,
	EXIT_CODE_START = 4,
};

struct arguments {
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_file *check;
	struct arg_lit *print;
	struct arg_lit *print_markdown;
	struct arg_file *settings;
	struct arg_end *end;
};

/* Exactly one is used: lease_control where store.address is set. */
static struct control *control;
static struct lease_control *lease_control;
static const char *settings_path;

static void print_usage(void **table)
{
	printf("Usage: bergamotd");
	arg_print_syntax(stdout, table, "\n\n");
	printf("Runs one instance of the dispatcher until SIGTERM.\n\n");
	arg_print_glossary(stdout, table, "  %-28s %s\n");
	printf("\nExit codes: 0 stopped gracefully, 2 usage, 3 settings, "
	       "4 cannot start.\n");
}

static struct settings *load(const char *path)
{
	enum settings_status status;
	char *message;
	struct settings *s = settings_load(NULL, path, &status, &message);

	if (s)
		return s;
	fprintf(stderr, "bergamotd: %s\n", message);
	talloc_free(message);
	return NULL;
}

static int check_settings(const char *path)
{
	struct settings *s = load(path);

	if (!s)
		return EXIT_CODE_SETTINGS;
	talloc_free(s);
	printf("%s: settings are valid\n", path);
	return EXIT_CODE_OK;
}

static int print_settings(const char *path)
{
	struct settings *s = load(path);

	if (!s)
		return EXIT_CODE_SETTINGS;
	settings_print(s, stdout);
	talloc_free(s);
	return EXIT_CODE_OK;
}

static void on_signal(struct tevent_context *ev, struct tevent_signal *se,
		      int signum, int count, void *siginfo, void *private_data)
{
	struct settings *s;

	(void)ev;
	(void)se;
	(void)count;
	(void)siginfo;
	(void)private_data;
	if (signum != SIGHUP) {
		if (lease_control)
			lease_control_begin_stop(lease_control);
		else
			control_begin_stop(control);
		return;
	}
	s = settings_path ? load(settings_path) : NULL;
	if (!s) {
		log_warning(LOG_MAIN, "SIGHUP: settings cannot be reloaded, "
				      "earlier settings stay in force");
		return;
	}
	if (lease_control)
		lease_control_reload(lease_control, s);
	else
		control_reload(control, s);
	talloc_free(s);
}

static bool is_stopped(void)
{
	return lease_control ? lease_control_is_stopped(lease_control)
			     : control_is_stopped(control);
}

static void loop(struct tevent_context *ev, TALLOC_CTX *mem)
{
	/*
	 * tevent restores these dispositions when it removes its handlers, so
	 * that a second signal does not kill the process while it ends.
	 */
	signal(SIGTERM, SIG_IGN);
	signal(SIGINT, SIG_IGN);
	tevent_add_signal(ev, mem, SIGTERM, 0, on_signal, NULL);
	tevent_add_signal(ev, mem, SIGINT, 0, on_signal, NULL);
	tevent_add_signal(ev, mem, SIGHUP, 0, on_signal, NULL);
	while (!is_stopped())
		if (tevent_loop_once(ev))
			break;
}

/*
 * The connections of callers and targets may need more descriptors than the
 * usual soft limit of 1024.
 */
static void raise_descriptor_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static bool open_log(const struct settings *s)
{
	struct log_options log = {
		.path = s->log_file,
		.module_levels = s->log_modules,
		.instance = s->instance,
		.lines_per_s = (unsigned)s->log_lines_per_s,
	};

	log_parse_level(s->log_level, &log.level);
	if (log_open(&log))
		return true;
	fprintf(stderr,
		"bergamotd: cannot open the log file %s; check log.file\n",
		s->log_file);
	return false;
}

/* Serves with workers of the configuration, called as targets. */
static int serve_targets(const struct settings *s)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	const char *message;

	control = control_create(NULL, ev, s, &message);
	if (!control) {
		log_error(LOG_MAIN, "%s", message);
		talloc_free(ev);
		return EXIT_CODE_START;
	}
	log_info(LOG_MAIN, "instance %s serves callers on %s", s->instance,
		 s->callers_listen);
	loop(ev, control);
	log_info(LOG_MAIN, "stopped");
	control_destroy(control);
	talloc_free(ev);
	return EXIT_CODE_OK;
}

/* Serves with leased workers and the platform's store. */
static int serve_leased(const struct settings *s)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	const char *message;

	lease_control =
		lease_control_create(NULL, ev, s, settings_path, &message);
	if (!lease_control) {
		log_error(LOG_MAIN, "%s", message);
		talloc_free(ev);
		return EXIT_CODE_START;
	}
	log_info(LOG_MAIN,
		 "instance %s serves callers on %s with leased workers, store "
		 "%s, %.2f cores",
		 s->instance, s->callers_listen, s->store_address,
		 s->machine_cores);
	loop(ev, lease_control);
	log_info(LOG_MAIN, "stopped");
	talloc_free(lease_control);
	talloc_free(ev);
	return EXIT_CODE_OK;
}

static int serve(const char *path)
{
	struct settings *s = load(path);
	int code = EXIT_CODE_START;

	if (!s)
		return EXIT_CODE_SETTINGS;
	settings_path = path;
	signal(SIGPIPE, SIG_IGN);
	raise_descriptor_limit();
	if (open_log(s)) {
		code = s->store_address ? serve_leased(s) : serve_targets(s);
		log_close();
	}
	talloc_free(s);
	return code;
}

static int run(const struct arguments *a, void **table, int errors)
{
	const char *path = a->settings->count ? a->settings->filename[0] : NULL;

	if (a->help->count) {
		print_usage(table);
		return EXIT_CODE_OK;
	}
	if (a->version->count) {
		printf("bergamotd " BP_VERSION "\n");
		return EXIT_CODE_OK;
	}
	if (errors) {
		arg_print_errors(stderr, a->end, "bergamotd");
		fprintf(stderr, "Try 'bergamotd --help'.\n");
		return EXIT_CODE_USAGE;
	}
	if (a->check->count)
		return check_settings(a->check->filename[0]);
	if (a->print_markdown->count) {
		settings_print_markdown(stdout);
		return EXIT_CODE_OK;
	}
	if (a->print->count)
		return print_settings(path);
	return serve(path);
}

int main(int argc, char **argv)
{
	struct arguments a = {
		.help = arg_lit0("h", "help", "print this help"),
		.version = arg_lit0(NULL, "version", "print the version"),
		.check = arg_file0(NULL, "check-settings", "FILE",
				   "check a settings file and exit"),
		.print = arg_lit0(NULL, "print-settings",
				  "print the settings in force and exit"),
		.print_markdown = arg_lit0(NULL, "print-settings-table",
					   "print all keys as Markdown"),
		.settings = arg_file0(NULL, NULL, "SETTINGS",
				      "settings file; without one, defaults"),
		.end = arg_end(10),
	};
	void *table[] = { a.help,	    a.version,	a.check, a.print,
			  a.print_markdown, a.settings, a.end };
	int errors = arg_parse(argc, argv, table);
	int code = run(&a, table, errors);

	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
