/** Performs the effects of the scheduler's reducer and reports their results back to it as events. */

import type { SchedulerSettings } from '../config/settings';
import type { Logger } from '../observe/logger';
import type { Metrics } from '../observe/metrics';
import type { PlatformClient } from '../platform/types';
import type { RpcClient } from '../rpc/rpcClient';
import type { HeartbeatReply, SchedulerCall } from '../rpc/types';
import type { AcceptedConfig } from '../config/types';
import type { TargetClient } from '../target/types';
import type { Clock } from '../types/clock';
import { assertNever } from '../types/debug';
import type { SchedulerCore } from './core';
import type { SchedulerEffect, SchedulerEvent } from './types';

const PEER_TIMEOUT_MS = 900;

/** Dependencies for performing effects. */
export interface SchedulerPorts {
  readonly platform: PlatformClient;
  readonly targets: TargetClient;
  readonly peers: RpcClient;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

type CallTargetEffect = Extract<SchedulerEffect, { kind: 'callTarget' }>;
type CallPeerEffect = Extract<SchedulerEffect, { kind: 'callPeer' }>;
type CallPlatformEffect = Extract<SchedulerEffect, { kind: 'callPlatform' }>;

/** Runs the reducer of one scheduler and serves its calls. */
export class SchedulerShell {
  #core: SchedulerCore;

  #settings: SchedulerSettings;

  #ports: SchedulerPorts;

  #respondersByCallId = new Map<number, (value: unknown) => void>();

  #nextCallId = 1;

  /**
   * @param core - the reducer
   * @param settings - validated settings
   * @param ports - dependencies for performing effects
   */
  constructor(core: SchedulerCore, settings: SchedulerSettings, ports: SchedulerPorts) {
    this.#core = core;
    this.#settings = settings;
    this.#ports = ports;
  }

  /** Passes a tick to the reducer. */
  tick(): void {
    const { clock } = this.#ports;
    this.#dispatch({ kind: 'tick', nowMs: clock.nowMs(), wallMs: clock.wallMs() });
  }

  /** Starts draining the scheduler. */
  drain(): void {
    this.#dispatch({ kind: 'drainRequested', nowMs: this.#ports.clock.nowMs() });
  }

  /**
   * Handles a call from a gate, a peer or an operator.
   * @param call - the call
   * @returns the reply
   */
  answer(call: SchedulerCall): Promise<unknown> {
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    const receivedMs = this.#ports.clock.nowMs();
    return new Promise((resolve) => {
      this.#respondersByCallId.set(callId, (value) => {
        this.#ports.metrics.count(`calls_${call.kind}`);
        this.#ports.metrics.record(`call_${call.kind}`, this.#ports.clock.nowMs() - receivedMs);
        resolve(value);
      });
      const wallMs = this.#ports.clock.wallMs();
      this.#dispatch({ kind: 'called', nowMs: receivedMs, wallMs, callId, call });
    });
  }

  #dispatch(event: SchedulerEvent): void {
    this.#core.reduce(event).forEach((effect) => this.#perform(effect));
  }

  #perform(effect: SchedulerEffect): void {
    switch (effect.kind) {
      case 'callPlatform':
        this.#callPlatform(effect);
        return;
      case 'callTarget':
        this.#callTarget(effect);
        return;
      case 'callPeer':
        this.#callPeer(effect);
        return;
      case 'replyCall':
        this.#respondersByCallId.get(effect.callId)?.(effect.value);
        this.#respondersByCallId.delete(effect.callId);
        return;
      case 'count':
        this.#ports.metrics.count(effect.name);
        return;
      case 'log':
        this.#ports.logger.info(effect.fields, effect.message);
        return;
      default:
        assertNever(effect);
    }
  }

  #callPlatform({ origin, call }: CallPlatformEffect): void {
    const { platform, clock } = this.#ports;
    platform
      .perform(call, this.#settings.platformTimeoutMs)
      .then((result) => {
        const nowMs = clock.nowMs();
        this.#dispatch({ kind: 'platformReplied', nowMs, origin, result });
      })
      .catch((error: unknown) => this.#exitOnInvariantFailure(error));
  }

  /**
   * Calls a target unless the deadline for sending has passed. The clock is read again immediately
   * before the call is sent, so that calls queued during a pause of this process are dropped.
   */
  #callTarget({ origin, address, call, timeoutMs, notAfterMs }: CallTargetEffect): void {
    const { targets, clock, metrics } = this.#ports;
    const isTooLate = () => clock.nowMs() >= notAfterMs;
    const pendingResult = isTooLate()
      ? Promise.resolve({ kind: 'notSent', detail: 'the authority to start has ended' } as const)
      : targets.perform(address, call, timeoutMs, isTooLate);
    pendingResult
      .then((result) => {
        if (result.kind === 'notSent' && isTooLate()) metrics.count('target_calls_voided');
        this.#dispatch({ kind: 'targetReplied', nowMs: clock.nowMs(), origin, result });
      })
      .catch((error: unknown) => this.#exitOnInvariantFailure(error));
  }

  #callPeer({ origin, address, call }: CallPeerEffect): void {
    const { peers, clock } = this.#ports;
    peers
      .call<HeartbeatReply | AcceptedConfig>(address, call, PEER_TIMEOUT_MS)
      .then((result) => {
        this.#dispatch({ kind: 'peerReplied', nowMs: clock.nowMs(), origin, result });
      })
      .catch((error: unknown) => this.#exitOnInvariantFailure(error));
  }

  /** Logs the state and exits. Failed calls are results; only a violated invariant causes a rejection. */
  #exitOnInvariantFailure(error: unknown): void {
    const dump = this.#core.dump(this.#ports.clock.nowMs());
    this.#ports.logger.fatal({ err: error, dump }, 'invariant broken');
    process.exit(1);
  }
}
