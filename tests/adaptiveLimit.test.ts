/** Timeouts of calls to a store that loses answers, and to one that becomes slow. */

import { AdaptiveLimit } from '../src/types/adaptiveLimit';
import { Random } from '../src/types/random';

const BOUNDS = { leastMs: 150, mostMs: 1_500, fadeFactor: 0.7 };

/** Simulates calls of a given response time with a fraction of lost answers; returns the timeouts used. */
function play(limit: AdaptiveLimit, tookMs: number, lostFraction: number, count: number): number[] {
  const random = new Random(3);
  return Array.from({ length: count }, () => {
    const { limitMs } = limit;
    if (tookMs > limitMs || random.nextFraction() < lostFraction) limit.addLoss();
    else limit.addAnswer(tookMs);
    return limitMs;
  });
}

describe('AdaptiveTimeout', () => {
  test('decreases to its minimum when answers are fast', () => {
    const limit = new AdaptiveLimit(BOUNDS);
    play(limit, 4, 0, 20);
    expect(limit.limitMs).toBe(150);
  });

  test('stays low when a third of the answers is lost', () => {
    const limit = new AdaptiveLimit(BOUNDS);
    play(limit, 4, 0, 20);
    const limits = play(limit, 4, 0.35, 200);
    const meanMs = limits.reduce((sum, limitMs) => sum + limitMs, 0) / limits.length;
    expect(meanMs).toBeLessThan(300);
  });

  test('exceeds the response time within four calls after a store has become slow', () => {
    const limit = new AdaptiveLimit(BOUNDS);
    play(limit, 4, 0, 20);
    const limits = play(limit, 500, 0, 10);
    expect(limits.filter((limitMs) => limitMs < 500).length).toBeLessThanOrEqual(4);
    expect(limit.limitMs).toBe(1_500);
  });
});
