#ifndef BASE_LINE_SINK_H
#define BASE_LINE_SINK_H

#include <stdbool.h>
#include <stddef.h>

/*
 * A bounded queue of text lines, written to a file by a thread. The log and
 * the time line have one sink each.
 */

struct line_sink;

/*
 * Opens a file for appending and starts the writer thread. path "-" or NULL
 * means standard error, "stdout" standard output. limit is the queue's length
 * in lines. Returns NULL when the file cannot be opened or the thread cannot
 * be started.
 */
struct line_sink *sink_open(const char *path, size_t limit);

/*
 * Queues a copy of line, which is written with a newline added. Returns false
 * and counts the line in log_dropped when the queue is full. Never blocks on
 * the file.
 */
bool sink_put(struct line_sink *sink, const char *line);

/*
 * Writes the queued lines, then closes the file and frees the sink. Gives up
 * when the writer has not finished after 1 s, because its file blocks; the
 * writer then frees the sink if it ever finishes. NULL is allowed.
 */
void sink_close(struct line_sink *sink);

#endif
