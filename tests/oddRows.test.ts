/** Rows of the store that are not as expected: the others hold, and following goes on. */

import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { PassThrough } from 'node:stream';
import * as fc from 'fast-check';
import * as E from 'fp-ts/Either';
import { operatorRows } from '../platform/operatorRows';
import { StoreClient } from '../platform/storeClient';
import { targetRegistry } from '../platform/targetRegistry';
import type { NodePorts } from '../src/node/ports';
import { TakeoverLoader } from '../src/node/takeoverLoader';
import { createLogger } from '../src/observe/logger';
import { Metrics } from '../src/observe/metrics';
import { OddRowLog } from '../src/observe/oddRowLog';
import { openPeerLink } from '../src/peer/peerLink';
import { HttpClient } from '../src/rpc/httpClient';
import { decodeSubmission, encodeSubmission } from '../src/work/submissionSchema';
import { createSubmission } from './support/ownerSubmissions';

const ENTRY = {
  ...{ service: 'service', addr: '10.0.0.1:80', zone: 'zone', state: 'ready', born: 1, seq: 1 },
  capacity: { cpu: 1_000, 'mem-mb': 100 },
};

function toBase64(text: string): string {
  return Buffer.from(text).toString('base64');
}

const SOUND = { table: 'servers', part: '', key: 'i-2', ver: 5, value: toBase64('sound') };

/** Rows whose key cannot be read, and rows under a known key. */
const UNKNOWN_ROWS: readonly unknown[] = [
  ...[null, 7, 'row', [], {}, { ...SOUND, key: 7 }, { ...SOUND, key: ['i-1'] }],
  ...[{ ...SOUND, table: null }, { ...SOUND, part: 7 }, { table: 'servers' }],
];
const ODD_ROWS: readonly unknown[] = [
  ...[{ ver: 1e308 }, { ver: 'x' }, { ver: -1 }, { ver: 0.5 }, { ver: 2 ** 60 }],
  ...[{ value: 7 }, { value: null }, { value: [[[[]]]] }, { removed: 'yes' }, { ver: null }],
].map((odd) => ({ ...SOUND, key: 'i-1', ...odd }));

/** A store that answers every read with the same text. */
class OneAnswerStore {
  answer = '';

  #server: Server = createServer((_message, response) => {
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(this.answer);
  });

  #httpClient = new HttpClient();

  readonly oddRows: string[] = [];

  async open(): Promise<StoreClient> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = this.#server.address() as AddressInfo;
    return new StoreClient(this.#httpClient, `127.0.0.1:${port}`, (table, key) =>
      this.oddRows.push(`${table}/${key}`),
    );
  }

  async close(): Promise<void> {
    await this.#httpClient.close();
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

const QUERY = { table: 'servers', part: '', fromKey: '', limit: 10 };

describe('an odd row', () => {
  const store = new OneAnswerStore();
  let client: StoreClient;

  beforeAll(async () => {
    client = await store.open();
  });
  afterAll(() => store.close());
  beforeEach(() => {
    store.oddRows.length = 0;
  });

  test.each(UNKNOWN_ROWS)('whose key is unknown is left out of a page: %j', async (row) => {
    store.answer = JSON.stringify({ rows: [row, SOUND], ver: 9 });
    const page = await client.readRange(QUERY, 1_000);
    expect(page).toMatchObject(E.right({ rows: [{ key: 'i-2', value: 'sound', version: 5 }] }));
    expect(E.isRight(page) && page.right.rows).toHaveLength(1);
    expect(store.oddRows).toHaveLength(1);
  });

  test.each(UNKNOWN_ROWS)('whose key is unknown is left out of a feed: %j', async (row) => {
    store.answer = JSON.stringify({ rows: [row, SOUND], ver: 9 });
    const feed = await client.follow('servers', 1, 10);
    expect(feed).toMatchObject(E.right({ storeVersion: 9, changes: [{ row: { key: 'i-2' } }] }));
    expect(store.oddRows).toHaveLength(1);
  });

  test.each(ODD_ROWS)('under a known key has no value, and the others hold: %j', async (row) => {
    store.answer = JSON.stringify({ rows: [row, SOUND], ver: 9 });
    const expected = [
      { key: 'i-1', value: '' },
      { key: 'i-2', value: 'sound' },
    ];
    expect(await client.readRange(QUERY, 1_000)).toMatchObject(E.right({ rows: expected }));
    const changes = expected.map((expectedRow) => ({ kind: 'put', row: expectedRow }));
    expect(await client.follow('servers', 1, 10)).toMatchObject(
      E.right({ changes, storeVersion: 9 }),
    );
    expect(store.oddRows).toEqual(['servers/i-1', 'servers/i-1']);
  });

  test('of any kind hides no other one', async () => {
    await fc.assert(
      fc.asyncProperty(fc.jsonValue({ maxDepth: 4 }), async (row) => {
        store.answer = JSON.stringify({ rows: [row, SOUND], ver: 9 });
        const page = await client.readRange(QUERY, 1_000);
        expect(E.isRight(page) && page.right.rows.at(-1)).toMatchObject({ key: 'i-2' });
      }),
      { numRuns: 200 },
    );
  });
});

function createLoader(lines: string[]) {
  const stream = new PassThrough();
  stream.on('data', (chunk) => lines.push(String(chunk)));
  const metrics = new Metrics();
  const ports = {
    ...{ registry: targetRegistry, operatorRows, metrics },
    ...{ clock: { nowMs: () => 0, steadyMs: () => 0, wallMs: () => 1_000 } },
    logger: createLogger('test', 'node-1', 'info', stream),
  };
  return { loader: new TakeoverLoader(ports as unknown as NodePorts), metrics };
}

function toRow(key: string, value: string) {
  return { table: 'servers', part: '', key, version: 1, value };
}

describe('odd entries of the registry', () => {
  const DEPTH = 200_000;
  const VALUES: readonly (readonly [string, string])[] = [
    ['no text', ''],
    ['deeply nested', `${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`],
    ['deeply nested in a field', `{"capacity":${'{"cpu":'.repeat(1_000)}1${'}'.repeat(1_001)}`],
    ['unclosed', '['.repeat(DEPTH)],
    ['2 MB', JSON.stringify({ ...ENTRY, labels: ['x'.repeat(2_000_000)] })],
    ['many wrong labels', JSON.stringify({ ...ENTRY, labels: Array(5_000).fill(0) })],
    ['number too large', JSON.stringify(ENTRY).replace('"seq":1', '"seq":1e999')],
  ];

  test.each(VALUES)('are named quickly and described briefly: %s', (_name, value) => {
    const startedAtMs = performance.now();
    const decoded = targetRegistry.decode(toRow('i-1', value));
    expect(performance.now() - startedAtMs).toBeLessThan(200);
    expect(E.isLeft(decoded) && decoded.left.length).toBeLessThanOrEqual(300);
  });

  const WALL_MS = 1_800_000_000_000;
  const DAY_MS = 86_400_000;
  test.each([
    ['born', { born: WALL_MS + 2 * DAY_MS }, false],
    ['born', { born: WALL_MS + DAY_MS / 2 }, true],
    ['seq', { born: WALL_MS - DAY_MS, seq: 3_000_000 }, false],
    ['seq', { born: WALL_MS - DAY_MS, seq: 1_000_000 }, true],
    ['seq', { born: WALL_MS, seq: Number.MAX_SAFE_INTEGER }, false],
  ] as const)('are checked against the time of day: %s %j', (_field, odd, isSound) => {
    const value = JSON.stringify({ ...ENTRY, ...odd });
    expect(E.isRight(targetRegistry.decode(toRow('i-1', value), WALL_MS))).toBe(isSound);
  });

  test('are reported to the owner, each logged once and counted', () => {
    const lines: string[] = [];
    const { loader, metrics } = createLoader(lines);
    const rows = [toRow('i-1', 'no json'), toRow('i-2', JSON.stringify(ENTRY))];
    for (let beat = 0; beat < 50; beat += 1) {
      const { entries, unreadableIds } = loader.decodeRegistry(rows);
      expect(entries.map(({ id }) => id)).toEqual(['i-2']);
      expect(unreadableIds).toEqual(['i-1']);
    }
    expect(lines).toHaveLength(1);
    expect(metrics.dump().counters).toContainEqual({ name: 'registry_malformed', value: 50 });
    loader.decodeRegistry([toRow('i-1', JSON.stringify(ENTRY))]);
    loader.decodeRegistry(rows);
    expect(lines).toHaveLength(2);
  });

  test('under ever new keys are logged up to a limit', () => {
    const lines: string[] = [];
    const stream = new PassThrough();
    stream.on('data', (chunk) => lines.push(String(chunk)));
    const log = new OddRowLog(createLogger('test', 'node-1', 'info', stream), new Metrics());
    for (let number = 0; number < 5_000; number += 1)
      log.add('registry_malformed', `i-${number}`, 'reason', 'message');
    expect(lines.length).toBeLessThanOrEqual(1_000);
  });
});

test.each([Number.MAX_SAFE_INTEGER, 1_000_000_000, 1e308, 0, -1, 0.5])(
  'a stored submission with %p tasks is left out',
  (taskCount) => {
    const stored = encodeSubmission(createSubmission(1, [{ taskCount }]));
    expect(E.isLeft(decodeSubmission(stored))).toBe(true);
  },
);

describe('the address of a node', () => {
  test.each(['127.0.0.1:99999', '127.0.0.1:0', '127.0.0.1:-1', '127.0.0.1:x', '127.0.0.1', ''])(
    '"%s" cannot be connected to, which does not end the process',
    async (address) => {
      const link = await openPeerLink(address, {}, { onClosed: () => undefined }, 200);
      expect(E.isLeft(link)).toBe(true);
    },
  );
});
