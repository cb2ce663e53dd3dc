/**
 * Order in which waiting steps get room: work within its team's rate, the queue's priority, then those
 * that can still be in time before those that cannot, then the objective that ends first.
 */

import type { StepState } from './stepState';

/** A submission still earns up to this many times its objective. */
const LATE_FACTOR = 3;

/** Rank of a step that is past its last chance, behind every other of its priority. */
const RANKS = { inTime: 0, late: 1, lost: 2 } as const;

/** What a step is ordered by, worked out once for a whole sort. */
interface OrderedStep {
  readonly step: StepState;
  readonly excess: number;
  readonly priority: number;
  readonly rank: number;
  readonly dueAtMs: number;
}

function getRank(step: StepState, wallMs: number): number {
  if (step.isStanding || wallMs <= step.dueAtMs) return RANKS.inTime;
  const lostAtMs = step.dueAtMs + (LATE_FACTOR - 1) * step.record.objectiveMs;
  return wallMs <= lostAtMs ? RANKS.late : RANKS.lost;
}

function compare(left: OrderedStep, right: OrderedStep): number {
  return (
    left.excess - right.excess ||
    left.priority - right.priority ||
    left.rank - right.rank ||
    left.dueAtMs - right.dueAtMs
  );
}

/**
 * Sorts waiting steps.
 * @param steps - the steps, in any order
 * @param wallMs - milliseconds since 1970
 * @returns the steps, the one that gets room first at the front
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
    .sort(compare)
    .map(({ step }) => step);
}
