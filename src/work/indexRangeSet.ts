/** A set of integers that are mostly consecutive, kept as ranges, so that its size follows the number of gaps. */

interface IndexRange {
  readonly first: number;
  readonly last: number;
}

/** A set of integers, from 0 on. */
export class IndexRangeSet {
  /** In ascending order, with a gap between any two. */
  #ranges: IndexRange[] = [];

  /**
   * Parses ranges.
   * @param text - as returned by {@link IndexRangeSet.format}
   * @returns the set
   */
  static parse(text: string): IndexRangeSet {
    const set = new IndexRangeSet();
    if (text === '') return set;
    text.split(',').forEach((part) => {
      const [first = 0, last = first] = part.split('-').map(Number);
      set.addRange(first, last);
    });
    return set;
  }

  /** @returns the ranges in ascending order, such as `0-5,7`; empty for an empty set */
  format(): string {
    return this.#ranges
      .map(({ first, last }) => (first === last ? `${first}` : `${first}-${last}`))
      .join(',');
  }

  /**
   * @param index - a number
   * @returns true when it is in the set
   */
  has(index: number): boolean {
    const range = this.#ranges[this.#findPosition(index)];
    return range !== undefined && range.first <= index;
  }

  /**
   * @param index - a number
   * @returns the lowest number from there on that is not in the set
   */
  getNextAbsent(index: number): number {
    const range = this.#ranges[this.#findPosition(index)];
    return range !== undefined && range.first <= index ? range.last + 1 : index;
  }

  /**
   * Adds a number.
   * @param index - the number
   */
  add(index: number): void {
    this.addRange(index, index);
  }

  /**
   * Adds consecutive numbers.
   * @param first - the lowest of them
   * @param last - the highest of them; nothing is added when it is lower
   */
  addRange(first: number, last: number): void {
    if (last < first) return;
    const begin = this.#findPosition(first - 1);
    let end = begin;
    let merged: IndexRange = { first, last };
    for (; end < this.#ranges.length; end += 1) {
      const range = this.#ranges[end];
      if (range === undefined || range.first > last + 1) break;
      merged = {
        first: Math.min(merged.first, range.first),
        last: Math.max(merged.last, range.last),
      };
    }
    this.#ranges.splice(begin, end - begin, merged);
  }

  /** Position of the first range that ends at a number or after it. */
  #findPosition(index: number): number {
    let low = 0;
    let high = this.#ranges.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((this.#ranges[middle]?.last ?? 0) < index) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
