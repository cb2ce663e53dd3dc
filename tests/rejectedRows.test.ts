/** A row that the store does not take keeps no other row from being stored. */

import * as E from 'fp-ts/Either';
import { AcceptanceWriter } from '../src/node/acceptance';
import { OwnerWrites } from '../src/node/ownerWrites';
import { REJECTED_WRITE_DELAY_MS, WRITE_BATCH_DELAY_MS } from '../src/owner/constants';
import { ProgressWriter } from '../src/owner/progressWriter';
import { SubmissionRecord } from '../src/owner/submissionRecord';
import type { OwnerEffect } from '../src/owner/types';
import type { RowTransaction, StoreFailure } from '../src/store/types';
import { SuspendAwareClock } from '../src/types/clock';
import { toEpoch } from '../src/types/ids';
import type { SubmissionId } from '../src/types/ids';
import { createSubmission, toSubmissionId } from './support/ownerWorld';

const REJECTION: StoreFailure = { kind: 'rejected', detail: 'status 400' };

/** The limit of the store for the value of a row. */
const MAX_ROW_BYTES = 65_536;

function createRecord(number: number): SubmissionRecord {
  const submission = createSubmission(number, [{}]);
  const loaded = { submission, isCancelled: false, progress: undefined, progressVersion: 0 };
  return new SubmissionRecord(loaded, false);
}

type ProgressEffect = Extract<OwnerEffect, { kind: 'writeProgress' }>;

/** Plays a writer against a store that rejects each transaction with a row of one submission. */
class RejectingStore {
  readonly writer = new ProgressWriter();

  readonly storedIds: SubmissionId[] = [];

  transactionCount = 0;

  rejectedId: SubmissionId | undefined;

  #nowMs = 0;

  constructor(rejectedId: SubmissionId) {
    this.rejectedId = rejectedId;
  }

  get nowMs(): number {
    return this.#nowMs;
  }

  run(durationMs: number): void {
    const endMs = this.#nowMs + durationMs;
    for (; this.#nowMs < endMs; this.#nowMs += WRITE_BATCH_DELAY_MS) {
      const effect = this.writer.tryCreateBatch(this.#nowMs);
      if (effect?.kind === 'writeProgress') this.#perform(effect);
    }
  }

  #perform({ batch, rows }: ProgressEffect): void {
    this.transactionCount += 1;
    const ids = rows.map(({ submissionId }) => submissionId);
    const isRejected = this.rejectedId !== undefined && ids.includes(this.rejectedId);
    if (!isRejected) this.storedIds.push(...ids);
    const result = isRejected ? E.left({ kind: 'rejected' as const, detail: '' }) : E.right(7);
    this.writer.onBatchWritten(batch, result, this.#nowMs);
  }
}

describe('a submission whose progress the store does not take', () => {
  const records = Array.from({ length: 40 }, (_, index) => createRecord(index + 1));
  const rejectedId = toSubmissionId(7);

  function createStore(): RejectingStore {
    const store = new RejectingStore(rejectedId);
    records.forEach((record) => store.writer.markDirty(record, 0));
    return store;
  }

  test('delays none of the others beyond one transaction each', () => {
    const store = createStore();
    store.run((records.length + 5) * WRITE_BATCH_DELAY_MS);
    expect(new Set(store.storedIds).size).toBe(records.length - 1);
    expect(store.storedIds).not.toContain(rejectedId);
  });

  test('is written by itself, seldom, until the store takes it', () => {
    const store = createStore();
    store.run(2 * REJECTED_WRITE_DELAY_MS);
    expect(store.transactionCount).toBeLessThan(records.length + 5);
    store.rejectedId = undefined;
    store.run(2 * REJECTED_WRITE_DELAY_MS);
    expect(store.storedIds).toContain(rejectedId);
    expect(store.writer.dirtyCount).toBe(0);
  });

  test('does not delay a later change of another', () => {
    const store = createStore();
    store.run(2_000);
    const changed = records[0];
    if (changed === undefined) throw new Error('expected a record');
    store.storedIds.length = 0;
    store.writer.markDirty(changed, store.nowMs);
    store.run(5 * WRITE_BATCH_DELAY_MS);
    expect(store.storedIds).toEqual([changed.submission.id]);
  });
});

test('a stored progress stays within the size of a row, without its checkpoints', async () => {
  const values: string[] = [];
  const store = {
    transact: async ({ puts }: RowTransaction) => {
      values.push(...puts.map(({ value }) => value));
      return E.right({ version: 1 });
    },
  };
  const checkpoints = Object.fromEntries(
    Array.from({ length: 5_000 }, (_, index) => [String(index), '00000bb87a21d94b']),
  );
  const value = { steps: { '0.0': { done: '3-9', checkpoints } }, hasBegun: true };
  const writes = new OwnerWrites(
    store as unknown as ConstructorParameters<typeof OwnerWrites>[0],
    toEpoch(1),
    1,
  );
  const rows = [{ submissionId: toSubmissionId(1), expectedVersion: 0, value }];
  await writes.writeProgress({ kind: 'writeProgress', batch: 1, rows });
  expect(values.every((text) => Buffer.byteLength(text) <= MAX_ROW_BYTES)).toBe(true);
  expect(values.map((text) => JSON.parse(text))).toEqual([
    { steps: { '0.0': { done: '3-9' } }, hasBegun: true },
  ]);
});

test('a submission that the store does not take is refused, and those beside it are stored', async () => {
  const transact = async ({ puts }: RowTransaction) =>
    puts.some(({ key }) => key === toSubmissionId(3)) ? E.left(REJECTION) : E.right({ version: 1 });
  const writer = new AcceptanceWriter({ transact }, new SuspendAwareClock(), () => false);
  const outcomes = await Promise.all(
    // The ids share their first digits and so their parts.
    [1, 2, 3, 4, 5, 6, 7, 8].map((number) =>
      writer.write('submissions', toSubmissionId(number), 'text'),
    ),
  );
  expect(outcomes.map(({ kind }) => kind)).toEqual(
    [1, 2, 3, 4, 5, 6, 7, 8].map((number) => (number === 3 ? 'notStored' : 'stored')),
  );
});
