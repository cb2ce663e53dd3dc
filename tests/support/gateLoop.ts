/**
 * Runs gate reducers in the virtual time of a simulation, over links that can be partitioned and
 * reset.
 */

import { GateCore } from '../../src/gate/core';
import type { GateAnswer, GateCall, GateEffect, GateEvent } from '../../src/gate/types';
import type { RpcResult } from '../../src/rpc/types';
import { toId } from '../../src/types/ids';
import type { World } from './world';

/** Number of simulated gates. */
export const GATE_COUNT = 2;
const LINK_LATENCY_MS = 1;

type CallScheduler = Extract<GateEffect, { kind: 'callScheduler' }>;

/** A request sent through one gate. */
export interface Sending {
  readonly teamId: string;
  readonly requestId: string;
  readonly body: string;
  answer: GateAnswer | undefined;
}

/** Simulates several gates and their links to the schedulers. */
export class GateLoop {
  readonly sendings: Sending[] = [];

  /** Partitioned links, each as gate index and scheduler index. */
  readonly cuts = new Set<string>();

  #world: World;

  #gates: GateCore[];

  #byCallId = new Map<number, Sending>();

  /** Completion callbacks of the pending calls to each scheduler. */
  #underWay = new Map<number, Set<(result: RpcResult<unknown>) => void>>();

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

  send(gate: number, call: Extract<GateCall, { kind: 'request' }>): Sending {
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    const sending = {
      teamId: call.queueId,
      requestId: call.requestId,
      body: call.body.toString('utf8'),
      answer: undefined,
    };
    this.sendings.push(sending);
    this.#byCallId.set(callId, sending);
    this.#dispatch(gate, { kind: 'arrived', nowMs: this.#world.nowMs, callId, call });
    return sending;
  }

  /** Resets every connection to a scheduler. */
  reset(index: number): void {
    const ends = [...(this.#underWay.get(index) ?? [])];
    ends.forEach((end) => end({ kind: 'lost', detail: 'reset' }));
  }

  #tick(gate: number): void {
    this.#dispatch(gate, { kind: 'tick', nowMs: this.#world.nowMs });
    this.#world.schedule(100, () => this.#tick(gate));
  }

  #dispatch(gate: number, event: GateEvent): void {
    this.#gates[gate]?.reduce(event).forEach((effect) => {
      if (effect.kind === 'callScheduler') this.#callScheduler(gate, effect);
      if (effect.kind !== 'respond') return;
      const sending = this.#byCallId.get(effect.callId);
      if (sending !== undefined) sending.answer = effect.answer;
    });
  }

  #callScheduler(gate: number, { origin, address, call, timeoutMs }: CallScheduler): void {
    const index = Number(address.slice(1));
    const link = `${gate}/${index}`;
    let isEnded = false;
    const underWay = this.#underWay.get(index) ?? new Set();
    this.#underWay.set(index, underWay);
    const end = (result: RpcResult<unknown>) => {
      if (isEnded) return;
      isEnded = true;
      underWay.delete(end);
      this.#dispatch(gate, {
        kind: 'schedulerReplied',
        nowMs: this.#world.nowMs,
        origin,
        result,
      });
    };
    underWay.add(end);
    this.#world.schedule(timeoutMs, () => end({ kind: 'lost', detail: 'timeout' }));
    this.#world.schedule(LINK_LATENCY_MS, () => {
      if (this.cuts.has(link)) return;
      if (this.#world.processes[index]?.isDown !== false) {
        end({ kind: 'notSent', isRefused: true });
        return;
      }
      this.#world.call(index, call, (value) => {
        if (!this.cuts.has(link)) end({ kind: 'ok', value });
      });
    });
  }
}
