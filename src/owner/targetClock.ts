/** Bounds of a target's monotonic clock, derived from its responses. */

import { MAX_CLOCK_DRIFT } from './constants';

/** A reading of a target's clock. */
interface ClockSample {
  readonly clockMs: number;
  readonly sentAtMs: number;
  /** When the response arrived, on the owner's steady clock. */
  readonly receivedSteadyMs: number;
}

/** Bounds a clock that runs at most 2% slower than the owner's. */
export class TargetClock {
  #sample: ClockSample | undefined;

  /**
   * Adds a reading; one that is older than the current sample is ignored.
   * @param clockMs - reading of the target's clock
   * @param sentAtMs - when the request was sent, on the owner's clock
   * @param receivedSteadyMs - when the response arrived, on the owner's steady clock
   */
  addSample(clockMs: number, sentAtMs: number, receivedSteadyMs: number): void {
    const isOlder = this.#sample !== undefined && sentAtMs < this.#sample.sentAtMs;
    if (isOlder) return;
    this.#sample = { clockMs, sentAtMs, receivedSteadyMs };
  }

  /**
   * @param nowMs - current time on the owner's clock
   * @returns the upper bound of the target's clock, or undefined without a sample
   */
  getUpperBoundMs(nowMs: number): number | undefined {
    if (this.#sample === undefined) return undefined;
    return this.#sample.clockMs + (nowMs - this.#sample.sentAtMs);
  }

  /**
   * @param steadyMs - lower bound of the owner's elapsed time
   * @returns the lower bound of the target's clock, or undefined without a sample
   */
  getLowerBoundMs(steadyMs: number): number | undefined {
    if (this.#sample === undefined) return undefined;
    const elapsedMs = Math.max(0, steadyMs - this.#sample.receivedSteadyMs);
    return this.#sample.clockMs + elapsedMs * (1 - MAX_CLOCK_DRIFT);
  }
}
