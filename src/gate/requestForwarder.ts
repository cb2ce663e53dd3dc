/** Forwards admitted requests to schedulers and retries them until they are answered. */

import type { TeamKey } from '../config/types';
import { RetryBudget } from '../requests/retryBudget';
import { LatencyEstimator } from '../requests/latencyEstimator';
import type { RequestStart, RpcResult } from '../rpc/types';
import { assertNever } from '../types/debug';
import type { MemberId } from '../types/ids';
import type { NotRunReason, RequestOutcome } from '../types/outcomes';
import { renderOutcome } from './render';
import type { Router } from './router';
import type { GateCall, GateEffect, GateOrigin } from './types';

/** Maximum number of attempts that may end with a lost response. */
const MAX_LOST_ATTEMPTS = 3;
const MAX_ATTEMPTS = 32;
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1_000;
const CANCEL_TIMEOUT_MS = 800;

type RequestCall = Extract<GateCall, { kind: 'request' }>;
type ForwardOrigin = Extract<GateOrigin, { kind: 'forward' }>;

/** State of a request that has not been answered. */
interface ForwardedRequest {
  readonly callId: number;
  readonly call: RequestCall;
  readonly key: TeamKey;
  readonly deadlineMs: number;
  readonly triedMemberIds: Set<MemberId>;
  /** Scheduler address of the current attempt; undefined while the request is backing off. */
  address: string | undefined;
  attempt: number;
  sentMs: number;
  lostCount: number;
  pauseMs: number;
  /** Time of the next attempt; undefined while an attempt is in progress. */
  retryAtMs: number | undefined;
  lastRefusal: NotRunReason;
}

/** How to proceed after a scheduler refused a request. */
type RefusalAction = 'answer' | 'tryOthers' | 'tryOthersThenWait';

/** Refusals that depend on the state of one scheduler are retried on others. */
function getRefusalAction(reason: NotRunReason): RefusalAction {
  switch (reason) {
    case 'noOwner':
    case 'draining':
    case 'configStale':
    case 'unknownService':
      return 'tryOthersThenWait';
    case 'noCapacity':
    case 'limitReached':
    case 'overloaded':
      return 'tryOthers';
    case 'windowExpired':
    case 'unknownQueue':
    case 'queueForbidden':
    case 'unauthorized':
    case 'cancelled':
    case 'badRequestId':
    case 'targetRefused':
      return 'answer';
    default:
      return assertNever(reason);
  }
}

/** Forwards the requests of one gate. */
export class RequestForwarder {
  #router: Router;

  #instanceId: string;

  #openRequests = new Map<number, ForwardedRequest>();

  #backingOff = new Set<ForwardedRequest>();

  #retryBudget = new RetryBudget();

  #latencies = new LatencyEstimator();

  /**
   * @param router - selects schedulers
   * @param instance - unique id of this process run
   */
  constructor(router: Router, instance: string) {
    this.#router = router;
    this.#instanceId = instance;
  }

  /** Number of requests that have not been answered. */
  get openCount(): number {
    return this.#openRequests.size;
  }

  /**
   * Starts forwarding an admitted request.
   * @param nowMs - current time of this process's monotonic clock
   * @param callId - id of the call
   * @param call - the request
   * @param key - key that authenticated the request
   * @returns the effects to perform
   */
  start(nowMs: number, callId: number, call: RequestCall, key: TeamKey): readonly GateEffect[] {
    const request: ForwardedRequest = {
      callId,
      call,
      key,
      deadlineMs: nowMs + call.windowMs,
      triedMemberIds: new Set(),
      address: undefined,
      attempt: 0,
      sentMs: nowMs,
      lostCount: 0,
      pauseMs: INITIAL_BACKOFF_MS,
      retryAtMs: undefined,
      lastRefusal: 'noOwner',
    };
    this.#openRequests.set(callId, request);
    this.#retryBudget.recordRequest(nowMs);
    return this.#forwardOrBackOff(nowMs, request);
  }

  /**
   * Retries requests whose back-off has elapsed and refuses expired ones.
   * @param nowMs - current time of this process's monotonic clock
   * @returns the effects to perform
   */
  tick(nowMs: number): readonly GateEffect[] {
    const due = [...this.#backingOff].filter(
      (request) =>
        nowMs >= request.deadlineMs || nowMs >= (request.retryAtMs ?? Number.POSITIVE_INFINITY),
    );
    return due.flatMap((request) => {
      this.#backingOff.delete(request);
      request.retryAtMs = undefined;
      request.triedMemberIds.clear();
      return this.#forwardOrBackOff(nowMs, request);
    });
  }

  /**
   * Handles a scheduler's reply. A reply to an earlier attempt is discarded and counted.
   * @param nowMs - current time of this process's monotonic clock
   * @param origin - the attempt that the reply belongs to
   * @param result - the reply, or how the call failed
   * @returns the effects to perform
   */
  applyReply(
    nowMs: number,
    origin: ForwardOrigin,
    result: RpcResult<RequestOutcome>,
  ): readonly GateEffect[] {
    const request = this.#openRequests.get(origin.callId);
    if (
      request === undefined ||
      request.attempt !== origin.attempt ||
      this.#backingOff.has(request)
    ) {
      return [{ kind: 'count', name: 'late_scheduler_answers' }];
    }
    switch (result.kind) {
      case 'ok':
        return this.#applyOutcome(nowMs, request, result.value);
      case 'notSent':
        request.lastRefusal = 'noOwner';
        return this.#forwardOrBackOff(nowMs, request);
      case 'error':
      case 'lost':
        return this.#applyLost(nowMs, request);
      default:
        return assertNever(result);
    }
  }

  /**
   * Cancels the request of a caller that disconnected.
   * @param callId - id of the call
   * @returns the effects to perform
   */
  applyCallerGone(callId: number): readonly GateEffect[] {
    const request = this.#openRequests.get(callId);
    if (request === undefined) return [];
    this.#close(request);
    return this.#cancel(request);
  }

  #applyOutcome(
    nowMs: number,
    request: ForwardedRequest,
    outcome: RequestOutcome,
  ): readonly GateEffect[] {
    if (outcome.kind === 'answered') {
      this.#latencies.record(request.call.serviceName, nowMs - request.sentMs);
    }
    if (outcome.kind !== 'refusedNotRun') return [this.#respond(request, outcome)];
    request.lastRefusal = outcome.reason;
    const action = getRefusalAction(outcome.reason);
    if (action === 'answer') return [this.#finishRefused(request, outcome)];
    return this.#forwardOrBackOff(nowMs, request);
  }

  /** A non-idempotent request whose response was lost may have run, so it is never sent again. */
  #applyLost(nowMs: number, request: ForwardedRequest): readonly GateEffect[] {
    request.lostCount += 1;
    const mayRetry =
      request.call.isIdempotent &&
      request.lostCount < MAX_LOST_ATTEMPTS &&
      nowMs < request.deadlineMs &&
      this.#retryBudget.trySpend(nowMs);
    if (mayRetry) return [...this.#cancel(request), ...this.#forwardOrBackOff(nowMs, request)];
    const detail = 'the scheduler did not answer';
    return [...this.#cancel(request), this.#respond(request, { kind: 'unknown', detail })];
  }

  /**
   * Forwards a request to the best untried scheduler; if none is left, backs off or refuses the
   * request.
   */
  #forwardOrBackOff(nowMs: number, request: ForwardedRequest): readonly GateEffect[] {
    const windowRemainingMs = request.deadlineMs - nowMs;
    if (windowRemainingMs <= 0) {
      return [this.#finishRefused(request, { kind: 'refusedNotRun', reason: 'windowExpired' })];
    }
    const member =
      request.attempt < MAX_ATTEMPTS
        ? this.#router.tryPickScheduler(request.call, request.triedMemberIds)
        : undefined;
    if (member !== undefined) {
      request.triedMemberIds.add(member.memberId);
      request.attempt += 1;
      request.sentMs = nowMs;
      request.address = member.address;
      return [this.#createForward(nowMs, request, member.address, windowRemainingMs)];
    }
    const mayWait = getRefusalAction(request.lastRefusal) === 'tryOthersThenWait';
    if (mayWait && windowRemainingMs > request.pauseMs && request.attempt < MAX_ATTEMPTS) {
      request.address = undefined;
      request.retryAtMs = nowMs + request.pauseMs;
      request.pauseMs = Math.min(MAX_BACKOFF_MS, 2 * request.pauseMs);
      this.#backingOff.add(request);
      return [];
    }
    return [this.#finishRefused(request, { kind: 'refusedNotRun', reason: request.lastRefusal })];
  }

  #createForward(
    nowMs: number,
    request: ForwardedRequest,
    address: string,
    windowRemainingMs: number,
  ): GateEffect {
    const { call, key, callId, attempt } = request;
    const startCall: RequestStart = {
      kind: 'startRequest',
      requestId: call.requestId,
      cancelId: this.#getCancelId(request),
      teamId: key.teamId,
      keyId: key.keyId,
      queueId: call.queueId,
      serviceName: call.serviceName,
      isIdempotent: call.isIdempotent,
      windowRemainingMs,
      contentType: call.contentType,
      bodyBase64: call.body.toString('base64'),
    };
    const timeoutMs = Math.min(windowRemainingMs, this.#getAttemptTimeoutMs(nowMs, request));
    const origin: GateOrigin = { kind: 'forward', callId, attempt };
    return { kind: 'callScheduler', origin, address, call: startCall, timeoutMs };
  }

  /** An attempt times out before the deadline only if another attempt could still be made. */
  #getAttemptTimeoutMs(nowMs: number, request: ForwardedRequest): number {
    const isLast = request.lostCount + 1 >= MAX_LOST_ATTEMPTS;
    if (!request.call.isIdempotent || isLast || !this.#retryBudget.canSpend(nowMs)) {
      return Number.POSITIVE_INFINITY;
    }
    return this.#latencies.getAttemptTimeoutMs(request.call.serviceName);
  }

  #getCancelId(request: ForwardedRequest): string {
    return `${this.#instanceId}/${request.callId}/${request.attempt}`;
  }

  /** Cancels the attempt in progress, so that it does not start when nobody awaits its result. */
  #cancel(request: ForwardedRequest): readonly GateEffect[] {
    const { address } = request;
    if (address === undefined) return [];
    const cancelId = this.#getCancelId(request);
    return [
      {
        kind: 'callScheduler',
        origin: { kind: 'oneWay' },
        address,
        call: { kind: 'cancelRequest', cancelId },
        timeoutMs: CANCEL_TIMEOUT_MS,
      },
    ];
  }

  #finishRefused(
    request: ForwardedRequest,
    outcome: Extract<RequestOutcome, { kind: 'refusedNotRun' }>,
  ): GateEffect {
    if (request.lostCount === 0) return this.#respond(request, outcome);
    const detail = `an attempt was lost, then: ${outcome.reason}`;
    return this.#respond(request, { kind: 'unknown', detail });
  }

  #respond(request: ForwardedRequest, outcome: RequestOutcome): GateEffect {
    this.#close(request);
    return { kind: 'respond', callId: request.callId, answer: renderOutcome(outcome) };
  }

  #close(request: ForwardedRequest): void {
    this.#openRequests.delete(request.callId);
    this.#backingOff.delete(request);
  }
}
