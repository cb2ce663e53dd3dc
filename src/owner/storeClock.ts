/** Relates the store's steady clock, which all owners share, to the clocks of this owner. */

import { MAX_CLOCK_DRIFT } from './constants';
import type { ClockReadings, StoreClockReading } from './types';

/** Bounds the store's clock, whose rate differs from the owner's by at most 2%. */
export class StoreClock {
  #reading: StoreClockReading | undefined;

  #receivedSteadyMs = 0;

  /**
   * Adds a reading; one of an earlier call is ignored.
   * @param reading - the reading
   * @param steadyMs - lower bound of the owner's elapsed time when it was received
   */
  addReading(reading: StoreClockReading, steadyMs: number): void {
    if (this.#reading !== undefined && reading.sentAtMs < this.#reading.sentAtMs) return;
    this.#reading = reading;
    this.#receivedSteadyMs = steadyMs;
  }

  /**
   * Gets the age of the reading.
   * @param nowMs - current time on the owner's clock
   * @returns the time since the call was sent that returned it; infinite without a reading
   */
  getAgeMs(nowMs: number): number {
    return this.#reading === undefined ? Number.POSITIVE_INFINITY : nowMs - this.#reading.sentAtMs;
  }

  /**
   * Gets the latest time of the store's clock at which the owner's steady clock reaches a time.
   * @param untilSteadyMs - the time; one that has passed stands for the present
   * @param clocks - the owner's clocks
   * @returns the time, or undefined without a reading
   */
  getUpperBoundMs(
    untilSteadyMs: number,
    { nowMs, steadyMs }: Pick<ClockReadings, 'nowMs' | 'steadyMs'>,
  ): number | undefined {
    if (this.#reading === undefined) return undefined;
    const { storeMs, sentAtMs } = this.#reading;
    const elapsedMs = Math.max(0, nowMs - sentAtMs) + Math.max(0, untilSteadyMs - steadyMs);
    return storeMs + elapsedMs * (1 + MAX_CLOCK_DRIFT);
  }

  /**
   * Gets the time by which the store's clock has certainly reached a time.
   * @param storeMs - the time of the store's clock
   * @returns the time on the owner's steady clock, or undefined without a reading
   */
  getReachedMs(storeMs: number): number | undefined {
    if (this.#reading === undefined) return undefined;
    const remainingMs = Math.max(0, storeMs - this.#reading.storeMs);
    return this.#receivedSteadyMs + remainingMs / (1 - MAX_CLOCK_DRIFT);
  }
}
