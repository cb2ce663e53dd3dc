/** Expected duration of tasks: the one place that order, admission, placement and forecasts ask. */

import type { StepState } from './stepState';

/**
 * Gets how long a run of a task of a step is expected to take on a target of usual speed.
 * @param step - the step; lasting steps have no duration
 * @returns the duration in milliseconds: what has been learnt, or else the caller's estimate
 */
export function getExpectedDurationMs(step: StepState): number {
  return step.record.durations?.getForecast(step)?.expectedMs ?? step.spec.estimateMs;
}

/**
 * Gets the duration that nine of ten runs of a task of a step are expected not to exceed.
 * @param step - the step
 * @returns the duration in milliseconds; undefined while there are too few observations
 */
export function getDurationQuantileMs(step: StepState): number | undefined {
  return step.record.durations?.getForecast(step)?.quantileMs;
}

/**
 * Gets the duration that nine of ten steps of the same kind are expected not to exceed, so that the runs of a step can
 * be compared with it.
 * @param step - the step
 * @returns the duration in milliseconds; undefined while there are too few observations
 */
export function getUsualQuantileMs(step: StepState): number | undefined {
  return step.record.durations?.getForecast(step)?.groupQuantileMs;
}
