/** Rows, calls and effects of the escrow of team limits. */

import type { PlatformCall, RowCheck } from '../platform/types';
import type { MemberId, ShardId, TeamId } from '../types/ids';

/** Units by team; a team without an entry was never allotted any. */
export interface TeamUnits {
  readonly [teamId: string]: number;
}

/** Row of one shard: the units that its current owner may use. */
export interface AllotmentRow {
  readonly units: TeamUnits;
}

/** Row of the units that no shard holds. If a team has no entry, all its units are in the pool. */
export interface PoolRow {
  readonly free: TeamUnits;
  /** Slots requested by owners that the pool could not supply; other owners return idle ones. */
  readonly wanted: TeamUnits;
}

/** Identifies the call to which a platform result belongs. */
export type EscrowOrigin =
  | { readonly kind: 'escrowRead'; readonly operation: number }
  | { readonly kind: 'escrowWrite'; readonly operation: number };

/** An effect that the caller of the ledger has to perform. */
export type EscrowEffect =
  | { readonly kind: 'callPlatform'; readonly origin: EscrowOrigin; readonly call: PlatformCall }
  /** The team has exceeded its allotment on the shard for the grace period. */
  | {
      readonly kind: 'stopSurplus';
      readonly shardId: ShardId;
      readonly teamId: TeamId;
      readonly slots: number;
    };

/** Usage and leases that the ledger reads at each step. */
export interface EscrowContext {
  readonly memberId: MemberId;
  /** Number of target shards in the active configuration. */
  readonly shardCount: number;
  /**
   * @param shardId - an owned shard
   * @param teamId - a team
   * @returns the number of slots that the team uses there
   */
  getUsedSlots(shardId: ShardId, teamId: TeamId): number;
  /**
   * @param shardId - an owned shard
   * @returns the teams that may use slots there
   */
  getTeamsInUse(shardId: ShardId): readonly TeamId[];
  /**
   * @param shardId - an owned shard
   * @returns a check of the lease row at the version under which the shard is owned, if known
   */
  tryGetLeaseCheck(shardId: ShardId): RowCheck | undefined;
}
