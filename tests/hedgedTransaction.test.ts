/** Copies of a transaction: under a store that turns slow, one that loses answers, one that is gone. */

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

/** What one copy meets: an answer after a time, or none at all. */
interface Meeting {
  readonly tookMs: number;
  readonly outcome: StoreOutcome<Committed>;
}

/** Plays copies that meet these answers in turn; the last one meets all that follow. */
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

  test('is sent once to a store that answers at once', async () => {
    const played = await play([{ tookMs: 4, outcome: STORED }]);
    expect(played).toEqual({ outcome: STORED, tookMs: 4, sentCount: 1, silenceCount: 0 });
  });

  test('takes no longer than one answer of a store that has turned slow', async () => {
    const played = await play([
      { tookMs: 240, outcome: STORED },
      { tookMs: 240, outcome: CONFLICT },
    ]);
    expect(played).toEqual({ outcome: STORED, tookMs: 240, sentCount: 2, silenceCount: 1 });
  });

  test('finds out about a lost answer from its second copy', async () => {
    const played = await play([LOST, { tookMs: 4, outcome: CONFLICT }]);
    expect(played).toMatchObject({ outcome: CONFLICT, tookMs: DELAY_MS + 4, sentCount: 2 });
  });

  test('is not said to be undone while a copy may have been performed', async () => {
    const played = await play([LOST, { tookMs: 1, outcome: TURNED_AWAY }]);
    expect(played.outcome).toEqual(UNKNOWN);
  });

  test('stays doubtful when the copy that may have been performed is not the last to end', async () => {
    const played = await play([
      { tookMs: 200, outcome: UNKNOWN },
      { tookMs: 300, outcome: TURNED_AWAY },
    ]);
    expect(played).toMatchObject({ outcome: UNKNOWN, tookMs: 600, sentCount: 3 });
  });

  test('is given up at once when the store turns its only copy away', async () => {
    const played = await play([{ tookMs: 1, outcome: TURNED_AWAY }]);
    expect(played).toMatchObject({ outcome: TURNED_AWAY, tookMs: 1, sentCount: 1 });
  });

  test('has a bounded number of copies, and tells of each silence', async () => {
    const played = await play([LOST]);
    expect(played).toMatchObject({ outcome: UNKNOWN, sentCount: 3, silenceCount: 3 });
    expect(played.tookMs).toBe(2 * DELAY_MS + TIMEOUT_MS);
  });
});
