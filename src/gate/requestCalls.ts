/** Forwards admitted requests to schedulers and retries them until they are answered. */

import type { TeamKey } from '../config/types';
import { RetryBudget } from '../requests/retryBudget';
import { ServiceTimes } from '../requests/serviceTimes';
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
const FIRST_PAUSE_MS = 100;
const MAX_PAUSE_MS = 1_000;
const CANCEL_TIMEOUT_MS = 800;

type RequestCall = Extract<GateCall, { kind: 'request' }>;
type ForwardOrigin = Extract<GateOrigin, { kind: 'forward' }>;

/** State of a request that has not been answered. */
interface OpenRequest {
  readonly callId: number;
  readonly call: RequestCall;
  readonly key: TeamKey;
  readonly deadlineMs: number;
  readonly tried: Set<MemberId>;
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
type RefusalStep = 'answer' | 'tryOthers' | 'tryOthersThenWait';

/** Refusals that depend on the state of one scheduler are retried on others. */
function getRefusalStep(reason: NotRunReason): RefusalStep {
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
export class RequestCalls {
  #router: Router;

  #instance: string;

  #open = new Map<number, OpenRequest>();

  #paused = new Set<OpenRequest>();

  #budget = new RetryBudget();

  #times = new ServiceTimes();

  /**
   * @param router - selects schedulers
   * @param instance - unique id of this process run
   */
  constructor(router: Router, instance: string) {
    this.#router = router;
    this.#instance = instance;
  }

  /** Number of requests that have not been answered. */
  get openCount(): number {
    return this.#open.size;
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
    const open: OpenRequest = {
      callId,
      call,
      key,
      deadlineMs: nowMs + call.windowMs,
      tried: new Set(),
      address: undefined,
      attempt: 0,
      sentMs: nowMs,
      lostCount: 0,
      pauseMs: FIRST_PAUSE_MS,
      retryAtMs: undefined,
      lastRefusal: 'noOwner',
    };
    this.#open.set(callId, open);
    this.#budget.recordRequest(nowMs);
    return this.#forwardOrWait(nowMs, open);
  }

  /**
   * Retries requests whose back-off has elapsed and refuses expired ones.
   * @param nowMs - current time of this process's monotonic clock
   * @returns the effects to perform
   */
  tick(nowMs: number): readonly GateEffect[] {
    const due = [...this.#paused].filter(
      (open) => nowMs >= open.deadlineMs || nowMs >= (open.retryAtMs ?? Number.POSITIVE_INFINITY),
    );
    return due.flatMap((open) => {
      this.#paused.delete(open);
      open.retryAtMs = undefined;
      open.tried.clear();
      return this.#forwardOrWait(nowMs, open);
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
    const open = this.#open.get(origin.callId);
    if (open === undefined || open.attempt !== origin.attempt || this.#paused.has(open)) {
      return [{ kind: 'count', name: 'late_scheduler_answers' }];
    }
    switch (result.kind) {
      case 'ok':
        return this.#applyOutcome(nowMs, open, result.value);
      case 'notSent':
        open.lastRefusal = 'noOwner';
        return this.#forwardOrWait(nowMs, open);
      case 'error':
      case 'lost':
        return this.#applyLost(nowMs, open);
      default:
        return assertNever(result);
    }
  }

  /**
   * Cancels the request of a caller that disconnected.
   * @param callId - id of the call
   * @returns the effects to perform
   */
  applyGone(callId: number): readonly GateEffect[] {
    const open = this.#open.get(callId);
    if (open === undefined) return [];
    this.#close(open);
    return this.#cancel(open);
  }

  #applyOutcome(nowMs: number, open: OpenRequest, outcome: RequestOutcome): readonly GateEffect[] {
    if (outcome.kind === 'answered') {
      this.#times.record(open.call.serviceName, nowMs - open.sentMs);
    }
    if (outcome.kind !== 'refusedNotRun') return [this.#answer(open, outcome)];
    open.lastRefusal = outcome.reason;
    const step = getRefusalStep(outcome.reason);
    if (step === 'answer') return [this.#finishRefused(open, outcome)];
    return this.#forwardOrWait(nowMs, open);
  }

  /** A non-idempotent request whose response was lost may have run, so it is never sent again. */
  #applyLost(nowMs: number, open: OpenRequest): readonly GateEffect[] {
    open.lostCount += 1;
    const mayRetry =
      open.call.isIdempotent &&
      open.lostCount < MAX_LOST_ATTEMPTS &&
      nowMs < open.deadlineMs &&
      this.#budget.trySpend(nowMs);
    if (mayRetry) return [...this.#cancel(open), ...this.#forwardOrWait(nowMs, open)];
    const detail = 'the scheduler did not answer';
    return [...this.#cancel(open), this.#answer(open, { kind: 'unknown', detail })];
  }

  /**
   * Forwards a request to the best untried scheduler; if none is left, backs off or refuses the
   * request.
   */
  #forwardOrWait(nowMs: number, open: OpenRequest): readonly GateEffect[] {
    const windowRemainingMs = open.deadlineMs - nowMs;
    if (windowRemainingMs <= 0) {
      return [this.#finishRefused(open, { kind: 'refusedNotRun', reason: 'windowExpired' })];
    }
    const member =
      open.attempt < MAX_ATTEMPTS ? this.#router.tryPick(open.call, open.tried) : undefined;
    if (member !== undefined) {
      open.tried.add(member.memberId);
      open.attempt += 1;
      open.sentMs = nowMs;
      open.address = member.address;
      return [this.#createForward(nowMs, open, member.address, windowRemainingMs)];
    }
    const isWaitable = getRefusalStep(open.lastRefusal) === 'tryOthersThenWait';
    if (isWaitable && windowRemainingMs > open.pauseMs && open.attempt < MAX_ATTEMPTS) {
      open.address = undefined;
      open.retryAtMs = nowMs + open.pauseMs;
      open.pauseMs = Math.min(MAX_PAUSE_MS, 2 * open.pauseMs);
      this.#paused.add(open);
      return [];
    }
    return [this.#finishRefused(open, { kind: 'refusedNotRun', reason: open.lastRefusal })];
  }

  #createForward(
    nowMs: number,
    open: OpenRequest,
    address: string,
    windowRemainingMs: number,
  ): GateEffect {
    const { call, key, callId, attempt } = open;
    const start: RequestStart = {
      kind: 'startRequest',
      requestId: call.requestId,
      cancelId: this.#getCancelId(open),
      teamId: key.teamId,
      keyId: key.keyId,
      queueId: call.queueId,
      serviceName: call.serviceName,
      isIdempotent: call.isIdempotent,
      windowRemainingMs,
      contentType: call.contentType,
      bodyBase64: call.body.toString('base64'),
    };
    const timeoutMs = Math.min(windowRemainingMs, this.#getAttemptMs(nowMs, open));
    const origin: GateOrigin = { kind: 'forward', callId, attempt };
    return { kind: 'callScheduler', origin, address, call: start, timeoutMs };
  }

  /** An attempt times out before the deadline only if another attempt could still be made. */
  #getAttemptMs(nowMs: number, open: OpenRequest): number {
    const isLast = open.lostCount + 1 >= MAX_LOST_ATTEMPTS;
    if (!open.call.isIdempotent || isLast || !this.#budget.canSpend(nowMs)) {
      return Number.POSITIVE_INFINITY;
    }
    return this.#times.getAttemptMs(open.call.serviceName);
  }

  #getCancelId(open: OpenRequest): string {
    return `${this.#instance}/${open.callId}/${open.attempt}`;
  }

  /** Cancels the attempt in progress, so that it does not start when nobody awaits its result. */
  #cancel(open: OpenRequest): readonly GateEffect[] {
    const { address } = open;
    if (address === undefined) return [];
    const cancelId = this.#getCancelId(open);
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
    open: OpenRequest,
    outcome: Extract<RequestOutcome, { kind: 'refusedNotRun' }>,
  ): GateEffect {
    if (open.lostCount === 0) return this.#answer(open, outcome);
    const detail = `an attempt was lost, then: ${outcome.reason}`;
    return this.#answer(open, { kind: 'unknown', detail });
  }

  #answer(open: OpenRequest, outcome: RequestOutcome): GateEffect {
    this.#close(open);
    return { kind: 'respond', callId: open.callId, answer: renderOutcome(outcome) };
  }

  #close(open: OpenRequest): void {
    this.#open.delete(open.callId);
    this.#paused.delete(open);
  }
}
