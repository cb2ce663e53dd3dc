/**
 * Shard rows by the last scan; selects the shards that a member may acquire or should hand over.
 */

import type { MemberTable } from '../membership/memberTable';
import type { MemberView } from '../membership/types';
import type { PlatformCall, Row, RowCheck } from '../platform/types';
import { toEpoch } from '../types/ids';
import type { Epoch, MemberId, OperationId, ShardId } from '../types/ids';
import { getPreferredOwner } from './assignment';
import { MIN_UPTIME_MS } from './constants';
import type { EvictionPolicy } from './evictionPolicy';
import { createShardChange, getShardKey, isShardRow } from './transactions';
import type { ShardView } from './transactions';
import type { LeaseContext, ShardPlacement, ShardRow } from './types';

/** A member and the shards that it knows it owns. */
export interface LeaseHolder {
  readonly memberId: MemberId;
  readonly owned: ReadonlyMap<ShardId, Epoch>;
}

/** All shards that have a row. */
export class ShardTable {
  #members: MemberTable;

  #evictionPolicy: EvictionPolicy;

  #views = new Map<ShardId, ShardView>();

  /**
   * @param members - members by a scan that was made after that of the shards
   * @param evictionPolicy - knows which members are dead
   */
  constructor(members: MemberTable, evictionPolicy: EvictionPolicy) {
    this.#members = members;
    this.#evictionPolicy = evictionPolicy;
  }

  get rows(): readonly ShardRow[] {
    return [...this.#views.values()].map((view) => view.row);
  }

  /**
   * Replaces the content with the result of a scan.
   * @param rows - every row under the shard prefix
   */
  updateFromScan(rows: readonly Row[]): void {
    this.#views.clear();
    rows.forEach(({ value, version }) => {
      if (!isShardRow(value)) return;
      this.#views.set(value.shardId, { row: value, rowVersion: version });
    });
  }

  /**
   * Returns whether a shard's row names the given owner and epoch.
   * @param shardId - the shard
   * @param memberId - the owner
   * @param epoch - the owner's epoch
   * @returns true if both match
   */
  isOwnedBy(shardId: ShardId, memberId: MemberId, epoch: Epoch): boolean {
    const row = this.#views.get(shardId)?.row;
    return row?.ownerId === memberId && row.epoch === epoch;
  }

  /**
   * Creates the check that a shard's row has not changed since the scan.
   * @param shardId - the shard
   * @returns the check; if there is no row, it checks that there still is none
   */
  getCheck(shardId: ShardId): RowCheck {
    return { key: getShardKey(shardId), version: this.#views.get(shardId)?.rowVersion ?? 0 };
  }

  /**
   * Lists the shards that a member should acquire.
   * @param holder - the member
   * @param placements - every shard that should have an owner
   * @returns the new rows of these shards
   */
  getAcquirable(holder: LeaseHolder, placements: readonly ShardPlacement[]): readonly ShardRow[] {
    const { memberId, owned } = holder;
    return placements
      .filter((placement) => !owned.has(placement.shardId))
      .filter((placement) => this.#canAcquire(placement.shardId, memberId))
      .filter((placement) => this.#getPreferredOwnerId(placement, memberId) === memberId)
      .map(({ shardId }) => {
        const epoch = toEpoch((this.#views.get(shardId)?.row.epoch ?? 0) + 1);
        return { shardId, ownerId: memberId, epoch };
      });
  }

  /**
   * Lists the shards that a member should hand over, including those that it acquired without
   * receiving the response.
   * @param holder - the member
   * @param nowMs - the current time on this process's clock
   * @param context - the shards that should be owned, and whether this member is stopping
   * @returns the new rows of these shards
   */
  getReleasable(holder: LeaseHolder, nowMs: number, context: LeaseContext): readonly ShardRow[] {
    return this.rows
      .filter((row) => row.ownerId === holder.memberId)
      .filter(({ shardId }) => !context.busyShardIds.has(shardId))
      .filter(({ shardId }) => {
        if (context.isHandingOver) return true;
        const placement = context.shards.find((candidate) => candidate.shardId === shardId);
        return placement === undefined || this.#hasBetterOwner(holder, nowMs, placement);
      })
      .map((row) => ({ ...row, ownerId: null }));
  }

  /**
   * Creates the transaction that writes new shard rows.
   * @param rows - the new rows
   * @param operationId - the id of this write
   * @returns the call; it conflicts if any of the rows has changed since the scan
   */
  createChange(rows: readonly ShardRow[], operationId: OperationId): PlatformCall {
    const changes = rows.map((row) => ({
      row,
      rowVersion: this.#views.get(row.shardId)?.rowVersion ?? 0,
    }));
    return createShardChange(changes, operationId);
  }

  /**
   * Returns the state as plain data.
   * @returns the rows with their versions
   */
  dump(): readonly ShardView[] {
    return [...this.#views.values()];
  }

  #canAcquire(shardId: ShardId, memberId: MemberId): boolean {
    const ownerId = this.#views.get(shardId)?.row.ownerId ?? null;
    if (ownerId === null) return true;
    // If the response to an acquisition was lost, acquiring the shard again makes the epoch
    // certain.
    return ownerId === memberId || this.#members.get(ownerId) === undefined;
  }

  #hasBetterOwner(holder: LeaseHolder, nowMs: number, placement: ShardPlacement): boolean {
    const preferred = this.#getPreferredOwner(placement, holder.memberId);
    if (preferred === undefined || preferred.row.memberId === holder.memberId) return false;
    return !holder.owned.has(placement.shardId) || nowMs - preferred.firstSeenMs >= MIN_UPTIME_MS;
  }

  #getPreferredOwnerId(placement: ShardPlacement, memberId: MemberId): MemberId | undefined {
    return this.#getPreferredOwner(placement, memberId)?.row.memberId;
  }

  #getPreferredOwner(placement: ShardPlacement, selfId: MemberId): MemberView | undefined {
    const candidates = this.#members.views.filter(
      (view) =>
        view.row.memberId === selfId || !(view.row.isLeaving || this.#evictionPolicy.isDead(view)),
    );
    return getPreferredOwner(placement, candidates);
  }
}
