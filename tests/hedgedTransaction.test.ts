/** Hedged transactions on a store that becomes slow, loses answers or is unreachable. */

import * as E from 'fp-ts/Either';
import { transactHedged } from '../src/store/hedgedTransaction';
import type { Committed, StoreOutcome } from '../src/store/types';

const DELAY_MS = 150;
const TIMEOUT_MS = 1_200;
const PAST_EVERY_TIMEOUT_MS = 5_000;

const STORED: StoreOutcome<Committed> = E.right({ version: 7 });
const CONFLICT: StoreOutcome<Committed> = E.left({ kind: 'conflict', rows: [] });
const UNKNOWN: StoreOutcome<Committed> = E.left({ kind: 'unknown', detail: 'no answer' });
const TURNED_AWAY: StoreOutcome<Committed> = E.left({ kind: 'notDone', detail: 'refused' });

/** Outcome of one copy, and the time after which it is known. */
interface Meeting {
  readonly tookMs: number;
  readonly outcome: StoreOutcome<Committed>;
}

/** Performs a transaction whose copies get these replies in order; further copies get the last one. */
async function play(meetings: readonly Meeting[]) {
  let sentCount = 0;
  let silenceCount = 0;
  let tookMs: number | undefined;
  const beganAtMs = Date.now();
  const done = transactHedged({
    send: () => {
      const meeting = meetings[Math.min(sentCount, meetings.length - 1)] as Meeting;
      sentCount += 1;
      return new Promise((resolve) => {
        setTimeout(() => resolve(meeting.outcome), meeting.tookMs);
      });
    },
    delayMs: DELAY_MS,
    onSilence: () => {
      silenceCount += 1;
    },
  }).then((outcome) => {
    tookMs = Date.now() - beganAtMs;
    return outcome;
  });
  await jest.advanceTimersByTimeAsync(PAST_EVERY_TIMEOUT_MS);
  return { outcome: await done, tookMs, sentCount, silenceCount };
}

const LOST: Meeting = { tookMs: TIMEOUT_MS, outcome: UNKNOWN };

describe('a hedged transaction', () => {
  beforeEach(() => jest.useFakeTimers());
  afterEach(() => jest.useRealTimers());

  test('is sent once to a store that answers immediately', async () => {
    const played = await play([{ tookMs: 4, outcome: STORED }]);
    expect(played).toEqual({ outcome: STORED, tookMs: 4, sentCount: 1, silenceCount: 0 });
  });

  test('takes no longer than one answer of a slow store', async () => {
    const played = await play([
      { tookMs: 240, outcome: STORED },
      { tookMs: 240, outcome: CONFLICT },
    ]);
    expect(played).toEqual({ outcome: STORED, tookMs: 240, sentCount: 2, silenceCount: 1 });
  });

  test('recovers from a lost answer with its second copy', async () => {
    const played = await play([LOST, { tookMs: 4, outcome: CONFLICT }]);
    expect(played).toMatchObject({ outcome: CONFLICT, tookMs: DELAY_MS + 4, sentCount: 2 });
  });

  test('is not reported as not performed when a copy may have been performed', async () => {
    const played = await play([LOST, { tookMs: 1, outcome: TURNED_AWAY }]);
    expect(played.outcome).toEqual(UNKNOWN);
  });

  test('is unknown when the copy that may have been performed is not the last to be answered', async () => {
    const played = await play([
      { tookMs: 200, outcome: UNKNOWN },
      { tookMs: 300, outcome: TURNED_AWAY },
    ]);
    expect(played).toMatchObject({ outcome: UNKNOWN, tookMs: 600, sentCount: 3 });
  });

  test('fails immediately when the store refuses its only copy', async () => {
    const played = await play([{ tookMs: 1, outcome: TURNED_AWAY }]);
    expect(played).toMatchObject({ outcome: TURNED_AWAY, tookMs: 1, sentCount: 1 });
  });

  test('has a bounded number of copies and reports each elapsed delay', async () => {
    const played = await play([LOST]);
    expect(played).toMatchObject({ outcome: UNKNOWN, sentCount: 3, silenceCount: 3 });
    expect(played.tookMs).toBe(2 * DELAY_MS + TIMEOUT_MS);
  });
});
