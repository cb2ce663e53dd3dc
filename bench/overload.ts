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
import type { Benchmark, Figure } from './types';

const TARGET_COUNT = 8;
const SLOTS_PER_TARGET = 8;
const MEAN_SERVICE_MS = 40;
const WINDOW_MS = 400;
const DURATION_MS = 30_000;
const TICK_INTERVAL_MS = 100;
const REPORT_INTERVAL_MS = 1_000;
const LOAD_FACTORS = [0.5, 0.8, 1, 1.5, 2, 3];
const SEED = 5;

/** Accepts requests and counts those answered within their window. */
interface Server {
  readonly onTimeCount: number;
  arrive(index: number, serviceMs: number): void;
}

function createTarget(index: number): Target {
  return {
    targetId: toId(`t${index}`),
    shardId: toId('targets.a.0'),
    address: `t${index}`,
    dataCentreId: toId('a'),
    rack: 'r0',
    capacity: {
      cpuMillis: 1,
      memoryMb: 1,
      accelerators: 0,
      slots: SLOTS_PER_TARGET,
      connections: 64,
    },
    isLeaving: false,
  };
}

/** Runs the request table with targets that answer after the service time. */
class RequestTableServer implements Server {
  onTimeCount = 0;

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
    this.#applyReports();
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
    this.#timeline.after(TICK_INTERVAL_MS, () => this.#tick());
  }

  /** A call that timed out may still run, so all targets report their running requests, as they do to their owner. */
  #applyReports(): void {
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
      const targetReport = { target, report, sentMs: nowMs, isTakeover: false };
      this.#perform(this.#table.applyReport(nowMs, targetReport));
    });
    this.#timeline.after(REPORT_INTERVAL_MS, () => this.#applyReports());
  }

  #perform(effects: readonly RequestEffect[]): void {
    effects.forEach((effect) => {
      if (effect.kind === 'reply') {
        const deadlineMs = this.#deadlinesMs.get(effect.callId) ?? 0;
        const isOnTime = effect.outcome.kind === 'answered' && this.#timeline.nowMs <= deadlineMs;
        if (isOnTime) this.onTimeCount += 1;
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
  onTimeCount = 0;

  #timeline: VirtualTime;

  #queue: { readonly deadlineMs: number; readonly serviceMs: number }[] = [];

  #freeSlots = TARGET_COUNT * SLOTS_PER_TARGET;

  constructor(timeline: VirtualTime) {
    this.#timeline = timeline;
  }

  arrive(_callId: number, serviceMs: number): void {
    this.#queue.push({ deadlineMs: this.#timeline.nowMs + WINDOW_MS, serviceMs });
    this.#startQueued();
  }

  #startQueued(): void {
    while (this.#freeSlots > 0) {
      const next = this.#queue.shift();
      if (next === undefined) return;
      this.#freeSlots -= 1;
      this.#timeline.after(next.serviceMs, () => {
        this.#freeSlots += 1;
        if (this.#timeline.nowMs <= next.deadlineMs) this.onTimeCount += 1;
        this.#startQueued();
      });
    }
  }
}

function measure(loadFactor: number, createServer: (timeline: VirtualTime) => Server): number {
  const random = new Random(SEED);
  const timeline = new VirtualTime();
  const server = createServer(timeline);
  const meanIntervalMs = MEAN_SERVICE_MS / (TARGET_COUNT * SLOTS_PER_TARGET * loadFactor);
  const drawExponential = (meanMs: number) => -meanMs * Math.log(1 - random.nextFraction());
  let callId = 0;
  const arrive = () => {
    callId += 1;
    server.arrive(callId, drawExponential(MEAN_SERVICE_MS));
    timeline.after(drawExponential(meanIntervalMs), arrive);
  };
  arrive();
  timeline.runUntil(DURATION_MS);
  return (server.onTimeCount * 1_000) / DURATION_MS;
}

function measureAll(
  name: string,
  createServer: (timeline: VirtualTime) => Server,
): readonly Figure[] {
  const goodputs = LOAD_FACTORS.map((loadFactor) => measure(loadFactor, createServer));
  const fractionOfPeak = (goodputs.at(-1) ?? 0) / Math.max(...goodputs);
  return [
    ...LOAD_FACTORS.map((loadFactor, index) => ({
      name: `${name}, goodput at ${loadFactor} times capacity`,
      value: goodputs[index] ?? 0,
      unit: 'requests/s',
    })),
    {
      name: `${name}, goodput at ${LOAD_FACTORS.at(-1)} times capacity relative to the peak`,
      value: fractionOfPeak * 100,
      unit: '%',
    },
  ];
}

/** The `overload` benchmark. */
export const overload: Benchmark = {
  name: 'overload',
  description: 'goodput above capacity, with admission control and with first come, first served',
  async run() {
    return [
      ...measureAll('with admission control', (timeline) => new RequestTableServer(timeline)),
      ...measureAll('first come, first served', (timeline) => new FifoServer(timeline)),
    ];
  },
};
