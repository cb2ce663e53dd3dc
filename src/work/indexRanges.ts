/** Compact text form of integer sets as ranges, such as `0-5,7`. */

/**
 * Formats a set as ranges.
 * @param indexes - the numbers, in any order
 * @returns the ranges in ascending order; empty for an empty set
 */
export function formatRanges(indexes: Iterable<number>): string {
  const sorted = [...indexes].sort((left, right) => left - right);
  const parts: string[] = [];
  let position = 0;
  while (position < sorted.length) {
    const first = sorted[position] ?? 0;
    let last = first;
    while (sorted[position + 1] === last + 1) {
      position += 1;
      last += 1;
    }
    parts.push(first === last ? `${first}` : `${first}-${last}`);
    position += 1;
  }
  return parts.join(',');
}

/**
 * Parses ranges.
 * @param text - as returned by {@link formatRanges}
 * @returns the numbers
 */
export function parseRanges(text: string): Set<number> {
  const indexes = new Set<number>();
  if (text === '') return indexes;
  text.split(',').forEach((part) => {
    const [first = 0, last = first] = part.split('-').map(Number);
    for (let index = first; index <= last; index += 1) indexes.add(index);
  });
  return indexes;
}
