/**
 * Choice of the next owner: the node with the most processor capacity, among equals the most recently
 * started, and never one that does not reach the store.
 */

import { FollowerTable } from '../src/node/followerTable';
import type { FollowerHeartbeat } from '../src/node/followerTable';
import type { PeerLinkHandle } from '../src/peer/types';
import type { NodeId } from '../src/types/ids';

function createHeartbeat(
  nodeId: string,
  overrides: Partial<FollowerHeartbeat> = {},
): FollowerHeartbeat {
  return {
    nodeId: nodeId as NodeId,
    link: {} as PeerLinkHandle,
    startedAtMs: 100,
    processorMillis: 300,
    isStoreReachable: true,
    ...overrides,
  };
}

describe('a table of followers', () => {
  test('chooses the strongest node, among equals the most recently started', () => {
    const table = new FollowerTable();
    table.note(createHeartbeat('weak', { startedAtMs: 900 }), 0);
    table.note(createHeartbeat('old', { processorMillis: 1_350 }), 0);
    table.note(createHeartbeat('young', { processorMillis: 1_350, startedAtMs: 200 }), 0);
    table.note(
      createHeartbeat('storeless', { processorMillis: 2_000, isStoreReachable: false }),
      0,
    );
    expect(table.getSuccessorId()).toBe('young');
  });

  test('finds a stronger node only if it is much stronger and has been connected long enough', () => {
    const table = new FollowerTable();
    table.note(createHeartbeat('strong', { processorMillis: 1_350 }), 0);
    expect(table.tryGetStrongerId(300, 1_000)).toBeUndefined();
    expect(table.tryGetStrongerId(300, 2_000)).toBe('strong');
    expect(table.tryGetStrongerId(1_000, 2_000)).toBeUndefined();
  });

  test('treats a reconnected node as new, and removes expired and disconnected ones', () => {
    const table = new FollowerTable();
    const heartbeat = createHeartbeat('a');
    expect(table.note(heartbeat, 0)).toBe(true);
    expect(table.note(heartbeat, 500)).toBe(false);
    expect(table.note(createHeartbeat('a'), 600)).toBe(true);
    expect(table.removeByLink(heartbeat.link)).toBeUndefined();
    expect(table.removeExpired(1_400)).toEqual([]);
    expect(table.removeExpired(1_500).map(({ nodeId }) => nodeId)).toEqual(['a']);
    expect(table.count).toBe(0);
  });
});
