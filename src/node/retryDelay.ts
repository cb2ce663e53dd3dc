/**
 * Chooses the Retry-After of a submission that cannot be stored.
 *
 * Load pattern: the store is away for several seconds while submissions keep arriving. A caller repeats a submission
 * only a few times, so that with a fixed delay of one second all its attempts end before the store is back.
 */

import { getLongestChainMs } from '../durations/chain';
import type { Submission } from '../work/types';

const MIN_DELAY_MS = 1_000;

/** A submission counts, if late, for three times its objective: one that returns within a third of it loses little. */
const OBJECTIVE_FRACTION = 1 / 3;

/** Upper bound of the delay however short the objective is: with four repetitions a caller outlasts 6 s. */
const MIN_BOUND_MS = 2_000;

/** Upper bound of the delay however long the objective is: a caller may have less patience. */
const MAX_BOUND_MS = 10_000;

/**
 * Gets the delay after which a caller should send a submission again. An outage that has lasted some time is expected
 * to last about as long again.
 * @param outageMs - for how long the store has not been reached; 0 while it is
 * @param objectiveMs - the objective of the submission; undefined when it has none
 * @returns the delay in milliseconds
 */
export function getRetryDelayMs(outageMs: number, objectiveMs: number | undefined): number {
  const boundMs = Math.min(
    MAX_BOUND_MS,
    Math.max(MIN_BOUND_MS, (objectiveMs ?? 0) * OBJECTIVE_FRACTION),
  );
  return Math.max(MIN_DELAY_MS, Math.min(outageMs, boundMs));
}

/**
 * Gets the objective of a submission by the estimates of its caller.
 * @param submission - the submission
 * @returns the time from its acceptance in which it, or each of its occurrences, should end
 */
export function getObjectiveMs({ queue, spec: { steps } }: Submission): number {
  const chainMs = getLongestChainMs(steps, (number) => steps[number]?.estimateMs ?? 0);
  return queue.latencyGoalMs + queue.stretchFactor * chainMs;
}
