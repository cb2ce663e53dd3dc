/** Free capacity of targets less what a planning pass is going to use. */

import type { TargetId } from '../types/ids';
import { addDemand } from '../work/types';
import type { TaskDemand } from '../work/types';
import { CURRENT_CAPACITY } from './candidates';
import type { CapacityView } from './candidates';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';

/** Tentative placements of tasks. */
export class PlannedCapacity {
  #free = new Map<TargetId, TaskDemand>();

  #counts = new Map<StepState, Map<TargetId, number>>();

  #present: CapacityView;

  /** @param present - the free capacity before any placement */
  constructor(present: CapacityView = CURRENT_CAPACITY) {
    this.#present = present;
  }

  /**
   * Places a task.
   * @param step - its step
   * @param target - the target
   */
  place(step: StepState, target: TargetState): void {
    const counts = this.#counts.get(step) ?? new Map<TargetId, number>();
    this.#counts.set(step, counts.set(target.id, (counts.get(target.id) ?? 0) + 1));
    this.#free.set(target.id, addDemand(this.#getFree(target), step.charge, -1));
  }

  /**
   * Gets the capacity as tasks of a step find it.
   * @param step - the step
   * @returns the free capacity, and the number of tasks of the step that are placed on each target
   */
  getView(step: StepState): CapacityView {
    return {
      getFree: (target) => this.#getFree(target),
      getPlacedCount: ({ id }) => this.#counts.get(step)?.get(id) ?? 0,
    };
  }

  #getFree(target: TargetState): TaskDemand {
    return this.#free.get(target.id) ?? this.#present.getFree(target);
  }
}
