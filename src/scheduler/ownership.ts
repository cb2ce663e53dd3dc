/** Says on which targets this scheduler may start work at this moment. */

import type { ConfigHolder } from '../config/configHolder';
import type { LeaseKeeper } from '../lease/leaseKeeper';
import { SETTLE_MS } from '../lease/constants';
import { isHomeShard } from '../lease/shards';
import type { TargetPool } from '../placement/targetPool';
import type { Target } from '../placement/types';
import type { StartGuard, StartPermit } from '../requests/types';
import type { Epoch, ShardId, TargetId } from '../types/ids';

interface ReplicaSource {
  getReplicas(serviceName: string): readonly Target[];
}

/** The one check before every start. */
export class Ownership implements StartGuard {
  #lease: LeaseKeeper;

  #config: ConfigHolder;

  #pool: TargetPool;

  #replicas: ReplicaSource | undefined;

  #acquiredMs = new Map<ShardId, number>();

  #settledEpochs = new Map<TargetId, Epoch>();

  /**
   * @param lease - which shards are owned
   * @param config - which data centres are in service
   * @param pool - the targets
   */
  constructor(lease: LeaseKeeper, config: ConfigHolder, pool: TargetPool) {
    this.#lease = lease;
    this.#config = config;
    this.#pool = pool;
  }

  /**
   * Connects the source of replicas, which itself needs this guard.
   * @param replicas - knows where services run
   */
  setReplicas(replicas: ReplicaSource): void {
    this.#replicas = replicas;
  }

  /**
   * Records that a shard was acquired; nothing starts on it before it has settled.
   * @param shardId - which shard
   * @param nowMs - this process's clock
   */
  markAcquired(shardId: ShardId, nowMs: number): void {
    this.#acquiredMs.set(shardId, nowMs);
  }

  /**
   * Records that a target has reported what it runs to its owner of this epoch.
   * @param targetId - which target
   * @param epoch - the epoch under which it reported
   */
  markSettled(targetId: TargetId, epoch: Epoch): void {
    this.#settledEpochs.set(targetId, epoch);
  }

  /**
   * Gets the permit to speak to a target as its owner, for reports and renewals.
   * @param target - which target
   * @param nowMs - this process's clock
   * @returns the permit, or undefined when the authority has ended
   */
  tryGetOwnerPermit(target: Target, nowMs: number): StartPermit | undefined {
    const untilMs = this.#lease.getAuthorityUntilMs(target.shardId);
    if (nowMs >= untilMs) return undefined;
    return { epoch: this.#lease.getEpoch(target.shardId), untilMs };
  }

  /** {@inheritDoc StartGuard.tryGetPermit} */
  tryGetPermit(target: Target, nowMs: number): StartPermit | undefined {
    const permit = this.tryGetOwnerPermit(target, nowMs);
    if (permit === undefined || target.isLeaving) return undefined;
    if (this.#settledEpochs.get(target.targetId) !== permit.epoch) return undefined;
    const acquiredMs = this.#acquiredMs.get(target.shardId) ?? Number.POSITIVE_INFINITY;
    if (nowMs < acquiredMs + SETTLE_MS) return undefined;
    if (!this.#isInService(target)) return undefined;
    const freshUntilMs = this.#config.getFreshUntilMs();
    if (nowMs >= freshUntilMs) return undefined;
    return { epoch: permit.epoch, untilMs: Math.min(permit.untilMs, freshUntilMs) };
  }

  /** {@inheritDoc StartGuard.getCandidates} */
  getCandidates(): readonly Target[] {
    return this.#pool.getOfShards(this.#lease.ownedShardIds);
  }

  /** {@inheritDoc StartGuard.getReplicas} */
  getReplicas(serviceName: string): readonly Target[] {
    return this.#replicas?.getReplicas(serviceName) ?? [];
  }

  /**
   * Gets the shards on which something could start now.
   * @param nowMs - this process's clock
   * @returns home shards with authority, and target shards with a permitted target
   */
  getActiveShards(nowMs: number): readonly ShardId[] {
    const startable = new Set(
      this.getCandidates()
        .filter((target) => this.tryGetPermit(target, nowMs) !== undefined)
        .map((target) => target.shardId),
    );
    return this.#lease.ownedShardIds.filter((shardId) =>
      isHomeShard(shardId)
        ? nowMs < this.#lease.getAuthorityUntilMs(shardId)
        : startable.has(shardId),
    );
  }

  #isInService(target: Target): boolean {
    const known = this.#config.config.sheet.dataCentres.find(
      (dataCentre) => dataCentre.dataCentreId === target.dataCentreId,
    );
    return known?.inService === true;
  }
}
