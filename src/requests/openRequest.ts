/** A request that is not answered yet, and the call to a target that it becomes. */

import { assertNever } from '../types/debug';
import { LATE_ANSWER_MS } from './constants';
import type { TargetId } from '../types/ids';
import type { NotRunReason } from '../types/outcomes';
import type { ChosenTarget, TargetChoice } from './targetChoice';
import type { ArrivedRequest, RequestEffect } from './types';

/** State of one open request. */
export class OpenRequest {
  readonly arrived: ArrivedRequest;

  readonly deadlineMs: number;

  /** Where the current attempt runs, undefined between attempts. */
  running: ChosenTarget | undefined;

  /** When the current attempt is given up. */
  attemptEndMs = Number.POSITIVE_INFINITY;

  /** An attempt was lost, so that "not run" can no longer be said. */
  mayHaveRun = false;

  #attempt = 0;

  #startedMs = 0;

  #triedTargetIds = new Set<TargetId>();

  /**
   * @param arrived - the request
   * @param deadlineMs - end of its window on this process's clock
   */
  constructor(arrived: ArrivedRequest, deadlineMs: number) {
    this.arrived = arrived;
    this.deadlineMs = deadlineMs;
  }

  /** Number of the current or last attempt, 0 before the first. */
  get attempt(): number {
    return this.#attempt;
  }

  /** When the current or last attempt began. */
  get startedMs(): number {
    return this.#startedMs;
  }

  /** Targets of all attempts. */
  get triedTargetIds(): ReadonlySet<TargetId> {
    return this.#triedTargetIds;
  }

  /**
   * Begins an attempt.
   * @param nowMs - this process's clock
   * @param chosen - where
   */
  begin(nowMs: number, chosen: ChosenTarget): void {
    this.running = chosen;
    this.#attempt += 1;
    this.#startedMs = nowMs;
    this.#triedTargetIds.add(chosen.target.targetId);
  }
}

/** Bounds of one attempt. */
export interface AttemptLimits {
  /** When to give the attempt up, counted from its start. */
  readonly attemptMs: number;
  /** End of this scheduler's authority over the request's id. */
  readonly homeUntilMs: number;
}

/**
 * Builds the call that starts a request on a target.
 * @param nowMs - this process's clock
 * @param request - the request, its attempt begun
 * @param chosen - where
 * @param limits - bounds of the attempt
 * @returns the effect
 */
export function createTargetCall(
  nowMs: number,
  request: OpenRequest,
  { target, permit }: ChosenTarget,
  limits: AttemptLimits,
): RequestEffect {
  const { call, callId } = request.arrived;
  const timeoutMs = Math.max(1, Math.min(request.deadlineMs - nowMs, limits.attemptMs));
  request.attemptEndMs = nowMs + timeoutMs;
  return {
    kind: 'callTarget',
    origin: { kind: 'request', callId, attempt: request.attempt },
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
    timeoutMs: timeoutMs + LATE_ANSWER_MS,
    notAfterMs: Math.min(permit.untilMs, request.deadlineMs, limits.homeUntilMs),
  };
}

/**
 * Gets the refusal for a request that found no target.
 * @param kind - why it found none
 * @param serviceName - the service it asked for, empty for none
 * @returns the reason that its caller is told
 */
export function getNotRunReason(
  kind: Exclude<TargetChoice['kind'], 'chosen' | 'full'>,
  serviceName: string,
): NotRunReason {
  switch (kind) {
    case 'limitReached':
      return 'limitReached';
    case 'noTarget':
      return serviceName === '' ? 'noOwner' : 'unknownService';
    default:
      return assertNever(kind);
  }
}
