/** Says on which targets this scheduler may start work at this moment. */

import type { ConfigHolder } from '../config/configHolder';
import type { LeaseManager } from '../lease/leaseManager';
import { SETTLING_TIME_MS } from '../lease/constants';
import { isHomeShard } from '../lease/shards';
import type { TargetPool } from '../placement/targetPool';
import type { Target } from '../placement/types';
import type { StartGuard, StartPermit } from '../requests/types';
import type { DataCentre } from '../config/types';
import type { Epoch, ShardId, TargetId } from '../types/ids';
import { ReturnRamp } from './returnRamp';

/** A target that has not reported for longer may be leaving and gets no new work. */
const REPORT_VALID_MS = 5_000;

/** What a target said last of its leaving. */
interface LeavingReport {
  readonly isLeaving: boolean;
  readonly sentMs: number;
}

interface ReplicaSource {
  getReplicas(serviceName: string): readonly Target[];
}

/** The one check before every start. */
export class Ownership implements StartGuard {
  #lease: LeaseManager;

  #config: ConfigHolder;

  #pool: TargetPool;

  #replicas: ReplicaSource | undefined;

  #acquiredMs = new Map<ShardId, number>();

  #settledEpochs = new Map<TargetId, Epoch>();

  #reports = new Map<TargetId, LeavingReport>();

  #ramp = new ReturnRamp();

  /**
   * @param lease - which shards are owned
   * @param config - which data centres are in service
   * @param pool - the targets
   */
  constructor(lease: LeaseManager, config: ConfigHolder, pool: TargetPool) {
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
   * Records that a target has reported what it runs to its owner of this epoch. Only a report that
   * was asked for after the former owner's last start had arrived shows all that runs.
   * @param target - which target
   * @param epoch - the epoch under which it reported
   * @param sentMs - when the report was asked for
   */
  markReported(target: Target, epoch: Epoch, sentMs: number): void {
    if (sentMs < this.#getSettleEndMs(target.shardId)) return;
    this.#settledEpochs.set(target.targetId, epoch);
  }

  /**
   * Asks whether a target has reported all that it ran before this ownership.
   * @param targetId - which target
   * @param epoch - of the ownership
   * @returns true from the first such report on
   */
  isSettled(targetId: TargetId, epoch: Epoch): boolean {
    return this.#settledEpochs.get(targetId) === epoch;
  }

  /**
   * Lists the targets of shards whose settling time ended within a span of time.
   * @param afterMs - start of the span, on this process's clock, not included
   * @param untilMs - its end, included
   * @returns targets to ask for a report at once
   */
  getSettledBetween(afterMs: number, untilMs: number): readonly Target[] {
    return this.getCandidates().filter((target) => {
      const endMs = this.#getSettleEndMs(target.shardId);
      return endMs > afterMs && endMs <= untilMs;
    });
  }

  /**
   * Records what a target said of its leaving. The platform's list lags behind it.
   * @param targetId - which target
   * @param isLeaving - what it said
   * @param sentMs - when it was asked
   */
  markLeaving(targetId: TargetId, isLeaving: boolean, sentMs: number): void {
    const known = this.#reports.get(targetId);
    if (known !== undefined && known.sentMs > sentMs) return;
    this.#reports.set(targetId, { isLeaving, sentMs });
  }

  /**
   * Takes in the data centres of a newer configuration.
   * @param dataCentres - from the sheet
   * @param nowMs - this process's clock
   */
  updateDataCentres(dataCentres: readonly DataCentre[], nowMs: number): void {
    this.#ramp.update(dataCentres, nowMs);
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
    if (!this.#isInService(target) || !this.#ramp.isOpen(target, nowMs)) return undefined;
    const report = this.#reports.get(target.targetId);
    if (report === undefined || report.isLeaving) return undefined;
    const reportUntilMs = report.sentMs + REPORT_VALID_MS;
    const untilMs = Math.min(permit.untilMs, this.#config.getFreshUntilMs(), reportUntilMs);
    return nowMs < untilMs ? { epoch: permit.epoch, untilMs } : undefined;
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

  #getSettleEndMs(shardId: ShardId): number {
    return (this.#acquiredMs.get(shardId) ?? Number.POSITIVE_INFINITY) + SETTLING_TIME_MS;
  }

  #isInService(target: Target): boolean {
    const known = this.#config.config.sheet.dataCentres.find(
      (dataCentre) => dataCentre.dataCentreId === target.dataCentreId,
    );
    return known?.inService === true;
  }
}
