/**
 * How long targets take to answer, and whether answers get lost. Answers targets that leave orders
 * unanswered: with fixed limits each lost look would hide the ends on its target for over a second.
 */

import type { TargetId } from '../types/ids';
import {
  LOOK_SLACK_MS,
  LOOK_WAIT_MS,
  LOSSY_LOOK_WAIT_MS,
  LOSSY_TARGETS,
  LOSSY_WINDOW_MS,
  MIN_ANSWER_LIMIT_MS,
  SLOWEST_ANSWER_FADE,
  START_TIMEOUT_FACTOR,
  START_TIMEOUT_MS,
} from './constants';

/** Learns time limits from the answers of all targets. */
export class AnswerTimes {
  /** Slowest of the last answers to starts; the longest wait until there are any. */
  #slowestMs = START_TIMEOUT_MS / START_TIMEOUT_FACTOR;

  #lostAtMs = new Map<TargetId, number>();

  /**
   * Notes an answer to a start.
   * @param tookMs - from sending to answer
   */
  addAnswer(tookMs: number): void {
    this.#slowestMs = Math.max(tookMs, this.#slowestMs * SLOWEST_ANSWER_FADE);
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
    const usualMs = this.#slowestMs * START_TIMEOUT_FACTOR;
    return Math.min(Math.max(usualMs, MIN_ANSWER_LIMIT_MS), START_TIMEOUT_MS);
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
