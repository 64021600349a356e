#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

/*
 * Clocks. Decisions use the monotonic clock only, and its readings are never
 * compared between instances; the wall clock appears in logs, and makes a first
 * claim to lead higher than those of earlier lives (core/leader_member.h).
 *
 * Timers of tevent run on the monotonic clock, too, in each program that links
 * this module.
 */

/* Milliseconds on the monotonic clock, from an arbitrary start. */
uint64_t clock_now_ms(void);

/* Microseconds on the monotonic clock, for measurements. */
uint64_t clock_now_us(void);

/* Microseconds since the Unix epoch, for logs and time lines. */
uint64_t clock_wall_us(void);

#endif
