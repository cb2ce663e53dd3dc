/** Bounds of a target's monotonic clock, derived from its responses. */

import { MAX_CLOCK_DRIFT } from './constants';
import type { ClockReadings } from './types';

/** Readings are whole milliseconds, and the clocks of both sides are read a little before or after the call. */
const READING_TOLERANCE_MS = 5;

/** A reading of a target's clock. */
interface ClockSample {
  readonly clockMs: number;
  readonly sentAtMs: number;
  /** When the response arrived, on the owner's clock and on its steady clock. */
  readonly receivedAtMs: number;
  readonly receivedSteadyMs: number;
}

/** Bounds a clock that runs at most 2% slower than the owner's. */
export class TargetClock {
  #sample: ClockSample | undefined;

  /**
   * Adds a reading; one that is older than the current sample is ignored.
   * @param clockMs - reading of the target's clock
   * @param sentAtMs - when the request was sent, on the owner's clock
   * @param received - the owner's clocks when the response arrived
   */
  addSample(
    clockMs: number,
    sentAtMs: number,
    { nowMs, steadyMs }: Pick<ClockReadings, 'nowMs' | 'steadyMs'>,
  ): void {
    const isOlder = this.#sample !== undefined && sentAtMs < this.#sample.sentAtMs;
    if (isOlder) return;
    this.#sample = { clockMs, sentAtMs, receivedAtMs: nowMs, receivedSteadyMs: steadyMs };
  }

  /**
   * Checks whether a reading can come from the same clock as the current sample. Each incarnation of a target has a
   * clock of its own.
   * @param clockMs - the reading
   * @param sentAtMs - when the request was sent, on the owner's clock
   * @param nowMs - when the response arrived, on the owner's clock
   * @returns false when the reading is that of another incarnation
   */
  isPlausible(clockMs: number, sentAtMs: number, nowMs: number): boolean {
    const sample = this.#sample;
    if (sample === undefined) return true;
    const isLater = sentAtMs >= sample.receivedAtMs;
    if (isLater && clockMs < sample.clockMs - READING_TOLERANCE_MS) return false;
    const elapsedMs = (nowMs - sample.sentAtMs) * (1 + MAX_CLOCK_DRIFT);
    return clockMs <= sample.clockMs + elapsedMs + READING_TOLERANCE_MS;
  }

  /**
   * Estimates the clock for the expiry of a lease. A lower bound of the elapsed time is used, as a later owner relies
   * on the length of the leases of an owner whose clock was set forward.
   * @param steadyMs - lower bound of the owner's elapsed time
   * @returns the estimate, or undefined without a sample
   */
  getLeaseBaseMs(steadyMs: number): number | undefined {
    if (this.#sample === undefined) return undefined;
    return this.#sample.clockMs + Math.max(0, steadyMs - this.#sample.receivedSteadyMs);
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
   * Gets the time by which the target's clock has certainly reached a reading.
   * @param clockMs - the reading
   * @returns the time on the owner's steady clock, or undefined without a sample
   */
  getReachedMs(clockMs: number): number | undefined {
    if (this.#sample === undefined) return undefined;
    const remainingMs = Math.max(0, clockMs - this.#sample.clockMs);
    return this.#sample.receivedSteadyMs + remainingMs / (1 - MAX_CLOCK_DRIFT);
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
