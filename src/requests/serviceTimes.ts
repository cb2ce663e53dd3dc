/** Running estimates of how long the requests of each service take. */

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

/** Mean and mean deviation by service, as smoothed round-trip times (Jacobson, 1988). */
export class ServiceTimes {
  #estimates = new Map<string, Estimate>();

  /**
   * Takes in how long one request ran.
   * @param name - the service
   * @param durationMs - from its start to its answer
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
   * Gets the mean.
   * @param name - the service
   * @returns the mean, 0 while nothing is known
   */
  getMeanMs(name: string): number {
    return this.#estimates.get(name)?.meanMs ?? 0;
  }

  /**
   * Gets the time within which nearly every request ends.
   * @param name - the service
   * @returns the time, 0 while nothing is known
   */
  getLikelyMs(name: string): number {
    const known = this.#estimates.get(name);
    return known === undefined ? 0 : known.meanMs + LIKELY_FACTOR * known.deviationMs;
  }

  /**
   * Gets after how long an attempt that could be repeated should be given up.
   * @param name - the service
   * @returns the time, infinite while too little is known
   */
  getAttemptMs(name: string): number {
    const known = this.#estimates.get(name);
    if (known === undefined || known.sampleCount < MIN_SAMPLES) return Number.POSITIVE_INFINITY;
    return Math.max(MIN_ATTEMPT_MS, 2 * known.meanMs + DEVIATION_FACTOR * known.deviationMs);
  }
}
