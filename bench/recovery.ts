/** Time until schedulers that restart with empty memory have rebuilt their jobs and tasks. */

import { getHomeShard } from '../src/lease/shards';
import { toConfigVersion, toId } from '../src/types/ids';
import type { JobId } from '../src/types/ids';
import { createSheet } from '../tests/support/sheets';
import { World } from '../tests/support/world';
import type { Benchmark, Figure } from './types';

const TASK_COUNTS = [100, 1_000, 4_300] as const;
const TASKS_PER_JOB = 50;
const MEMBER_COUNT = 3;
const STEP_MS = 100;
const MAX_WAIT_MS = 120_000;
const DATA_CENTRES = ['rotterdam', 'delft'];
const CAPACITY = {
  cpuMillis: 10_000_000,
  memoryMb: 10_000_000,
  accelerators: 0,
  slots: 400,
  connections: 400,
};
const DEMAND = { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0, slots: 1, connections: 0 };

function createWorld(): World {
  const world = new World({
    seed: 1,
    memberCount: MEMBER_COUNT,
    dataCentreIds: DATA_CENTRES,
    targetsPerDataCentre: 12,
    capacity: CAPACITY,
  });
  world.runFor(2_000);
  const sheet = createSheet(['team'], DATA_CENTRES, { limitSlots: 100_000 });
  const change = { kind: 'applySheet', basedOnVersion: toConfigVersion(0), sheet } as const;
  const call = { kind: 'changeConfig', change, operationId: toId('op-1') } as const;
  world.call(0, call as never, () => undefined);
  world.runFor(13_000);
  return world;
}

function submitJobs(world: World, jobCount: number): void {
  for (let index = 0; index < jobCount; index += 1) {
    const jobId = toId<JobId>(`job-${index}`);
    const homeIndex = world.processes.findIndex((process) =>
      process.core
        .dump(world.nowMs)
        .ownedShards.some((owned) => owned.shardId === getHomeShard(jobId)),
    );
    const spec = {
      jobId,
      queueId: toId('team'),
      policy: { kind: 'batch', taskCount: TASKS_PER_JOB },
      demand: DEMAND,
      expectedRunMs: 3_600_000,
    };
    world.call(
      homeIndex,
      { kind: 'submitJob', spec, teamId: toId('team') } as never,
      () => undefined,
    );
  }
}

/** Counts the tasks known to the owners of their targets, and the running tasks known to the homes of their jobs. */
function countTasks(world: World): { readonly owned: number; readonly known: number } {
  const dumps = world.processes.map((process) => process.core.dump(world.nowMs));
  return {
    owned: dumps.reduce((sum, dump) => sum + dump.tasks, 0),
    known: dumps.reduce((sum, dump) => sum + dump.runningTasks, 0),
  };
}

function runUntil(world: World, isDone: () => boolean): number {
  const startMs = world.nowMs;
  while (!isDone() && world.nowMs - startMs < MAX_WAIT_MS) world.runFor(STEP_MS);
  return world.nowMs - startMs;
}

function measure(taskCount: number): readonly Figure[] {
  const world = createWorld();
  submitJobs(world, taskCount / TASKS_PER_JOB);
  runUntil(world, () => countTasks(world).known === taskCount);
  const readsBefore = world.store.counts.readCount;
  world.processes.forEach((process) => world.kill(process.index));
  world.runFor(STEP_MS);
  world.processes.forEach((process) => world.restart(process.index));
  const startMs = performance.now();
  const ownedMs = runUntil(world, () => countTasks(world).owned === taskCount);
  const knownMs = ownedMs + runUntil(world, () => countTasks(world).known === taskCount);
  const elapsedMs = performance.now() - startMs;
  const withPrefix = (text: string) => `${taskCount} tasks: ${text}`;
  return [
    { name: withPrefix('owners have rebuilt their tasks after'), value: ownedMs, unit: 'ms' },
    {
      name: withPrefix('homes have rebuilt their running tasks after'),
      value: knownMs,
      unit: 'ms',
    },
    {
      name: withPrefix('platform reads during recovery'),
      value: world.store.counts.readCount - readsBefore,
      unit: 'calls',
    },
    {
      name: withPrefix('wall-clock time of all schedulers and the harness'),
      value: elapsedMs,
      unit: 'ms',
    },
  ];
}

/** The `recovery` benchmark: recovery time by number of tasks, in virtual time. */
export const recovery: Benchmark = {
  name: 'recovery',
  description: 'time until restarted schedulers have rebuilt 100, 1,000 and 4,300 tasks',
  run: async () => TASK_COUNTS.flatMap(measure),
};
