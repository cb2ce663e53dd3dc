/** A call timeout that adapts to recent response times. */

export interface LimitBounds {
  readonly leastMs: number;
  readonly mostMs: number;
  /** The slowest recent response time is multiplied by this with each further response. */
  readonly fadeFactor: number;
}

/** The timeout is this multiple of the slowest recent response time. */
const SLOWEST_FACTOR = 4;

/** Growth of the timeout with each further unanswered call, because the server may have become slow. */
const GROWTH_FACTOR = 2;

/**
 * Number of consecutive unanswered calls that indicates a slow server. With a third of all answers lost, three in
 * a row are rare.
 */
const LOSSES_FOR_GROWTH = 3;

/** Tracks response times and derives a timeout from them. */
export class AdaptiveLimit {
  #bounds: LimitBounds;

  #slowestMs: number;

  #lossCount = 0;

  /**
   * @param bounds - range of the timeout, which starts at the maximum
   */
  constructor(bounds: LimitBounds) {
    this.#bounds = bounds;
    this.#slowestMs = bounds.mostMs / SLOWEST_FACTOR;
  }

  /** Timeout of the next call. */
  get limitMs(): number {
    const { leastMs, mostMs } = this.#bounds;
    return Math.min(Math.max(this.#slowestMs * SLOWEST_FACTOR, leastMs), mostMs);
  }

  /**
   * Records the response time of an answered call.
   * @param elapsedMs - time from sending the call to its answer
   */
  addAnswer(tookMs: number): void {
    this.#lossCount = 0;
    this.#slowestMs = Math.max(tookMs, this.#slowestMs * this.#bounds.fadeFactor);
  }

  /** Records an unanswered call. A single one counts as lost; several in a row indicate a slow server. */
  addLoss(): void {
    this.#lossCount += 1;
    if (this.#lossCount < LOSSES_FOR_GROWTH) return;
    this.#slowestMs = (this.limitMs / SLOWEST_FACTOR) * GROWTH_FACTOR;
  }
}
