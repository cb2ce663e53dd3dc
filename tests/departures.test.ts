/**
 * Guards against a departure that is taken for a silence: lasting tasks without a run until the lease of a target ends
 * that has left as announced (LOST). And against the reverse, a second run while the target runs on (TWICE).
 */

import * as fc from 'fast-check';
import { playDeparture, playReplacement, playTrouble } from './support/departureHistories';
import type {
  DepartureOutcome,
  DepartureSetting,
  Trouble,
  TroubleOptions,
} from './support/departureHistories';
import { FOREVER_MS } from './support/departureModel';
import { playDepartureStorm } from './support/departureStorms';

const SEEDS = Array.from({ length: 10 }, (_, index) => index + 1);

/** The owner reads the removal, plans and starts; no lease has to end. */
const DEPARTURE_LIMIT_MS = 1_500;

/** Longest time for which a lasting task may be without a run (LOST). */
const LOST_LIMIT_MS = 3_000;

/** The former owner has read the removal by then. */
const AFTER_REMOVAL_MS = 4_300;

/** Histories of each kind of trouble; set TROUBLE_RUNS to play more of them. */
const TROUBLE_COUNT = Number(process.env.TROUBLE_RUNS ?? 12);

/** The feed fails before the store does. */
const STALL_BEFORE_OUTAGE_MS = 1_600;

/** Drawn histories; set DEPARTURE_RUNS to play more of them. */
const STORM_COUNT = Number(process.env.DEPARTURE_RUNS ?? 10);

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
  ])(
    'no lasting task is without a run for long while targets are replaced, with %s',
    (_owners, takeoversMs) => {
      const setting = { hasAdvice, takeoversMs };
      expect(findViolations(playReplacement, setting, LOST_LIMIT_MS)).toEqual([]);
    },
  );
});

/** Draws seeds, which follow the seed of all drawn tests. */
function drawSeeds(count: number): readonly number[] {
  return fc.sample(fc.integer({ min: 1, max: 1_000_000 }), count);
}

/** Plays a trouble at drawn times, with and without takeovers. */
function findTroubles(trouble: Trouble, options: TroubleOptions = {}): readonly string[] {
  return drawSeeds(TROUBLE_COUNT).flatMap((seed) => playTrouble(seed, trouble, options));
}

// An entry that goes is not the end of a target, also when it has said that it drains (TWICE).
describe('nothing is started a second time while it runs on a draining target', () => {
  test('that crashes and starts again under its id', () => {
    const crash: Trouble = ({ world }, id) => world.crash(id, 2_000);
    expect(findTroubles(crash)).toEqual([]);
  });

  test('that crashes, and whose entry lapses', () => {
    const crash: Trouble = ({ world }, id) => world.crash(id, FOREVER_MS);
    expect(findTroubles(crash)).toEqual([]);
  });

  test('that is cut off, and whose entry lapses', () => {
    const cut: Trouble = ({ model }, id) => model.cutOff(id, FOREVER_MS, 'all');
    expect(findTroubles(cut)).toEqual([]);
  });

  test('that is cut off for a while, and whose entry lapses and comes back', () => {
    const cut: Trouble = ({ model }, id) => model.cutOff(id, 6_000, 'all');
    expect(findTroubles(cut)).toEqual([]);
  });

  test('that answers, and whose entry lapses as it does not reach the registry', () => {
    const cut: Trouble = ({ model }, id) => model.cutOff(id, FOREVER_MS, 'registry');
    expect(findTroubles(cut)).toEqual([]);
  });

  test('that owners do not reach until it leaves, on time or later', () => {
    const cut: Trouble = ({ model }, id) => model.cutOff(id, FOREVER_MS, 'owners');
    const violations = [4_000, 7_000].flatMap((drainMs) => findTroubles(cut, { drainMs }));
    expect(violations).toEqual([]);
  });

  test.each([
    ['meanwhile', true],
    ['all at once when it is back', false],
  ])('that is cut off while the store is away, entries lapsing %s', (_when, mayLapse) => {
    const violations = [3_200, 3_900, 4_600].flatMap((outageMs) =>
      findTroubles((history, id) => {
        const { model, world } = history;
        model.depart(history.drawHolder().id);
        // Some of the last beats are read with what has lapsed after them.
        model.stallFeed(STALL_BEFORE_OUTAGE_MS);
        world.time.after(STALL_BEFORE_OUTAGE_MS - 1, () => {
          model.cutOff(id, FOREVER_MS, 'owners');
          model.stopStore(outageMs, mayLapse);
        });
      }),
    );
    expect(violations).toEqual([]);
  });

  test('that is cut off while its entry is replaced by the one of another writer, and removed', () => {
    const violations = (['unreadable', 'address', 'revision'] as const).flatMap((kind) =>
      [100, 700].flatMap((removeAfterMs) =>
        findTroubles(({ model }, id) => {
          model.cutOff(id, FOREVER_MS, 'owners');
          model.writeForeign(id, kind, removeAfterMs);
        }).map((violation) => `${kind}, removed after ${removeAfterMs} ms, ${violation}`),
      ),
    );
    expect(violations).toEqual([]);
  });

  // What another writer has written says nothing of how long the target has been silent (TWICE).
  test('that is cut off while its entry is replaced by the one of another writer, and lapses', () => {
    const violations = (['unreadable', 'address', 'revision'] as const).flatMap((kind) =>
      findTroubles(({ model, world }, id) => {
        model.cutOff(id, FOREVER_MS, 'all');
        world.time.after(1_500, () => model.writeForeign(id, kind, FOREVER_MS));
      }).map((violation) => `${kind}, ${violation}`),
    );
    expect(violations).toEqual([]);
  });

  test('that is cut off, the lapse of its entry being read at once with its last beats', () => {
    const violations = [300, 1_500, 4_500].flatMap((stallMs) =>
      findTroubles(({ model, world }, id) => {
        model.stallFeed(stallMs + 3_000);
        world.time.after(stallMs, () => model.cutOff(id, FOREVER_MS, 'all'));
      }),
    );
    expect(violations).toEqual([]);
  });
});

// Another writer's entry says that a target drains that does not, and goes again (TWICE).
test('nothing is started a second time while it runs on a target that another writer has called draining', () => {
  const foreign: Trouble = ({ model }, id) => {
    model.cutOff(id, FOREVER_MS, 'owners');
    model.writeForeign(id, 'draining', 700);
  };
  expect(findTroubles(foreign, { isAnnounced: false })).toEqual([]);
});

// The removal is read late, so that the notice alone is known for a while, and then the lease is over (LOST).
test('a lasting task has one run again when the departure of its target is read late', () => {
  const stall: Trouble = ({ model }) => model.stallFeed(7_000);
  expect(findTroubles(stall, { drainMs: 4_000 })).toEqual([]);
});

test('histories of departures and of what looks like them leave no task without a run, and none with two', () => {
  const violations = drawSeeds(STORM_COUNT).flatMap((seed) =>
    playDepartureStorm(seed).map((violation) => `seed ${seed}: ${violation}`),
  );
  expect(violations).toEqual([]);
}, 120_000);
