/**
 * Response times of targets and detection of lost responses. Timeouts adapt because targets may perform
 * requests without responding: with fixed timeouts each lost poll would delay the discovery of ends on
 * its target by over a second.
 */

import { AdaptiveTimeout } from '../types/adaptiveTimeout';
import type { TargetId } from '../types/ids';
import {
  RESPONSE_TIME_DECAY_FACTOR,
  POLL_TIMEOUT_MARGIN_MS,
  POLL_WAIT_MS,
  LOSSY_POLL_WAIT_MS,
  LOSSY_TARGET_THRESHOLD,
  LOSSY_WINDOW_MS,
  MIN_RESPONSE_TIMEOUT_MS,
  MAX_START_TIMEOUT_MS,
} from './constants';

/** Derives timeouts from the response times of all targets. */
export class ResponseTimes {
  #timeout = new AdaptiveTimeout({
    minMs: MIN_RESPONSE_TIMEOUT_MS,
    maxMs: MAX_START_TIMEOUT_MS,
    decayFactor: RESPONSE_TIME_DECAY_FACTOR,
  });

  #lastLossAtMs = new Map<TargetId, number>();

  /**
   * Records the response time of a start.
   * @param elapsedMs - from the request to the response
   */
  addResponse(elapsedMs: number): void {
    this.#timeout.addResponse(elapsedMs);
  }

  /**
   * Records a request without a response.
   * @param targetId - the target
   * @param nowMs - current time on the owner's clock
   */
  addLoss(targetId: TargetId, nowMs: number): void {
    this.#lastLossAtMs.set(targetId, nowMs);
  }

  /** Timeout of requests that targets answer at once. */
  get responseTimeoutMs(): number {
    return this.#timeout.timeoutMs;
  }

  /**
   * Gets how long a poll may wait at a target for a run to end.
   * @param nowMs - current time on the owner's clock
   * @returns a shorter time while several targets lose responses
   */
  getPollWaitMs(nowMs: number): number {
    return this.#isLossy(nowMs) ? LOSSY_POLL_WAIT_MS : POLL_WAIT_MS;
  }

  /**
   * Gets the margin that is added to the wait of a poll to get its timeout.
   * @param nowMs - current time on the owner's clock
   * @returns the adaptive response timeout while several targets lose responses, otherwise a fixed margin
   */
  getPollTimeoutMarginMs(nowMs: number): number {
    return this.#isLossy(nowMs) ? this.responseTimeoutMs : POLL_TIMEOUT_MARGIN_MS;
  }

  #isLossy(nowMs: number): boolean {
    let count = 0;
    this.#lastLossAtMs.forEach((lostAtMs, targetId) => {
      if (nowMs < lostAtMs + LOSSY_WINDOW_MS) count += 1;
      else this.#lastLossAtMs.delete(targetId);
    });
    return count >= LOSSY_TARGET_THRESHOLD;
  }
}
