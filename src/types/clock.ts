/** Elapsed time of one process, safe against a frozen monotonic clock. */

import { performance } from 'node:perf_hooks';

/** Source of elapsed time. */
export interface Clock {
  /** Milliseconds since the process started. */
  nowMs(): number;
  /** Milliseconds that have certainly passed since the process started; a suspension may be missing. */
  steadyMs(): number;
  /** Milliseconds since 1970, for values that leave the process. */
  wallMs(): number;
}

/** Where a clock reads the time. */
export interface TimeSources {
  /** Milliseconds of a clock that never goes back and may stop while the Vm is suspended. */
  monotonicMs(): number;
  /** Milliseconds since 1970. */
  wallMs(): number;
}

const SYSTEM_TIME: TimeSources = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};

/**
 * Lead of the wall clock that counts as a suspension. Far above its resolution of 1 ms, far below the
 * margins of leases.
 */
const JUMP_MS = 20;

/** Both clocks are read within this time, or again. */
const READ_TOGETHER_MS = 1;
const MAX_READS = 3;

/**
 * Follows the monotonic clock, and adds what the wall clock has gained on it when the Vm was suspended.
 * A wall clock that is set ahead is taken for a suspension: by this clock a process gives up its own
 * authority early. What others must have noticed is judged by {@link Clock.steadyMs}.
 */
export class ElapsedClock implements Clock {
  #sources: TimeSources;

  #startedAtMs: number;

  #suspendedMs = 0;

  /** Wall clock less monotonic clock at the last reading that counted. */
  #offsetMs: number;

  /**
   * @param sources - the clocks to read
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
    if (leadMs > JUMP_MS) this.#suspendedMs += leadMs;
    if (Math.abs(leadMs) > JUMP_MS) this.#offsetMs += leadMs;
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

  /** Reads both clocks; a pause of the process in between would look like a jump. */
  #read(): { readonly monotonicMs: number; readonly wallMs: number } {
    let beforeMs = this.#sources.monotonicMs();
    for (let count = 1; ; count += 1) {
      const wallMs = this.#sources.wallMs();
      const monotonicMs = this.#sources.monotonicMs();
      const isTogether = monotonicMs - beforeMs <= READ_TOGETHER_MS;
      if (isTogether || count >= MAX_READS) return { monotonicMs, wallMs };
      beforeMs = monotonicMs;
    }
  }
}
