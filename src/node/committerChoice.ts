/**
 * Chooses the node that commits the submissions of a part for all gates while the store is slow.
 *
 * Load pattern: about a hundred gates accept tens of submissions a second, so most transactions of a gate carry
 * one row. The store runs the transactions of a part one after another; once each takes hundreds of
 * milliseconds, the gates together need more transactions than the parts can run. One node that commits the rows
 * of all gates for a part needs two transactions for the same number of rows.
 */

import { getHash } from '../types/hash';
import type { NodeId } from '../types/ids';

/** A node that may commit rows for others. */
export interface CommitterCandidate {
  readonly nodeId: NodeId;
  /** Processor capacity of its Vm, in thousandths of a core. */
  readonly processorMillis: number;
}

/**
 * Chooses the committer of a part. Nodes with the same list choose the same one; where lists differ, a part has
 * more than one committer for a while, which costs transactions but is safe, as a row is created only once.
 * @param part - part of the rows
 * @param candidates - all known nodes
 * @param isExcluded - whether a node cannot be used now
 * @returns one of the nodes with the most processor capacity, by rendezvous hashing; undefined when none is left
 */
export function chooseCommitter<T extends CommitterCandidate>(
  part: string,
  candidates: readonly T[],
  isExcluded: (nodeId: NodeId) => boolean,
): T | undefined {
  const usable = candidates.filter(({ nodeId }) => !isExcluded(nodeId));
  const strongestMillis = Math.max(...usable.map(({ processorMillis }) => processorMillis));
  let best: T | undefined;
  let bestHash = -1;
  usable.forEach((candidate) => {
    if (candidate.processorMillis < strongestMillis) return;
    const hash = getHash(`${part}|${candidate.nodeId}`);
    if (hash <= bestHash) return;
    best = candidate;
    bestHash = hash;
  });
  return best;
}
