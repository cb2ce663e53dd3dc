/** After a delay of the event loop, input that has arrived counts before the passage of time. */

import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { startSocketFirstInterval } from '../src/rpc/socketFirstInterval';

const INTERVAL_MS = 20;

/** Keeps the event loop from running. */
function block(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
}

/** Starts an interval, lets a message arrive and the interval elapse during a delay, and records what comes first. */
async function getFirst(start: (callback: () => void) => () => void): Promise<string> {
  const order: string[] = [];
  const server = createServer((socket) => socket.on('data', () => order.push('message')));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
  await Promise.all([once(client, 'connect'), once(server, 'connection')]);
  // The following code runs in the phase after sockets were read, so timers come next.
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  const stop = start(() => order.push('interval'));
  client.write('heartbeat');
  block(3 * INTERVAL_MS);
  await new Promise((resolve) => {
    setTimeout(resolve, 3 * INTERVAL_MS);
  });
  stop();
  client.destroy();
  server.close();
  return order[0] ?? '';
}

test('a plain interval elapses before a message that has arrived is read', async () => {
  const first = await getFirst((callback) => {
    const timer = setInterval(callback, INTERVAL_MS);
    return () => clearInterval(timer);
  });
  expect(first).toBe('interval');
});

test('an interval that lets sockets be read first does not', async () => {
  const first = await getFirst((callback) => {
    const interval = startSocketFirstInterval(callback, INTERVAL_MS);
    return () => interval.stop();
  });
  expect(first).toBe('message');
});
