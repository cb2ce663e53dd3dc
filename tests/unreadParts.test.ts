/** Guards against an owner that goes on without parts of the store and acts on what it does not know of them. */

import type { OwnerEffect } from '../src/owner/types';
import type { QueueId, SubmissionId, TeamId } from '../src/types/ids';
import type { Team } from '../src/work/types';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './support/ownerWorld';
import { runPartHistory } from './support/partHistories';

const SMALL = { cpuMillis: 1_000, memoryMb: 16, accelerators: 0 };

/** Submissions 1, 5 and 9 are in part 1, and others in other parts. */
const SILENT_PART = 1;

const LONG = { estimateMs: 60_000, demand: SMALL };

type StartEffect = Extract<OwnerEffect, { kind: 'startRun' }>;

class Scenario {
  readonly world: OwnerWorld;

  readonly starts: StartEffect[] = [];

  constructor(teams: readonly Team[] = [], targetCount = 3) {
    this.world = new OwnerWorld({ seed: 1, targetCount, faults: NO_FAULTS, teams });
    this.world.onEffect = (_epoch, effect) => {
      if (effect.kind === 'startRun') this.starts.push(effect);
    };
    this.world.takeOver();
    this.world.run(1_000);
  }

  /** The next owner takes over without a part. */
  takeOverWithout(part = SILENT_PART): void {
    this.world.parts.silent.submissions.add(part);
    this.world.parts.silent.cancels.add(part);
    this.world.takeOver();
  }

  countStarts(number: number): number {
    const id: SubmissionId = toSubmissionId(number);
    return this.starts.filter(({ taskKey }) => taskKey.startsWith(id)).length;
  }
}

describe('a submission that is read late', () => {
  test('and has ended is not run again', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    world.submit(createSubmission(1, [{ taskCount: 3, estimateMs: 200, demand: SMALL }]));
    world.run(2_000);
    expect(world.getState(toSubmissionId(1))).toBe('succeeded');
    scenario.takeOverWithout();
    world.run(8_000);
    expect(world.getState(toSubmissionId(1))).toBe('unknown');
    world.parts.answer(SILENT_PART);
    world.run(3_000);
    expect(world.getState(toSubmissionId(1))).toBe('succeeded');
    expect(scenario.starts).toHaveLength(3);
    expect(world.broken).toEqual([]);
  });

  test.each([500, 4_000, 20_000])('after %i ms goes on with its progress', (silenceMs) => {
    const scenario = new Scenario();
    const { world } = scenario;
    const steps = [
      { taskCount: 12, estimateMs: 800, demand: SMALL },
      { taskCount: 2, estimateMs: 300, demand: SMALL, after: [0] },
    ];
    world.submit(createSubmission(1, steps));
    world.run(900);
    scenario.takeOverWithout();
    world.run(silenceMs);
    world.parts.answer(SILENT_PART);
    world.run(10_000);
    expect(world.getState(toSubmissionId(1))).toBe('succeeded');
    expect(scenario.starts).toHaveLength(14);
    expect(world.stoppedTaskKeys).toEqual([]);
    expect(world.broken).toEqual([]);
  });

  test('keeps its runs, and others start beside it meanwhile', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    world.submit(createSubmission(1, [LONG]));
    world.run(200);
    scenario.takeOverWithout();
    world.submit(createSubmission(2, [LONG]));
    world.run(2_000);
    expect(scenario.countStarts(2)).toBe(1);
    world.run(18_000);
    world.parts.answer(SILENT_PART);
    world.run(1_000);
    expect(world.getState(toSubmissionId(1))).toBe('running');
    expect([1, 2].map((number) => scenario.countStarts(number))).toEqual([1, 1]);
    expect(world.broken).toEqual([]);
  });

  // Its target has been granted leases since the takeover and is silent when the submission is read.
  test('waits for a silent target that has listed its run', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    world.submit(createSubmission(1, [LONG]));
    world.run(200);
    const holder = [...world.targets.values()].find(({ runs }) => runs.size > 0);
    if (holder === undefined) throw new Error('nothing runs');
    scenario.takeOverWithout();
    world.run(20_000);
    world.partition(holder.id, 60_000);
    world.run(1_000);
    world.parts.answer(SILENT_PART);
    world.run(2_000);
    expect(scenario.countStarts(1)).toBe(1);
    world.run(10_000);
    expect(scenario.countStarts(1)).toBe(2);
    expect(world.broken).toEqual([]);
  });

  // A gate has stored a second row of it in another part, as the first one did not answer.
  test('but has a second row that is read first is not run again', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    const submission = createSubmission(1, [{ taskCount: 3, estimateMs: 200, demand: SMALL }]);
    world.submit(submission);
    world.run(2_000);
    scenario.takeOverWithout();
    world.run(3_000);
    world.submit(submission);
    world.run(3_000);
    expect(world.getState(toSubmissionId(1))).toBe('succeeded');
    world.parts.answer(SILENT_PART);
    world.run(3_000);
    expect(scenario.starts).toHaveLength(3);
    expect(world.broken).toEqual([]);
  });

  test('by the next owner only is not run again', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    world.submit(createSubmission(1, [{ taskCount: 12, estimateMs: 800, demand: SMALL }]));
    world.run(900);
    scenario.takeOverWithout();
    world.submit(createSubmission(2, [{ taskCount: 4, estimateMs: 300, demand: SMALL }]));
    world.run(6_000);
    world.takeOver();
    world.run(6_000);
    expect(world.getState(toSubmissionId(2))).toBe('succeeded');
    world.parts.answer(SILENT_PART);
    world.run(5_000);
    expect(world.getState(toSubmissionId(1))).toBe('succeeded');
    expect(scenario.starts).toHaveLength(16);
    expect(world.broken).toEqual([]);
  });
});

describe('a cancellation that is read late', () => {
  test.each([true, false])('lets no task start until then (is there one: %s)', (isCancelled) => {
    const scenario = new Scenario();
    const { world } = scenario;
    world.submit(createSubmission(5, [{ taskCount: 200, estimateMs: 400, demand: SMALL }]));
    world.run(300);
    if (isCancelled) world.cancel(toSubmissionId(5));
    world.parts.silent.cancels.add(SILENT_PART);
    world.takeOver();
    const startCount = scenario.countStarts(5);
    world.run(8_000);
    expect(scenario.countStarts(5)).toBe(startCount);
    if (!isCancelled) expect(world.getState(toSubmissionId(5))).toBe('running');
    world.parts.answerCancels(SILENT_PART);
    world.run(8_000);
    expect(world.getState(toSubmissionId(5))).toBe(isCancelled ? 'cancelled' : 'succeeded');
    expect(world.broken).toEqual([]);
  });

  test('cancels a submission that is read before it, and one that is read after it', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    world.submit(createSubmission(1, [{ taskCount: 60, ...LONG }]));
    world.submit(createSubmission(2, [{ taskCount: 2, ...LONG }]));
    world.run(200);
    world.cancel(toSubmissionId(1));
    world.cancel(toSubmissionId(2));
    world.parts.silent.cancels.add(1);
    world.parts.silent.submissions.add(2);
    world.takeOver();
    world.run(5_000);
    world.parts.answer(1);
    world.parts.answer(2);
    world.run(3_000);
    expect([1, 2].map((number) => world.getState(toSubmissionId(number)))).toEqual([
      'cancelled',
      'cancelled',
    ]);
    expect([...world.targets.values()].map(({ runs }) => runs.size)).toEqual([0, 0, 0]);
    expect(world.broken).toEqual([]);
  });
});

describe('while a part is not read', () => {
  test('a team with a limit does not go beyond it with runs that nobody knows', () => {
    const limit = { cpuMillis: 4_000, memoryMb: 0, accelerators: 0 };
    const scenario = new Scenario([{ id: 'team-a' as TeamId, keys: [], weight: 100, limit }]);
    const { world } = scenario;
    world.submit(createSubmission(1, [{ taskCount: 4, ...LONG }]));
    world.run(300);
    expect(scenario.countStarts(1)).toBe(4);
    scenario.takeOverWithout();
    world.submit(createSubmission(2, [{ taskCount: 4, ...LONG }]));
    world.submit(createSubmission(3, [{ taskCount: 2, ...LONG }], { teamId: 'team-b' }));
    world.run(12_000);
    expect([2, 3].map((number) => scenario.countStarts(number))).toEqual([0, 2]);
    world.parts.answer(SILENT_PART);
    world.run(3_000);
    expect(scenario.countStarts(2)).toBe(0);
    world.cancel(toSubmissionId(1));
    world.run(3_000);
    expect(scenario.countStarts(2)).toBe(4);
    expect(world.broken).toEqual([]);
  });

  // Nobody knows how much room is left there.
  test('a target with runs that nobody knows takes no starts', () => {
    const scenario = new Scenario([], 1);
    const { world } = scenario;
    world.submit(createSubmission(1, [{ taskCount: 100, ...LONG }]));
    world.run(300);
    scenario.takeOverWithout();
    world.submit(createSubmission(2, [LONG]));
    world.run(8_000);
    expect(scenario.countStarts(2)).toBe(0);
    expect(world.broken).toEqual([]);
  });

  // Ends are acknowledged in the order of their numbers.
  test('ends of other submissions are taken, and no unknown end is acknowledged', () => {
    const scenario = new Scenario([], 1);
    const { world } = scenario;
    world.submit(createSubmission(1, [{ taskCount: 2, estimateMs: 600, demand: SMALL }]));
    world.submit(createSubmission(2, [{ taskCount: 2, estimateMs: 2_500, demand: SMALL }]));
    world.run(200);
    scenario.takeOverWithout();
    world.run(5_000);
    expect(world.getState(toSubmissionId(2))).toBe('succeeded');
    const endCounts = [...world.targets.values()].map(({ endCount }) => endCount);
    expect(endCounts).toEqual([4]);
    world.parts.answer(SILENT_PART);
    world.run(3_000);
    expect(world.getState(toSubmissionId(1))).toBe('succeeded');
    expect(scenario.starts).toHaveLength(4);
    expect(world.broken).toEqual([]);
  });

  test('no submission is deleted', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    world.submit(createSubmission(2, [{ estimateMs: 100, demand: SMALL }]));
    world.run(2_000);
    scenario.takeOverWithout();
    world.run(170_000);
    expect(world.deletedIds).toEqual([]);
    world.parts.answer(SILENT_PART);
    world.run(10_000);
    expect(world.deletedIds).toContain(toSubmissionId(2));
  });

  test('its runs are not stopped as unexpected', () => {
    const scenario = new Scenario();
    const { world } = scenario;
    world.submit(createSubmission(1, [{ taskCount: 3, ...LONG }]));
    world.run(300);
    scenario.takeOverWithout();
    world.run(30_000);
    expect(world.stoppedTaskKeys).toEqual([]);
    expect(world.core.getWaitingCount('queue-1' as QueueId)).toBe(0);
    expect([...world.targets.values()].reduce((sum, { runs }) => sum + runs.size, 0)).toBe(3);
  });
});

// The progress of a submission that is read late tells which runs a target holds; it is back, and they have ended.
test('a target that is named by progress which is not read takes no starts', () => {
  const scenario = new Scenario([], 2);
  const { world } = scenario;
  world.submit(createSubmission(1, [{ estimateMs: 2_000, demand: SMALL }]));
  world.run(300);
  const holder = [...world.targets.values()].find(({ runs }) => runs.size > 0);
  if (holder === undefined) throw new Error('nothing runs');
  world.partition(holder.id, 3_500);
  world.run(800);
  const stored = world.store.get(toSubmissionId(1))?.value;
  expect(JSON.stringify(stored)).toContain('"crashes"');
  scenario.takeOverWithout();
  world.run(5_000);
  expect(holder.runs.size).toBe(0);
  const countOnHolder = () =>
    scenario.starts.filter(({ targetId }) => targetId === holder.id).length;
  world.submit(createSubmission(2, [{ taskCount: 32, ...LONG }]));
  world.run(3_000);
  expect(scenario.countStarts(2)).toBe(16);
  expect(countOnHolder()).toBe(1);
  // Nor does it before the reports are void in the store.
  world.isStoreAvailable = false;
  world.parts.answer(SILENT_PART);
  world.run(2_000);
  expect(countOnHolder()).toBe(1);
  world.isStoreAvailable = true;
  world.run(6_000);
  expect(scenario.countStarts(2)).toBe(32);
  expect(world.getState(toSubmissionId(1))).toBe('succeeded');
  expect(world.broken).toEqual([]);
});

// A later owner would take the runs that are known for all runs of the target.
test('the runs of a lost target are not reported as all of them while some are not known', () => {
  const scenario = new Scenario([], 1);
  const { world } = scenario;
  world.submit(createSubmission(1, [LONG]));
  world.submit(createSubmission(2, [LONG]));
  world.run(300);
  const [holder] = [...world.targets.values()];
  expect(holder?.runs.size).toBe(2);
  world.addTarget('late-1');
  scenario.takeOverWithout();
  world.run(1_500);
  if (holder !== undefined) world.partition(holder.id, 60_000);
  world.run(1_000);
  world.parts.answer(SILENT_PART);
  world.takeOver();
  world.run(2_000);
  expect([1, 2].map((number) => scenario.countStarts(number))).toEqual([1, 1]);
  world.run(15_000);
  expect([1, 2].map((number) => scenario.countStarts(number))).toEqual([2, 2]);
  expect(world.broken).toEqual([]);
});

test.each(Array.from({ length: 30 }, (_, index) => index + 1))(
  'drawn history %i with silent parts and takeovers breaks no rule',
  (seed) => {
    const { broken, lost } = runPartHistory(seed);
    expect(broken).toEqual([]);
    expect(lost).toEqual([]);
  },
);
