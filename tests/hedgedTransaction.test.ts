/** Hedged transactions on a store that becomes slow, loses answers or is unreachable. */

import * as E from 'fp-ts/Either';
import { transactHedged } from '../src/store/hedgedTransaction';
import type { Committed, StoreOutcome } from '../src/store/types';

const DELAY_MS = 150;
const TIMEOUT_MS = 1_200;
const BEYOND_ALL_TIMEOUTS_MS = 5_000;

const STORED: StoreOutcome<Committed> = E.right({ version: 7 });
const CONFLICT: StoreOutcome<Committed> = E.left({ kind: 'conflict', rows: [] });
const UNKNOWN: StoreOutcome<Committed> = E.left({ kind: 'unknown', detail: 'no answer' });
const REJECTED: StoreOutcome<Committed> = E.left({ kind: 'notDone', detail: 'refused' });

/** Outcome of one copy, and the time after which it is known. */
interface Reply {
  readonly afterMs: number;
  readonly outcome: StoreOutcome<Committed>;
}

/** Performs a transaction whose copies get these replies in order; further copies get the last one. */
async function runTransaction(replies: readonly Reply[], isCopyUseful = true) {
  let sentCount = 0;
  let delayElapsedCount = 0;
  let tookMs: number | undefined;
  const startedAtMs = Date.now();
  const done = transactHedged({
    send: () => {
      const reply = replies[Math.min(sentCount, replies.length - 1)] as Reply;
      sentCount += 1;
      return new Promise((resolve) => {
        setTimeout(() => resolve(reply.outcome), reply.afterMs);
      });
    },
    delayMs: DELAY_MS,
    onDelayElapsed: () => {
      delayElapsedCount += 1;
    },
    isCopyUseful: () => isCopyUseful,
  }).then((outcome) => {
    tookMs = Date.now() - startedAtMs;
    return outcome;
  });
  await jest.advanceTimersByTimeAsync(BEYOND_ALL_TIMEOUTS_MS);
  return { outcome: await done, tookMs, sentCount, delayElapsedCount };
}

const LOST: Reply = { afterMs: TIMEOUT_MS, outcome: UNKNOWN };

describe('a hedged transaction', () => {
  beforeEach(() => jest.useFakeTimers());
  afterEach(() => jest.useRealTimers());

  test('is sent once to a store that answers immediately', async () => {
    const result = await runTransaction([{ afterMs: 4, outcome: STORED }]);
    expect(result).toEqual({ outcome: STORED, tookMs: 4, sentCount: 1, delayElapsedCount: 0 });
  });

  test('takes no longer than one answer of a slow store', async () => {
    const result = await runTransaction([
      { afterMs: 240, outcome: STORED },
      { afterMs: 240, outcome: CONFLICT },
    ]);
    expect(result).toEqual({ outcome: STORED, tookMs: 240, sentCount: 2, delayElapsedCount: 1 });
  });

  test('sends no copy to a store that is known to answer late', async () => {
    const result = await runTransaction([{ afterMs: 900, outcome: STORED }], false);
    expect(result).toMatchObject({ outcome: STORED, tookMs: 900, sentCount: 1 });
  });

  test('recovers from a lost answer with its second copy', async () => {
    const result = await runTransaction([LOST, { afterMs: 4, outcome: CONFLICT }]);
    expect(result).toMatchObject({ outcome: CONFLICT, tookMs: DELAY_MS + 4, sentCount: 2 });
  });

  test('is not reported as not performed when a copy may have been performed', async () => {
    const result = await runTransaction([LOST, { afterMs: 1, outcome: REJECTED }]);
    expect(result.outcome).toEqual(UNKNOWN);
  });

  test('is unknown when the copy that may have been performed is not the last to be answered', async () => {
    const result = await runTransaction([
      { afterMs: 200, outcome: UNKNOWN },
      { afterMs: 300, outcome: REJECTED },
    ]);
    expect(result).toMatchObject({ outcome: UNKNOWN, tookMs: 600, sentCount: 3 });
  });

  test('fails immediately when the store refuses its only copy', async () => {
    const result = await runTransaction([{ afterMs: 1, outcome: REJECTED }]);
    expect(result).toMatchObject({ outcome: REJECTED, tookMs: 1, sentCount: 1 });
  });

  test('has a bounded number of copies and reports each elapsed delay', async () => {
    const result = await runTransaction([LOST]);
    expect(result).toMatchObject({ outcome: UNKNOWN, sentCount: 3, delayElapsedCount: 3 });
    expect(result.tookMs).toBe(2 * DELAY_MS + TIMEOUT_MS);
  });
});
