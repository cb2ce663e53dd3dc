/** Counts events over the last while, in sub-intervals, with memory that does not grow with the rate. */

const DEFAULT_BUCKET_COUNT = 20;

interface Bucket {
  readonly index: number;
  count: number;
}

/**
 * A sliding window counter. A fixed window forgets everything at its boundary, so that twice the
 * allowance passes around it; this one forgets one sub-interval at a time.
 */
export class SlidingCount {
  #bucketMs: number;

  #bucketCount: number;

  #buckets: Bucket[] = [];

  #total = 0;

  /**
   * @param windowMs - how long an event counts, up to one sub-interval less
   * @param bucketCount - number of sub-intervals
   */
  constructor(windowMs: number, bucketCount = DEFAULT_BUCKET_COUNT) {
    this.#bucketMs = windowMs / bucketCount;
    this.#bucketCount = bucketCount;
  }

  /**
   * Counts an event.
   * @param nowMs - this process's clock
   */
  add(nowMs: number): void {
    const index = Math.floor(nowMs / this.#bucketMs);
    this.#forgetBefore(index - this.#bucketCount);
    const last = this.#buckets.at(-1);
    if (last !== undefined && last.index >= index) last.count += 1;
    else this.#buckets.push({ index, count: 1 });
    this.#total += 1;
  }

  /**
   * Gets the events of the window that ends now.
   * @param nowMs - this process's clock
   * @returns the count
   */
  getTotal(nowMs: number): number {
    this.#forgetBefore(Math.floor(nowMs / this.#bucketMs) - this.#bucketCount);
    return this.#total;
  }

  #forgetBefore(index: number): void {
    for (;;) {
      const first = this.#buckets[0];
      if (first === undefined || first.index >= index) return;
      this.#total -= first.count;
      this.#buckets.shift();
    }
  }
}
