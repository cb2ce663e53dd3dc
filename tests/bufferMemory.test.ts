/** Guards against memory outside the heap that stays until the next garbage collection. */

import { connect } from 'node:net';
import { releaseBuffer } from '../src/rpc/bufferMemory';
import { GrowingBuffer } from '../src/rpc/growingBuffer';
import { HeldInput } from '../src/rpc/heldInput';
import { HttpListener } from '../src/rpc/httpListener';

const BODY_BYTES = 262_000;
const BODY_COUNT = 200;

/** A body in its final buffer, and what a few reads return; far below the sum of all bodies. */
const MAX_GROWTH_BYTES = 4_194_304;

/** Sends a request on a connection of its own and waits for the response. */
function send(port: number, input: Buffer): Promise<void> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, '127.0.0.1', () => socket.write(input));
    socket.on('error', reject);
    socket.on('data', () => {
      socket.destroy();
      resolve();
    });
  });
}

/** Sends bodies one after the other and returns the peak of memory outside the heap. */
async function measurePeakBytes(port: number, input: Buffer): Promise<number> {
  const { arrayBuffers: startBytes } = process.memoryUsage();
  let peakBytes = 0;
  const sendNext = async (count: number): Promise<void> => {
    await send(port, input);
    peakBytes = Math.max(peakBytes, process.memoryUsage().arrayBuffers - startBytes);
    if (count > 1) await sendNext(count - 1);
  };
  await sendNext(BODY_COUNT);
  return peakBytes;
}

describe('memory of requests', () => {
  let listener: HttpListener | undefined;

  afterEach(() => listener?.closeAll());

  test.each([
    ['of known length', `Content-Length: ${BODY_BYTES}\r\n\r\n`, ''],
    [
      'in chunks',
      `Transfer-Encoding: chunked\r\n\r\n${BODY_BYTES.toString(16)}\r\n`,
      '\r\n0\r\n\r\n',
    ],
  ])('is released with its request: bodies %s', async (_name, headEnd, bodyEnd) => {
    const sizes = new Set<number>();
    listener = new HttpListener(
      {
        handle: async ({ body }) => {
          sizes.add(body.length);
          return { status: 200, contentType: 'text/plain', body: '' };
        },
        refuse: ({ name }) => ({ status: 503, contentType: 'text/plain', body: name }),
      },
      { maxBodyBytes: 2 * BODY_BYTES, bodyTimeoutMs: 5_000 },
    );
    const port = await listener.listen('127.0.0.1', 0);
    const head = `POST /x HTTP/1.1\r\nHost: x\r\n${headEnd}`;
    const input = Buffer.from(`${head}${'a'.repeat(BODY_BYTES)}${bodyEnd}`);
    expect(await measurePeakBytes(port, input)).toBeLessThan(MAX_GROWTH_BYTES);
    expect([...sizes]).toEqual([BODY_BYTES]);
  });

  test('is not released while others have a view on it', () => {
    const memory = Buffer.alloc(10_000, 'a');
    releaseBuffer(memory.subarray(0, 5_000));
    expect(memory).toHaveLength(10_000);
    releaseBuffer(memory);
    expect(memory).toHaveLength(0);
  });

  test('of held input is released after its last slice, not while that is parsed', () => {
    const input = new HeldInput();
    const [first, second] = [Buffer.alloc(3_000, 'a'), Buffer.alloc(3_000, 'b')];
    input.add(first);
    input.add(second);
    input.parseSlice(2_000, (slice) => expect(slice).toHaveLength(2_000));
    expect(first).toHaveLength(3_000);
    input.parseSlice(2_000, (slice) => {
      input.clear();
      expect(second).toHaveLength(0);
      expect(slice.toString()).toBe('a'.repeat(1_000));
    });
    expect(first).toHaveLength(0);
    expect([input.isEmpty, input.memoryBytes]).toEqual([true, 0]);
  });

  test('of a dropped read is released after the slice that dropped it', () => {
    const input = new HeldInput();
    const read = Buffer.alloc(3_000, 'a');
    input.add(read);
    input.parseSlice(1_000, (slice) => {
      input.clear();
      expect(slice.toString()).toBe('a'.repeat(1_000));
    });
    expect(read).toHaveLength(0);
  });

  test.each([undefined, 5_000])('of pieces is copied in order, expected %p', (expectedBytes) => {
    const pieces = ['a', 'b', 'c'].map((text) => Buffer.alloc(1_500, text));
    const text = pieces.join('');
    const buffer = new GrowingBuffer({ expectedBytes, isOwner: true });
    pieces.forEach((piece) => buffer.append(piece));
    expect(buffer.read().toString()).toBe(text);
    expect(pieces.map(({ length }) => length)).toEqual([0, 0, 0]);
    expect(buffer.capacityBytes).toBeLessThanOrEqual(2 * text.length);
    buffer.clear();
    expect(buffer.capacityBytes).toBe(0);
  });
});
