/** Rows, calls and effects of the escrow of the teams' limits. */

import type { PlatformCall, RowCheck } from '../platform/types';
import type { MemberId, ShardId, TeamId } from '../types/ids';

/** Units by team; a team without an entry was never given any. */
export interface TeamUnits {
  readonly [teamId: string]: number;
}

/** The row of one shard: what its owner, whoever that is, may use. */
export interface AllotmentRow {
  readonly units: TeamUnits;
}

/** The one row of what no shard holds. A team without an entry has all its units here. */
export interface PoolRow {
  readonly free: TeamUnits;
  /** Slots that owners asked for and the pool could not give; others return idle ones. */
  readonly wanted: TeamUnits;
}

/** Which call a platform result belongs to. */
export type EscrowOrigin =
  | { readonly kind: 'escrowRead'; readonly operation: number }
  | { readonly kind: 'escrowWrite'; readonly operation: number };

/** What the ledger wants done. */
export type EscrowEffect =
  | { readonly kind: 'callPlatform'; readonly origin: EscrowOrigin; readonly call: PlatformCall }
  /** More of a team runs on the shard than its allotment has held for the grace period. */
  | {
      readonly kind: 'stopSurplus';
      readonly shardId: ShardId;
      readonly teamId: TeamId;
      readonly slots: number;
    };

/** What the ledger needs to know at each step. */
export interface EscrowContext {
  readonly memberId: MemberId;
  /** Target shards in the configuration in force. */
  readonly shardCount: number;
  /**
   * @param shardId - an owned shard
   * @param teamId - a team
   * @returns slots that the team has in use there
   */
  getUsedSlots(shardId: ShardId, teamId: TeamId): number;
  /**
   * @param shardId - an owned shard
   * @returns the teams that may have something in use there
   */
  getTeamsInUse(shardId: ShardId): readonly TeamId[];
  /**
   * @param shardId - an owned shard
   * @returns the shard's lease row at the version under which it is owned, if that is known
   */
  tryGetLeaseCheck(shardId: ShardId): RowCheck | undefined;
}
