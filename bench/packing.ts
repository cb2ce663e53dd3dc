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
import type { Bench, Figure } from './types';

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

type Choose = (pool: TargetPool, demand: ResourceVector, random: Random) => Target | undefined;

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

function chooseBestFit(pool: TargetPool): Choose {
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

const chooseRandomFit: Choose = (pool, demand, random) => {
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

interface Packed {
  readonly targetCount: number;
  readonly refusedCount: number;
}

function pack(demands: readonly ResourceVector[], isBestFit: boolean, random: Random): Packed {
  const pool = createPool();
  const choose = isBestFit ? chooseBestFit(pool) : chooseRandomFit;
  const used = new Set<string>();
  let refusedCount = 0;
  demands.forEach((demand) => {
    const target = choose(pool, demand, random);
    const charged = target && pool.tryCharge(target.targetId, TEAM_ID, demand);
    if (charged?.kind === 'charged') used.add(charged.charge.targetId);
    else refusedCount += 1;
  });
  return { targetCount: used.size, refusedCount };
}

/** The `packing` benchmark. */
export const packing: Bench = {
  name: 'packing',
  describe:
    'targets used by 120 tasks with declared demands, compared with random fit and a lower bound',
  async run() {
    let bound = 0;
    const totals = { best: 0, random: 0, bestRefused: 0, randomRefused: 0 };
    for (let seed = 1; seed <= ROUND_COUNT; seed += 1) {
      const demands = createDemands(new Random(seed));
      bound += getLowerBound(demands);
      const best = pack(demands, true, new Random(seed));
      const random = pack(demands, false, new Random(seed));
      totals.best += best.targetCount;
      totals.random += random.targetCount;
      totals.bestRefused += best.refusedCount;
      totals.randomRefused += random.refusedCount;
    }
    const perRound = (name: string, total: number, unit: string): Figure => ({
      name,
      value: total / ROUND_COUNT,
      unit,
    });
    return [
      perRound('lower bound', bound, 'targets'),
      perRound('best fit', totals.best, 'targets'),
      perRound('best fit, refused', totals.bestRefused, 'tasks'),
      perRound('baseline random fit', totals.random, 'targets'),
      perRound('baseline random fit, refused', totals.randomRefused, 'tasks'),
      {
        name: 'best fit relative to the lower bound',
        value: totals.best / bound,
        unit: 'times',
      },
    ];
  },
};
