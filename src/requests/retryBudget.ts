/** Limits retries to a fraction of recent requests, so that retries cannot amplify an overload. */

import { SlidingWindowCounter } from './slidingWindowCounter';

const WINDOW_MS = 10_000;
const RETRY_FRACTION = 0.1;
/** Retries always allowed per window, so that retries also work at a low request rate. */
const MIN_RETRIES = 10;

/** Retry budget over a sliding window. */
export class RetryBudget {
  #requests = new SlidingWindowCounter(WINDOW_MS);

  #retries = new SlidingWindowCounter(WINDOW_MS);

  /**
   * Records a new request, which adds a fraction of a retry to the budget.
   * @param nowMs - current time of this process's monotonic clock
   */
  recordRequest(nowMs: number): void {
    this.#requests.add(nowMs);
  }

  /**
   * Spends one retry if the budget allows it.
   * @param nowMs - current time of this process's monotonic clock
   * @returns false if the retry must not be made
   */
  trySpend(nowMs: number): boolean {
    if (!this.canSpend(nowMs)) return false;
    this.#retries.add(nowMs);
    return true;
  }

  /**
   * Checks whether a retry is allowed now.
   * @param nowMs - current time of this process's monotonic clock
   * @returns true if the budget allows another retry
   */
  canSpend(nowMs: number): boolean {
    const allowed = MIN_RETRIES + RETRY_FRACTION * this.#requests.getCount(nowMs);
    return this.#retries.getCount(nowMs) < allowed;
  }
}
