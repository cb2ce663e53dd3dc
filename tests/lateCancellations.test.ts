/** A cancellation that an owner learns of before the submission holds when the submission is read later. */

import * as E from 'fp-ts/Either';
import type { StartCall } from '../src/node/ports';
import { CANCELS_TABLE, getSubmissionPart, SUBMISSIONS_TABLE } from '../src/node/tables';
import type { RowStore, StoredRow } from '../src/store/types';
import { encodeSubmission } from '../src/work/submissionSchema';
import {
  createAnsweringTargets,
  createAuthorizedHost,
  createPending,
  createPorts,
  delay,
} from './support/ownerHostPorts';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './support/ownerWorld';

const FEED_VERSION = 9;
const START_WAIT_MS = 400;

function createRow(table: string, value: string): StoredRow {
  const key = toSubmissionId(1);
  return { table, part: getSubmissionPart(key), key, version: FEED_VERSION, value };
}

/** A feed that reports one row of one table, and nothing afterwards. */
function createFeed(row: StoredRow): RowStore['follow'] {
  let isReported = false;
  return (table) => {
    if (table !== row.table || isReported) return createPending();
    isReported = true;
    const changes = [{ kind: 'put' as const, row }];
    return Promise.resolve(E.right({ changes, storeVersion: FEED_VERSION }));
  };
}

test('a submission that is announced after its cancellation starts nothing', () => {
  const world = new OwnerWorld({ seed: 1, targetCount: 4, faults: NO_FAULTS });
  world.takeOver();
  world.cancel(toSubmissionId(1));
  world.run(100);
  world.submit(createSubmission(1, [{ taskCount: 4 }]));
  world.run(2_000);
  expect(world.startCount).toBe(0);
  expect(world.getState(toSubmissionId(1))).toBe('cancelled');
  expect(world.broken).toEqual([]);
});

test('a cancellation outlives the submissions that are cancelled beside it', () => {
  const world = new OwnerWorld({ seed: 1, targetCount: 4, faults: NO_FAULTS });
  world.takeOver();
  world.cancel(toSubmissionId(1));
  world.cancel(toSubmissionId(2));
  world.submit(createSubmission(2, [{ taskCount: 4 }]));
  world.run(8_000);
  world.submit(createSubmission(1, [{ taskCount: 4 }]));
  world.run(2_000);
  expect(world.startCount).toBe(0);
  expect(world.getState(toSubmissionId(2))).toBe('cancelled');
});

describe('an owner that takes over', () => {
  async function countStarts(cancelRows: readonly StoredRow[]): Promise<number> {
    const starts: StartCall[] = [];
    const submission = createSubmission(1, [
      { demand: { cpuMillis: 1, memoryMb: 1, accelerators: 0 } },
    ]);
    const row = createRow(SUBMISSIONS_TABLE, encodeSubmission(submission));
    const targets = createAnsweringTargets(starts);
    const host = createAuthorizedHost(createPorts(cancelRows, createFeed(row), targets));
    await host.start();
    await delay(START_WAIT_MS);
    host.stop();
    return starts.length;
  }

  test('starts a submission that the feed reports', async () => {
    expect(await countStarts([])).toBe(1);
  });

  test('starts nothing of a submission that the feed reports after the cancellation was read', async () => {
    expect(await countStarts([createRow(CANCELS_TABLE, '')])).toBe(0);
  });
});
