/** When each target was heard and renewed, and what follows for tasks that it may run. */

import { SETTLING_TIME_MS } from '../lease/constants';
import type { Target } from '../placement/types';
import type { Epoch, ShardId, TargetId } from '../types/ids';

/** Lease that a task runs under; a target stops a task whose lease is not renewed. */
export const TASK_LEASE_MS = 15_000;
/** A call that extends leases leaves within this time of being decided, or not at all. */
export const LEASE_CALL_LEAVES_MS = 1_000;
/** Travel of such a call and difference of clock rates over one lease. */
const LAPSE_MARGIN_MS = 2_000;
const LAPSE_MS = TASK_LEASE_MS + LEASE_CALL_LEAVES_MS + LAPSE_MARGIN_MS;
/** Interval between renewals on one target; three may be lost before a lease ends. */
const RENEWAL_INTERVAL_MS = 4_000;
/** Leases on a target that was not heard for this long are left to lapse. */
const SILENT_TARGET_MS = 5_000;
/** A lapsed lease is acted on after this: one report interval and the timeout of a report. */
const LAST_REPORT_MS = 3_000;
/** Lapses are asked about more often than this, unless this process was paused meanwhile. */
const PAUSE_MS = 2_000;

interface ShardState {
  readonly epoch: Epoch;
  readonly acquiredMs: number;
}

interface TargetState {
  epoch: Epoch;
  /** When the newest report that came was asked for. */
  reportedMs: number;
  /** When a start or a renewal last left. */
  extendedMs: number;
  /** When a renewal, which extends every lease on the target, last left. */
  renewedMs: number;
  /** When its leases were seen to have lapsed; undefined while some may be left. */
  lapse: SeenLapse | undefined;
}

interface SeenLapse {
  readonly firstMs: number;
  lastMs: number;
}

/** Contacts with the targets of the shards that this scheduler owns. */
export class TargetContacts {
  #shards = new Map<ShardId, ShardState>();

  #targets = new Map<TargetId, TargetState>();

  #listedMs = Number.NEGATIVE_INFINITY;

  /**
   * Takes in which shards are owned.
   * @param owned - the shards of targets with their epochs
   * @param nowMs - this process's clock
   * @returns the shards that are no longer owned under the epoch known before
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
   * @param sentMs - when it was asked for
   */
  recordList(sentMs: number): void {
    this.#listedMs = Math.max(this.#listedMs, sentMs);
  }

  /**
   * Records a target's report.
   * @param targetId - which target
   * @param epoch - under which it was asked
   * @param sentMs - when it was asked for
   */
  recordReport(targetId: TargetId, epoch: Epoch, sentMs: number): void {
    const state = this.#get(targetId, epoch);
    state.reportedMs = Math.max(state.reportedMs, sentMs);
  }

  /**
   * Records that a call which extends leases on a target is about to leave.
   * @param targetId - which target
   * @param epoch - under which it leaves
   * @param nowMs - this process's clock
   */
  recordExtension(targetId: TargetId, epoch: Epoch, nowMs: number): void {
    this.#get(targetId, epoch).extendedMs = nowMs;
  }

  /**
   * Records that a renewal of every lease on a target is about to leave.
   * @param targetId - which target
   * @param epoch - under which it leaves
   * @param nowMs - this process's clock
   */
  recordRenewal(targetId: TargetId, epoch: Epoch, nowMs: number): void {
    this.recordExtension(targetId, epoch, nowMs);
    this.#get(targetId, epoch).renewedMs = nowMs;
  }

  /**
   * Asks whether it is time to renew the leases on a target.
   * @param target - which target
   * @param epoch - of its shard
   * @param nowMs - this process's clock
   * @returns true when they may be extended and were not renewed lately under this epoch
   */
  isRenewalDue(target: Target, epoch: Epoch, nowMs: number): boolean {
    if (!this.mayExtend(target, epoch, nowMs)) return false;
    return nowMs - this.#get(target.targetId, epoch).renewedMs >= RENEWAL_INTERVAL_MS;
  }

  /**
   * Asks whether leases on a target may be extended. One that doesn't report is not, so that its
   * tasks certainly end.
   * @param target - which target
   * @param epoch - of its shard
   * @param nowMs - this process's clock
   * @returns true when it was heard lately under this epoch
   */
  mayExtend(target: Target, epoch: Epoch, nowMs: number): boolean {
    const state = this.#targets.get(target.targetId);
    return state?.epoch === epoch && nowMs - state.reportedMs <= SILENT_TARGET_MS;
  }

  /**
   * Asks whether every lease on a target has certainly ended.
   * @param target - which target
   * @param epoch - of its shard
   * @param nowMs - this process's clock
   * @returns true when no lease can be left
   */
  isLapsed(target: Target, epoch: Epoch, nowMs: number): boolean {
    const shard = this.#shards.get(target.shardId);
    if (shard === undefined || shard.epoch !== epoch) return false;
    const state = this.#targets.get(target.targetId);
    const extendedMs = state?.epoch === epoch ? state.extendedMs : Number.NEGATIVE_INFINITY;
    return nowMs - Math.max(shard.acquiredMs, extendedMs) > LAPSE_MS;
  }

  /**
   * Asks whether the runs on a target count as lost. After a pause of this process a lease may have
   * lapsed with the end of its run unread, so that the target is given time for one more report.
   * @param target - which target
   * @param epoch - of its shard
   * @param nowMs - this process's clock
   * @returns true when no lease is left and the target has not reported since that was first seen
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
   * Asks whether the owner knows everything that runs on a shard.
   * @param shardId - the shard
   * @param targets - its targets
   * @param epoch - of the shard
   * @param nowMs - this process's clock
   * @returns true when each target has reported under this epoch after the former owner's last call
   * can have arrived, or has no lease left
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
      return reportedMs >= shard.acquiredMs + SETTLING_TIME_MS || this.isLost(target, epoch, nowMs);
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
