/** A call timeout that adapts to recent response times. */

export interface TimeoutBounds {
  readonly minMs: number;
  readonly maxMs: number;
  /** The slowest recent response time is multiplied by this with each further response. */
  readonly decayFactor: number;
}

/** The timeout is this multiple of the slowest recent response time. */
const SLOWEST_RESPONSE_MULTIPLIER = 4;

/** Growth of the timeout with each further unanswered call, because the server may have become slow. */
const BACKOFF_FACTOR = 2;

/**
 * Number of consecutive unanswered calls that indicates a slow server. With a third of all answers lost, three in
 * a row are rare.
 */
const LOSSES_BEFORE_BACKOFF = 3;

/** Tracks response times and derives a timeout from them. */
export class AdaptiveTimeout {
  #bounds: TimeoutBounds;

  #slowestMs: number;

  #lossCount = 0;

  /**
   * @param bounds - range of the timeout, which starts at the maximum
   */
  constructor(bounds: TimeoutBounds) {
    this.#bounds = bounds;
    this.#slowestMs = bounds.maxMs / SLOWEST_RESPONSE_MULTIPLIER;
  }

  /** Timeout of the next call. */
  get timeoutMs(): number {
    const { minMs, maxMs } = this.#bounds;
    return Math.min(Math.max(this.#slowestMs * SLOWEST_RESPONSE_MULTIPLIER, minMs), maxMs);
  }

  /**
   * Records the response time of an answered call.
   * @param elapsedMs - time from sending the call to its answer
   */
  addResponse(elapsedMs: number): void {
    this.#lossCount = 0;
    this.#slowestMs = Math.max(elapsedMs, this.#slowestMs * this.#bounds.decayFactor);
  }

  /** Records an unanswered call. A single one counts as lost; several in a row indicate a slow server. */
  addLoss(): void {
    this.#lossCount += 1;
    if (this.#lossCount < LOSSES_BEFORE_BACKOFF) return;
    this.#slowestMs = (this.timeoutMs / SLOWEST_RESPONSE_MULTIPLIER) * BACKOFF_FACTOR;
  }
}
