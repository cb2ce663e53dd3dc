/** String hashing and rendezvous hashing. */

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Computes the 32-bit FNV-1a hash of a string, followed by the finalizer of MurmurHash3.
 * @param text - the string
 * @returns an integer from 0 to 2^32 - 1
 */
export function getHash(text: string): number {
  let hash = FNV_OFFSET_BASIS;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Selects the node for a key by rendezvous hashing (Thaler and Ravishankar, 1996): when nodes are added or
 * removed, only the keys of these nodes move.
 * @param key - the key
 * @param nodes - candidate nodes
 * @returns the selected node, or undefined when there are no candidates
 */
export function getRendezvousNode<T extends string>(
  key: string,
  nodes: readonly T[],
): T | undefined {
  let best: T | undefined;
  let bestHash = -1;
  nodes.forEach((node) => {
    const hash = getHash(`${key}|${node}`);
    const isBetter = hash > bestHash || (hash === bestHash && best !== undefined && node < best);
    if (!isBetter) return;
    best = node;
    bestHash = hash;
  });
  return best;
}
