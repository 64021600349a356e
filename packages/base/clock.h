#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

/*
 * Clocks. Decisions use the monotonic clock only. Its readings are not compared
 * between instances, but for a lower bound of an order's age (leader_clock_of).
 * It includes time in which the machine was suspended: what others may take for
 * granted lapses meanwhile. The wall clock is used in logs and in an instance's
 * first claim to leadership, which it makes higher than the claims of earlier
 * incarnations (core/leader_member.h).
 *
 * tevent timers also run on the monotonic clock in each program that links
 * this module.
 */

/* Monotonic time in milliseconds since an arbitrary start. */
uint64_t clock_now_ms(void);

/* Monotonic time in microseconds, for measurements. */
uint64_t clock_now_us(void);

/* Wall clock time in microseconds since the Unix epoch, for logs. */
uint64_t clock_wall_us(void);

#endif
