/** Mean and variance of the latest observations, in constant space. */

/** Observations that the wider mean counts for: a target's kind for the target, the usual speed for the kind. */
const PRIOR_COUNT = 8;

/** A mean of the latest observations. */
export class RecentMean {
  #maxCount: number;

  #variance = 0;

  #mean = 1;

  #count = 0;

  /** @param maxCount - number of observations that the mean counts at most */
  constructor(maxCount: number) {
    this.#maxCount = maxCount;
  }

  get mean(): number {
    return this.#mean;
  }

  /** Number of observations that it counts for. */
  get count(): number {
    return this.#count;
  }

  /**
   * Adds an observation.
   * @param value - the observation
   */
  add(value: number): void {
    this.#count = Math.min(this.count + 1, this.#maxCount);
    const deviation = value - this.mean;
    this.#mean += deviation / this.count;
    this.#variance += (deviation * (value - this.mean) - this.#variance) / this.count;
  }

  /** Variance of single observations. */
  get variance(): number {
    return this.#variance;
  }

  /**
   * Gets the mean, shrunk towards a prior.
   * @param prior - the mean before any observation
   * @returns the weighted mean of both
   */
  getShrunk(prior: number): number {
    return (this.count * this.mean + PRIOR_COUNT * prior) / (this.count + PRIOR_COUNT);
  }
}
