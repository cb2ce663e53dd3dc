/**
 * Tests of the journal with a platform whose responses get lost or whose calls arrive late, and
 * with writers that replace one another. They guard against lost, duplicated and foreign entries.
 */

import fc from 'fast-check';
import { Journal } from '../src/journal/journal';
import { JournalReader } from '../src/journal/journalReader';
import { SnapshotWriter, SNAPSHOT_ROW_THRESHOLD } from '../src/journal/snapshotWriter';
import type { FenceSource, JournalCall, JournalContent } from '../src/journal/types';
import type { PlatformResult, RowCheck } from '../src/platform/types';
import { toId } from '../src/types/ids';
import type { ShardId } from '../src/types/ids';
import { FakePlatform } from '../standins/fakePlatform';

const SHARD = toId<ShardId>('home.1');
const LEASE_KEY = `shard/${SHARD}`;
const STEP_MS = 250;

/** A holder of the shard's lease. Its platform calls are queued until the test performs them. */
class Writer implements FenceSource {
  readonly state: number[] = [];

  readonly releasedEntries: number[] = [];

  readonly #store: FakePlatform;

  readonly #fence: RowCheck;

  readonly #journal: Journal<number>;

  readonly #snapshots: SnapshotWriter;

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
    this.#snapshots = new SnapshotWriter(id, this, this);
    const content = Writer.readJournal(store);
    const snapshot = JSON.parse(content.snapshot ?? '[]') as number[];
    this.state.push(...new Set([...snapshot, ...(content.entries as number[])]));
    this.#journal.open(SHARD, content.lastSequence);
    this.#snapshots.open(content);
  }

  static readJournal(store: FakePlatform): JournalContent {
    const reader = new JournalReader();
    reader.begin(SHARD);
    let calls = reader.tick(0);
    for (;;) {
      const [call] = calls;
      if (call === undefined) throw new Error('the reader sent no call');
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

  /** Performs the queued calls; the responses are lost unless `areResponsesReceived`. */
  settle(areResponsesReceived: boolean): void {
    const calls = this.#calls;
    this.#calls = [];
    calls.forEach((call) => {
      const result = this.#store.perform(call.call, 0);
      this.#apply(call, areResponsesReceived ? result : { kind: 'unavailable', detail: 'lost' });
    });
    this.#advance();
  }

  /** Times the queued calls out and returns them, so that they can reach the platform later. */
  timeOutCalls(): readonly JournalCall[] {
    const calls = this.#calls;
    this.#calls = [];
    calls.forEach((call) => this.#apply(call, { kind: 'unavailable', detail: 'slow' }));
    return calls;
  }

  #apply({ origin }: JournalCall, result: PlatformResult): void {
    if (origin.kind === 'journalWrite') {
      const outcome = this.#journal.applyResult(origin.operationId, result);
      this.releasedEntries.push(...outcome.releasedEffects);
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

const arbitraryStep = fc.constantFrom(
  'append',
  'settle',
  'settle',
  'loseResponses',
  'late',
  'deliverLate',
  'replaceWriter',
  'useFormerWriter',
);

/** Runs the steps and expects every released entry once and no entry of a replaced writer. */
function runSteps(steps: readonly string[]): void {
  const store = new FakePlatform();
  const acknowledged: number[] = [];
  let writer = new Writer('w0', store);
  let formerWriter: Writer | undefined;
  let delayedCalls: JournalCall[] = [];
  let nextEntry = 0;
  steps.forEach((kind, index) => {
    nextEntry += 1;
    if (kind === 'append') writer.append(nextEntry);
    if (kind === 'settle') writer.settle(true);
    if (kind === 'loseResponses') writer.settle(false);
    if (kind === 'late') delayedCalls.push(...writer.timeOutCalls());
    if (kind === 'deliverLate') {
      delayedCalls.forEach((call) => store.perform(call.call, 0));
      delayedCalls = [];
    }
    if (kind === 'useFormerWriter') {
      formerWriter?.append(1_000_000 + nextEntry);
      formerWriter?.settle(true);
    }
    if (kind === 'replaceWriter') {
      acknowledged.push(...writer.releasedEntries);
      formerWriter = writer;
      writer = new Writer(`w${index + 1}`, store);
      expect(writer.state).toEqual(expect.arrayContaining(acknowledged));
    }
  });
  acknowledged.push(...writer.releasedEntries);
  delayedCalls.forEach((call) => store.perform(call.call, 0));
  const { state } = new Writer('last', store);
  expect(state).toEqual(expect.arrayContaining(acknowledged));
  expect(new Set(acknowledged).size).toBe(acknowledged.length);
  // Entries that a replaced writer appended after it had lost its lease never reach the journal.
  expect(state.filter((entry) => entry > 1_000_000)).toEqual([]);
}

describe('journal', () => {
  test('keeps every released entry exactly once when responses are lost', () => {
    fc.assert(
      fc.property(fc.array(arbitraryStep, { minLength: 5, maxLength: 60 }), (steps) =>
        runSteps(steps),
      ),
      { seed: 11, numRuns: 400 },
    );
  });

  test('is trimmed after snapshots and can be read completely after each step', () => {
    const store = new FakePlatform();
    const writer = new Writer('w0', store);
    for (let entry = 1; entry <= 2 * SNAPSHOT_ROW_THRESHOLD + 100; entry += 1) {
      writer.append(entry);
      writer.settle(entry % 7 !== 0);
      const content = Writer.readJournal(store);
      const state = [...(JSON.parse(content.snapshot ?? '[]') as number[]), ...content.entries];
      expect(new Set(state).size).toBeGreaterThanOrEqual(writer.releasedEntries.length);
    }
    const { keptSequences, headSnapshotName } = Writer.readJournal(store);
    expect(keptSequences.length).toBeLessThan(SNAPSHOT_ROW_THRESHOLD);
    expect(store.objectNames).toEqual([headSnapshotName]);
  });
});
