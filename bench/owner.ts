/** Processor time of the owner's reducer by number of targets, with simulated targets in virtual time. */

import { createSubmission, NO_FAULTS, OwnerWorld } from '../tests/support/ownerWorld';
import type { Bench, Figure } from './types';

const TARGET_COUNTS = [30, 100, 250, 920] as const;

/** The design load is 590 starts per second on 920 targets; each submission holds 10 tasks. */
const TASKS_PER_SUBMISSION = 10;
const STARTS_PER_TARGET_S = 590 / 920;
const SECONDS = 10;
const MS_PER_SECOND = 1_000;

/** With 590 starts per second, a duration of 7 s keeps about 4,300 tasks running at the design size. */
const TASK_MS = 7_000;

function getCpuMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1_000;
}

function play(targetCount: number): readonly Figure[] {
  const world = new OwnerWorld({ seed: 1, targetCount, faults: NO_FAULTS });
  world.takeOver();
  world.run(500);
  const submissionsPerSecond = (targetCount * STARTS_PER_TARGET_S) / TASKS_PER_SUBMISSION;
  const gapMs = MS_PER_SECOND / submissionsPerSecond;
  const beforeMs = getCpuMs();
  for (let number = 1; number <= submissionsPerSecond * SECONDS; number += 1) {
    const step = {
      taskCount: TASKS_PER_SUBMISSION,
      estimateMs: TASK_MS,
      demand: { cpuMillis: 2_000, memoryMb: 2_048, accelerators: 0 },
    };
    world.submit(createSubmission(number, [step], { advice: 'cheap' }));
    world.run(gapMs);
  }
  const usedMs = getCpuMs() - beforeMs;
  const startedAtMs = getCpuMs();
  world.takeOver();
  world.run(100);
  const name = `${targetCount} targets`;
  return [
    { name: `${name}: starts per second`, value: world.startCount / SECONDS, unit: '1/s' },
    { name: `${name}: reducer and harness`, value: usedMs / SECONDS / 10, unit: '% of a core' },
    { name: `${name}: processor time per start`, value: usedMs / world.startCount, unit: 'ms' },
    {
      name: `${name}: takeover and the following 0.1 s`,
      value: getCpuMs() - startedAtMs,
      unit: 'ms',
    },
    { name: `${name}: invariant violations`, value: world.broken.length, unit: '' },
  ];
}

/** The `owner` benchmark. */
export const owner: Bench = {
  name: 'owner',
  describe: 'processor time of the owner by number of targets, at the design start rate',
  run: async () => TARGET_COUNTS.flatMap((targetCount) => play(targetCount)),
};
