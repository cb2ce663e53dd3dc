/** Sums what the owner's thread does, for the log. */

/** Kinds of work that are named, those with the most time. */
const MAX_NAMED_WORK = 8;

/** Sums the time of work and counts its pieces. */
export class WorkSums {
  #sums = new Map<string, { count: number; totalMs: number }>();

  /**
   * Adds a piece of work.
   * @param work - its kind
   * @param durationMs - its duration
   */
  add(work: string, durationMs: number): void {
    const sum = this.#sums.get(work);
    if (sum === undefined) this.#sums.set(work, { count: 1, totalMs: durationMs });
    else {
      sum.count += 1;
      sum.totalMs += durationMs;
    }
  }

  /**
   * Takes what has been added since the last call.
   * @returns the kinds of work with the most time, in milliseconds
   */
  takeLongest(): Readonly<Record<string, { readonly count: number; readonly ms: number }>> {
    const longest = [...this.#sums]
      .sort(([, left], [, right]) => right.totalMs - left.totalMs)
      .slice(0, MAX_NAMED_WORK);
    this.#sums.clear();
    return Object.fromEntries(
      longest.map(([work, { count, totalMs }]) => [work, { count, ms: Math.round(totalMs) }]),
    );
  }
}
