/**
 * Guards against a departure that is taken for a silence: lasting tasks without a run until the lease of a target ends
 * that has left as announced (LOST). And against the reverse, a second run while the target runs on (TWICE).
 */

import { playDeparture, playReplacement } from './support/departureHistories';
import type { DepartureOutcome, DepartureSetting } from './support/departureHistories';

const SEEDS = Array.from({ length: 10 }, (_, index) => index + 1);

/** The owner reads the removal, plans and starts; no lease has to end. */
const DEPARTURE_LIMIT_MS = 1_500;

/** Longest time for which a lasting task may be without a run (LOST). */
const LOST_LIMIT_MS = 3_000;

/** The former owner has read the removal by then. */
const AFTER_REMOVAL_MS = 4_300;

const ADVICE = [
  ['without advice', false],
  ['with advice', true],
] as const;

/** Plays a history with each seed and describes what is wrong. */
function findViolations(
  play: (setting: DepartureSetting) => DepartureOutcome,
  setting: Omit<DepartureSetting, 'seed'>,
  limitMs: number,
): readonly string[] {
  return SEEDS.flatMap((seed) => {
    const { idleMs, violations } = play({ ...setting, seed });
    const late = idleMs > limitMs ? [`LOST for ${idleMs} ms instead of ${limitMs} ms`] : [];
    return [...late, ...violations].map((violation) => `seed ${seed}: ${violation}`);
  });
}

describe.each(ADVICE)('%s', (_name, hasAdvice) => {
  // The owner waited for the end of the lease of a target that had announced that it leaves, and had left (LOST).
  test('a lasting task has a run again soon after its target leaves as announced', () => {
    expect(findViolations(playDeparture, { hasAdvice }, DEPARTURE_LIMIT_MS)).toEqual([]);
  });

  // The successor knew neither the notice nor the departure, and waited for a lease of its own (LOST).
  test.each([500, 2_000, 3_500])(
    'a lasting task has a run again soon after its target leaves, with another owner %i ms after the notice',
    (atMs) => {
      const setting = { hasAdvice, takeoversMs: [atMs] };
      expect(findViolations(playDeparture, setting, DEPARTURE_LIMIT_MS)).toEqual([]);
    },
  );

  // What the former owner had read of the registry was lost with it (LOST).
  test('a lasting task has a run again soon when the owner changes after it has read of the departure', () => {
    const setting = { hasAdvice, takeoversMs: [AFTER_REMOVAL_MS] };
    expect(findViolations(playDeparture, setting, DEPARTURE_LIMIT_MS)).toEqual([]);
  });

  // Each target that was replaced took its tasks away for the length of a lease, and each owner waited anew (LOST).
  test.each([
    ['one owner', []],
    ['another owner amid it', [8_000]],
    ['another owner every 2 s', [1, 2, 3, 4, 5, 6, 7, 8].map((count) => count * 2_000)],
  ])(
    'no lasting task is without a run for long while targets are replaced, with %s',
    (_owners, takeoversMs) => {
      const setting = { hasAdvice, takeoversMs };
      expect(findViolations(playReplacement, setting, LOST_LIMIT_MS)).toEqual([]);
    },
  );
});
