/** Requests on their way through a scheduler. */

import type { Queue } from '../config/types';
import type { Target } from '../placement/types';
import type { RequestStart } from '../rpc/types';
import type { TargetCall } from '../target/types';
import type { Epoch, RequestId } from '../types/ids';
import type { RequestOutcome } from '../types/outcomes';

/** Which call a target's result belongs to. */
export interface RequestOrigin {
  readonly kind: 'request';
  readonly requestId: RequestId;
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
  | { readonly kind: 'reply'; readonly callId: number; readonly outcome: RequestOutcome };

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

/** A request as it arrived, with what the configuration says of its queue. */
export interface ArrivedRequest {
  readonly callId: number;
  readonly call: RequestStart;
  readonly queue: Queue;
}
