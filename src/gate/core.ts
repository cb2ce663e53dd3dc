/** Reducer of the gate: admits calls and tracks each call until it is answered. */

import { ConfigHolder } from '../config/configHolder';
import { isMatchingDigest, tryAuthenticate } from '../config/keys';
import type { GateSettings } from '../config/settings';
import type { AcceptedConfig, TeamKey } from '../config/types';
import type { JobSummary } from '../jobs/types';
import type { MemberStatus, RpcResult, Routes, SchedulerCall } from '../rpc/types';
import { createDiagnostic } from '../types/diagnostics';
import type { Diagnostic } from '../types/diagnostics';
import { assertNever } from '../types/debug';
import { getSchedulerId, toId } from '../types/ids';
import type { OperationId } from '../types/ids';
import type { NotRunReason, RequestOutcome, Result } from '../types/outcomes';
import { renderDiagnostic, renderJson, renderOutcome, renderResult } from './render';
import { RequestForwarder } from './requestForwarder';
import { Router } from './router';
import type { GateResponse, GateCall, GateEffect, GateEvent, GateOrigin } from './types';

const ROUTES_INTERVAL_MS = 500;
const ROUTES_TIMEOUT_MS = 800;
const JOB_TIMEOUT_MS = 5_000;
/**
 * Longer than a scheduler needs to commit a change and get confirmations from all other schedulers.
 */
const CONFIG_TIMEOUT_MS = 9_000;
const GATHER_TIMEOUT_MS = 2_000;

type ArrivedEvent = Extract<GateEvent, { kind: 'arrived' }>;
type RepliedEvent = Extract<GateEvent, { kind: 'schedulerReplied' }>;
type RequestCall = Extract<GateCall, { kind: 'request' }>;

/** A call that is forwarded to one scheduler. */
interface ForwardedCall {
  readonly kind: 'forward';
}

/** A call that is sent to all schedulers and answered with their combined results. */
interface GatheredCall {
  readonly kind: 'gather';
  readonly values: unknown[];
  remainingCount: number;
  readonly render: (values: readonly unknown[]) => GateResponse;
}

type OpenCall = ForwardedCall | GatheredCall;

/** State of one gate, changed only by events. */
export class GateCore {
  #settings: GateSettings;

  #config = new ConfigHolder();

  #router: Router;

  #requestForwarder: RequestForwarder;

  #openCalls = new Map<number, OpenCall>();

  #configFreshUntilMs = Number.NEGATIVE_INFINITY;

  #nextRoutesRequestMs = 0;

  #schedulerIndex = 0;

  #isDraining = false;

  #operationCount = 0;

  #instanceId: string;

  /**
   * @param settings - validated settings
   * @param instance - unique id of this process run, used in operation ids
   */
  constructor(settings: GateSettings, instance: string) {
    this.#settings = settings;
    this.#instanceId = instance;
    this.#router = new Router(settings.dataCentreId);
    this.#requestForwarder = new RequestForwarder(this.#router, instance);
  }

  /** Number of calls that have not been answered. */
  get openCount(): number {
    return this.#openCalls.size + this.#requestForwarder.openCount;
  }

  /** True if a drain was requested and every call has been answered. */
  get isDrained(): boolean {
    return this.#isDraining && this.openCount === 0;
  }

  /**
   * Applies one event.
   * @param event - the event
   * @returns the effects to perform
   */
  reduce(event: GateEvent): readonly GateEffect[] {
    switch (event.kind) {
      case 'tick':
        return [...this.#requestRoutes(event.nowMs), ...this.#requestForwarder.tick(event.nowMs)];
      case 'arrived':
        return this.#handleCall(event);
      case 'callerGone':
        return this.#applyCallerGone(event.callId);
      case 'schedulerReplied':
        return this.#applyReply(event);
      case 'drainRequested':
        this.#isDraining = true;
        return [{ kind: 'log', message: 'draining', detail: '' }];
      default:
        return assertNever(event);
    }
  }

  #requestRoutes(nowMs: number): readonly GateEffect[] {
    if (nowMs < this.#nextRoutesRequestMs) return [];
    this.#nextRoutesRequestMs = nowMs + ROUTES_INTERVAL_MS;
    const addresses = this.#settings.schedulerAddresses;
    const address = addresses[this.#schedulerIndex % addresses.length];
    if (address === undefined) return [];
    return [
      {
        kind: 'callScheduler',
        origin: { kind: 'routes', address, sentMs: nowMs },
        address,
        call: { kind: 'getRoutes' },
        timeoutMs: ROUTES_TIMEOUT_MS,
      },
    ];
  }

  #handleCall(event: ArrivedEvent): readonly GateEffect[] {
    const { call, callId, nowMs } = event;
    switch (call.kind) {
      case 'health':
        return [this.#respond(callId, this.#renderHealth(nowMs))];
      case 'metrics':
        return [this.#respond(callId, renderDiagnostic(createDiagnostic('unknownPath')))];
      case 'request':
        return this.#handleRequest(nowMs, callId, call);
      case 'submitJob':
      case 'getJob':
      case 'listJobs':
      case 'cancelJob':
        return this.#handleJobCall(nowMs, callId, call);
      case 'getConfig':
      case 'changeConfig':
      case 'dumpState':
      case 'drain':
        return this.#handleOperatorCall(nowMs, callId, call);
      default:
        return assertNever(call);
    }
  }

  #handleRequest(nowMs: number, callId: number, call: RequestCall): readonly GateEffect[] {
    const key = this.#admit(nowMs, call.token);
    if (typeof key === 'string') return [this.#refuseRequest(callId, key)];
    const queue = this.#config.checkAdmission(key.teamId, key.keyId, call.queueId);
    if (typeof queue === 'string') return [this.#refuseRequest(callId, queue)];
    if (this.openCount >= this.#settings.maxOpenRequests) {
      return [this.#refuseRequest(callId, 'overloaded')];
    }
    return this.#requestForwarder.start(nowMs, callId, call, key);
  }

  #handleJobCall(
    nowMs: number,
    callId: number,
    call: Extract<GateCall, { kind: 'submitJob' | 'getJob' | 'listJobs' | 'cancelJob' }>,
  ): readonly GateEffect[] {
    const key = this.#admit(nowMs, call.token);
    if (typeof key === 'string') return [this.#refuse(callId, createDiagnostic(key))];
    const { teamId } = key;
    if (call.kind === 'listJobs') return this.#gatherJobs(callId, { kind: 'listJobs', teamId });
    if (call.kind === 'submitJob') {
      const queue = this.#config.checkAdmission(teamId, key.keyId, call.spec.queueId);
      if (typeof queue === 'string') return [this.#refuse(callId, createDiagnostic(queue))];
      return this.#forwardToHome(callId, call.spec.jobId, {
        kind: 'submitJob',
        spec: call.spec,
        teamId,
      });
    }
    return this.#forwardToHome(callId, call.jobId, { kind: call.kind, jobId: call.jobId, teamId });
  }

  #forwardToHome(
    callId: number,
    jobId: Extract<GateCall, { kind: 'getJob' }>['jobId'],
    call: SchedulerCall,
  ): readonly GateEffect[] {
    const home = this.#router.tryGetHome(jobId);
    if (home === undefined) return [this.#refuse(callId, createDiagnostic('noOwner'))];
    return this.#forward(callId, home, call);
  }

  #forward(
    callId: number,
    member: MemberStatus,
    call: SchedulerCall,
    timeoutMs = JOB_TIMEOUT_MS,
  ): readonly GateEffect[] {
    this.#openCalls.set(callId, { kind: 'forward' });
    const origin: GateOrigin = { kind: 'forward', callId, attempt: 1 };
    const { address } = member;
    return [{ kind: 'callScheduler', origin, address, call, timeoutMs }];
  }

  #handleOperatorCall(
    nowMs: number,
    callId: number,
    call: Extract<GateCall, { kind: 'getConfig' | 'changeConfig' | 'dumpState' | 'drain' }>,
  ): readonly GateEffect[] {
    if (!isMatchingDigest(call.token, this.#settings.operatorTokenDigest)) {
      return [this.#refuse(callId, createDiagnostic('operatorOnly'))];
    }
    const { members } = this.#router;
    switch (call.kind) {
      case 'getConfig':
        return [this.#respond(callId, renderJson(this.#config.config))];
      case 'changeConfig': {
        this.#operationCount += 1;
        // Rotates through the schedulers, so that a repeated change goes through a different one.
        const member = members[this.#operationCount % members.length];
        if (member === undefined) return [this.#refuse(callId, createDiagnostic('configRefused'))];
        const generatedId = `${this.#instanceId}/${this.#operationCount}`;
        const operationId = toId<OperationId>(call.operationId || generatedId);
        const { change } = call;
        const forwardedCall = { kind: 'changeConfig', change, operationId } as const;
        return this.#forward(callId, member, forwardedCall, CONFIG_TIMEOUT_MS);
      }
      case 'dumpState':
        return this.#gather(callId, { kind: 'dumpState' }, (schedulers) =>
          renderJson({ gate: this.dump(nowMs), schedulers }),
        );
      case 'drain': {
        const member = members.find((known) => getSchedulerId(known.memberId) === call.schedulerId);
        if (member === undefined) return [this.#refuse(callId, createDiagnostic('noOwner'))];
        return this.#forward(callId, member, { kind: 'drain' });
      }
      default:
        return assertNever(call);
    }
  }

  #gatherJobs(callId: number, call: SchedulerCall): readonly GateEffect[] {
    return this.#gather(callId, call, (values) => {
      const lists = values as readonly Result<readonly JobSummary[]>[];
      return renderJson(lists.flatMap((list) => (list.kind === 'ok' ? list.value : [])));
    });
  }

  #gather(
    callId: number,
    call: SchedulerCall,
    render: GatheredCall['render'],
  ): readonly GateEffect[] {
    const { members } = this.#router;
    if (members.length === 0) return [this.#respond(callId, render([]))];
    const remainingCount = members.length;
    this.#openCalls.set(callId, { kind: 'gather', values: [], remainingCount, render });
    return members.map(({ memberId, address }) => ({
      kind: 'callScheduler',
      origin: { kind: 'gather', callId, memberId },
      address,
      call,
      timeoutMs: GATHER_TIMEOUT_MS,
    }));
  }

  #applyReply(event: RepliedEvent): readonly GateEffect[] {
    const { origin, result, nowMs } = event;
    switch (origin.kind) {
      case 'routes':
        return this.#applyRoutes(origin, result);
      case 'config':
        if (result.kind !== 'ok') return [];
        return this.#adoptConfig(result.value as AcceptedConfig);
      case 'forward':
        return this.#applyForwardReply(nowMs, origin, result);
      case 'gather':
        return this.#applyGatherReply(origin.callId, result);
      case 'oneWay':
        return [];
      default:
        return assertNever(origin);
    }
  }

  #adoptConfig(config: AcceptedConfig): readonly GateEffect[] {
    if (!this.#config.tryAdopt(config)) return [];
    return [{ kind: 'log', message: 'configuration in force', detail: String(config.version) }];
  }

  #applyRoutes(
    origin: Extract<GateOrigin, { kind: 'routes' }>,
    result: RpcResult<unknown>,
  ): readonly GateEffect[] {
    if (result.kind !== 'ok') {
      this.#schedulerIndex += 1;
      this.#nextRoutesRequestMs = 0;
      return [];
    }
    const routes = result.value as Routes;
    this.#router.update(routes);
    // Admission needs a confirmed configuration; try another scheduler if this one cannot confirm
    // it.
    if (routes.freshForMs === 0) this.#schedulerIndex += 1;
    if (routes.configVersion <= this.#config.version) {
      this.#configFreshUntilMs = Math.max(
        this.#configFreshUntilMs,
        origin.sentMs + routes.freshForMs,
      );
      return [];
    }
    this.#nextRoutesRequestMs = 0;
    return [
      {
        kind: 'callScheduler',
        origin: { kind: 'config' },
        address: origin.address,
        call: { kind: 'getConfig' },
        timeoutMs: ROUTES_TIMEOUT_MS,
      },
    ];
  }

  #applyForwardReply(
    nowMs: number,
    origin: Extract<GateOrigin, { kind: 'forward' }>,
    result: RpcResult<unknown>,
  ): readonly GateEffect[] {
    if (!this.#openCalls.has(origin.callId)) {
      return this.#requestForwarder.applyReply(nowMs, origin, result as RpcResult<RequestOutcome>);
    }
    if (result.kind === 'ok') {
      return [this.#respond(origin.callId, renderResult(result.value as Result<unknown>))];
    }
    const name = result.kind === 'notSent' ? 'noOwner' : 'outcomeUnknown';
    return [this.#refuse(origin.callId, createDiagnostic(name))];
  }

  #applyGatherReply(callId: number, result: RpcResult<unknown>): readonly GateEffect[] {
    const gathered = this.#openCalls.get(callId);
    if (gathered?.kind !== 'gather') return [];
    if (result.kind === 'ok') gathered.values.push(result.value);
    gathered.remainingCount -= 1;
    return gathered.remainingCount > 0
      ? []
      : [this.#respond(callId, gathered.render(gathered.values))];
  }

  #applyCallerGone(callId: number): readonly GateEffect[] {
    this.#openCalls.delete(callId);
    return this.#requestForwarder.applyCallerGone(callId);
  }

  #admit(nowMs: number, token: string): TeamKey | NotRunReason {
    if (this.#isDraining) return 'draining';
    if (nowMs >= this.#configFreshUntilMs) return 'configStale';
    return tryAuthenticate(this.#config.config, token) ?? 'unauthorized';
  }

  #renderHealth(nowMs: number): GateResponse {
    if (this.#isDraining) return renderDiagnostic(createDiagnostic('draining'));
    if (nowMs >= this.#configFreshUntilMs) return renderDiagnostic(createDiagnostic('configStale'));
    return renderJson({ configVersion: this.#config.version });
  }

  #refuse(callId: number, diagnostic: Diagnostic): GateEffect {
    return this.#respond(callId, renderDiagnostic(diagnostic));
  }

  #refuseRequest(callId: number, reason: NotRunReason): GateEffect {
    return this.#respond(callId, renderOutcome({ kind: 'refusedNotRun', reason }));
  }

  #respond(callId: number, response: GateResponse): GateEffect {
    this.#openCalls.delete(callId);
    return { kind: 'respond', callId, answer: response };
  }

  /**
   * Gets the state dump for operators, which contains no secrets.
   * @param nowMs - current time of this process's monotonic clock
   * @returns the state as plain data
   */
  dump(nowMs: number) {
    return {
      gateId: this.#settings.gateId,
      configVersion: this.#config.version,
      freshForMs: this.#configFreshUntilMs - nowMs,
      openCalls: this.openCount,
      members: this.#router.members,
      isDraining: this.#isDraining,
    };
  }
}
