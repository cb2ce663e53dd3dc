/** Processor time of the owner's reducer by number of targets, with simulated targets in virtual time. */

import { createSubmission, NO_FAULTS, OwnerWorld } from '../tests/support/ownerWorld';
import type { Benchmark, Figure } from './types';

const TARGET_COUNTS = [30, 100, 250, 920] as const;

/** The design load is 590 starts per second on 920 targets; each submission holds 10 tasks. */
const TASKS_PER_SUBMISSION = 10;
const STARTS_PER_TARGET_PER_S = 590 / 920;
const DURATION_S = 10;
const MS_PER_SECOND = 1_000;

/** With 590 starts per second, a duration of 7 s keeps about 4,300 tasks running at the design size. */
const TASK_DURATION_MS = 7_000;

function getCpuMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1_000;
}

function measure(targetCount: number): readonly Figure[] {
  const world = new OwnerWorld({ seed: 1, targetCount, faults: NO_FAULTS });
  world.takeOver();
  world.run(500);
  const submissionsPerSecond = (targetCount * STARTS_PER_TARGET_PER_S) / TASKS_PER_SUBMISSION;
  const intervalMs = MS_PER_SECOND / submissionsPerSecond;
  const cpuBeforeMs = getCpuMs();
  for (
    let submissionNumber = 1;
    submissionNumber <= submissionsPerSecond * DURATION_S;
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
  const takeoverCpuBeforeMs = getCpuMs();
  world.takeOver();
  world.run(100);
  const prefix = `${targetCount} targets`;
  return [
    { name: `${prefix}: starts per second`, value: world.startCount / DURATION_S, unit: '1/s' },
    { name: `${prefix}: reducer and harness`, value: cpuMs / DURATION_S / 10, unit: '% of a core' },
    { name: `${prefix}: processor time per start`, value: cpuMs / world.startCount, unit: 'ms' },
    {
      name: `${prefix}: takeover and the following 0.1 s`,
      value: getCpuMs() - takeoverCpuBeforeMs,
      unit: 'ms',
    },
    { name: `${prefix}: invariant violations`, value: world.broken.length, unit: '' },
  ];
}

/** The `owner` benchmark. */
export const owner: Benchmark = {
  name: 'owner',
  description: 'processor time of the owner by number of targets, at the design start rate',
  run: async () => TARGET_COUNTS.flatMap((targetCount) => measure(targetCount)),
};
