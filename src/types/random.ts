/** Small seeded random generator, so that a reducer's choices can be replayed. */

const UINT32_RANGE = 4_294_967_296;

/**
 * Mulberry32 by Tommy Ettinger: 32 bits of state, good enough for load balancing and jitter.
 */
export class Random {
  #state: number;

  /**
   * @param seed - any whole number; equal seeds give equal sequences
   */
  constructor(seed: number) {
    this.#state = Math.trunc(seed) % UINT32_RANGE;
  }

  /** @returns a number from 0 up to but not including 1 */
  nextFraction(): number {
    this.#state = (this.#state + 0x6d2b79f5) % UINT32_RANGE;
    const first = Math.imul(this.#state ^ (this.#state >>> 15), 1 | this.#state);
    const second = (first + Math.imul(first ^ (first >>> 7), 61 | first)) ^ first;
    return ((second ^ (second >>> 14)) >>> 0) / UINT32_RANGE;
  }

  /**
   * @param bound - a whole number above 0
   * @returns a whole number from 0 up to but not including `bound`
   */
  nextInt(bound: number): number {
    return Math.floor(this.nextFraction() * bound);
  }
}
