/** How long an owner may act: while the store or its voters have confirmed it recently; see voterSet.ts. */

import { OWNER_AUTHORITY_MS, STORELESS_LIMIT_MS } from '../owner/constants';

/** The confirmations of one ownership. Times are those at which the confirmed calls were sent. */
export class OwnerAuthority {
  #confirmedAtMs: number;

  #storeConfirmedAtMs: number;

  /**
   * @param claimedAtMs - when the claim was sent
   */
  constructor(claimedAtMs: number) {
    this.#confirmedAtMs = claimedAtMs;
    this.#storeConfirmedAtMs = claimedAtMs;
  }

  /**
   * Records a confirmation by the voters.
   * @param sinceMs - time of the oldest confirmation that was needed
   */
  onVotersConfirmed(sinceMs: number): void {
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, sinceMs);
  }

  /**
   * Records a renewal in the store.
   * @param sentAtMs - when it was sent
   */
  onStoreConfirmed(sentAtMs: number): void {
    this.#storeConfirmedAtMs = Math.max(this.#storeConfirmedAtMs, sentAtMs);
    this.onVotersConfirmed(sentAtMs);
  }

  /**
   * Checks whether the owner may act.
   * @param nowMs - current time
   * @returns true while the store or a quorum of voters has confirmed it recently
   */
  isValid(nowMs: number): boolean {
    return !this.isStorelessLimitReached(nowMs) && nowMs < this.#confirmedAtMs + OWNER_AUTHORITY_MS;
  }

  /**
   * Checks whether the owner has been without the store for so long that claims need no votes.
   * @param nowMs - current time
   * @returns true once it has
   */
  isStorelessLimitReached(nowMs: number): boolean {
    return nowMs >= this.#storeConfirmedAtMs + STORELESS_LIMIT_MS;
  }

  /**
   * Gets how long the store has not confirmed the owner.
   * @param nowMs - current time
   * @returns the time since the confirmed call was sent, in milliseconds
   */
  getStoreUnconfirmedForMs(nowMs: number): number {
    return nowMs - this.#storeConfirmedAtMs;
  }
}
