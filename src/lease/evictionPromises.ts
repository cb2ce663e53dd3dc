/** Promises of this process, as a standby, not to evict owners. */

import type { MemberId } from '../types/ids';
import { CLOCK_DRIFT_MARGIN_MS, PROMISE_DURATION_MS } from './constants';
import type { EndedPromise } from './types';

/** Grants promises to owners and ends them, each for one owner at one row version. */
export class EvictionPromises {
  #promisedUntilMs = new Map<MemberId, number>();

  #endedVersions = new Map<MemberId, number>();

  /** Promises that have ended; no new one is granted until the owner's row changes. */
  get ended(): readonly EndedPromise[] {
    return [...this.#endedVersions].map(([memberId, rowVersion]) => ({ memberId, rowVersion }));
  }

  /**
   * Grants an owner the promise not to evict it, unless an earlier promise has ended for its
   * current row. An owner without a row gets no promise because it may have been evicted.
   * @param ownerId - the owner
   * @param rowVersion - the version of its row in the last scan; undefined if it had no row
   * @param nowMs - the current time on this process's clock
   * @returns the duration of the promise in milliseconds; 0 if none is granted
   */
  getPromiseMs(ownerId: MemberId, rowVersion: number | undefined, nowMs: number): number {
    if (rowVersion === undefined) return 0;
    const endedVersion = this.#endedVersions.get(ownerId);
    if (endedVersion !== undefined && rowVersion <= endedVersion) return 0;
    this.#endedVersions.delete(ownerId);
    this.#promisedUntilMs.set(ownerId, nowMs + PROMISE_DURATION_MS + CLOCK_DRIFT_MARGIN_MS);
    return PROMISE_DURATION_MS;
  }

  /**
   * Ends the promise to an owner if it has expired. The owner gets no other promise until a newer
   * version of its row is seen, so an eviction of this version is safe however late it takes
   * effect.
   * @param ownerId - the owner
   * @param rowVersion - the row version that may be evicted from now on
   * @param nowMs - the current time on this process's clock
   * @returns true if no promise is in force
   */
  tryEnd(ownerId: MemberId, rowVersion: number, nowMs: number): boolean {
    if (nowMs < (this.#promisedUntilMs.get(ownerId) ?? Number.NEGATIVE_INFINITY)) return false;
    this.#endedVersions.set(ownerId, rowVersion);
    return true;
  }

  /**
   * Removes expired promises, and ended promises to owners without a row. The latter is safe
   * because member ids are never reused.
   * @param isKnown - returns whether a member has a row
   * @param nowMs - the current time on this process's clock
   */
  prune(isKnown: (memberId: MemberId) => boolean, nowMs: number): void {
    [...this.#endedVersions.keys()]
      .filter((memberId) => !isKnown(memberId))
      .forEach((memberId) => this.#endedVersions.delete(memberId));
    this.#promisedUntilMs.forEach((untilMs, memberId) => {
      if (nowMs >= untilMs) this.#promisedUntilMs.delete(memberId);
    });
  }

  /**
   * Returns the state as plain data.
   * @returns the state; times are on this process's clock
   */
  dump() {
    return {
      promisedUntilMs: [...this.#promisedUntilMs],
      endedVersions: [...this.#endedVersions],
    };
  }
}
