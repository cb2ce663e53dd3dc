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
import { RequestCalls } from './requestCalls';
import { Router } from './router';
import type { GateAnswer, GateCall, GateEffect, GateEvent, GateOrigin } from './types';

const ROUTES_INTERVAL_MS = 500;
const ROUTES_TIMEOUT_MS = 800;
const JOB_TIMEOUT_MS = 5_000;
/**
 * Longer than a scheduler needs to commit a change and get confirmations from all other schedulers.
 */
const CONFIG_TIMEOUT_MS = 9_000;
const GATHER_TIMEOUT_MS = 2_000;

type Arrived = Extract<GateEvent, { kind: 'arrived' }>;
type Replied = Extract<GateEvent, { kind: 'schedulerReplied' }>;
type RequestCall = Extract<GateCall, { kind: 'request' }>;

/** A call that is forwarded to one scheduler. */
interface OpenForward {
  readonly kind: 'forward';
}

/** A call that is sent to all schedulers and answered with their combined results. */
interface OpenGather {
  readonly kind: 'gather';
  readonly values: unknown[];
  remainingCount: number;
  readonly render: (values: readonly unknown[]) => GateAnswer;
}

type OpenCall = OpenForward | OpenGather;

/** State of one gate, changed only by events. */
export class GateCore {
  #settings: GateSettings;

  #config = new ConfigHolder();

  #router: Router;

  #requests: RequestCalls;

  #open = new Map<number, OpenCall>();

  #freshUntilMs = Number.NEGATIVE_INFINITY;

  #nextRoutesMs = 0;

  #addressIndex = 0;

  #isDraining = false;

  #operationCount = 0;

  #instance: string;

  /**
   * @param settings - validated settings
   * @param instance - unique id of this process run, used in operation ids
   */
  constructor(settings: GateSettings, instance: string) {
    this.#settings = settings;
    this.#instance = instance;
    this.#router = new Router(settings.dataCentreId);
    this.#requests = new RequestCalls(this.#router, instance);
  }

  /** Number of calls that have not been answered. */
  get openCount(): number {
    return this.#open.size + this.#requests.openCount;
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
        return [...this.#askRoutes(event.nowMs), ...this.#requests.tick(event.nowMs)];
      case 'arrived':
        return this.#arrive(event);
      case 'callerGone':
        return this.#applyGone(event.callId);
      case 'schedulerReplied':
        return this.#applyReply(event);
      case 'drainRequested':
        this.#isDraining = true;
        return [{ kind: 'log', message: 'draining', detail: '' }];
      default:
        return assertNever(event);
    }
  }

  #askRoutes(nowMs: number): readonly GateEffect[] {
    if (nowMs < this.#nextRoutesMs) return [];
    this.#nextRoutesMs = nowMs + ROUTES_INTERVAL_MS;
    const addresses = this.#settings.schedulerAddresses;
    const address = addresses[this.#addressIndex % addresses.length];
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

  #arrive(event: Arrived): readonly GateEffect[] {
    const { call, callId, nowMs } = event;
    switch (call.kind) {
      case 'health':
        return [this.#respond(callId, this.#renderHealth(nowMs))];
      case 'metrics':
        return [this.#respond(callId, renderDiagnostic(createDiagnostic('unknownPath')))];
      case 'request':
        return this.#arriveRequest(nowMs, callId, call);
      case 'submitJob':
      case 'getJob':
      case 'listJobs':
      case 'cancelJob':
        return this.#arriveJob(nowMs, callId, call);
      case 'getConfig':
      case 'changeConfig':
      case 'dumpState':
      case 'drain':
        return this.#arriveOperator(nowMs, callId, call);
      default:
        return assertNever(call);
    }
  }

  #arriveRequest(nowMs: number, callId: number, call: RequestCall): readonly GateEffect[] {
    const key = this.#admit(nowMs, call.token);
    if (typeof key === 'string') return [this.#refuseRequest(callId, key)];
    const queue = this.#config.checkAdmission(key.teamId, key.keyId, call.queueId);
    if (typeof queue === 'string') return [this.#refuseRequest(callId, queue)];
    if (this.openCount >= this.#settings.maxOpenRequests) {
      return [this.#refuseRequest(callId, 'overloaded')];
    }
    return this.#requests.start(nowMs, callId, call, key);
  }

  #arriveJob(
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
    this.#open.set(callId, { kind: 'forward' });
    const origin: GateOrigin = { kind: 'forward', callId, attempt: 1 };
    const { address } = member;
    return [{ kind: 'callScheduler', origin, address, call, timeoutMs }];
  }

  #arriveOperator(
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
        const newId = `${this.#instance}/${this.#operationCount}`;
        const operationId = toId<OperationId>(call.operationId || newId);
        const { change } = call;
        const forwarded = { kind: 'changeConfig', change, operationId } as const;
        return this.#forward(callId, member, forwarded, CONFIG_TIMEOUT_MS);
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
    render: OpenGather['render'],
  ): readonly GateEffect[] {
    const { members } = this.#router;
    if (members.length === 0) return [this.#respond(callId, render([]))];
    const remainingCount = members.length;
    this.#open.set(callId, { kind: 'gather', values: [], remainingCount, render });
    return members.map(({ memberId, address }) => ({
      kind: 'callScheduler',
      origin: { kind: 'gather', callId, memberId },
      address,
      call,
      timeoutMs: GATHER_TIMEOUT_MS,
    }));
  }

  #applyReply(event: Replied): readonly GateEffect[] {
    const { origin, result, nowMs } = event;
    switch (origin.kind) {
      case 'routes':
        return this.#applyRoutes(origin, result);
      case 'config':
        if (result.kind !== 'ok') return [];
        return this.#adopt(result.value as AcceptedConfig);
      case 'forward':
        return this.#applyForward(nowMs, origin, result);
      case 'gather':
        return this.#applyGather(origin.callId, result);
      case 'oneWay':
        return [];
      default:
        return assertNever(origin);
    }
  }

  #adopt(config: AcceptedConfig): readonly GateEffect[] {
    if (!this.#config.tryAdopt(config)) return [];
    return [{ kind: 'log', message: 'configuration in force', detail: String(config.version) }];
  }

  #applyRoutes(
    origin: Extract<GateOrigin, { kind: 'routes' }>,
    result: RpcResult<unknown>,
  ): readonly GateEffect[] {
    if (result.kind !== 'ok') {
      this.#addressIndex += 1;
      this.#nextRoutesMs = 0;
      return [];
    }
    const routes = result.value as Routes;
    this.#router.update(routes);
    // Admission needs a confirmed configuration; try another scheduler if this one cannot confirm
    // it.
    if (routes.freshForMs === 0) this.#addressIndex += 1;
    if (routes.configVersion <= this.#config.version) {
      this.#freshUntilMs = Math.max(this.#freshUntilMs, origin.sentMs + routes.freshForMs);
      return [];
    }
    this.#nextRoutesMs = 0;
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

  #applyForward(
    nowMs: number,
    origin: Extract<GateOrigin, { kind: 'forward' }>,
    result: RpcResult<unknown>,
  ): readonly GateEffect[] {
    if (!this.#open.has(origin.callId)) {
      return this.#requests.applyReply(nowMs, origin, result as RpcResult<RequestOutcome>);
    }
    if (result.kind === 'ok') {
      return [this.#respond(origin.callId, renderResult(result.value as Result<unknown>))];
    }
    const name = result.kind === 'notSent' ? 'noOwner' : 'outcomeUnknown';
    return [this.#refuse(origin.callId, createDiagnostic(name))];
  }

  #applyGather(callId: number, result: RpcResult<unknown>): readonly GateEffect[] {
    const open = this.#open.get(callId);
    if (open?.kind !== 'gather') return [];
    if (result.kind === 'ok') open.values.push(result.value);
    open.remainingCount -= 1;
    return open.remainingCount > 0 ? [] : [this.#respond(callId, open.render(open.values))];
  }

  #applyGone(callId: number): readonly GateEffect[] {
    this.#open.delete(callId);
    return this.#requests.applyGone(callId);
  }

  #admit(nowMs: number, token: string): TeamKey | NotRunReason {
    if (this.#isDraining) return 'draining';
    if (nowMs >= this.#freshUntilMs) return 'configStale';
    return tryAuthenticate(this.#config.config, token) ?? 'unauthorized';
  }

  #renderHealth(nowMs: number): GateAnswer {
    if (this.#isDraining) return renderDiagnostic(createDiagnostic('draining'));
    if (nowMs >= this.#freshUntilMs) return renderDiagnostic(createDiagnostic('configStale'));
    return renderJson({ configVersion: this.#config.version });
  }

  #refuse(callId: number, diagnostic: Diagnostic): GateEffect {
    return this.#respond(callId, renderDiagnostic(diagnostic));
  }

  #refuseRequest(callId: number, reason: NotRunReason): GateEffect {
    return this.#respond(callId, renderOutcome({ kind: 'refusedNotRun', reason }));
  }

  #respond(callId: number, answer: GateAnswer): GateEffect {
    this.#open.delete(callId);
    return { kind: 'respond', callId, answer };
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
      freshForMs: this.#freshUntilMs - nowMs,
      openCalls: this.openCount,
      members: this.#router.members,
      isDraining: this.#isDraining,
    };
  }
}
