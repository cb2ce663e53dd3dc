/** Order and concurrency of progress writes on a slow store. */

import * as E from 'fp-ts/Either';
import { MAX_WRITE_ROWS, WRITE_BATCH_DELAY_MS } from '../src/owner/constants';
import { ProgressWriter } from '../src/owner/progressWriter';
import { SubmissionRecord } from '../src/owner/submissionRecord';
import { createSubmission } from './support/ownerWorld';

const LATER_MS = 10 * WRITE_BATCH_DELAY_MS;

function createRecord(number: number, isEnded: boolean): SubmissionRecord {
  const record = new SubmissionRecord(
    {
      submission: createSubmission(number, [{}]),
      ...{ isCancelled: false, progress: undefined, progressVersion: 0 },
    },
    false,
  );
  if (isEnded) record.outcome = 'succeeded';
  return record;
}

function getRows(effect: ReturnType<ProgressWriter['tryCreateBatch']>): readonly string[] {
  return effect?.kind === 'writeProgress' ? effect.rows.map((row) => row.submissionId) : [];
}

describe('progress writes', () => {
  test('carry outcomes before the progress of unfinished submissions', () => {
    const writer = new ProgressWriter();
    const unfinished = Array.from({ length: MAX_WRITE_ROWS }, (_, index) =>
      createRecord(index + 1, false),
    );
    const ended = Array.from({ length: 10 }, (_, index) => createRecord(index + 1_000, true));
    [...unfinished, ...ended].forEach((record) => writer.markDirty(record, 0));
    const first = getRows(writer.tryCreateBatch(LATER_MS));
    expect(first).toHaveLength(MAX_WRITE_ROWS);
    expect(first.slice(0, 10)).toEqual(ended.map(({ submission }) => submission.id));
  });

  test('go on while one is in flight, never with the same submission twice', () => {
    const writer = new ProgressWriter();
    const first = createRecord(1, false);
    const second = createRecord(2, false);
    writer.markDirty(first, 0);
    expect(getRows(writer.tryCreateBatch(LATER_MS))).toEqual([first.submission.id]);
    writer.markDirty(first, LATER_MS);
    writer.markDirty(second, LATER_MS);
    expect(getRows(writer.tryCreateBatch(2 * LATER_MS))).toEqual([second.submission.id]);
    expect(writer.tryCreateBatch(4 * LATER_MS)).toBeUndefined();
    expect(writer.dirtyCount).toBe(2);
    writer.onBatchWritten(1, E.right(7), 4 * LATER_MS);
    expect(first.durableChangeCount).toBe(1);
    const third = writer.tryCreateBatch(6 * LATER_MS);
    expect(third?.kind === 'writeProgress' && third.rows[0]?.expectedVersion).toBe(7);
    writer.onBatchWritten(2, E.left({ kind: 'unavailable', detail: '' }), 6 * LATER_MS);
    expect(getRows(writer.tryCreateBatch(20 * LATER_MS))).toEqual([second.submission.id]);
  });
});
