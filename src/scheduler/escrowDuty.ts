/** Connects the escrow of limits to the leases and budgets of one scheduler. */

import type { Team } from '../config/types';
import type { EscrowLedger } from '../escrow/escrowLedger';
import type { EscrowContext, EscrowEffect, EscrowOrigin } from '../escrow/types';
import type { LeaseManager } from '../lease/leaseManager';
import { isHomeShard } from '../lease/shards';
import type { TargetPool } from '../placement/targetPool';
import type { PlatformResult } from '../platform/types';
import type { ShardId } from '../types/ids';

/** Escrow of one scheduler. */
export class EscrowDuty {
  #ledger: EscrowLedger;

  #lease: LeaseManager;

  #pool: TargetPool;

  #shardCount = 1;

  /**
   * @param ledger - the limits that the pool charges against
   * @param lease - which shards are owned
   * @param pool - what runs on them
   */
  constructor(ledger: EscrowLedger, lease: LeaseManager, pool: TargetPool) {
    this.#ledger = ledger;
    this.#lease = lease;
    this.#pool = pool;
  }

  /**
   * Takes in a configuration.
   * @param teams - the teams with their limits
   * @param shardIds - every shard
   */
  updateConfig(teams: readonly Team[], shardIds: readonly ShardId[]): void {
    this.#ledger.updateTeams(teams);
    this.#shardCount = shardIds.filter((shardId) => !isHomeShard(shardId)).length;
  }

  /**
   * Takes in an acquired shard.
   * @param shardId - which
   */
  addShard(shardId: ShardId): void {
    if (!isHomeShard(shardId)) this.#ledger.addShard(shardId);
  }

  /**
   * Takes in a lost shard.
   * @param shardId - which
   */
  removeShard(shardId: ShardId): void {
    this.#ledger.removeShard(shardId);
  }

  /**
   * Moves units as far as it is time to.
   * @param nowMs - this process's clock
   * @returns what to do
   */
  tick(nowMs: number): readonly EscrowEffect[] {
    // A shard that was handed over is gone without a loss.
    const owned = new Set(this.#lease.ownedShardIds);
    this.#ledger.shardIds
      .filter((shardId) => !owned.has(shardId))
      .forEach((shardId) => this.#ledger.removeShard(shardId));
    return this.#ledger.tick(nowMs, this.#getContext());
  }

  /**
   * Takes in what came of a platform call.
   * @param nowMs - this process's clock
   * @param origin - which call
   * @param result - what came
   * @returns what to do
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
