/** Length of the longest chain of steps. */

/** What the length depends on. */
interface ChainStep {
  /** Numbers of the steps that must be done first; lower than that of the step. */
  readonly after: readonly number[];
}

/**
 * Gets the time that steps take one after another at least, as steps that do not depend on each other run together.
 * @param steps - the steps
 * @param getDurationMs - gets the duration of a step by its number
 * @returns the duration of the longest chain of dependencies
 */
export function getLongestChainMs(
  steps: readonly ChainStep[],
  getDurationMs: (number: number) => number,
): number {
  const endsMs: number[] = [];
  let longestMs = 0;
  steps.forEach(({ after }, number) => {
    const beginMs = after.reduce((latest, before) => Math.max(latest, endsMs[before] ?? 0), 0);
    const endMs = beginMs + getDurationMs(number);
    endsMs.push(endMs);
    longestMs = Math.max(longestMs, endMs);
  });
  return longestMs;
}
