/** Admits, queues, starts, retries and answers the requests of one scheduler. */

import type { Charge, ChargeResult, Target } from '../placement/types';
import type { TargetPool } from '../placement/targetPool';
import { LeastLoaded } from '../placement/leastLoaded';
import type { RequestStart } from '../rpc/types';
import type { TargetResult } from '../target/types';
import { assertNever } from '../types/debug';
import { NO_RESOURCES } from '../types/resources';
import { getHash } from '../types/hash';
import { Random } from '../types/random';
import type { DataCentreId, RequestId } from '../types/ids';
import type { NotRunReason, RequestOutcome } from '../types/outcomes';
import type {
  ArrivedRequest,
  RequestEffect,
  RequestOrigin,
  StartGuard,
  StartPermit,
} from './types';

/** What one request takes of a target while it runs. */
export const REQUEST_DEMAND = { ...NO_RESOURCES, slots: 1, connections: 1 };

const MAX_ATTEMPTS = 3;

interface OpenRequest {
  readonly arrived: ArrivedRequest;
  readonly deadlineMs: number;
  attempt: number;
  charge: Charge | undefined;
  /** An attempt was lost, so that "not run" can no longer be said. */
  mayHaveRun: boolean;
}

interface ChosenTarget {
  readonly target: Target;
  readonly permit: StartPermit;
}

function createTargetCall(
  nowMs: number,
  request: OpenRequest,
  { target, permit }: ChosenTarget,
): RequestEffect {
  const { call } = request.arrived;
  request.attempt += 1;
  const timeoutMs = Math.max(1, request.deadlineMs - nowMs);
  return {
    kind: 'callTarget',
    origin: { kind: 'request', requestId: call.requestId, attempt: request.attempt },
    address: target.address,
    call: {
      kind: 'request',
      token: { shardId: target.shardId, epoch: permit.epoch },
      requestId: call.requestId,
      teamId: call.teamId,
      timeoutMs,
      contentType: call.contentType,
      bodyBase64: call.bodyBase64,
    },
    timeoutMs,
    notAfterMs: Math.min(permit.untilMs, request.deadlineMs),
  };
}

/** The request reducer of one scheduler. */
export class RequestTable {
  #pool: TargetPool;

  #guard: StartGuard;

  #nearDataCentreId: DataCentreId;

  #leastLoaded: LeastLoaded;

  #open = new Map<RequestId, OpenRequest>();

  #waiting: RequestId[] = [];

  /**
   * @param pool - budgets of the targets
   * @param guard - the check at the moment of each start
   * @param nearDataCentreId - where the callers are
   */
  constructor(pool: TargetPool, guard: StartGuard, nearDataCentreId: DataCentreId) {
    this.#pool = pool;
    this.#guard = guard;
    this.#nearDataCentreId = nearDataCentreId;
    const random = new Random(getHash(nearDataCentreId));
    this.#leastLoaded = new LeastLoaded({ pool, guard, random });
  }

  /** Requests that wait for a target. */
  get waitingCount(): number {
    return this.#waiting.length;
  }

  /** Requests that are not answered yet. */
  get openCount(): number {
    return this.#open.size;
  }

  /**
   * Takes in a request.
   * @param nowMs - this process's clock
   * @param arrived - the request
   * @returns what to do
   */
  start(nowMs: number, arrived: ArrivedRequest): readonly RequestEffect[] {
    const { call, callId } = arrived;
    if (this.#open.has(call.requestId)) {
      return [{ kind: 'reply', callId, outcome: { kind: 'duplicateRunning' } }];
    }
    const deadlineMs = nowMs + call.windowRemainingMs;
    const request: OpenRequest = {
      arrived,
      deadlineMs,
      attempt: 0,
      charge: undefined,
      mayHaveRun: false,
    };
    this.#open.set(call.requestId, request);
    return this.#tryStart(nowMs, request);
  }

  /**
   * Cancels a request that has not started.
   * @param requestId - which
   * @returns what to do
   */
  cancel(requestId: RequestId): readonly RequestEffect[] {
    const request = this.#open.get(requestId);
    if (request === undefined || request.charge !== undefined) return [];
    return [this.#finishRefused(request, 'cancelled')];
  }

  /**
   * Takes in what came of a call to a target. A result for an earlier attempt or an unknown request
   * is dropped.
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
    const request = this.#open.get(origin.requestId);
    if (request === undefined || request.attempt !== origin.attempt) return [];
    const targetId = request.charge?.targetId ?? '';
    this.#releaseCharge(request);
    return [...this.#settle(nowMs, request, targetId, result), ...this.startWaiting(nowMs)];
  }

  /**
   * Starts what waits as far as there is room, and refuses what waited past its window.
   * @param nowMs - this process's clock
   * @returns what to do
   */
  startWaiting(nowMs: number): readonly RequestEffect[] {
    const waiting = this.#waiting;
    this.#waiting = [];
    return waiting.flatMap((requestId) => {
      const request = this.#open.get(requestId);
      return request === undefined ? [] : this.#tryStart(nowMs, request);
    });
  }

  #settle(
    nowMs: number,
    request: OpenRequest,
    targetId: string,
    result: TargetResult,
  ): readonly RequestEffect[] {
    const { isIdempotent } = request.arrived.call;
    switch (result.kind) {
      case 'answer': {
        const { status, contentType, bodyBase64 } = result;
        const outcome = { kind: 'answered', status, contentType, bodyBase64, targetId } as const;
        return [this.#finish(request, outcome)];
      }
      case 'refused':
      case 'notSent':
        if (request.attempt >= MAX_ATTEMPTS) {
          return [this.#finishRefused(request, 'targetRefused')];
        }
        return this.#tryStart(nowMs, request);
      case 'lost':
        request.mayHaveRun = true;
        if (isIdempotent && request.attempt < MAX_ATTEMPTS && nowMs < request.deadlineMs) {
          return this.#tryStart(nowMs, request);
        }
        return [this.#finish(request, { kind: 'unknown', detail: result.detail })];
      case 'accepted':
      case 'report':
        return [this.#finish(request, { kind: 'unknown', detail: 'unexpected answer' })];
      default:
        return assertNever(result);
    }
  }

  #tryStart(nowMs: number, request: OpenRequest): readonly RequestEffect[] {
    if (nowMs >= request.deadlineMs) return [this.#finishRefused(request, 'windowExpired')];
    const { call } = request.arrived;
    const target = this.#getLeastLoaded(nowMs, call);
    const permit = target && this.#guard.tryGetPermit(target, nowMs);
    if (target === undefined || permit === undefined) return this.#wait(request);
    const charged = this.#pool.tryCharge(target.targetId, call.teamId, REQUEST_DEMAND);
    return this.#applyCharge(nowMs, request, { target, permit }, charged);
  }

  #applyCharge(
    nowMs: number,
    request: OpenRequest,
    chosen: ChosenTarget,
    charged: ChargeResult,
  ): readonly RequestEffect[] {
    switch (charged.kind) {
      case 'limitReached':
        return [this.#finishRefused(request, 'limitReached')];
      case 'noCapacity':
        return this.#wait(request);
      case 'charged':
        request.charge = charged.charge;
        return [createTargetCall(nowMs, request, chosen)];
      default:
        return assertNever(charged);
    }
  }

  #getLeastLoaded(nowMs: number, { teamId, serviceName }: RequestStart): Target | undefined {
    const placement = { nowMs, teamId, nearDataCentreId: this.#nearDataCentreId };
    if (serviceName === '') return this.#leastLoaded.tryGetTarget(placement);
    return this.#leastLoaded.tryGetReplica(placement, this.#guard.getReplicas(serviceName));
  }

  #wait(request: OpenRequest): readonly RequestEffect[] {
    this.#waiting.push(request.arrived.call.requestId);
    return [];
  }

  #releaseCharge(request: OpenRequest): void {
    if (request.charge === undefined) return;
    this.#pool.release(request.charge);
    request.charge = undefined;
  }

  #finishRefused(request: OpenRequest, reason: NotRunReason): RequestEffect {
    if (!request.mayHaveRun) return this.#finish(request, { kind: 'refusedNotRun', reason });
    const detail = `an attempt was lost, then: ${reason}`;
    return this.#finish(request, { kind: 'unknown', detail });
  }

  #finish(request: OpenRequest, outcome: RequestOutcome): RequestEffect {
    this.#open.delete(request.arrived.call.requestId);
    return { kind: 'reply', callId: request.arrived.callId, outcome };
  }
}
