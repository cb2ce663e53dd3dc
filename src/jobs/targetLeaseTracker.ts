/** Tracks reports from targets and the task leases on them, to determine which tasks may still run. */

import { SETTLING_MS } from '../lease/constants';
import type { Target } from '../placement/types';
import type { Epoch, ShardId, TargetId } from '../types/ids';

/** Duration of a task lease; a target stops a task whose lease is not renewed in time. */
export const TASK_LEASE_MS = 15_000;
/** A call that extends leases is sent within this time of its decision, or dropped. */
export const LEASE_CALL_SEND_TIMEOUT_MS = 1_000;
/** Allows for the latency of such a call and for clock drift over one lease. */
const LEASE_EXPIRY_MARGIN_MS = 2_000;
const LEASE_EXPIRY_MS = TASK_LEASE_MS + LEASE_CALL_SEND_TIMEOUT_MS + LEASE_EXPIRY_MARGIN_MS;
/** Interval between renewals on one target; a lease survives three lost renewals. */
const RENEWAL_INTERVAL_MS = 4_000;
/** Leases on a target that has not reported for this long are no longer renewed. */
const SILENCE_TIMEOUT_MS = 5_000;
/** Time from seeing leases expired to giving up their runs: one report interval and the timeout of a report. */
const FINAL_REPORT_GRACE_MS = 3_000;
/** Expired leases are checked more often than this; a longer gap means that this process was paused. */
const PROCESS_PAUSE_THRESHOLD_MS = 2_000;

interface ShardState {
  readonly epoch: Epoch;
  readonly acquiredAtMs: number;
}

interface TargetLeaseState {
  epoch: Epoch;
  /** When the latest report that arrived was requested. */
  reportRequestedAtMs: number;
  /** When a start or a renewal was last sent. */
  lastExtensionAtMs: number;
  /** When a renewal, which extends all leases on the target, was last sent. */
  lastRenewalAtMs: number;
  /** When all its leases were seen to have expired; undefined while one may be valid. */
  expiry: ObservedExpiry | undefined;
}

interface ObservedExpiry {
  readonly firstSeenAtMs: number;
  lastSeenAtMs: number;
}

/** Tracks leases on the targets of the shards that this scheduler owns. */
export class TargetLeaseTracker {
  #shards = new Map<ShardId, ShardState>();

  #targets = new Map<TargetId, TargetLeaseState>();

  #vmListRequestedAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Updates the set of owned shards.
   * @param owned - the owned shards of targets with their epochs
   * @param nowMs - current time on this process's clock
   * @returns the shards that are no longer owned in their previous epoch
   */
  syncShards(owned: ReadonlyMap<ShardId, Epoch>, nowMs: number): readonly ShardId[] {
    const lostShardIds = [...this.#shards]
      .filter(([shardId, state]) => owned.get(shardId) !== state.epoch)
      .map(([shardId]) => shardId);
    lostShardIds.forEach((shardId) => this.#shards.delete(shardId));
    owned.forEach((epoch, shardId) => {
      if (!this.#shards.has(shardId)) this.#shards.set(shardId, { epoch, acquiredAtMs: nowMs });
    });
    return lostShardIds;
  }

  /**
   * Records that the list of Vms was read.
   * @param requestedAtMs - when the list was requested
   */
  recordVmList(requestedAtMs: number): void {
    this.#vmListRequestedAtMs = Math.max(this.#vmListRequestedAtMs, requestedAtMs);
  }

  /**
   * Records a target's report.
   * @param targetId - the target
   * @param epoch - epoch of its shard when the report was requested
   * @param requestedAtMs - when the report was requested
   */
  recordReport(targetId: TargetId, epoch: Epoch, requestedAtMs: number): void {
    const state = this.#getOrCreate(targetId, epoch);
    state.reportRequestedAtMs = Math.max(state.reportRequestedAtMs, requestedAtMs);
  }

  /**
   * Records that a call that extends leases on a target is about to be sent.
   * @param targetId - the target
   * @param epoch - epoch of its shard
   * @param nowMs - current time on this process's clock
   */
  recordExtension(targetId: TargetId, epoch: Epoch, nowMs: number): void {
    this.#getOrCreate(targetId, epoch).lastExtensionAtMs = nowMs;
  }

  /**
   * Records that a renewal of all leases on a target is about to be sent.
   * @param targetId - the target
   * @param epoch - epoch of its shard
   * @param nowMs - current time on this process's clock
   */
  recordRenewal(targetId: TargetId, epoch: Epoch, nowMs: number): void {
    this.recordExtension(targetId, epoch, nowMs);
    this.#getOrCreate(targetId, epoch).lastRenewalAtMs = nowMs;
  }

  /**
   * Checks whether a renewal of the leases on a target is due.
   * @param target - the target
   * @param epoch - epoch of its shard
   * @param nowMs - current time on this process's clock
   * @returns true if the leases may be extended and were not renewed recently in this epoch
   */
  isRenewalDue(target: Target, epoch: Epoch, nowMs: number): boolean {
    if (!this.mayExtendLeases(target, epoch, nowMs)) return false;
    return nowMs - this.#getOrCreate(target.targetId, epoch).lastRenewalAtMs >= RENEWAL_INTERVAL_MS;
  }

  /**
   * Checks whether leases on a target may be extended. Leases on a target that does not report are
   * left to expire, so that its tasks are certain to end.
   * @param target - the target
   * @param epoch - epoch of its shard
   * @param nowMs - current time on this process's clock
   * @returns true if the target reported recently in this epoch
   */
  mayExtendLeases(target: Target, epoch: Epoch, nowMs: number): boolean {
    const state = this.#targets.get(target.targetId);
    return state?.epoch === epoch && nowMs - state.reportRequestedAtMs <= SILENCE_TIMEOUT_MS;
  }

  /**
   * Checks whether all leases on a target have certainly expired.
   * @param target - the target
   * @param epoch - epoch of its shard
   * @param nowMs - current time on this process's clock
   * @returns true if no lease can still be valid
   */
  areLeasesExpired(target: Target, epoch: Epoch, nowMs: number): boolean {
    const shard = this.#shards.get(target.shardId);
    if (shard === undefined || shard.epoch !== epoch) return false;
    const state = this.#targets.get(target.targetId);
    const lastExtensionAtMs =
      state?.epoch === epoch ? state.lastExtensionAtMs : Number.NEGATIVE_INFINITY;
    return nowMs - Math.max(shard.acquiredAtMs, lastExtensionAtMs) > LEASE_EXPIRY_MS;
  }

  /**
   * Checks whether the runs on a target are lost. After a pause of this process, a lease may have
   * expired while the report that its run finished is still unread. The target is therefore given time
   * for one more report.
   * @param target - the target
   * @param epoch - epoch of its shard
   * @param nowMs - current time on this process's clock
   * @returns true if all leases were first seen to have expired at least `FINAL_REPORT_GRACE_MS` ago
   */
  isLost(target: Target, epoch: Epoch, nowMs: number): boolean {
    const state = this.#getOrCreate(target.targetId, epoch);
    if (!this.areLeasesExpired(target, epoch, nowMs)) {
      state.expiry = undefined;
      return false;
    }
    const wasPaused =
      state.expiry !== undefined && nowMs - state.expiry.lastSeenAtMs > PROCESS_PAUSE_THRESHOLD_MS;
    if (state.expiry === undefined || wasPaused)
      state.expiry = { firstSeenAtMs: nowMs, lastSeenAtMs: nowMs };
    state.expiry.lastSeenAtMs = nowMs;
    return nowMs - state.expiry.firstSeenAtMs >= FINAL_REPORT_GRACE_MS;
  }

  /**
   * Checks whether this owner knows all tasks that run on a shard.
   * @param shardId - the shard
   * @param targets - the targets of the shard
   * @param epoch - epoch of the shard
   * @param nowMs - current time on this process's clock
   * @returns true if each target either reported in this epoch after the last call of the former owner
   * could have arrived, or has no valid lease left
   */
  isShardStateKnown(
    shardId: ShardId,
    targets: readonly Target[],
    epoch: Epoch,
    nowMs: number,
  ): boolean {
    const shard = this.#shards.get(shardId);
    if (shard === undefined || shard.epoch !== epoch) return false;
    if (this.#vmListRequestedAtMs < shard.acquiredAtMs) return false;
    return targets.every((target) => {
      const state = this.#targets.get(target.targetId);
      const requestedAtMs =
        state?.epoch === epoch ? state.reportRequestedAtMs : Number.NEGATIVE_INFINITY;
      return requestedAtMs >= shard.acquiredAtMs + SETTLING_MS || this.isLost(target, epoch, nowMs);
    });
  }

  #getOrCreate(targetId: TargetId, epoch: Epoch): TargetLeaseState {
    const existing = this.#targets.get(targetId);
    if (existing !== undefined && existing.epoch === epoch) return existing;
    const state = {
      epoch,
      reportRequestedAtMs: Number.NEGATIVE_INFINITY,
      lastExtensionAtMs: Number.NEGATIVE_INFINITY,
      lastRenewalAtMs: Number.NEGATIVE_INFINITY,
      expiry: undefined,
    };
    this.#targets.set(targetId, state);
    return state;
  }
}
