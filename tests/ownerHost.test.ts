/** The owner's host: no call to a target leaves once the authority of the owner has run out. */

import { PassThrough } from 'node:stream';
import * as E from 'fp-ts/Either';
import type { NodePorts, PollCall } from '../src/node/ports';
import { OwnerHost } from '../src/node/ownerHost';
import type { RowStore } from '../src/store/types';
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

function createPorts(
  polls: { readonly isTooLate: () => boolean }[],
  follow: RowStore['follow'] = createPending,
): NodePorts {
  const pending = createPending();
  return {
    store: {
      transact: () => pending,
      readRange: ({ table }) =>
        Promise.resolve(
          E.right({ rows: table === 'servers' ? [ROW] : [], hasMore: false, storeVersion: 5 }),
        ),
      follow,
    },
    targets: {
      maxLeaseMs: 10_000,
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

async function waitForTicks(): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, TICKS_MS);
  });
}

async function waitForPolls(polls: readonly unknown[], count: number): Promise<void> {
  if (polls.length >= count) return;
  await waitForTicks();
  await waitForPolls(polls, count);
}

test('an owner that was paused beyond its authority sends no call it had decided on before', async () => {
  const polls: { readonly isTooLate: () => boolean }[] = [];
  let isAuthorized = true;
  const host = new OwnerHost(
    createPorts(polls),
    {
      isAuthorized: () => isAuthorized,
      advise: () => createPending(),
      onHandoverPrepared: () => undefined,
      onSuperseded: () => undefined,
    },
    ...([toEpoch(1), 1] as const),
    { changeVersion: 1, operator: { config: undefined, closedDataCentreIds: [] } },
  );
  await host.start();
  try {
    await waitForTicks();
    expect(polls).toHaveLength(1);
    expect(polls[0]?.isTooLate()).toBe(false);
    isAuthorized = false;
    expect(polls[0]?.isTooLate()).toBe(true);
    isAuthorized = true;
  } finally {
    host.stop();
  }
  expect(polls[0]?.isTooLate()).toBe(true);
});

// The connection of such a call may open only after the restart, and Expect-Instance names the id alone.
test('a call for an incarnation that has been replaced is not written', async () => {
  const polls: { readonly isTooLate: () => boolean }[] = [];
  const restarted = { ...ROW, version: 6, value: JSON.stringify({ ...ENTRY, born: 2 }) };
  const changes = E.right({ changes: [{ kind: 'put' as const, row: restarted }], storeVersion: 6 });
  let deliver = () => undefined as void;
  let isFollowed = false;
  const host = new OwnerHost(
    createPorts(polls, (table) => {
      if (table !== 'servers' || isFollowed) return createPending();
      isFollowed = true;
      return new Promise((resolve) => {
        deliver = () => resolve(changes);
      });
    }),
    {
      isAuthorized: () => true,
      advise: () => createPending(),
      onHandoverPrepared: () => undefined,
      onSuperseded: () => undefined,
    },
    ...([toEpoch(1), 1] as const),
    { changeVersion: 1, operator: { config: undefined, closedDataCentreIds: [] } },
  );
  await host.start();
  try {
    await waitForTicks();
    expect(polls.map(({ isTooLate }) => isTooLate())).toEqual([false]);
    deliver();
    await waitForPolls(polls, 2);
    expect(polls.map(({ isTooLate }) => isTooLate())).toEqual([true, false]);
  } finally {
    host.stop();
  }
});

/** Time that the preparation of a handover may take, with the delay of timers on a busy machine. */
const PREPARATION_MS = 700;

function createHandoverHost(onHandoverPrepared: () => void): OwnerHost {
  const clock = { nowMs: () => performance.now(), steadyMs: () => performance.now() };
  return new OwnerHost(
    { ...createPorts([]), clock: { ...clock, wallMs: () => Date.now() } },
    {
      isAuthorized: () => true,
      advise: () => createPending(),
      onHandoverPrepared,
      onSuperseded: () => undefined,
    },
    ...([toEpoch(1), 1] as const),
    { changeVersion: 1, operator: { config: undefined, closedDataCentreIds: [] } },
  );
}

describe('the preparation of a handover', () => {
  test('ends within its bound while the store answers no write', async () => {
    let preparedCount = 0;
    const host = createHandoverHost(() => {
      preparedCount += 1;
    });
    await host.start();
    try {
      await waitForTicks();
      host.prepareHandover();
      await new Promise((resolve) => {
        setTimeout(resolve, PREPARATION_MS);
      });
      expect(preparedCount).toBe(1);
    } finally {
      host.stop();
    }
  });

  test('is done at once by an owner that still loads', () => {
    let preparedCount = 0;
    const host = createHandoverHost(() => {
      preparedCount += 1;
    });
    host.prepareHandover();
    expect(preparedCount).toBe(1);
    host.stop();
  });

  test('does not end once the owner has stopped', async () => {
    let preparedCount = 0;
    const host = createHandoverHost(() => {
      preparedCount += 1;
    });
    await host.start();
    host.prepareHandover();
    const countBefore = preparedCount;
    host.stop();
    host.prepareHandover();
    await waitForTicks();
    expect(preparedCount).toBe(countBefore);
  });
});
