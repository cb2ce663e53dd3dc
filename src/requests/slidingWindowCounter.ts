/** Counts recent events in buckets, with memory use that is independent of the event rate. */

const DEFAULT_BUCKET_COUNT = 20;

interface Bucket {
  readonly index: number;
  count: number;
}

/**
 * Sliding window counter. A fixed window resets at its boundary, which lets up to twice the limit
 * pass around the boundary; this counter expires one bucket at a time.
 */
export class SlidingWindowCounter {
  #bucketMs: number;

  #bucketCount: number;

  #buckets: Bucket[] = [];

  #total = 0;

  /**
   * @param windowMs - length of the window; events expire up to one bucket early
   * @param bucketCount - number of buckets in the window
   */
  constructor(windowMs: number, bucketCount = DEFAULT_BUCKET_COUNT) {
    this.#bucketMs = windowMs / bucketCount;
    this.#bucketCount = bucketCount;
  }

  /**
   * Counts an event.
   * @param nowMs - current time of this process's monotonic clock
   */
  add(nowMs: number): void {
    const index = Math.floor(nowMs / this.#bucketMs);
    this.#evictBefore(index - this.#bucketCount);
    const last = this.#buckets.at(-1);
    if (last !== undefined && last.index >= index) last.count += 1;
    else this.#buckets.push({ index, count: 1 });
    this.#total += 1;
  }

  /**
   * Gets the number of events in the window that ends now.
   * @param nowMs - current time of this process's monotonic clock
   * @returns the count
   */
  getCount(nowMs: number): number {
    this.#evictBefore(Math.floor(nowMs / this.#bucketMs) - this.#bucketCount);
    return this.#total;
  }

  #evictBefore(index: number): void {
    for (;;) {
      const first = this.#buckets[0];
      if (first === undefined || first.index >= index) return;
      this.#total -= first.count;
      this.#buckets.shift();
    }
  }
}
