/**
 * Acceptance while the store is slow. Load pattern: a burst arrives at a hundred gates while the store, which runs
 * the transactions of a part one after another, is 94 times slower than usual.
 */

import { AcceptanceWriter, NO_DELEGATE } from '../src/node/acceptance';
import type { AcceptOutcome, DelegatedOutcome, RowDelegate } from '../src/node/acceptance';
import { CommitEstimator } from '../src/node/commitEstimate';
import { chooseCommitter } from '../src/node/committerChoice';
import { Metrics } from '../src/observe/metrics';
import { MonitoredStore } from '../src/store/monitoredStore';
import { SlownessDetector } from '../src/store/slownessDetector';
import type { RowPut } from '../src/store/types';
import type { NodeId, SubmissionId } from '../src/types/ids';
import { Random } from '../src/types/random';
import { SerialStore } from './support/serialStore';

const PEER_LATENCY_MS = 2;
const GATE_COUNT = 97;
const STRONG_COUNT = 18;
const ROWS_PER_SECOND = 90;
const CALM_MS = 1_000;
const SLOW_MS = 5_200;
const SLOW_FACTOR = 94;
const HEARTBEAT_MS = 200;

/** Windows of the users' accounting, and the share of requests to be served in each. */
const WINDOW_MS = 2_000;
const MIN_WINDOW_SHARE = 0.75;

const CLOCK = { nowMs: () => Date.now(), steadyMs: () => Date.now(), wallMs: () => Date.now() };

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

interface GateModel {
  readonly nodeId: NodeId;
  readonly processorMillis: number;
  readonly store: MonitoredStore;
  readonly writer: AcceptanceWriter;
}

/** A hundred gates on one store. The first one also models the owner, which writes all the time. */
class GateFleet {
  readonly store = new SerialStore();

  readonly gates: GateModel[] = [];

  #isOwnerStoreSlow = false;

  constructor(readonly isDelegating: boolean) {
    for (let index = 0; index < GATE_COUNT; index += 1) this.#addGate(index);
    setInterval(() => {
      this.#isOwnerStoreSlow = this.gates[0]?.store.isSlow ?? false;
    }, HEARTBEAT_MS);
    setInterval(() => {
      const row = { table: 'progress', part: 'p', key: String(Date.now()), value: '' };
      const write = { conditions: [], puts: [row], removals: [] };
      this.gates[0]?.store.transact(write, 1_500).catch(() => undefined);
    }, 100);
  }

  #addGate(index: number): void {
    const nodeId = `node-${index}` as NodeId;
    const isSlowReported = () => this.#isOwnerStoreSlow;
    const metrics = new Metrics();
    const store = new MonitoredStore(this.store, CLOCK, metrics, () => undefined, isSlowReported);
    const isStoreSlow = () => store.isSlow || this.#isOwnerStoreSlow;
    const delegate: RowDelegate = {
      isStoreLate: () => store.isLate,
      tryDelegate: (put, timeoutMs) =>
        isStoreSlow() ? this.#delegate(nodeId, put, timeoutMs) : undefined,
    };
    const writer = new AcceptanceWriter(
      store,
      CLOCK,
      () => false,
      this.isDelegating ? delegate : NO_DELEGATE,
    );
    const processorMillis = index < STRONG_COUNT ? 1_350 : 324;
    this.gates.push({ nodeId, processorMillis, store, writer });
  }

  #delegate(selfId: NodeId, put: RowPut, timeoutMs: number): Promise<DelegatedOutcome> | undefined {
    const committer = chooseCommitter(put.part, this.gates, () => false);
    if (committer === undefined || committer.nodeId === selfId) return undefined;
    return sleep(PEER_LATENCY_MS).then(() => committer.writer.writeForPeer(put, timeoutMs - 100));
  }
}

async function runBurst(isDelegating: boolean) {
  const fleet = new GateFleet(isDelegating);
  const random = new Random(1);
  const startedAtMs = Date.now();
  const outcomes: { readonly outcome: AcceptOutcome; readonly window: number }[] = [];
  const sendRow = (number: number) => {
    const digits = random.nextInt(16).toString(16) + number.toString(16).padStart(15, '0');
    const gate = fleet.gates[random.nextInt(GATE_COUNT)];
    const window = Math.floor((Date.now() - startedAtMs) / WINDOW_MS);
    gate?.writer.write('submissions', digits as SubmissionId, 'x').then(
      (outcome) => outcomes.push({ outcome, window }),
      () => undefined,
    );
  };
  const count = ((CALM_MS + SLOW_MS) / 1_000) * ROWS_PER_SECOND;
  for (let number = 0; number < count; number += 1) {
    setTimeout(() => sendRow(number), (number * 1_000) / ROWS_PER_SECOND);
  }
  setTimeout(() => Object.assign(fleet.store, { factor: SLOW_FACTOR }), CALM_MS);
  setTimeout(() => Object.assign(fleet.store, { factor: 1 }), CALM_MS + SLOW_MS);
  await jest.advanceTimersByTimeAsync(CALM_MS + SLOW_MS + 4_000);
  const getShare = (kind: string) =>
    outcomes.filter(({ outcome }) => outcome.kind === kind).length / outcomes.length;
  const windows = [...new Set(outcomes.map(({ window }) => window))];
  return {
    rowCount: outcomes.length,
    storedShares: windows.map((window) => {
      const sent = outcomes.filter((row) => row.window === window);
      return sent.filter(({ outcome }) => outcome.kind === 'stored').length / sent.length;
    }),
    storedShare: getShare('stored'),
    unknownShare: getShare('unknown'),
  };
}

describe('a burst at a hundred gates on a slow store', () => {
  beforeEach(() => jest.useFakeTimers());
  afterEach(() => jest.useRealTimers());

  test('is stored by a few committers, while gates that commit alone leave much of it unknown', async () => {
    const together = await runBurst(true);
    jest.clearAllTimers();
    const alone = await runBurst(false);
    expect(together.rowCount).toBe(alone.rowCount);
    expect(Math.min(...together.storedShares)).toBeGreaterThan(MIN_WINDOW_SHARE);
    expect(Math.min(...alone.storedShares)).toBeLessThan(MIN_WINDOW_SHARE);
    expect(together.storedShare).toBeGreaterThan(0.9);
    expect(together.storedShare).toBeGreaterThan(alone.storedShare);
    expect(together.unknownShare).toBeLessThan(0.03);
  });
});

describe('the committer of a part', () => {
  const candidates = [
    { nodeId: 'weak' as NodeId, processorMillis: 300 },
    ...['a', 'b', 'c', 'd'].map((id) => ({ nodeId: id as NodeId, processorMillis: 1_350 })),
  ];

  test('is the same for every order of the candidates and one of the strongest', () => {
    const parts = [...'0123456789abcdef'].map((digit) => `s${digit}`);
    const chosen = parts.map((part) => chooseCommitter(part, candidates, () => false)?.nodeId);
    const reversed = [...candidates].reverse();
    expect(parts.map((part) => chooseCommitter(part, reversed, () => false)?.nodeId)).toEqual(
      chosen,
    );
    expect(new Set(chosen).has('weak' as NodeId)).toBe(false);
    expect(new Set(chosen).size).toBeGreaterThan(1);
  });

  test('changes only when it is excluded, down to weaker nodes and none', () => {
    const first = chooseCommitter('s1', candidates, () => false);
    const second = chooseCommitter('s1', candidates, (nodeId) => nodeId === first?.nodeId);
    expect(second?.nodeId).not.toBe(first?.nodeId);
    expect(chooseCommitter('s1', candidates, (nodeId) => nodeId !== 'weak')?.nodeId).toBe('weak');
    expect(chooseCommitter('s1', candidates, () => true)).toBeUndefined();
  });
});

describe('slowness of the store', () => {
  test('is told from lost answers', () => {
    const detector = new SlownessDetector();
    detector.addDelay(0);
    expect(detector.isSlow(0)).toBe(false);
    detector.addAnswer(4, 10);
    detector.addDelay(200);
    expect(detector.isSlow(200)).toBe(false);
    detector.addDelay(250);
    expect([detector.isSlow(250), detector.isAnsweringLate(250)]).toEqual([true, false]);
    detector.addAnswer(400, 500);
    expect([detector.isSlow(500), detector.isAnsweringLate(500)]).toEqual([true, true]);
    detector.addAnswer(5, 600);
    expect(detector.isSlow(600)).toBe(false);
  });
});

describe('the expected time of a commit', () => {
  test('refuses a row that cannot be stored in time, before its write is sent', async () => {
    const estimator = new CommitEstimator();
    estimator.addCommit('s1', 1_200, 0);
    expect(estimator.getExpectedMs('s1', true, 100)).toBe(1_200);
    expect(estimator.getExpectedMs('s1', false, 100)).toBe(1_800);
    expect(estimator.getExpectedMs('s2', false, 100)).toBe(0);
    expect(estimator.getExpectedMs('s1', false, 5_000)).toBe(0);
    estimator.addCommit('s1', 5, 200);
    expect(estimator.getExpectedMs('s1', false, 300)).toBe(0);
  });
});
