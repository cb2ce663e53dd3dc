/** Candidate targets of a task, and the choice among them. */

import type { Ticket } from '../types/ids';
import type { TaskDemand } from '../work/types';
import { SUSPECT_FALLBACK_DELAY_MS } from './constants';
import { getPlacementCost, isPlaceable } from './placement';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';

/** A target on which tasks of a step may be placed now. */
export interface Candidate {
  readonly target: TargetState;
  readonly ticket: Ticket | undefined;
}

/** Free capacity that takes account of tentative placements. */
export interface CapacityView {
  getFree(target: TargetState): TaskDemand;
  /** Number of tasks of the step that are tentatively placed there. */
  getPlacedCount(target: TargetState): number;
}

/** Free capacity without tentative placements. */
export const CURRENT_CAPACITY: CapacityView = {
  getFree: (target) => target.free,
  getPlacedCount: () => 0,
};

/**
 * Checks whether another failure of a task would fail the submission.
 * @param step - the step
 * @param index - the task
 * @returns true when the task, or its gang, has failed before and has one attempt left
 */
export function isLastAttempt(step: StepState, index: number): boolean {
  if (step.isLongRunning) return false;
  const failureCount = step.getFailureCount(index);
  return failureCount > 0 && failureCount >= step.record.queue.attemptLimit - 1;
}

/**
 * Checks whether a step has waited so long that it may use targets it otherwise avoids: suspect targets and
 * those on which starts are paused. Without this fallback a step would starve when all targets approved by
 * the advice service have failed.
 * @param step - the step
 * @param nowMs - elapsed time of this process
 * @returns true when no task of it has been started for some time
 */
export function isStarved(step: StepState, nowMs: number): boolean {
  if (step.readyAtMs === undefined) return false;
  return nowMs > Math.max(step.readyAtMs, step.lastStartAtMs) + SUSPECT_FALLBACK_DELAY_MS;
}

/**
 * Chooses the target of one task.
 * @param step - the step
 * @param isCautious - whether suspect targets are excluded
 * @param candidates - the targets on which the task may run
 * @param capacityView - their free capacity
 * @returns the candidate with the lowest cost, or undefined when the task fits on none
 */
export function chooseCandidate(
  step: StepState,
  isCautious: boolean,
  candidates: readonly Candidate[],
  capacityView: CapacityView = CURRENT_CAPACITY,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  candidates.forEach((candidate) => {
    const { target } = candidate;
    if (isCautious && target.isSuspect) return;
    const free = capacityView.getFree(target);
    if (!isPlaceable(step, target, free, capacityView.getPlacedCount(target))) return;
    const cost = getPlacementCost(step, target, free);
    if (cost >= bestCost) return;
    best = candidate;
    bestCost = cost;
  });
  return best;
}
