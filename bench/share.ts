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
import type { Bench, Figure } from './types';

const SCHEDULER_COUNT = 3;
const TARGETS_PER_SCHEDULER = 10;
const SLOTS_PER_TARGET = 8;
const FULL_MS = 10_000;
const MEASURE_MS = 5_000;
const STEP_MS = 10;
const HEARTBEAT_MS = 1_000;
const TICK_MS = 100;
const MIN_SERVICE_MS = 40;
const SERVICE_SPAN_MS = 160;
const WINDOW_MS = 4_000;
const SEED = 3;
const PERCENT = 100;
const VERSION = toConfigVersion(1);
const QUEUE: Queue = { queueId: toId('queue'), access: { kind: 'open' }, urgency: 'normal' };

/** A team and the number of requests that it keeps open at each scheduler. */
interface Load {
  readonly team: Team;
  readonly openCounts: readonly number[];
}

/** Two teams with large demand, three with smaller demand still above their share, and one below its share. */
const LOADS: readonly Load[] = [
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
  readonly openCounts: Map<string, number>;
}

interface Running {
  readonly scheduler: Scheduler;
  readonly effect: Extract<RequestEffect, { kind: 'callTarget' }>;
  readonly endMs: number;
}

function createTargets(index: number): readonly Target[] {
  return Array.from({ length: SCHEDULER_COUNT * TARGETS_PER_SCHEDULER }, (_, target) => ({
    targetId: toId<Target['targetId']>(`t${target}`),
    shardId: toId<Target['shardId']>(`s${target % SCHEDULER_COUNT}`),
    address: `t${target}`,
    dataCentreId: toId<Target['dataCentreId']>(`d${target % SCHEDULER_COUNT}`),
    rack: 'r',
    capacity: {
      cpuMillis: 64_000,
      memoryMb: 131_072,
      accelerators: 0,
      slots: SLOTS_PER_TARGET,
      connections: 64,
    },
    isLeaving: target % SCHEDULER_COUNT !== index,
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
    LOADS.map((load) => load.team),
    VERSION,
  );
  const guard: StartGuard = {
    tryGetPermit: (target) =>
      target.isLeaving ? undefined : { epoch: toEpoch(1), untilMs: Number.MAX_SAFE_INTEGER },
    tryGetOwnerPermit: () => undefined,
    getCandidates: () => pool.targets,
    getReplicas: () => [],
  };
  const firstCome: TeamOrder = { getPriority: () => 0 };
  const requests = new RequestTable({
    pool,
    guard,
    admission: { checkAdmission: () => QUEUE },
    homeGuard: { getHomeUntilMs: () => Number.MAX_SAFE_INTEGER },
    deduplication: new DeduplicationTable(),
    nearDataCentreId: toId(`d${index}`),
    teamOrder: isFair ? shares : firstCome,
  });
  return { index, pool, shares, requests, openCounts: new Map() };
}

/** Computes the weighted max-min fair shares by progressive filling, as fractions of all slots. */
function getEntitled(slots: number): readonly number[] {
  const wanted = LOADS.map((load) => load.openCounts.reduce((sum, count) => sum + count, 0));
  const entitled = LOADS.map(() => 0);
  let left = slots;
  let open = LOADS.map((_, index) => index);
  while (left > 1e-9 && open.length > 0) {
    const weight = open.reduce((sum, index) => sum + (LOADS[index]?.team.shareWeight ?? 0), 0);
    const level = left / weight;
    let given = 0;
    open.forEach((index) => {
      const most = level * (LOADS[index]?.team.shareWeight ?? 0);
      const more = Math.min(most, (wanted[index] ?? 0) - (entitled[index] ?? 0));
      entitled[index] = (entitled[index] ?? 0) + more;
      given += more;
    });
    left -= given;
    open = open.filter((index) => (wanted[index] ?? 0) - (entitled[index] ?? 0) > 1e-9);
  }
  return entitled.map((amount) => amount / slots);
}

function run(isFair: boolean): readonly number[] {
  const random = new Random(SEED);
  const schedulers = Array.from({ length: SCHEDULER_COUNT }, (_, index) =>
    createScheduler(index, isFair),
  );
  const teamsByCall = new Map<number, string>();
  let running: Running[] = [];
  let nextCallId = 1;
  let reports: readonly string[] = [];
  const usedSlotMs = LOADS.map(() => 0);
  const apply = (scheduler: Scheduler, nowMs: number, effects: readonly RequestEffect[]) => {
    effects.forEach((effect) => {
      if (effect.kind === 'callTarget') {
        const endMs = nowMs + MIN_SERVICE_MS + random.nextInt(SERVICE_SPAN_MS);
        running.push({ scheduler, effect, endMs });
      } else if (effect.kind === 'reply') {
        const teamId = teamsByCall.get(effect.callId) ?? '';
        teamsByCall.delete(effect.callId);
        scheduler.openCounts.set(teamId, (scheduler.openCounts.get(teamId) ?? 1) - 1);
      }
    });
  };
  const submit = (scheduler: Scheduler, nowMs: number, { teamId }: Team) => {
    const callId = nextCallId;
    nextCallId += 1;
    teamsByCall.set(callId, teamId);
    scheduler.openCounts.set(teamId, (scheduler.openCounts.get(teamId) ?? 0) + 1);
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
  for (let nowMs = 0; nowMs < FULL_MS + MEASURE_MS; nowMs += STEP_MS) {
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
    if (nowMs % HEARTBEAT_MS === 0) {
      reports = schedulers.map(({ shares }) => shares.createReport());
    }
    if (nowMs % TICK_MS === 0) {
      const heard = reports;
      schedulers.forEach(({ index, shares }) => {
        const others = heard.filter((_, other) => other !== index);
        shares.updateReports(others.map((teamShares) => ({ configVersion: VERSION, teamShares })));
      });
    }
    schedulers.forEach((scheduler) => {
      // The teams with the largest demand submit first, as in a burst.
      LOADS.forEach(({ team, openCounts }) => {
        const wanted = openCounts[scheduler.index] ?? 0;
        const missing = wanted - (scheduler.openCounts.get(team.teamId) ?? 0);
        for (let count = 0; count < missing; count += 1) submit(scheduler, nowMs, team);
      });
      apply(scheduler, nowMs, scheduler.requests.tick(nowMs));
    });
    if (nowMs >= FULL_MS) {
      running.forEach(({ effect }) => {
        if (effect.call.kind !== 'request') return;
        const { teamId } = effect.call;
        const index = LOADS.findIndex((load) => load.team.teamId === teamId);
        usedSlotMs[index] = (usedSlotMs[index] ?? 0) + STEP_MS;
      });
    }
  }
  const slots = SCHEDULER_COUNT * TARGETS_PER_SCHEDULER * SLOTS_PER_TARGET;
  return usedSlotMs.map((slotMs) => slotMs / (slots * MEASURE_MS));
}

function measure(name: string, isFair: boolean): readonly Figure[] {
  const slots = SCHEDULER_COUNT * TARGETS_PER_SCHEDULER * SLOTS_PER_TARGET;
  const entitled = getEntitled(slots);
  const used = run(isFair);
  const distances = used.map((share, index) => Math.abs(share - (entitled[index] ?? 0)));
  return [
    ...used.flatMap((share, index): readonly Figure[] => [
      { name: `${name}, team ${index}, share`, value: share * PERCENT, unit: '%' },
      {
        name: `${name}, team ${index}, entitled`,
        value: (entitled[index] ?? 0) * PERCENT,
        unit: '%',
      },
    ]),
    {
      name: `${name}, largest deviation`,
      value: Math.max(...distances) * PERCENT,
      unit: '% of the fleet',
    },
  ];
}

/** The `share` benchmark. */
export const share: Bench = {
  name: 'share',
  describe: 'largest deviation of a team from its entitled share of a fully used fleet',
  async run() {
    return [...measure('fair', true), ...measure('baseline first come, first served', false)];
  },
};
