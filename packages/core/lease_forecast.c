#include "core/lease_forecast.h"

#include <math.h>

/* Decay time of the rate: a burst shows in it, a single large job does not. */
#define INFLOW_DECAY_MS 1000.0
/* Arrivals vary: at least this share of the processors counts as available. */
#define MIN_LEFT_SHARE 0.1
#define MAX_WAIT_MS 1e6

static void decay(struct lease_forecast *forecast, uint64_t now_ms)
{
	double factor =
		exp(-(double)(now_ms - forecast->decayed_ms) / INFLOW_DECAY_MS);

	for (int p = 0; p < FORECAST_PRIORITIES; p++)
		forecast->inflow[p] *= factor;
	forecast->decayed_ms = now_ms;
}

static uint32_t priority_index(uint32_t priority)
{
	return priority < FORECAST_PRIORITIES ? priority
					      : FORECAST_PRIORITIES - 1;
}

void forecast_note_arrival(struct lease_forecast *forecast, uint32_t priority,
			   double work, uint64_t now_ms)
{
	decay(forecast, now_ms);
	forecast->inflow[priority_index(priority)] += work / INFLOW_DECAY_MS;
}

void forecast_set_usable(struct lease_forecast *forecast, double milli)
{
	forecast->usable = milli;
}

uint64_t forecast_wait_ms(struct lease_forecast *forecast, uint32_t priority,
			  bool late, double work, uint64_t now_ms)
{
	uint32_t overtaking =
		late ? FORECAST_PRIORITIES : priority_index(priority);
	double left = forecast->usable;
	double wait_ms;

	decay(forecast, now_ms);
	for (uint32_t p = 0; p < overtaking; p++)
		left -= forecast->inflow[p];
	if (left < forecast->usable * MIN_LEFT_SHARE)
		left = forecast->usable * MIN_LEFT_SHARE;
	if (work <= 0)
		return 0;
	wait_ms = left > 0 ? work / left : MAX_WAIT_MS;
	return (uint64_t)(wait_ms < MAX_WAIT_MS ? wait_ms : MAX_WAIT_MS);
}
