/** Models of ownership with nodes that have elected their first owner. */

import { Random } from '../../src/types/random';
import { OwnershipModel } from './ownershipModel';
import type { OwnershipNode } from './ownershipNode';

/** Nodes have found the first owner and are its voters. */
const WARM_UP_MS = 5_000;

/** Creates a model whose nodes have elected an owner. */
export async function createModel(nodeCount: number, seed = 1): Promise<OwnershipModel> {
  const model = new OwnershipModel(new Random(seed));
  for (let count = 0; count < nodeCount; count += 1) model.addNode(`node-${count + 10}`);
  await model.runFor(WARM_UP_MS);
  return model;
}

/** Gets the node that acts as the owner. */
export function getOwner(model: OwnershipModel): OwnershipNode {
  const [owner] = model.actingNodes;
  if (owner === undefined) throw new Error('there is no owner');
  return owner;
}

/** Checks whether each node hears the owner. */
export function hasAllFollowers(model: OwnershipModel): boolean {
  const owner = getOwner(model);
  return [...model.nodes.values()].every(
    (node) => node === owner || node.core.isOwnerHeard(owner.core.epoch, model.time.nowMs),
  );
}
