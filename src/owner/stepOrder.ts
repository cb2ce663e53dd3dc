/**
 * Order in which waiting steps get room: work within its team's rate, the queue's priority, then those
 * that can still be in time before those that cannot, then the objective that ends first.
 */

import type { OwnerState } from './ownerState';
import type { StepState } from './stepState';

/** A submission still earns up to this many times its objective. */
const LATE_FACTOR = 3;

/** Rank of a step that is past its last chance, behind every other of its priority. */
const RANKS = { inTime: 0, late: 1, lost: 2 } as const;

function getObjectiveMs(step: StepState): number {
  const { queue, submission } = step.record;
  const chainMs = submission.spec.steps.reduce((sum, { estimateMs }) => sum + estimateMs, 0);
  return queue.latencyGoalMs + queue.stretchFactor * chainMs;
}

/**
 * Gets when a step's submission should be done.
 * @param step - the step
 * @returns milliseconds since 1970
 */
export function getDueAtMs(step: StepState): number {
  const { schedule } = step.record.submission.spec;
  const releasedAtMs =
    schedule.kind === 'once'
      ? step.record.submission.acceptedAtMs
      : schedule.firstAtMs + step.occurrence * schedule.intervalMs;
  return releasedAtMs + getObjectiveMs(step);
}

function getRank(state: OwnerState, step: StepState): number {
  if (step.isStanding) return RANKS.inTime;
  const dueAtMs = getDueAtMs(step);
  if (state.wallMs <= dueAtMs) return RANKS.inTime;
  const lostAtMs = dueAtMs + (LATE_FACTOR - 1) * getObjectiveMs(step);
  return state.wallMs <= lostAtMs ? RANKS.late : RANKS.lost;
}

/**
 * Compares two waiting steps.
 * @param state - the owner's tables
 * @param left - one step
 * @param right - another step
 * @returns below 0 when the left one goes first
 */
export function compareSteps(state: OwnerState, left: StepState, right: StepState): number {
  const byRate = Number(left.record.isExcess) - Number(right.record.isExcess);
  if (byRate !== 0) return byRate;
  const byPriority = left.record.queue.priority - right.record.queue.priority;
  if (byPriority !== 0) return byPriority;
  const byRank = getRank(state, left) - getRank(state, right);
  if (byRank !== 0) return byRank;
  return getDueAtMs(left) - getDueAtMs(right);
}
