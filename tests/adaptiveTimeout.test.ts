/** Timeouts of calls to a store that loses answers, and to one that becomes slow. */

import { AdaptiveTimeout } from '../src/types/adaptiveTimeout';
import { Random } from '../src/types/random';

const BOUNDS = { minMs: 150, maxMs: 1_500, decayFactor: 0.7 };

/** Simulates calls of a given response time with a fraction of lost answers; returns the timeouts used. */
function runCalls(
  timeout: AdaptiveTimeout,
  durationMs: number,
  lostFraction: number,
  count: number,
): number[] {
  const random = new Random(3);
  return Array.from({ length: count }, () => {
    const { timeoutMs } = timeout;
    if (durationMs > timeoutMs || random.nextFraction() < lostFraction) timeout.addLoss();
    else timeout.addResponse(durationMs);
    return timeoutMs;
  });
}

describe('AdaptiveTimeout', () => {
  test('decreases to its minimum when answers are fast', () => {
    const timeout = new AdaptiveTimeout(BOUNDS);
    runCalls(timeout, 4, 0, 20);
    expect(timeout.timeoutMs).toBe(150);
  });

  test('stays low when a third of the answers is lost', () => {
    const timeout = new AdaptiveTimeout(BOUNDS);
    runCalls(timeout, 4, 0, 20);
    const timeouts = runCalls(timeout, 4, 0.35, 200);
    const meanMs = timeouts.reduce((sum, timeoutMs) => sum + timeoutMs, 0) / timeouts.length;
    expect(meanMs).toBeLessThan(300);
  });

  test('exceeds the response time within four calls after a store has become slow', () => {
    const timeout = new AdaptiveTimeout(BOUNDS);
    runCalls(timeout, 4, 0, 20);
    const timeouts = runCalls(timeout, 500, 0, 10);
    expect(timeouts.filter((timeoutMs) => timeoutMs < 500).length).toBeLessThanOrEqual(4);
    expect(timeout.timeoutMs).toBe(1_500);
  });
});
