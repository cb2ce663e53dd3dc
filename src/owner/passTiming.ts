/** Interval between planning passes, and the clock that measures them. */

/** Minimum interval between planning passes, so that a burst of events leads to a single pass. */
const MIN_PLAN_INTERVAL_MS = 8;

/** Added to the interval for each waiting step, so that a long queue does not use the whole processor. */
const PLAN_INTERVAL_PER_STEP_MS = 0.25;

/** Upper bound of that interval, as waiting steps get neither targets nor advice between passes. */
const MAX_PLAN_INTERVAL_MS = 60;

/** Reads a clock in milliseconds that runs while code does. */
export type Stopwatch = () => number;

/** In virtual time code takes no time. */
export const STOPPED: Stopwatch = () => 0;

/**
 * Gets the interval from the beginning of a pass to the next one.
 * @param waitingStepCount - number of steps that wait
 * @returns the interval in milliseconds
 */
export function getPlanIntervalMs(waitingStepCount: number): number {
  const intervalMs = MIN_PLAN_INTERVAL_MS + waitingStepCount * PLAN_INTERVAL_PER_STEP_MS;
  return Math.min(intervalMs, MAX_PLAN_INTERVAL_MS);
}
