#include "base/timeline.h"

#include <inttypes.h>
#include <stdio.h>

#include "base/clock.h"
#include "base/json_text.h"
#include "base/line_sink.h"

#define QUEUE_LINES 65536
#define LINE_BYTES 1024
#define FIELD_BYTES 256

static struct line_sink *sink;
static char origin[FIELD_BYTES];

bool timeline_open(const struct timeline_options *options)
{
	if (!options->path)
		return true;
	sink = sink_open(options->path, QUEUE_LINES);
	if (!sink)
		return false;
	snprintf(origin, sizeof(origin),
		 "\"instance\":\"%s\",\"data_centre\":\"%s\","
		 "\"incarnation\":\"%016" PRIx64 "\"",
		 options->instance, options->data_centre, options->incarnation);
	return true;
}

void timeline_close(void)
{
	sink_close(sink);
	sink = NULL;
}

bool timeline_enabled(void)
{
	return sink != NULL;
}

static int append_field(char *line, int len, const char *name,
			const char *value)
{
	char quoted[FIELD_BYTES];

	if (!value)
		return len;
	json_text_quote(quoted, sizeof(quoted), value);
	return len + snprintf(line + len, (size_t)(LINE_BYTES - len),
			      ",\"%s\":%s", name, quoted);
}

void timeline_write(const struct timeline_event *event)
{
	/* Has space for the origin and up to four fields of FIELD_BYTES. */
	char line[LINE_BYTES + FIELD_BYTES];
	int len;

	if (!sink)
		return;
	len = snprintf(line, LINE_BYTES,
		       "{\"wall_us\":%" PRIu64 ",\"mono_us\":%" PRIu64 ",%s,"
		       "\"event\":\"%s\"",
		       clock_wall_us(), clock_now_us(), origin, event->event);
	len = append_field(line, len, "job", event->job);
	if (event->task != TIMELINE_NO_TASK)
		len += snprintf(line + len, (size_t)(LINE_BYTES - len),
				",\"task\":%d", event->task);
	len = append_field(line, len, "worker", event->worker);
	len = append_field(line, len, "detail", event->detail);
	line[len++] = '}';
	line[len] = '\0';
	sink_put(sink, line);
}
