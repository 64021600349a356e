#include "base/log.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <log4c.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/json_text.h"
#include "base/line_sink.h"
#include "base/token_bucket.h"

#define DEFAULT_QUEUE_LINES 8192
#define LINE_BYTES 2048 /* longer lines are truncated */
#define DROP_REPORT_MS 1000 /* least time between reports */

static const struct {
	const char *word;
	int priority;
} levels[] = {
	[LOG_LEVEL_ERROR] = { "error", LOG4C_PRIORITY_ERROR },
	[LOG_LEVEL_WARNING] = { "warning", LOG4C_PRIORITY_WARN },
	[LOG_LEVEL_INFO] = { "info", LOG4C_PRIORITY_INFO },
	[LOG_LEVEL_DEBUG] = { "debug", LOG4C_PRIORITY_DEBUG },
};

static const char *const module_names[LOG_MODULE_COUNT] = {
#define LOG_MODULE_NAME(id, name) [LOG_##id] = (name),
	LOG_MODULE_TABLE(LOG_MODULE_NAME)
#undef LOG_MODULE_NAME
};

static log4c_category_t *categories[LOG_MODULE_COUNT];
static struct line_sink *sink;
static char instance_name[64];

/* Rate limit of lines below warning. */
static struct {
	pthread_mutex_t lock;
	bool limited;
	struct token_bucket bucket;
	uint64_t dropped; /* lines since the last report */
	uint64_t reported_ms;
} rate = { .lock = PTHREAD_MUTEX_INITIALIZER };

static const char *level_word(int priority)
{
	for (size_t i = 0; i < sizeof(levels) / sizeof(levels[0]); i++)
		if (levels[i].priority >= priority)
			return levels[i].word;
	return "debug";
}

static const char *format_json(const log4c_layout_t *layout,
			       const log4c_logging_event_t *event)
{
	static _Thread_local char line[LINE_BYTES];
	char text[LINE_BYTES - 256];

	(void)layout;
	json_text_quote(text, sizeof(text), event->evt_msg);
	snprintf(line, sizeof(line),
		 "{\"wall_us\":%llu,\"mono_ms\":%llu,\"level\":\"%s\","
		 "\"module\":\"%s\",\"instance\":\"%s\",\"message\":%s}",
		 (unsigned long long)clock_wall_us(),
		 (unsigned long long)clock_now_ms(),
		 level_word(event->evt_priority), event->evt_category,
		 instance_name, text);
	return line;
}

static int append_to_sink(log4c_appender_t *appender,
			  const log4c_logging_event_t *event)
{
	(void)appender;
	return sink_put(sink, event->evt_rendered_msg) ? 0 : -1;
}

static const log4c_layout_type_t json_layout = {
	.name = "bergamot_json",
	.format = format_json,
};

static const log4c_appender_type_t sink_appender = {
	.name = "bergamot_sink",
	.append = append_to_sink,
};

bool log_parse_level(const char *word, enum log_level *level)
{
	for (size_t i = 0; i < sizeof(levels) / sizeof(levels[0]); i++) {
		if (!strcmp(levels[i].word, word)) {
			*level = (enum log_level)i;
			return true;
		}
	}
	return false;
}

static void set_module_level(const char *name, const char *word)
{
	enum log_level level;

	if (!log_parse_level(word, &level))
		return;
	for (int i = 0; i < LOG_MODULE_COUNT; i++)
		if (!strcmp(module_names[i], name))
			log4c_category_set_priority(categories[i],
						    levels[level].priority);
}

static void set_module_levels(const char *list)
{
	char *copy = strdup(list);
	char *rest = NULL;

	if (!copy)
		abort();
	for (char *item = strtok_r(copy, ",", &rest); item;
	     item = strtok_r(NULL, ",", &rest)) {
		char *word = strchr(item, '=');

		if (!word)
			continue;
		*word++ = '\0';
		set_module_level(item, word);
	}
	free(copy);
}

bool log_open(const struct log_options *options)
{
	unsigned lines = options->queue_lines;
	log4c_appender_t *appender;

	sink = sink_open(options->path, lines ? lines : DEFAULT_QUEUE_LINES);
	if (!sink)
		return false;
	snprintf(instance_name, sizeof(instance_name), "%s",
		 options->instance ? options->instance : "");
	log4c_layout_type_set(&json_layout);
	log4c_appender_type_set(&sink_appender);
	appender = log4c_appender_get("bergamot");
	log4c_appender_set_type(appender, &sink_appender);
	log4c_layout_t *layout = log4c_layout_get("bergamot");
	log4c_layout_set_type(layout, &json_layout);
	log4c_appender_set_layout(appender, layout);
	/* Create all categories here, since creation is not thread safe. */
	for (int i = 0; i < LOG_MODULE_COUNT; i++) {
		categories[i] = log4c_category_get(module_names[i]);
		log4c_category_set_appender(categories[i], appender);
		log4c_category_set_additivity(categories[i], 0);
		log4c_category_set_priority(categories[i],
					    levels[options->level].priority);
	}
	if (options->module_levels)
		set_module_levels(options->module_levels);
	rate.limited = options->lines_per_s != 0;
	rate.dropped = 0;
	bucket_init(&rate.bucket, options->lines_per_s, 0, clock_now_ms());
	return true;
}

void log_close(void)
{
	struct line_sink *closing = sink;

	memset(categories, 0, sizeof(categories));
	sink = NULL;
	sink_close(closing);
}

/*
 * Takes a token for one line from the rate limit; returns false when the line
 * must be dropped. Sets *dropped to the number of lines to report as dropped
 * before this line, or to 0 when no report is due.
 */
static bool take_rate_token(uint64_t *dropped)
{
	uint64_t now_ms = clock_now_ms();
	bool taken;

	*dropped = 0;
	pthread_mutex_lock(&rate.lock);
	taken = bucket_take(&rate.bucket, 1, 0, now_ms);
	if (!taken) {
		rate.dropped++;
	} else if (rate.dropped &&
		   now_ms - rate.reported_ms >= DROP_REPORT_MS) {
		*dropped = rate.dropped;
		rate.dropped = 0;
		rate.reported_ms = now_ms;
	}
	pthread_mutex_unlock(&rate.lock);
	if (!taken)
		counter_add(COUNTER_LOG_DROPPED, 1);
	return taken;
}

void log_write(enum log_module module, enum log_level level, const char *format,
	       ...)
{
	log4c_category_t *category = categories[module];
	uint64_t dropped = 0;
	va_list args;

	if (!category || !log4c_category_is_priority_enabled(
				 category, levels[level].priority))
		return;
	if (rate.limited && level > LOG_LEVEL_WARNING &&
	    !take_rate_token(&dropped))
		return;
	if (dropped)
		log_warning(LOG_MAIN,
			    "%" PRIu64
			    " log lines dropped: log.lines_per_s exceeded",
			    dropped);
	va_start(args, format);
	log4c_category_vlog(category, levels[level].priority, format, args);
	va_end(args);
}
