/** Bounds of a target's steady clock from its answers. */

import { CLOCK_SLOWNESS } from './constants';

/** One reading of a target's clock. */
interface ClockSample {
  readonly clockMs: number;
  readonly sentAtMs: number;
  /** When the answer came, by the time that has certainly passed. */
  readonly receivedSteadyMs: number;
}

/** Estimates a clock that runs at most 2% slow against ours. */
export class TargetClock {
  #sample: ClockSample | undefined;

  /**
   * Takes a reading.
   * @param clockMs - what the target's clock showed
   * @param sentAtMs - when the call left, on our clock
   * @param receivedSteadyMs - when the answer came, by the time that has certainly passed here
   */
  addSample(clockMs: number, sentAtMs: number, receivedSteadyMs: number): void {
    const isOlder = this.#sample !== undefined && sentAtMs < this.#sample.sentAtMs;
    if (isOlder) return;
    this.#sample = { clockMs, sentAtMs, receivedSteadyMs };
  }

  /**
   * @param nowMs - our clock
   * @returns the most that the target's clock can show, or undefined when it was never read
   */
  getUpperMs(nowMs: number): number | undefined {
    if (this.#sample === undefined) return undefined;
    return this.#sample.clockMs + (nowMs - this.#sample.sentAtMs);
  }

  /**
   * @param steadyMs - time that has certainly passed here
   * @returns the least that the target's clock can show, or undefined when it was never read
   */
  getLowerMs(steadyMs: number): number | undefined {
    if (this.#sample === undefined) return undefined;
    const elapsedMs = Math.max(0, steadyMs - this.#sample.receivedSteadyMs);
    return this.#sample.clockMs + elapsedMs * (1 - CLOCK_SLOWNESS);
  }
}
