/** The reducer that decides who owns the fleet: each rule, and the times that follow from them. */

import * as E from 'fp-ts/Either';
import { OwnershipCore } from '../src/node/ownership';
import type {
  OwnerRow,
  OwnershipEffect,
  OwnershipEvent,
  PeerVerdict,
} from '../src/node/ownershipTypes';
import type { NodeId } from '../src/types/ids';
import { toEpoch } from '../src/types/ids';
import type { DistributiveOmit } from '../src/types/distributiveOmit';

const SELF = 'node-1' as NodeId;
const OTHER = 'node-2' as NodeId;
const TICK_MS = 50;

type EventBody = DistributiveOmit<OwnershipEvent, 'nowMs'>;

/** One reducer with a clock, and everything that it has asked for. */
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

  /** Lets time pass, reading the given row whenever the reducer asks for it. */
  pass(durationMs: number, row?: OwnerRow): void {
    for (let passedMs = 0; passedMs < durationMs; passedMs += TICK_MS) {
      this.nowMs += TICK_MS;
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
    ...overrides,
  };
}

/** A node that follows an owner and has heard it. */
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

function answerPeers(harness: Harness, verdict: PeerVerdict): void {
  harness.send({ kind: 'peersAnswered', epoch: toEpoch(4), verdict });
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
    const beganAtMs = harness.nowMs;
    while (!harness.has('claim') && harness.nowMs < beganAtMs + 5_000) {
      harness.pass(TICK_MS, createRow());
    }
    return harness.nowMs - beganAtMs;
  }

  test('claim in the order of their processors', () => {
    expect(getClaimDelayMs(1_350)).toBeLessThanOrEqual(2 * TICK_MS);
    expect(getClaimDelayMs(100)).toBeGreaterThanOrEqual(3 * 120);
  });
});

describe('ownership', () => {
  test('is claimed at once when there has never been an owner', () => {
    const harness = new Harness();
    harness.send({ kind: 'tick' });
    harness.send({ kind: 'rowRead', result: E.right(undefined) });
    expect(harness.effects).toContainEqual({ kind: 'claim', epoch: 1, expectedVersion: 0 });
  });

  test('is claimed anew by the node that the row names from before its restart', () => {
    const harness = createOwner();
    expect(harness.effects).toContainEqual({ kind: 'claim', epoch: 5, expectedVersion: 40 });
    expect(harness.has('beginOwning')).toBe(true);
  });

  test('is claimed when the connection is lost and nobody hears the owner', () => {
    const harness = createFollower();
    harness.send({ kind: 'linkLost', epoch: toEpoch(4), detail: 'closed' });
    harness.send({ kind: 'rowRead', result: E.right(createRow()) });
    expect(harness.has('claim')).toBe(false);
    answerPeers(harness, { askedCount: 3, answeredCount: 3, heardCount: 0 });
    expect(harness.effects).toContainEqual({ kind: 'claim', epoch: 5, expectedVersion: 40 });
  });

  test('stays when another node hears the owner', () => {
    const harness = createFollower();
    harness.send({ kind: 'linkLost', epoch: toEpoch(4), detail: 'closed' });
    harness.send({ kind: 'rowRead', result: E.right(createRow()) });
    answerPeers(harness, { askedCount: 3, answeredCount: 3, heardCount: 1 });
    expect(harness.core.mode.kind).toBe('following');
    expect(harness.has('claim')).toBe(false);
  });

  test('stays while a node that reaches nobody sees the owner renew its row', () => {
    const harness = createFollower();
    harness.send({ kind: 'linkLost', epoch: toEpoch(4), detail: 'closed' });
    harness.send({ kind: 'rowRead', result: E.right(createRow()) });
    answerPeers(harness, { askedCount: 3, answeredCount: 0, heardCount: 0 });
    for (let aliveVersion = 42; aliveVersion < 50; aliveVersion += 1) {
      harness.pass(1_000, createRow({ aliveVersion }));
    }
    expect(harness.has('claim')).toBe(false);
    harness.pass(4_000, createRow({ aliveVersion: 49 }));
    expect(harness.has('claim')).toBe(true);
  });

  test('is suspected after 0.7 s of silence', () => {
    const harness = createFollower();
    harness.pass(650);
    expect(harness.core.mode.kind).toBe('following');
    harness.pass(150);
    expect(harness.core.mode.kind).toBe('suspecting');
  });

  test('passes from an owner without a store to a node with one', () => {
    const answer = {
      ...{ kind: 'heartbeatAnswered' as const, epoch: toEpoch(4), ownedEpoch: 4 },
      storeLostForMs: 1_500,
    };
    const without = createFollower();
    without.isStoreReachable = false;
    without.send(answer);
    expect(without.core.mode.kind).toBe('following');
    const withStore = createFollower();
    withStore.send(answer);
    withStore.send({ kind: 'rowRead', result: E.right(createRow()) });
    withStore.send(answer);
    expect(withStore.has('claim')).toBe(false);
    withStore.nowMs += 400;
    withStore.send(answer);
    withStore.send({ kind: 'rowRead', result: E.right(createRow()) });
    expect(withStore.has('claim')).toBe(true);
  });

  test('stays with its owner while the store answers nobody', () => {
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

  test('stays with its owner when the store returns for all', () => {
    const harness = createFollower();
    const answer = { kind: 'heartbeatAnswered' as const, epoch: toEpoch(4), ownedEpoch: 4 };
    harness.send({ ...answer, storeLostForMs: 4_000 });
    harness.send({ kind: 'rowRead', result: E.right(createRow()) });
    harness.nowMs += 200;
    harness.send({ ...answer, storeLostForMs: 4_200 });
    harness.nowMs += 200;
    harness.send({ ...answer, storeLostForMs: 0 });
    harness.pass(200, createRow());
    expect(harness.core.mode.kind).toBe('following');
  });

  test('passes on without questions when the owner resigns, but not to a node that stops', () => {
    const harness = createFollower();
    harness.send({ kind: 'resigned', epoch: toEpoch(4), successorId: SELF });
    expect(harness.has('claim')).toBe(true);
    const stopping = createFollower();
    stopping.send({ kind: 'stopRequested' });
    stopping.send({ kind: 'resigned', epoch: toEpoch(4), successorId: SELF });
    stopping.pass(3_000, createRow());
    expect(stopping.has('claim')).toBe(false);
  });

  test('waits for the successor that a resigning owner has named', () => {
    const harness = createFollower();
    harness.send({ kind: 'resigned', epoch: toEpoch(4), successorId: OTHER });
    harness.send({ kind: 'rowRead', result: E.right(createRow()) });
    expect(harness.has('claim')).toBe(false);
    harness.pass(500, createRow());
    expect(harness.has('claim')).toBe(true);
  });

  test('ends with the announcement of a later epoch', () => {
    const harness = createOwner();
    const epoch = toEpoch(6);
    harness.send({ kind: 'announced', epoch, nodeId: OTHER, address: 'a:1', rowVersion: 60 });
    expect(harness.has('endOwning')).toBe(true);
    expect(harness.core.mode.kind).toBe('following');
  });

  test('ends when the owner row names another', () => {
    const harness = createOwner();
    const result = E.left({ kind: 'conflict' as const });
    harness.send({ kind: 'renewed', epoch: toEpoch(5), sentAtMs: harness.nowMs, result });
    expect(harness.has('endOwning')).toBe(true);
  });

  test('gives no authority 2 s after the last word of store or nodes', () => {
    const harness = createOwner();
    const startMs = harness.nowMs;
    expect(harness.core.isAuthorized(startMs + 1_900)).toBe(true);
    expect(harness.core.isAuthorized(startMs + 2_100)).toBe(false);
    harness.send({ kind: 'majorityHeard', epoch: toEpoch(5), sinceMs: startMs + 1_000 });
    expect(harness.core.isAuthorized(startMs + 2_100)).toBe(true);
    const result = E.right(51);
    harness.send({ kind: 'renewed', epoch: toEpoch(5), sentAtMs: startMs + 3_000, result });
    expect(harness.core.isAuthorized(startMs + 4_900)).toBe(true);
  });

  test('starts over when a claim was lost to another node', () => {
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
