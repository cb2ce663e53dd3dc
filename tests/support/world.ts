/**
 * Simulates several schedulers in virtual time, with a fake platform, fake targets and fault injection.
 */

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

const TICK_INTERVAL_MS = 100;
const MAX_LATENCY_MS = 5;
const PEER_TIMEOUT_MS = 900;
const PLATFORM_TIMEOUT_MS = 800;

interface ScheduledAction {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

function compareScheduledActions(left: ScheduledAction, right: ScheduledAction): number {
  return left.atMs - right.atMs || left.order - right.order;
}

/** A simulated scheduler process. */
export interface SchedulerProcess {
  readonly index: number;
  readonly address: string;
  core: SchedulerCore;
  /** Incremented by every kill and restart; actions of an earlier generation are dropped. */
  generation: number;
  isDown: boolean;
  pausedUntilMs: number;
  isPartitionedFromPlatform: boolean;
  /** Offset of the process's wall clock from virtual time. */
  wallClockOffsetMs: number;
  readonly partitionedPeers: Set<string>;
}

type EventListener = (
  process: SchedulerProcess,
  event: SchedulerEvent,
  effects: readonly SchedulerEffect[],
) => void;

/** Options of a simulation. */
export interface WorldOptions {
  readonly seed: number;
  readonly memberCount: number;
  readonly dataCentreIds: readonly string[];
  readonly targetsPerDataCentre: number;
  readonly capacity: ResourceVector;
}

/** Fate of a target's response: delivered, lost with a connection reset, or lost silently. */
export type AnswerFault = 'none' | 'reset' | 'silent';

/** One execution of a request on a target, for checks of duplicated or lost work. */
export interface RequestRun {
  readonly requestId: string;
  readonly teamId: string;
  readonly address: string;
  readonly atMs: number;
}

/** Simulated cluster of schedulers with virtual time, message delivery and fault injection. */
export class World {
  readonly store = new FakePlatform();

  readonly targets = new Map<string, TargetModel>();

  readonly processes: SchedulerProcess[] = [];

  readonly requestRuns: RequestRun[] = [];

  readonly random: Random;

  nowMs = 0;

  /** Number of events handled by all reducers. */
  eventCount = 0;

  /** Fault applied to the response of every request that runs. */
  answerFault: AnswerFault = 'none';

  /** Called after every event with the process that handled it. */
  onEvent: EventListener | undefined;

  #options: WorldOptions;

  #queue = new Heap<ScheduledAction>(compareScheduledActions);

  #order = 0;

  #replyCallbacks = new Map<string, (value: unknown) => void>();

  #nextCallId = 1;

  constructor(options: WorldOptions) {
    this.#options = options;
    this.random = new Random(options.seed);
    this.store.setVms(this.#createVms());
    for (let index = 0; index < options.memberCount; index += 1) this.#addProcess(index);
  }

  /** Runs the scheduled actions up to a virtual time. */
  runUntil(untilMs: number): void {
    for (;;) {
      const next = this.#popNextAction(untilMs);
      if (next === undefined) break;
      this.nowMs = Math.max(this.nowMs, next.atMs);
      next.run();
    }
    this.nowMs = untilMs;
  }

  runFor(durationMs: number): void {
    this.runUntil(this.nowMs + durationMs);
  }

  /** Sends a call to a scheduler; the callback gets the reply, or is never called if the process dies. */
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

  setPlatformPartition(index: number, isPartitioned: boolean): void {
    this.#getProcess(index).isPartitionedFromPlatform = isPartitioned;
  }

  setPeerPartition(left: number, right: number, isPartitioned: boolean): void {
    const [leftProcess, rightProcess] = [this.#getProcess(left), this.#getProcess(right)];
    if (isPartitioned) {
      leftProcess.partitionedPeers.add(rightProcess.address);
      rightProcess.partitionedPeers.add(leftProcess.address);
      return;
    }
    leftProcess.partitionedPeers.delete(rightProcess.address);
    rightProcess.partitionedPeers.delete(leftProcess.address);
  }

  schedule(delayMs: number, run: () => void): void {
    this.#order += 1;
    this.#queue.push({ atMs: this.nowMs + delayMs, order: this.#order, run });
  }

  #popNextAction(untilMs: number): ScheduledAction | undefined {
    const next = this.#queue.peek();
    if (next === undefined || next.atMs > untilMs) return undefined;
    return this.#queue.pop();
  }

  #getProcess(index: number): SchedulerProcess {
    const process = this.processes[index];
    if (process === undefined) throw new Error(`no process ${index}`);
    return process;
  }

  #getDataCentre(index: number): string {
    const { dataCentreIds } = this.#options;
    return dataCentreIds[index % dataCentreIds.length] ?? '';
  }

  #createVms(): readonly Vm[] {
    const { dataCentreIds, targetsPerDataCentre, capacity } = this.#options;
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
    const process: SchedulerProcess = {
      index,
      address: `s${index}`,
      core: this.#createCore(index, 0),
      generation: 0,
      isDown: false,
      pausedUntilMs: 0,
      isPartitionedFromPlatform: false,
      wallClockOffsetMs: 0,
      partitionedPeers: new Set(),
    };
    this.processes.push(process);
    this.#scheduleTick(process);
  }

  #scheduleTick(process: SchedulerProcess): void {
    const { generation } = process;
    this.schedule(this.random.nextInt(TICK_INTERVAL_MS), () => this.#tick(process, generation));
  }

  #tick(process: SchedulerProcess, generation: number): void {
    this.#runUnlessPaused(process, generation, () => {
      this.#dispatch(process, {
        kind: 'tick',
        nowMs: this.nowMs,
        wallMs: this.nowMs + process.wallClockOffsetMs,
      });
      this.schedule(TICK_INTERVAL_MS, () => this.#tick(process, generation));
    });
  }

  /** Runs an action of a process now or once its pause ends; drops it if the process has died since. */
  #runUnlessPaused(process: SchedulerProcess, generation: number, run: () => void): void {
    if (process.isDown || process.generation !== generation) return;
    if (this.nowMs >= process.pausedUntilMs) {
      run();
      return;
    }
    const waitMs = process.pausedUntilMs - this.nowMs;
    this.schedule(waitMs, () => this.#runUnlessPaused(process, generation, run));
  }

  #dispatch(process: SchedulerProcess, event: SchedulerEvent): void {
    this.eventCount += 1;
    const effects = process.core.reduce(event);
    this.onEvent?.(process, event, effects);
    const { generation } = process;
    // Each effect is performed in an action of its own, so that a pause can begin between two effects.
    effects.forEach((effect) => {
      this.schedule(0, () => {
        this.#runUnlessPaused(process, generation, () => this.#perform(process, effect));
      });
    });
  }

  #getLatencyMs(): number {
    return this.random.nextFraction() * MAX_LATENCY_MS;
  }

  #perform(process: SchedulerProcess, effect: SchedulerEffect): void {
    const { generation } = process;
    const deliver = (createEvent: () => SchedulerEvent) => {
      this.schedule(this.#getLatencyMs(), () => {
        this.#runUnlessPaused(process, generation, () => this.#dispatch(process, createEvent()));
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
    process: SchedulerProcess,
    effect: Extract<SchedulerEffect, { kind: 'callPlatform' }>,
    onResult: (result: PlatformResult) => void,
  ): void {
    if (process.isPartitionedFromPlatform) {
      const result = { kind: 'unavailable', detail: 'partitioned' } as const;
      this.schedule(PLATFORM_TIMEOUT_MS, () => onResult(result));
      return;
    }
    const delayMs = this.#getLatencyMs() + this.store.faults.delayMs;
    const isTooSlow = delayMs > PLATFORM_TIMEOUT_MS;
    // A delayed call takes effect on arrival, even if its caller has timed out by then.
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
      this.#runRequest(target, effect.address, call, this.#withTimeout(effect, onResult));
    });
  }

  /** Reports a call as lost at its timeout; a later result is dropped, as an HTTP client would. */
  #withTimeout(
    { timeoutMs }: Extract<SchedulerEffect, { kind: 'callTarget' }>,
    onResult: (result: TargetResult) => void,
  ): (result: TargetResult) => void {
    let isCompleted = false;
    const completeOnce = (result: TargetResult) => {
      if (isCompleted) return;
      isCompleted = true;
      onResult(result);
    };
    this.schedule(timeoutMs, () => completeOnce({ kind: 'lost', detail: 'timeout' }));
    return completeOnce;
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
    process: SchedulerProcess,
    address: string,
    call: SchedulerCall,
    onResult: (result: RpcResult<unknown>) => void,
  ): void {
    const peer = this.processes.find((candidate) => candidate.address === address);
    if (process.partitionedPeers.has(address)) {
      this.schedule(PEER_TIMEOUT_MS, () => onResult({ kind: 'lost', detail: 'partitioned' }));
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
      if (process.partitionedPeers.has(address)) return;
      answerOnce({ kind: 'ok', value });
    });
  }

  #deliverCall(
    process: SchedulerProcess,
    call: SchedulerCall,
    onReply: (value: unknown) => void,
  ): void {
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    const { generation } = process;
    this.#replyCallbacks.set(`${process.index}/${generation}/${callId}`, onReply);
    this.schedule(this.#getLatencyMs(), () => {
      this.#runUnlessPaused(process, generation, () => {
        const wallMs = this.nowMs + process.wallClockOffsetMs;
        this.#dispatch(process, { kind: 'called', nowMs: this.nowMs, wallMs, callId, call });
      });
    });
  }

  #reply(process: SchedulerProcess, callId: number, value: unknown): void {
    const key = `${process.index}/${process.generation}/${callId}`;
    const onReply = this.#replyCallbacks.get(key);
    this.#replyCallbacks.delete(key);
    if (onReply === undefined) return;
    this.schedule(this.#getLatencyMs(), () => onReply(value));
  }
}
