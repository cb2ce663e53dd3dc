/** The limit of calls under a store that loses answers, and under one that turns slow. */

import { AdaptiveLimit } from '../src/types/adaptiveLimit';
import { Random } from '../src/types/random';

const BOUNDS = { leastMs: 150, mostMs: 1_500, fadeFactor: 0.7 };

/** Calls that take a given time, of which some answers are lost; returns the limits used. */
function play(limit: AdaptiveLimit, tookMs: number, lostFraction: number, count: number): number[] {
  const random = new Random(3);
  return Array.from({ length: count }, () => {
    const { limitMs } = limit;
    if (tookMs > limitMs || random.nextFraction() < lostFraction) limit.addLoss();
    else limit.addAnswer(tookMs);
    return limitMs;
  });
}

describe('an adaptive limit', () => {
  test('comes down to its least under quick answers', () => {
    const limit = new AdaptiveLimit(BOUNDS);
    play(limit, 4, 0, 20);
    expect(limit.limitMs).toBe(150);
  });

  test('stays low while a third of the answers is lost', () => {
    const limit = new AdaptiveLimit(BOUNDS);
    play(limit, 4, 0, 20);
    const limits = play(limit, 4, 0.35, 200);
    const meanMs = limits.reduce((sum, limitMs) => sum + limitMs, 0) / limits.length;
    expect(meanMs).toBeLessThan(300);
  });

  test('rises above a store that has turned slow within four calls', () => {
    const limit = new AdaptiveLimit(BOUNDS);
    play(limit, 4, 0, 20);
    const limits = play(limit, 500, 0, 10);
    expect(limits.filter((limitMs) => limitMs < 500).length).toBeLessThanOrEqual(4);
    expect(limit.limitMs).toBe(1_500);
  });
});
