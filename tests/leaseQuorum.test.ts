/** Guards against two owners that both act: an owner's voters, as it stores them and as they confirm it (TWICE). */

import * as E from 'fp-ts/Either';
import * as fc from 'fast-check';
import { LeaseQuorum } from '../src/node/leaseQuorum';
import type { LeaseHolder, VoterWrite } from '../src/node/leaseQuorum';
import { decodeVoterSet, getLeaseQuorum, getVoteQuorum, isVoteQuorum } from '../src/node/voterSet';
import type { NodeId } from '../src/types/ids';
import { toEpoch } from '../src/types/ids';

const EPOCH = toEpoch(5);
const NODE_COUNT = 8;
const IDS = Array.from({ length: NODE_COUNT }, (_, index) => `node-${index}` as NodeId);
const UNKNOWN = E.left({ kind: 'unknown' as const, detail: 'timeout' });

function createHolder(nodeId: NodeId, overrides: Partial<LeaseHolder> = {}): LeaseHolder {
  const reported = { acknowledgedMs: 2_000, votedVersion: 0, isLeaving: false };
  return { nodeId, startedAtMs: 100, ...reported, ...overrides };
}

/** An owner whose nodes have acknowledged its answer of 2 s. */
class Owner {
  readonly lease = new LeaseQuorum(EPOCH, 0, 0);

  nowMs = 2_000;

  constructor(ids: readonly NodeId[] = IDS) {
    this.hear(ids);
  }

  hear(ids: readonly NodeId[], overrides: Partial<LeaseHolder> = {}): void {
    ids.forEach((nodeId) => this.lease.note(createHolder(nodeId, overrides), this.nowMs));
  }

  tryWrite(): VoterWrite | undefined {
    return this.lease.tryCreateWrite(this.nowMs, NODE_COUNT + 1);
  }

  write(): VoterWrite {
    this.nowMs += 5_100;
    const write = this.tryWrite();
    if (write === undefined) throw new Error('nothing to write');
    return write;
  }

  commit(version: number): void {
    this.lease.onWritten(this.write(), E.right({ version }));
  }

  get confirmedMs(): number | undefined {
    return this.lease.tryGetConfirmedMs(this.nowMs);
  }
}

test('each lease quorum shares a voter with each vote quorum, and a few votes suffice', () => {
  fc.assert(
    fc.property(fc.integer({ min: 0, max: 300 }), (count) => {
      expect(getLeaseQuorum(count) + getVoteQuorum(count)).toBe(count + 1);
      expect(getVoteQuorum(count)).toBeLessThanOrEqual(Math.max(1, count / 4 + 1));
    }),
  );
});

test('an entry of the voter set that cannot be read names no voters, and no epoch', () => {
  ['', '7', '{"epoch":5}', '{"epoch":5,"voters":[["a"]]}'].forEach((value) => {
    expect(decodeVoterSet({ version: 9, value })).toEqual({ version: 9, epoch: 0, voters: [] });
  });
});

test('votes of nodes that are no voters do not count', () => {
  const voters = IDS.slice(0, 4).map((nodeId) => ({ nodeId, startedAtMs: 1 }));
  const voterSet = { version: 9, epoch: EPOCH, voters };
  expect(isVoteQuorum(voterSet, new Set([IDS[0], ...IDS.slice(4)] as NodeId[]))).toBe(false);
  expect(isVoteQuorum(voterSet, new Set(IDS.slice(2, 4)))).toBe(true);
});

describe('an owner without the store', () => {
  test('is confirmed by voters only once their set is stored', () => {
    const owner = new Owner();
    expect(owner.confirmedMs).toBeUndefined();
    const write = owner.write();
    expect(owner.confirmedMs).toBeUndefined();
    owner.lease.onWritten(write, E.right({ version: 9 }));
    expect(owner.confirmedMs).toBe(2_000);
  });

  test('needs three quarters of the voters, each for itself', () => {
    const owner = new Owner();
    owner.commit(9);
    owner.nowMs = 5_000;
    owner.hear(IDS.slice(0, 5), { acknowledgedMs: 4_500 });
    expect(owner.confirmedMs).toBe(2_000);
    owner.hear(IDS.slice(5, 6), { acknowledgedMs: 4_000 });
    expect(owner.confirmedMs).toBe(4_000);
  });

  // A heartbeat that waits in the buffers of a suspended owner is older than it looks.
  test('counts from the answer that a heartbeat acknowledges, not from its arrival', () => {
    const owner = new Owner();
    owner.commit(9);
    owner.nowMs = 60_000;
    owner.hear(IDS, { acknowledgedMs: 3_000 });
    expect(owner.confirmedMs).toBe(3_000);
  });

  test('is not confirmed by voters that have voted against their set, nor by later processes of them', () => {
    const owner = new Owner();
    owner.commit(9);
    owner.hear(IDS.slice(0, 3), { votedVersion: 9 });
    expect(owner.confirmedMs).toBeUndefined();
    owner.hear(IDS.slice(0, 3), { votedVersion: 8 });
    expect(owner.confirmedMs).toBe(2_000);
    owner.hear(IDS.slice(0, 3), { startedAtMs: 101 });
    expect(owner.confirmedMs).toBeUndefined();
  });

  test('needs the voters of a set whose write may have taken effect as well', () => {
    const owner = new Owner();
    owner.commit(9);
    const others = Array.from({ length: 8 }, (_, index) => `other-${index}` as NodeId);
    owner.hear(others, { acknowledgedMs: 1_000 });
    owner.lease.onWritten(owner.write(), UNKNOWN);
    expect(owner.confirmedMs).toBe(1_000);
    owner.lease.onWritten(owner.write(), E.left({ kind: 'notDone', detail: 'down' }));
    expect(owner.confirmedMs).toBe(1_000);
    owner.commit(12);
    owner.hear(IDS.slice(0, 4), { acknowledgedMs: 1_500 });
    expect(owner.confirmedMs).toBe(1_000);
  });

  test('relies on the store alone after it has yielded, until a set is stored that is written later', () => {
    const owner = new Owner();
    owner.commit(9);
    owner.lease.yield(owner.nowMs);
    expect(owner.confirmedMs).toBeUndefined();
    owner.nowMs += 1_500;
    expect(owner.tryWrite()).toBeUndefined();
    owner.nowMs += 1_600;
    owner.commit(12);
    expect(owner.confirmedMs).toBe(2_000);
  });

  test('does not take a set for a later one whose write was under way when it yielded', () => {
    const owner = new Owner();
    owner.commit(9);
    owner.hear(['node-9' as NodeId]);
    const write = owner.write();
    owner.lease.yield(owner.nowMs);
    // The claimant may have read the set of this write before it asked the owner to yield.
    owner.lease.onWritten(write, E.right({ version: 12 }));
    expect(owner.confirmedMs).toBeUndefined();
  });

  // The successor claims at once, whatever set is stored.
  test('relies on the store alone for good once it has resigned', () => {
    const owner = new Owner();
    owner.commit(9);
    owner.lease.resign();
    owner.nowMs += 60_000;
    owner.hear(IDS, { acknowledgedMs: owner.nowMs });
    expect(owner.tryWrite()).toBeUndefined();
    expect(owner.confirmedMs).toBeUndefined();
  });

  // In a slow store each write of the owner's part delays claims and progress.
  test('changes its set seldom while that serves its purpose', () => {
    const owner = new Owner();
    owner.commit(9);
    owner.hear(['node-9' as NodeId]);
    owner.hear(IDS, { acknowledgedMs: owner.nowMs });
    owner.nowMs += 1_200;
    expect(owner.tryWrite()).toBeUndefined();
    owner.hear(IDS.slice(0, 3), { startedAtMs: 101, acknowledgedMs: owner.nowMs });
    expect(owner.lease.tryCreateWrite(owner.nowMs, NODE_COUNT + 1, true)).toBeUndefined();
    expect(owner.tryWrite()?.voters).toHaveLength(9);
  });

  test('writes the set anew once voters have voted against it', () => {
    const owner = new Owner();
    owner.commit(9);
    owner.nowMs += 1_100;
    expect(owner.tryWrite()).toBeUndefined();
    owner.hear(IDS.slice(0, 1), { votedVersion: 9 });
    expect(owner.tryWrite()?.expectedVersion).toBe(9);
  });

  // The list of nodes named eight lost ones for 100 s, in which an outage of the store ended the owner.
  test('stores the set of the connected nodes once all nodes have had time to connect', () => {
    const owner = new Owner(IDS.slice(0, 3));
    owner.nowMs = 5_900;
    expect(owner.tryWrite()).toBeUndefined();
    owner.nowMs = 6_000;
    expect(owner.tryWrite()?.voters).toHaveLength(3);
    expect(owner.lease.tryCreateWrite(owner.nowMs, 0)).toBeUndefined();
  });

  // If the few nodes of a small set are lost, a claim without votes has to follow.
  test('stores no set of a minority, nor one while it does not know the nodes', () => {
    const owner = new Owner(IDS.slice(0, 3));
    expect(owner.tryWrite()).toBeUndefined();
    expect(owner.lease.tryCreateWrite(owner.nowMs, 0)).toBeUndefined();
    expect(owner.lease.tryCreateWrite(owner.nowMs, 7)?.voters).toHaveLength(3);
  });

  test('adopts the version of its own write when only the answer was lost', () => {
    const owner = new Owner();
    const write = owner.write();
    const row = { table: 'ownership', part: 'p', key: 'voters', version: 9, value: write.value };
    owner.lease.onWritten(write, E.left({ kind: 'conflict', rows: [row] }));
    expect(owner.confirmedMs).toBe(2_000);
  });

  test('replaces the set of a former owner whose version it did not know', () => {
    const owner = new Owner();
    const write = owner.write();
    const row = { table: 'ownership', part: 'p', key: 'voters', version: 4, value: 'former' };
    owner.lease.onWritten(write, E.left({ kind: 'conflict', rows: [row] }));
    expect(owner.write().expectedVersion).toBe(4);
  });

  test('forgets a node that has not been heard for long', () => {
    const owner = new Owner();
    owner.commit(9);
    owner.nowMs += 31_000;
    owner.hear(IDS.slice(1));
    expect(owner.tryWrite()?.voters.map(({ nodeId }) => nodeId)).toEqual(IDS.slice(1));
  });
});
