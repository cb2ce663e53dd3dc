/** The owner's reducer at the sizes of today and of the plan, among fake targets in virtual time. */

import { createSubmission, NO_FAULTS, OwnerWorld } from '../tests/support/ownerWorld';
import type { Bench, Figure } from './types';

const TARGET_COUNTS = [30, 100, 250, 920] as const;

/** Tasks of a submission; those of the plan are 590 starts a second on 920 targets. */
const TASKS_PER_SUBMISSION = 10;
const STARTS_PER_TARGET_S = 590 / 920;
const SECONDS = 10;
const MS_PER_SECOND = 1_000;

/** Length of a task, so that 4,300 run at the same time at the full size. */
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
    { name: `${name}: starts a second`, value: world.startCount / SECONDS, unit: '1/s' },
    { name: `${name}: reducer and harness`, value: usedMs / SECONDS / 10, unit: '% of a core' },
    { name: `${name}: by start`, value: usedMs / world.startCount, unit: 'ms' },
    { name: `${name}: takeover and 0.1 s after it`, value: getCpuMs() - startedAtMs, unit: 'ms' },
    { name: `${name}: broken promises`, value: world.broken.length, unit: '' },
  ];
}

/** Slopes of the owner by the number of targets. */
export const owner: Bench = {
  name: 'owner',
  describe: 'processor time of the owner by targets, at the starts of the plan',
  run: async () => TARGET_COUNTS.flatMap((targetCount) => play(targetCount)),
};
