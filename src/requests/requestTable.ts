/** Admits, queues, starts, retries and answers the requests of one scheduler. */

import type { TargetPool } from '../placement/targetPool';
import type { Charge } from '../placement/types';
import type { TargetResult } from '../target/types';
import { assertNever } from '../types/debug';
import type { DataCentreId, TargetId } from '../types/ids';
import type { NotRunReason, RequestOutcome } from '../types/outcomes';
import { MAX_ATTEMPTS, MAX_WAITING_REQUESTS } from './constants';
import { LingeringCharges } from './lingeringCharges';
import { createTargetCall, getNotRunReason, OpenRequest } from './openRequest';
import type { OutcomeMemory } from './outcomeMemory';
import { getRequestKey } from './requestId';
import type { RequestKey } from './requestId';
import { RetryBudget } from './retryBudget';
import { TargetChooser } from './targetChoice';
import type { ChosenTarget } from './targetChoice';
import type {
  AdmissionCheck,
  ArrivedRequest,
  HomeGuard,
  OwnedReport,
  RequestEffect,
  RequestOrigin,
  StartGuard,
  TeamOrder,
} from './types';
import { WaitingRoom } from './waitingRoom';

const EQUAL_TEAMS: TeamOrder = { getPriority: () => 0 };

/** What the request table decides with. */
export interface RequestPorts {
  readonly pool: TargetPool;
  readonly guard: StartGuard;
  /** The check of key and queue, again at the moment of each start. */
  readonly admission: AdmissionCheck;
  readonly homes: HomeGuard;
  readonly memory: OutcomeMemory;
  /** Where the callers are. */
  readonly nearDataCentreId: DataCentreId;
  readonly teamOrder?: TeamOrder;
}

/** What came of trying to start a request. */
type StartAttempt =
  | { readonly kind: 'started'; readonly effect: RequestEffect }
  | { readonly kind: 'full' }
  | { readonly kind: 'refused'; readonly reason: NotRunReason };

interface AbandonedAttempt {
  readonly key: RequestKey;
  readonly charge: Charge;
}

function getAttemptKey(callId: number, attempt: number): string {
  return `${callId}/${attempt}`;
}

/** The request reducer of one scheduler. */
export class RequestTable {
  #homes: HomeGuard;

  #memory: OutcomeMemory;

  #chooser: TargetChooser;

  #waiting: WaitingRoom;

  #lingering: LingeringCharges;

  #pool: TargetPool;

  #budget = new RetryBudget();

  #admission: AdmissionCheck;

  #open = new Map<number, OpenRequest>();

  /** Attempts that were given up and still hold their slot, by call and attempt. */
  #abandoned = new Map<string, AbandonedAttempt>();

  #callIds = new Map<RequestKey, number>();

  #callIdsByCancelId = new Map<string, number>();

  /**
   * @param ports - what it decides with
   */
  constructor(ports: RequestPorts) {
    this.#pool = ports.pool;
    this.#homes = ports.homes;
    this.#memory = ports.memory;
    this.#chooser = new TargetChooser(ports);
    this.#waiting = new WaitingRoom(ports.teamOrder ?? EQUAL_TEAMS);
    this.#lingering = new LingeringCharges(ports.pool);
    this.#admission = ports.admission;
  }

  /** Requests that wait for a target. */
  get waitingCount(): number {
    return this.#waiting.size;
  }

  /** Requests that are not answered yet. */
  get openCount(): number {
    return this.#open.size;
  }

  /**
   * Takes in a request; the id of a non-idempotent one must be in state `unseen`.
   * @param nowMs - this process's clock
   * @param arrived - the request
   * @returns what to do
   */
  start(nowMs: number, arrived: ArrivedRequest): readonly RequestEffect[] {
    const { call, callId } = arrived;
    const key = getRequestKey(call.teamId, call.requestId);
    if (this.#callIds.has(key)) {
      return [{ kind: 'reply', callId, outcome: { kind: 'duplicateRunning' } }];
    }
    const request = new OpenRequest(arrived, nowMs + call.windowRemainingMs);
    this.#open.set(callId, request);
    this.#callIds.set(key, callId);
    this.#callIdsByCancelId.set(call.cancelId, callId);
    if (!call.isIdempotent) this.#memory.reserve(call.teamId, call.requestId);
    this.#budget.recordRequest(nowMs);
    // Those that wait already go first.
    if (this.#waiting.has(call.serviceName)) return this.#admitToWait(nowMs, request);
    return this.#startOrAdmit(nowMs, request);
  }

  /**
   * Cancels a request that has not started.
   * @param nowMs - this process's clock
   * @param cancelId - which, as its gate named it
   * @returns what to do
   */
  cancel(nowMs: number, cancelId: string): readonly RequestEffect[] {
    const request = this.#open.get(this.#callIdsByCancelId.get(cancelId) ?? -1);
    if (request === undefined || request.running !== undefined) return [];
    return [this.#finishRefused(nowMs, request, 'cancelled')];
  }

  /**
   * Takes in what came of a call to a target. A result for an earlier attempt or an unknown request
   * is dropped and counted.
   * @param nowMs - this process's clock
   * @param origin - which attempt of which request
   * @param result - what came
   * @returns what to do
   */
  applyTargetResult(
    nowMs: number,
    origin: RequestOrigin,
    result: TargetResult,
  ): readonly RequestEffect[] {
    const request = this.#open.get(origin.callId);
    const running = request?.attempt === origin.attempt ? request.running : undefined;
    if (request === undefined || running === undefined) {
      return this.#applyLateResult(nowMs, origin, result);
    }
    this.#endAttempt(nowMs, request, running, result);
    return [
      ...this.#settle(nowMs, request, running.target.targetId, result),
      ...this.startWaiting(nowMs),
    ];
  }

  /** The answer to an attempt that was given up frees its slot and goes to nobody. */
  #applyLateResult(
    nowMs: number,
    { callId, attempt }: RequestOrigin,
    result: TargetResult,
  ): readonly RequestEffect[] {
    const key = getAttemptKey(callId, attempt);
    const abandoned = this.#abandoned.get(key);
    this.#abandoned.delete(key);
    if (abandoned !== undefined) this.#freeCharge(nowMs, abandoned, result);
    return [{ kind: 'count', name: 'late_target_answers' }, ...this.startWaiting(nowMs)];
  }

  /** What was lost may still run and take its slot. */
  #freeCharge(nowMs: number, { key, charge }: AbandonedAttempt, result: TargetResult): void {
    if (result.kind === 'lost') this.#lingering.add(nowMs, key, charge);
    else this.#pool.release(charge);
  }

  #giveUpAttempts(nowMs: number): readonly RequestEffect[] {
    const overdue = [...this.#open.values()].filter((request) => nowMs >= request.attemptEndMs);
    return overdue.flatMap((request) => {
      const { running, attempt } = request;
      request.attemptEndMs = Number.POSITIVE_INFINITY;
      if (running === undefined) return [];
      const { callId, call } = request.arrived;
      const key = getRequestKey(call.teamId, call.requestId);
      this.#abandoned.set(getAttemptKey(callId, attempt), { key, charge: running.charge });
      request.running = undefined;
      this.#waiting.recordEnd(call.serviceName);
      const lost = { kind: 'lost', detail: 'timeout' } as const;
      return this.#settle(nowMs, request, running.target.targetId, lost);
    });
  }

  /**
   * Takes in what a target reports to be running, so that lost requests that ended are given back.
   * @param nowMs - this process's clock
   * @param owned - what it reports
   * @returns what to do
   */
  applyReport(nowMs: number, owned: OwnedReport): readonly RequestEffect[] {
    if (owned.isTakeover) {
      this.#lingering.adopt(owned, this.#getKeysOn(owned.target.targetId));
      return [];
    }
    return this.#lingering.settle(owned) ? this.startWaiting(nowMs) : [];
  }

  /**
   * Refuses what waited past its window and starts what there is room for.
   * @param nowMs - this process's clock
   * @returns what to do
   */
  tick(nowMs: number): readonly RequestEffect[] {
    const expired = this.#waiting.getExpired(nowMs).flatMap((callId) => {
      const request = this.#open.get(callId);
      return request === undefined ? [] : [this.#finishRefused(nowMs, request, 'windowExpired')];
    });
    return [...expired, ...this.#giveUpAttempts(nowMs), ...this.startWaiting(nowMs)];
  }

  /**
   * Starts what waits as far as there is room, in the order of the queues.
   * @param nowMs - this process's clock
   * @returns what to do
   */
  startWaiting(nowMs: number): readonly RequestEffect[] {
    return this.#waiting.serviceNames.flatMap((name) => this.#startWaitingOf(nowMs, name));
  }

  /** Gets the requests that this owner has charged on a target, given up or not. */
  #getKeysOn(targetId: TargetId): ReadonlySet<RequestKey> {
    const abandoned = [...this.#abandoned.values()]
      .filter(({ charge }) => charge.targetId === targetId)
      .map(({ key }) => key);
    const running = [...this.#open.values()]
      .filter((request) => request.running?.charge.targetId === targetId)
      .map(({ arrived: { call } }) => getRequestKey(call.teamId, call.requestId));
    return new Set([...abandoned, ...running]);
  }

  #startWaitingOf(nowMs: number, serviceName: string): readonly RequestEffect[] {
    const effects: RequestEffect[] = [];
    for (;;) {
      const request = this.#open.get(this.#waiting.peek(serviceName) ?? -1);
      if (request === undefined) return effects;
      if (this.#waiting.isPastHope(nowMs, request)) {
        effects.push(this.#finishRefused(nowMs, request, 'windowExpired'));
        continue;
      }
      const attempt = this.#tryStart(nowMs, request);
      if (attempt.kind === 'full') return effects;
      this.#waiting.remove(request);
      if (attempt.kind === 'started') effects.push(attempt.effect);
      else effects.push(this.#finishRefused(nowMs, request, attempt.reason));
    }
  }

  #startOrAdmit(nowMs: number, request: OpenRequest): readonly RequestEffect[] {
    const attempt = this.#tryStart(nowMs, request);
    switch (attempt.kind) {
      case 'started':
        return [attempt.effect];
      case 'full':
        return this.#admitToWait(nowMs, request);
      case 'refused':
        return [this.#finishRefused(nowMs, request, attempt.reason)];
      default:
        return assertNever(attempt);
    }
  }

  /** Refuses at once what would not be answered within its window. */
  #admitToWait(nowMs: number, request: OpenRequest): readonly RequestEffect[] {
    const isFull = this.#waiting.size >= MAX_WAITING_REQUESTS;
    if (isFull || !this.#waiting.isHopeful(nowMs, request)) {
      return [this.#finishRefused(nowMs, request, 'overloaded')];
    }
    this.#waiting.push(request);
    return [];
  }

  #endAttempt(
    nowMs: number,
    request: OpenRequest,
    running: ChosenTarget,
    result: TargetResult,
  ): void {
    const { teamId, serviceName, requestId } = request.arrived.call;
    request.running = undefined;
    request.attemptEndMs = Number.POSITIVE_INFINITY;
    this.#waiting.recordEnd(serviceName);
    if (result.kind === 'answer')
      this.#waiting.times.record(serviceName, nowMs - request.startedMs);
    const key = getRequestKey(teamId, requestId);
    this.#freeCharge(nowMs, { key, charge: running.charge }, result);
  }

  #settle(
    nowMs: number,
    request: OpenRequest,
    targetId: TargetId | undefined,
    result: TargetResult,
  ): readonly RequestEffect[] {
    switch (result.kind) {
      case 'answer': {
        const { status, contentType, bodyBase64 } = result;
        const answer = { status, contentType, bodyBase64, targetId: targetId ?? '' };
        return [this.#finish(nowMs, request, { kind: 'answered', ...answer })];
      }
      case 'refused':
      case 'notSent':
        if (request.attempt >= MAX_ATTEMPTS) {
          return [this.#finishRefused(nowMs, request, 'targetRefused')];
        }
        return this.#startOrAdmit(nowMs, request);
      case 'lost':
        request.mayHaveRun = true;
        if (this.#mayRetry(nowMs, request)) return this.#startOrAdmit(nowMs, request);
        return [this.#finish(nowMs, request, { kind: 'unknown', detail: result.detail })];
      case 'accepted':
      case 'report':
        return [this.#finish(nowMs, request, { kind: 'unknown', detail: 'unexpected answer' })];
      default:
        return assertNever(result);
    }
  }

  /** An attempt that may have run is repeated only when running twice does no harm. */
  #mayRetry(nowMs: number, request: OpenRequest): boolean {
    if (!request.arrived.call.isIdempotent) return false;
    if (request.attempt >= MAX_ATTEMPTS || nowMs >= request.deadlineMs) return false;
    return this.#budget.trySpend(nowMs);
  }

  #tryStart(nowMs: number, request: OpenRequest): StartAttempt {
    const { call } = request.arrived;
    if (nowMs >= request.deadlineMs) return { kind: 'refused', reason: 'windowExpired' };
    const admitted = this.#admission.checkAdmission(call.teamId, call.keyId, call.queueId);
    if (typeof admitted === 'string') return { kind: 'refused', reason: admitted };
    const homeUntilMs = call.isIdempotent
      ? Number.POSITIVE_INFINITY
      : this.#homes.getHomeUntilMs(call.requestId);
    if (nowMs >= homeUntilMs) return { kind: 'refused', reason: 'noOwner' };
    const choice = this.#chooser.tryChoose(nowMs, call, request.triedTargetIds);
    switch (choice.kind) {
      case 'full':
        return { kind: 'full' };
      case 'limitReached':
      case 'noTarget':
        return { kind: 'refused', reason: getNotRunReason(choice.kind, call.serviceName) };
      case 'chosen': {
        request.begin(nowMs, choice.chosen);
        this.#waiting.recordStart(call.serviceName);
        const attemptMs = this.#getAttemptMs(nowMs, request);
        return {
          kind: 'started',
          effect: createTargetCall(nowMs, request, choice.chosen, { attemptMs, homeUntilMs }),
        };
      }
      default:
        return assertNever(choice);
    }
  }

  /** A first attempt is given up early only where a second could still be made. */
  #getAttemptMs(nowMs: number, request: OpenRequest): number {
    const { isIdempotent, serviceName } = request.arrived.call;
    const isLast = request.attempt >= MAX_ATTEMPTS;
    if (!isIdempotent || isLast || !this.#budget.canSpend(nowMs)) return Number.POSITIVE_INFINITY;
    return this.#waiting.times.getAttemptMs(serviceName);
  }

  #finishRefused(nowMs: number, request: OpenRequest, reason: NotRunReason): RequestEffect {
    if (!request.mayHaveRun) return this.#finish(nowMs, request, { kind: 'refusedNotRun', reason });
    const detail = `an attempt was lost, then: ${reason}`;
    return this.#finish(nowMs, request, { kind: 'unknown', detail });
  }

  #finish(nowMs: number, request: OpenRequest, outcome: RequestOutcome): RequestEffect {
    const { call, callId } = request.arrived;
    this.#waiting.remove(request);
    this.#open.delete(callId);
    this.#callIds.delete(getRequestKey(call.teamId, call.requestId));
    this.#callIdsByCancelId.delete(call.cancelId);
    if (!call.isIdempotent) this.#memory.record(nowMs, call.teamId, call.requestId, outcome);
    return { kind: 'reply', callId, outcome };
  }
}
