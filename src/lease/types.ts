/** Shard leases: who may start work on which targets, and under which epoch. */

import type { MemberRow } from '../membership/types';
import type { PlatformCall, Row } from '../platform/types';
import type { Epoch, MemberId, ShardId } from '../types/ids';

/** A shard's row in the platform's table. */
export interface ShardRow {
  readonly shardId: ShardId;
  /** Null when the last owner handed the shard over. */
  readonly ownerId: MemberId | null;
  readonly epoch: Epoch;
}

/** An owner's row that the sender will never protect again; a newer row is another matter. */
export interface EndedPromise {
  readonly memberId: MemberId;
  readonly rowVersion: number;
}

/** What a heartbeat's answer says about leases. */
export interface HeartbeatNews {
  /** Incarnation that the heartbeat was sent to. */
  readonly sentToId: MemberId;
  /** Incarnation of this process when it sent the heartbeat. */
  readonly sentById: MemberId;
  readonly sentMs: number;
  /** Incarnation that answered at that address. */
  readonly answeredById: MemberId;
  readonly promiseMs: number;
  readonly endedPromises: readonly EndedPromise[];
}

/** Which call a platform result belongs to, and under which incarnation it was sent. */
export type LeaseOrigin =
  | { readonly kind: 'leaseRenew'; readonly memberId: MemberId; readonly sentMs: number }
  | { readonly kind: 'leaseScanShards'; readonly sentMs: number }
  /** Sent after the shards' answer, so that an owner without a row has certainly been evicted. */
  | {
      readonly kind: 'leaseScanMembers';
      readonly sentMs: number;
      readonly scanStartedMs: number;
      readonly shardRows: readonly Row[];
    }
  | { readonly kind: 'leaseEvict'; readonly memberId: MemberId }
  | {
      readonly kind: 'leaseAcquire';
      readonly memberId: MemberId;
      readonly rows: readonly ShardRow[];
    }
  | { readonly kind: 'leaseRelease'; readonly rows: readonly ShardRow[] };

/** What the lease keeper wants done. */
export type LeaseEffect =
  | { readonly kind: 'callPlatform'; readonly origin: LeaseOrigin; readonly call: PlatformCall }
  /** The shard is owned; its targets must report before anything starts on them. */
  | { readonly kind: 'shardAcquired'; readonly shardId: ShardId; readonly epoch: Epoch }
  | { readonly kind: 'shardLost'; readonly shardId: ShardId; readonly reason: string }
  | { readonly kind: 'memberChanged'; readonly memberId: MemberId };

/** What the lease keeper needs to know at each tick. */
export interface LeaseContext {
  /** Every shard that should have an owner, with where its owner should preferably be. */
  readonly shards: readonly ShardPlacement[];
  /** Shards on which work of this member is still in flight, not to be released yet. */
  readonly busyShardIds: ReadonlySet<ShardId>;
  /** A planned stop was asked for. */
  readonly isLeaving: boolean;
  /** Nothing waits for a start any more, so every shard that is not busy is handed over. */
  readonly isHandingOver: boolean;
}

/** A shard and the data centre that its owner should be in; home shards have none. */
export interface ShardPlacement {
  readonly shardId: ShardId;
  readonly dataCentreId: string | null;
}

/** Who this process is to the lease keeper. */
export type LeaseIdentity = Omit<MemberRow, 'memberId' | 'standbyIds' | 'isLeaving'>;
