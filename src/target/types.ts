/** What hemlockway needs of a target: starting work under a lease, and hearing what it runs. */

import type { Epoch, RequestId, ShardId, TaskId, TeamId } from '../types/ids';
import type { ResourceVector } from '../types/resources';

/** Proof of ownership that travels with each call; a target that compares it refuses lower epochs. */
export interface FencingToken {
  readonly shardId: ShardId;
  readonly epoch: Epoch;
}

/** What the target runs of one task. */
export interface TaskReport {
  readonly taskId: TaskId;
  readonly teamId: TeamId;
  readonly state: 'running' | 'finished' | 'failed' | 'stopped';
  readonly usage: ResourceVector;
  readonly demand: ResourceVector;
  /** Progress that a later start can resume from, 0 to 1. */
  readonly checkpointFraction: number;
  /** Text that the owner attached at the start, so that a successor can rebuild its state. */
  readonly annotation: string;
}

/** A request that a target runs. */
export interface RunningRequest {
  readonly requestId: RequestId;
  readonly teamId: TeamId;
}

/** What runs on a target, as the target says. */
export interface TargetReport {
  readonly highestEpoch: Epoch;
  readonly leaving: boolean;
  /** Requests running, so that an owner knows which lost or foreign ones have ended. */
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
  /** Ends a task; it is reported until it is acknowledged, so that its last state is not lost. */
  | { readonly kind: 'stop'; readonly token: FencingToken; readonly taskId: TaskId }
  /** Lets the target forget a task that has ended. */
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
 * What came of a call. `refused` proves that nothing ran; `notSent` proves that no byte left;
 * `lost` says that the call may have taken effect.
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

/** Performs calls to targets; only the adapter behind it knows the wire. */
export interface TargetClient {
  /**
   * @param address - `ip:port` of the target
   * @param call - what to do
   * @param timeoutMs - after this the call counts as lost
   * @param isTooLate - asked again right before the first byte leaves; true voids the call
   * @returns the result; never rejects
   */
  perform(
    address: string,
    call: TargetCall,
    timeoutMs: number,
    isTooLate: () => boolean,
  ): Promise<TargetResult>;
}
