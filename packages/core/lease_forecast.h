#ifndef CORE_LEASE_FORECAST_H
#define CORE_LEASE_FORECAST_H

#include <stdbool.h>
#include <stdint.h>

/*
 * How long a job of a service will wait, so that one which cannot be served in
 * time is refused at once and not when its time is up.
 *
 * A job waits for the work ahead of it and for what arrives meanwhile and goes
 * before it: arrivals of a higher priority, or once it is late, all arrivals.
 * It answers the load of a burst that lasts for seconds: the work ahead of a
 * job of low priority is small then, yet its turn does not come.
 *
 * Work is in thousandths of a core x ms, so that work by processors is a time.
 */

#define FORECAST_PRIORITIES 8 /* the last one stands for all below it */

struct lease_forecast {
	double inflow[FORECAST_PRIORITIES]; /* thousandths of a core, decaying
					     */
	double usable; /* thousandths of a core that tasks can use */
	uint64_t decayed_ms; /* as of when inflow holds */
};

/* Counts an arrival's work. */
void forecast_note_arrival(struct lease_forecast *forecast, uint32_t priority,
			   double work, uint64_t now_ms);

/* Sets the processors in use, with the workers' speeds and packing counted. */
void forecast_set_usable(struct lease_forecast *forecast, double milli);

/*
 * Expected wait in ms for a job with that much work ahead of it. late: all
 * that can still be on time goes before it.
 */
uint64_t forecast_wait_ms(struct lease_forecast *forecast, uint32_t priority,
			  bool late, double work, uint64_t now_ms);

#endif
