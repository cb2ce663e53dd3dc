/**
 * Guards against lasting tasks without a run (LOST) while targets are replaced as announced and owners are lost one
 * after another, each of which may have known more of the departures than it has stored.
 */

import { DepartureHistory, playReplacement } from './support/departureHistories';

const SEEDS = Array.from({ length: 10 }, (_, index) => index + 1);

/** Longest time for which a lasting task may be without a run (LOST). */
const LOST_LIMIT_MS = 3_000;

describe.each([
  ['without advice', false],
  ['with advice', true],
])('%s', (_name, hasAdvice) => {
  // Each target that was replaced took its tasks away for the length of a lease, and each owner waited anew (LOST).
  test.each([['another owner every 2 s', [1, 2, 3, 4, 5, 6, 7, 8].map((count) => count * 2_000)]])(
    'no lasting task is without a run for long while targets are replaced, with %s',
    (_owners, takeoversMs) => {
      const found = SEEDS.flatMap((seed) => {
        const { idleMs, violations } = playReplacement({ seed, hasAdvice, takeoversMs });
        const late =
          idleMs > LOST_LIMIT_MS ? [`LOST for ${idleMs} ms instead of ${LOST_LIMIT_MS} ms`] : [];
        return [...late, ...violations].map((violation) => `seed ${seed}: ${violation}`);
      });
      expect(found).toEqual([]);
    },
  );
});

/** Until then no other target has room for the tasks of the one that leaves. */
const ROOM_AT_MS = 3_800;

const PLAY_MS = 16_000;

// A list does not tell the successor when the entry was written, so that its removal proves nothing (LOST).
test.each([2_700, 3_500, 3_900])(
  'a lasting task that could not be moved has a run again soon after its target leaves, with a handover at %i ms',
  (handoverMs) => {
    const found = SEEDS.flatMap((seed) => {
      const history = new DepartureHistory({ seed, hasAdvice: false, targetCount: 8 });
      const { world, model } = history;
      model.depart(history.drawHolder().id);
      world.time.after(ROOM_AT_MS, () => world.addTarget('replacement'));
      world.time.after(handoverMs, () => world.handovers.request());
      const { idleMs, violations } = history.play(PLAY_MS);
      const late = idleMs > LOST_LIMIT_MS ? [`LOST for ${idleMs} ms`] : [];
      return [...late, ...violations].map((violation) => `seed ${seed}: ${violation}`);
    });
    expect(found).toEqual([]);
  },
);
