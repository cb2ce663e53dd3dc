/**
 * Guards against tasks that stay without a run for longer with each takeover, as each owner waits anew for a target
 * that nobody has heard since before the first one, and against a second run where a wait is too short.
 */

import * as fc from 'fast-check';
import { Random } from '../src/types/random';
import { createSubmission, NO_FAULTS, OwnerWorld } from './support/ownerWorld';
import { LONG, RestartScenario, SILENT, TARGET } from './support/restartScenario';
import { createSeries, drawSeries, findLostTasks, LossHistory } from './support/takeoverHistories';
import type { Loss, Takeover } from './support/takeoverHistories';
import { playStorm } from './support/takeoverStorms';

/** Each successor reads the rows, asks the targets and asks for advice before it starts a task. */
const ALLOWANCE_PER_TAKEOVER_MS = 300;

/** Planning passes without a preceding change are this far apart. */
const PLANNING_PASS_MS = 200;

/** By then the leases of a target that does not come back have ended, and doubts about its runs. */
const CALM_MS = 30_000;

/** Seeds of the histories in which owners follow one another at given times. */
const SEEDS = [1, 2, 5];

const DRAWN_COUNT = 20;
const HEALED_COUNT = 20;
const STORM_COUNT = 12;

const MAX_TAKEOVER_AT_MS = 26_000;

/** Takeovers each second. */
const EACH_SECOND_MS = Array.from({ length: 12 }, (_, index) => (index + 1) * 1_000);

const SERIES_MS: readonly (readonly number[])[] = [
  [500, 8_000],
  // By the first of these the start is stored, and the second owner knows the run from there.
  [2_000, 2_500],
  [500, 7_500, 14_500, 21_500],
  [500, 5_500, 10_500, 15_500, 20_500, 25_500],
  EACH_SECOND_MS,
];

/** A wait for a lease that may be long takes 13 s. */
const LONG_SERIES_MS: readonly (readonly number[])[] = [
  [500, 8_000],
  [500, 8_500, 13_000],
  [500, 13_000, 25_500],
  [500, 5_500, 10_500, 15_500, 20_500],
];

type Play = (takeovers: readonly Takeover[]) => number;

/** Plays the same loss with different takeovers; violations of the guarantees are added to a list. */
function createPlay(loss: Loss, broken: string[]): Play {
  const idleMsByTakeovers = new Map<string, number>();
  return (takeovers) => {
    const key = JSON.stringify(takeovers);
    const known = idleMsByTakeovers.get(key);
    if (known !== undefined) return known;
    const outcome = new LossHistory(loss).play(takeovers);
    broken.push(...outcome.broken.map((line) => `seed ${loss.seed}, ${key}: ${line}`));
    idleMsByTakeovers.set(key, outcome.idleMs);
    return outcome.idleMs;
  };
}

/** Gets how long a task may be without a run in a series: no longer than with any one of its takeovers. */
function getLimitMs(play: Play, takeovers: readonly Takeover[]): number {
  const undisturbedMs = play([]);
  // A takeover after the task has a run again changes nothing.
  const counting = takeovers.filter(({ atMs }) => atMs <= undisturbedMs + PLANNING_PASS_MS);
  const longestMs = Math.max(undisturbedMs, ...counting.map((takeover) => play([takeover])));
  return longestMs + takeovers.length * ALLOWANCE_PER_TAKEOVER_MS + PLANNING_PASS_MS;
}

/** Finds what is wrong with histories of a loss with series of takeovers. */
function findViolations(loss: Loss, allSeries: readonly (readonly Takeover[])[]): string[] {
  const violations: string[] = [];
  const play = createPlay(loss, violations);
  allSeries.forEach((takeovers) => {
    const idleMs = play(takeovers);
    const limitMs = getLimitMs(play, takeovers);
    if (idleMs <= limitMs) return;
    const timesMs = takeovers.map(({ atMs }) => atMs).join(', ');
    violations.push(
      `seed ${loss.seed}, [${timesMs}]: LOST for ${idleMs} ms instead of ${limitMs} ms`,
    );
  });
  return violations;
}

/** Draws seeds, which follow the seed of all drawn tests. */
function drawSeeds(count: number): readonly number[] {
  return fc.sample(fc.integer({ min: 1, max: 1_000_000 }), count);
}

/** Draws how a task loses its target. */
function drawLoss(seed: number, random: Random): Loss {
  return {
    seed,
    lostWork: random.nextInt(2) === 0 ? 'start' : 'run',
    kind: random.nextInt(2) === 0 ? 'crash' : 'cut',
    haveRestarted: random.nextInt(4) === 0,
  };
}

describe('each owner of a series does not wait anew for a target that has been silent since before the first', () => {
  // The time without a run grew by 7.5 s with each takeover (LOST).
  test.each<Omit<Loss, 'seed'>>([
    { lostWork: 'start', kind: 'crash', haveRestarted: false },
    { lostWork: 'start', kind: 'cut', haveRestarted: false },
    { lostWork: 'run', kind: 'crash', haveRestarted: false },
    { lostWork: 'run', kind: 'cut', haveRestarted: false },
  ])('%o', (loss) => {
    const violations = SEEDS.flatMap((seed) =>
      findViolations({ ...loss, seed }, SERIES_MS.map(createSeries)),
    );
    expect(violations).toEqual([]);
  });

  // It grew by 13 s where a call for a former incarnation may have granted the lease (LOST).
  test.each<Omit<Loss, 'seed'>>([
    { lostWork: 'start', kind: 'crash', haveRestarted: true },
    { lostWork: 'start', kind: 'cut', haveRestarted: true },
  ])('that had restarted under its id: %o', (loss) => {
    const violations = SEEDS.flatMap((seed) =>
      findViolations({ ...loss, seed }, LONG_SERIES_MS.map(createSeries)),
    );
    expect(violations).toEqual([]);
  });

  // Former owners that go on for a while have their share in what is stored (LOST).
  test('when takeovers come at any time and former owners may go on', () => {
    const violations = drawSeeds(DRAWN_COUNT).flatMap((seed) => {
      const random = new Random(seed + 2_000_003);
      const loss = drawLoss(seed, random);
      return findViolations(loss, [drawSeries(random, 2, MAX_TAKEOVER_AT_MS)]);
    });
    expect(violations).toEqual([]);
  });
});

/** Two owners follow one another while a target that runs a task with a long lease is silent. */
function playLongLease(isRestartKnown: boolean, secondAfterMs: number): readonly string[] {
  const scenario = new RestartScenario();
  const { world } = scenario;
  scenario.registryDelaysMs = { 1: isRestartKnown ? 100 : 60_000 };
  if (!isRestartKnown) {
    scenario.fates = {
      '1 startRun': [{ isAnswerLost: true }],
      '1 poll': Array.from({ length: 20 }, () => SILENT),
    };
  }
  world.crashProcess(TARGET, 50);
  world.run(60);
  scenario.submit(1, LONG);
  world.run(isRestartKnown ? 1_500 : 30);
  expect(scenario.isRunningOnTarget()).toBe(true);
  world.partition(TARGET, 60_000);
  world.takeOver();
  world.run(secondAfterMs);
  world.takeOver();
  world.run(20_000);
  return world.broken.map((violation) => `second owner after ${secondAfterMs} ms: ${violation}`);
}

// The row was removed once a usual lease had ended, so that the next owner knew of no run there (TWICE).
test.each([true, false])(
  'the row of a silent target stays until the longest lease has ended (restart known: %s)',
  (isRestartKnown) => {
    const times = Array.from({ length: 24 }, (_, index) => 6_050 + index * 250);
    const violations = times.flatMap((atMs) => playLongLease(isRestartKnown, atMs));
    expect(violations).toEqual([]);
  },
);

// The report of its runs stayed in the row of the task, as an empty step did not replace the one that was read (TWICE).
test('a successor does not rely on a report of runs of a silent target that has been used again since', () => {
  const world = new OwnerWorld({ seed: 1, targetCount: 4, faults: NO_FAULTS });
  world.takeOver();
  world.run(1_000);
  world.submit(createSubmission(1, [LONG]));
  world.run(200);
  const holder = [...world.targets.values()].find(({ runs }) => runs.size > 0);
  if (holder === undefined) throw new Error('nothing runs');
  world.partition(holder.id, 2_000);
  world.run(1_800);
  world.takeOver();
  world.run(2_000);
  world.submit(createSubmission(2, [{ ...LONG, taskCount: 8 }]));
  world.run(500);
  expect(holder.runs.size).toBeGreaterThan(1);
  world.partition(holder.id, 60_000);
  world.takeOver();
  world.run(CALM_MS);
  expect(world.broken).toEqual([]);
});

// What an owner has stored of a silent target is out of date once the target is back (TWICE).
test('a target that comes back during a series of takeovers goes on or ends, and nothing runs twice', () => {
  const violations = drawSeeds(HEALED_COUNT).flatMap((seed) => {
    const random = new Random(seed + 3_000_017);
    const healAfterMs = 200 + random.nextInt(18_000);
    const history = new LossHistory({ ...drawLoss(seed, random), kind: 'cut', healAfterMs });
    history.play(drawSeries(random, 1, healAfterMs + 6_000));
    const { world } = history;
    world.run(CALM_MS);
    const lost = findLostTasks(world.targets.values());
    return [...world.broken, ...lost].map((violation) => `seed ${seed}: ${violation}`);
  });
  expect(violations).toEqual([]);
});

// Late starts, lost answers of the store and repeated silence go with the takeovers (TWICE, LOST).
test('histories of takeovers and silent targets leave no task without a run, and none with two', () => {
  const violations = drawSeeds(STORM_COUNT).flatMap((seed) =>
    playStorm(seed).map((violation) => `seed ${seed}: ${violation}`),
  );
  expect(violations).toEqual([]);
});
