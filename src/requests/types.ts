/** Types of request processing in a scheduler. */

import type { Queue } from '../config/types';
import type { Target } from '../placement/types';
import type { RequestStart } from '../rpc/types';
import type { TargetCall, TargetReport } from '../target/types';
import type { Epoch, KeyId, QueueId, RequestId, TeamId } from '../types/ids';
import type { NotRunReason, RequestOutcome } from '../types/outcomes';

/** Identifies the attempt that a target's result belongs to. */
export interface RequestOrigin {
  readonly kind: 'request';
  readonly callId: number;
  readonly attempt: number;
}

/** Effect to be performed for the request table. */
export type RequestEffect =
  | {
      readonly kind: 'callTarget';
      readonly origin: RequestOrigin;
      readonly address: string;
      readonly call: TargetCall;
      readonly timeoutMs: number;
      /** Latest time, on this process's monotonic clock, at which the call may be sent. */
      readonly notAfterMs: number;
    }
  | { readonly kind: 'reply'; readonly callId: number; readonly outcome: RequestOutcome }
  | { readonly kind: 'count'; readonly name: string };

/** Permission to start work on a target. */
export interface StartPermit {
  readonly epoch: Epoch;
  readonly untilMs: number;
}

/** Authorizes starts on targets; checked immediately before each start. */
export interface StartGuard {
  /**
   * @param target - the target to start work on
   * @param nowMs - current time of this process's monotonic clock
   * @returns the permit, or undefined if no work may be started on the target now
   */
  tryGetPermit(target: Target, nowMs: number): StartPermit | undefined;
  /**
   * @param target - the target that runs the work
   * @param nowMs - current time of this process's monotonic clock
   * @returns the permit to call the target as its owner, or undefined without ownership
   */
  tryGetOwnerPermit(target: Target, nowMs: number): StartPermit | undefined;
  /**
   * @returns targets on which this scheduler can probably start work; each start needs its own
   * permit
   */
  getCandidates(): readonly Target[];
  /**
   * @param serviceName - name of the service
   * @returns targets that run a replica of the service
   */
  getReplicas(serviceName: string): readonly Target[];
}

/** Checks the key and queue of submitted work against the active configuration. */
export interface AdmissionCheck {
  /**
   * @param teamId - team that submitted the work
   * @param keyId - key that the work was submitted with
   * @param queueId - queue that the work was submitted to
   * @returns the queue, or the reason for refusal
   */
  checkAdmission(teamId: TeamId, keyId: KeyId, queueId: QueueId): Queue | NotRunReason;
}

/** Determines whether this scheduler is the home of a non-idempotent request id. */
export interface HomeGuard {
  /**
   * @param requestId - id of the request
   * @returns when this scheduler stops being the home of the id; negative infinity if it is not
   */
  getHomeUntilMs(requestId: RequestId): number;
}

/** Supplies the order in which teams are served when capacity is scarce. */
export interface TeamOrder {
  /**
   * @param teamId - the team
   * @returns the team's priority; lower values are served first
   */
  getPriority(teamId: TeamId): number;
}

/** A report that a target sent to its owner. */
export interface OwnedTargetReport {
  readonly target: Target;
  readonly report: TargetReport;
  /** When the report was requested, on this process's monotonic clock. */
  readonly sentMs: number;
  /** No work has been started on the target under this ownership yet. */
  readonly isTakeover: boolean;
}

/** A request as received, with the configuration of its queue. */
export interface ArrivedRequest {
  readonly callId: number;
  readonly call: RequestStart;
  readonly queue: Queue;
}
