#ifndef BASE_LINE_SINK_H
#define BASE_LINE_SINK_H

#include <stdbool.h>
#include <stddef.h>

/*
 * A bounded queue of text lines with a writer thread behind it. Logs and the
 * time line use one each.
 */

struct line_sink;

/*
 * path "-" means standard error, "stdout" standard output. limit is in lines.
 * NULL on failure.
 */
struct line_sink *sink_open(const char *path, size_t limit);

/* Queues a copy of line, to which a newline is added; false when full. */
bool sink_put(struct line_sink *sink, const char *line);

/*
 * Writes what is queued, then closes and frees. A target that takes nothing
 * for a second is given up. NULL is allowed.
 */
void sink_close(struct line_sink *sink);

#endif
