/**
 * Guards against two owners that both act (TWICE), against nodes that never find an owner again (LOST), and against
 * takeovers from an owner that is alive.
 */

import { ACTIONS, OwnershipHistory } from './support/ownershipHistories';

const SEEDS = Array.from({ length: 25 }, (_, index) => index + 1);

/** Cuts, freezes, outages and restarts of the last action have ended by then, and their effects. */
const CALM_MS = 30_000;

const ALL_ACTIONS = Object.values(ACTIONS);

/** Nodes that neither own the fleet nor are connected to the one that does. */
function getLonelyNodes({ model }: OwnershipHistory): readonly string[] {
  const [owner] = model.actingNodes;
  return [...model.nodes.values()]
    .filter(
      (node) =>
        node !== owner &&
        !node.core.isOwnerHeard(owner?.core.epoch ?? node.core.epoch, model.time.nowMs),
    )
    .map(({ nodeId, core }) => `${nodeId} is ${core.mode.kind}`);
}

describe('drawn histories of ownership', () => {
  test.each(SEEDS)(
    'have no two owners that act, and every node finds the owner, seed %i',
    async (seed) => {
      const history = new OwnershipHistory(seed, 3 + (seed % 7));
      await history.play(ALL_ACTIONS);
      await history.model.runFor(CALM_MS);
      expect(history.model.violations).toEqual([]);
      expect(history.model.actingNodes).toHaveLength(1);
      expect(getLonelyNodes(history)).toEqual([]);
    },
  );
});
