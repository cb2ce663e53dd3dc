/** Admits, queues, starts, retries and answers the requests of one scheduler. */

import type { TargetPool } from '../placement/targetPool';
import type { Charge } from '../placement/types';
import type { TargetResult } from '../target/types';
import { assertNever } from '../types/debug';
import type { DataCentreId, TargetId } from '../types/ids';
import type { NotRunReason, RequestOutcome } from '../types/outcomes';
import { MAX_ATTEMPTS, MAX_WAITING_REQUESTS } from './constants';
import { UnresolvedCharges } from './unresolvedCharges';
import { createTargetCall, getNotRunReason, OpenRequest } from './openRequest';
import type { DeduplicationTable } from './deduplicationTable';
import { getRequestKey } from './requestId';
import type { RequestKey } from './requestId';
import { RetryBudget } from './retryBudget';
import { TargetChooser } from './targetChooser';
import type { ChosenTarget } from './targetChooser';
import type {
  AdmissionCheck,
  ArrivedRequest,
  HomeGuard,
  OwnedTargetReport,
  RequestEffect,
  RequestOrigin,
  StartGuard,
  TeamOrder,
} from './types';
import { WaitQueues } from './waitQueues';

const EQUAL_TEAM_PRIORITIES: TeamOrder = { getPriority: () => 0 };

/** Dependencies of the request table. */
export interface RequestTablePorts {
  readonly pool: TargetPool;
  readonly guard: StartGuard;
  /**
   * Checks key and queue, repeated before each start because the configuration may have changed.
   */
  readonly admission: AdmissionCheck;
  readonly homeGuard: HomeGuard;
  readonly deduplication: DeduplicationTable;
  /** Data centre of the callers. */
  readonly nearDataCentreId: DataCentreId;
  readonly teamOrder?: TeamOrder;
}

/** Result of trying to start a request. */
type StartResult =
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
  #homeGuard: HomeGuard;

  #deduplication: DeduplicationTable;

  #chooser: TargetChooser;

  #waitQueues: WaitQueues;

  #unresolvedCharges: UnresolvedCharges;

  #pool: TargetPool;

  #retryBudget = new RetryBudget();

  #admission: AdmissionCheck;

  #openRequests = new Map<number, OpenRequest>();

  /** Timed-out attempts that still hold their slot, by call id and attempt number. */
  #abandonedAttempts = new Map<string, AbandonedAttempt>();

  #callIdsByKey = new Map<RequestKey, number>();

  #callIdsByCancelId = new Map<string, number>();

  /**
   * @param ports - dependencies
   */
  constructor(ports: RequestTablePorts) {
    this.#pool = ports.pool;
    this.#homeGuard = ports.homeGuard;
    this.#deduplication = ports.deduplication;
    this.#chooser = new TargetChooser(ports);
    this.#waitQueues = new WaitQueues(ports.teamOrder ?? EQUAL_TEAM_PRIORITIES);
    this.#unresolvedCharges = new UnresolvedCharges(ports.pool);
    this.#admission = ports.admission;
  }

  /** Number of requests that are waiting for a target. */
  get waitingCount(): number {
    return this.#waitQueues.size;
  }

  /** Number of requests that have not been answered. */
  get openCount(): number {
    return this.#openRequests.size;
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
    if (this.#callIdsByKey.has(key)) {
      return [{ kind: 'reply', callId, outcome: { kind: 'duplicateRunning' } }];
    }
    const request = new OpenRequest(arrived, nowMs + call.windowRemainingMs);
    this.#openRequests.set(callId, request);
    this.#callIdsByKey.set(key, callId);
    this.#callIdsByCancelId.set(call.cancelId, callId);
    if (!call.isIdempotent) this.#deduplication.reserve(call.teamId, call.requestId);
    this.#retryBudget.recordRequest(nowMs);
    // Requests that are already queued for the service go first.
    if (this.#waitQueues.has(call.serviceName)) return this.#enqueueOrRefuse(nowMs, request);
    return this.#startOrEnqueue(nowMs, request);
  }

  /**
   * Cancels a request that has not started.
   * @param nowMs - current time of this process's monotonic clock
   * @param cancelId - cancellation id assigned by the gate
   * @returns the effects to perform
   */
  cancel(nowMs: number, cancelId: string): readonly RequestEffect[] {
    const request = this.#openRequests.get(this.#callIdsByCancelId.get(cancelId) ?? -1);
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
    const request = this.#openRequests.get(origin.callId);
    const chosen = request?.attempt === origin.attempt ? request.running : undefined;
    if (request === undefined || chosen === undefined) {
      return this.#applyLateResult(nowMs, origin, result);
    }
    this.#endAttempt(nowMs, request, chosen, result);
    return [
      ...this.#applyOpenResult(nowMs, request, chosen.target.targetId, result),
      ...this.startWaitingRequests(nowMs),
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
    const abandoned = this.#abandonedAttempts.get(key);
    this.#abandonedAttempts.delete(key);
    if (abandoned !== undefined) this.#releaseOrKeepCharge(nowMs, abandoned, result);
    return [{ kind: 'count', name: 'late_target_answers' }, ...this.startWaitingRequests(nowMs)];
  }

  /** A lost attempt may still be running and occupying its slot, so its charge is kept. */
  #releaseOrKeepCharge(
    nowMs: number,
    { key, charge }: AbandonedAttempt,
    result: TargetResult,
  ): void {
    if (result.kind === 'lost') this.#unresolvedCharges.add(nowMs, key, charge);
    else this.#pool.release(charge);
  }

  #abandonOverdueAttempts(nowMs: number): readonly RequestEffect[] {
    const overdue = [...this.#openRequests.values()].filter(
      (request) => nowMs >= request.attemptDeadlineMs,
    );
    return overdue.flatMap((request) => {
      const { running: chosen, attempt } = request;
      request.attemptDeadlineMs = Number.POSITIVE_INFINITY;
      if (chosen === undefined) return [];
      const { callId, call } = request.arrived;
      const key = getRequestKey(call.teamId, call.requestId);
      this.#abandonedAttempts.set(getAttemptKey(callId, attempt), { key, charge: chosen.charge });
      request.running = undefined;
      this.#waitQueues.recordEnd(call.serviceName);
      const lost = { kind: 'lost', detail: 'timeout' } as const;
      return this.#applyOpenResult(nowMs, request, chosen.target.targetId, lost);
    });
  }

  /**
   * Handles a target report and releases the charges of lost requests that have ended.
   * @param nowMs - current time of this process's monotonic clock
   * @param owned - the target's report
   * @returns the effects to perform
   */
  applyReport(nowMs: number, owned: OwnedTargetReport): readonly RequestEffect[] {
    if (owned.isTakeover) {
      this.#unresolvedCharges.chargeInherited(owned, this.#getChargedKeys(owned.target.targetId));
      return [];
    }
    return this.#unresolvedCharges.releaseFinished(owned) ? this.startWaitingRequests(nowMs) : [];
  }

  /**
   * Refuses expired requests, times out attempts and starts waiting requests.
   * @param nowMs - current time of this process's monotonic clock
   * @returns the effects to perform
   */
  tick(nowMs: number): readonly RequestEffect[] {
    const expired = this.#waitQueues.getExpired(nowMs).flatMap((callId) => {
      const request = this.#openRequests.get(callId);
      return request === undefined ? [] : [this.#finishRefused(nowMs, request, 'windowExpired')];
    });
    return [
      ...expired,
      ...this.#abandonOverdueAttempts(nowMs),
      ...this.startWaitingRequests(nowMs),
    ];
  }

  /**
   * Starts waiting requests in queue order while there is capacity.
   * @param nowMs - current time of this process's monotonic clock
   * @returns the effects to perform
   */
  startWaitingRequests(nowMs: number): readonly RequestEffect[] {
    return this.#waitQueues.serviceNames.flatMap((name) =>
      this.#startWaitingForService(nowMs, name),
    );
  }

  /** Gets the keys of all requests charged on a target, including abandoned attempts. */
  #getChargedKeys(targetId: TargetId): ReadonlySet<RequestKey> {
    const abandoned = [...this.#abandonedAttempts.values()]
      .filter(({ charge }) => charge.targetId === targetId)
      .map(({ key }) => key);
    const running = [...this.#openRequests.values()]
      .filter((request) => request.running?.charge.targetId === targetId)
      .map(({ arrived: { call } }) => getRequestKey(call.teamId, call.requestId));
    return new Set([...abandoned, ...running]);
  }

  #startWaitingForService(nowMs: number, serviceName: string): readonly RequestEffect[] {
    const effects: RequestEffect[] = [];
    for (;;) {
      const request = this.#openRequests.get(this.#waitQueues.peek(serviceName) ?? -1);
      if (request === undefined) return effects;
      if (this.#waitQueues.wouldMissDeadline(nowMs, request)) {
        effects.push(this.#finishRefused(nowMs, request, 'windowExpired'));
        continue;
      }
      const result = this.#tryStart(nowMs, request);
      if (result.kind === 'full') return effects;
      this.#waitQueues.remove(request);
      if (result.kind === 'started') effects.push(result.effect);
      else effects.push(this.#finishRefused(nowMs, request, result.reason));
    }
  }

  #startOrEnqueue(nowMs: number, request: OpenRequest): readonly RequestEffect[] {
    const result = this.#tryStart(nowMs, request);
    switch (result.kind) {
      case 'started':
        return [result.effect];
      case 'full':
        return this.#enqueueOrRefuse(nowMs, request);
      case 'refused':
        return [this.#finishRefused(nowMs, request, result.reason)];
      default:
        return assertNever(result);
    }
  }

  /**
   * Queues a request, or refuses it immediately if it would not be answered before its deadline.
   */
  #enqueueOrRefuse(nowMs: number, request: OpenRequest): readonly RequestEffect[] {
    const isFull = this.#waitQueues.size >= MAX_WAITING_REQUESTS;
    if (isFull || !this.#waitQueues.canMeetDeadline(nowMs, request)) {
      return [this.#finishRefused(nowMs, request, 'overloaded')];
    }
    this.#waitQueues.push(request);
    return [];
  }

  #endAttempt(
    nowMs: number,
    request: OpenRequest,
    chosen: ChosenTarget,
    result: TargetResult,
  ): void {
    const { teamId, serviceName, requestId } = request.arrived.call;
    request.running = undefined;
    request.attemptDeadlineMs = Number.POSITIVE_INFINITY;
    this.#waitQueues.recordEnd(serviceName);
    if (result.kind === 'answer')
      this.#waitQueues.times.record(serviceName, nowMs - request.startedMs);
    const key = getRequestKey(teamId, requestId);
    this.#releaseOrKeepCharge(nowMs, { key, charge: chosen.charge }, result);
  }

  #applyOpenResult(
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
        return this.#startOrEnqueue(nowMs, request);
      case 'lost':
        request.mayHaveRun = true;
        if (this.#trySpendRetry(nowMs, request)) return this.#startOrEnqueue(nowMs, request);
        return [this.#finish(nowMs, request, { kind: 'unknown', detail: result.detail })];
      case 'accepted':
      case 'report':
        return [this.#finish(nowMs, request, { kind: 'unknown', detail: 'unexpected answer' })];
      default:
        return assertNever(result);
    }
  }

  /** An attempt that may have run is retried only if the request is idempotent. */
  #trySpendRetry(nowMs: number, request: OpenRequest): boolean {
    if (!request.arrived.call.isIdempotent) return false;
    if (request.attempt >= MAX_ATTEMPTS || nowMs >= request.deadlineMs) return false;
    return this.#retryBudget.trySpend(nowMs);
  }

  #tryStart(nowMs: number, request: OpenRequest): StartResult {
    const { call } = request.arrived;
    if (nowMs >= request.deadlineMs) return { kind: 'refused', reason: 'windowExpired' };
    const admission = this.#admission.checkAdmission(call.teamId, call.keyId, call.queueId);
    if (typeof admission === 'string') return { kind: 'refused', reason: admission };
    const homeUntilMs = call.isIdempotent
      ? Number.POSITIVE_INFINITY
      : this.#homeGuard.getHomeUntilMs(call.requestId);
    if (nowMs >= homeUntilMs) return { kind: 'refused', reason: 'noOwner' };
    const choice = this.#chooser.tryChoose(nowMs, call, request.triedTargetIds);
    switch (choice.kind) {
      case 'full':
        return { kind: 'full' };
      case 'limitReached':
      case 'noTarget':
        return { kind: 'refused', reason: getNotRunReason(choice.kind, call.serviceName) };
      case 'chosen': {
        request.beginAttempt(nowMs, choice.chosen);
        this.#waitQueues.recordStart(call.serviceName);
        const attemptTimeoutMs = this.#getAttemptTimeoutMs(nowMs, request);
        return {
          kind: 'started',
          effect: createTargetCall(nowMs, request, choice.chosen, {
            attemptTimeoutMs,
            homeUntilMs,
          }),
        };
      }
      default:
        return assertNever(choice);
    }
  }

  /** An attempt times out before the deadline only if another attempt could still be made. */
  #getAttemptTimeoutMs(nowMs: number, request: OpenRequest): number {
    const { isIdempotent, serviceName } = request.arrived.call;
    const isLast = request.attempt >= MAX_ATTEMPTS;
    if (!isIdempotent || isLast || !this.#retryBudget.canSpend(nowMs))
      return Number.POSITIVE_INFINITY;
    return this.#waitQueues.times.getAttemptTimeoutMs(serviceName);
  }

  #finishRefused(nowMs: number, request: OpenRequest, reason: NotRunReason): RequestEffect {
    if (!request.mayHaveRun) return this.#finish(nowMs, request, { kind: 'refusedNotRun', reason });
    const detail = `an attempt was lost, then: ${reason}`;
    return this.#finish(nowMs, request, { kind: 'unknown', detail });
  }

  #finish(nowMs: number, request: OpenRequest, outcome: RequestOutcome): RequestEffect {
    const { call, callId } = request.arrived;
    this.#waitQueues.remove(request);
    this.#openRequests.delete(callId);
    this.#callIdsByKey.delete(getRequestKey(call.teamId, call.requestId));
    this.#callIdsByCancelId.delete(call.cancelId);
    if (!call.isIdempotent) this.#deduplication.record(nowMs, call.teamId, call.requestId, outcome);
    return { kind: 'reply', callId, outcome };
  }
}
