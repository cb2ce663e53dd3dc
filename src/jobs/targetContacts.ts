/** Tracks reports from targets and the task leases on them, to determine which tasks may still run. */

import { SETTLE_MS } from '../lease/constants';
import type { Target } from '../placement/types';
import type { Epoch, ShardId, TargetId } from '../types/ids';

/** Duration of a task lease; a target stops a task whose lease is not renewed in time. */
export const TASK_LEASE_MS = 15_000;
/** A call that extends leases is sent within this time of its decision, or dropped. */
export const LEASE_CALL_LEAVES_MS = 1_000;
/** Allows for the latency of such a call and for clock drift over one lease. */
const LAPSE_MARGIN_MS = 2_000;
const LAPSE_MS = TASK_LEASE_MS + LEASE_CALL_LEAVES_MS + LAPSE_MARGIN_MS;
/** Interval between renewals on one target; a lease survives three lost renewals. */
const RENEWAL_INTERVAL_MS = 4_000;
/** Leases on a target that has not reported for this long are no longer renewed. */
const SILENT_TARGET_MS = 5_000;
/** Time from seeing leases expired to giving up their runs: one report interval and the timeout of a report. */
const LAST_REPORT_MS = 3_000;
/** Expired leases are checked more often than this; a longer gap means that this process was paused. */
const PAUSE_MS = 2_000;

interface ShardState {
  readonly epoch: Epoch;
  readonly acquiredMs: number;
}

interface TargetState {
  epoch: Epoch;
  /** When the latest report that arrived was requested. */
  reportedMs: number;
  /** When a start or a renewal was last sent. */
  extendedMs: number;
  /** When a renewal, which extends all leases on the target, was last sent. */
  renewedMs: number;
  /** When all its leases were seen to have expired; undefined while one may be valid. */
  lapse: SeenLapse | undefined;
}

interface SeenLapse {
  readonly firstMs: number;
  lastMs: number;
}

/** Tracks leases on the targets of the shards that this scheduler owns. */
export class TargetContacts {
  #shards = new Map<ShardId, ShardState>();

  #targets = new Map<TargetId, TargetState>();

  #listedMs = Number.NEGATIVE_INFINITY;

  /**
   * Updates which shards are owned.
   * @param owned - the owned shards of targets with their epochs
   * @param nowMs - current time on this process's clock
   * @returns the shards that are no longer owned in their previous epoch
   */
  syncShards(owned: ReadonlyMap<ShardId, Epoch>, nowMs: number): readonly ShardId[] {
    const lost = [...this.#shards]
      .filter(([shardId, state]) => owned.get(shardId) !== state.epoch)
      .map(([shardId]) => shardId);
    lost.forEach((shardId) => this.#shards.delete(shardId));
    owned.forEach((epoch, shardId) => {
      if (!this.#shards.has(shardId)) this.#shards.set(shardId, { epoch, acquiredMs: nowMs });
    });
    return lost;
  }

  /**
   * Records that the list of Vms was read.
   * @param requestedAtMs - when the list was requested
   */
  recordList(sentMs: number): void {
    this.#listedMs = Math.max(this.#listedMs, sentMs);
  }

  /**
   * Records a target's report.
   * @param targetId - the target
   * @param epoch - epoch of its shard when the report was requested
   * @param requestedAtMs - when the report was requested
   */
  recordReport(targetId: TargetId, epoch: Epoch, sentMs: number): void {
    const state = this.#get(targetId, epoch);
    state.reportedMs = Math.max(state.reportedMs, sentMs);
  }

  /**
   * Records that a call that extends leases on a target is about to be sent.
   * @param targetId - the target
   * @param epoch - epoch of its shard
   * @param nowMs - current time on this process's clock
   */
  recordExtension(targetId: TargetId, epoch: Epoch, nowMs: number): void {
    this.#get(targetId, epoch).extendedMs = nowMs;
  }

  /**
   * Records that a renewal of all leases on a target is about to be sent.
   * @param targetId - the target
   * @param epoch - epoch of its shard
   * @param nowMs - current time on this process's clock
   */
  recordRenewal(targetId: TargetId, epoch: Epoch, nowMs: number): void {
    this.recordExtension(targetId, epoch, nowMs);
    this.#get(targetId, epoch).renewedMs = nowMs;
  }

  /**
   * Checks whether a renewal of the leases on a target is due.
   * @param target - the target
   * @param epoch - epoch of its shard
   * @param nowMs - current time on this process's clock
   * @returns true if the leases may be extended and were not renewed recently in this epoch
   */
  isRenewalDue(target: Target, epoch: Epoch, nowMs: number): boolean {
    if (!this.mayExtend(target, epoch, nowMs)) return false;
    return nowMs - this.#get(target.targetId, epoch).renewedMs >= RENEWAL_INTERVAL_MS;
  }

  /**
   * Checks whether leases on a target may be extended. Leases on a target that does not report are
   * left to expire, so that its tasks are certain to end.
   * @param target - the target
   * @param epoch - epoch of its shard
   * @param nowMs - current time on this process's clock
   * @returns true if the target reported recently in this epoch
   */
  mayExtend(target: Target, epoch: Epoch, nowMs: number): boolean {
    const state = this.#targets.get(target.targetId);
    return state?.epoch === epoch && nowMs - state.reportedMs <= SILENT_TARGET_MS;
  }

  /**
   * Checks whether all leases on a target have certainly expired.
   * @param target - the target
   * @param epoch - epoch of its shard
   * @param nowMs - current time on this process's clock
   * @returns true if no lease can still be valid
   */
  isLapsed(target: Target, epoch: Epoch, nowMs: number): boolean {
    const shard = this.#shards.get(target.shardId);
    if (shard === undefined || shard.epoch !== epoch) return false;
    const state = this.#targets.get(target.targetId);
    const extendedMs = state?.epoch === epoch ? state.extendedMs : Number.NEGATIVE_INFINITY;
    return nowMs - Math.max(shard.acquiredMs, extendedMs) > LAPSE_MS;
  }

  /**
   * Checks whether the runs on a target are lost. After a pause of this process, a lease may have
   * expired although its run finished and the report of that was not read yet; so the target is given
   * time for one more report.
   * @param target - the target
   * @param epoch - epoch of its shard
   * @param nowMs - current time on this process's clock
   * @returns true if all leases were seen to have expired at least one report's time ago
   */
  isLost(target: Target, epoch: Epoch, nowMs: number): boolean {
    const state = this.#get(target.targetId, epoch);
    if (!this.isLapsed(target, epoch, nowMs)) {
      state.lapse = undefined;
      return false;
    }
    const isPaused = state.lapse !== undefined && nowMs - state.lapse.lastMs > PAUSE_MS;
    if (state.lapse === undefined || isPaused) state.lapse = { firstMs: nowMs, lastMs: nowMs };
    state.lapse.lastMs = nowMs;
    return nowMs - state.lapse.firstMs >= LAST_REPORT_MS;
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
  isShardCertain(
    shardId: ShardId,
    targets: readonly Target[],
    epoch: Epoch,
    nowMs: number,
  ): boolean {
    const shard = this.#shards.get(shardId);
    if (shard === undefined || shard.epoch !== epoch) return false;
    if (this.#listedMs < shard.acquiredMs) return false;
    return targets.every((target) => {
      const state = this.#targets.get(target.targetId);
      const reportedMs = state?.epoch === epoch ? state.reportedMs : Number.NEGATIVE_INFINITY;
      return reportedMs >= shard.acquiredMs + SETTLE_MS || this.isLost(target, epoch, nowMs);
    });
  }

  #get(targetId: TargetId, epoch: Epoch): TargetState {
    const known = this.#targets.get(targetId);
    if (known !== undefined && known.epoch === epoch) return known;
    const state = {
      epoch,
      reportedMs: Number.NEGATIVE_INFINITY,
      extendedMs: Number.NEGATIVE_INFINITY,
      renewedMs: Number.NEGATIVE_INFINITY,
      lapse: undefined,
    };
    this.#targets.set(targetId, state);
    return state;
  }
}
