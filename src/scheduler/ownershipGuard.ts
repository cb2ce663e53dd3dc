/** Determines on which targets this scheduler may start work now. */

import type { ConfigHolder } from '../config/configHolder';
import type { LeaseManager } from '../lease/leaseManager';
import { SETTLING_MS } from '../lease/constants';
import { isHomeShard } from '../lease/shards';
import type { TargetPool } from '../placement/targetPool';
import type { Target } from '../placement/types';
import type { StartGuard, StartPermit } from '../requests/types';
import type { DataCentre } from '../config/types';
import type { Epoch, ShardId, TargetId } from '../types/ids';
import { DataCentreRampUp } from './dataCentreRampUp';

/** No work starts on a target whose last report is older, since it may be draining. */
const REPORT_VALID_MS = 5_000;

/** Whether a target was draining at its latest report. */
interface LeavingReport {
  readonly isLeaving: boolean;
  readonly sentMs: number;
}

interface ReplicaSource {
  getReplicas(serviceName: string): readonly Target[];
}

/** Authorizes every start on a target. */
export class OwnershipGuard implements StartGuard {
  #lease: LeaseManager;

  #config: ConfigHolder;

  #pool: TargetPool;

  #replicaSource: ReplicaSource | undefined;

  #acquiredAtMs = new Map<ShardId, number>();

  #settledEpochs = new Map<TargetId, Epoch>();

  #leavingReports = new Map<TargetId, LeavingReport>();

  #rampUp = new DataCentreRampUp();

  /**
   * @param lease - leases of the owned shards
   * @param config - active configuration with the data centres in service
   * @param pool - all known targets
   */
  constructor(lease: LeaseManager, config: ConfigHolder, pool: TargetPool) {
    this.#lease = lease;
    this.#config = config;
    this.#pool = pool;
  }

  /**
   * Sets the source of service replicas. It depends on this guard, so the constructor cannot take it.
   * @param replicaSource - lists the targets that run a service
   */
  setReplicaSource(replicaSource: ReplicaSource): void {
    this.#replicaSource = replicaSource;
  }

  /**
   * Records that a shard was acquired. No work starts on it until its settling time has passed and
   * its targets have reported.
   * @param shardId - the acquired shard
   * @param nowMs - current time of this process's monotonic clock
   */
  recordAcquisition(shardId: ShardId, nowMs: number): void {
    this.#acquiredAtMs.set(shardId, nowMs);
  }

  /**
   * Records that a target has reported its inventory to its owner of an epoch. A report requested
   * before the settling time has passed is ignored, because starts of the previous owner may still
   * arrive after it.
   * @param target - the target that reported
   * @param epoch - epoch of the ownership under which it reported
   * @param sentMs - when the report was requested
   */
  recordReport(target: Target, epoch: Epoch, sentMs: number): void {
    if (sentMs < this.#getSettleEndMs(target.shardId)) return;
    this.#settledEpochs.set(target.targetId, epoch);
  }

  /**
   * Determines whether a target has reported its complete inventory under an ownership.
   * @param targetId - the target
   * @param epoch - epoch of the ownership
   * @returns true once such a report has been recorded
   */
  isSettled(targetId: TargetId, epoch: Epoch): boolean {
    return this.#settledEpochs.get(targetId) === epoch;
  }

  /**
   * Lists the targets of shards whose settling time ended within a time range.
   * @param afterMs - exclusive start of the range, on this process's monotonic clock
   * @param untilMs - inclusive end of the range
   * @returns targets to request a report from immediately
   */
  getTargetsSettledBetween(afterMs: number, untilMs: number): readonly Target[] {
    return this.getCandidates().filter((target) => {
      const endMs = this.#getSettleEndMs(target.shardId);
      return endMs > afterMs && endMs <= untilMs;
    });
  }

  /**
   * Records whether a target reports that it is draining; the platform's VM list lags behind.
   * Reports that arrive out of order are ignored.
   * @param targetId - the target that reported
   * @param isLeaving - true if it is draining
   * @param sentMs - when the report was requested
   */
  recordLeaving(targetId: TargetId, isLeaving: boolean, sentMs: number): void {
    const previous = this.#leavingReports.get(targetId);
    if (previous !== undefined && previous.sentMs > sentMs) return;
    this.#leavingReports.set(targetId, { isLeaving, sentMs });
  }

  /**
   * Applies the data centres of a newer configuration.
   * @param dataCentres - data centres of the sheet
   * @param nowMs - current time of this process's monotonic clock
   */
  updateDataCentres(dataCentres: readonly DataCentre[], nowMs: number): void {
    this.#rampUp.update(dataCentres, nowMs);
  }

  /**
   * Gets the permit to call a target as its owner, for reports and renewals.
   * @param target - the target to call
   * @param nowMs - current time of this process's monotonic clock
   * @returns the permit, or undefined if this scheduler has no valid ownership of the target
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
    if (!this.#isInService(target) || !this.#rampUp.isEnabled(target, nowMs)) return undefined;
    const report = this.#leavingReports.get(target.targetId);
    if (report === undefined || report.isLeaving) return undefined;
    const reportUntilMs = report.sentMs + REPORT_VALID_MS;
    const untilMs = Math.min(permit.untilMs, this.#config.getFreshUntilMs(), reportUntilMs);
    return nowMs < untilMs ? { epoch: permit.epoch, untilMs } : undefined;
  }

  /** {@inheritDoc StartGuard.getCandidates} */
  getCandidates(): readonly Target[] {
    return this.#pool.getTargetsOfShards(this.#lease.ownedShardIds);
  }

  /** {@inheritDoc StartGuard.getReplicas} */
  getReplicas(serviceName: string): readonly Target[] {
    return this.#replicaSource?.getReplicas(serviceName) ?? [];
  }

  /**
   * Lists the owned shards on which work can start now.
   * @param nowMs - current time of this process's monotonic clock
   * @returns home shards under a valid session, and target shards with at least one permitted target
   */
  getActiveShards(nowMs: number): readonly ShardId[] {
    const startableShardIds = new Set(
      this.getCandidates()
        .filter((target) => this.tryGetPermit(target, nowMs) !== undefined)
        .map((target) => target.shardId),
    );
    return this.#lease.ownedShardIds.filter((shardId) =>
      isHomeShard(shardId)
        ? nowMs < this.#lease.getAuthorityUntilMs(shardId)
        : startableShardIds.has(shardId),
    );
  }

  #getSettleEndMs(shardId: ShardId): number {
    return (this.#acquiredAtMs.get(shardId) ?? Number.POSITIVE_INFINITY) + SETTLING_MS;
  }

  #isInService(target: Target): boolean {
    const configured = this.#config.config.sheet.dataCentres.find(
      (dataCentre) => dataCentre.dataCentreId === target.dataCentreId,
    );
    return configured?.inService === true;
  }
}
