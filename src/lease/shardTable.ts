/** The shards' rows as last scanned, and which of them a member may acquire or should hand over. */

import type { MemberTable } from '../membership/memberTable';
import type { MemberView } from '../membership/types';
import type { PlatformCall, Row, RowCheck } from '../platform/types';
import { toEpoch } from '../types/ids';
import type { Epoch, MemberId, OperationId, ShardId } from '../types/ids';
import { getPreferredOwner } from './assignment';
import { STABLE_MS } from './constants';
import type { EvictionJudge } from './evictionJudge';
import { createShardChange, getShardKey, isShardRow } from './transactions';
import type { ShardView } from './transactions';
import type { LeaseContext, ShardPlacement, ShardRow } from './types';

/** Who looks at the shards, and what it owns for certain. */
export interface Holder {
  readonly memberId: MemberId;
  readonly owned: ReadonlyMap<ShardId, Epoch>;
}

/** Every shard with a row. */
export class ShardTable {
  #members: MemberTable;

  #judge: EvictionJudge;

  #views = new Map<ShardId, ShardView>();

  /**
   * @param members - members as scanned after the shards
   * @param judge - knows which members are dead
   */
  constructor(members: MemberTable, judge: EvictionJudge) {
    this.#members = members;
    this.#judge = judge;
  }

  /** The rows. */
  get rows(): readonly ShardRow[] {
    return [...this.#views.values()].map((view) => view.row);
  }

  /**
   * Takes in a scan.
   * @param rows - every row under the prefix
   */
  updateFromScan(rows: readonly Row[]): void {
    this.#views.clear();
    rows.forEach(({ value, version }) => {
      if (!isShardRow(value)) return;
      this.#views.set(value.shardId, { row: value, rowVersion: version });
    });
  }

  /**
   * Asks whether a shard's row names an owner and epoch.
   * @param shardId - which shard
   * @param memberId - the owner
   * @param epoch - its epoch
   * @returns true when it does
   */
  isHeldBy(shardId: ShardId, memberId: MemberId, epoch: Epoch): boolean {
    const row = this.#views.get(shardId)?.row;
    return row?.ownerId === memberId && row.epoch === epoch;
  }

  /**
   * Gets the check that a shard's row has not changed since the scan.
   * @param shardId - which shard
   * @returns the check; of an absent row when there is none
   */
  getCheck(shardId: ShardId): RowCheck {
    return { key: getShardKey(shardId), version: this.#views.get(shardId)?.rowVersion ?? 0 };
  }

  /**
   * Lists the shards that a member should acquire.
   * @param holder - the member
   * @param placements - every shard that should have an owner
   * @returns the rows that they would get
   */
  getAcquirable(holder: Holder, placements: readonly ShardPlacement[]): readonly ShardRow[] {
    const { memberId, owned } = holder;
    return placements
      .filter((placement) => !owned.has(placement.shardId))
      .filter((placement) => this.#isFree(placement.shardId, memberId))
      .filter((placement) => this.#getPreferredId(placement, memberId) === memberId)
      .map(({ shardId }) => {
        const epoch = toEpoch((this.#views.get(shardId)?.row.epoch ?? 0) + 1);
        return { shardId, ownerId: memberId, epoch };
      });
  }

  /**
   * Lists the shards to hand over, with those whose row names the member after a lost answer.
   * @param holder - the member
   * @param nowMs - this process's clock
   * @param context - what should be owned
   * @returns the rows that they would get
   */
  getReleasable(holder: Holder, nowMs: number, context: LeaseContext): readonly ShardRow[] {
    return this.rows
      .filter((row) => row.ownerId === holder.memberId)
      .filter(({ shardId }) => !context.busyShardIds.has(shardId))
      .filter(({ shardId }) => {
        if (context.isHandingOver) return true;
        const placement = context.shards.find((known) => known.shardId === shardId);
        return placement === undefined || this.#isBetterElsewhere(holder, nowMs, placement);
      })
      .map((row) => ({ ...row, ownerId: null }));
  }

  /**
   * Builds the transaction that gives shards new rows.
   * @param rows - the rows
   * @param operationId - of this write
   * @returns the call; it conflicts when any of the rows has changed since the scan
   */
  createChange(rows: readonly ShardRow[], operationId: OperationId): PlatformCall {
    const changes = rows.map((row) => ({
      row,
      rowVersion: this.#views.get(row.shardId)?.rowVersion ?? 0,
    }));
    return createShardChange(changes, operationId);
  }

  /**
   * Gets the state as plain data.
   * @returns the rows with their versions
   */
  dump(): readonly ShardView[] {
    return [...this.#views.values()];
  }

  #isFree(shardId: ShardId, memberId: MemberId): boolean {
    const ownerId = this.#views.get(shardId)?.row.ownerId ?? null;
    if (ownerId === null) return true;
    // The answer to an acquisition was lost; taking the shard again makes its epoch certain.
    return ownerId === memberId || this.#members.get(ownerId) === undefined;
  }

  #isBetterElsewhere(holder: Holder, nowMs: number, placement: ShardPlacement): boolean {
    const preferred = this.#getPreferred(placement, holder.memberId);
    if (preferred === undefined || preferred.row.memberId === holder.memberId) return false;
    return !holder.owned.has(placement.shardId) || nowMs - preferred.firstSeenMs >= STABLE_MS;
  }

  #getPreferredId(placement: ShardPlacement, memberId: MemberId): MemberId | undefined {
    return this.#getPreferred(placement, memberId)?.row.memberId;
  }

  #getPreferred(placement: ShardPlacement, selfId: MemberId): MemberView | undefined {
    const live = this.#members.views.filter(
      (view) => view.row.memberId === selfId || !(view.row.isLeaving || this.#judge.isDead(view)),
    );
    return getPreferredOwner(placement, live);
  }
}
