/**
 * Types of shard leases, which define who may start work on which targets and under which epoch.
 */

import type { MemberRow } from '../membership/types';
import type { PlatformCall, Row } from '../platform/types';
import type { Epoch, MemberId, ShardId } from '../types/ids';

/** A shard's row in the platform's table. */
export interface ShardRow {
  readonly shardId: ShardId;
  /** Null after the last owner has handed the shard over. */
  readonly ownerId: MemberId | null;
  readonly epoch: Epoch;
}

/**
 * A row version for which the sender grants its owner no more promises; newer versions are
 * unaffected.
 */
export interface EndedPromise {
  readonly memberId: MemberId;
  readonly rowVersion: number;
}

/** A heartbeat and what its reply says about leases. */
export interface HeartbeatOutcome {
  /** The incarnation that the heartbeat was addressed to. */
  readonly recipientId: MemberId;
  /** This process's incarnation when it sent the heartbeat. */
  readonly senderId: MemberId;
  readonly sentMs: number;
  /** The incarnation that replied at that address. */
  readonly answeredById: MemberId;
  readonly promiseMs: number;
  readonly endedPromises: readonly EndedPromise[];
}

/**
 * Identifies the call that a platform result belongs to and, where it matters, the sending
 * incarnation.
 */
export type LeaseOrigin =
  | { readonly kind: 'leaseRenew'; readonly memberId: MemberId; readonly sentMs: number }
  | { readonly kind: 'leaseScanShards'; readonly sentMs: number }
  /**
   * Sent after the shard rows have arrived, so that an owner without a member row has certainly
   * been evicted.
   */
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

/** An effect that the lease manager requests. */
export type LeaseEffect =
  | { readonly kind: 'callPlatform'; readonly origin: LeaseOrigin; readonly call: PlatformCall }
  /** The shard is owned; each of its targets has to report before work starts on it. */
  | { readonly kind: 'shardAcquired'; readonly shardId: ShardId; readonly epoch: Epoch }
  | { readonly kind: 'shardLost'; readonly shardId: ShardId; readonly reason: string }
  | { readonly kind: 'memberChanged'; readonly memberId: MemberId };

/** Input of the lease manager at each tick. */
export interface LeaseContext {
  /** Every shard that should have an owner, with its preferred data centre. */
  readonly shards: readonly ShardPlacement[];
  /** Shards on which starts by this member are in flight; they are not released yet. */
  readonly busyShardIds: ReadonlySet<ShardId>;
  /** Whether a planned stop was requested. */
  readonly isLeaving: boolean;
  /**
   * Whether no work waits for a start any more, so that every shard that is not busy is handed
   * over.
   */
  readonly isHandingOver: boolean;
}

/** A shard and the preferred data centre of its owner; null for home shards. */
export interface ShardPlacement {
  readonly shardId: ShardId;
  readonly dataCentreId: string | null;
}

/** The constant fields of this process's member row. */
export type LeaseIdentity = Omit<MemberRow, 'memberId' | 'standbyIds' | 'isLeaving'>;
