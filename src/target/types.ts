/** Interface to targets: starting work under a lease and reporting the work that runs. */

import type { Epoch, RequestId, ShardId, TaskId, TeamId } from '../types/ids';
import type { ResourceVector } from '../types/resources';

/** Proof of ownership that is sent with each call. Targets that check it refuse calls with a lower epoch. */
export interface FencingToken {
  readonly shardId: ShardId;
  readonly epoch: Epoch;
}

/** State of a task on a target. */
export interface TaskReport {
  readonly taskId: TaskId;
  readonly teamId: TeamId;
  readonly state: 'running' | 'finished' | 'failed' | 'stopped';
  readonly usage: ResourceVector;
  readonly demand: ResourceVector;
  /** Progress from which a later start can resume, from 0 to 1. */
  readonly checkpointFraction: number;
  /** Text that the owner attached to the start, from which a successor can rebuild its state. */
  readonly annotation: string;
}

export interface RunningRequest {
  readonly requestId: RequestId;
  readonly teamId: TeamId;
}

/** Work on a target, as reported by the target. */
export interface TargetReport {
  readonly highestEpoch: Epoch;
  readonly leaving: boolean;
  /** Running requests; tells an owner which lost requests and which requests of other owners have ended. */
  readonly requests: readonly RunningRequest[];
  readonly tasks: readonly TaskReport[];
}

/** A call to a target. */
export type TargetCall =
  | {
      readonly kind: 'startTask';
      readonly token: FencingToken;
      readonly taskId: TaskId;
      readonly teamId: TeamId;
      readonly demand: ResourceVector;
      readonly leaseMs: number;
      readonly runMs: number;
      readonly resumeFraction: number;
      readonly annotation: string;
    }
  | { readonly kind: 'renew'; readonly token: FencingToken; readonly leaseMs: number }
  | { readonly kind: 'report'; readonly token: FencingToken }
  | { readonly kind: 'checkpoint'; readonly token: FencingToken; readonly taskId: TaskId }
  | {
      readonly kind: 'throttle';
      readonly token: FencingToken;
      readonly taskId: TaskId;
      readonly cpuFraction: number;
    }
  /** Stops a task. The target reports it until it is acknowledged, so that its final state is not lost. */
  | { readonly kind: 'stop'; readonly token: FencingToken; readonly taskId: TaskId }
  /** Allows the target to remove a task that has ended from its reports. */
  | { readonly kind: 'acknowledge'; readonly token: FencingToken; readonly taskId: TaskId }
  | {
      readonly kind: 'request';
      readonly token: FencingToken;
      readonly requestId: RequestId;
      readonly teamId: TeamId;
      readonly timeoutMs: number;
      readonly contentType: string;
      readonly bodyBase64: string;
    };

/**
 * Result of a call. `refused` guarantees that nothing ran, and `notSent` that no byte was sent.
 * After `lost` the call may have taken effect.
 */
export type TargetResult =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'report'; readonly report: TargetReport }
  | {
      readonly kind: 'answer';
      readonly requestId: RequestId;
      readonly status: number;
      readonly contentType: string;
      readonly bodyBase64: string;
    }
  | { readonly kind: 'refused'; readonly detail: string; readonly highestEpoch: Epoch }
  | { readonly kind: 'notSent'; readonly detail: string }
  | { readonly kind: 'lost'; readonly detail: string };

/** Performs calls to targets, independent of the wire format. */
export interface TargetClient {
  /**
   * @param address - `ip:port` of the target
   * @param call - the call
   * @param timeoutMs - the call counts as lost after this time
   * @param isTooLate - evaluated immediately before the first byte is written; returning true voids the call
   * @returns the result; never rejects
   */
  perform(
    address: string,
    call: TargetCall,
    timeoutMs: number,
    isTooLate: () => boolean,
  ): Promise<TargetResult>;
}
