/** Targets that may take a task now, and the choice among them. */

import type { Ticket } from '../types/ids';
import type { TaskDemand } from '../work/types';
import { SUSPECT_FALLBACK_DELAY_MS } from './constants';
import { getPlacementCost, isPlaceable } from './placement';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';

/** A target that may take tasks of a step now. */
export interface Candidate {
  readonly target: TargetState;
  readonly ticket: Ticket | undefined;
}

/** Room as a plan sees it, with what it has already given away. */
export interface RoomView {
  getFree(target: TargetState): TaskDemand;
  /** Tasks of the step that the plan has placed there and not started. */
  getPlacedCount(target: TargetState): number;
}

/** Room as it is charged. */
export const CHARGED_ROOM: RoomView = {
  getFree: (target) => target.free,
  getPlacedCount: () => 0,
};

/**
 * Asks whether one more failure ends the submission.
 * @param step - the step
 * @param index - the task
 * @returns true when the task, or its gang, has failed all but once of what its queue allows
 */
export function isLastAttempt(step: StepState, index: number): boolean {
  if (step.isStanding) return false;
  const failureCount = step.getFailureCount(index);
  return failureCount > 0 && failureCount >= step.record.queue.attemptLimit - 1;
}

/**
 * Asks whether a step has waited so long that it takes what it is otherwise kept from: targets under
 * suspicion. Without it a step whose advised targets have all failed would wait for ever.
 * @param step - the step
 * @param nowMs - our clock
 * @returns true when nothing of it has been started for a while
 */
export function isImpatient(step: StepState, nowMs: number): boolean {
  if (step.readyAtMs === undefined) return false;
  return nowMs > Math.max(step.readyAtMs, step.lastStartAtMs) + SUSPECT_FALLBACK_DELAY_MS;
}

/**
 * Chooses the target of one task.
 * @param step - the step
 * @param isCareful - no target under suspicion will do
 * @param candidates - where it may run
 * @param room - what is left there
 * @returns the candidate of least cost, or undefined when none has room
 */
export function chooseCandidate(
  step: StepState,
  isCareful: boolean,
  candidates: readonly Candidate[],
  room: RoomView = CHARGED_ROOM,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  candidates.forEach((candidate) => {
    const { target } = candidate;
    if (isCareful && target.isSuspect) return;
    const free = room.getFree(target);
    if (!isPlaceable(step, target, free, room.getPlacedCount(target))) return;
    const cost = getPlacementCost(step, target, free);
    if (cost >= bestCost) return;
    best = candidate;
    bestCost = cost;
  });
  return best;
}
