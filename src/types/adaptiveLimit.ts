/** A time limit for calls that follows how long the last answers took. */

/** Bounds of a limit. */
export interface LimitBounds {
  readonly leastMs: number;
  readonly mostMs: number;
}

/** The limit is this many times the slowest of the last answers. */
const SLOWEST_FACTOR = 4;

/** By how much the slowest of the last answers fades with each further one. */
const FADE = 0.95;

/** Growth with each call that was not answered, in case the other side has turned slow. */
const GROWTH = 1.2;

/** Learns one limit. */
export class AdaptiveLimit {
  #bounds: LimitBounds;

  #slowestMs: number;

  /**
   * @param bounds - least and most; it begins with the most
   */
  constructor(bounds: LimitBounds) {
    this.#bounds = bounds;
    this.#slowestMs = bounds.mostMs / SLOWEST_FACTOR;
  }

  /** How long to wait for the next answer. */
  get limitMs(): number {
    const { leastMs, mostMs } = this.#bounds;
    return Math.min(Math.max(this.#slowestMs * SLOWEST_FACTOR, leastMs), mostMs);
  }

  /**
   * Notes an answer.
   * @param tookMs - from sending to answer
   */
  addAnswer(tookMs: number): void {
    this.#slowestMs = Math.max(tookMs, this.#slowestMs * FADE);
  }

  /** Notes a call that was not answered within the limit. */
  addLoss(): void {
    this.#slowestMs = (this.limitMs / SLOWEST_FACTOR) * GROWTH;
  }
}
