/**
 * Tests swapped, truncated, malformed and missing responses over real connections, and malformed
 * input from callers. Guards against delivering the response of one request to the caller of
 * another.
 */

import fc from 'fast-check';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import { parseCall } from '../src/gate/parse';
import { HttpClient, isConnectFailure } from '../src/rpc/httpClient';
import { HttpListener } from '../src/rpc/httpListener';
import { RpcClient } from '../src/rpc/rpcClient';
import { HttpTargetClient } from '../src/target/httpTargetClient';
import type { TargetCall } from '../src/target/types';
import { Diagnostics } from '../src/types/diagnostics';
import { toEpoch, toId } from '../src/types/ids';

interface Exchange {
  readonly value: { readonly id?: number; readonly requestId?: string };
  readonly response: ServerResponse;
}

/** Collects complete requests and lets the test send the responses. */
class DeferredServer {
  readonly exchanges: Exchange[] = [];

  #server: Server;

  #expectedCount: number;

  #onAllReceived: (exchanges: readonly Exchange[]) => void;

  constructor(expectedCount: number, onWhole: (exchanges: readonly Exchange[]) => void) {
    this.#expectedCount = expectedCount;
    this.#onAllReceived = onWhole;
    this.#server = createServer((message, response) => this.#collect(message, response));
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #collect(message: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = [];
    message.on('data', (chunk: Buffer) => chunks.push(chunk));
    message.on('end', () => {
      const value = JSON.parse(Buffer.concat(chunks).toString('utf8'));
      this.exchanges.push({ value, response });
      if (this.exchanges.length === this.#expectedCount) this.#onAllReceived(this.exchanges);
    });
  }
}

function createTargetCall(requestId: string): TargetCall {
  return {
    kind: 'request',
    token: { shardId: toId('s'), epoch: toEpoch(1) },
    requestId: toId(requestId),
    teamId: toId('team-a'),
    timeoutMs: 2_000,
    contentType: 'text/plain',
    bodyBase64: Buffer.from(requestId).toString('base64'),
  };
}

function createResponse(requestId: string) {
  const bodyBase64 = Buffer.from(requestId).toString('base64');
  return { kind: 'answer', requestId, status: 200, contentType: 'text/plain', bodyBase64 };
}

async function withServer<T>(
  expectedCount: number,
  onAllReceived: (exchanges: readonly Exchange[]) => void,
  run: (address: string, caller: HttpClient, server: DeferredServer) => Promise<T>,
): Promise<T> {
  const server = new DeferredServer(expectedCount, onAllReceived);
  const caller = new HttpClient();
  try {
    return await run(await server.listen(), caller, server);
  } finally {
    await caller.close();
    server.close();
  }
}

describe('responses', () => {
  test('from targets are discarded and counted when swapped', async () => {
    const swapResponses = (exchanges: readonly Exchange[]) => {
      exchanges.forEach(({ response }, index) => {
        const other = exchanges[(index + 1) % exchanges.length]?.value.requestId ?? '';
        response.end(JSON.stringify(createResponse(other)));
      });
    };
    await withServer(2, swapResponses, async (address, caller) => {
      const target = new HttpTargetClient(caller);
      const results = await Promise.all(
        ['r1', 'r2'].map((id) => target.perform(address, createTargetCall(id), 2_000, () => false)),
      );
      expect(results.map((result) => result.kind)).toEqual(['lost', 'lost']);
      expect(target.mismatchedAnswerCount).toBe(2);
    });
  });

  test('from targets never reach a caller when malformed or truncated', async () => {
    const validResponse = JSON.stringify(createResponse('r'));
    const bodies = [
      JSON.stringify({ ...createResponse('r'), status: 100 }),
      JSON.stringify({ ...createResponse('r'), contentType: 'text\r\nx-injected: 1' }),
      JSON.stringify({ ...createResponse('r'), bodyBase64: 'not base64!' }),
      JSON.stringify({ kind: 'answer' }),
      validResponse.slice(0, -8),
    ];
    const sendResponses = (exchanges: readonly Exchange[]) => {
      exchanges.forEach(({ response }, index) => {
        const body = bodies[index];
        if (body !== undefined) {
          response.end(body);
          return;
        }
        response.writeHead(200, { 'content-length': validResponse.length });
        response.write(validResponse.slice(0, 10), () => response.destroy());
      });
    };
    await withServer(bodies.length + 1, sendResponses, async (address, caller) => {
      const target = new HttpTargetClient(caller);
      const calls = Array.from({ length: bodies.length + 1 }, () =>
        target.perform(address, createTargetCall('r'), 2_000, () => false),
      );
      const results = await Promise.all(calls);
      expect(results.map((result) => result.kind)).toEqual(calls.map(() => 'lost'));
    });
  });

  test('from schedulers are errors when swapped, and nothing is sent again', async () => {
    const swapResponses = (exchanges: readonly Exchange[]) => {
      exchanges.forEach(({ response }, index) => {
        const id = exchanges[(index + 1) % exchanges.length]?.value.id;
        response.end(JSON.stringify({ jsonrpc: '2.0', id, result: {} }));
      });
    };
    await withServer(2, swapResponses, async (address, caller, server) => {
      const client = new RpcClient(caller);
      const results = await Promise.all(
        [1, 2].map(() => client.call(address, { kind: 'getRoutes' }, 2_000)),
      );
      expect(results.map((result) => result.kind)).toEqual(['error', 'error']);
      expect(server.exchanges.length).toBe(2);
    });
  });

  test('that never arrive leave the request lost and sent only once', async () => {
    const closeConnection = (exchanges: readonly Exchange[]) => exchanges[0]?.response.destroy();
    await withServer(1, closeConnection, async (address, caller, server) => {
      const result = await new HttpTargetClient(caller).perform(
        address,
        createTargetCall('r'),
        2_000,
        () => false,
      );
      expect(result.kind).toBe('lost');
      expect(server.exchanges.length).toBe(1);
    });
  });

  test('are not reported as not sent when an established connection fails', () => {
    expect(isConnectFailure({ code: 'EHOSTUNREACH', syscall: 'read' })).toBe(false);
    expect(isConnectFailure({ code: 'EHOSTUNREACH', syscall: 'connect' })).toBe(true);
    expect(isConnectFailure({ code: 'UND_ERR_SOCKET' })).toBe(false);
  });
});

const headerNames = [
  'authorization',
  'request-id',
  'request-window-ms',
  'request-idempotent',
  'request-service',
  'content-type',
];
const paths = ['queues', 'jobs', 'operator', 'requests', 'config', 'changes', 'state', 'drain'];
const segment = fc.oneof(fc.constantFrom('v1', ...paths), fc.string({ maxLength: 8 }));
const headerValue = fc.oneof(
  fc.constantFrom('true', 'false', '100', '-1', '1e400', 'Bearer a:b', 'quote-1'),
  fc.string({ maxLength: 200 }),
);
const httpRequest = fc.record({
  method: fc.constantFrom('GET', 'POST', 'DELETE', 'PATCH'),
  path: fc.array(segment, { maxLength: 6 }).map((parts) => `/${parts.join('/')}`),
  headers: fc.dictionary(fc.constantFrom(...headerNames), headerValue),
  body: fc.oneof(fc.json(), fc.string()).map((text) => Buffer.from(text)),
});

describe('malformed input', () => {
  test('is refused with a diagnostic code, and accepted calls are within limits', () => {
    fc.assert(
      fc.property(httpRequest, (request) => {
        const { signal } = new AbortController();
        const parsed = parseCall({
          ...request,
          query: new URLSearchParams(),
          disconnectSignal: signal,
        });
        if (parsed.kind === 'refused') {
          expect(Diagnostics[parsed.diagnostic.name].code).toMatch(/^HW\d{4}$/);
          return;
        }
        if (parsed.call.kind !== 'request') return;
        expect(parsed.call.requestId.length).toBeLessThanOrEqual(128);
        expect(parsed.call.windowMs).toBeGreaterThan(0);
      }),
      { seed: 11, numRuns: 3_000 },
    );
  });

  test('that is too large, slow or not HTTP leaks no connection or buffer', async () => {
    const refused: string[] = [];
    const listener = new HttpListener(
      {
        handle: async () => ({ status: 200, contentType: 'text/plain', body: 'ok' }),
        refuse: ({ name }) => {
          refused.push(name);
          return { status: 400, contentType: 'text/plain', body: name };
        },
      },
      { maxBodyBytes: 100, bodyTimeoutMs: 50, maxBufferedBytes: 150 },
    );
    const port = await listener.listen('127.0.0.1', 0);
    const sendRaw = (text: string) =>
      new Promise<string>((resolve) => {
        const socket = connect(port, '127.0.0.1', () => socket.write(text));
        let response = '';
        socket.on('data', (chunk) => {
          response += chunk.toString('latin1');
        });
        socket.on('error', () => resolve(response));
        socket.on('close', () => resolve(response));
      });
    const post = (length: number, body: string) =>
      `POST / HTTP/1.1\r\nhost: x\r\ncontent-length: ${length}\r\n\r\n${body}`;
    const responses = await Promise.all([
      sendRaw(post(101, 'x'.repeat(101))),
      sendRaw(post(10_000_000, 'x'.repeat(90))),
      sendRaw(post(90, 'x'.repeat(80))),
      sendRaw(post(90, 'x'.repeat(80))),
      sendRaw(`GET / HTTP/1.1\r\nhost: x\r\nbig: ${'x'.repeat(20_000)}\r\n\r\n`),
      sendRaw('nonsense\r\n\r\n'),
    ]);
    const { openCount, bufferedBytes } = listener;
    listener.closeAll();
    expect(responses.slice(0, 4).every((response) => response.startsWith('HTTP/1.1 400'))).toBe(
      true,
    );
    expect([...refused].sort()).toEqual([
      'bodyTimeout',
      'bodyTooLarge',
      'bodyTooLarge',
      'overloaded',
    ]);
    expect({ openCount, bufferedBytes }).toEqual({ openCount: 0, bufferedBytes: 0 });
  });
});
