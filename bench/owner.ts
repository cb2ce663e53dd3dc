/** Processor time of the owner's reducer by number of targets, with simulated targets in virtual time. */

import type { OwnerEffect } from '../src/owner/types';
import { createSubmission, NO_FAULTS, OwnerWorld } from '../tests/support/ownerWorld';
import { OwnerTimes } from './ownerTimes';
import type { Benchmark, Figure } from './types';

const TARGET_COUNTS = [30, 100, 250, 920] as const;
const BACKLOG_TARGET_COUNTS = [30, 100, 300, 920] as const;

/** The design load is 590 starts per second on 920 targets; each submission holds 10 tasks. */
const TASKS_PER_SUBMISSION = 10;
const STARTS_PER_TARGET_PER_S = 590 / 920;
const MIN_DURATION_S = 10;

/** A small fleet is measured for longer, until it has started about this many tasks. */
const MIN_STARTS = 3_000;
const MS_PER_SECOND = 1_000;

/** With 590 starts per second, a duration of 7 s keeps about 4,300 tasks running at the design size. */
const TASK_DURATION_MS = 7_000;

/** A backlog as in a burst: steps that wait while the fleet is full. */
const BACKLOG_STEPS = 200;
const TASKS_PER_BACKLOG_STEP = 20;
const BACKLOG_TASK_DURATION_MS = 2_000;
const MIN_BACKLOG_DURATION_S = 5;

/** Of the simulated targets, each has room for this many tasks of 4 cores. */
const TASKS_PER_TARGET = 4;

/** Queues of three priorities; every second submission needs advice. */
const PRIORITY_COUNT = 3;

const WARM_UP_MS = 500;

/** Size of the fleet that is simulated first, so that all code is compiled when the measurements begin. */
const WARM_UP_TARGET_COUNT = 250;

function getCpuMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1_000;
}

/** Collects how long tasks have waited for their start, in virtual time. */
function collectWaits(world: OwnerWorld): readonly number[] {
  const waits: number[] = [];
  world.onEffect = (_epoch: number, effect: OwnerEffect) => {
    if (effect.kind === 'record' && effect.name.startsWith('start_wait_'))
      waits.push(effect.durationMs);
  };
  return waits;
}

function getMedian(values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;
}

function getFigures(
  prefix: string,
  times: OwnerTimes,
  startCount: number,
  durationS: number,
): readonly Figure[] {
  const { planning, totalMs } = times;
  const perStart = (ms: number) => (ms * MS_PER_SECOND) / Math.max(startCount, 1);
  return [
    { name: `${prefix}: reducer`, value: totalMs / durationS / 10, unit: '% of a core' },
    { name: `${prefix}: reducer per start`, value: perStart(totalMs), unit: 'us' },
    { name: `${prefix}: planning passes`, value: planning.count / durationS, unit: '1/s' },
    {
      name: `${prefix}: planning pass`,
      value: (planning.totalMs * MS_PER_SECOND) / Math.max(planning.count, 1),
      unit: 'us',
    },
    { name: `${prefix}: planning per start`, value: perStart(planning.totalMs), unit: 'us' },
    ...[...times.byKind].map(([kind, call]) => ({
      name: `${prefix}: ${kind}, ${call.count} events, per start`,
      value: perStart(call.totalMs),
      unit: 'us',
    })),
  ];
}

function measure(targetCount: number): readonly Figure[] {
  const times = new OwnerTimes();
  const world = new OwnerWorld({ seed: 1, targetCount, faults: NO_FAULTS });
  world.takeOver();
  world.run(WARM_UP_MS);
  const waits = collectWaits(world);
  const submissionsPerSecond = (targetCount * STARTS_PER_TARGET_PER_S) / TASKS_PER_SUBMISSION;
  const intervalMs = MS_PER_SECOND / submissionsPerSecond;
  const durationS = Math.max(
    MIN_DURATION_S,
    MIN_STARTS / (submissionsPerSecond * TASKS_PER_SUBMISSION),
  );
  times.attach();
  const cpuBeforeMs = getCpuMs();
  for (
    let submissionNumber = 1;
    submissionNumber <= submissionsPerSecond * durationS;
    submissionNumber += 1
  ) {
    const step = {
      taskCount: TASKS_PER_SUBMISSION,
      estimateMs: TASK_DURATION_MS,
      demand: { cpuMillis: 2_000, memoryMb: 2_048, accelerators: 0 },
    };
    world.submit(createSubmission(submissionNumber, [step], { advice: 'cheap' }));
    world.run(intervalMs);
  }
  const cpuMs = getCpuMs() - cpuBeforeMs;
  OwnerTimes.detach();
  const { startCount } = world;
  const takeoverCpuBeforeMs = getCpuMs();
  world.takeOver();
  world.run(100);
  const prefix = `${targetCount} targets`;
  return [
    { name: `${prefix}: starts per second`, value: startCount / durationS, unit: '1/s' },
    { name: `${prefix}: reducer and harness`, value: cpuMs / durationS / 10, unit: '% of a core' },
    { name: `${prefix}: processor time per start`, value: cpuMs / startCount, unit: 'ms' },
    ...getFigures(prefix, times, startCount, durationS),
    { name: `${prefix}: median wait for a start`, value: getMedian(waits), unit: 'ms' },
    {
      name: `${prefix}: takeover and the following 0.1 s`,
      value: getCpuMs() - takeoverCpuBeforeMs,
      unit: 'ms',
    },
    { name: `${prefix}: invariant violations`, value: world.broken.length, unit: '' },
  ];
}

function submitBacklogStep(world: OwnerWorld, submissionNumber: number): void {
  const step = { taskCount: TASKS_PER_BACKLOG_STEP, estimateMs: BACKLOG_TASK_DURATION_MS };
  world.submit(
    createSubmission(submissionNumber, [step], {
      priority: submissionNumber % PRIORITY_COUNT,
      ...(submissionNumber % 2 === 0 ? { advice: 'cheap' } : {}),
    }),
  );
}

/** The fleet is full and {@link BACKLOG_STEPS} more steps wait; as many are submitted as end. */
function measureBacklog(targetCount: number): readonly Figure[] {
  const times = new OwnerTimes();
  const world = new OwnerWorld({ seed: 1, targetCount, faults: NO_FAULTS });
  world.takeOver();
  world.run(WARM_UP_MS);
  const runningSteps = Math.ceil((targetCount * TASKS_PER_TARGET) / TASKS_PER_BACKLOG_STEP);
  const stepsPerSecond = (runningSteps * MS_PER_SECOND) / BACKLOG_TASK_DURATION_MS;
  let submissionNumber = 0;
  for (; submissionNumber < runningSteps + BACKLOG_STEPS; submissionNumber += 1)
    submitBacklogStep(world, submissionNumber + 1);
  world.run(WARM_UP_MS);
  const waits = collectWaits(world);
  const startsPerSecond = stepsPerSecond * TASKS_PER_BACKLOG_STEP;
  const durationS = Math.max(MIN_BACKLOG_DURATION_S, MIN_STARTS / startsPerSecond);
  const startsBefore = world.startCount;
  times.attach();
  for (let count = 0; count < stepsPerSecond * durationS; count += 1) {
    submissionNumber += 1;
    submitBacklogStep(world, submissionNumber);
    world.run(MS_PER_SECOND / stepsPerSecond);
  }
  OwnerTimes.detach();
  const startCount = world.startCount - startsBefore;
  const prefix = `${targetCount} targets, backlog`;
  return [
    { name: `${prefix}: starts per second`, value: startCount / durationS, unit: '1/s' },
    ...getFigures(prefix, times, startCount, durationS),
    { name: `${prefix}: median wait for a start`, value: getMedian(waits), unit: 'ms' },
    { name: `${prefix}: invariant violations`, value: world.broken.length, unit: '' },
  ];
}

function measureAll(): readonly Figure[] {
  return [
    ...TARGET_COUNTS.flatMap((targetCount) => measure(targetCount)),
    ...BACKLOG_TARGET_COUNTS.flatMap((targetCount) => measureBacklog(targetCount)),
  ];
}

/** The `owner` benchmark. */
export const owner: Benchmark = {
  name: 'owner',
  description:
    'processor time of the owner by number of targets, at the design load and in a backlog',
  run: async () => {
    measure(WARM_UP_TARGET_COUNT);
    measureBacklog(WARM_UP_TARGET_COUNT);
    return measureAll();
  },
};
