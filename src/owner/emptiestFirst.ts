/** Sorts targets by free processor capacity while none is freed or used, so that many steps share one sort. */

import type { TargetState } from './targetState';

/** Keeps the sorted lists. */
export class EmptiestFirst {
  #sorted = new Map<readonly TargetState[], readonly TargetState[]>();

  /**
   * Sorts targets.
   * @param targets - the targets, always the same array for the same targets
   * @returns the same targets, those with the most free processor capacity first
   */
  sort(targets: readonly TargetState[]): readonly TargetState[] {
    const known = this.#sorted.get(targets);
    if (known !== undefined) return known;
    const sorted = [...targets].sort((left, right) => right.free.cpuMillis - left.free.cpuMillis);
    this.#sorted.set(targets, sorted);
    return sorted;
  }
}
