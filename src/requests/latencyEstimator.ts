/** Estimates the request latency of each service. */

const MEAN_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
const TAIL_DEVIATIONS = 4;
const MIN_SAMPLES_FOR_TIMEOUT = 16;
const ATTEMPT_TIMEOUT_DEVIATIONS = 8;
const MIN_ATTEMPT_TIMEOUT_MS = 100;

interface LatencyEstimate {
  sampleCount: number;
  meanMs: number;
  deviationMs: number;
}

/**
 * Smoothed mean and mean deviation per service, as in TCP round-trip time estimation (Jacobson,
 * 1988).
 */
export class LatencyEstimator {
  #estimates = new Map<string, LatencyEstimate>();

  /**
   * Adds a latency sample.
   * @param name - name of the service
   * @param durationMs - time from the start of the request to its response
   */
  record(name: string, durationMs: number): void {
    const estimate = this.#estimates.get(name);
    if (estimate === undefined) {
      const first = { sampleCount: 1, meanMs: durationMs, deviationMs: durationMs / 2 };
      this.#estimates.set(name, first);
      return;
    }
    const error = durationMs - estimate.meanMs;
    estimate.sampleCount += 1;
    estimate.meanMs += MEAN_GAIN * error;
    estimate.deviationMs += DEVIATION_GAIN * (Math.abs(error) - estimate.deviationMs);
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
   * Gets the tail latency, within which nearly all requests complete.
   * @param name - name of the service
   * @returns the estimate, or 0 without samples
   */
  getTailMs(name: string): number {
    const estimate = this.#estimates.get(name);
    return estimate === undefined ? 0 : estimate.meanMs + TAIL_DEVIATIONS * estimate.deviationMs;
  }

  /**
   * Gets the time-out of an attempt that can be retried.
   * @param name - name of the service
   * @returns the time-out, infinite while there are too few samples
   */
  getAttemptTimeoutMs(name: string): number {
    const estimate = this.#estimates.get(name);
    if (estimate === undefined || estimate.sampleCount < MIN_SAMPLES_FOR_TIMEOUT)
      return Number.POSITIVE_INFINITY;
    return Math.max(
      MIN_ATTEMPT_TIMEOUT_MS,
      2 * estimate.meanMs + ATTEMPT_TIMEOUT_DEVIATIONS * estimate.deviationMs,
    );
  }
}
