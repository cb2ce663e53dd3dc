/** Guards against memory of clients that is not counted or not released, and against dropping requests being served. */

import { mkdtempSync, writeFileSync } from 'node:fs';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import * as fc from 'fast-check';
import * as E from 'fp-ts/Either';
import {
  clientLimitsSchema,
  tryCreateClientLimits,
  tryReadReceiveBufferBytes,
} from '../platform/clientLimits';
import type { ClientLimits } from '../platform/clientLimits';
import { ClientLimitLog } from '../src/observe/clientLimitLog';
import { Metrics } from '../src/observe/metrics';
import { CONNECTION_BYTES } from '../src/rpc/budgetShare';
import { ConnectionBudget } from '../src/rpc/connectionBudget';
import { HttpListener } from '../src/rpc/httpListener';
import type { HttpRequest, HttpResponse } from '../src/rpc/httpListener';

const KB = 1_024;
const HEAD = 'POST /x HTTP/1.1\r\nHost: x\r\n';

/** Pieces of which drawn connections consist. */
const PIECES = [
  'GET /x HTTP/1.1\r\nHost: x\r\n\r\n',
  'GET /x HTTP/1.0\r\n\r\n',
  'GET / HTTP/1.1\r\n\r\n'.repeat(300),
  `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
  `${HEAD}Content-Length: 9000\r\n\r\n`,
  `${HEAD}Content-Length: 999999\r\n\r\n`,
  `${HEAD}Expect: more\r\n\r\n`,
  ...['1\r\na\r\n', '1\r\na\r\n'.repeat(3_000), `1000\r\n${'b'.repeat(4_096)}\r\n`],
  ...['0\r\n\r\n', '0\r\n', 'a: b\r\n', 'a: b\r\n'.repeat(500), '\r\n', '\r\n\r'],
  ...['c'.repeat(4_500), 'GET /', 'd: e\r\n'.repeat(150), '\0'],
];

async function waitFor(
  condition: () => boolean,
  message: string,
  endMs = performance.now() + 4_000,
) {
  if (condition()) return;
  if (performance.now() > endMs) throw new Error(message);
  await new Promise((resolve) => {
    setTimeout(resolve, 2);
  });
  await waitFor(condition, message, endMs);
}

/** A listener on loopback whose handler answers after some rounds of the event loop. */
class TestListener {
  readonly limits: string[] = [];

  readonly budget: ConnectionBudget;

  readonly listener: HttpListener;

  readonly handled: HttpRequest[] = [];

  port = 0;

  #sockets: Socket[] = [];

  constructor(maxConnections: number, maxHeldBytes: number, answer?: () => Promise<HttpResponse>) {
    this.budget = new ConnectionBudget({ maxConnections, maxHeldBytes }, (limit) =>
      this.limits.push(limit),
    );
    const ok = { status: 200, contentType: 'text/plain', body: `${'z'.repeat(2_000)}\n` };
    this.listener = new HttpListener(
      {
        handle: async (request) => {
          this.handled.push(request);
          await new Promise((resolve) => {
            setImmediate(resolve);
          });
          return answer === undefined ? ok : answer();
        },
        refuse: ({ name }) => ({ status: 503, contentType: 'text/plain', body: name }),
      },
      { maxBodyBytes: 64 * KB, bodyTimeoutMs: 2_000, maxInputBytesPerSecond: 80 * KB },
      undefined,
      this.budget,
    );
  }

  async start(): Promise<this> {
    this.port = await this.listener.listen('127.0.0.1', 0);
    return this;
  }

  /** Opens a connection; what it answers is collected in `text`. */
  open(input: string): { readonly socket: Socket; text: string } {
    const socket = connect(this.port, '127.0.0.1', () => socket.write(input, 'latin1'));
    const connection = { socket, text: '' };
    socket.on('data', (data) => {
      connection.text += data.toString('latin1');
    });
    socket.on('error', () => socket.destroy());
    this.#sockets.push(socket);
    return connection;
  }

  /** Closes all connections of clients and waits until nothing is held. */
  async expectAllReleased(): Promise<void> {
    this.#sockets.forEach((socket) => socket.destroy());
    const { budget, listener } = this;
    const getHeld = () => [budget.heldBytes, budget.connectionCount, listener.bufferedBytes];
    await waitFor(
      () => getHeld().every((value) => value === 0) && listener.openCount === 0,
      'connections are not released',
    ).catch(() => undefined);
    expect([...getHeld(), listener.openCount]).toEqual([0, 0, 0, 0]);
  }
}

describe('connections of a listener', () => {
  test('release all that they held, whatever was sent on them', async () => {
    const test = await new TestListener(30, 256 * KB).start();
    const inputs = fc.array(fc.array(fc.constantFrom(...PIECES), { maxLength: 8 }), {
      ...{ minLength: 1, maxLength: 12 },
    });
    await fc.assert(
      fc.asyncProperty(inputs, async (drawn) => {
        const connections = drawn.map((pieces) => test.open(pieces.join('')));
        await waitFor(
          () => connections.every(({ socket }) => socket.bytesWritten > 0 || !socket.connecting),
          'not connected',
        );
        await new Promise((resolve) => {
          setTimeout(resolve, 5);
        });
        const { budget, listener } = test;
        const leastBytes = budget.connectionCount * CONNECTION_BYTES + listener.bufferedBytes;
        expect(budget.heldBytes).toBeGreaterThanOrEqual(leastBytes);
        await test.expectAllReleased();
      }),
      { seed: 5, numRuns: 150 },
    );
    test.listener.closeAll();
  }, 60_000);

  test.each([
    [
      'a body in chunks of one byte',
      `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
      '1\r\na\r\n',
      20_000,
    ],
    ['a body of known length', `${HEAD}Content-Length: 60000\r\n\r\n`, 'a', 20_000],
    ['a head', HEAD, 'a: b\r\n', 6_000],
    ['trailers', `${HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n`, 'a: b\r\n', 6_000],
  ])('count %s that lacks its end', async (_name, head, piece, expectedBytes) => {
    const test = await new TestListener(10, 10 * KB * KB).start();
    test.open(head + piece.repeat(expectedBytes / piece.replace(/^1\r\na\r\n$/, 'a').length));
    await waitFor(() => test.budget.heldBytes > expectedBytes + CONNECTION_BYTES, 'not counted');
    expect(test.budget.heldBytes).toBeLessThan(8 * expectedBytes + CONNECTION_BYTES + 64 * KB);
    await test.expectAllReleased();
    test.listener.closeAll();
  });

  // Input that waits behind a request must not be parsed, nor make its memory disappear from the sum.
  test('hand on one request at a time and answer pipelined ones in order', async () => {
    const answers: (() => void)[] = [];
    const test = await new TestListener(10, 1_000 * KB, async () => {
      await new Promise<void>((resolve) => {
        answers.push(resolve);
      });
      return { status: 200, contentType: 'text/plain', body: `<${answers.length}>` };
    }).start();
    const connection = test.open('GET /x HTTP/1.1\r\nHost: x\r\n\r\n'.repeat(3));
    const answerNext = async (count: number): Promise<void> => {
      await waitFor(() => answers.length === count, 'not handed on');
      expect(test.handled).toHaveLength(count);
      answers[count - 1]?.();
      if (count < 3) await answerNext(count + 1);
    };
    await answerNext(1);
    await waitFor(() => connection.text.includes('<3>'), 'not answered');
    expect(connection.text.match(/<\d>/g)).toEqual(['<1>', '<2>', '<3>']);
    await test.expectAllReleased();
    test.listener.closeAll();
  });

  test.each([
    ['known', `Content-Length: ${64 * KB}\r\n\r\n`, ''],
    ['unknown', `Transfer-Encoding: chunked\r\n\r\n${(64 * KB).toString(16)}\r\n`, '\r\n0\r\n\r\n'],
  ])('serve a body of the largest size, length %s', async (_name, headEnd, bodyEnd) => {
    const test = await new TestListener(10, 1_000 * KB).start();
    const body = 'ab'.repeat(32 * KB);
    const connection = test.open(`${HEAD}${headEnd}${body}${bodyEnd}`);
    await waitFor(() => connection.text.includes('200 OK'), 'not served');
    expect(test.limits).toEqual([]);
    await test.expectAllReleased();
    test.listener.closeAll();
  });

  test('are refused at the head when their body would have no room', async () => {
    const test = await new TestListener(10, 50 * KB).start();
    const refused = test.open(`${HEAD}Content-Length: 60000\r\n\r\n`);
    await waitFor(() => refused.text.includes('overloaded'), 'not refused');
    expect(refused.text).toMatch(/^HTTP\/1.1 503 /);
    const served = test.open(`${HEAD}Content-Length: 2\r\n\r\n{}`);
    await waitFor(() => served.text.includes('200 OK'), 'not served');
    await test.expectAllReleased();
    test.listener.closeAll();
  });

  // Node.js reads once more after a pause; what it returns is memory of the process already.
  test('count the read that follows a pause', async () => {
    const test = await new TestListener(10, 1_000 * KB, () => new Promise(() => {})).start();
    const connection = test.open('GET /x HTTP/1.1\r\nHost: x\r\n\r\n');
    await waitFor(() => test.handled.length === 1, 'not handed on');
    connection.socket.write('b'.repeat(400 * KB));
    await waitFor(() => test.budget.heldBytes > CONNECTION_BYTES + 64 * KB, 'not counted');
    expect(test.budget.heldBytes).toBeGreaterThan(CONNECTION_BYTES + 2 * 64 * KB);
    test.listener.closeAll();
  });

  // Such clients have a receive window of megabytes, which they may fill while nothing is read.
  test('are closed with the response once they sent more than a body in a second', async () => {
    const test = await new TestListener(10, 1_000 * KB).start();
    const input = `${HEAD}Content-Length: 60000\r\n\r\n${'a'.repeat(60_000)}`;
    const connection = test.open(input);
    const waitForEnds = (count: number) =>
      waitFor(() => connection.text.split('zz\n').length > count, 'not answered');
    await waitForEnds(1);
    expect(connection.text).toContain('keep-alive');
    expect(connection.text).not.toContain('connection: close');
    connection.socket.write(input);
    await waitForEnds(2);
    expect(connection.text).toContain('connection: close');
    await test.expectAllReleased();
    test.listener.closeAll();
  });

  test('are refused or closed in favour of others, not those that a handler serves', async () => {
    let answer = () => {};
    const test = await new TestListener(40, 1_000 * KB, async () => {
      await new Promise<void>((resolve) => {
        answer = resolve;
      });
      return { status: 200, contentType: 'text/plain', body: 'served' };
    }).start();
    const served = test.open(`${HEAD}Content-Length: 5000\r\n\r\n${'a'.repeat(5_000)}`);
    await waitFor(() => test.handled.length === 1, 'not handed on');
    const holders = Array.from({ length: 30 }, () =>
      test.open(`${HEAD}Content-Length: 60001\r\n\r\n${'a'.repeat(60_000)}`),
    );
    await waitFor(() => test.limits.includes('held_bytes'), 'budget not exceeded');
    await waitFor(() => holders.some(({ text }) => text.includes('overloaded')), 'not refused');
    expect(test.budget.heldBytes).toBeLessThan(1_100 * KB);
    Array.from({ length: 60 }, () => test.open(''));
    await waitFor(() => test.limits.includes('connections'), 'number not exceeded');
    expect(test.budget.connectionCount).toBeLessThanOrEqual(40);
    expect(served.socket.destroyed).toBe(false);
    answer();
    await waitFor(() => served.text.includes('served'), 'not served');
    await test.expectAllReleased();
    test.listener.closeAll();
  });
});

describe('limits', () => {
  const create = (settings: object, memoryMb?: number, maxDescriptors?: number) =>
    tryCreateClientLimits(clientLimitsSchema.parse(settings), { memoryMb, maxDescriptors });

  test('follow the size of the machine, or are those of the smallest one', () => {
    const [none, smallest, large] = [create({}), create({}, 250, 4_100), create({}, 602, 8_192)];
    expect(none).toEqual(smallest);
    expect(smallest).toMatchObject(
      E.right({ budget: { maxConnections: 372, maxHeldBytes: 32_768_000 } }),
    );
    expect(large).toMatchObject(
      E.right({ budget: { maxConnections: 1_076 }, listener: { maxInputBytesPerSecond: 278_528 } }),
    );
  });

  test('follow the receive buffer of the machine', () => {
    const settings = clientLimitsSchema.parse({});
    const getCount = (receiveBufferBytes: number) =>
      E.map(({ budget }: ClientLimits) => budget.maxConnections)(
        tryCreateClientLimits(settings, { memoryMb: 250, receiveBufferBytes }),
      );
    expect([65_536, 262_144, 8_388_608].map(getCount)).toEqual([872, 122, 16].map(E.right));
    const path = join(mkdtempSync(join(tmpdir(), 'hemlockway-limits-')), 'tcp_rmem');
    writeFileSync(path, '4096\t87380\t6291456\n');
    expect(tryReadReceiveBufferBytes(path)).toBe(87_380);
    writeFileSync(path, 'none');
    expect(tryReadReceiveBufferBytes(path)).toBeUndefined();
    expect(tryReadReceiveBufferBytes(`${path}.missing`)).toBeUndefined();
  });

  test.each([
    ['maxUnreadMb', { maxUnreadMb: 40, maxConnections: 400 }],
    ['maxHeldMb', { maxHeldMb: 200 }],
    ['maxConnections', { maxConnections: 2_000 }],
    ['maxDescriptors', { maxHeldMb: 120, maxConnections: 3_900 }],
  ])('are refused when the machine is too small: %s', (name, settings) => {
    const limits = create(settings, 250, 4_000);
    expect(E.isLeft(limits) && limits.left).toContain(name);
  });

  test('that many clients meet are counted, and logged once a second', () => {
    const lines: object[] = [];
    const metrics = new Metrics();
    const warn = (fields: object) => lines.push(fields);
    const log = new ClientLimitLog(
      { ...{ debug: warn, info: warn, warn }, error: warn, fatal: warn },
      metrics,
    );
    [0, 10, 999, 1_000].forEach((nowMs) => log.add('connections', '10.0.0.1', nowMs));
    expect(lines).toEqual([
      { limit: 'connections', address: '10.0.0.1', count: 1 },
      { limit: 'connections', address: '10.0.0.1', count: 3 },
    ]);
    expect(metrics.renderPage()).toContain('hemlockway_client_limit_connections_total 4');
  });
});
