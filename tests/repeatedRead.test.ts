/** Reads of a store that is silent for a while: the answer comes soon after it is back, not after a timeout (SHORT). */

import * as E from 'fp-ts/Either';
import { Metrics } from '../src/observe/metrics';
import { MonitoredStore } from '../src/store/monitoredStore';
import type { RowPage, RowStore, StoreOutcome } from '../src/store/types';

const TIMEOUT_MS = 1_500;
const PAGE: RowPage = { rows: [], storeVersion: 7, storeMs: 0, hasMore: false };
const QUERY = { table: 't', part: 'p', fromKey: '', limit: 1 };
const CLOCK = {
  nowMs: () => Date.now(),
  wallMs: () => Date.now(),
  steadyMs: () => Date.now(),
};

/** A store that answers no call that is sent before a given time; others are answered after a delay. */
class SilentStore implements Pick<RowStore, 'readRange'> {
  readonly sentAtMs: number[] = [];

  #startedAtMs = Date.now();

  constructor(
    readonly backAtMs: number,
    readonly answerMs: number,
    readonly outcome: StoreOutcome<RowPage> = E.right(PAGE),
  ) {}

  readRange(_query: unknown, timeoutMs: number): Promise<StoreOutcome<RowPage>> {
    const sentAtMs = Date.now() - this.#startedAtMs;
    this.sentAtMs.push(sentAtMs);
    const isAnswered = sentAtMs >= this.backAtMs && this.answerMs <= timeoutMs;
    const outcome = isAnswered
      ? this.outcome
      : E.left({ kind: 'unknown' as const, detail: 'timeout' });
    return new Promise((resolve) => {
      setTimeout(() => resolve(outcome), isAnswered ? this.answerMs : timeoutMs);
    });
  }
}

async function read(inner: SilentStore, isSlow = false) {
  const store = new MonitoredStore(
    inner as unknown as RowStore,
    CLOCK,
    new Metrics(),
    () => undefined,
    () => isSlow,
  );
  const startedAtMs = Date.now();
  let tookMs: number | undefined;
  const done = store.readRange(QUERY, TIMEOUT_MS).then((outcome) => {
    tookMs = Date.now() - startedAtMs;
    return outcome;
  });
  await jest.advanceTimersByTimeAsync(2 * TIMEOUT_MS);
  return { outcome: await done, tookMs, sentAtMs: inner.sentAtMs };
}

describe('a read of the store', () => {
  beforeEach(() => jest.useFakeTimers());
  afterEach(() => jest.useRealTimers());

  test('is sent once when it is answered', async () => {
    const result = await read(new SilentStore(0, 4));
    expect(result).toEqual({ outcome: E.right(PAGE), tookMs: 4, sentAtMs: [0] });
  });

  test('is answered soon after a silent store is back', async () => {
    const result = await read(new SilentStore(500, 4));
    expect(result).toEqual({ outcome: E.right(PAGE), tookMs: 804, sentAtMs: [0, 400, 800] });
  });

  test('takes the first answer of a store that is late without being known to be', async () => {
    const result = await read(new SilentStore(0, 600));
    expect(result).toEqual({ outcome: E.right(PAGE), tookMs: 600, sentAtMs: [0, 400] });
  });

  test('is sent once after another read has shown that the store is late', async () => {
    const inner = new SilentStore(0, 600);
    const store = new MonitoredStore(
      inner as unknown as RowStore,
      CLOCK,
      new Metrics(),
      () => undefined,
    );
    const first = store.readRange(QUERY, TIMEOUT_MS);
    await jest.advanceTimersByTimeAsync(TIMEOUT_MS);
    await first;
    const second = store.readRange(QUERY, TIMEOUT_MS);
    await jest.advanceTimersByTimeAsync(TIMEOUT_MS);
    expect(await second).toEqual(E.right(PAGE));
    expect(inner.sentAtMs).toEqual([0, 400, TIMEOUT_MS]);
  });

  test('is sent once while the store is known to be late', async () => {
    const result = await read(new SilentStore(0, 900), true);
    expect(result).toEqual({ outcome: E.right(PAGE), tookMs: 900, sentAtMs: [0] });
  });

  test('fails when its time has passed', async () => {
    const result = await read(new SilentStore(10_000, 4));
    expect(E.isLeft(result.outcome)).toBe(true);
    expect(result.tookMs).toBe(TIMEOUT_MS);
  });

  test('fails at once when the store refuses it', async () => {
    const refusal = E.left({ kind: 'notDone' as const, detail: 'status 503' });
    const result = await read(new SilentStore(0, 4, refusal));
    expect(result).toEqual({ outcome: refusal, tookMs: 4, sentAtMs: [0] });
  });
});
