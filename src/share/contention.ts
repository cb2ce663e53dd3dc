/**
 * Detects contention: tasks of two or more teams wait for capacity at a priority.
 *
 * Load answered: bursts of 4 to 7 s and teams at several times their usual rate, during which the waiting tasks of a
 * priority need more than is free. Outside of that load the order of steps is left as it is.
 */

import { RESOURCE_KINDS } from '../types/resources';
import type { ResourceVector } from '../types/resources';

/**
 * Waiting tasks are short of capacity unless this many times their demand is free: with twice the capacity that a
 * submission needs it must start in any case, and with less it may not fit, as the rest is spread over many targets.
 */
const ROOM_FACTOR = 2;

/**
 * A priority stays contended for this long after tasks of two teams last waited. Waiting tasks come and go as runs of
 * the shortest kind end, which take 0.6 to 0.9 s; the order would otherwise change within one burst.
 */
const RELEASE_DELAY_MS = 1_000;

/** What waits at one priority for the targets of one service. */
export interface PriorityDemand {
  readonly priority: number;
  /** Number of teams with tasks that wait. */
  readonly teamCount: number;
  /** Demand of the tasks that wait at this priority and at more urgent ones. */
  readonly waiting: ResourceVector;
  /** Free capacity of the service. */
  readonly free: ResourceVector;
}

/**
 * Checks whether waiting tasks are short of capacity.
 * @param waiting - their demand
 * @param free - the free capacity
 * @returns false when twice the demand is free of each resource
 */
export function isShortOfCapacity(waiting: ResourceVector, free: ResourceVector): boolean {
  return RESOURCE_KINDS.some(
    (kind) => waiting[kind] > 0 && ROOM_FACTOR * waiting[kind] > free[kind],
  );
}

/** Keeps the contended priorities, with hysteresis. */
export class ContentionDetector {
  #contendedUntilMs = new Map<number, number>();

  /**
   * Applies what waits now.
   * @param demands - what waits, by priority and service
   * @param nowMs - elapsed time of this process
   */
  update(demands: readonly PriorityDemand[], nowMs: number): void {
    this.#contendedUntilMs.forEach((untilMs, priority) => {
      if (nowMs >= untilMs) this.#contendedUntilMs.delete(priority);
    });
    demands.forEach(({ priority, teamCount, waiting, free }) => {
      if (teamCount < 2 || !isShortOfCapacity(waiting, free)) return;
      this.#contendedUntilMs.set(priority, nowMs + RELEASE_DELAY_MS);
    });
  }

  /** Whether any priority is contended. */
  get isAnyContended(): boolean {
    return this.#contendedUntilMs.size > 0;
  }

  /**
   * @param priority - a priority
   * @returns whether it is contended
   */
  isContended(priority: number): boolean {
    return this.#contendedUntilMs.has(priority);
  }
}
