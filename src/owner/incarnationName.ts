/** Names of target incarnations. */

/**
 * Builds the identity of a target incarnation.
 * @param address - address of the target
 * @param incarnationStartMs - its start time in Unix milliseconds
 * @returns a text that is the same for every owner
 */
export function toIncarnation(address: string, incarnationStartMs: number): string {
  return `${address}@${incarnationStartMs}`;
}
