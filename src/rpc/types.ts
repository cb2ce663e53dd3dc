/** Calls between hemlockway processes, sent as JSON-RPC 2.0 over HTTP. */

import type { AcceptedConfig, ConfigChange, ConfigGossip } from '../config/types';
import type {
  JobSpec,
  FreeShardCapacity,
  TaskCommand,
  TaskStatusUpdate,
  TaskRun,
} from '../jobs/types';
import type { EndedPromise } from '../lease/types';
import type {
  ConfigVersion,
  DataCentreId,
  Epoch,
  JobId,
  KeyId,
  MemberId,
  OperationId,
  QueueId,
  RequestId,
  ShardId,
  TeamId,
} from '../types/ids';

/** Status that a scheduler sends to others with each heartbeat. */
export interface MemberStatus {
  readonly memberId: MemberId;
  readonly address: string;
  readonly dataCentreId: DataCentreId;
  readonly configVersion: ConfigVersion;
  readonly isDraining: boolean;
  readonly freeSlots: number;
  readonly queuedRequests: number;
  /** Shards on which the member may start work now. */
  readonly activeShards: readonly ShardId[];
  /** Services with a running replica on the member's targets. */
  readonly services: readonly string[];
  /** Free capacity of each of the member's shards of targets. */
  readonly shardRooms?: readonly FreeShardCapacity[];
  /** Dominant share of each team on the member's targets, encoded with `encodeShares`. */
  readonly teamShares?: string;
}

/** A request that a gate forwards to a scheduler. */
export interface RequestStart {
  readonly kind: 'startRequest';
  readonly requestId: RequestId;
  /** Identifies this call of this gate, so that only the gate that sent it can cancel it. */
  readonly cancelId: string;
  readonly teamId: TeamId;
  readonly keyId: KeyId;
  readonly queueId: QueueId;
  readonly serviceName: string;
  readonly isIdempotent: boolean;
  readonly windowRemainingMs: number;
  readonly contentType: string;
  readonly bodyBase64: string;
}

/** All calls that a scheduler accepts. */
export type SchedulerCall =
  | {
      readonly kind: 'heartbeat';
      readonly from: MemberStatus;
      readonly config: ConfigGossip;
    }
  | { readonly kind: 'getRoutes' }
  | { readonly kind: 'getConfig' }
  | { readonly kind: 'offerConfig'; readonly config: AcceptedConfig }
  | {
      readonly kind: 'changeConfig';
      readonly change: ConfigChange;
      readonly operationId: OperationId;
    }
  | RequestStart
  | { readonly kind: 'cancelRequest'; readonly cancelId: string }
  | { readonly kind: 'submitJob'; readonly spec: JobSpec; readonly teamId: TeamId }
  | { readonly kind: 'getJob'; readonly jobId: JobId; readonly teamId: TeamId }
  | { readonly kind: 'listJobs'; readonly teamId: TeamId }
  | { readonly kind: 'cancelJob'; readonly jobId: JobId; readonly teamId: TeamId }
  /** Sent by the home of a job to the owner of a target shard. */
  | { readonly kind: 'askTasks'; readonly asks: readonly TaskCommand[] }
  /** Sent by an owner to the home of a job; the response lists the items that need not be sent again. */
  | { readonly kind: 'tellTasks'; readonly news: readonly TaskStatusUpdate[] }
  | { readonly kind: 'dumpState' }
  | { readonly kind: 'drain' };

/** Response to `heartbeat`. */
export interface HeartbeatReply {
  /** Incarnation that responds. Its status is sent with its own heartbeats. */
  readonly answeredById: MemberId;
  /** The responder will not take over shards of the caller for this long; 0 when it makes no such promise. */
  readonly promiseMs: number;
  /** Rows of members that the responder will never again protect from a takeover. */
  readonly endedPromises: readonly EndedPromise[];
  readonly config: ConfigGossip;
  /** Whether the responder will not accept a configuration change without informing the caller. */
  readonly isCallerCounted: boolean;
}

/** Response to `tellTasks`. */
export interface TaskAcknowledgement {
  /** Runs whose end has been durably recorded by the home of the job. */
  readonly taken: readonly TaskRun[];
}

/** Owner of a shard, as known to the responder. */
export interface ShardOwner {
  readonly shardId: ShardId;
  readonly memberId: MemberId;
  readonly epoch: Epoch;
}

/** Information that a gate needs for routing and admission control; the response to `getRoutes`. */
export interface Routes {
  readonly configVersion: ConfigVersion;
  /** How long after the call the configuration may be considered current; 0 when it may not. */
  readonly freshForMs: number;
  readonly members: readonly MemberStatus[];
  readonly homeOwners: readonly ShardOwner[];
}

/** Result of a call between processes. */
export type RpcResult<T> =
  | { readonly kind: 'ok'; readonly value: T }
  /** The other process answered with an error. */
  | { readonly kind: 'error'; readonly code: number; readonly message: string }
  /** No byte of the call was sent. */
  | { readonly kind: 'notSent'; readonly isRefused: boolean }
  /** The call may have arrived. */
  | { readonly kind: 'lost'; readonly detail: string };
