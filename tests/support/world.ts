/** Runs the reducers of several schedulers against one fake platform and fake targets, in virtual time. */

import { Heap } from 'heap-js';
import { SchedulerCore } from '../../src/scheduler/core';
import type { SchedulerEffect, SchedulerEvent } from '../../src/scheduler/types';
import type { SchedulerSettings } from '../../src/config/settings';
import type { PlatformResult, Vm } from '../../src/platform/types';
import type { RpcResult, SchedulerCall } from '../../src/rpc/types';
import type { TargetCall, TargetResult } from '../../src/target/types';
import { Random } from '../../src/types/random';
import { toId, toMemberId } from '../../src/types/ids';
import type { SchedulerId } from '../../src/types/ids';
import type { ResourceVector } from '../../src/types/resources';
import { FakePlatform } from '../../standins/fakePlatform';
import { TargetModel } from '../../standins/targetModel';

const TICK_MS = 100;
const MAX_LATENCY_MS = 5;
const PEER_TIMEOUT_MS = 900;
const PLATFORM_TIMEOUT_MS = 800;

interface Pending {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

function comparePending(left: Pending, right: Pending): number {
  return left.atMs - right.atMs || left.order - right.order;
}

/** One scheduler process of the world. */
export interface Process {
  readonly index: number;
  readonly address: string;
  core: SchedulerCore;
  generation: number;
  isDown: boolean;
  pausedUntilMs: number;
  isCutFromPlatform: boolean;
  /** How far its wall clock is ahead of true time. */
  wallErrorMs: number;
  readonly cutPeers: Set<string>;
}

type EventListener = (
  process: Process,
  event: SchedulerEvent,
  effects: readonly SchedulerEffect[],
) => void;

/** What a world is made of. */
export interface WorldPlan {
  readonly seed: number;
  readonly memberCount: number;
  readonly dataCentreIds: readonly string[];
  readonly targetsPerDataCentre: number;
  readonly capacity: ResourceVector;
}

/** What becomes of an answer: it arrives, its connection breaks, or nothing comes at all. */
export type AnswerFault = 'none' | 'reset' | 'silent';

/** A request's run on a target, for checks of doubled or lost work. */
export interface RequestRun {
  readonly requestId: string;
  readonly teamId: string;
  readonly address: string;
  readonly atMs: number;
}

/** Virtual time, messages and faults. */
export class World {
  readonly store = new FakePlatform();

  readonly targets = new Map<string, TargetModel>();

  readonly processes: Process[] = [];

  readonly requestRuns: RequestRun[] = [];

  readonly random: Random;

  nowMs = 0;

  /** Effects of every reducer so far, the events of a soak run. */
  eventCount = 0;

  /** What becomes of the answer of each request that ran. */
  answerFault: AnswerFault = 'none';

  /** Called after every event with the process that it changed. */
  onEvent: EventListener | undefined;

  #plan: WorldPlan;

  #queue = new Heap<Pending>(comparePending);

  #order = 0;

  #calls = new Map<string, (value: unknown) => void>();

  #nextCallId = 1;

  constructor(plan: WorldPlan) {
    this.#plan = plan;
    this.random = new Random(plan.seed);
    this.store.setVms(this.#createVms());
    for (let index = 0; index < plan.memberCount; index += 1) this.#addProcess(index);
  }

  /** Lets virtual time pass. */
  runUntil(untilMs: number): void {
    for (;;) {
      const next = this.#takeNext(untilMs);
      if (next === undefined) break;
      this.nowMs = Math.max(this.nowMs, next.atMs);
      next.run();
    }
    this.nowMs = untilMs;
  }

  runFor(durationMs: number): void {
    this.runUntil(this.nowMs + durationMs);
  }

  /** Sends a call to a scheduler; the reply goes to the callback, nothing when the process dies. */
  call(index: number, call: SchedulerCall, onReply: (value: unknown) => void): void {
    const process = this.#getProcess(index);
    this.#deliverCall(process, call, onReply);
  }

  kill(index: number): void {
    const process = this.#getProcess(index);
    process.isDown = true;
    process.generation += 1;
  }

  restart(index: number): void {
    const process = this.#getProcess(index);
    process.isDown = false;
    process.generation += 1;
    process.pausedUntilMs = 0;
    process.core = this.#createCore(index, process.generation);
    this.#scheduleTick(process);
  }

  pause(index: number, durationMs: number): void {
    this.#getProcess(index).pausedUntilMs = this.nowMs + durationMs;
  }

  setPlatformCut(index: number, isCut: boolean): void {
    this.#getProcess(index).isCutFromPlatform = isCut;
  }

  setPeerCut(left: number, right: number, isCut: boolean): void {
    const [one, other] = [this.#getProcess(left), this.#getProcess(right)];
    if (isCut) {
      one.cutPeers.add(other.address);
      other.cutPeers.add(one.address);
      return;
    }
    one.cutPeers.delete(other.address);
    other.cutPeers.delete(one.address);
  }

  schedule(delayMs: number, run: () => void): void {
    this.#order += 1;
    this.#queue.push({ atMs: this.nowMs + delayMs, order: this.#order, run });
  }

  #takeNext(untilMs: number): Pending | undefined {
    const next = this.#queue.peek();
    if (next === undefined || next.atMs > untilMs) return undefined;
    return this.#queue.pop();
  }

  #getProcess(index: number): Process {
    const process = this.processes[index];
    if (process === undefined) throw new Error(`no process ${index}`);
    return process;
  }

  #getDataCentre(index: number): string {
    const { dataCentreIds } = this.#plan;
    return dataCentreIds[index % dataCentreIds.length] ?? '';
  }

  #createVms(): readonly Vm[] {
    const { dataCentreIds, targetsPerDataCentre, capacity } = this.#plan;
    return dataCentreIds.flatMap((dataCentreId) =>
      Array.from({ length: targetsPerDataCentre }, (_, index): Vm => {
        const address = `target-${dataCentreId}-${index}`;
        this.targets.set(address, new TargetModel(capacity));
        return {
          vmId: toId(address),
          role: 'target',
          address,
          dataCentreId: toId(dataCentreId),
          rack: `${dataCentreId}-rack-${Math.floor(index / 6)}`,
          capacity,
          leaving: false,
        };
      }),
    );
  }

  #createCore(index: number, generation: number): SchedulerCore {
    const settings: SchedulerSettings = {
      schedulerId: toId<SchedulerId>(`s${index}`),
      vmId: toId(`entry-${index}`),
      dataCentreId: toId(this.#getDataCentre(index)),
      region: 'west',
      listen: { host: '127.0.0.1', port: 1 },
      advertisedAddress: `s${index}`,
      platformAddress: 'platform',
      platformTimeoutMs: PLATFORM_TIMEOUT_MS,
      drainTimeoutMs: 30_000,
      logLevel: 'info',
    };
    return new SchedulerCore(toMemberId(settings.schedulerId, String(generation)), settings);
  }

  #addProcess(index: number): void {
    const process: Process = {
      index,
      address: `s${index}`,
      core: this.#createCore(index, 0),
      generation: 0,
      isDown: false,
      pausedUntilMs: 0,
      isCutFromPlatform: false,
      wallErrorMs: 0,
      cutPeers: new Set(),
    };
    this.processes.push(process);
    this.#scheduleTick(process);
  }

  #scheduleTick(process: Process): void {
    const { generation } = process;
    this.schedule(this.random.nextInt(TICK_MS), () => this.#tick(process, generation));
  }

  #tick(process: Process, generation: number): void {
    this.#whenAwake(process, generation, () => {
      this.#dispatch(process, {
        kind: 'tick',
        nowMs: this.nowMs,
        wallMs: this.nowMs + process.wallErrorMs,
      });
      this.schedule(TICK_MS, () => this.#tick(process, generation));
    });
  }

  /** Runs a step of a process now, or when its pause ends; never after it died. */
  #whenAwake(process: Process, generation: number, run: () => void): void {
    if (process.isDown || process.generation !== generation) return;
    if (this.nowMs >= process.pausedUntilMs) {
      run();
      return;
    }
    const waitMs = process.pausedUntilMs - this.nowMs;
    this.schedule(waitMs, () => this.#whenAwake(process, generation, run));
  }

  #dispatch(process: Process, event: SchedulerEvent): void {
    this.eventCount += 1;
    const effects = process.core.reduce(event);
    this.onEvent?.(process, event, effects);
    const { generation } = process;
    // Each effect leaves in a step of its own, so that a pause can fall in between.
    effects.forEach((effect) => {
      this.schedule(0, () => {
        this.#whenAwake(process, generation, () => this.#perform(process, effect));
      });
    });
  }

  #getLatencyMs(): number {
    return this.random.nextFraction() * MAX_LATENCY_MS;
  }

  #perform(process: Process, effect: SchedulerEffect): void {
    const { generation } = process;
    const deliver = (createEvent: () => SchedulerEvent) => {
      this.schedule(this.#getLatencyMs(), () => {
        this.#whenAwake(process, generation, () => this.#dispatch(process, createEvent()));
      });
    };
    switch (effect.kind) {
      case 'callPlatform':
        this.#callPlatform(process, effect, (result) =>
          deliver(() => ({
            kind: 'platformReplied',
            nowMs: this.nowMs,
            origin: effect.origin,
            result,
          })),
        );
        return;
      case 'callTarget':
        this.#callTarget(effect, (result) =>
          deliver(() => ({
            kind: 'targetReplied',
            nowMs: this.nowMs,
            origin: effect.origin,
            result,
          })),
        );
        return;
      case 'callPeer':
        this.#callPeer(process, effect.address, effect.call, (result) =>
          deliver(() => ({
            kind: 'peerReplied',
            nowMs: this.nowMs,
            origin: effect.origin,
            result: result as never,
          })),
        );
        return;
      case 'replyCall':
        this.#reply(process, effect.callId, effect.value);
        break;
      default:
    }
  }

  #callPlatform(
    process: Process,
    effect: Extract<SchedulerEffect, { kind: 'callPlatform' }>,
    onResult: (result: PlatformResult) => void,
  ): void {
    if (process.isCutFromPlatform) {
      const result = { kind: 'unavailable', detail: 'cut' } as const;
      this.schedule(PLATFORM_TIMEOUT_MS, () => onResult(result));
      return;
    }
    const delayMs = this.#getLatencyMs() + this.store.faults.delayMs;
    const isTooSlow = delayMs > PLATFORM_TIMEOUT_MS;
    // A slow call takes effect when it arrives, also after its caller gave up.
    this.schedule(delayMs, () => {
      const result = this.store.perform(effect.call, this.nowMs);
      if (!isTooSlow) onResult(result);
    });
    if (!isTooSlow) return;
    this.schedule(PLATFORM_TIMEOUT_MS, () => onResult({ kind: 'unavailable', detail: 'slow' }));
  }

  #callTarget(
    effect: Extract<SchedulerEffect, { kind: 'callTarget' }>,
    onResult: (result: TargetResult) => void,
  ): void {
    if (this.nowMs >= effect.notAfterMs) {
      onResult({ kind: 'notSent', detail: 'the authority to start has ended' });
      return;
    }
    const target = this.targets.get(effect.address);
    if (target === undefined) {
      onResult({ kind: 'notSent', detail: 'no such target' });
      return;
    }
    if (target.faults.isBlackHole) {
      this.schedule(effect.timeoutMs, () => onResult({ kind: 'lost', detail: 'timeout' }));
      return;
    }
    const { call } = effect;
    this.schedule(this.#getLatencyMs(), () => {
      if (call.kind !== 'request') {
        onResult(target.perform(call, this.nowMs));
        return;
      }
      this.#runRequest(target, effect.address, call, this.#createDeadline(effect, onResult));
    });
  }

  /** Reports a call as lost at its timeout; what comes later is dropped, as by an HTTP client. */
  #createDeadline(
    { timeoutMs }: Extract<SchedulerEffect, { kind: 'callTarget' }>,
    onResult: (result: TargetResult) => void,
  ): (result: TargetResult) => void {
    let isEnded = false;
    const endOnce = (result: TargetResult) => {
      if (isEnded) return;
      isEnded = true;
      onResult(result);
    };
    this.schedule(timeoutMs, () => endOnce({ kind: 'lost', detail: 'timeout' }));
    return endOnce;
  }

  #runRequest(
    target: TargetModel,
    address: string,
    call: Extract<TargetCall, { kind: 'request' }>,
    onResult: (result: TargetResult) => void,
  ): void {
    const refusal = target.tryBeginRequest(call.token, call.teamId, this.nowMs, call.requestId);
    if (refusal !== undefined) {
      onResult(refusal);
      return;
    }
    const { requestId: runId, teamId } = call;
    this.requestRuns.push({ requestId: runId, teamId, address, atMs: this.nowMs });
    const serviceMs = Number(Buffer.from(call.bodyBase64, 'base64').toString('utf8')) || 10;
    this.schedule(serviceMs, () => {
      target.endRequest(call.teamId, call.requestId);
      const status = target.faults.isFailingEverything ? 500 : 200;
      const { requestId, contentType, bodyBase64 } = call;
      if (this.answerFault === 'silent') return;
      if (this.answerFault === 'reset') {
        onResult({ kind: 'lost', detail: 'reset' });
        return;
      }
      onResult({ kind: 'answer', requestId, status, contentType, bodyBase64 });
    });
  }

  #callPeer(
    process: Process,
    address: string,
    call: SchedulerCall,
    onResult: (result: RpcResult<unknown>) => void,
  ): void {
    const peer = this.processes.find((known) => known.address === address);
    if (process.cutPeers.has(address)) {
      this.schedule(PEER_TIMEOUT_MS, () => onResult({ kind: 'lost', detail: 'cut' }));
      return;
    }
    if (peer === undefined || peer.isDown) {
      onResult({ kind: 'notSent', isRefused: true });
      return;
    }
    let isAnswered = false;
    const answerOnce = (result: RpcResult<unknown>) => {
      if (isAnswered) return;
      isAnswered = true;
      onResult(result);
    };
    this.schedule(PEER_TIMEOUT_MS, () => answerOnce({ kind: 'lost', detail: 'timeout' }));
    this.#deliverCall(peer, call, (value) => {
      if (process.cutPeers.has(address)) return;
      answerOnce({ kind: 'ok', value });
    });
  }

  #deliverCall(process: Process, call: SchedulerCall, onReply: (value: unknown) => void): void {
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    const { generation } = process;
    this.#calls.set(`${process.index}/${generation}/${callId}`, onReply);
    this.schedule(this.#getLatencyMs(), () => {
      this.#whenAwake(process, generation, () => {
        const wallMs = this.nowMs + process.wallErrorMs;
        this.#dispatch(process, { kind: 'called', nowMs: this.nowMs, wallMs, callId, call });
      });
    });
  }

  #reply(process: Process, callId: number, value: unknown): void {
    const key = `${process.index}/${process.generation}/${callId}`;
    const onReply = this.#calls.get(key);
    this.#calls.delete(key);
    if (onReply === undefined) return;
    this.schedule(this.#getLatencyMs(), () => onReply(value));
  }
}
