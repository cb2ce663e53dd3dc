/** Requests on their way through a scheduler. */

import type { Queue } from '../config/types';
import type { Target } from '../placement/types';
import type { RequestStart } from '../rpc/types';
import type { TargetCall } from '../target/types';
import type { Epoch, KeyId, QueueId, RequestId, TeamId } from '../types/ids';
import type { NotRunReason, RequestOutcome } from '../types/outcomes';

/** Which call a target's result belongs to. */
export interface RequestOrigin {
  readonly kind: 'request';
  readonly callId: number;
  readonly attempt: number;
}

/** What the request table wants done. */
export type RequestEffect =
  | {
      readonly kind: 'callTarget';
      readonly origin: RequestOrigin;
      readonly address: string;
      readonly call: TargetCall;
      readonly timeoutMs: number;
      /** The call must not leave after this time on this process's clock. */
      readonly notAfterMs: number;
    }
  | { readonly kind: 'reply'; readonly callId: number; readonly outcome: RequestOutcome }
  | { readonly kind: 'count'; readonly name: string };

/** Right to start work on one target now. */
export interface StartPermit {
  readonly epoch: Epoch;
  readonly untilMs: number;
}

/** The one check that stands at the moment of every start. */
export interface StartGuard {
  /**
   * @param target - where work would start
   * @param nowMs - this process's clock
   * @returns the permit, or undefined when nothing may start there now
   */
  tryGetPermit(target: Target, nowMs: number): StartPermit | undefined;
  /**
   * @param target - where work runs
   * @param nowMs - this process's clock
   * @returns the permit to speak to the target as its owner, or undefined without authority
   */
  tryGetOwnerPermit(target: Target, nowMs: number): StartPermit | undefined;
  /** @returns targets on which this scheduler may at all start work, best guess */
  getCandidates(): readonly Target[];
  /**
   * @param serviceName - a service
   * @returns targets that run a replica of it
   */
  getReplicas(serviceName: string): readonly Target[];
}

/** Checks key and queue of work against the configuration in force. */
export interface AdmissionCheck {
  /**
   * @param teamId - whose work
   * @param keyId - the key that came with it
   * @param queueId - the queue it is for
   * @returns the queue, or why the work may not start
   */
  checkAdmission(teamId: TeamId, keyId: KeyId, queueId: QueueId): Queue | NotRunReason;
}

/** Says for which non-idempotent ids this scheduler is the home. */
export interface HomeGuard {
  /**
   * @param requestId - the id
   * @returns the end of this scheduler's authority over it; negative infinity when it has none
   */
  getHomeUntilMs(requestId: RequestId): number;
}

/** Says whose requests go first when targets are scarce. */
export interface TeamOrder {
  /**
   * @param teamId - a team
   * @returns its priority, lower first
   */
  getPriority(teamId: TeamId): number;
}

/** A request as it arrived, with what the configuration says of its queue. */
export interface ArrivedRequest {
  readonly callId: number;
  readonly call: RequestStart;
  readonly queue: Queue;
}
