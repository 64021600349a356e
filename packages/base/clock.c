#include "base/clock.h"

#include <sys/time.h>
#include <tevent.h>
#include <time.h>

static uint64_t read_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

uint64_t clock_now_us(void)
{
	return read_us(CLOCK_BOOTTIME);
}

uint64_t clock_now_ms(void)
{
	return clock_now_us() / 1000;
}

uint64_t clock_wall_us(void)
{
	return read_us(CLOCK_REALTIME);
}

/*
 * By default tevent reads the time of day for its timers; setting the clock
 * back by a minute would delay all timers by a minute. The library calls this
 * function through its public name, so this definition overrides its own.
 */
struct timeval tevent_timeval_current(void)
{
	uint64_t now_us = clock_now_us();
	struct timeval now = {
		.tv_sec = (time_t)(now_us / 1000000),
		.tv_usec = (suseconds_t)(now_us % 1000000),
	};

	return now;
}
