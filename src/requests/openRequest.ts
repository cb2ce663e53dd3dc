/** State of a request that has not been answered, and the target call that starts it. */

import { assertNever } from '../types/debug';
import { LATE_RESPONSE_GRACE_MS } from './constants';
import type { TargetId } from '../types/ids';
import type { NotRunReason } from '../types/outcomes';
import type { ChosenTarget, TargetChoice } from './targetChooser';
import type { ArrivedRequest, RequestEffect } from './types';

/** A request that has not been answered yet. */
export class OpenRequest {
  readonly arrived: ArrivedRequest;

  readonly deadlineMs: number;

  /** Target of the current attempt; undefined between attempts. */
  running: ChosenTarget | undefined;

  /** When the current attempt times out. */
  attemptDeadlineMs = Number.POSITIVE_INFINITY;

  /** An attempt was lost and may have run, so the request can no longer be reported as not run. */
  mayHaveRun = false;

  #attempt = 0;

  #startedMs = 0;

  #triedTargetIds = new Set<TargetId>();

  /**
   * @param arrived - the request as received
   * @param deadlineMs - end of the request window on this process's monotonic clock
   */
  constructor(arrived: ArrivedRequest, deadlineMs: number) {
    this.arrived = arrived;
    this.deadlineMs = deadlineMs;
  }

  /** Number of the current or latest attempt; 0 before the first. */
  get attempt(): number {
    return this.#attempt;
  }

  /** Start time of the current or latest attempt. */
  get startedMs(): number {
    return this.#startedMs;
  }

  /** Targets of all attempts so far. */
  get triedTargetIds(): ReadonlySet<TargetId> {
    return this.#triedTargetIds;
  }

  /**
   * Starts a new attempt.
   * @param nowMs - current time of this process's monotonic clock
   * @param chosen - the target that the attempt runs on
   */
  beginAttempt(nowMs: number, chosen: ChosenTarget): void {
    this.running = chosen;
    this.#attempt += 1;
    this.#startedMs = nowMs;
    this.#triedTargetIds.add(chosen.target.targetId);
  }
}

/** Time limits of one attempt. */
export interface AttemptLimits {
  /** Time-out of the attempt, from its start. */
  readonly attemptTimeoutMs: number;
  /** When this scheduler stops being the home of the request id. */
  readonly homeUntilMs: number;
}

/**
 * Creates the target call that starts a request.
 * @param nowMs - current time of this process's monotonic clock
 * @param request - the request, with its attempt already started
 * @param chosen - the target to call
 * @param limits - time limits of the attempt
 * @returns the effect that makes the call
 */
export function createTargetCall(
  nowMs: number,
  request: OpenRequest,
  { target, permit }: ChosenTarget,
  limits: AttemptLimits,
): RequestEffect {
  const { call, callId } = request.arrived;
  const timeoutMs = Math.max(1, Math.min(request.deadlineMs - nowMs, limits.attemptTimeoutMs));
  request.attemptDeadlineMs = nowMs + timeoutMs;
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
    timeoutMs: timeoutMs + LATE_RESPONSE_GRACE_MS,
    notAfterMs: Math.min(permit.untilMs, request.deadlineMs, limits.homeUntilMs),
  };
}

/**
 * Gets the refusal reason for a request that no target could be chosen for.
 * @param kind - why no target was chosen
 * @param serviceName - the requested service, empty for none
 * @returns the reason reported to the caller
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
