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

/** Dependencies of the request table. */
export interface RequestPorts {
  readonly pool: TargetPool;
  readonly guard: StartGuard;
  /**
   * Checks key and queue, repeated before each start because the configuration may have changed.
   */
  readonly admission: AdmissionCheck;
  readonly homes: HomeGuard;
  readonly memory: OutcomeMemory;
  /** Data centre of the callers. */
  readonly nearDataCentreId: DataCentreId;
  readonly teamOrder?: TeamOrder;
}

/** Result of trying to start a request. */
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

/** Reducer for the requests of one scheduler. */
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

  /** Timed-out attempts that still hold their slot, by call id and attempt number. */
  #abandoned = new Map<string, AbandonedAttempt>();

  #callIds = new Map<RequestKey, number>();

  #callIdsByCancelId = new Map<string, number>();

  /**
   * @param ports - dependencies
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

  /** Number of requests that are waiting for a target. */
  get waitingCount(): number {
    return this.#waiting.size;
  }

  /** Number of requests that have not been answered. */
  get openCount(): number {
    return this.#open.size;
  }

  /**
   * Handles a new request; the id of a non-idempotent request must be in state `unseen`.
   * @param nowMs - current time of this process's monotonic clock
   * @param arrived - the request as received
   * @returns the effects to perform
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
    // Requests that are already queued for the service go first.
    if (this.#waiting.has(call.serviceName)) return this.#admitToWait(nowMs, request);
    return this.#startOrAdmit(nowMs, request);
  }

  /**
   * Cancels a request that has not started.
   * @param nowMs - current time of this process's monotonic clock
   * @param cancelId - cancellation id assigned by the gate
   * @returns the effects to perform
   */
  cancel(nowMs: number, cancelId: string): readonly RequestEffect[] {
    const request = this.#open.get(this.#callIdsByCancelId.get(cancelId) ?? -1);
    if (request === undefined || request.running !== undefined) return [];
    return [this.#finishRefused(nowMs, request, 'cancelled')];
  }

  /**
   * Handles the result of a target call. A result for an earlier attempt or an unknown request is
   * counted and only releases its charge.
   * @param nowMs - current time of this process's monotonic clock
   * @param origin - the attempt that the result belongs to
   * @param result - result of the call
   * @returns the effects to perform
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

  /**
   * Handles a late result: the slot of the abandoned attempt is released and the result discarded.
   */
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

  /** A lost attempt may still be running and occupying its slot, so its charge is kept. */
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
   * Handles a target report and releases the charges of lost requests that have ended.
   * @param nowMs - current time of this process's monotonic clock
   * @param owned - the target's report
   * @returns the effects to perform
   */
  applyReport(nowMs: number, owned: OwnedReport): readonly RequestEffect[] {
    if (owned.isTakeover) {
      this.#lingering.adopt(owned, this.#getKeysOn(owned.target.targetId));
      return [];
    }
    return this.#lingering.settle(owned) ? this.startWaiting(nowMs) : [];
  }

  /**
   * Refuses expired requests, times out attempts and starts waiting requests.
   * @param nowMs - current time of this process's monotonic clock
   * @returns the effects to perform
   */
  tick(nowMs: number): readonly RequestEffect[] {
    const expired = this.#waiting.getExpired(nowMs).flatMap((callId) => {
      const request = this.#open.get(callId);
      return request === undefined ? [] : [this.#finishRefused(nowMs, request, 'windowExpired')];
    });
    return [...expired, ...this.#giveUpAttempts(nowMs), ...this.startWaiting(nowMs)];
  }

  /**
   * Starts waiting requests in queue order while there is capacity.
   * @param nowMs - current time of this process's monotonic clock
   * @returns the effects to perform
   */
  startWaiting(nowMs: number): readonly RequestEffect[] {
    return this.#waiting.serviceNames.flatMap((name) => this.#startWaitingOf(nowMs, name));
  }

  /** Gets the keys of all requests charged on a target, including abandoned attempts. */
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

  /**
   * Queues a request, or refuses it immediately if it would not be answered before its deadline.
   */
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

  /** An attempt that may have run is retried only if the request is idempotent. */
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

  /** An attempt times out before the deadline only if another attempt could still be made. */
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
