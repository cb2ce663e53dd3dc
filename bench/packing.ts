/** Number of targets used by a set of tasks: best fit compared with random fit and a lower bound. */

import { BestFit } from '../src/placement/bestFit';
import { TargetPool } from '../src/placement/targetPool';
import type { Target } from '../src/placement/types';
import type { StartGuard } from '../src/requests/types';
import { toEpoch, toId } from '../src/types/ids';
import type { ShardId, TeamId } from '../src/types/ids';
import { Random } from '../src/types/random';
import { addResources, isFitting, NO_RESOURCES, RESOURCE_KINDS } from '../src/types/resources';
import type { ResourceVector } from '../src/types/resources';
import type { Benchmark, Figure } from './types';

const TARGET_COUNT = 30;
const TASK_COUNT = 120;
const ROUND_COUNT = 50;
const SHARD_ID: ShardId = toId('s');
const TEAM_ID: TeamId = toId('team');

/** Capacity of an order-desk worker in the Mattis deployment. */
const CAPACITY: ResourceVector = {
  cpuMillis: 32_000,
  memoryMb: 65_536,
  accelerators: 0,
  slots: 8,
  connections: 64,
};

type ChooseTarget = (
  pool: TargetPool,
  demand: ResourceVector,
  random: Random,
) => Target | undefined;

function createPool(): TargetPool {
  const pool = new TargetPool({
    getAllottedSlots: () => Number.MAX_SAFE_INTEGER,
    recordShortage: () => undefined,
  });
  pool.updateTargets(
    Array.from({ length: TARGET_COUNT }, (_, index) => ({
      targetId: toId<Target['targetId']>(`t${index}`),
      shardId: SHARD_ID,
      address: '',
      dataCentreId: toId<Target['dataCentreId']>('d'),
      rack: `r${Math.floor(index / 8)}`,
      capacity: CAPACITY,
      isLeaving: false,
    })),
  );
  return pool;
}

function createDemands(random: Random): readonly ResourceVector[] {
  return Array.from({ length: TASK_COUNT }, () => ({
    cpuMillis: 500 + random.nextInt(9_500),
    memoryMb: 512 + random.nextInt(20_000),
    accelerators: 0,
    slots: 1,
    connections: 0,
  }));
}

function createBestFitChooser(pool: TargetPool): ChooseTarget {
  const guard: StartGuard = {
    tryGetPermit: () => ({ epoch: toEpoch(1), untilMs: Number.MAX_SAFE_INTEGER }),
    tryGetOwnerPermit: () => undefined,
    getCandidates: () => pool.targets,
    getReplicas: () => [],
  };
  const bestFit = new BestFit(pool, guard);
  return (_, demand) =>
    bestFit.tryGetTarget({ nowMs: 0, shardId: SHARD_ID, teamId: TEAM_ID, demand, usedRacks: [] });
}

const chooseRandomFit: ChooseTarget = (pool, demand, random) => {
  const fitting = pool.targets.filter((target) => isFitting(demand, pool.getFree(target.targetId)));
  return fitting[random.nextInt(Math.max(1, fitting.length))];
};

/** No packing can use fewer targets than the total demand of any single resource requires. */
function getLowerBound(demands: readonly ResourceVector[]): number {
  const sum = demands.reduce((total, demand) => addResources(total, demand), NO_RESOURCES);
  return Math.max(
    ...RESOURCE_KINDS.map((kind) => (sum[kind] === 0 ? 0 : Math.ceil(sum[kind] / CAPACITY[kind]))),
  );
}

interface PackingResult {
  readonly targetCount: number;
  readonly refusedCount: number;
}

function pack(
  demands: readonly ResourceVector[],
  isBestFit: boolean,
  random: Random,
): PackingResult {
  const pool = createPool();
  const choose = isBestFit ? createBestFitChooser(pool) : chooseRandomFit;
  const usedTargetIds = new Set<string>();
  let refusedCount = 0;
  demands.forEach((demand) => {
    const target = choose(pool, demand, random);
    const chargeResult = target && pool.tryCharge(target.targetId, TEAM_ID, demand);
    if (chargeResult?.kind === 'charged') usedTargetIds.add(chargeResult.charge.targetId);
    else refusedCount += 1;
  });
  return { targetCount: usedTargetIds.size, refusedCount };
}

/** The `packing` benchmark. */
export const packing: Benchmark = {
  name: 'packing',
  description:
    'targets used by 120 tasks with declared demands, compared with random fit and a lower bound',
  async run() {
    let lowerBoundTotal = 0;
    const totals = {
      bestFitTargets: 0,
      randomFitTargets: 0,
      bestFitRefusals: 0,
      randomFitRefusals: 0,
    };
    for (let seed = 1; seed <= ROUND_COUNT; seed += 1) {
      const demands = createDemands(new Random(seed));
      lowerBoundTotal += getLowerBound(demands);
      const bestFit = pack(demands, true, new Random(seed));
      const randomFit = pack(demands, false, new Random(seed));
      totals.bestFitTargets += bestFit.targetCount;
      totals.randomFitTargets += randomFit.targetCount;
      totals.bestFitRefusals += bestFit.refusedCount;
      totals.randomFitRefusals += randomFit.refusedCount;
    }
    const createMeanFigure = (name: string, total: number, unit: string): Figure => ({
      name,
      value: total / ROUND_COUNT,
      unit,
    });
    return [
      createMeanFigure('lower bound', lowerBoundTotal, 'targets'),
      createMeanFigure('best fit', totals.bestFitTargets, 'targets'),
      createMeanFigure('best fit, refused', totals.bestFitRefusals, 'tasks'),
      createMeanFigure('baseline random fit', totals.randomFitTargets, 'targets'),
      createMeanFigure('baseline random fit, refused', totals.randomFitRefusals, 'tasks'),
      {
        name: 'best fit relative to the lower bound',
        value: totals.bestFitTargets / lowerBoundTotal,
        unit: 'times',
      },
    ];
  },
};
