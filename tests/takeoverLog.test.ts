/** What the log tells of a takeover and of cancellations, so that lost work can be explained from it. */

import { PassThrough } from 'node:stream';
import * as E from 'fp-ts/Either';
import { OwnerHost } from '../src/node/ownerHost';
import type { RowStore, StoredRow } from '../src/store/types';
import { createLogger } from '../src/observe/logger';
import { Metrics } from '../src/observe/metrics';
import { toEpoch } from '../src/types/ids';
import { encodeSubmission } from '../src/work/submissionSchema';
import { operatorRows } from '../platform/operatorRows';
import { targetRegistry } from '../platform/targetRegistry';
import { createSubmission, toSubmissionId } from './support/ownerSubmissions';

const KNOWN_ID = toSubmissionId(1);
const LOADED_CANCEL_ID = toSubmissionId(2);
const UNKNOWN_ID = toSubmissionId(3);

interface Line {
  readonly msg: string;
}

function createPending(): Promise<never> {
  return new Promise(() => {
    // Never settles.
  });
}

function createRow(table: string, number: number, value: string): StoredRow {
  return { table, part: 's0', key: toSubmissionId(number), version: number, value };
}

/** Rows of two submissions and of cancellations of the second one and of an unknown one. */
const ROWS: readonly StoredRow[] = [
  createRow('submissions', 1, encodeSubmission(createSubmission(1, [{}]))),
  createRow('submissions', 2, encodeSubmission(createSubmission(2, [{}]))),
  createRow('cancels', 2, ''),
  createRow('cancels', 9, ''),
];

/** Runs an owner over the stored rows and returns what it has logged. */
async function collectLines(
  act: (host: OwnerHost) => Promise<void>,
  follow: RowStore['follow'] = createPending,
  metrics = new Metrics(),
): Promise<readonly Line[]> {
  const stream = new PassThrough();
  const pending = createPending();
  const host = new OwnerHost(
    {
      store: {
        transact: () => pending,
        readRange: ({ table, part }) =>
          Promise.resolve(
            E.right({
              rows: ROWS.filter((row) => row.table === table && row.part === part),
              ...{ hasMore: false, storeVersion: 17 },
            }),
          ),
        follow,
      },
      targets: {
        ...{ maxLeaseMs: 10_000, poll: () => pending, start: () => pending, stop: () => pending },
      },
      advice: { advise: () => pending },
      operatorRows,
      registry: targetRegistry,
      clock: { nowMs: () => 0, steadyMs: () => 0, wallMs: () => 0 },
      logger: createLogger('test', 'node-1', 'info', stream),
      metrics,
    },
    {
      isAuthorized: () => true,
      advise: () => pending,
      onHandoverPrepared: () => undefined,
      onSuperseded: () => undefined,
    },
    ...([toEpoch(4), 1] as const),
    { changeVersion: 1, operator: { config: undefined, closedDataCentreIds: [] } },
  );
  try {
    await act(host);
  } finally {
    host.stop();
  }
  const texts = String(stream.read() ?? '')
    .trimEnd()
    .split('\n');
  return texts.map((text) => JSON.parse(text) as Line);
}

function getCancellations(lines: readonly Line[]): readonly Line[] {
  return lines.filter(({ msg }) => msg === 'cancellation taken');
}

test('a takeover logs how many rows of each table it has read, and up to which version', async () => {
  const lines = await collectLines((host) => host.start());
  expect(lines.find(({ msg }) => msg === 'takeover loaded')).toMatchObject({
    ...{ epoch: 4, submissionCount: 2, submissionRowCount: 2, submissionsVersion: 17 },
    ...{ cancelCount: 2, unmatchedCancelCount: 1, cancelsVersion: 17 },
    ...{ progressCount: 0, progressVersion: 17, registryCount: 0, registryVersion: 17 },
  });
});

test('a cancellation is logged once, with the way by which the owner has learned of it', async () => {
  const lines = await collectLines(async (host) => {
    await host.start();
    host.cancel(KNOWN_ID);
    host.cancel(KNOWN_ID, 'feed');
    host.cancel(UNKNOWN_ID);
    host.cancel(LOADED_CANCEL_ID, 'feed');
  });
  expect(getCancellations(lines)).toMatchObject([
    { submissionId: LOADED_CANCEL_ID, way: 'loaded', isKnown: true, epoch: 4 },
    { submissionId: KNOWN_ID, way: 'notified', isKnown: true, state: 'pending', epoch: 4 },
    { submissionId: UNKNOWN_ID, way: 'notified', isKnown: false, epoch: 4 },
  ]);
});

test('a cancellation that arrives during the load is judged by what has been loaded', async () => {
  const lines = await collectLines(async (host) => {
    host.cancel(KNOWN_ID);
    expect(host.core).toBeUndefined();
    await host.start();
    expect(host.core?.getView(KNOWN_ID)).toMatchObject({ kind: 'known', state: 'cancelled' });
  });
  expect(getCancellations(lines)).toMatchObject([
    { submissionId: LOADED_CANCEL_ID, way: 'loaded' },
    { submissionId: KNOWN_ID, way: 'notified', isKnown: true, state: 'pending' },
  ]);
});

test('a cancellation from the change feed is logged as such', async () => {
  let isFollowed = false;
  let onFollowed = () => undefined as void;
  const followed = new Promise<void>((resolve) => {
    onFollowed = resolve;
  });
  const lines = await collectLines(
    async (host) => {
      await host.start();
      await followed;
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    },
    (table) => {
      if (table !== 'cancels' || isFollowed) return createPending();
      isFollowed = true;
      onFollowed();
      const row = createRow('cancels', 1, '');
      return Promise.resolve(E.right({ changes: [{ kind: 'put', row }], storeVersion: 18 }));
    },
  );
  expect(getCancellations(lines).at(-1)).toMatchObject({
    ...{ submissionId: KNOWN_ID, way: 'feed', isKnown: true },
  });
});

test('the time of the owner is counted by event and effect from the takeover on', async () => {
  const metrics = new Metrics();
  const act = async (host: OwnerHost) => {
    await host.start();
    host.cancel(KNOWN_ID);
  };
  await collectLines(act, createPending, metrics);
  const names = metrics.dump().counters.map(({ name }) => name);
  expect(names).toContain('owner_time_decide_targetsListed_micros');
  expect(names).toContain('owner_time_decide_cancelled_micros');
  expect(names).toContain('owner_time_log_micros');
});
