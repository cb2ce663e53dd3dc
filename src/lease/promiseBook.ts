/** Promises that this process gave to owners not to evict them. */

import type { MemberId } from '../types/ids';
import { CLOCK_MARGIN_MS, PROMISE_MS } from './constants';
import type { EndedPromise } from './types';

/** Gives promises, and ends them one owner and row version at a time. */
export class PromiseBook {
  #promisedUntilMs = new Map<MemberId, number>();

  #endedVersions = new Map<MemberId, number>();

  /** Promises that were ended and stay so until the owner's row changes. */
  get ended(): readonly EndedPromise[] {
    return [...this.#endedVersions].map(([memberId, rowVersion]) => ({ memberId, rowVersion }));
  }

  /**
   * Promises an owner not to evict it, unless an earlier promise was ended for its current row. An
   * owner without a row gets none: it may have been evicted.
   * @param ownerId - the owner
   * @param rowVersion - the version of its row as last scanned, undefined when it had none
   * @param nowMs - this process's clock
   * @returns for how long, in milliseconds; 0 for no promise
   */
  getPromiseMs(ownerId: MemberId, rowVersion: number | undefined, nowMs: number): number {
    if (rowVersion === undefined) return 0;
    const endedVersion = this.#endedVersions.get(ownerId);
    if (endedVersion !== undefined && rowVersion <= endedVersion) return 0;
    this.#endedVersions.delete(ownerId);
    this.#promisedUntilMs.set(ownerId, nowMs + PROMISE_MS + CLOCK_MARGIN_MS);
    return PROMISE_MS;
  }

  /**
   * Ends the promise to an owner if it has lapsed. Nothing is promised to the owner again before a
   * newer row of it was seen, so that an eviction of this row may take effect at any later time.
   * @param ownerId - the owner
   * @param rowVersion - the version of its row that may be evicted from now on
   * @param nowMs - this process's clock
   * @returns true when no promise holds
   */
  tryEnd(ownerId: MemberId, rowVersion: number, nowMs: number): boolean {
    if (nowMs < (this.#promisedUntilMs.get(ownerId) ?? Number.NEGATIVE_INFINITY)) return false;
    this.#endedVersions.set(ownerId, rowVersion);
    return true;
  }

  /**
   * Forgets ended promises to owners without a row, and lapsed ones. Member ids are never reused.
   * @param isKnown - asks whether a member has a row
   * @param nowMs - this process's clock
   */
  forgetGone(isKnown: (memberId: MemberId) => boolean, nowMs: number): void {
    [...this.#endedVersions.keys()]
      .filter((memberId) => !isKnown(memberId))
      .forEach((memberId) => this.#endedVersions.delete(memberId));
    this.#promisedUntilMs.forEach((untilMs, memberId) => {
      if (nowMs >= untilMs) this.#promisedUntilMs.delete(memberId);
    });
  }

  /**
   * Gets the state as plain data.
   * @returns times on this process's clock
   */
  dump() {
    return {
      promisedUntilMs: [...this.#promisedUntilMs],
      endedVersions: [...this.#endedVersions],
    };
  }
}
