/** Durations of the runs of one step, and what they tell about its remaining tasks. */

import { limitForecast, toLog } from './durationModel';
import type { LogForecast } from './durationModel';
import type { TargetRun } from './targetSpeeds';

/** Standard deviation between tasks of one step, as a logarithm; in the deployments it is 0.15 to 0.3. */
const TASK_DEVIATION = 0.25;

/** The 0.9 quantile of that, for a normal distribution. */
const TASK_MARGIN = 1.28 * TASK_DEVIATION;

/** Bounds of the weight of the group's forecast against that of one ended task. */
const MIN_PRIOR_WEIGHT = 0.1;
const MAX_PRIOR_WEIGHT = 4;

/** Tasks of a step whose targets are compared; a step may have 20,000. */
const MAX_COMPARED_RUNS = 64;

/** What a step adds to its groups: the mean of its ended tasks, or a lower bound when not all have ended. */
export interface StepObservation {
  readonly durationMs: number;
  readonly isBound: boolean;
}

/** Durations of the runs that have ended, on a target of usual speed. */
export class StepDurations {
  #doneCount = 0;

  #doneMs = 0;

  #boundCount = 0;

  #boundMs = 0;

  #isTaken = false;

  #runs: TargetRun[] = [];

  /** Number of runs that have ended as done. */
  get doneCount(): number {
    return this.#doneCount;
  }

  /** Mean duration of these; undefined before the first. */
  get meanMs(): number | undefined {
    return this.#doneCount === 0 ? undefined : this.#doneMs / this.#doneCount;
  }

  /** The first of these with their targets. */
  get runs(): readonly TargetRun[] {
    return this.#runs;
  }

  /**
   * Adds a run that has ended as done.
   * @param durationMs - its duration on a target of usual speed
   * @param run - its target and its duration there, if targets are to be compared
   */
  addDone(durationMs: number, run?: TargetRun): void {
    if (run !== undefined && this.#runs.length < MAX_COMPARED_RUNS) this.#runs.push(run);
    this.#doneCount += 1;
    this.#doneMs += durationMs;
  }

  /**
   * Adds a run that has ended in another way or was not seen from its start.
   * @param durationMs - how long it has lasted at least
   */
  addBound(durationMs: number): void {
    this.#boundCount += 1;
    this.#boundMs += durationMs;
  }

  /**
   * Takes the observation of the step for its groups; a step is one observation, whatever its number of tasks.
   * @param isDone - whether all its tasks are done
   * @returns the observation; undefined when there is none or it has been taken
   */
  takeObservation(isDone: boolean): StepObservation | undefined {
    if (this.#isTaken) return undefined;
    this.#isTaken = true;
    const { meanMs } = this;
    // The tasks that have ended first are the short ones.
    if (meanMs !== undefined) return { durationMs: meanMs, isBound: !isDone };
    if (this.#boundCount === 0) return undefined;
    return { durationMs: this.#boundMs / this.#boundCount, isBound: true };
  }
}

/**
 * Combines the forecast of a step's group with the runs of the step. The mean of ended tasks takes the place of the
 * group's forecast by the weights of both. A run that has lasted longer than that counts as a task that ends now.
 * @param group - the group's forecast
 * @param x - logarithm of the caller's estimate
 * @param durations - runs of the step that have ended
 * @param runningMs - how long the others have lasted
 * @returns the forecast for a task of the step
 */
export function combineForecast(
  group: LogForecast,
  x: number,
  durations: Pick<StepDurations, 'doneCount' | 'meanMs'>,
  runningMs: readonly number[],
): LogForecast {
  const { doneCount, meanMs } = durations;
  const ratio = (TASK_DEVIATION / Math.max(group.deviation, Number.MIN_VALUE)) ** 2;
  let weight = Math.min(Math.max(ratio, MIN_PRIOR_WEIGHT), MAX_PRIOR_WEIGHT);
  const priorWeight = weight;
  let sum = weight * group.expected;
  if (meanMs !== undefined) {
    sum += doneCount * toLog(meanMs);
    weight += doneCount;
  }
  const known = sum / weight;
  runningMs.forEach((elapsedMs) => {
    const elapsed = toLog(elapsedMs);
    if (elapsed <= known) return;
    sum += elapsed;
    weight += 1;
  });
  const expected = limitForecast(sum / weight, x);
  // The group's quantile tells how steps differ; with the step's own runs, only the differences of its tasks remain.
  const groupShare = priorWeight / weight;
  const margin = groupShare * (group.quantile - group.expected) + (1 - groupShare) * TASK_MARGIN;
  return {
    expected,
    quantile: limitForecast(expected + Math.max(0, margin), x),
    deviation: groupShare * group.deviation + (1 - groupShare) * TASK_DEVIATION,
  };
}
