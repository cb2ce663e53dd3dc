/**
 * Estimates how long the store needs to commit a row of a part, so that a row that cannot be stored in its
 * caller's time is refused before its write is sent.
 *
 * Load pattern: a store that runs the transactions of a part one after another becomes many times slower while
 * submissions arrive in a burst. A write that is sent and then given up has an unknown outcome, which costs the
 * caller its whole time limit; a refusal lets the caller return when the burst is over.
 */

/** An observed duration is used for this long. */
const OBSERVATION_LIFETIME_MS = 2_000;

/** Durations below this do not predict a queue at the store. */
const MIN_PREDICTIVE_MS = 100;

/** Share of a transaction's duration after which one of the transactions in flight ends. */
const SLOT_WAIT_FACTOR = 0.5;

interface Observation {
  readonly durationMs: number;
  readonly atMs: number;
}

/** Durations of recent transactions by part. */
export class CommitEstimator {
  #observations = new Map<string, Observation>();

  /**
   * Records an answered transaction.
   * @param part - part of its rows
   * @param durationMs - time from sending it to its answer
   * @param nowMs - current time
   */
  addCommit(part: string, durationMs: number, nowMs: number): void {
    this.#observations.set(part, { durationMs, atMs: nowMs });
  }

  /**
   * @param part - part of the row
   * @param hasFreeSlot - whether a transaction of the part can be sent now
   * @param nowMs - current time
   * @returns the expected time until the row is stored; 0 when nothing suggests a delay
   */
  getExpectedMs(part: string, hasFreeSlot: boolean, nowMs: number): number {
    const last = this.#observations.get(part);
    if (last === undefined || nowMs > last.atMs + OBSERVATION_LIFETIME_MS) return 0;
    if (last.durationMs < MIN_PREDICTIVE_MS) return 0;
    return last.durationMs * (hasFreeSlot ? 1 : 1 + SLOT_WAIT_FACTOR);
  }
}
