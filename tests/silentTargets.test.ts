/**
 * Guards against tasks that stay without a run because a start was lost with a target that fell silent and stays
 * registered, and against a second run where that target has carried out the start.
 */

import type { TargetEntry } from '../src/owner/types';
import type { StepKey, TargetId, TaskKey } from '../src/types/ids';
import { Random } from '../src/types/random';
import type { StepSpec } from '../src/work/types';
import type { FakeTarget } from '../standins/fakeTarget';
import type { CallFate, TargetCall } from './support/networkModel';
import { createSubmission, NO_FAULTS, OwnerWorld, toSubmissionId } from './support/ownerWorld';
import { getAdvice } from './support/worldChecks';

const LASTING: Partial<StepSpec> = {
  policy: { kind: 'standing', latencyTargetMs: 0, maxUnavailableCount: 0 },
};

/** A start without an answer is settled by then: a late entry of 7 s, two beats of the target and two time-outs. */
const SETTLED_MS = 11_500;

/** A start may be carried out this late, and its lease may last 10 s from then on. */
const MAX_EFFECT_MS = 24_000;

const AGE_MS = 20_000;

/** A fleet whose targets renew their registrations. */
class Fleet {
  readonly world: OwnerWorld;

  /** Decides about starts; other requests take their usual course. */
  chooseStartFate: ((target: FakeTarget) => CallFate) | undefined;

  constructor(seed: number, targetCount: number) {
    const random = new Random(seed);
    this.world = new OwnerWorld({
      ...{ seed, targetCount, faults: NO_FAULTS },
      network: {
        chooseFate: (call) => this.#chooseFate(call),
        getRegistryDelayMs: () => random.nextInt(200),
      },
    });
    this.world.takeOver();
    this.world.registry?.startBeats(this.world.targets);
    this.world.run(500);
  }

  #chooseFate({ effect, target }: TargetCall): CallFate {
    const isStart = 'payload' in effect && target !== undefined;
    return (isStart ? this.chooseStartFate?.(target) : undefined) ?? {};
  }

  /** Tasks with a run on a target that the owner reaches. */
  getRunning(silentIds: ReadonlySet<TargetId>): ReadonlySet<TaskKey> {
    const reachable = [...this.world.targets.values()].filter(({ id }) => !silentIds.has(id));
    return new Set(reachable.flatMap(({ runs }) => [...runs.keys()]));
  }
}

describe('a start whose target falls silent and stays registered', () => {
  const TASK = `${toSubmissionId(1)}.0.0.0` as TaskKey;

  /** The first start is sent to a target of which nothing is heard any more. */
  function playSilence(fate: CallFate) {
    const fleet = new Fleet(1, 4);
    const { world } = fleet;
    const silentIds = new Set<TargetId>();
    fleet.chooseStartFate = ({ id }) => {
      if (silentIds.size > 0) return {};
      silentIds.add(id);
      world.time.after(3, () => world.partition(id, 60_000));
      return fate;
    };
    world.submit(createSubmission(1, [LASTING]));
    world.run(SETTLED_MS);
    const running = fleet.getRunning(silentIds);
    world.run(MAX_EFFECT_MS);
    return { running, broken: world.broken };
  }

  // The owner waited until a start could have ended at whatever incarnation, 22.9 s, with room on other targets (LOST).
  test.each([
    ['is lost', { isSilent: true }],
    ['has no answer', { isAnswerLost: true }],
    ['is carried out late', { performDelayMs: 4_000 }],
  ])('is repeated elsewhere when it %s', (_name, fate) => {
    const { running, broken } = playSilence(fate);
    expect([...running]).toEqual([TASK]);
    expect(broken).toEqual([]);
  });

  // The incarnation that takes the start has ended the one whose last entry is stored late (TWICE).
  test.each([0, 1_000, 3_000, 6_000])(
    'is not repeated while a successor that cannot register runs it, entry %i ms late',
    (entryDelayMs) => {
      const fleet = new Fleet(1, 4);
      const { world } = fleet;
      // The deadline of the start is far ahead on the clock of the new incarnation.
      world.run(AGE_MS);
      if (world.registry !== undefined) world.registry.mayLapse = false;
      fleet.chooseStartFate = (target) => {
        if (target.id !== 'target-0') return {};
        const last: TargetEntry = target.renewEntry();
        world.registry?.cutOffIds.add(target.id);
        world.time.after(entryDelayMs, () => world.registry?.putLate(last));
        world.crash(target.id, 40);
        world.time.after(155, () => world.partition(target.id, 60_000));
        return { openDelayMs: 150, performDelayMs: 0, isAnswerLost: true };
      };
      world.submit(createSubmission(1, [LASTING]));
      world.run(MAX_EFFECT_MS);
      expect(world.broken).toEqual([]);
    },
  );
});

// Renewed entries of the later incarnation say nothing about a start that it has taken and carries out late (TWICE).
test('a start that has moved to a later incarnation is not repeated while that may carry it out', () => {
  const fleet = new Fleet(1, 4);
  const { world } = fleet;
  world.run(AGE_MS);
  let isSent = false;
  fleet.chooseStartFate = (target) => {
    if (target.id !== 'target-0' || isSent) return {};
    isSent = true;
    world.registry?.cutOffIds.add(target.id);
    world.crash(target.id, 40);
    world.time.after(155, () => world.partition(target.id, 60_000));
    world.time.after(1_500, () => {
      world.registry?.cutOffIds.delete(target.id);
      world.registry?.put(target.renewEntry());
    });
    return { openDelayMs: 150, performDelayMs: 11_700 };
  };
  world.submit(createSubmission(1, [LASTING]));
  world.run(MAX_EFFECT_MS);
  expect(isSent).toBe(true);
  expect(world.broken).toEqual([]);
});

/** The targets of a history, and how many of its lasting tasks fail. */
const TARGET_COUNT = 24;
const STEP_COUNT = 5;
const FAILURE_COUNT = 6;

/** A step with lasting tasks. */
interface LastingStep {
  readonly key: StepKey;
  readonly taskCount: number;
  readonly maxTasksPerTarget: number;
  readonly isAdvised: boolean;
}

/** Counts the tasks for which there is room on targets that the step may use. */
function getWantedCount(step: LastingStep, reachableIds: readonly TargetId[]): number {
  const approvedCount = step.isAdvised
    ? getAdvice(step.key, reachableIds).grants.length
    : reachableIds.length;
  if (step.maxTasksPerTarget > 0) return Math.min(step.taskCount, approvedCount);
  return approvedCount > 0 ? step.taskCount : 0;
}

/** A failed task is started again, twice in a row, on a target that falls silent right after the start. */
function playHistory(seed: number): readonly string[] {
  const random = new Random(seed);
  const fleet = new Fleet(seed, TARGET_COUNT);
  const { world } = fleet;
  world.targets.forEach((target) => Object.assign(target, { slowness: 1 + random.nextInt(4) }));
  const tasks: TaskKey[] = [];
  const steps: LastingStep[] = [];
  for (let number = 1; number <= STEP_COUNT; number += 1) {
    const taskCount = 6 + random.nextInt(6);
    const maxTasksPerTarget = number % 3 === 0 ? 0 : 1;
    const step = { ...LASTING, taskCount, maxTasksPerTarget };
    const demand = { cpuMillis: 1_000, memoryMb: 512, accelerators: 0 };
    const advice = random.nextInt(2) === 0 ? { advice: 'cheap' as const } : {};
    world.submit(createSubmission(number, [{ ...step, demand }], advice));
    const key = `${toSubmissionId(number)}.0.0` as StepKey;
    steps.push({ key, taskCount, maxTasksPerTarget, isAdvised: 'advice' in advice });
    for (let index = 0; index < taskCount; index += 1)
      tasks.push(`${toSubmissionId(number)}.0.0.${index}` as TaskKey);
  }
  world.run(4_000);
  const silentIds = new Set<TargetId>();
  const silenceCounts = new Map<TaskKey, number>();
  world.onEffect = (_epoch, effect) => {
    if (effect.kind !== 'startRun') return;
    const count = silenceCounts.get(effect.taskKey);
    if (count === undefined || count >= 2) return;
    silenceCounts.set(effect.taskKey, count + 1);
    world.time.after(20 + random.nextInt(60), () => {
      silentIds.add(effect.targetId);
      world.partition(effect.targetId, 60_000);
    });
  };
  for (let failure = 0; failure < FAILURE_COUNT; failure += 1) {
    const task = tasks[random.nextInt(tasks.length)];
    const holder = [...world.targets.values()].find(
      ({ id, runs }) => !silentIds.has(id) && task !== undefined && runs.has(task),
    );
    const run = task === undefined ? undefined : holder?.runs.get(task);
    if (task !== undefined && run !== undefined) {
      silenceCounts.set(task, 0);
      holder?.endRun(run, 'failed');
    }
    world.run(random.nextInt(300));
  }
  world.run(SETTLED_MS);
  // Each silent start takes its time, one after the other.
  world.run(SETTLED_MS);
  const running = [...fleet.getRunning(silentIds)];
  const reachableIds = [...world.targets.keys()].filter((id) => !silentIds.has(id));
  const lost = steps.flatMap((step) => {
    const count = running.filter((task) => task.startsWith(`${step.key}.`)).length;
    const wanted = getWantedCount(step, reachableIds);
    return count < wanted ? [`LOST: ${step.key} has ${count} runs of ${wanted}`] : [];
  });
  return [...world.broken, ...lost];
}

// Lasting tasks at work fail, and the targets of their next starts fall silent.
test('histories of silent targets leave no lasting task without a run', () => {
  const violations = Array.from({ length: 30 }, (_, index) => index + 1).flatMap((seed) =>
    playHistory(seed).map((violation) => `seed ${seed}: ${violation}`),
  );
  expect(violations).toEqual([]);
});
