/** The journal against a platform that loses answers, with writers that replace one another. */

import fc from 'fast-check';
import { Journal } from '../src/journal/journal';
import { JournalReader } from '../src/journal/journalReader';
import { Snapshots, SNAPSHOT_ROWS } from '../src/journal/snapshots';
import type { FenceSource, JournalCall, JournalContent } from '../src/journal/types';
import type { PlatformResult, RowCheck } from '../src/platform/types';
import { toId } from '../src/types/ids';
import type { ShardId } from '../src/types/ids';
import { FakePlatform } from '../standins/fakePlatform';

const SHARD = toId<ShardId>('home.1');
const LEASE_KEY = `shard/${SHARD}`;
const STEP_MS = 250;

/** One holder of the shard's lease; its calls are answered when the test says so. */
class Writer implements FenceSource {
  readonly state: number[] = [];

  readonly released: number[] = [];

  readonly #store: FakePlatform;

  readonly #fence: RowCheck;

  readonly #journal: Journal<number>;

  readonly #snapshots: Snapshots;

  #calls: JournalCall[] = [];

  #nowMs = 0;

  constructor(id: string, store: FakePlatform) {
    this.#store = store;
    const transaction = {
      operationId: toId<never>(`${id}/acquire`),
      checks: [],
      writes: [{ key: LEASE_KEY, value: id }],
    };
    const acquired = store.perform({ kind: 'transact', transaction }, 0);
    this.#fence = {
      key: LEASE_KEY,
      version: acquired.kind === 'committed' ? (acquired.rows[0]?.version ?? 0) : 0,
    };
    this.#journal = new Journal(id, this);
    this.#snapshots = new Snapshots(id, this, this);
    const content = Writer.readBack(store);
    const snapshot = JSON.parse(content.snapshot ?? '[]') as number[];
    this.state.push(...new Set([...snapshot, ...(content.entries as number[])]));
    this.#journal.open(SHARD, content.lastSequence);
    this.#snapshots.open(content);
  }

  static readBack(store: FakePlatform): JournalContent {
    const reader = new JournalReader();
    reader.begin(SHARD);
    let calls = reader.tick(0);
    for (;;) {
      const [call] = calls;
      if (call === undefined) throw new Error('the reader stopped');
      const progress = reader.applyResult(0, call.origin as never, store.perform(call.call, 0));
      if (progress.content !== undefined) return progress.content;
      calls = progress.calls;
    }
  }

  tryGetFence(): RowCheck {
    return this.#fence;
  }

  createSnapshot(): string {
    return JSON.stringify(this.state);
  }

  append(entry: number): void {
    this.state.push(entry);
    this.#journal.append(this.#nowMs, SHARD, entry, [entry], true);
    this.#advance();
  }

  /** Lets the calls in flight take effect; `isHeard` false loses the answers. */
  settle(isHeard: boolean): void {
    const calls = this.#calls;
    this.#calls = [];
    calls.forEach((call) => {
      const result = this.#store.perform(call.call, 0);
      this.#apply(call, isHeard ? result : { kind: 'unavailable', detail: 'lost' });
    });
    this.#advance();
  }

  /** The calls in flight are given up, yet reach the platform later. */
  takeLate(): readonly JournalCall[] {
    const calls = this.#calls;
    this.#calls = [];
    calls.forEach((call) => this.#apply(call, { kind: 'unavailable', detail: 'slow' }));
    return calls;
  }

  #apply({ origin }: JournalCall, result: PlatformResult): void {
    if (origin.kind === 'journalWrite') {
      const outcome = this.#journal.applyResult(origin.operationId, result);
      this.released.push(...outcome.released);
      outcome.committed.forEach((row) => this.#snapshots.addRow(SHARD, row.sequence));
      return;
    }
    this.#calls.push(...this.#snapshots.applyResult(this.#nowMs, origin as never, result));
  }

  #advance(): void {
    this.#nowMs += STEP_MS;
    this.#calls.push(
      ...this.#journal.tryFlush(this.#nowMs, 1),
      ...this.#snapshots.tick(this.#nowMs),
    );
  }
}

const step = fc.constantFrom(
  'append',
  'settle',
  'settle',
  'lose',
  'late',
  'arriveLate',
  'replace',
  'zombie',
);

/** Returns what broke the journal's promise, if anything. */
function run(steps: readonly string[]): void {
  const store = new FakePlatform();
  const acknowledged: number[] = [];
  let writer = new Writer('w0', store);
  let former: Writer | undefined;
  let late: JournalCall[] = [];
  let next = 0;
  steps.forEach((kind, index) => {
    next += 1;
    if (kind === 'append') writer.append(next);
    if (kind === 'settle') writer.settle(true);
    if (kind === 'lose') writer.settle(false);
    if (kind === 'late') late.push(...writer.takeLate());
    if (kind === 'arriveLate') {
      late.forEach((call) => store.perform(call.call, 0));
      late = [];
    }
    if (kind === 'zombie') {
      former?.append(1_000_000 + next);
      former?.settle(true);
    }
    if (kind === 'replace') {
      acknowledged.push(...writer.released);
      former = writer;
      writer = new Writer(`w${index + 1}`, store);
      expect(writer.state).toEqual(expect.arrayContaining(acknowledged));
    }
  });
  acknowledged.push(...writer.released);
  late.forEach((call) => store.perform(call.call, 0));
  const { state } = new Writer('last', store);
  expect(state).toEqual(expect.arrayContaining(acknowledged));
  expect(new Set(acknowledged).size).toBe(acknowledged.length);
  // What a replaced writer decided after its lease had gone never becomes part of the journal.
  expect(state.filter((entry) => entry > 1_000_000)).toEqual([]);
}

describe('journal', () => {
  test('keeps every released entry once, whatever answers are lost', () => {
    fc.assert(
      fc.property(fc.array(step, { minLength: 5, maxLength: 60 }), (steps) => run(steps)),
      { seed: 11, numRuns: 400 },
    );
  });

  test('stays short behind snapshots and reads back whole after a crash at each step', () => {
    const store = new FakePlatform();
    const writer = new Writer('w0', store);
    for (let entry = 1; entry <= 2 * SNAPSHOT_ROWS + 100; entry += 1) {
      writer.append(entry);
      writer.settle(entry % 7 !== 0);
      const content = Writer.readBack(store);
      const state = [...(JSON.parse(content.snapshot ?? '[]') as number[]), ...content.entries];
      expect(new Set(state).size).toBeGreaterThanOrEqual(writer.released.length);
    }
    const { keptSequences, headSnapshotName } = Writer.readBack(store);
    expect(keptSequences.length).toBeLessThan(SNAPSHOT_ROWS);
    expect(store.objectNames).toEqual([headSnapshotName]);
  });
});
