/** What the owner knows of the lease that covers all runs of one incarnation of a target. */

import { LEASE_EXPIRY_MARGIN_MS } from './constants';
import type { TargetClock } from './targetClock';

/** The lease of one incarnation of a target. */
export class TargetLease {
  #clock: TargetClock;

  #untilMs = 0;

  /**
   * When a lease has ended that was granted by a former owner or by a call for a former incarnation, on the owner's
   * steady clock; undefined when this owner knows all leases of the target's runs.
   */
  inheritedEndsAtMs: number | undefined;

  /** Whether the inherited lease is one that owners ask for, and not the longest that the target grants. */
  isInheritedUsual = false;

  /** Until when calls for the incarnation that it has replaced may still grant leases, on the owner's steady clock. */
  formerCallsEndAtMs = 0;

  /**
   * @param clock - bounds of the target's clock
   */
  constructor(clock: TargetClock) {
    this.#clock = clock;
  }

  /** Latest expiry granted by this owner to any run, on the target's clock. */
  get untilMs(): number {
    return this.#untilMs;
  }

  /**
   * Records a lease that was or may have been granted.
   * @param untilMs - its expiry on the target's clock
   */
  extend(untilMs: number): void {
    this.#untilMs = Math.max(this.#untilMs, untilMs);
  }

  /**
   * Checks whether a lease may last longer than the ones that this owner grants.
   * @param steadyMs - lower bound of the owner's elapsed time
   * @returns false once such a lease has ended, and when there was none
   */
  mayBeInherited(steadyMs: number): boolean {
    return this.inheritedEndsAtMs !== undefined && steadyMs <= this.inheritedEndsAtMs;
  }

  /**
   * Checks whether a later owner has to allow for the longest lease that the target grants.
   * @param steadyMs - lower bound of the owner's elapsed time
   * @returns false once such a lease has ended, and when there was none
   */
  mayBeLong(steadyMs: number): boolean {
    return !this.isInheritedUsual && this.mayBeInherited(steadyMs);
  }

  /**
   * Gets the time by which the lease will have expired if it is not renewed.
   * @returns the time on the owner's steady clock; infinite when nothing bounds the lease
   */
  getExpiryMs(): number {
    const inheritedMs = this.inheritedEndsAtMs ?? Number.NEGATIVE_INFINITY;
    const reachedMs = this.#clock.getReachedMs(this.#untilMs + LEASE_EXPIRY_MARGIN_MS);
    if (reachedMs === undefined) return this.inheritedEndsAtMs ?? Number.POSITIVE_INFINITY;
    return Math.max(inheritedMs, reachedMs);
  }

  /**
   * Checks whether the lease has expired, so that the target must have killed all its runs.
   * @param steadyMs - lower bound of the owner's elapsed time
   * @returns true when the lease has expired even on the slowest possible target clock
   */
  isExpired(steadyMs: number): boolean {
    if (this.mayBeInherited(steadyMs)) return false;
    const lowerBoundMs = this.#clock.getLowerBoundMs(steadyMs);
    if (lowerBoundMs === undefined) return this.inheritedEndsAtMs !== undefined;
    return lowerBoundMs > this.#untilMs + LEASE_EXPIRY_MARGIN_MS;
  }
}
