/** Follows each caller's request from its admission to its answer. */

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

/** Attempts whose answer was lost, at most. */
const MAX_LOST_ATTEMPTS = 3;
const MAX_ATTEMPTS = 32;
const FIRST_PAUSE_MS = 100;
const MAX_PAUSE_MS = 1_000;
const CANCEL_TIMEOUT_MS = 800;

type RequestCall = Extract<GateCall, { kind: 'request' }>;
type ForwardOrigin = Extract<GateOrigin, { kind: 'forward' }>;

/** A request that has not been answered yet. */
interface OpenRequest {
  readonly callId: number;
  readonly call: RequestCall;
  readonly key: TeamKey;
  readonly deadlineMs: number;
  readonly tried: Set<MemberId>;
  /** Where the current attempt was sent, undefined while it waits. */
  address: string | undefined;
  attempt: number;
  sentMs: number;
  lostCount: number;
  pauseMs: number;
  /** When to try again, undefined while a scheduler has the request. */
  retryAtMs: number | undefined;
  lastRefusal: NotRunReason;
}

/** What to do after a scheduler's refusal. */
type RefusalStep = 'answer' | 'tryOthers' | 'tryOthersThenWait';

/** A refusal by one scheduler says little of the others. */
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

/** Requests of one gate. */
export class RequestCalls {
  #router: Router;

  #instance: string;

  #open = new Map<number, OpenRequest>();

  #paused = new Set<OpenRequest>();

  #budget = new RetryBudget();

  #times = new ServiceTimes();

  /**
   * @param router - picks schedulers
   * @param instance - distinguishes this run of this gate
   */
  constructor(router: Router, instance: string) {
    this.#router = router;
    this.#instance = instance;
  }

  /** Requests that are not answered yet. */
  get openCount(): number {
    return this.#open.size;
  }

  /**
   * Takes in an admitted request.
   * @param nowMs - this process's clock
   * @param callId - its call
   * @param call - the request
   * @param key - the key that came with it
   * @returns what to do
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
   * Tries again what waits for a scheduler.
   * @param nowMs - this process's clock
   * @returns what to do
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
   * Takes in a scheduler's answer. One for an earlier attempt is dropped and counted.
   * @param nowMs - this process's clock
   * @param origin - which attempt of which call
   * @param result - the answer, or what is known of the failure
   * @returns what to do
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
   * Withdraws the request of a caller that went away.
   * @param callId - its call
   * @returns what to do
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

  /** A non-idempotent request whose answer is lost may have run and is never sent again. */
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

  /** Sends a request to the best scheduler not tried yet; with none left, waits or answers. */
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

  /** An attempt is given up early only where another could still be made. */
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

  /** Withdraws the attempt that is under way, so that it does not start for nobody. */
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
