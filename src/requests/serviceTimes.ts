/** Estimates the request latency of each service. */

const GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
const LIKELY_FACTOR = 4;
const MIN_SAMPLES = 16;
const DEVIATION_FACTOR = 8;
const MIN_ATTEMPT_MS = 100;

interface Estimate {
  sampleCount: number;
  meanMs: number;
  deviationMs: number;
}

/**
 * Smoothed mean and mean deviation per service, as in TCP round-trip time estimation (Jacobson,
 * 1988).
 */
export class ServiceTimes {
  #estimates = new Map<string, Estimate>();

  /**
   * Adds a latency sample.
   * @param name - name of the service
   * @param durationMs - time from the start of the request to its response
   */
  record(name: string, durationMs: number): void {
    const known = this.#estimates.get(name);
    if (known === undefined) {
      const first = { sampleCount: 1, meanMs: durationMs, deviationMs: durationMs / 2 };
      this.#estimates.set(name, first);
      return;
    }
    const error = durationMs - known.meanMs;
    known.sampleCount += 1;
    known.meanMs += GAIN * error;
    known.deviationMs += DEVIATION_GAIN * (Math.abs(error) - known.deviationMs);
  }

  /**
   * Gets the mean latency.
   * @param name - name of the service
   * @returns the mean, or 0 without samples
   */
  getMeanMs(name: string): number {
    return this.#estimates.get(name)?.meanMs ?? 0;
  }

  /**
   * Gets an upper estimate of the latency, within which nearly all requests complete.
   * @param name - name of the service
   * @returns the estimate, or 0 without samples
   */
  getLikelyMs(name: string): number {
    const known = this.#estimates.get(name);
    return known === undefined ? 0 : known.meanMs + LIKELY_FACTOR * known.deviationMs;
  }

  /**
   * Gets the time-out of an attempt that can be retried.
   * @param name - name of the service
   * @returns the time-out, infinite while there are too few samples
   */
  getAttemptMs(name: string): number {
    const known = this.#estimates.get(name);
    if (known === undefined || known.sampleCount < MIN_SAMPLES) return Number.POSITIVE_INFINITY;
    return Math.max(MIN_ATTEMPT_MS, 2 * known.meanMs + DEVIATION_FACTOR * known.deviationMs);
  }
}
