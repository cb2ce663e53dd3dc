/** The share of the owner's thread that planning passes take. */

import { OwnerCore } from '../src/owner/core';
import { PassPacer } from '../src/owner/passPacer';
import { toEpoch } from '../src/types/ids';

const RUN_MS = 10_000;
const TICK_MS = 10;
const BACKLOG_STEPS = 300;

/** Plays ticks of a thread that is busy for the duration of each pass. */
function playPasses(durationMs: number): { passCount: number; longestPauseMs: number } {
  const pacer = new PassPacer();
  let passCount = 0;
  let longestPauseMs = 0;
  let endedAtMs = 0;
  for (let nowMs = 0; nowMs < RUN_MS; nowMs += TICK_MS) {
    if (!pacer.isPassAllowed(nowMs)) continue;
    if (passCount > 0) longestPauseMs = Math.max(longestPauseMs, nowMs - endedAtMs);
    passCount += 1;
    pacer.onPass(nowMs, BACKLOG_STEPS, durationMs);
    endedAtMs = nowMs + durationMs;
    nowMs = endedAtMs - TICK_MS;
  }
  return { passCount, longestPauseMs };
}

test.each([20, 40, 70])(
  'passes of %i ms in a backlog leave most of the thread to calls and answers',
  (durationMs) => {
    const { passCount } = playPasses(durationMs);
    expect((passCount * durationMs) / RUN_MS).toBeLessThan(0.36);
    expect(passCount).toBeGreaterThan(10);
  },
);

test('urgent tasks do not wait for longer than a bounded pause, however long passes are', () => {
  expect(playPasses(400).longestPauseMs).toBeLessThanOrEqual(160);
});

test('short passes follow each other at a fixed interval', () => {
  const pacer = new PassPacer();
  pacer.onPass(0, 0, 1);
  expect(pacer.isPassAllowed(8)).toBe(false);
  expect(pacer.isPassAllowed(9)).toBe(true);
});

test('an owner whose passes take long runs fewer of them', () => {
  const countPasses = (passMs: number) => {
    let elapsedMs = 0;
    let readCount = 0;
    // Each pass reads the stopwatch when it begins and when it ends.
    const stopwatch = () => {
      readCount += 1;
      if (readCount % 2 === 0) elapsedMs += passMs;
      return elapsedMs;
    };
    const clocks = { nowMs: 0, steadyMs: 0, wallMs: 0 };
    const core = new OwnerCore(
      ...([toEpoch(1), [], clocks, undefined, undefined, undefined] as const),
      stopwatch,
    );
    for (let nowMs = 0; nowMs < RUN_MS; nowMs += TICK_MS) {
      core.reduce({
        kind: 'operatorChanged',
        operator: { closedDataCentreIds: [], config: undefined },
        nowMs,
        steadyMs: nowMs,
        wallMs: nowMs,
      });
    }
    return readCount / 2;
  };
  expect(countPasses(0)).toBeGreaterThan(900);
  expect(countPasses(50)).toBeLessThan(RUN_MS / 150 + 10);
});
