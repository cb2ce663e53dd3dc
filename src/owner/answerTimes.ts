/**
 * Response times of targets and detection of lost responses. Timeouts adapt because targets may perform
 * requests without responding: with fixed timeouts each lost poll would delay the discovery of ends on
 * its target by over a second.
 */

import { AdaptiveLimit } from '../types/adaptiveLimit';
import type { TargetId } from '../types/ids';
import {
  ANSWER_FADE_FACTOR,
  LOOK_SLACK_MS,
  LOOK_WAIT_MS,
  LOSSY_LOOK_WAIT_MS,
  LOSSY_TARGETS,
  LOSSY_WINDOW_MS,
  MIN_ANSWER_LIMIT_MS,
  START_TIMEOUT_MS,
} from './constants';

/** Derives timeouts from the response times of all targets. */
export class AnswerTimes {
  #limit = new AdaptiveLimit({
    leastMs: MIN_ANSWER_LIMIT_MS,
    mostMs: START_TIMEOUT_MS,
    fadeFactor: ANSWER_FADE_FACTOR,
  });

  #lostAtMs = new Map<TargetId, number>();

  /**
   * Records the response time of a start.
   * @param elapsedMs - from the request to the response
   */
  addAnswer(tookMs: number): void {
    this.#limit.addAnswer(tookMs);
  }

  /**
   * Records a request without a response.
   * @param targetId - the target
   * @param nowMs - current time on the owner's clock
   */
  addLoss(targetId: TargetId, nowMs: number): void {
    this.#lostAtMs.set(targetId, nowMs);
  }

  /** Timeout of requests that targets answer at once. */
  get limitMs(): number {
    return this.#limit.limitMs;
  }

  /**
   * Gets how long a poll may wait at a target for a run to end.
   * @param nowMs - current time on the owner's clock
   * @returns a shorter time while several targets lose responses
   */
  getLookWaitMs(nowMs: number): number {
    return this.#isLossy(nowMs) ? LOSSY_LOOK_WAIT_MS : LOOK_WAIT_MS;
  }

  /**
   * Gets the margin that is added to the wait of a poll to get its timeout.
   * @param nowMs - current time on the owner's clock
   * @returns a shorter time while several targets lose responses
   */
  getLookSlackMs(nowMs: number): number {
    return this.#isLossy(nowMs) ? this.limitMs : LOOK_SLACK_MS;
  }

  #isLossy(nowMs: number): boolean {
    let count = 0;
    this.#lostAtMs.forEach((lostAtMs, targetId) => {
      if (nowMs < lostAtMs + LOSSY_WINDOW_MS) count += 1;
      else this.#lostAtMs.delete(targetId);
    });
    return count >= LOSSY_TARGETS;
  }
}
