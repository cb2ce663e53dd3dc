/** Performs the effects of the gate's reducer and reports their results back to it as events. */

import type { Logger } from '../observe/logger';
import type { Metrics } from '../observe/metrics';
import type { HttpHandler, HttpRequest, HttpResponse } from '../rpc/httpListener';
import type { RpcClient } from '../rpc/rpcClient';
import type { Clock } from '../types/clock';
import { assertNever } from '../types/debug';
import type { Diagnostic } from '../types/diagnostics';
import type { GateCore } from './core';
import { parseCall } from './parse';
import { renderDiagnostic } from './render';
import type { GateResponse, GateCall, GateEffect, GateEvent } from './types';

/** Dependencies for performing effects. */
export interface GatePorts {
  readonly schedulers: RpcClient;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

type CallScheduler = Extract<GateEffect, { kind: 'callScheduler' }>;

/** Runs the reducer of one gate and serves its HTTP requests. */
export class GateShell implements HttpHandler {
  #core: GateCore;

  #ports: GatePorts;

  #respondersByCallId = new Map<number, (answer: GateResponse) => void>();

  #nextCallId = 1;

  /**
   * @param core - the reducer
   * @param ports - dependencies for performing effects
   */
  constructor(core: GateCore, ports: GatePorts) {
    this.#core = core;
    this.#ports = ports;
  }

  /** Passes a tick to the reducer. */
  tick(): void {
    this.#dispatch({ kind: 'tick', nowMs: this.#ports.clock.nowMs() });
  }

  /** Starts draining the gate. */
  drain(): void {
    this.#dispatch({ kind: 'drainRequested', nowMs: this.#ports.clock.nowMs() });
  }

  /** {@inheritDoc HttpHandler.handle} */
  async handle(request: HttpRequest): Promise<HttpResponse> {
    const parsed = parseCall(request);
    if (parsed.kind === 'refused') return this.refuse(parsed.diagnostic);
    if (parsed.call.kind === 'metrics') return this.#createMetricsResponse();
    return this.#handleCall(parsed.call, request.disconnectSignal);
  }

  /** {@inheritDoc HttpHandler.refuse} */
  refuse(diagnostic: Diagnostic): HttpResponse {
    this.#ports.metrics.count(`refused_${diagnostic.name}`);
    return renderDiagnostic(diagnostic);
  }

  #createMetricsResponse(): HttpResponse {
    const body = this.#ports.metrics.renderPage();
    return { status: 200, contentType: 'text/plain; version=0.0.4', body };
  }

  #handleCall(call: GateCall, disconnectSignal: AbortSignal): Promise<HttpResponse> {
    const { clock, metrics } = this.#ports;
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    const arrivedMs = clock.nowMs();
    return new Promise((resolve) => {
      this.#respondersByCallId.set(callId, (response) => {
        metrics.record(`call_${call.kind}`, clock.nowMs() - arrivedMs);
        metrics.count(`answers_${response.headers['request-outcome'] ?? 'other'}`);
        resolve(response);
      });
      disconnectSignal.addEventListener('abort', () => {
        this.#respondersByCallId.delete(callId);
        this.#dispatch({ kind: 'callerGone', nowMs: clock.nowMs(), callId });
      });
      this.#dispatch({ kind: 'arrived', nowMs: arrivedMs, callId, call });
    });
  }

  #dispatch(event: GateEvent): void {
    this.#core.reduce(event).forEach((effect) => this.#perform(effect));
  }

  #perform(effect: GateEffect): void {
    switch (effect.kind) {
      case 'callScheduler':
        this.#callScheduler(effect);
        return;
      case 'respond':
        this.#respondersByCallId.get(effect.callId)?.(effect.answer);
        this.#respondersByCallId.delete(effect.callId);
        return;
      case 'count':
        this.#ports.metrics.count(effect.name);
        return;
      case 'log':
        this.#ports.logger.info({ detail: effect.detail }, effect.message);
        return;
      default:
        assertNever(effect);
    }
  }

  #callScheduler({ origin, address, call, timeoutMs }: CallScheduler): void {
    const { schedulers, clock } = this.#ports;
    schedulers
      .call<unknown>(address, call, timeoutMs)
      .then((result) => {
        this.#dispatch({ kind: 'schedulerReplied', nowMs: clock.nowMs(), origin, result });
      })
      .catch((error: unknown) => this.#exitOnInvariantFailure(error));
  }

  /**
   * Logs the state and exits. Failed calls are results; only a violated invariant causes a
   * rejection.
   */
  #exitOnInvariantFailure(error: unknown): void {
    const dump = this.#core.dump(this.#ports.clock.nowMs());
    this.#ports.logger.fatal({ err: error, dump }, 'invariant broken');
    process.exit(1);
  }
}
