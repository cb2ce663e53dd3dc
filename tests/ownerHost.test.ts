/** The owner's host: no call to a target leaves once the authority of the owner has run out. */

import { PassThrough } from 'node:stream';
import * as E from 'fp-ts/Either';
import type { NodePorts, PollCall } from '../src/node/ports';
import { OwnerHost } from '../src/node/ownerHost';
import { createLogger } from '../src/observe/logger';
import { Metrics } from '../src/observe/metrics';
import { toEpoch } from '../src/types/ids';
import { targetRegistry } from '../platform/targetRegistry';
import { operatorRows } from '../platform/operatorRows';

const ENTRY = {
  ...{ service: 'service', addr: '10.0.0.1:80', zone: 'zone', state: 'ready', born: 1 },
  capacity: { cpu: 1_000, 'mem-mb': 100, gpu: 0 },
};

const ROW = {
  ...{ table: 'servers', part: '', key: 'i-1', version: 3 },
  value: JSON.stringify(ENTRY),
};

const TICKS_MS = 60;

function createPending(): Promise<never> {
  return new Promise(() => {
    // Never settles.
  });
}

function createPorts(polls: { readonly isTooLate: () => boolean }[]): NodePorts {
  const pending = createPending();
  return {
    store: {
      transact: () => pending,
      readRange: ({ table }) =>
        Promise.resolve(
          E.right({ rows: table === 'servers' ? [ROW] : [], hasMore: false, storeVersion: 5 }),
        ),
      follow: () => pending,
    },
    targets: {
      poll: (_call: PollCall, isTooLate) => {
        polls.push({ isTooLate });
        return pending;
      },
      start: () => pending,
      stop: () => pending,
    },
    advice: { advise: () => pending },
    operatorRows,
    registry: targetRegistry,
    clock: { nowMs: () => 0, steadyMs: () => 0, wallMs: () => 0 },
    logger: createLogger('test', 'node-1', 'info', new PassThrough()),
    metrics: new Metrics(),
  };
}

test('an owner that was paused beyond its authority sends no call it had decided on before', async () => {
  const polls: { readonly isTooLate: () => boolean }[] = [];
  let isAuthorized = true;
  const host = new OwnerHost(
    createPorts(polls),
    {
      isAuthorized: () => isAuthorized,
      advise: () => createPending(),
      onSuperseded: () => undefined,
    },
    ...([toEpoch(1), 1] as const),
    { changeVersion: 1, operator: { config: undefined, closedDataCentreIds: [] } },
  );
  await host.start();
  await new Promise((resolve) => {
    setTimeout(resolve, TICKS_MS);
  });
  expect(polls).toHaveLength(1);
  expect(polls[0]?.isTooLate()).toBe(false);
  isAuthorized = false;
  expect(polls[0]?.isTooLate()).toBe(true);
  isAuthorized = true;
  host.stop();
  expect(polls[0]?.isTooLate()).toBe(true);
});
