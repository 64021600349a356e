#ifndef CORE_LEASE_FORECAST_H
#define CORE_LEASE_FORECAST_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Predicts how long a job of a service will wait, so that a job which cannot be
 * served in time is refused at once and not at its deadline.
 *
 * A job waits for the work ahead of it and for later arrivals that start before
 * it: those of a higher priority or, once the job is late, all of them. Later
 * arrivals matter in bursts that last for seconds: there the work ahead of a
 * low-priority job is small, yet jobs of higher priority keep overtaking it.
 *
 * Work is in thousandths of a core x ms; divided by thousandths of a core it
 * gives a time in ms.
 */

#define FORECAST_PRIORITIES 8 /* the last one counts all lower priorities */

struct lease_forecast {
	/* Decaying rate of arriving work, in thousandths of a core. */
	double inflow[FORECAST_PRIORITIES];
	double usable; /* thousandths of a core that tasks can use */
	uint64_t decayed_ms; /* time of the last decay of inflow */
};

/* Adds the work of an admitted job to the arrival rate of its priority. */
void forecast_note_arrival(struct lease_forecast *forecast, uint32_t priority,
			   double work, uint64_t now_ms);

/*
 * Sets the usable processors in thousandths of a core, corrected for the
 * workers' speeds and for packing.
 */
void forecast_set_usable(struct lease_forecast *forecast, double milli);

/*
 * Returns the expected wait in ms of a job with that much work ahead of it.
 * With late, the job has missed its objective and all arrivals overtake it.
 */
uint64_t forecast_wait_ms(struct lease_forecast *forecast, uint32_t priority,
			  bool late, double work, uint64_t now_ms);

#endif
