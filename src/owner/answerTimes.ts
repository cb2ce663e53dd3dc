/**
 * How long targets take to answer, and whether answers get lost. Answers targets that leave orders
 * unanswered: with fixed limits each lost look would hide the ends on its target for over a second.
 */

import { AdaptiveTimeout } from '../types/adaptiveTimeout';
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

/** Learns time limits from the answers of all targets. */
export class AnswerTimes {
  #limit = new AdaptiveTimeout({
    minMs: MIN_ANSWER_LIMIT_MS,
    maxMs: START_TIMEOUT_MS,
    decayFactor: ANSWER_FADE_FACTOR,
  });

  #lostAtMs = new Map<TargetId, number>();

  /**
   * Notes an answer to a start.
   * @param tookMs - from sending to answer
   */
  addAnswer(tookMs: number): void {
    this.#limit.addResponse(tookMs);
  }

  /**
   * Notes a call without an answer.
   * @param targetId - the target
   * @param nowMs - our clock
   */
  addLoss(targetId: TargetId, nowMs: number): void {
    this.#lostAtMs.set(targetId, nowMs);
  }

  /** How long to wait for an answer that targets give at once. */
  get limitMs(): number {
    return this.#limit.timeoutMs;
  }

  /**
   * Gets how long a look may wait at a target for an end.
   * @param nowMs - our clock
   * @returns less while several targets lose answers
   */
  getLookWaitMs(nowMs: number): number {
    return this.#isLossy(nowMs) ? LOSSY_LOOK_WAIT_MS : LOOK_WAIT_MS;
  }

  /**
   * Gets what is added to the wait of a look before it counts as lost.
   * @param nowMs - our clock
   * @returns less while several targets lose answers
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
