/** Time that this process spends on garbage collection. */

import { PerformanceObserver } from 'node:perf_hooks';

/** Sums the pauses for garbage collection. */
export class CollectionTimes {
  #totalMs = 0;

  #observer: PerformanceObserver | undefined;

  /**
   * Reads the sum; the first call starts the measurement.
   * @returns the time since then, without pauses that have not been reported yet
   */
  readMs(): number {
    if (this.#observer === undefined) {
      this.#observer = new PerformanceObserver((list) => this.#add(list.getEntries()));
      this.#observer.observe({ entryTypes: ['gc'] });
    }
    return this.#totalMs;
  }

  #add(entries: readonly { readonly duration: number }[]): void {
    entries.forEach(({ duration }) => {
      this.#totalMs += duration;
    });
  }
}
