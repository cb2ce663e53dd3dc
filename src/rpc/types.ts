/** Calls between hemlockway's own processes, carried as JSON-RPC 2.0 over HTTP. */

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

/** What a scheduler tells others about itself. */
export interface MemberStatus {
  readonly memberId: MemberId;
  readonly address: string;
  readonly dataCentreId: DataCentreId;
  readonly configVersion: ConfigVersion;
  readonly isDraining: boolean;
  readonly freeSlots: number;
  readonly queuedRequests: number;
  /** Shards that the member may start work on now. */
  readonly activeShards: readonly ShardId[];
  /** Services with a running replica on the member's targets. */
  readonly services: readonly string[];
  /** Room on each of the member's shards of targets. */
  readonly shardRooms?: readonly FreeShardCapacity[];
  /** Each team's dominant share on the member's targets, as `encodeShares` packs it. */
  readonly teamShares?: string;
}

/** A request on its way from a gate to a scheduler. */
export interface RequestStart {
  readonly kind: 'startRequest';
  readonly requestId: RequestId;
  /** Names this call of this gate, so that only its own caller can cancel it. */
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

/** Every call that a scheduler answers. */
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
  /** From a job's home to the owner of shards. */
  | { readonly kind: 'askTasks'; readonly asks: readonly TaskCommand[] }
  /** From an owner to a job's home; answered with what needs no repetition. */
  | { readonly kind: 'tellTasks'; readonly news: readonly TaskStatusUpdate[] }
  | { readonly kind: 'dumpState' }
  | { readonly kind: 'drain' };

/** What a heartbeat is answered with. */
export interface HeartbeatReply {
  /** Incarnation that answers; its status comes with its own heartbeats. */
  readonly answeredById: MemberId;
  /** The answerer will not take over the caller's shards for this long; 0 when it may. */
  readonly promiseMs: number;
  /** Rows of members that the answerer will never protect again. */
  readonly endedPromises: readonly EndedPromise[];
  readonly config: ConfigGossip;
  /** The answerer accepts no change without telling the caller. */
  readonly isCallerCounted: boolean;
}

/** What `tellTasks` is answered with. */
export interface TaskAcknowledgement {
  /** Runs whose end is durable at the home. */
  readonly taken: readonly TaskRun[];
}

/** Who owns a shard, as far as the answerer knows. */
export interface ShardOwner {
  readonly shardId: ShardId;
  readonly memberId: MemberId;
  readonly epoch: Epoch;
}

/** What a gate needs to route and admit. */
export interface Routes {
  readonly configVersion: ConfigVersion;
  /** For how long after asking the configuration may be taken as the newest; 0 for not at all. */
  readonly freshForMs: number;
  readonly members: readonly MemberStatus[];
  readonly homeOwners: readonly ShardOwner[];
}

/** The outcome of a call between processes. */
export type RpcResult<T> =
  | { readonly kind: 'ok'; readonly value: T }
  /** The call reached the other process, which answered with an error. */
  | { readonly kind: 'error'; readonly code: number; readonly message: string }
  /** No byte of the call can have arrived. */
  | { readonly kind: 'notSent'; readonly isRefused: boolean }
  /** The call may have arrived. */
  | { readonly kind: 'lost'; readonly detail: string };
