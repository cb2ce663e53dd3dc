/** Time per placement decision in the task and request reducers, at three fleet sizes. */

import type { Queue } from '../src/config/types';
import { BestFit } from '../src/placement/bestFit';
import type { TaskPlacement } from '../src/placement/bestFit';
import { TargetPool } from '../src/placement/targetPool';
import type { Charge, AllotmentSource, Target } from '../src/placement/types';
import { DeduplicationTable } from '../src/requests/deduplicationTable';
import { RequestTable } from '../src/requests/requestTable';
import type { ArrivedRequest, StartGuard } from '../src/requests/types';
import { toEpoch, toId } from '../src/types/ids';
import type { RequestId } from '../src/types/ids';
import { Random } from '../src/types/random';
import { addResources, getDominantFraction, isFitting } from '../src/types/resources';
import type { ResourceVector } from '../src/types/resources';
import type { Benchmark, Figure } from './types';

const TARGET_COUNTS = [30, 300, 920];
const TEAM_COUNT = 44;
const TASK_COUNT_AT_920_TARGETS = 4_300;
const WARM_UP_COUNT = 20_000;
const DECISION_COUNT = 40_000;
const DATA_CENTRE_COUNT = 8;
const SHARDS_PER_DATA_CENTRE = 4;
const SEED = 7;
const NS_PER_US = 1_000;
const NS_PER_SECOND = 1_000_000_000;

const UNLIMITED: AllotmentSource = {
  getAllottedSlots: () => Number.MAX_SAFE_INTEGER,
  recordShortage: () => undefined,
};

const QUEUE: Queue = { queueId: toId('queue'), access: { kind: 'open' }, urgency: 'normal' };

interface Fleet {
  readonly pool: TargetPool;
  readonly guard: StartGuard;
  readonly bestFit: BestFit;
  readonly requests: RequestTable;
  readonly random: Random;
  nextId: number;
}

function createTarget(index: number): Target {
  const dataCentre = index % DATA_CENTRE_COUNT;
  const shard = Math.floor(index / DATA_CENTRE_COUNT) % SHARDS_PER_DATA_CENTRE;
  return {
    targetId: toId(`t${index}`),
    shardId: toId(`targets.dc${dataCentre}.${shard}`),
    address: `t${index}`,
    dataCentreId: toId(`dc${dataCentre}`),
    rack: `rack-${dataCentre}-${Math.floor(index / 48)}`,
    capacity: {
      cpuMillis: 64_000,
      memoryMb: 131_072,
      accelerators: index % 4 === 0 ? 8 : 0,
      slots: 8,
      connections: 64,
    },
    isLeaving: false,
  };
}

function createFleet(targetCount: number): Fleet {
  const targets = Array.from({ length: targetCount }, (_, index) => createTarget(index));
  const pool = new TargetPool(UNLIMITED);
  pool.updateTargets(targets);
  const guard: StartGuard = {
    tryGetPermit: () => ({ epoch: toEpoch(1), untilMs: Number.MAX_SAFE_INTEGER }),
    tryGetOwnerPermit: () => undefined,
    getCandidates: () => pool.targets,
    getReplicas: () => [],
  };
  const bestFit = new BestFit(pool, guard);
  const requests = new RequestTable({
    pool,
    guard,
    admission: { checkAdmission: () => QUEUE },
    homeGuard: { getHomeUntilMs: () => Number.MAX_SAFE_INTEGER },
    deduplication: new DeduplicationTable(),
    nearDataCentreId: toId('dc0'),
  });
  return { pool, guard, bestFit, requests, random: new Random(SEED), nextId: 0 };
}

/** Creates a task that its home has assigned to the shard of a random target. */
function createPlacement({ random, pool }: Fleet): TaskPlacement {
  const target = pool.targets[random.nextInt(pool.targets.length)];
  return {
    nowMs: 0,
    shardId: target?.shardId ?? toId(''),
    teamId: toId(`team-${random.nextInt(TEAM_COUNT)}`),
    demand: {
      cpuMillis: 1_000 + random.nextInt(8_000),
      memoryMb: 1_024 + random.nextInt(16_384),
      accelerators: 0,
      slots: 1,
      connections: 0,
    },
    usedRacks: [],
  };
}

function tryPlace({ bestFit, pool }: Fleet, placement: TaskPlacement): Charge | undefined {
  const target = bestFit.tryGetTarget(placement);
  const { teamId, demand } = placement;
  const chargeResult = target && pool.tryCharge(target.targetId, teamId, demand);
  return chargeResult?.kind === 'charged' ? chargeResult.charge : undefined;
}

/** Starts tasks up to the number that the design size of 4,300 tasks on 920 targets gives in proportion. */
function fillFleet(fleet: Fleet, targetCount: number): readonly Charge[] {
  const taskCount = Math.round((TASK_COUNT_AT_920_TARGETS * targetCount) / 920);
  const charges: Charge[] = [];
  for (let attempt = 0; charges.length < taskCount && attempt < 10 * taskCount; attempt += 1) {
    const charge = tryPlace(fleet, createPlacement(fleet));
    if (charge !== undefined) charges.push(charge);
  }
  return charges;
}

/** Each step ends one task, then places and charges another; only the placement is timed. */
function createTaskStep(fleet: Fleet, targetCount: number): () => number {
  const running = [...fillFleet(fleet, targetCount)];
  return () => {
    const ended = running.shift();
    if (ended !== undefined) fleet.pool.release(ended);
    const placement = createPlacement(fleet);
    const startNs = process.hrtime.bigint();
    const charge = tryPlace(fleet, placement);
    const elapsedNs = Number(process.hrtime.bigint() - startNs);
    if (charge !== undefined) running.push(charge);
    return elapsedNs;
  };
}

/** The baseline: a scan of every target per task, as in the first version of the scheduler. */
function findByFullScan(fleet: Fleet, demand: ResourceVector): Target | undefined {
  let best: Target | undefined;
  let bestFraction = -1;
  fleet.pool.targets.forEach((target) => {
    const free = fleet.pool.getFree(target.targetId);
    if (!isFitting(demand, free) || fleet.guard.tryGetPermit(target, 0) === undefined) return;
    const used = addResources(target.capacity, free, -1);
    const fraction = getDominantFraction(used, target.capacity);
    if (fraction <= bestFraction) return;
    best = target;
    bestFraction = fraction;
  });
  return best;
}

function createScanStep(fleet: Fleet, targetCount: number): () => number {
  fillFleet(fleet, targetCount);
  return () => {
    const { teamId, demand } = createPlacement(fleet);
    const startNs = process.hrtime.bigint();
    const target = findByFullScan(fleet, demand);
    const chargeResult = target && fleet.pool.tryCharge(target.targetId, teamId, demand);
    const elapsedNs = Number(process.hrtime.bigint() - startNs);
    if (chargeResult?.kind === 'charged') fleet.pool.release(chargeResult.charge);
    return elapsedNs;
  };
}

function createRequestStep(fleet: Fleet, targetCount: number): () => number {
  fillFleet(fleet, targetCount);
  return () => {
    fleet.nextId += 1;
    const requestId = toId<RequestId>(`r-${fleet.nextId}`);
    const arrived: ArrivedRequest = {
      callId: fleet.nextId,
      call: {
        kind: 'startRequest',
        requestId,
        cancelId: requestId,
        teamId: toId(`team-${fleet.random.nextInt(TEAM_COUNT)}`),
        keyId: toId('key'),
        queueId: toId('queue'),
        serviceName: '',
        isIdempotent: true,
        windowRemainingMs: 1_000,
        contentType: 'text/plain',
        bodyBase64: '',
      },
      queue: QUEUE,
    };
    const startNs = process.hrtime.bigint();
    fleet.requests.start(0, arrived);
    const elapsedNs = Number(process.hrtime.bigint() - startNs);
    const origin = { kind: 'request', callId: arrived.callId, attempt: 1 } as const;
    const result = { kind: 'answer', requestId } as const;
    fleet.requests.applyTargetResult(0, origin, {
      ...result,
      status: 200,
      contentType: '',
      bodyBase64: '',
    });
    return elapsedNs;
  };
}

function measure(name: string, step: () => number): readonly Figure[] {
  for (let count = 0; count < WARM_UP_COUNT; count += 1) step();
  const durationsNs = Float64Array.from({ length: DECISION_COUNT }, () => step()).sort();
  const getQuantileUs = (fraction: number) =>
    (durationsNs[Math.floor(fraction * durationsNs.length)] ?? 0) / NS_PER_US;
  const totalNs = durationsNs.reduce((sum, durationNs) => sum + durationNs, 0);
  const perSecond = (DECISION_COUNT * NS_PER_SECOND) / totalNs;
  return [
    { name: `${name}, p50`, value: getQuantileUs(0.5), unit: 'us' },
    { name: `${name}, p99`, value: getQuantileUs(0.99), unit: 'us' },
    { name: `${name}, starts on one core`, value: perSecond, unit: '1/s' },
  ];
}

/** The `decision` benchmark. */
export const decision: Benchmark = {
  name: 'decision',
  description: 'time per placement decision, compared with a scan of every target',
  async run() {
    return TARGET_COUNTS.flatMap((count) => [
      ...measure(`task, ${count} targets`, createTaskStep(createFleet(count), count)),
      ...measure(`request, ${count} targets`, createRequestStep(createFleet(count), count)),
      ...measure(`baseline full scan, ${count} targets`, createScanStep(createFleet(count), count)),
    ]);
  },
};
