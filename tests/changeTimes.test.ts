/** Guards against changes of a table that are taken for later than they are. */

import * as E from 'fp-ts/Either';
import { TableFollower } from '../src/store/tableFollower';
import type { FollowerEvent } from '../src/store/tableFollower';
import { createPending } from './support/ownerHostPorts';
import type { RowChange, RowChanges, RowStore, StoreOutcome } from '../src/store/types';

const STEP_MS = 100;

/** More changes than a response is sure to hold. */
const MANY = 500;

function createChange(version: number): RowChange {
  return { kind: 'put', row: { table: 't', part: '', key: 'k', version, value: '{}' } };
}

function createResponse(version: number, count = 1): StoreOutcome<RowChanges> {
  const changes = Array.from({ length: count }, () => createChange(version));
  return E.right({ changes, storeVersion: version });
}

/** Follows a table whose store gives one response after the other, each 100 ms after the call. */
async function follow(
  responses: readonly StoreOutcome<RowChanges>[],
): Promise<readonly (number | undefined)[]> {
  let nowMs = 0;
  let callCount = 0;
  const times: (number | undefined)[] = [];
  await new Promise<void>((resolve) => {
    const store: RowStore = {
      transact: () => createPending(),
      readRange: async () => E.right({ rows: [], hasMore: false, storeVersion: 1 }),
      follow: async () => {
        const response = responses[callCount];
        callCount += 1;
        nowMs += STEP_MS;
        if (response !== undefined) return response;
        resolve();
        return createPending();
      },
    };
    const onEvent = (event: FollowerEvent) => {
      if (event.kind === 'changes') times.push(event.changedAfterMs);
    };
    new TableFollower(store, { table: 't', parts: [''], pauseMs: 0 }, onEvent, () => nowMs).start(
      1,
    );
  });
  return times;
}

test('a change is later than the call before the one that reports it', async () => {
  const responses = [createResponse(2), createResponse(3), createResponse(4)];
  expect(await follow(responses)).toEqual([undefined, 0, STEP_MS]);
});

test('a failed call dates nothing', async () => {
  const failure = E.left({ kind: 'notDone' as const, detail: 'down' });
  expect(await follow([createResponse(2), failure, createResponse(3)])).toEqual([undefined, 0]);
});

test('a response that may have been cut off dates nothing after it', async () => {
  const responses = [createResponse(2, MANY), createResponse(3), createResponse(4)];
  expect(await follow(responses)).toEqual([undefined, undefined, STEP_MS]);
});

test('a snapshot dates nothing after it', async () => {
  const lost = E.left({ kind: 'historyLost' as const });
  expect(await follow([createResponse(2), lost, createResponse(3)])).toEqual([
    undefined,
    undefined,
  ]);
});
