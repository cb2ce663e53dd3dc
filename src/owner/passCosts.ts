/**
 * Costs of targets during one scheduling pass. Steps of the same placement class share them, so that each target is
 * examined once per class and again only when a task has been placed on it.
 */

import type { TaskDemand } from '../work/types';
import { CandidateCosts } from './candidates';
import type { Candidate } from './candidates';
import { Roominess } from './roominess';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';

/** Costs with the number of placements that they take account of. */
interface SharedCosts {
  readonly costs: CandidateCosts;
  placementCount: number;
}

/** Shares costs among the steps of a pass. */
export class PassCosts {
  #roominess = new Roominess(({ isPlannable }) => isPlannable);

  /** By the targets that the steps may use, and then by placement class. */
  #byTargets = new Map<readonly TargetState[], Map<string, SharedCosts>>();

  #placed: TargetState[] = [];

  /** Costs that have been found to be exhausted. */
  #exhausted = new Set<CandidateCosts>();

  /** Whether tasks of a step of this pass found no place; before that no step is worth the check. */
  isScarce = false;

  /**
   * Checks whether a task may fit on any of the targets, which rules out most steps in a full fleet.
   * @param targets - the targets, always the same array for the same targets
   * @param charge - its demand
   * @returns false when it fits on none
   */
  mayFit(targets: readonly TargetState[], charge: TaskDemand): boolean {
    return !this.isScarce || this.#roominess.mayFit(targets, charge);
  }

  /**
   * Records a placement.
   * @param target - the target that now has less capacity
   */
  onPlaced(target: TargetState): void {
    this.#placed.push(target);
  }

  /**
   * Gets the costs for a step whose tasks differ from those of other steps of its class in nothing that placement
   * depends on.
   * @param step - the step
   * @param targets - the targets that it may use, always the same array for the same targets
   * @param placementClass - the class
   * @param getCandidates - gets the targets among these on which its tasks may be placed now
   * @returns the present costs
   */
  get(
    step: StepState,
    targets: readonly TargetState[],
    placementClass: string,
    getCandidates: () => readonly Candidate[],
  ): CandidateCosts {
    const byClass = this.#byTargets.get(targets) ?? new Map<string, SharedCosts>();
    this.#byTargets.set(targets, byClass);
    const shared = byClass.get(placementClass) ?? {
      costs: new CandidateCosts(step, getCandidates()),
      placementCount: this.#placed.length,
    };
    byClass.set(placementClass, shared);
    for (; shared.placementCount < this.#placed.length; shared.placementCount += 1) {
      const target = this.#placed[shared.placementCount];
      if (target !== undefined) shared.costs.update(target);
    }
    return shared.costs;
  }

  /**
   * Records that a step has been placed as far as possible.
   * @param targets - the targets that it may use
   * @param costs - the costs that it shares with others
   */
  onStepPlaced(targets: readonly TargetState[], costs: CandidateCosts): void {
    if (!costs.isExhausted || this.#exhausted.has(costs)) return;
    this.#exhausted.add(costs);
    this.#roominess.onNotFitting(targets);
  }
}
