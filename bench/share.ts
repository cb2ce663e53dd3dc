/** Deviation of each team from its entitled share of a fully used fleet, in the request reducers. */

import type { Queue, Team } from '../src/config/types';
import { FairShare } from '../src/placement/fairShare';
import { TargetPool } from '../src/placement/targetPool';
import type { Target } from '../src/placement/types';
import { DeduplicationTable } from '../src/requests/deduplicationTable';
import { RequestTable } from '../src/requests/requestTable';
import type { RequestEffect, StartGuard, TeamOrder } from '../src/requests/types';
import { toConfigVersion, toEpoch, toId } from '../src/types/ids';
import { Random } from '../src/types/random';
import type { Benchmark, Figure } from './types';

const SCHEDULER_COUNT = 3;
const TARGETS_PER_SCHEDULER = 10;
const SLOTS_PER_TARGET = 8;
const WARM_UP_MS = 10_000;
const MEASURE_MS = 5_000;
const STEP_MS = 10;
const HEARTBEAT_INTERVAL_MS = 1_000;
const TICK_INTERVAL_MS = 100;
const MIN_SERVICE_MS = 40;
const SERVICE_SPREAD_MS = 160;
const WINDOW_MS = 4_000;
const SEED = 3;
const PERCENT = 100;
const VERSION = toConfigVersion(1);
const QUEUE: Queue = { queueId: toId('queue'), access: { kind: 'open' }, urgency: 'normal' };

/** A team and the number of requests that it keeps open at each scheduler. */
interface TeamLoad {
  readonly team: Team;
  readonly openCounts: readonly number[];
}

/** Two teams with large demand, three with smaller demand still above their share, and one below its share. */
const TEAM_LOADS: readonly TeamLoad[] = [
  { weight: 2, openCounts: [150, 150, 150] },
  { weight: 1, openCounts: [200, 200, 200] },
  { weight: 1, openCounts: [60, 0, 60] },
  { weight: 1, openCounts: [20, 90, 0] },
  { weight: 1, openCounts: [40, 40, 40] },
  { weight: 1, openCounts: [4, 4, 4] },
].map(({ weight, openCounts }, index) => ({
  team: { teamId: toId(`team-${index}`), shareWeight: weight, limitSlots: 1_000 },
  openCounts,
}));

interface Scheduler {
  readonly index: number;
  readonly pool: TargetPool;
  readonly shares: FairShare;
  readonly requests: RequestTable;
  readonly openCountByTeam: Map<string, number>;
}

interface RunningRequest {
  readonly scheduler: Scheduler;
  readonly effect: Extract<RequestEffect, { kind: 'callTarget' }>;
  readonly endMs: number;
}

function createTargets(schedulerIndex: number): readonly Target[] {
  return Array.from({ length: SCHEDULER_COUNT * TARGETS_PER_SCHEDULER }, (_, targetIndex) => ({
    targetId: toId<Target['targetId']>(`t${targetIndex}`),
    shardId: toId<Target['shardId']>(`s${targetIndex % SCHEDULER_COUNT}`),
    address: `t${targetIndex}`,
    dataCentreId: toId<Target['dataCentreId']>(`d${targetIndex % SCHEDULER_COUNT}`),
    rack: 'r',
    capacity: {
      cpuMillis: 64_000,
      memoryMb: 131_072,
      accelerators: 0,
      slots: SLOTS_PER_TARGET,
      connections: 64,
    },
    isLeaving: targetIndex % SCHEDULER_COUNT !== schedulerIndex,
  }));
}

function createScheduler(index: number, isFair: boolean): Scheduler {
  const pool = new TargetPool({
    getAllottedSlots: () => Number.MAX_SAFE_INTEGER,
    recordShortage: () => undefined,
  });
  pool.updateTargets(createTargets(index));
  const shares = new FairShare(pool);
  shares.updateConfig(
    TEAM_LOADS.map((load) => load.team),
    VERSION,
  );
  const guard: StartGuard = {
    tryGetPermit: (target) =>
      target.isLeaving ? undefined : { epoch: toEpoch(1), untilMs: Number.MAX_SAFE_INTEGER },
    tryGetOwnerPermit: () => undefined,
    getCandidates: () => pool.targets,
    getReplicas: () => [],
  };
  const arrivalOrder: TeamOrder = { getPriority: () => 0 };
  const requests = new RequestTable({
    pool,
    guard,
    admission: { checkAdmission: () => QUEUE },
    homeGuard: { getHomeUntilMs: () => Number.MAX_SAFE_INTEGER },
    deduplication: new DeduplicationTable(),
    nearDataCentreId: toId(`d${index}`),
    teamOrder: isFair ? shares : arrivalOrder,
  });
  return { index, pool, shares, requests, openCountByTeam: new Map() };
}

/** Computes the weighted max-min fair shares by progressive filling, as fractions of all slots. */
function getEntitledShares(totalSlots: number): readonly number[] {
  const requestedSlots = TEAM_LOADS.map((load) =>
    load.openCounts.reduce((sum, count) => sum + count, 0),
  );
  const entitledSlots = TEAM_LOADS.map(() => 0);
  let remainingSlots = totalSlots;
  let unsatisfied = TEAM_LOADS.map((_, index) => index);
  while (remainingSlots > 1e-9 && unsatisfied.length > 0) {
    const weight = unsatisfied.reduce(
      (sum, index) => sum + (TEAM_LOADS[index]?.team.shareWeight ?? 0),
      0,
    );
    const slotsPerWeight = remainingSlots / weight;
    let allottedSlots = 0;
    unsatisfied.forEach((index) => {
      const fairSlots = slotsPerWeight * (TEAM_LOADS[index]?.team.shareWeight ?? 0);
      const addedSlots = Math.min(
        fairSlots,
        (requestedSlots[index] ?? 0) - (entitledSlots[index] ?? 0),
      );
      entitledSlots[index] = (entitledSlots[index] ?? 0) + addedSlots;
      allottedSlots += addedSlots;
    });
    remainingSlots -= allottedSlots;
    unsatisfied = unsatisfied.filter(
      (index) => (requestedSlots[index] ?? 0) - (entitledSlots[index] ?? 0) > 1e-9,
    );
  }
  return entitledSlots.map((teamSlots) => teamSlots / totalSlots);
}

function simulate(isFair: boolean): readonly number[] {
  const random = new Random(SEED);
  const schedulers = Array.from({ length: SCHEDULER_COUNT }, (_, index) =>
    createScheduler(index, isFair),
  );
  const teamIdByCallId = new Map<number, string>();
  let running: RunningRequest[] = [];
  let nextCallId = 1;
  let reports: readonly string[] = [];
  const usedSlotMs = TEAM_LOADS.map(() => 0);
  const apply = (scheduler: Scheduler, nowMs: number, effects: readonly RequestEffect[]) => {
    effects.forEach((effect) => {
      if (effect.kind === 'callTarget') {
        const endMs = nowMs + MIN_SERVICE_MS + random.nextInt(SERVICE_SPREAD_MS);
        running.push({ scheduler, effect, endMs });
      } else if (effect.kind === 'reply') {
        const teamId = teamIdByCallId.get(effect.callId) ?? '';
        teamIdByCallId.delete(effect.callId);
        scheduler.openCountByTeam.set(teamId, (scheduler.openCountByTeam.get(teamId) ?? 1) - 1);
      }
    });
  };
  const submit = (scheduler: Scheduler, nowMs: number, { teamId }: Team) => {
    const callId = nextCallId;
    nextCallId += 1;
    teamIdByCallId.set(callId, teamId);
    scheduler.openCountByTeam.set(teamId, (scheduler.openCountByTeam.get(teamId) ?? 0) + 1);
    const call = {
      kind: 'startRequest',
      requestId: toId<never>(`r${callId}`),
      cancelId: `r${callId}`,
      teamId,
      keyId: toId<never>('key'),
      queueId: toId<never>('queue'),
      serviceName: '',
      isIdempotent: true,
      windowRemainingMs: WINDOW_MS,
      contentType: 'text/plain',
      bodyBase64: '',
    } as const;
    apply(scheduler, nowMs, scheduler.requests.start(nowMs, { callId, call, queue: QUEUE }));
  };
  for (let nowMs = 0; nowMs < WARM_UP_MS + MEASURE_MS; nowMs += STEP_MS) {
    const ended = running.filter(({ endMs }) => endMs <= nowMs);
    running = running.filter(({ endMs }) => endMs > nowMs);
    ended.forEach(({ scheduler, effect }) => {
      const { origin, call } = effect;
      if (call.kind !== 'request') return;
      const { requestId } = call;
      const result = { kind: 'answer', requestId, status: 200, contentType: '', bodyBase64: '' };
      const answer = { ...result, kind: 'answer' } as const;
      apply(scheduler, nowMs, scheduler.requests.applyTargetResult(nowMs, origin, answer));
    });
    if (nowMs % HEARTBEAT_INTERVAL_MS === 0) {
      reports = schedulers.map(({ shares }) => shares.createReport());
    }
    if (nowMs % TICK_INTERVAL_MS === 0) {
      const receivedReports = reports;
      schedulers.forEach(({ index, shares }) => {
        const otherReports = receivedReports.filter((_, reportIndex) => reportIndex !== index);
        shares.updateReports(
          otherReports.map((teamShares) => ({ configVersion: VERSION, teamShares })),
        );
      });
    }
    schedulers.forEach((scheduler) => {
      // The teams with the largest demand submit first, as in a burst.
      TEAM_LOADS.forEach(({ team, openCounts }) => {
        const desiredCount = openCounts[scheduler.index] ?? 0;
        const missingCount = desiredCount - (scheduler.openCountByTeam.get(team.teamId) ?? 0);
        for (let count = 0; count < missingCount; count += 1) submit(scheduler, nowMs, team);
      });
      apply(scheduler, nowMs, scheduler.requests.tick(nowMs));
    });
    if (nowMs >= WARM_UP_MS) {
      running.forEach(({ effect }) => {
        if (effect.call.kind !== 'request') return;
        const { teamId } = effect.call;
        const index = TEAM_LOADS.findIndex((load) => load.team.teamId === teamId);
        usedSlotMs[index] = (usedSlotMs[index] ?? 0) + STEP_MS;
      });
    }
  }
  const totalSlots = SCHEDULER_COUNT * TARGETS_PER_SCHEDULER * SLOTS_PER_TARGET;
  return usedSlotMs.map((slotMs) => slotMs / (totalSlots * MEASURE_MS));
}

function measure(name: string, isFair: boolean): readonly Figure[] {
  const totalSlots = SCHEDULER_COUNT * TARGETS_PER_SCHEDULER * SLOTS_PER_TARGET;
  const entitledShares = getEntitledShares(totalSlots);
  const usedShares = simulate(isFair);
  const deviations = usedShares.map((share, index) =>
    Math.abs(share - (entitledShares[index] ?? 0)),
  );
  return [
    ...usedShares.flatMap((share, index): readonly Figure[] => [
      { name: `${name}, team ${index}, share`, value: share * PERCENT, unit: '%' },
      {
        name: `${name}, team ${index}, entitled`,
        value: (entitledShares[index] ?? 0) * PERCENT,
        unit: '%',
      },
    ]),
    {
      name: `${name}, largest deviation`,
      value: Math.max(...deviations) * PERCENT,
      unit: '% of the fleet',
    },
  ];
}

/** The `share` benchmark. */
export const share: Benchmark = {
  name: 'share',
  description: 'largest deviation of a team from its entitled share of a fully used fleet',
  async run() {
    return [...measure('fair', true), ...measure('baseline first come, first served', false)];
  },
};
