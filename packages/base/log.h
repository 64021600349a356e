#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Logs as JSON lines through log4c. A line goes to a bounded queue that a
 * writer thread empties, so that a slow log file never blocks a caller. Lines
 * are dropped and counted (log_dropped) when the queue is full, and, below
 * warning, when they exceed the rate limit. A warning reports the number of
 * lines dropped by the rate limit, at most once a second.
 *
 * Never log secrets: neither request bodies nor tokens.
 */

enum log_level {
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARNING,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG,
};

#define LOG_MODULE_TABLE(X)                                                    \
	X(MAIN, "main")                                                        \
	X(JOB, "job")                                                          \
	X(DISPATCH, "dispatch")                                                \
	X(MEMBER, "member")                                                    \
	X(CONFIG, "config")                                                    \
	X(PLAN, "plan")                                                        \
	X(CALLER, "caller")                                                    \
	X(TARGET, "target")                                                    \
	X(PEER, "peer")                                                        \
	X(PLATFORM, "platform")

enum log_module {
#define LOG_MODULE_ENUM(id, name) LOG_##id,
	LOG_MODULE_TABLE(LOG_MODULE_ENUM)
#undef LOG_MODULE_ENUM
		LOG_MODULE_COUNT
};

struct log_options {
	const char *path; /* "-" or NULL means standard error */
	enum log_level level;
	const char *module_levels; /* "job=debug,peer=error"; may be NULL */
	const char *instance;
	unsigned queue_lines; /* 0 means 8192 */
	unsigned lines_per_s; /* below warning; 0 means no limit */
};

/* Opens the log; false when the file cannot be opened. */
bool log_open(const struct log_options *options);

/* Writes the queued lines and closes the log. */
void log_close(void);

/* Parses "error", "warning", "info" or "debug"; false for other words. */
bool log_parse_level(const char *word, enum log_level *level);

/* Queues a line, from any thread; never blocks on the log file. */
void log_write(enum log_module module, enum log_level level, const char *format,
	       ...) __attribute__((format(printf, 3, 4)));

#define log_error(module, ...) log_write(module, LOG_LEVEL_ERROR, __VA_ARGS__)
#define log_warning(module, ...)                                               \
	log_write(module, LOG_LEVEL_WARNING, __VA_ARGS__)
#define log_info(module, ...) log_write(module, LOG_LEVEL_INFO, __VA_ARGS__)
#define log_debug(module, ...) log_write(module, LOG_LEVEL_DEBUG, __VA_ARGS__)

#endif
