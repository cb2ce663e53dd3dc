/** Candidate targets of a task, and the choice among them. */

import type { Ticket } from '../types/ids';
import type { TaskDemand } from '../work/types';
import { SUSPECT_FALLBACK_DELAY_MS } from './constants';
import { getPlacementCost, isPlaceable } from './placement';
import type { GetPlacementCost } from './placement';
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

/**
 * The cost of each candidate for the tasks of a step, or of steps with the same placement class. Placing a task changes
 * only the target that it is placed on, so the others keep their cost.
 */
export class CandidateCosts {
  #step: StepState;

  #candidates: readonly Candidate[];

  #capacityView: CapacityView;

  #getPlacementCost: GetPlacementCost;

  /** Undefined where no task of the step fits. */
  #costs: (number | undefined)[];

  #placeableCount = 0;

  #positions: Map<TargetState, number> | undefined;

  /**
   * @param step - the step
   * @param candidates - the targets on which its tasks may run
   * @param capacityView - their free capacity
   * @param getCost - computes the cost of a placement
   */
  constructor(
    step: StepState,
    candidates: readonly Candidate[],
    capacityView: CapacityView = CURRENT_CAPACITY,
    getCost: GetPlacementCost = getPlacementCost,
  ) {
    this.#getPlacementCost = getCost;
    this.#step = step;
    this.#candidates = candidates;
    this.#capacityView = capacityView;
    this.#costs = candidates.map(({ target }) => this.#getCost(target));
    this.#costs.forEach((cost) => {
      if (cost !== undefined) this.#placeableCount += 1;
    });
  }

  /** Whether no further task fits on any candidate. */
  get isExhausted(): boolean {
    return this.#placeableCount === 0;
  }

  /**
   * Chooses the target of one task, the same as {@link chooseCandidate}.
   * @param isCautious - whether suspect targets are excluded
   * @param place - places the task on the candidate
   * @returns false when the task fits on none
   */
  tryPlace(isCautious: boolean, place: (candidate: Candidate) => void): boolean {
    if (this.isExhausted) return false;
    let best = -1;
    let bestCost = Number.POSITIVE_INFINITY;
    this.#costs.forEach((cost, position) => {
      if (cost === undefined || cost >= bestCost) return;
      if (isCautious && this.#candidates[position]?.target.isSuspect === true) return;
      best = position;
      bestCost = cost;
    });
    const chosen = this.#candidates[best];
    if (chosen === undefined) return false;
    place(chosen);
    this.#updateAt(best, chosen.target);
    return true;
  }

  /**
   * Follows a placement that was not made through this object.
   * @param target - a target that now has less capacity
   */
  update(target: TargetState): void {
    this.#positions ??= new Map(
      this.#candidates.map((candidate, position) => [candidate.target, position]),
    );
    const position = this.#positions.get(target);
    if (position !== undefined) this.#updateAt(position, target);
  }

  #updateAt(position: number, target: TargetState): void {
    if (this.#costs[position] === undefined) return;
    const cost = this.#getCost(target);
    this.#costs[position] = cost;
    if (cost === undefined) this.#placeableCount -= 1;
  }

  #getCost(target: TargetState): number | undefined {
    const free = this.#capacityView.getFree(target);
    if (!isPlaceable(this.#step, target, free, this.#capacityView.getPlacedCount(target)))
      return undefined;
    return this.#getPlacementCost(this.#step, target, free);
  }
}
