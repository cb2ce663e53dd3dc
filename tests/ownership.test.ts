/** Rules and timing of the ownership state machine. */

import * as E from 'fp-ts/Either';
import { OwnershipCore } from '../src/node/ownership';
import type {
  OwnerRow,
  OwnershipEffect,
  OwnershipEvent,
  PeerAnswers,
} from '../src/node/ownershipTypes';
import type { NodeId } from '../src/types/ids';
import { toEpoch } from '../src/types/ids';
import type { DistributiveOmit } from '../src/types/distributiveOmit';

const SELF = 'node-1' as NodeId;
const OTHER = 'node-2' as NodeId;
const TICK_INTERVAL_MS = 50;

const CLAIM = { kind: 'claim', epoch: 5, expectedVersion: 40, silenceSinceEpoch: 5 };

/** Written by no owner of the epoch, so that a claim needs no votes. */
const NO_VOTERS = { version: 0, epoch: toEpoch(0), voters: [] };

type EventBody = DistributiveOmit<OwnershipEvent, 'nowMs'>;

/** One state machine with a simulated clock and a record of its effects. */
class Harness {
  readonly core: OwnershipCore;

  readonly effects: OwnershipEffect[] = [];

  nowMs = 1_000;

  isStoreReachable = true;

  constructor() {
    this.core = new OwnershipCore(SELF, () => this.isStoreReachable);
  }

  send(event: EventBody): void {
    const reduced = this.core.reduce({ ...event, nowMs: this.nowMs } as OwnershipEvent);
    this.effects.push(...reduced);
  }

  /** Advances the clock, answering each read of the owner row with the given row. */
  advance(durationMs: number, row?: OwnerRow): void {
    for (let passedMs = 0; passedMs < durationMs; passedMs += TICK_INTERVAL_MS) {
      this.nowMs += TICK_INTERVAL_MS;
      const before = this.effects.length;
      this.send({ kind: 'tick' });
      const isReading = this.effects.slice(before).some(({ kind }) => kind === 'readOwnerRow');
      if (isReading && row !== undefined) this.send({ kind: 'rowRead', result: E.right(row) });
    }
  }

  has(kind: OwnershipEffect['kind']): boolean {
    return this.effects.some((effect) => effect.kind === kind);
  }
}

function createRow(overrides: Partial<OwnerRow> = {}): OwnerRow {
  return {
    ...{ nodeId: OTHER, address: 'a:1', epoch: toEpoch(4), version: 40, aliveVersion: 41 },
    voterSet: NO_VOTERS,
    ...overrides,
  };
}

/** A node that follows an owner and has had a heartbeat answered by it. */
function createFollower(): Harness {
  const harness = new Harness();
  harness.send({ kind: 'tick' });
  harness.send({ kind: 'rowRead', result: E.right(createRow()) });
  harness.send({ kind: 'linkOpened', epoch: toEpoch(4) });
  harness.send({ kind: 'heartbeatAnswered', epoch: toEpoch(4), ownedEpoch: 4, storeLostForMs: 0 });
  return harness;
}

/** A node that owns the fleet under epoch 5. */
function createOwner(): Harness {
  const harness = new Harness();
  harness.send({ kind: 'tick' });
  harness.send({ kind: 'rowRead', result: E.right(createRow({ nodeId: SELF })) });
  harness.send({ kind: 'claimed', epoch: toEpoch(5), result: E.right(50) });
  return harness;
}

function answerPeers(harness: Harness, answers: PeerAnswers): void {
  harness.send({ kind: 'peersAnswered', epoch: toEpoch(4), answers });
}

describe('candidates for ownership', () => {
  function getClaimDelayMs(processorMillis: number): number {
    const harness = createFollower();
    const weak = ['node-3', 'node-4', 'node-5'].map((nodeId) => ({
      nodeId: nodeId as NodeId,
      processorMillis: 324,
    }));
    harness.send({
      kind: 'membersKnown',
      candidates: [...weak, { nodeId: SELF, processorMillis }],
    });
    harness.send({ kind: 'resigned', epoch: toEpoch(4), successorId: undefined });
    harness.send({ kind: 'rowRead', result: E.right(createRow()) });
    const startedAtMs = harness.nowMs;
    while (!harness.has('claim') && harness.nowMs < startedAtMs + 5_000) {
      harness.advance(TICK_INTERVAL_MS, createRow());
    }
    return harness.nowMs - startedAtMs;
  }

  test('claim in descending order of processor capacity', () => {
    expect(getClaimDelayMs(1_350)).toBeLessThanOrEqual(2 * TICK_INTERVAL_MS);
    expect(getClaimDelayMs(100)).toBeGreaterThanOrEqual(3 * 120);
  });
});

// After a power loss nodes of a quarter of the capacity became owners one after another (SHORT).
describe('a node that does not know the other nodes yet', () => {
  const NOBODY_ASKED = { askedCount: 0, answeredCount: 0, heardCount: 0 };
  const STRONG = { nodeId: 'node-6' as NodeId, processorMillis: 1_350 };
  const WEAK = { nodeId: SELF, processorMillis: 324 };

  /** Has started while the owner row names a node that owns nothing any more. */
  function createStarted(): Harness {
    const harness = new Harness();
    harness.send({ kind: 'tick' });
    harness.send({ kind: 'rowRead', result: E.right(createRow()) });
    harness.send({ kind: 'linkOpened', epoch: toEpoch(4) });
    harness.send({
      ...{ kind: 'heartbeatAnswered', epoch: toEpoch(4), ownedEpoch: 0, storeLostForMs: 0 },
    });
    harness.send({ kind: 'rowRead', result: E.right(createRow()) });
    answerPeers(harness, NOBODY_ASKED);
    return harness;
  }

  test('does not claim before stronger ones, and asks them once it knows them', () => {
    const harness = createStarted();
    harness.advance(50, createRow());
    expect(harness.has('claim')).toBe(false);
    harness.effects.length = 0;
    harness.send({ kind: 'membersKnown', candidates: [WEAK, STRONG] });
    harness.advance(50, createRow());
    expect(harness.has('askPeers')).toBe(false);
    harness.advance(100, createRow());
    expect(harness.has('askPeers')).toBe(true);
    expect(harness.has('claim')).toBe(false);
    answerPeers(harness, { askedCount: 1, answeredCount: 1, heardCount: 0 });
    expect(harness.has('claim')).toBe(true);
  });

  test('claims once the alive row has not changed for long', () => {
    const harness = createStarted();
    harness.advance(2_400, createRow());
    expect(harness.has('claim')).toBe(false);
    harness.advance(300, createRow());
    expect(harness.has('claim')).toBe(true);
  });

  test('does not take the fleet from an owner that renews the alive row', () => {
    const harness = createStarted();
    for (let aliveVersion = 42; aliveVersion < 50; aliveVersion += 1) {
      harness.advance(1_000, createRow({ aliveVersion }));
    }
    expect(harness.has('claim')).toBe(false);
  });

  test('claims at once when it is the only one', () => {
    const harness = createStarted();
    harness.send({ kind: 'membersKnown', candidates: [WEAK] });
    harness.advance(50, createRow());
    answerPeers(harness, NOBODY_ASKED);
    expect(harness.has('claim')).toBe(true);
  });
});

describe('ownership', () => {
  test('is claimed immediately when there has never been an owner', () => {
    const harness = new Harness();
    harness.send({ kind: 'tick' });
    harness.send({ kind: 'rowRead', result: E.right(undefined) });
    const claim = {
      kind: 'claim',
      epoch: 1,
      expectedVersion: 0,
      votersVersion: 0,
      silenceSinceEpoch: 1,
    };
    expect(harness.effects).toContainEqual(claim);
  });

  // A successor would rely on rows of silent targets that an owner of an earlier build has not kept (TWICE).
  test.each([
    ['goes on when the former owner kept it', toEpoch(2), 2],
    ['starts anew after an owner that did not keep it', undefined, 5],
  ])('is claimed with a record of silent targets that %s', (_name, formerEpoch, sinceEpoch) => {
    const harness = new Harness();
    harness.send({ kind: 'tick' });
    const row = createRow({ nodeId: SELF, silenceSinceEpoch: formerEpoch });
    harness.send({ kind: 'rowRead', result: E.right(row) });
    const since = { silenceSinceEpoch: sinceEpoch };
    const claim = { kind: 'claim', epoch: 5, expectedVersion: 40, votersVersion: 0, ...since };
    expect(harness.effects).toContainEqual(claim);
    harness.send({ kind: 'claimed', epoch: toEpoch(5), result: E.right(50) });
    const begin = { kind: 'beginOwning', epoch: 5, rowVersion: 50, votersVersion: 0, ...since };
    expect(harness.effects).toContainEqual(begin);
  });

  test('is claimed again by a restarted node that the owner row still names', () => {
    const harness = createOwner();
    const claim = { ...CLAIM, votersVersion: 0 };
    expect(harness.effects).toContainEqual(claim);
    expect(harness.has('beginOwning')).toBe(true);
  });

  test('is claimed when the connection is lost and no peer hears from the owner', () => {
    const harness = createFollower();
    harness.send({ kind: 'linkLost', epoch: toEpoch(4), detail: 'closed' });
    harness.send({ kind: 'rowRead', result: E.right(createRow()) });
    expect(harness.has('claim')).toBe(false);
    answerPeers(harness, { askedCount: 3, answeredCount: 3, heardCount: 0 });
    const claim = { ...CLAIM, votersVersion: 0 };
    expect(harness.effects).toContainEqual(claim);
  });

  test('is not claimed when a peer still hears from the owner', () => {
    const harness = createFollower();
    harness.send({ kind: 'linkLost', epoch: toEpoch(4), detail: 'closed' });
    harness.send({ kind: 'rowRead', result: E.right(createRow()) });
    answerPeers(harness, { askedCount: 3, answeredCount: 3, heardCount: 1 });
    expect(harness.core.mode.kind).toBe('following');
    expect(harness.has('claim')).toBe(false);
  });

  test('is not claimed by an isolated node while the owner renews the alive row', () => {
    const harness = createFollower();
    harness.send({ kind: 'linkLost', epoch: toEpoch(4), detail: 'closed' });
    harness.send({ kind: 'rowRead', result: E.right(createRow()) });
    answerPeers(harness, { askedCount: 3, answeredCount: 0, heardCount: 0 });
    for (let aliveVersion = 42; aliveVersion < 50; aliveVersion += 1) {
      harness.advance(1_000, createRow({ aliveVersion }));
    }
    expect(harness.has('claim')).toBe(false);
    harness.advance(4_000, createRow({ aliveVersion: 49 }));
    expect(harness.has('claim')).toBe(true);
  });

  test('is suspected lost after 0.7 s without a heartbeat answer', () => {
    const harness = createFollower();
    harness.advance(650);
    expect(harness.core.mode.kind).toBe('following');
    harness.advance(150);
    expect(harness.core.mode.kind).toBe('suspecting');
  });

  test('moves from an owner that cannot reach the store to a node that can', () => {
    const answer = {
      ...{ kind: 'heartbeatAnswered' as const, epoch: toEpoch(4), ownedEpoch: 4 },
      storeLostForMs: 1_500,
    };
    const followerWithoutStore = createFollower();
    followerWithoutStore.isStoreReachable = false;
    followerWithoutStore.send(answer);
    expect(followerWithoutStore.core.mode.kind).toBe('following');
    const followerWithStore = createFollower();
    followerWithStore.send(answer);
    followerWithStore.send({ kind: 'rowRead', result: E.right(createRow()) });
    followerWithStore.send(answer);
    expect(followerWithStore.has('claim')).toBe(false);
    followerWithStore.nowMs += 400;
    followerWithStore.send(answer);
    followerWithStore.send({ kind: 'rowRead', result: E.right(createRow()) });
    expect(followerWithStore.has('claim')).toBe(true);
  });

  test('stays with its owner while no node reaches the store', () => {
    const harness = createFollower();
    for (let lostForMs = 1_000; lostForMs < 5_000; lostForMs += 200) {
      harness.nowMs += 200;
      harness.send({
        ...{ kind: 'heartbeatAnswered', epoch: toEpoch(4), ownedEpoch: 4 },
        storeLostForMs: lostForMs,
      });
      harness.send({ kind: 'rowRead', result: E.left({ kind: 'unavailable', detail: 'lost' }) });
    }
    expect(harness.core.mode.kind).toBe('following');
  });

  test('stays with its owner when the store recovers for all nodes', () => {
    const harness = createFollower();
    const answer = { kind: 'heartbeatAnswered' as const, epoch: toEpoch(4), ownedEpoch: 4 };
    harness.send({ ...answer, storeLostForMs: 4_000 });
    harness.send({ kind: 'rowRead', result: E.right(createRow()) });
    harness.nowMs += 200;
    harness.send({ ...answer, storeLostForMs: 4_200 });
    harness.nowMs += 200;
    harness.send({ ...answer, storeLostForMs: 0 });
    harness.advance(200, createRow());
    expect(harness.core.mode.kind).toBe('following');
  });

  test('is claimed by the named successor without asking peers, but not while it is stopping', () => {
    const harness = createFollower();
    const yielded = { isYielding: true };
    harness.send({ kind: 'resigned', epoch: toEpoch(4), successorId: SELF, ...yielded });
    expect(harness.effects).toContainEqual(CLAIM);
    const stopping = createFollower();
    stopping.send({ kind: 'stopRequested' });
    stopping.send({ kind: 'resigned', epoch: toEpoch(4), successorId: SELF, ...yielded });
    stopping.advance(3_000, createRow());
    expect(stopping.has('claim')).toBe(false);
  });

  test('is claimed by other nodes only after the named successor had time to', () => {
    const harness = createFollower();
    harness.send({ kind: 'resigned', epoch: toEpoch(4), successorId: OTHER });
    harness.send({ kind: 'rowRead', result: E.right(createRow()) });
    expect(harness.has('claim')).toBe(false);
    harness.advance(500, createRow());
    expect(harness.has('claim')).toBe(true);
  });

  test('ends when a later epoch is announced', () => {
    const harness = createOwner();
    const epoch = toEpoch(6);
    harness.send({ kind: 'announced', epoch, nodeId: OTHER, address: 'a:1', rowVersion: 60 });
    expect(harness.has('endOwning')).toBe(true);
    expect(harness.core.mode.kind).toBe('following');
  });

  test('ends when the owner row names another node', () => {
    const harness = createOwner();
    const result = E.left({ kind: 'conflict' as const });
    harness.send({ kind: 'renewed', epoch: toEpoch(5), sentAtMs: harness.nowMs, result });
    expect(harness.has('endOwning')).toBe(true);
  });

  test('gives no authority 2 s after the last confirmation by the store or the voters', () => {
    const harness = createOwner();
    const startMs = harness.nowMs;
    expect(harness.core.isAuthorized(startMs + 1_900)).toBe(true);
    expect(harness.core.isAuthorized(startMs + 2_100)).toBe(false);
    harness.send({ kind: 'leaseConfirmed', epoch: toEpoch(5), sinceMs: startMs + 1_000 });
    expect(harness.core.isAuthorized(startMs + 2_100)).toBe(true);
    const result = E.right(51);
    harness.send({ kind: 'renewed', epoch: toEpoch(5), sentAtMs: startMs + 3_000, result });
    expect(harness.core.isAuthorized(startMs + 4_900)).toBe(true);
  });

  // Another node may have claimed since the claim took effect (TWICE).
  test('gives authority from the sending of the claim, however late its answer comes', () => {
    const harness = new Harness();
    harness.send({ kind: 'tick' });
    harness.send({ kind: 'rowRead', result: E.right(createRow({ nodeId: SELF })) });
    const sentAtMs = harness.nowMs;
    harness.nowMs += 1_500;
    harness.send({ kind: 'claimed', epoch: toEpoch(5), result: E.right(50) });
    expect(harness.core.isAuthorized(sentAtMs + 1_900)).toBe(true);
    expect(harness.core.isAuthorized(sentAtMs + 2_100)).toBe(false);
  });

  // Each of these takeovers was not announced, and its successor waited for what is silent.
  test('is not claimed while the owner renews the alive row, unless nobody reaches it for 5 s', () => {
    const harness = createFollower();
    harness.send({ kind: 'linkLost', epoch: toEpoch(4), detail: 'closed' });
    const unheard = { askedCount: 3, answeredCount: 3, heardCount: 0 };
    for (let aliveVersion = 41; aliveVersion < 49; aliveVersion += 1) {
      harness.advance(TICK_INTERVAL_MS, createRow({ aliveVersion }));
      harness.send({ kind: 'rowRead', result: E.right(createRow({ aliveVersion })) });
      if (aliveVersion > 41) answerPeers(harness, unheard);
      expect(harness.has('claim')).toBe(false);
      harness.advance(600 - TICK_INTERVAL_MS);
    }
    harness.send({ kind: 'rowRead', result: E.right(createRow({ aliveVersion: 50 })) });
    harness.advance(TICK_INTERVAL_MS, createRow({ aliveVersion: 50 }));
    answerPeers(harness, unheard);
    harness.advance(600, createRow({ aliveVersion: 50 }));
    answerPeers(harness, unheard);
    expect(harness.has('claim')).toBe(true);
  });

  // Nodes that lack the votes of lost voters wait for this.
  test('gives no authority 60 s after the last confirmation by the store, whatever voters confirm', () => {
    const harness = createOwner();
    const startMs = harness.nowMs;
    harness.send({ kind: 'leaseConfirmed', epoch: toEpoch(5), sinceMs: startMs + 59_900 });
    expect(harness.core.isAuthorized(startMs + 59_950)).toBe(true);
    expect(harness.core.isStorelessLimitReached(startMs + 59_950)).toBe(false);
    expect(harness.core.isAuthorized(startMs + 60_050)).toBe(false);
    expect(harness.core.isStorelessLimitReached(startMs + 60_050)).toBe(true);
  });

  test('follows the new owner after losing a claim to it', () => {
    const harness = new Harness();
    harness.send({ kind: 'tick' });
    harness.send({ kind: 'rowRead', result: E.right(undefined) });
    const result = E.left({ kind: 'conflict' as const });
    harness.send({ kind: 'claimed', epoch: toEpoch(1), result });
    harness.send({ kind: 'rowRead', result: E.right(createRow()) });
    expect(harness.core.mode).toMatchObject({ kind: 'following' });
    expect(harness.has('beginOwning')).toBe(false);
  });
});
