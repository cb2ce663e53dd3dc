/** Sums of demands that are changed in place, as thousands of runs and steps are added up. */

import type { TaskDemand } from '../work/types';

/** A sum of demands. */
export class DemandSum implements TaskDemand {
  cpuMillis = 0;

  memoryMb = 0;

  accelerators = 0;

  /**
   * @param demand - the demand to add
   * @param factor - how often it is added
   */
  add({ cpuMillis, memoryMb, accelerators }: TaskDemand, factor = 1): void {
    this.cpuMillis += factor * cpuMillis;
    this.memoryMb += factor * memoryMb;
    this.accelerators += factor * accelerators;
  }
}
