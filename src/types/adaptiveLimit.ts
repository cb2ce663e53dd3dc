/** A time limit for calls that follows how long the last answers took. */

/** Bounds of a limit. */
export interface LimitBounds {
  readonly leastMs: number;
  readonly mostMs: number;
  /** By how much the slowest of the last answers fades with each further one. */
  readonly fadeFactor: number;
}

/** The limit is this many times the slowest of the last answers. */
const SLOWEST_FACTOR = 4;

/** Growth with each further call that was not answered, as the other side may have turned slow. */
const GROWTH_FACTOR = 2;

/** Lost calls in a row that are taken as slowness; a third of lost answers gives 3 in a row rarely. */
const LOSSES_FOR_GROWTH = 3;

/** Learns one limit. */
export class AdaptiveLimit {
  #bounds: LimitBounds;

  #slowestMs: number;

  #lossCount = 0;

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
    this.#lossCount = 0;
    this.#slowestMs = Math.max(tookMs, this.#slowestMs * this.#bounds.fadeFactor);
  }

  /** Notes a call that was not answered. One is taken as lost; several in a row as a sign of slowness. */
  addLoss(): void {
    this.#lossCount += 1;
    if (this.#lossCount < LOSSES_FOR_GROWTH) return;
    this.#slowestMs = (this.limitMs / SLOWEST_FACTOR) * GROWTH_FACTOR;
  }
}
