/**
 * Knows the largest free capacity among targets while no capacity is freed, as during one scheduling pass, so that a
 * step that fits nowhere is skipped without examining each target.
 */

import { isDemandFitting, NO_DEMAND } from '../work/types';
import type { TaskDemand } from '../work/types';
import type { TargetState } from './targetState';

/** Largest free amount of each resource by list of targets. */
export class Roominess {
  #isCounted: (target: TargetState) => boolean;

  #largest = new Map<readonly TargetState[], TaskDemand>();

  /**
   * @param isCounted - checks whether a target may be used at all
   */
  constructor(isCounted: (target: TargetState) => boolean) {
    this.#isCounted = isCounted;
  }

  /**
   * Checks whether a task may fit on any of the targets.
   * @param targets - the targets, always the same array for the same targets
   * @param charge - its demand
   * @returns false when one of the resources is not free in this amount on any target
   */
  mayFit(targets: readonly TargetState[], charge: TaskDemand): boolean {
    let largest = this.#largest.get(targets);
    if (largest === undefined) {
      largest = this.#getLargest(targets);
      this.#largest.set(targets, largest);
    }
    return isDemandFitting(charge, largest);
  }

  /**
   * Determines the largest capacity again before the next check, as a task did not fit that might have.
   * @param targets - the targets on which it did not fit
   */
  onNotFitting(targets: readonly TargetState[]): void {
    this.#largest.delete(targets);
  }

  #getLargest(targets: readonly TargetState[]): TaskDemand {
    let { cpuMillis, memoryMb, accelerators } = NO_DEMAND;
    targets.forEach((target) => {
      if (!this.#isCounted(target)) return;
      const { free } = target;
      cpuMillis = Math.max(cpuMillis, free.cpuMillis);
      memoryMb = Math.max(memoryMb, free.memoryMb);
      accelerators = Math.max(accelerators, free.accelerators);
    });
    return { cpuMillis, memoryMb, accelerators };
  }
}
