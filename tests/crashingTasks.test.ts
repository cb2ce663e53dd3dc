/** Guards against tasks that crash target after target, and against giving up tasks that were only near a crash. */

import type { TargetId, TaskKey } from '../src/types/ids';
import type { StepSpec, Submission } from '../src/work/types';
import { Random } from '../src/types/random';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './support/ownerWorld';

const TARGET_COUNT = 10;

/** Two crashes are needed to give a task up; a third where other targets were lost at the time. */
const MAX_CRASHES = 3;

const STANDING: Partial<StepSpec> = {
  policy: { kind: 'standing', latencyTargetMs: 0, maxUnavailableCount: 0 },
};

function createWorld(seed = 1): OwnerWorld {
  const world = new OwnerWorld({ seed, targetCount: TARGET_COUNT, faults: NO_FAULTS });
  world.takeOver();
  return world;
}

/** Marks a task as one that crashes its targets. */
function addCrashingTask(world: OwnerWorld, submission: Submission, name = '0.0.0'): TaskKey {
  const taskKey = `${submission.id}.${name}` as TaskKey;
  world.crashingTaskKeys.add(taskKey);
  return taskKey;
}

/** Submits short and long work of others every 100 ms, 30 submissions in all. */
function submitOthers(world: OwnerWorld, firstNumber = 100): void {
  for (let index = 0; index < 30; index += 1) {
    const isLong = index % 5 === 0;
    world.submit(
      createSubmission(firstNumber + index, [
        { taskCount: isLong ? 2 : 4, estimateMs: isLong ? 5_000 : 600 },
      ]),
    );
    world.run(100);
  }
}

function expectOthersSucceeded(world: OwnerWorld, firstNumber = 100): void {
  for (let index = 0; index < 30; index += 1)
    expect(world.getState(toSubmissionId(firstNumber + index))).toBe('succeeded');
}

const POLICIES: readonly (readonly [string, Partial<StepSpec>])[] = [
  ['plain', { taskCount: 4 }],
  ['gang', { taskCount: 4, policy: { kind: 'gang', isSameRack: false } }],
  ['standing', { ...STANDING, taskCount: 4 }],
  ['speculative', { taskCount: 4, policy: { kind: 'batch', isSpeculative: true } }],
  ['wide', { taskCount: 100, demand: { cpuMillis: 1_000, memoryMb: 512, accelerators: 0 } }],
];

describe('a task that crashes each target that starts it', () => {
  test.each(POLICIES)('is given up after a few crashes: %s', (_name, spec) => {
    const world = createWorld();
    const crashing = createSubmission(1, [spec]);
    const taskKey = addCrashingTask(world, crashing);
    world.submit(crashing);
    submitOthers(world);
    world.run(20_000);
    expect(world.getState(crashing.id)).toBe('failed');
    expect(world.crashCountByTask.get(taskKey)).toBeLessThanOrEqual(MAX_CRASHES);
    expectOthersSucceeded(world);
    expect(world.broken).toEqual([]);
  });

  test('is given up in a later occurrence, and the submission ends', () => {
    const world = createWorld();
    const base = createSubmission(1, [{ taskCount: 2, estimateMs: 200 }]);
    const firstAtMs = base.acceptedAtMs;
    const schedule = {
      kind: 'repeated',
      occurrenceCount: 3,
      firstAtMs,
      intervalMs: 2_500,
    } as const;
    const crashing = { ...base, spec: { ...base.spec, schedule } };
    const taskKey = addCrashingTask(world, crashing, '1.0.1');
    world.submit(crashing);
    world.run(30_000);
    expect(world.getState(crashing.id)).toBe('failed');
    expect(world.crashCountByTask.get(taskKey)).toBeLessThanOrEqual(MAX_CRASHES);
    expect(world.broken).toEqual([]);
  });

  test('does not let a step of a hundred such tasks crash the fleet again and again', () => {
    const world = createWorld();
    const demand = { cpuMillis: 1_600, memoryMb: 512, accelerators: 0 };
    const crashing = createSubmission(1, [{ taskCount: 100, demand }]);
    for (let index = 0; index < 100; index += 1) addCrashingTask(world, crashing, `0.0.${index}`);
    world.submit(crashing);
    world.run(20_000);
    expect(world.getState(crashing.id)).toBe('failed');
    const crashCount = [...world.crashCountByTask.values()].reduce((sum, count) => sum + count, 0);
    expect(crashCount).toBeLessThanOrEqual(TARGET_COUNT + MAX_CRASHES);
    expect(world.broken).toEqual([]);
  });

  test('runs alone once it is suspected, so that others lose little', () => {
    const world = createWorld();
    for (let number = 1; number <= 5; number += 1) {
      const crashing = createSubmission(number, [{ taskCount: 4 }]);
      addCrashingTask(world, crashing);
      world.submit(crashing);
    }
    submitOthers(world);
    const firstCrashBystanders = world.bystanderCount;
    world.run(20_000);
    expect(world.bystanderCount - firstCrashBystanders).toBeLessThanOrEqual(5);
    expectOthersSucceeded(world);
    expect(world.broken).toEqual([]);
  });
});

describe('a suspected task gets its trial', () => {
  const WHOLE_TARGET = { cpuMillis: 16_000, memoryMb: 1_024, accelerators: 0 };
  const CRASH_DOWN_MS = 30_000;

  /** By then it has run: a lease of 5.2 s, two reservations of 2 s that lead to nothing, its trial and its work. */
  const TRIED_MS = 13_000;

  /** Lets the target crash that starts the first run of a submission. */
  function crashStart(world: OwnerWorld, number: number, delayMs: number): void {
    const { onEffect } = world;
    let isCrashed = false;
    Object.assign(world, {
      onEffect: (...[epoch, effect]: Parameters<NonNullable<OwnerWorld['onEffect']>>) => {
        onEffect?.(epoch, effect);
        if (effect.kind !== 'startRun' || isCrashed) return;
        if (!effect.taskKey.startsWith(toSubmissionId(number))) return;
        isCrashed = true;
        world.time.after(delayMs, () => world.crashProcess(effect.targetId, CRASH_DOWN_MS));
      },
    });
  }

  const SMALL: Partial<StepSpec> = { demand: { ...WHOLE_TARGET, cpuMillis: 4_000 } };

  /** Four suspected tasks cannot start because of other work, and then a fifth one is suspected that can. */
  function playBlocked(hold: Partial<StepSpec>, last: Partial<StepSpec>): OwnerWorld {
    const limit = { cpuMillis: 4 * WHOLE_TARGET.cpuMillis, memoryMb: 0, accelerators: 0 };
    const teams = [{ id: 'team-b' as Submission['teamId'], keys: [], weight: 1, limit }];
    const world = new OwnerWorld({ seed: 1, targetCount: 10, faults: NO_FAULTS, teams });
    world.takeOver();
    world.run(1_000);
    for (let number = 1; number <= 4; number += 1) {
      crashStart(world, number, 20);
      world.submit(createSubmission(number, [{ demand: WHOLE_TARGET }], { teamId: 'team-b' }));
    }
    world.run(60);
    world.submit(createSubmission(5, [{ ...hold, estimateMs: 60_000 }], { teamId: 'team-b' }));
    world.run(500);
    crashStart(world, 6, 60);
    world.submit(createSubmission(6, [last]));
    world.run(TRIED_MS);
    return world;
  }

  // Tasks that cannot start held the targets for trials again and again, as they were suspected more (LOST).
  test.each([
    ['of a team at its limit', { demand: WHOLE_TARGET, taskCount: 4 }, { demand: WHOLE_TARGET }],
    ['without room', { ...SMALL, taskCount: 6, maxTasksPerTarget: 1 }, SMALL],
  ])('while tasks %s wait for theirs', (_name, hold, last) => {
    const world = playBlocked(hold, last);
    expect(world.getState(toSubmissionId(6))).toBe('succeeded');
    expect(world.getState(toSubmissionId(5))).toBe('running');
    expect(world.broken).toEqual([]);
  });
});

/** Runs a history for each seed and collects what went wrong. */
function collectProblems(seedCount: number, play: (seed: number) => string[]): string[] {
  return Array.from({ length: seedCount }, (_value, index) => index + 1).flatMap((seed) =>
    play(seed).map((problem) => `seed ${seed}: ${problem}`),
  );
}

/** Checks that a crashing task was given up after few crashes, whatever its owners knew. */
function findProblems(world: OwnerWorld, taskKey: TaskKey): string[] {
  const state = world.getState(toSubmissionId(1));
  const crashCount = world.crashCountByTask.get(taskKey) ?? 0;
  return [
    ...world.broken,
    ...(state === 'failed' ? [] : [`its submission is ${state}`]),
    ...(crashCount <= MAX_CRASHES + 1 ? [] : [`${crashCount} targets crashed under it`]),
  ];
}

describe('what is known of a crashing task outlives its owner', () => {
  test('when owners are killed or paused', () => {
    const problems = collectProblems(40, (seed) => {
      const random = new Random(seed);
      const world = createWorld(seed);
      const crashing = createSubmission(1, [{ taskCount: 3 }]);
      const taskKey = addCrashingTask(world, crashing);
      world.submit(crashing);
      for (let count = 0; count < 12; count += 1) {
        world.run(random.nextInt(3_000));
        world.takeOver(random.nextInt(2) === 0);
      }
      world.run(30_000);
      return findProblems(world, taskKey);
    });
    expect(problems).toEqual([]);
  });

  test('when the store is away or loses its answers and owners are killed', () => {
    const problems = collectProblems(40, (seed) => {
      const random = new Random(seed);
      const world = createWorld(seed);
      const crashing = createSubmission(1, [{ taskCount: 3 }]);
      const taskKey = addCrashingTask(world, crashing);
      world.submit(crashing);
      for (let count = 0; count < 8; count += 1) {
        world.isStoreAvailable = random.nextInt(3) > 0;
        world.areWriteAnswersLost = random.nextInt(3) === 0;
        world.run(random.nextInt(4_000));
        world.isStoreAvailable = true;
        if (random.nextInt(2) === 0) world.takeOver(random.nextInt(2) === 0);
      }
      world.areWriteAnswersLost = false;
      world.run(30_000);
      return findProblems(world, taskKey);
    });
    expect(problems).toEqual([]);
  });
});

describe('a task that was only near a crash is not given up', () => {
  test('when targets crash, lose power or are cut off and owners are killed', () => {
    const problems = collectProblems(60, (seed) => {
      const random = new Random(seed);
      const world = createWorld(seed);
      for (let number = 1; number <= 40; number += 1) {
        const estimateMs = 300 + random.nextInt(1_500);
        world.submit(createSubmission(number, [{ taskCount: 8, estimateMs }]));
      }
      for (let count = 0; count < 40; count += 1) {
        world.run(100 + random.nextInt(300));
        const targetId = `target-${random.nextInt(TARGET_COUNT)}` as TargetId;
        const fault = random.nextInt(12);
        if (fault < 6) world.crashProcess(targetId, 3_200);
        else if (fault < 9) world.crash(targetId, 3_200);
        else if (fault < 11) world.partition(targetId, random.nextInt(8_000));
        else world.takeOver(random.nextInt(2) === 0);
      }
      world.run(60_000);
      const states = Array.from({ length: 40 }, (_value, index) => index + 1).flatMap((number) => {
        const state = world.getState(toSubmissionId(number));
        return state === 'succeeded' ? [] : [`submission ${number} is ${state}`];
      });
      return [...states, ...world.broken];
    });
    expect(problems).toEqual([]);
  });
});

describe('a takeover while targets are lost', () => {
  /** Two lost targets hold runs; other tasks of the same submissions wait for capacity. */
  function loseTargets(lose: (world: OwnerWorld, targetId: TargetId) => void): OwnerWorld {
    const world = createWorld();
    for (let number = 1; number <= 12; number += 1)
      world.submit(createSubmission(number, [{ taskCount: 8, estimateMs: 1_500 }]));
    world.run(700);
    lose(world, 'target-0' as TargetId);
    lose(world, 'target-1' as TargetId);
    world.run(1_200);
    world.takeOver(true);
    return world;
  }

  test('does not keep the waiting tasks until the targets are back', () => {
    const world = loseTargets((lossy, targetId) => lossy.crashProcess(targetId, 6_000));
    const { startCount } = world;
    world.run(1_500);
    expect(world.startCount).toBeGreaterThan(startCount);
    world.run(30_000);
    for (let number = 1; number <= 12; number += 1)
      expect(world.getState(toSubmissionId(number))).toBe('succeeded');
    expect(world.broken).toEqual([]);
  });

  test('does not start again what a target that was only cut off still runs', () => {
    const world = loseTargets((lossy, targetId) => lossy.partition(targetId, 3_000));
    world.run(30_000);
    for (let number = 1; number <= 12; number += 1)
      expect(world.getState(toSubmissionId(number))).toBe('succeeded');
    expect(world.broken).toEqual([]);
  });
});

test('a successor does not stop work that was started again after the lease of a lost target had ended', () => {
  const world = createWorld();
  world.submit(createSubmission(1, [{ taskCount: 12, estimateMs: 20_000 }]));
  world.run(1_000);
  world.partition('target-0' as TargetId, 30_000);
  world.partition('target-1' as TargetId, 30_000);
  world.run(8_000);
  world.takeOver();
  world.run(60_000);
  expect(world.stoppedTaskKeys).toEqual([]);
  expect(world.getState(toSubmissionId(1))).toBe('succeeded');
  expect(world.broken).toEqual([]);
});
