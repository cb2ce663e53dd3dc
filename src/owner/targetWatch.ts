/**
 * Keeps the targets that need attention apart from the many that do not, so that a tick or a scheduling pass does not
 * visit each target of a large fleet.
 */

import type { TargetState } from './targetState';

function compareByPosition(left: TargetState, right: TargetState): number {
  return left.position - right.position;
}

/** Sets of targets that enter themselves; who visits a set removes those that need no attention any more. */
export class TargetWatch {
  /** Targets that may not be used for any work, or that a probe or a check may be due for. */
  readonly unusual = new Set<TargetState>();

  /** Targets without a pending poll, except those that a poll has nothing to tell about. */
  readonly unpolled = new Set<TargetState>();

  /** Targets of which runs may have to be stopped. */
  readonly unchecked = new Set<TargetState>();

  /** Targets that are about to leave. */
  readonly draining = new Set<TargetState>();

  /** Counts the changes of registrations. */
  registrationCount = 0;

  /** @returns the targets to visit for polls and probes, in the order of the table */
  getPollable(): readonly TargetState[] {
    return [...new Set([...this.unusual, ...this.unpolled])].sort(compareByPosition);
  }

  /** @returns the targets to visit for expired leases, removals and stops, in the order of the table */
  getCheckable(): readonly TargetState[] {
    return [...new Set([...this.unusual, ...this.unchecked])].sort(compareByPosition);
  }

  /** @returns the targets that may not be used for any work, in the order of the table */
  getUnusual(): readonly TargetState[] {
    return [...this.unusual].sort(compareByPosition);
  }

  /**
   * Forgets a target that is no longer in the table.
   * @param target - the target
   */
  remove(target: TargetState): void {
    this.registrationCount += 1;
    this.unusual.delete(target);
    this.unpolled.delete(target);
    this.unchecked.delete(target);
    this.draining.delete(target);
  }
}
