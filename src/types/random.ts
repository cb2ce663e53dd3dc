/** Seeded pseudo-random number generator, which makes the decisions of reducers reproducible. */

const UINT32_RANGE = 4_294_967_296;

/**
 * Mulberry32 by Tommy Ettinger. Its 32 bits of state suffice for load balancing and jitter.
 */
export class Random {
  #state: number;

  /**
   * @param seed - any integer; equal seeds produce equal sequences
   */
  constructor(seed: number) {
    this.#state = Math.trunc(seed) % UINT32_RANGE;
  }

  /** @returns a number in the range [0, 1) */
  nextFraction(): number {
    this.#state = (this.#state + 0x6d2b79f5) % UINT32_RANGE;
    const first = Math.imul(this.#state ^ (this.#state >>> 15), 1 | this.#state);
    const second = (first + Math.imul(first ^ (first >>> 7), 61 | first)) ^ first;
    return ((second ^ (second >>> 14)) >>> 0) / UINT32_RANGE;
  }

  /**
   * @param bound - a positive integer
   * @returns an integer in the range [0, bound)
   */
  nextInt(bound: number): number {
    return Math.floor(this.nextFraction() * bound);
  }
}
