/**
 * Guards against planned work that costs what a failure costs: lasting tasks without a run (LOST) while targets are
 * replaced as announced and owners hand over to one another as planned.
 */

import { DRAIN_MS } from './support/departureModel';
import { DepartureHistory } from './support/departureHistories';
import type { TargetId } from '../src/types/ids';

const SEEDS = Array.from({ length: 5 }, (_, index) => index + 1);

/** Longest time for which a lasting task may be without a run (LOST). */
const LOST_LIMIT_MS = 3_000;

const REPLACEMENT_INTERVAL_MS = 700;

const AFTERMATH_MS = 16_000;

/** Handovers 2 s apart, and one at each phase of a replacement. */
const HANDOVERS_MS = [
  ['one', [8_000]],
  ['one each 2 s', [1, 2, 3, 4, 5, 6, 7, 8].map((count) => count * 2_000)],
  ['one each 1.3 s', Array.from({ length: 15 }, (_, index) => (index + 1) * 1_300)],
] as const;

function play(seed: number, hasAdvice: boolean, handoversMs: readonly number[]): readonly string[] {
  const history = new DepartureHistory({ seed, hasAdvice });
  const { world, model } = history;
  const ids: readonly TargetId[] = [...world.targets.keys()];
  ids.forEach((id, index) => {
    world.time.after(index * REPLACEMENT_INTERVAL_MS, () => {
      model.depart(id);
      world.addTarget(`replacement-${index}`);
    });
  });
  handoversMs.forEach((atMs) => world.time.after(atMs, () => world.handovers.request()));
  const durationMs = ids.length * REPLACEMENT_INTERVAL_MS + DRAIN_MS + AFTERMATH_MS;
  const { idleMs, violations } = history.play(durationMs);
  const late = idleMs > LOST_LIMIT_MS ? [`LOST for ${idleMs} ms`] : [];
  return [...late, ...violations].map((violation) => `seed ${seed}: ${violation}`);
}

describe.each([
  ['without advice', false],
  ['with advice', true],
])('%s', (_name, hasAdvice) => {
  test.each(HANDOVERS_MS)(
    'no lasting task is without a run for long while targets are replaced, with planned handovers: %s',
    (_count, handoversMs) => {
      expect(SEEDS.flatMap((seed) => play(seed, hasAdvice, handoversMs))).toEqual([]);
    },
  );
});

// The row of a target that had drained and held nothing stayed for the first 7.5 s of each owner (SHORT, LOST).
test.each([0, 50, 150])(
  'an owner that takes over %i ms after a target has left does not wait for it when it held nothing',
  (delayMs) => {
    const found = SEEDS.filter((seed) => {
      const history = new DepartureHistory({ seed, hasAdvice: false });
      const { world, model } = history;
      world.takeOver();
      world.run(500);
      model.depart(history.drawHolder().id);
      world.run(DRAIN_MS + delayMs);
      model.takeOver();
      world.run(100);
      const { unresolvedTargetIds } = world.core.dump() as { unresolvedTargetIds: string[] };
      return unresolvedTargetIds.length > 0;
    });
    expect(found).toEqual([]);
  },
);
