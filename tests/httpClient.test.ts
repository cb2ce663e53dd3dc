/** Time limits and connections of the HTTP client, and its report of whether a request may have been sent. */

import { Agent, request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { HttpClient } from '../src/rpc/httpClient';
import { HttpListener } from '../src/rpc/httpListener';

const LIMITS = { maxBodyBytes: 1_024, bodyTimeoutMs: 1_000 };

describe('HttpClient', () => {
  test('accepts timeouts that are not whole milliseconds', async () => {
    const listener = new HttpListener(
      {
        handle: async () => ({ status: 200, contentType: 'text/plain', body: 'ok' }),
        refuse: () => ({ status: 400, contentType: 'text/plain', body: '' }),
      },
      LIMITS,
    );
    const port = await listener.listen('127.0.0.1', 0);
    const client = new HttpClient();
    const result = await client.postJson(`127.0.0.1:${port}`, '/', {}, 2_999.000_000_1);
    await client.close();
    listener.closeAll();
    expect(result).toMatchObject({ kind: 'response', status: 200 });
  });

  test('writes nothing when the call becomes too late while it waits for a connection', async () => {
    let handledCount = 0;
    const listener = new HttpListener(
      {
        handle: async () => {
          handledCount += 1;
          return { status: 200, contentType: 'text/plain', body: 'ok' };
        },
        refuse: () => ({ status: 400, contentType: 'text/plain', body: '' }),
      },
      LIMITS,
    );
    const address = `127.0.0.1:${await listener.listen('127.0.0.1', 0)}`;
    const client = new HttpClient();
    let isLate = false;
    const isTooLate = () => isLate;
    const inTime = await client.postJson(address, '/', {}, 1_000, isTooLate);
    const other = new HttpClient();
    const pending = other.postJson(address, '/', {}, 1_000, isTooLate);
    isLate = true;
    const late = await pending;
    await Promise.all([client.close(), other.close()]);
    listener.closeAll();
    expect(inTime).toMatchObject({ kind: 'response' });
    expect(late).toMatchObject({ kind: 'notSent', isRefused: false });
    expect(handledCount).toBe(1);
  });

  test('reports that nothing was sent when the connection is refused', async () => {
    const client = new HttpClient();
    const result = await client.postJson('127.0.0.1:1', '/', {}, 1_000);
    await client.close();
    expect(result).toMatchObject({ kind: 'notSent', isRefused: true });
  });

  test('gets its connection kept alive by a listener that has read the complete body', async () => {
    const listener = new HttpListener(
      {
        handle: async () => ({ status: 200, contentType: 'text/plain', body: 'ok' }),
        refuse: () => ({ status: 400, contentType: 'text/plain', body: '' }),
      },
      LIMITS,
    );
    const port = await listener.listen('127.0.0.1', 0);
    const agent = new Agent({ keepAlive: true });
    const response = await new Promise<IncomingMessage>((resolve, reject) => {
      const sent = request({ host: '127.0.0.1', port, method: 'POST', agent }, resolve);
      sent.on('error', reject);
      sent.end('a body');
    });
    response.resume();
    expect(response.headers.connection).toBe('keep-alive');
    agent.destroy();
    listener.closeAll();
  });
});
