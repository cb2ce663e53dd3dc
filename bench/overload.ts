/* eslint-disable max-classes-per-file -- the two servers that the benchmark compares */
/** Goodput of one scheduler under overload, compared with a queue without admission control. */

import { DeduplicationTable } from '../src/requests/deduplicationTable';
import { RequestTable } from '../src/requests/requestTable';
import type { RequestEffect } from '../src/requests/types';
import { TargetPool } from '../src/placement/targetPool';
import type { Target } from '../src/placement/types';
import { Random } from '../src/types/random';
import { toEpoch, toId } from '../src/types/ids';
import { VirtualTime } from '../tests/support/virtualTime';
import type { Bench, Figure } from './types';

const TARGET_COUNT = 8;
const SLOTS = 8;
const MEAN_SERVICE_MS = 40;
const WINDOW_MS = 400;
const DURATION_MS = 30_000;
const TICK_MS = 100;
const REPORT_MS = 1_000;
const LOADS = [0.5, 0.8, 1, 1.5, 2, 3];
const SEED = 5;

/** Accepts requests and counts those answered within their window. */
interface Server {
  readonly goodCount: number;
  arrive(index: number, serviceMs: number): void;
}

function createTarget(index: number): Target {
  return {
    targetId: toId(`t${index}`),
    shardId: toId('targets.a.0'),
    address: `t${index}`,
    dataCentreId: toId('a'),
    rack: 'r0',
    capacity: { cpuMillis: 1, memoryMb: 1, accelerators: 0, slots: SLOTS, connections: 64 },
    isLeaving: false,
  };
}

/** Runs the request table with targets that answer after the service time. */
class TableServer implements Server {
  goodCount = 0;

  #timeline: VirtualTime;

  #table: RequestTable;

  #serviceMs = new Map<number, number>();

  #deadlinesMs = new Map<number, number>();

  #runningIds = new Set<number>();

  #pool: TargetPool;

  constructor(timeline: VirtualTime) {
    this.#timeline = timeline;
    const pool = new TargetPool({
      getAllottedSlots: () => Number.POSITIVE_INFINITY,
      recordShortage: () => undefined,
    });
    this.#pool = pool;
    pool.updateTargets(Array.from({ length: TARGET_COUNT }, (_, index) => createTarget(index)));
    const permit = { epoch: toEpoch(1), untilMs: Number.POSITIVE_INFINITY };
    const queue = {
      queueId: toId<never>('q'),
      access: { kind: 'open' },
      urgency: 'normal',
    } as const;
    this.#table = new RequestTable({
      pool,
      deduplication: new DeduplicationTable(),
      nearDataCentreId: toId('a'),
      admission: { checkAdmission: () => queue },
      homeGuard: { getHomeUntilMs: () => Number.POSITIVE_INFINITY },
      guard: {
        tryGetPermit: () => permit,
        tryGetOwnerPermit: () => permit,
        getCandidates: () => pool.targets,
        getReplicas: () => [],
      },
    });
    this.#tick();
    this.#report();
  }

  arrive(callId: number, serviceMs: number): void {
    const { nowMs } = this.#timeline;
    this.#serviceMs.set(callId, serviceMs);
    this.#deadlinesMs.set(callId, nowMs + WINDOW_MS);
    const call = {
      kind: 'startRequest',
      requestId: toId<never>(`r${callId}`),
      cancelId: `c${callId}`,
      teamId: toId<never>('team-a'),
      keyId: toId<never>('key-team-a'),
      queueId: toId<never>('q'),
      serviceName: '',
      isIdempotent: true,
      windowRemainingMs: WINDOW_MS,
      contentType: '',
      bodyBase64: '',
    } as const;
    const queue = { queueId: call.queueId, access: { kind: 'open' }, urgency: 'normal' } as const;
    this.#perform(this.#table.start(nowMs, { callId, call, queue }));
  }

  #tick(): void {
    this.#perform(this.#table.tick(this.#timeline.nowMs));
    this.#timeline.after(TICK_MS, () => this.#tick());
  }

  /** A call that timed out may still run, so all targets report their running requests, as they do to their owner. */
  #report(): void {
    const { nowMs } = this.#timeline;
    const requests = [...this.#runningIds].map((callId) => ({
      requestId: toId<never>(`r${callId}`),
      teamId: toId<never>('team-a'),
    }));
    const report = {
      highestEpoch: toEpoch(1),
      leaving: false,
      requests,
      tasks: [],
    };
    this.#pool.targets.forEach((target) => {
      const owned = { target, report, sentMs: nowMs, isTakeover: false };
      this.#perform(this.#table.applyReport(nowMs, owned));
    });
    this.#timeline.after(REPORT_MS, () => this.#report());
  }

  #perform(effects: readonly RequestEffect[]): void {
    effects.forEach((effect) => {
      if (effect.kind === 'reply') {
        const deadlineMs = this.#deadlinesMs.get(effect.callId) ?? 0;
        const isGood = effect.outcome.kind === 'answered' && this.#timeline.nowMs <= deadlineMs;
        if (isGood) this.goodCount += 1;
      }
      if (effect.kind !== 'callTarget') return;
      const { origin, timeoutMs } = effect;
      const serviceMs = this.#serviceMs.get(origin.callId) ?? 0;
      this.#runningIds.add(origin.callId);
      this.#timeline.after(serviceMs, () => this.#runningIds.delete(origin.callId));
      this.#timeline.after(Math.min(serviceMs, timeoutMs), () => {
        const result =
          serviceMs > timeoutMs
            ? ({ kind: 'lost', detail: 'timeout' } as const)
            : ({
                kind: 'answer',
                requestId: toId<never>(`r${origin.callId}`),
                status: 200,
                contentType: '',
                bodyBase64: '',
              } as const);
        this.#perform(this.#table.applyTargetResult(this.#timeline.nowMs, origin, result));
      });
    });
  }
}

/** The baseline: first come, first served, without admission control or expiry. */
class FifoServer implements Server {
  goodCount = 0;

  #timeline: VirtualTime;

  #waiting: { readonly deadlineMs: number; readonly serviceMs: number }[] = [];

  #freeSlots = TARGET_COUNT * SLOTS;

  constructor(timeline: VirtualTime) {
    this.#timeline = timeline;
  }

  arrive(_callId: number, serviceMs: number): void {
    this.#waiting.push({ deadlineMs: this.#timeline.nowMs + WINDOW_MS, serviceMs });
    this.#startWaiting();
  }

  #startWaiting(): void {
    while (this.#freeSlots > 0) {
      const next = this.#waiting.shift();
      if (next === undefined) return;
      this.#freeSlots -= 1;
      this.#timeline.after(next.serviceMs, () => {
        this.#freeSlots += 1;
        if (this.#timeline.nowMs <= next.deadlineMs) this.goodCount += 1;
        this.#startWaiting();
      });
    }
  }
}

function measure(load: number, createServer: (timeline: VirtualTime) => Server): number {
  const random = new Random(SEED);
  const timeline = new VirtualTime();
  const server = createServer(timeline);
  const intervalMs = MEAN_SERVICE_MS / (TARGET_COUNT * SLOTS * load);
  const getExponential = (meanMs: number) => -meanMs * Math.log(1 - random.nextFraction());
  let callId = 0;
  const arrive = () => {
    callId += 1;
    server.arrive(callId, getExponential(MEAN_SERVICE_MS));
    timeline.after(getExponential(intervalMs), arrive);
  };
  arrive();
  timeline.runUntil(DURATION_MS);
  return (server.goodCount * 1_000) / DURATION_MS;
}

function measureAll(
  name: string,
  createServer: (timeline: VirtualTime) => Server,
): readonly Figure[] {
  const goodputs = LOADS.map((load) => measure(load, createServer));
  const lastFraction = (goodputs.at(-1) ?? 0) / Math.max(...goodputs);
  return [
    ...LOADS.map((load, index) => ({
      name: `${name}, goodput at ${load} times capacity`,
      value: goodputs[index] ?? 0,
      unit: 'requests/s',
    })),
    {
      name: `${name}, goodput at ${LOADS.at(-1)} times capacity relative to the peak`,
      value: lastFraction * 100,
      unit: '%',
    },
  ];
}

/** The `overload` benchmark. */
export const overload: Bench = {
  name: 'overload',
  describe: 'goodput above capacity, with admission control and with first come, first served',
  async run() {
    return [
      ...measureAll('with admission control', (timeline) => new TableServer(timeline)),
      ...measureAll('first come, first served', (timeline) => new FifoServer(timeline)),
    ];
  },
};
