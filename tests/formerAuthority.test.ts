/** Guards against authority without a confirmation, and against an operator state that goes back to an earlier one. */

import { PassThrough } from 'node:stream';
import * as E from 'fp-ts/Either';
import { operatorRows } from '../platform/operatorRows';
import { targetRegistry } from '../platform/targetRegistry';
import { ClusterNode } from '../src/node/node';
import { OperatorFollower } from '../src/node/operatorFollower';
import type { NodePorts } from '../src/node/ports';
import { createLogger } from '../src/observe/logger';
import { Metrics } from '../src/observe/metrics';
import { OWNER_AUTHORITY_MS } from '../src/owner/constants';
import type { RowChanges, RowStore, StoreOutcome } from '../src/store/types';
import { SuspendAwareClock } from '../src/types/clock';
import type { DataCentreId, NodeId } from '../src/types/ids';
import { findFreePort } from './support/platformDeployment';

const WORKER = {
  ...{ service: 'service', addr: '10.0.0.1:80', zone: 'zone', state: 'ready', born: 1 },
  capacity: { cpu: 1_000, 'mem-mb': 100, gpu: 0 },
};
const WORKER_ROW = {
  ...{ table: 'servers', part: '', key: 'i-1', version: 3 },
  value: JSON.stringify(WORKER),
};

const CHECK_MARGIN_MS = 600;

/** Time in which a follower has read the snapshot and waits for changes. */
const FOLLOW_DELAY_MS = 300;

function createPending(): Promise<never> {
  return new Promise(() => {
    // Never settles.
  });
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

function createPorts(store: RowStore, targets?: NodePorts['targets']): NodePorts {
  return {
    store,
    targets: targets ?? {
      maxLeaseMs: 10_000,
      poll: createPending,
      start: createPending,
      stop: createPending,
    },
    advice: { advise: createPending },
    operatorRows,
    registry: targetRegistry,
    clock: new SuspendAwareClock(),
    logger: createLogger('test', 'node-1', 'info', new PassThrough()),
    metrics: new Metrics(),
  };
}

test('a node that has not read the member list is no majority and loses its authority', async () => {
  const unavailable = E.left({ kind: 'notDone' as const, detail: 'down' });
  const calls: { readonly isTooLate: () => boolean }[] = [];
  let isAvailable = true;
  const store: RowStore = {
    transact: async ({ puts }) => {
      const isMemberRow = puts.some(({ key }) => key === 'node-1');
      return isAvailable && !isMemberRow ? E.right({ version: 7 }) : unavailable;
    },
    readRange: async ({ table }) => {
      if (!isAvailable) return unavailable;
      const rows = table === 'servers' ? [WORKER_ROW] : [];
      return E.right({ rows, hasMore: false, storeVersion: 5 });
    },
    follow: createPending,
  };
  const node = new ClusterNode(
    {
      nodeId: 'node-1' as NodeId,
      ...{ host: '127.0.0.1', port: await findFreePort(), processorMillis: 1_000 },
    },
    createPorts(store, {
      maxLeaseMs: 10_000,
      poll: (_call, isTooLate) => {
        calls.push({ isTooLate });
        return createPending();
      },
      start: createPending,
      stop: createPending,
    }),
  );
  await node.start();
  try {
    await sleep(CHECK_MARGIN_MS);
    expect(calls.map(({ isTooLate }) => isTooLate())).toEqual([false]);
    isAvailable = false;
    await sleep(OWNER_AUTHORITY_MS + CHECK_MARGIN_MS);
    expect(calls.map(({ isTooLate }) => isTooLate())).toEqual([true]);
  } finally {
    node.stop();
  }
});

test('a feed that is behind does not take back the evacuation that another node reported', async () => {
  const changes: RowChanges = {
    changes: [
      { kind: 'put', row: { table: 'op', part: '', key: 'other', version: 90, value: '{}' } },
    ],
    storeVersion: 90,
  };
  const answers: ((outcome: StoreOutcome<RowChanges>) => void)[] = [];
  const store: RowStore = {
    transact: createPending,
    readRange: async () => E.right({ rows: [], hasMore: false, storeVersion: 10 }),
    follow: () =>
      new Promise((resolve) => {
        answers.push(resolve);
      }),
  };
  const follower = new OperatorFollower(createPorts(store), () => undefined);
  follower.start();
  await sleep(FOLLOW_DELAY_MS);
  expect(answers).toHaveLength(1);
  const closedDataCentreIds = ['zone-a' as DataCentreId];
  follower.adopt({ changeVersion: 100, operator: { config: undefined, closedDataCentreIds } });
  answers.forEach((answer) => answer(E.right(changes)));
  await sleep(20);
  follower.stop();
  expect(follower.snapshot.operator.closedDataCentreIds).toEqual(closedDataCentreIds);
});
