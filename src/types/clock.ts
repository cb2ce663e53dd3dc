/** Elapsed time of one process, safe against a frozen monotonic clock. */

import { performance } from 'node:perf_hooks';

/** Source of elapsed time. */
export interface Clock {
  /** Milliseconds since the process started. */
  nowMs(): number;
  /** Milliseconds since 1970, for values that leave the process. */
  wallMs(): number;
}

/**
 * Takes the larger of monotonic and wall-clock progress. A frozen Vm can stop the monotonic clock,
 * and a stepped wall clock only ever makes a lease end early.
 */
export class ElapsedClock implements Clock {
  #elapsedMs = 0;

  #lastMonotonicMs = performance.now();

  #lastWallMs = Date.now();

  /** {@inheritDoc Clock.nowMs} */
  nowMs(): number {
    const monotonicMs = performance.now();
    const wallMs = Date.now();
    const monotonicStepMs = monotonicMs - this.#lastMonotonicMs;
    const wallStepMs = wallMs - this.#lastWallMs;
    this.#lastMonotonicMs = monotonicMs;
    this.#lastWallMs = wallMs;
    this.#elapsedMs += Math.max(monotonicStepMs, wallStepMs, 0);
    return this.#elapsedMs;
  }

  /** {@inheritDoc Clock.wallMs} */
  wallMs(): number {
    this.nowMs();
    return this.#lastWallMs;
  }
}
