/** Bounds retries to a fraction of recent requests, so that retries cannot multiply an overload. */

import { SlidingCount } from './slidingCount';

const WINDOW_MS = 10_000;
const RETRY_FRACTION = 0.1;
/** Retries always allowed in a window, so that a quiet service can retry at all. */
const MIN_RETRIES = 10;

/** A retry budget over a sliding window. */
export class RetryBudget {
  #requests = new SlidingCount(WINDOW_MS);

  #retries = new SlidingCount(WINDOW_MS);

  /**
   * Records a new request, which earns a fraction of a retry.
   * @param nowMs - this process's clock
   */
  recordRequest(nowMs: number): void {
    this.#requests.add(nowMs);
  }

  /**
   * Spends one retry if the budget has room.
   * @param nowMs - this process's clock
   * @returns false when the retry must not be made
   */
  trySpend(nowMs: number): boolean {
    if (!this.canSpend(nowMs)) return false;
    this.#retries.add(nowMs);
    return true;
  }

  /**
   * Asks whether a retry would be allowed now.
   * @param nowMs - this process's clock
   * @returns true when there is room
   */
  canSpend(nowMs: number): boolean {
    const allowed = MIN_RETRIES + RETRY_FRACTION * this.#requests.getTotal(nowMs);
    return this.#retries.getTotal(nowMs) < allowed;
  }
}
