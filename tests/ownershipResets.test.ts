/** Guards against takeovers from an owner that is alive, and against nodes that never find it again (LOST). */

import type { NodeId } from '../src/types/ids';
import { STORE } from './support/ownershipModel';
import type { OwnershipModel } from './support/ownershipModel';
import { createModel, getOwner, hasAllFollowers } from './support/ownershipSettings';

/** Interval of the resets. */
const RESET_INTERVAL_MS = 800;

/** A silent connection is noticed within this time. */
const SILENCE_MS = 2_000;

/** A node that loses its connection to an owner that is alive has another one by then. */
const RECONNECT_MS = 1_500;

async function resetRepeatedly(
  model: OwnershipModel,
  count: number,
  isSilent: boolean,
): Promise<void> {
  if (count === 0) return;
  model.nodes.forEach((node) => node.resetLinks(isSilent));
  await model.runFor(RESET_INTERVAL_MS + (isSilent ? SILENCE_MS : 0));
  await resetRepeatedly(model, count - 1, isSilent);
}

describe('an owner that is alive and reaches the store', () => {
  // Each of five resets of all channels cost a takeover that was not announced.
  test.each([
    ['reset', false],
    ['silent', true],
  ])('is not replaced when all channels are %s again and again', async (_name, isSilent) => {
    const model = await createModel(9);
    await resetRepeatedly(model, 8, isSilent);
    await model.runFor(RECONNECT_MS);
    expect(model.store.takeovers).toHaveLength(1);
    expect(hasAllFollowers(model)).toBe(true);
  });

  // Without the store nobody asks, and one attempt to connect may fail.
  test('is found again while the store is away, by a node that was cut off from it for a while', async () => {
    const model = await createModel(5);
    const owner = getOwner(model);
    const node = [...model.nodes.values()].find((other) => other !== owner);
    model.isStoreUp = false;
    const cut = { from: new Set([owner.nodeId]), to: new Set([node?.nodeId ?? STORE]) };
    model.cuts.add(cut);
    await model.runFor(3_000);
    expect(node?.core.mode.kind).toBe('suspecting');
    model.cuts.clear();
    await model.runFor(RECONNECT_MS);
    expect(hasAllFollowers(model)).toBe(true);
    expect(owner.isActing).toBe(true);
  });

  // review/7: only nodes were asked that had left, and the node neither asked again nor connected again.
  test('is found again by nodes that have lost it, whatever nodes have departed before', async () => {
    const model = await createModel(7);
    for (let count = 0; count < 30; count += 1) model.registered.add(`node-0-${count}` as NodeId);
    await model.runFor(11_000);
    model.nodes.forEach((node) => node.resetLinks());
    await model.runFor(RECONNECT_MS);
    expect(model.store.takeovers).toHaveLength(1);
    expect(hasAllFollowers(model)).toBe(true);
  });

  test('is found again by a node that could reach nobody for a while', async () => {
    const model = await createModel(5);
    const owner = getOwner(model);
    const node = [...model.nodes.values()].find((other) => other !== owner);
    const alone = new Set([node?.nodeId ?? STORE]);
    const others = new Set([...model.registered].filter((nodeId) => !alone.has(nodeId)));
    model.cuts.add({ from: alone, to: others });
    model.cuts.add({ from: others, to: alone });
    await model.runFor(12_000);
    expect(node?.core.mode.kind).toBe('suspecting');
    expect(node?.core.isCutFromLiveOwner(model.time.nowMs)).toBe(true);
    expect(model.lines.some((line) => line.includes('not connected to the owner'))).toBe(true);
    model.cuts.clear();
    await model.runFor(RECONNECT_MS);
    expect(model.store.takeovers).toHaveLength(1);
    expect(hasAllFollowers(model)).toBe(true);
    expect(node?.core.isCutFromLiveOwner(model.time.nowMs)).toBe(false);
  });
});
