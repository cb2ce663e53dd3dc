/**
 * Costs of targets during one scheduling pass. Steps of the same placement class share them, so that each target is
 * examined once per class and again only when a task has been placed on it.
 */

import type { TaskDemand } from '../work/types';
import { CandidateCosts } from './candidates';
import type { Candidate } from './candidates';
import { RoomyTargets } from './roomyTargets';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';

/** Costs with the number of placements that they take account of. */
interface SharedCosts {
  readonly costs: CandidateCosts;
  placementCount: number;
}

/** Computes the costs of a step's candidates. */
export type CreateCosts = (step: StepState, candidates: readonly Candidate[]) => CandidateCosts;

/** Shares costs among the steps of a pass. */
export class PassCosts {
  #roomyTargets = new RoomyTargets(({ isPlannable }) => isPlannable);

  /** By the targets that the steps may use, and then by placement class. */
  #byTargets = new Map<readonly TargetState[], Map<string, SharedCosts>>();

  #placed: TargetState[] = [];

  #createCosts: CreateCosts;

  /**
   * @param createCosts - computes the costs of a step's candidates
   */
  constructor(
    createCosts: CreateCosts = (step, candidates) => new CandidateCosts(step, candidates),
  ) {
    this.#createCosts = createCosts;
  }

  /** Whether several steps may compete for room; a single one examines the targets itself. */
  isScarce = false;

  /**
   * Gets the targets that have to be examined for a step.
   * @param targets - the targets that it may use, always the same array for the same targets
   * @param charge - its demand
   * @returns all of them on which its tasks fit, and perhaps others, in the same order
   */
  getRoomy(targets: readonly TargetState[], charge: TaskDemand): readonly TargetState[] {
    return this.isScarce ? this.#roomyTargets.get(targets, charge) : targets;
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
      costs: this.#createCosts(step, getCandidates()),
      placementCount: this.#placed.length,
    };
    byClass.set(placementClass, shared);
    for (; shared.placementCount < this.#placed.length; shared.placementCount += 1) {
      const target = this.#placed[shared.placementCount];
      if (target !== undefined) shared.costs.update(target);
    }
    return shared.costs;
  }
}
