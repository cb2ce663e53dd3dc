/** Connects the escrow of team limits to the shard leases and target budgets of one scheduler. */

import type { Team } from '../config/types';
import type { EscrowLedger } from '../escrow/escrowLedger';
import type { EscrowContext, EscrowEffect, EscrowOrigin } from '../escrow/types';
import type { LeaseManager } from '../lease/leaseManager';
import { isHomeShard } from '../lease/shards';
import type { TargetPool } from '../placement/targetPool';
import type { PlatformResult } from '../platform/types';
import type { ShardId } from '../types/ids';

/** Runs the escrow ledger of one scheduler. */
export class EscrowController {
  #ledger: EscrowLedger;

  #lease: LeaseManager;

  #pool: TargetPool;

  #shardCount = 1;

  /**
   * @param ledger - allotments that the pool charges against
   * @param lease - leases of the owned shards
   * @param pool - current usage of the owned targets
   */
  constructor(ledger: EscrowLedger, lease: LeaseManager, pool: TargetPool) {
    this.#ledger = ledger;
    this.#lease = lease;
    this.#pool = pool;
  }

  /**
   * Applies a configuration.
   * @param teams - teams with their limits
   * @param shardIds - ids of all shards
   */
  updateConfig(teams: readonly Team[], shardIds: readonly ShardId[]): void {
    this.#ledger.updateTeams(teams);
    this.#shardCount = shardIds.filter((shardId) => !isHomeShard(shardId)).length;
  }

  /**
   * Starts managing the allotments of an acquired shard; home shards have none.
   * @param shardId - the acquired shard
   */
  addShard(shardId: ShardId): void {
    if (!isHomeShard(shardId)) this.#ledger.addShard(shardId);
  }

  /**
   * Stops managing the allotments of a lost shard.
   * @param shardId - the lost shard
   */
  removeShard(shardId: ShardId): void {
    this.#ledger.removeShard(shardId);
  }

  /**
   * Performs the transfers between allotments that are due.
   * @param nowMs - current time of this process's monotonic clock
   * @returns the effects to perform
   */
  tick(nowMs: number): readonly EscrowEffect[] {
    // Removes shards that were handed over, whether or not their loss was reported.
    const owned = new Set(this.#lease.ownedShardIds);
    this.#ledger.shardIds
      .filter((shardId) => !owned.has(shardId))
      .forEach((shardId) => this.#ledger.removeShard(shardId));
    return this.#ledger.tick(nowMs, this.#getContext());
  }

  /**
   * Applies the result of a platform call.
   * @param nowMs - current time of this process's monotonic clock
   * @param origin - identifies the call
   * @param result - its result
   * @returns the effects to perform
   */
  applyResult(
    nowMs: number,
    origin: EscrowOrigin,
    result: PlatformResult,
  ): readonly EscrowEffect[] {
    return this.#ledger.applyResult(nowMs, origin, result, this.#getContext());
  }

  #getContext(): EscrowContext {
    return {
      memberId: this.#lease.memberId,
      shardCount: this.#shardCount,
      getUsedSlots: (shardId, teamId) => this.#pool.getTeamSlots(shardId, teamId),
      getTeamsInUse: (shardId) => this.#pool.getTeamsInUse(shardId),
      tryGetLeaseCheck: (shardId) => this.#lease.tryGetFence(shardId),
    };
  }
}
