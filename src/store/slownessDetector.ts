/**
 * Distinguishes a store that answers late from one that loses answers. A late answer calls for fewer and larger
 * transactions, a lost one for another copy; another copy to a store that is slow under load makes it slower.
 */

/** Answers of an unloaded store take a few milliseconds. */
export const LATE_ANSWER_MS = 100;

/** Consecutive delays without an answer that raise the suspicion of slowness; a single answer may be lost. */
const DELAYS_UNTIL_SUSPICION = 2;

/** A late answer or a suspicion counts for this long. */
const MEMORY_MS = 1_500;

/** Judges a store by the times of its answers to transactions. */
export class SlownessDetector {
  #lateAtMs = Number.NEGATIVE_INFINITY;

  #suspectedAtMs = Number.NEGATIVE_INFINITY;

  #delayCount = 0;

  /**
   * Records an answered transaction.
   * @param durationMs - time from sending it to its answer
   * @param nowMs - current time
   */
  addAnswer(durationMs: number, nowMs: number): void {
    const isLate = durationMs >= LATE_ANSWER_MS;
    this.#delayCount = 0;
    this.#suspectedAtMs = Number.NEGATIVE_INFINITY;
    this.#lateAtMs = isLate ? nowMs : Number.NEGATIVE_INFINITY;
  }

  /**
   * Records that a transaction has no answer after the time in which an unloaded store answers.
   * @param nowMs - current time
   */
  addDelay(nowMs: number): void {
    this.#delayCount += 1;
    if (this.#delayCount >= DELAYS_UNTIL_SUSPICION) this.#suspectedAtMs = nowMs;
  }

  /**
   * @param nowMs - current time
   * @returns true when the last answers came, and came late
   */
  isAnsweringLate(nowMs: number): boolean {
    return nowMs < this.#lateAtMs + MEMORY_MS;
  }

  /**
   * @param nowMs - current time
   * @returns true when answers come late, or several in a row are missing
   */
  isSlow(nowMs: number): boolean {
    return this.isAnsweringLate(nowMs) || nowMs < this.#suspectedAtMs + MEMORY_MS;
  }
}
