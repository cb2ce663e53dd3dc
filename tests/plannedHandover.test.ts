/**
 * Guards against a planned handover that costs as much as a failure: the leaving owner knows which targets are silent,
 * also those that have just fallen silent, and what they can hold.
 */

import type { OwnerEffect } from '../src/owner/types';
import type { TargetId, TaskKey } from '../src/types/ids';
import { Random } from '../src/types/random';
import type { StepSpec } from '../src/work/types';
import type { FakeTarget } from '../standins/fakeTarget';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './support/ownerWorld';
import { TARGET_CAPACITY } from './support/worldConstants';
import {
  createHandovers,
  drawSeries,
  findLostTasks,
  LossHistory,
} from './support/takeoverHistories';
import type { Loss } from './support/takeoverHistories';

/** Each successor reads the rows, asks the targets and asks for advice before it starts a task. */
const ALLOWANCE_PER_TAKEOVER_MS = 300;

/** Planning passes without a preceding change are this far apart. */
const PLANNING_PASS_MS = 200;

/** A target's polls are pending for different times at its loss. */
const PHASE_STEP_MS = 67;

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

/** How long before the handover the target has fallen silent. */
const SILENT_FOR_MS = [0, 40, 100, 200, 400, 600, 800, 1_000];

const MIXED_SEEDS = Array.from({ length: 20 }, (_, index) => index + 101);

/** By then the leases of a target that does not come back have ended, and doubts about its runs. */
const CALM_MS = 30_000;

/** Planned handovers 2 s apart, as entry Vms are restarted one after another. */
const SERIES_MS: readonly (readonly number[])[] = [
  [0, 2_000, 4_000, 6_000, 8_000],
  [300, 2_300, 4_300, 6_300, 8_300],
  [800, 2_800, 4_800, 6_800, 8_800],
];

const KINDS: readonly Loss['kind'][] = ['crash', 'cut'];

/** Plays the same loss without and with handovers; returns what is wrong. */
function findViolations(loss: Loss, allTimesMs: readonly (readonly number[])[]): string[] {
  const undisturbed = new LossHistory(loss).play([]);
  return allTimesMs.flatMap((timesMs) => {
    const { idleMs, broken } = new LossHistory(loss).play(createHandovers(timesMs));
    const limitMs =
      undisturbed.idleMs + timesMs.length * ALLOWANCE_PER_TAKEOVER_MS + PLANNING_PASS_MS;
    const name = `seed ${loss.seed}, ${loss.kind}, [${timesMs.join(', ')}]`;
    const lost = `${name}: LOST for ${idleMs} ms instead of ${limitMs} ms`;
    return [...broken.map((line) => `${name}: ${line}`), ...(idleMs > limitMs ? [lost] : [])];
  });
}

function createLoss(seed: number, kind: Loss['kind']): Loss {
  const phaseMs = seed * PHASE_STEP_MS;
  return { seed, kind, lostWork: 'run', haveRestarted: false, phaseMs };
}

// The successor waited 7.5 s from its own takeover for a target that had been silent for less than a second (LOST).
test.each(KINDS)(
  'a planned handover right after a target has fallen silent adds nothing to the wait for it (%s)',
  (kind) => {
    const timesMs = SILENT_FOR_MS.map((atMs) => [atMs]);
    const violations = SEEDS.flatMap((seed) => findViolations(createLoss(seed, kind), timesMs));
    expect(violations).toEqual([]);
  },
);

test.each(KINDS)(
  'planned handovers 2 s apart add nothing to the wait for a silent target (%s)',
  (kind) => {
    const violations = SEEDS.flatMap((seed) => findViolations(createLoss(seed, kind), SERIES_MS));
    expect(violations).toEqual([]);
  },
);

const TASK = `${toSubmissionId(1)}.0.0.0` as TaskKey;

/** Nothing else fits beside it. */
const LONG: Partial<StepSpec> = { estimateMs: 60_000, demand: TARGET_CAPACITY };

/** Time that the preparation may take, with the tick that ends it. */
const PREPARATION_MS = 320;

/** Time in which a successor asks targets and starts tasks. */
const START_MS = 500;

/** The wait for leases of former owners, which a target may hold that nobody reaches. */
const MAX_WAIT_MS = 8_500;

const TARGET_COUNT = 8;

type LogEffect = Extract<OwnerEffect, { kind: 'log' }>;

/** A fleet with a long task, whose owner is asked to hand over. */
class Scenario {
  readonly world = new OwnerWorld({ seed: 1, targetCount: TARGET_COUNT, faults: NO_FAULTS });

  readonly effects: { readonly atMs: number; readonly epoch: number; effect: OwnerEffect }[] = [];

  readonly holder: FakeTarget;

  constructor(ageMs = 2_000) {
    const { world } = this;
    world.takeOver();
    world.run(500);
    // Rows of all targets are written.
    world.submit(
      createSubmission(9, [{ taskCount: TARGET_COUNT, maxTasksPerTarget: 1, estimateMs: 100 }]),
    );
    world.run(ageMs);
    world.submit(createSubmission(1, [LONG]));
    world.run(1_500);
    const holder = [...world.targets.values()].find(({ runs }) => runs.has(TASK));
    if (holder === undefined) throw new Error('the task does not run');
    this.holder = holder;
    world.onEffect = (epoch, effect) =>
      this.effects.push({ atMs: world.time.nowMs, epoch, effect });
  }

  get silentIds(): readonly TargetId[] {
    return [...this.world.recordStore.rows.values()]
      .filter(({ target }) => target.silence !== undefined)
      .map(({ target }) => target.id);
  }

  getTimes(kind: OwnerEffect['kind']): readonly number[] {
    return this.effects.filter(({ effect }) => effect.kind === kind).map(({ atMs }) => atMs);
  }

  getPreparedLine(): LogEffect['fields'] {
    const lines = this.effects.flatMap(({ effect }) =>
      effect.kind === 'log' && effect.message === 'handover prepared' ? [effect.fields] : [],
    );
    return lines[0] ?? {};
  }

  /** Lets time pass until the task runs on another target than its first one. */
  runUntilElsewhere(): number {
    const { world, holder } = this;
    const fromMs = world.time.nowMs;
    const isElsewhere = () =>
      [...world.targets.values()].some(({ id, runs }) => id !== holder.id && runs.has(TASK));
    while (!isElsewhere()) {
      if (world.time.nowMs > fromMs + 60_000) throw new Error('the task does not run again');
      world.run(20);
    }
    return world.time.nowMs - fromMs;
  }
}

describe('the preparation of a handover', () => {
  test('ends at once when all targets answer', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    const requestedAtMs = world.time.nowMs;
    world.handovers.request();
    world.run(PREPARATION_MS);
    const [preparedAtMs = Number.POSITIVE_INFINITY] = scenario.getTimes('handoverPrepared');
    expect(preparedAtMs - requestedAtMs).toBeLessThan(20);
    expect(scenario.getPreparedLine()).toMatchObject({
      ...{ probedCount: TARGET_COUNT, unansweredCount: 0, silentCount: 0, removedCount: 0 },
      ...{ isRecordWritten: true, unwrittenCount: 0 },
    });
    expect(scenario.silentIds).toEqual([]);
  });

  // A lease that it renewed would be waited for.
  test('asks targets without renewing their leases', () => {
    const scenario = new Scenario();
    scenario.world.handovers.request();
    const polls = scenario.effects.flatMap(({ effect }) =>
      effect.kind === 'poll' && effect.isProbe ? [effect] : [],
    );
    expect(polls).toHaveLength(TARGET_COUNT);
    expect(polls.filter(({ leaseUntilMs }) => leaseUntilMs !== undefined)).toEqual([]);
  });

  test('is bounded when the store is away, and the owner resigns', () => {
    const scenario = new Scenario();
    const { world, holder } = scenario;
    world.partition(holder.id, 60_000);
    world.isStoreAvailable = false;
    const requestedAtMs = world.time.nowMs;
    world.handovers.request();
    world.run(PREPARATION_MS);
    const [preparedAtMs = Number.POSITIVE_INFINITY] = scenario.getTimes('handoverPrepared');
    expect(preparedAtMs - requestedAtMs).toBeLessThanOrEqual(PREPARATION_MS);
    expect(scenario.getPreparedLine()).toMatchObject({ isRecordWritten: false, silentCount: 0 });
    world.isStoreAvailable = true;
    expect(scenario.runUntilElsewhere()).toBeLessThan(MAX_WAIT_MS);
    expect(world.broken).toEqual([]);
  });

  test('is bounded when the store does not answer', () => {
    const scenario = new Scenario();
    const { world, holder } = scenario;
    world.recordStore.extraDelayMs = 1_000;
    world.partition(holder.id, 60_000);
    const requestedAtMs = world.time.nowMs;
    world.handovers.request();
    world.run(PREPARATION_MS);
    const [preparedAtMs = Number.POSITIVE_INFINITY] = scenario.getTimes('handoverPrepared');
    expect(preparedAtMs - requestedAtMs).toBeLessThanOrEqual(PREPARATION_MS);
    expect(scenario.runUntilElsewhere()).toBeLessThan(MAX_WAIT_MS);
    expect(world.broken).toEqual([]);
  });

  test('is bounded when a row has been changed by another write', () => {
    const scenario = new Scenario();
    const { world, holder } = scenario;
    const row = world.recordStore.rows.get(holder.id);
    if (row === undefined) throw new Error('the target is not recorded');
    world.recordStore.rows.set(holder.id, { ...row, version: 5_000 });
    world.partition(holder.id, 60_000);
    const requestedAtMs = world.time.nowMs;
    world.handovers.request();
    world.run(PREPARATION_MS);
    const [preparedAtMs = Number.POSITIVE_INFINITY] = scenario.getTimes('handoverPrepared');
    expect(preparedAtMs - requestedAtMs).toBeLessThanOrEqual(PREPARATION_MS);
    expect(scenario.runUntilElsewhere()).toBeLessThan(MAX_WAIT_MS);
    expect(world.broken).toEqual([]);
  });

  test('is done once when it is requested twice, and again after that', () => {
    const scenario = new Scenario();
    const { world, holder } = scenario;
    world.handovers.areClaimed = false;
    world.partition(holder.id, 60_000);
    world.handovers.request();
    world.run(50);
    world.handovers.request();
    world.run(PREPARATION_MS);
    expect(scenario.getTimes('handoverPrepared')).toHaveLength(1);
    world.handovers.areClaimed = true;
    world.handovers.request();
    world.run(PREPARATION_MS);
    expect(scenario.getTimes('handoverPrepared')).toHaveLength(2);
    scenario.runUntilElsewhere();
    expect(world.broken).toEqual([]);
  });

  test('changes nothing once another owner has taken over', () => {
    const scenario = new Scenario();
    const { world, holder } = scenario;
    world.partition(holder.id, 60_000);
    world.handovers.request();
    world.run(20);
    world.takeOver(true);
    world.run(PREPARATION_MS);
    const written = scenario.effects.filter(({ effect }) => effect.kind === 'handoverPrepared');
    expect(written).toEqual([]);
    scenario.runUntilElsewhere();
    expect(world.broken).toEqual([]);
  });

  // An owner that stalls while it is being stopped would have all targets take no starts.
  test('does not take most targets for silent at once', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    [...world.targets.keys()].slice(1).forEach((id) => world.partition(id, 250));
    world.handovers.request();
    world.run(PREPARATION_MS);
    expect(scenario.getPreparedLine()).toMatchObject({ isSilenceRecorded: false, silentCount: 0 });
    expect(scenario.silentIds).toEqual([]);
    world.run(START_MS);
    expect(scenario.holder.runs.has(TASK)).toBe(true);
    expect(world.broken).toEqual([]);
  });
});

// What is recorded binds the owner that stays, and it is taken back when the target answers (TWICE).
test('an owner whose successor does not come goes on, and a target that answers again keeps its run', () => {
  const scenario = new Scenario();
  const { world, holder } = scenario;
  world.handovers.areClaimed = false;
  world.partition(holder.id, 400);
  world.handovers.request();
  world.run(PREPARATION_MS);
  expect(scenario.silentIds).toEqual([holder.id]);
  world.run(START_MS);
  expect(scenario.silentIds).toEqual([]);
  world.run(20_000);
  expect(holder.runs.has(TASK)).toBe(true);
  // Later on silences are recorded after the usual time.
  world.partition(holder.id, 60_000);
  world.run(1_200);
  expect(scenario.silentIds).toEqual([]);
  world.handovers.request();
  world.run(PREPARATION_MS);
  expect(scenario.silentIds).toEqual([holder.id]);
  expect(world.broken).toEqual([]);
});

// The successor held all steps back that the target might run (SHORT).
test('a silent target that holds nothing keeps no work of the successor waiting', () => {
  const scenario = new Scenario(9_000);
  const { world, holder } = scenario;
  const chained = createSubmission(2, [{ estimateMs: 600 }, { estimateMs: 600, after: [0] }]);
  world.submit(chained);
  world.run(100);
  const idle = [...world.targets.values()].find(({ id, runs }) => id !== holder.id && !runs.size);
  if (idle === undefined) throw new Error('all targets are used');
  world.partition(idle.id, 60_000);
  world.handovers.request();
  world.run(START_MS + 1_500);
  expect(scenario.getPreparedLine()).toMatchObject({ removedCount: 1 });
  expect(world.startCountByTask.get(`${toSubmissionId(2)}.0.1.0` as TaskKey)).toBe(1);
  expect(world.broken).toEqual([]);
});

// The runs of the target were not reported yet, so that all steps had to wait for it (SHORT).
test('a target that has just fallen silent with a run keeps no other work waiting', () => {
  const scenario = new Scenario();
  const { world, holder } = scenario;
  world.submit(createSubmission(2, [{ estimateMs: 600 }, { estimateMs: 600, after: [0] }]));
  world.run(100);
  const first = `${toSubmissionId(2)}.0.0.0` as TaskKey;
  if (holder.runs.has(first)) throw new Error('both tasks run on one target');
  world.partition(holder.id, 60_000);
  world.handovers.request();
  world.run(START_MS + 1_500);
  expect(world.startCountByTask.get(`${toSubmissionId(2)}.0.1.0` as TaskKey)).toBe(1);
  scenario.runUntilElsewhere();
  expect(world.broken).toEqual([]);
});

describe('a successor counts the leases of former owners from', () => {
  /** Longest lease of a target that falls silent now, with the margins of two clocks. */
  const LEASE_END_MS = 5_800;

  function getConfirmedEpochs({ effects }: Scenario): readonly number[] {
    return effects.flatMap(({ epoch, effect }) =>
      effect.kind === 'log' && effect.message === 'former owners have ended' ? [epoch] : [],
    );
  }

  // It counted them from two seconds after its takeover (LOST).
  test('the end of the former one, once that has confirmed it', () => {
    const scenario = new Scenario();
    const { world, holder } = scenario;
    world.handovers.request();
    // After the preparation, and before the successor asks.
    world.run(12);
    world.partition(holder.id, 60_000);
    expect(scenario.runUntilElsewhere()).toBeLessThan(LEASE_END_MS);
    expect(getConfirmedEpochs(scenario)).toEqual([2]);
    expect(world.broken).toEqual([]);
  });

  test('its takeover, while an owner before the former one may still act', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    world.takeOver(true);
    world.run(500);
    world.handovers.request();
    world.run(START_MS);
    expect(world.core.epoch).toBe(3);
    expect(getConfirmedEpochs(scenario)).toEqual([]);
    world.run(2_000);
    world.handovers.request();
    world.run(START_MS);
    expect(getConfirmedEpochs(scenario)).toEqual([4]);
    expect(world.broken).toEqual([]);
  });
});

// What a leaving owner stores is out of date once the target is back, and former owners may go on (TWICE, LOST).
test('planned handovers among other takeovers leave each task with one run', () => {
  const violations = MIXED_SEEDS.flatMap((seed) => {
    const random = new Random(seed + 4_000_037);
    const healAfterMs = 100 + random.nextInt(12_000);
    const history = new LossHistory({ ...createLoss(seed, 'cut'), healAfterMs });
    const takeovers = drawSeries(random, 2, healAfterMs + 4_000).map((takeover) => ({
      ...takeover,
      isPlanned: random.nextInt(3) > 0,
    }));
    history.play(takeovers);
    const { world } = history;
    world.run(CALM_MS);
    const lost = findLostTasks(world.targets.values());
    return [...world.broken, ...lost].map((violation) => `seed ${seed}: ${violation}`);
  });
  expect(violations).toEqual([]);
});
