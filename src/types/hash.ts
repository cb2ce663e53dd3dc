/** Hashing of names for stable assignment. */

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * FNV-1a with a final avalanche step, 32 bits.
 * @param text - what to hash
 * @returns a whole number from 0 to 2^32 - 1
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
 * Picks the preferred node for a key by rendezvous hashing (Thaler and Ravishankar, 1996): a change
 * of nodes moves only the keys of the nodes that changed.
 * @param key - what is assigned
 * @param nodes - the candidates
 * @returns the preferred node, or undefined when there is none
 */
export function getPreferred<T extends string>(key: string, nodes: readonly T[]): T | undefined {
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
