/**
 * Scheduling order of waiting steps: steps within their team's rate first, then by priority of the queue, then
 * by lateness rank, then earliest deadline first.
 */

import type { StepState } from './stepState';

/** A submission that ends within this many times its objective is late but still counts; after that it is missed. */
const MISSED_FACTOR = 3;

/** Lateness ranks; steps beyond {@link MISSED_FACTOR} come after all others of their priority. */
const RANKS = { inTime: 0, late: 1, lost: 2 } as const;

/** Sort keys of a step, computed once per sort. */
interface StepSortKeys {
  readonly step: StepState;
  readonly excess: number;
  readonly priority: number;
  readonly rank: number;
  readonly dueAtMs: number;
}

function getRank(step: StepState, wallMs: number): number {
  if (step.isLongRunning || wallMs <= step.dueAtMs) return RANKS.inTime;
  const missedAtMs = step.dueAtMs + (MISSED_FACTOR - 1) * step.record.objectiveMs;
  return wallMs <= missedAtMs ? RANKS.late : RANKS.lost;
}

function compareSteps(left: StepSortKeys, right: StepSortKeys): number {
  return (
    left.excess - right.excess ||
    left.priority - right.priority ||
    left.rank - right.rank ||
    left.dueAtMs - right.dueAtMs
  );
}

/**
 * Sorts waiting steps into scheduling order.
 * @param steps - the steps, in any order
 * @param wallMs - milliseconds since 1970
 * @returns the steps, the one to schedule first at the front
 */
export function sortSteps(steps: readonly StepState[], wallMs: number): StepState[] {
  return steps
    .map((step) => ({
      step,
      excess: Number(step.record.isExcess),
      priority: step.record.queue.priority,
      rank: getRank(step, wallMs),
      dueAtMs: step.dueAtMs,
    }))
    .sort(compareSteps)
    .map(({ step }) => step);
}
