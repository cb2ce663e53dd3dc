/** Keeps this member's session and the leases of the shards that it owns. */

import type { MemberRow } from '../membership/types';
import { getMemberKey, MEMBER_PREFIX, MemberTable } from '../membership/memberTable';
import type { PlatformResult, Row, RowCheck } from '../platform/types';
import { assertNever } from '../types/debug';
import { getPreferred } from '../types/hash';
import { toEpoch, toId } from '../types/ids';
import type { Epoch, MemberId, OperationId, ShardId } from '../types/ids';
import {
  CLOCK_MARGIN_MS,
  RENEW_INTERVAL_MS,
  SCAN_INTERVAL_MS,
  SESSION_MS,
  SILENT_MS,
} from './constants';
import type {
  LeaseContext,
  LeaseEffect,
  LeaseIdentity,
  LeaseOrigin,
  ShardPlacement,
  ShardRow,
} from './types';

/** Prefix of the rows of all shards. */
export const SHARD_PREFIX = 'shard/';
const SCAN_LIMIT = 2_000;

function getShardKey(shardId: ShardId): string {
  return `${SHARD_PREFIX}${shardId}`;
}

function isShardRow(value: unknown): value is ShardRow {
  return typeof value === 'object' && value !== null && 'shardId' in value;
}

interface ShardView {
  readonly row: ShardRow;
  readonly rowVersion: number;
}

/** The lease reducer of one scheduler. */
export class LeaseKeeper {
  #identity: LeaseIdentity;

  #memberId: MemberId;

  #members = new MemberTable();

  #shards = new Map<ShardId, ShardView>();

  #owned = new Map<ShardId, Epoch>();

  #rowVersion = 0;

  #sessionUntilMs = Number.NEGATIVE_INFINITY;

  #nextRenewMs = 0;

  #nextScanMs = 0;

  #isRenewing = false;

  #isChanging = false;

  #changedMs = Number.NEGATIVE_INFINITY;

  #scannedMs = Number.NEGATIVE_INFINITY;

  #operationCount = 0;

  /**
   * @param memberId - this run of this scheduler
   * @param identity - what its row tells others
   */
  constructor(memberId: MemberId, identity: LeaseIdentity) {
    this.#memberId = memberId;
    this.#identity = identity;
  }

  /** This run of this scheduler. */
  get memberId(): MemberId {
    return this.#memberId;
  }

  /** Members as last scanned. */
  get members(): MemberTable {
    return this.#members;
  }

  /** Shards owned, whether or not the session is still valid. */
  get ownedShardIds(): readonly ShardId[] {
    return [...this.#owned.keys()];
  }

  /**
   * Gets who owns each shard by the last scan.
   * @returns the rows of shards with an owner
   */
  getOwners(): readonly ShardRow[] {
    return [...this.#shards.values()].map((view) => view.row);
  }

  /**
   * Gets until when this member may start work on a shard.
   * @param shardId - which shard
   * @returns the end of its authority on this process's clock; negative infinity when not owned
   */
  getAuthorityUntilMs(shardId: ShardId): number {
    return this.#owned.has(shardId) ? this.#sessionUntilMs : Number.NEGATIVE_INFINITY;
  }

  /**
   * Gets the epoch under which a shard is owned.
   * @param shardId - which shard
   * @returns the epoch, 0 when not owned
   */
  getEpoch(shardId: ShardId): Epoch {
    return this.#owned.get(shardId) ?? toEpoch(0);
  }

  /**
   * Gets the row that proves ownership of a shard, for a transaction that only its owner may make.
   * @param shardId - which shard
   * @returns its key and version, undefined until a scan has shown the row as acquired
   */
  tryGetOwnerCheck(shardId: ShardId): RowCheck | undefined {
    const view = this.#shards.get(shardId);
    if (view === undefined || view.row.ownerId !== this.#memberId) return undefined;
    if (view.row.epoch !== this.#owned.get(shardId)) return undefined;
    return { key: getShardKey(shardId), version: view.rowVersion };
  }

  /**
   * Renews, scans, evicts, acquires and releases as far as it is time to.
   * @param nowMs - this process's clock
   * @param context - what should be owned
   * @returns what to do
   */
  tick(nowMs: number, context: LeaseContext): readonly LeaseEffect[] {
    const effects: LeaseEffect[] = [];
    if (nowMs >= this.#nextRenewMs && !this.#isRenewing) {
      effects.push(this.#renew(nowMs, context.isDraining));
    }
    if (nowMs >= this.#nextScanMs) effects.push(...this.#scan(nowMs));
    // A change is decided only on rows that were scanned after the last change had ended.
    const isScanned = this.#scannedMs >= this.#changedMs && Number.isFinite(this.#scannedMs);
    if (!this.#isChanging && isScanned && nowMs < this.#sessionUntilMs) {
      effects.push(...this.#changeOwnership(nowMs, context));
    }
    return effects;
  }

  /**
   * Takes in what came of a platform call.
   * @param nowMs - this process's clock
   * @param origin - which call
   * @param result - what came of it
   * @returns what to do
   */
  applyResult(nowMs: number, origin: LeaseOrigin, result: PlatformResult): readonly LeaseEffect[] {
    switch (origin.kind) {
      case 'leaseRenew':
        this.#isRenewing = false;
        return this.#applyRenew(origin.sentMs, result);
      case 'leaseScanMembers':
        if (result.kind !== 'rows') return [];
        this.#members.updateFromScan(result.rows, origin.sentMs, nowMs);
        return [];
      case 'leaseScanShards':
        // A scan that overlaps a change of this member's own shows rows from before it.
        if (result.kind !== 'rows' || this.#isChanging || origin.sentMs < this.#changedMs)
          return [];
        this.#scannedMs = origin.sentMs;
        return this.#applyShardScan(result.rows);
      case 'leaseEvict':
        this.#finishChange(nowMs);
        return [];
      case 'leaseAcquire':
        this.#finishChange(nowMs);
        return result.kind === 'committed' ? this.#applyAcquired(origin.rows) : [];
      case 'leaseRelease':
        this.#finishChange(nowMs);
        return [];
      default:
        return assertNever(origin);
    }
  }

  #finishChange(nowMs: number): void {
    this.#isChanging = false;
    this.#changedMs = nowMs;
    this.#nextScanMs = nowMs;
  }

  #createOperationId(): OperationId {
    this.#operationCount += 1;
    return toId<OperationId>(`${this.#memberId}/lease/${this.#operationCount}`);
  }

  #renew(nowMs: number, isLeaving: boolean): LeaseEffect {
    this.#isRenewing = true;
    this.#nextRenewMs = nowMs + RENEW_INTERVAL_MS;
    const key = getMemberKey(this.#memberId);
    const standbyIds = this.#members.views
      .map((view) => view.row.memberId)
      .filter((memberId) => memberId !== this.#memberId);
    const row: MemberRow = { ...this.#identity, memberId: this.#memberId, isLeaving, standbyIds };
    return {
      kind: 'callPlatform',
      origin: { kind: 'leaseRenew', sentMs: nowMs },
      call: {
        kind: 'transact',
        transaction: {
          operationId: this.#createOperationId(),
          checks: [{ key, version: this.#rowVersion }],
          writes: [{ key, value: { ...row } }],
        },
      },
    };
  }

  #applyRenew(sentMs: number, result: PlatformResult): readonly LeaseEffect[] {
    if (result.kind === 'committed') {
      this.#rowVersion = result.rows[0]?.version ?? this.#rowVersion;
      this.#sessionUntilMs = sentMs + SESSION_MS - CLOCK_MARGIN_MS;
      return [];
    }
    if (result.kind !== 'conflict') return [];
    const current = result.rows[0];
    if (current !== undefined && current.value !== null) {
      // An earlier renewal took effect and its answer was lost.
      this.#rowVersion = current.version;
      this.#nextRenewMs = sentMs;
      return [];
    }
    return this.#restartSession();
  }

  /** Another member evicted this one, so every lease is gone and a new incarnation begins. */
  #restartSession(): readonly LeaseEffect[] {
    const lost = this.ownedShardIds;
    this.#owned.clear();
    this.#rowVersion = 0;
    this.#sessionUntilMs = Number.NEGATIVE_INFINITY;
    this.#memberId = toId<MemberId>(`${this.#memberId}+`);
    this.#nextRenewMs = 0;
    return [
      ...lost.map((shardId) => ({ kind: 'shardLost', shardId, reason: 'evicted' }) as const),
      { kind: 'memberChanged', memberId: this.#memberId },
    ];
  }

  #scan(nowMs: number): readonly LeaseEffect[] {
    this.#nextScanMs = nowMs + SCAN_INTERVAL_MS;
    return [
      {
        kind: 'callPlatform',
        origin: { kind: 'leaseScanMembers', sentMs: nowMs },
        call: { kind: 'range', prefix: MEMBER_PREFIX, after: '', limit: SCAN_LIMIT },
      },
      {
        kind: 'callPlatform',
        origin: { kind: 'leaseScanShards', sentMs: nowMs },
        call: { kind: 'range', prefix: SHARD_PREFIX, after: '', limit: SCAN_LIMIT },
      },
    ];
  }

  #applyShardScan(rows: readonly Row[]): readonly LeaseEffect[] {
    this.#shards.clear();
    rows.forEach(({ value, version }) => {
      if (!isShardRow(value)) return;
      this.#shards.set(value.shardId, { row: value, rowVersion: version });
    });
    const lost = this.ownedShardIds.filter(
      (shardId) => this.#shards.get(shardId)?.row.ownerId !== this.#memberId,
    );
    lost.forEach((shardId) => this.#owned.delete(shardId));
    return lost.map((shardId) => ({ kind: 'shardLost', shardId, reason: 'row changed' }));
  }

  #applyAcquired(rows: readonly ShardRow[]): readonly LeaseEffect[] {
    return rows.map((row) => {
      this.#owned.set(row.shardId, row.epoch);
      return { kind: 'shardAcquired', shardId: row.shardId, epoch: row.epoch };
    });
  }

  #changeOwnership(nowMs: number, context: LeaseContext): readonly LeaseEffect[] {
    const expired = this.#members.views.find(
      (view) =>
        view.row.memberId !== this.#memberId && this.#members.isExpired(view, SILENT_MS, nowMs),
    );
    if (expired !== undefined) return [this.#evict(expired.row.memberId, expired.rowVersion)];
    const released = this.#getReleasable(context);
    if (released.length > 0) return [this.#release(released)];
    const wanted = context.isDraining ? [] : this.#getAcquirable(context.shards);
    return wanted.length > 0 ? [this.#acquire(wanted)] : [];
  }

  #evict(memberId: MemberId, rowVersion: number): LeaseEffect {
    this.#isChanging = true;
    const key = getMemberKey(memberId);
    return {
      kind: 'callPlatform',
      origin: { kind: 'leaseEvict', memberId },
      call: {
        kind: 'transact',
        transaction: {
          operationId: this.#createOperationId(),
          checks: [{ key, version: rowVersion }],
          writes: [{ key, value: null }],
        },
      },
    };
  }

  #isFree(shardId: ShardId): boolean {
    const view = this.#shards.get(shardId);
    if (view === undefined || view.row.ownerId === null) return true;
    // The answer to an acquisition was lost; taking the shard again makes its epoch certain.
    if (view.row.ownerId === this.#memberId) return true;
    return this.#members.get(view.row.ownerId) === undefined;
  }

  #getPreferredOwner(placement: ShardPlacement): MemberId | undefined {
    const live = this.#members.views.filter((view) => !view.row.isLeaving);
    const near = live.filter((view) => view.row.dataCentreId === placement.dataCentreId);
    const candidates = near.length > 0 ? near : live;
    return getPreferred(
      placement.shardId,
      candidates.map((view) => view.row.memberId),
    );
  }

  #getAcquirable(shards: readonly ShardPlacement[]): readonly ShardId[] {
    return shards
      .filter((placement) => !this.#owned.has(placement.shardId))
      .filter((placement) => this.#isFree(placement.shardId))
      .filter((placement) => this.#getPreferredOwner(placement) === this.#memberId)
      .map((placement) => placement.shardId);
  }

  #acquire(shardIds: readonly ShardId[]): LeaseEffect {
    this.#isChanging = true;
    const rows = shardIds.map((shardId): ShardRow => {
      const epoch = toEpoch((this.#shards.get(shardId)?.row.epoch ?? 0) + 1);
      return { shardId, ownerId: this.#memberId, epoch };
    });
    return {
      kind: 'callPlatform',
      origin: { kind: 'leaseAcquire', rows },
      call: {
        kind: 'transact',
        transaction: {
          operationId: this.#createOperationId(),
          checks: shardIds.map((shardId) => ({
            key: getShardKey(shardId),
            version: this.#shards.get(shardId)?.rowVersion ?? 0,
          })),
          writes: rows.map((row) => ({ key: getShardKey(row.shardId), value: { ...row } })),
        },
      },
    };
  }

  #getReleasable(context: LeaseContext): readonly ShardId[] {
    return this.ownedShardIds
      .filter((shardId) => !context.busyShardIds.has(shardId))
      .filter((shardId) => {
        if (context.isDraining) return true;
        const placement = context.shards.find((known) => known.shardId === shardId);
        if (placement === undefined) return true;
        const preferred = this.#getPreferredOwner(placement);
        return preferred !== undefined && preferred !== this.#memberId;
      });
  }

  #release(shardIds: readonly ShardId[]): LeaseEffect {
    this.#isChanging = true;
    const rows = shardIds.map((shardId): ShardRow => {
      const epoch = this.getEpoch(shardId);
      this.#owned.delete(shardId);
      return { shardId, ownerId: null, epoch };
    });
    return {
      kind: 'callPlatform',
      origin: { kind: 'leaseRelease', rows },
      call: {
        kind: 'transact',
        transaction: {
          operationId: this.#createOperationId(),
          checks: shardIds.map((shardId) => ({
            key: getShardKey(shardId),
            version: this.#shards.get(shardId)?.rowVersion ?? 0,
          })),
          writes: rows.map((row) => ({ key: getShardKey(row.shardId), value: { ...row } })),
        },
      },
    };
  }
}
