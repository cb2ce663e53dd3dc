/**
 * Runs gate reducers in the virtual time of a simulation, over links that can be partitioned and
 * reset.
 */

import { GateCore } from '../../src/gate/core';
import type { GateResponse, GateCall, GateEffect, GateEvent } from '../../src/gate/types';
import type { RpcResult } from '../../src/rpc/types';
import { toId } from '../../src/types/ids';
import type { World } from './world';

/** Number of simulated gates. */
export const GATE_COUNT = 2;
const LINK_LATENCY_MS = 1;

type CallScheduler = Extract<GateEffect, { kind: 'callScheduler' }>;

/** A request sent through one gate. */
export interface SentRequest {
  readonly teamId: string;
  readonly requestId: string;
  readonly body: string;
  answer: GateResponse | undefined;
}

/** Simulates several gates and their links to the schedulers. */
export class GateSimulation {
  readonly sentRequests: SentRequest[] = [];

  /** Partitioned links, each as gate index and scheduler index. */
  readonly partitionedLinks = new Set<string>();

  #world: World;

  #gates: GateCore[];

  #sentByCallId = new Map<number, SentRequest>();

  /** Completion callbacks of the pending calls to each scheduler. */
  #pendingCalls = new Map<number, Set<(result: RpcResult<unknown>) => void>>();

  #nextCallId = 1;

  constructor(world: World) {
    this.#world = world;
    this.#gates = Array.from({ length: GATE_COUNT }, (_, index) => {
      const settings = {
        gateId: `g${index}`,
        dataCentreId: toId<never>('rotterdam'),
        listen: { host: '127.0.0.1', port: 1 },
        schedulerAddresses: ['s0', 's1', 's2'],
        operatorTokenDigest: '',
        maxBodyBytes: 1_024,
        bodyTimeoutMs: 1_000,
        maxOpenRequests: 100,
        drainTimeoutMs: 1_000,
        logLevel: 'info' as const,
      };
      return new GateCore(settings, `g${index}`);
    });
    this.#gates.forEach((_, index) => this.#tick(index));
  }

  send(gate: number, call: Extract<GateCall, { kind: 'request' }>): SentRequest {
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    const sent = {
      teamId: call.queueId,
      requestId: call.requestId,
      body: call.body.toString('utf8'),
      answer: undefined,
    };
    this.sentRequests.push(sent);
    this.#sentByCallId.set(callId, sent);
    this.#dispatch(gate, { kind: 'arrived', nowMs: this.#world.nowMs, callId, call });
    return sent;
  }

  /** Resets every connection to a scheduler. */
  resetConnections(index: number): void {
    const completions = [...(this.#pendingCalls.get(index) ?? [])];
    completions.forEach((complete) => complete({ kind: 'lost', detail: 'reset' }));
  }

  #tick(gate: number): void {
    this.#dispatch(gate, { kind: 'tick', nowMs: this.#world.nowMs });
    this.#world.schedule(100, () => this.#tick(gate));
  }

  #dispatch(gate: number, event: GateEvent): void {
    this.#gates[gate]?.reduce(event).forEach((effect) => {
      if (effect.kind === 'callScheduler') this.#callScheduler(gate, effect);
      if (effect.kind !== 'respond') return;
      const sent = this.#sentByCallId.get(effect.callId);
      if (sent !== undefined) sent.answer = effect.answer;
    });
  }

  #callScheduler(gate: number, { origin, address, call, timeoutMs }: CallScheduler): void {
    const index = Number(address.slice(1));
    const link = `${gate}/${index}`;
    let isCompleted = false;
    const pending = this.#pendingCalls.get(index) ?? new Set();
    this.#pendingCalls.set(index, pending);
    const complete = (result: RpcResult<unknown>) => {
      if (isCompleted) return;
      isCompleted = true;
      pending.delete(complete);
      this.#dispatch(gate, {
        kind: 'schedulerReplied',
        nowMs: this.#world.nowMs,
        origin,
        result,
      });
    };
    pending.add(complete);
    this.#world.schedule(timeoutMs, () => complete({ kind: 'lost', detail: 'timeout' }));
    this.#world.schedule(LINK_LATENCY_MS, () => {
      if (this.partitionedLinks.has(link)) return;
      if (this.#world.processes[index]?.isDown !== false) {
        complete({ kind: 'notSent', isRefused: true });
        return;
      }
      this.#world.call(index, call, (value) => {
        if (!this.partitionedLinks.has(link)) complete({ kind: 'ok', value });
      });
    });
  }
}
