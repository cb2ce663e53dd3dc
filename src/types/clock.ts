/** Elapsed time of a process, corrected for suspensions during which the monotonic clock stops. */

import { performance } from 'node:perf_hooks';

/** Source of elapsed time. */
export interface Clock {
  /** Milliseconds since the process started, including suspensions. */
  nowMs(): number;
  /** Lower bound of the milliseconds since the process started; suspensions may be missing. */
  steadyMs(): number;
  /** Milliseconds since the Unix epoch, for values that leave the process. */
  wallMs(): number;
}

/** The clocks of the operating system. */
export interface TimeSources {
  /** Milliseconds of a clock that never goes back but may stop while the Vm is suspended. */
  monotonicMs(): number;
  /** Milliseconds since the Unix epoch. */
  wallMs(): number;
}

const SYSTEM_TIME: TimeSources = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};

/**
 * A wall clock that gains more than this on the monotonic clock indicates a suspension. The value is far above
 * the wall clock's resolution of 1 ms and far below the safety margins of leases.
 */
const CLOCK_JUMP_THRESHOLD_MS = 20;

/** A pair of readings that took longer than this is repeated, at most MAX_READS times in all. */
const MAX_READ_GAP_MS = 1;
const MAX_READS = 3;

/**
 * Follows the monotonic clock and adds the time that the wall clock gained on it while the Vm was suspended.
 * A wall clock that is set forward looks like a suspension. That is safe for deciding when this process
 * loses its own authority, which then ends early. It is not safe for assuming that enough time has passed for
 * other processes to have acted; use {@link Clock.steadyMs} for that.
 */
export class SuspendAwareClock implements Clock {
  #sources: TimeSources;

  #startedAtMs: number;

  #suspendedMs = 0;

  /** Wall clock minus monotonic clock, as of the last detected jump. */
  #offsetMs: number;

  /**
   * @param sources - clocks to read
   */
  constructor(sources: TimeSources = SYSTEM_TIME) {
    this.#sources = sources;
    const { monotonicMs, wallMs } = this.#read();
    this.#startedAtMs = monotonicMs;
    this.#offsetMs = wallMs - monotonicMs;
  }

  /** {@inheritDoc Clock.nowMs} */
  nowMs(): number {
    const { monotonicMs, wallMs } = this.#read();
    const leadMs = wallMs - monotonicMs - this.#offsetMs;
    if (leadMs > CLOCK_JUMP_THRESHOLD_MS) this.#suspendedMs += leadMs;
    if (Math.abs(leadMs) > CLOCK_JUMP_THRESHOLD_MS) this.#offsetMs += leadMs;
    return monotonicMs - this.#startedAtMs + this.#suspendedMs;
  }

  /** {@inheritDoc Clock.steadyMs} */
  steadyMs(): number {
    return this.#sources.monotonicMs() - this.#startedAtMs;
  }

  /** {@inheritDoc Clock.wallMs} */
  wallMs(): number {
    return this.#sources.wallMs();
  }

  /** Reads both clocks close together, because a pause of the process in between would look like a jump. */
  #read(): { readonly monotonicMs: number; readonly wallMs: number } {
    let beforeMs = this.#sources.monotonicMs();
    for (let count = 1; ; count += 1) {
      const wallMs = this.#sources.wallMs();
      const monotonicMs = this.#sources.monotonicMs();
      const isConsistent = monotonicMs - beforeMs <= MAX_READ_GAP_MS;
      if (isConsistent || count >= MAX_READS) return { monotonicMs, wallMs };
      beforeMs = monotonicMs;
    }
  }
}
