/** Manages this member's session and the leases of the shards that it owns. */

import type { MemberRow, MemberView } from '../membership/types';
import { MemberTable } from '../membership/memberTable';
import type { PlatformResult, Row, RowCheck, Vm } from '../platform/types';
import { assertNever } from '../types/debug';
import { toEpoch, toId } from '../types/ids';
import type { Epoch, MemberId, OperationId, ShardId } from '../types/ids';
import { getStandbys } from './assignment';
import { RENEW_INTERVAL_MS, SCAN_INTERVAL_MS } from './constants';
import { EvictionJudge } from './evictionJudge';
import { Session } from './session';
import { ShardTable } from './shardTable';
import { createEviction, createMemberScan, createShardScan, SCAN_LIMIT } from './transactions';
import type {
  EndedPromise,
  HeartbeatNews,
  LeaseContext,
  LeaseEffect,
  LeaseIdentity,
  LeaseOrigin,
  ShardRow,
} from './types';

type ScannedMembers = Extract<LeaseOrigin, { kind: 'leaseScanMembers' }>;

/** The lease reducer of one scheduler. */
export class LeaseKeeper {
  #identity: LeaseIdentity;

  #session: Session;

  #members = new MemberTable();

  #judge: EvictionJudge;

  #shards: ShardTable;

  #owned = new Map<ShardId, Epoch>();

  #nextRenewMs = 0;

  #nextScanMs = 0;

  #isRenewing = false;

  #isScanning = false;

  #isChanging = false;

  #changedMs = Number.NEGATIVE_INFINITY;

  #scannedMs = Number.NEGATIVE_INFINITY;

  /** Start of the scan on which ownership changes were last evaluated. */
  #decidedScanMs = Number.NEGATIVE_INFINITY;

  #operationCount = 0;

  /**
   * @param memberId - this incarnation of the scheduler
   * @param identity - the constant fields of its member row
   */
  constructor(memberId: MemberId, identity: LeaseIdentity) {
    this.#session = new Session(memberId);
    this.#identity = identity;
    this.#judge = new EvictionJudge(this.#members, identity.address, identity.vmId);
    this.#shards = new ShardTable(this.#members, this.#judge);
  }

  /** The current incarnation of this scheduler; changes after an eviction. */
  get memberId(): MemberId {
    return this.#session.memberId;
  }

  /** Members by the last scan. */
  get members(): MemberTable {
    return this.#members;
  }

  /** Shards that this member owns, whether or not its session is still valid. */
  get ownedShardIds(): readonly ShardId[] {
    return [...this.#owned.keys()];
  }

  /** Promises that this process has ended, reported to members that are not standbys themselves. */
  get endedPromises(): readonly EndedPromise[] {
    return this.#judge.endedPromises;
  }

  /**
   * Returns the shard rows of the last scan.
   * @returns one row per shard; `ownerId` is null after a handover
   */
  getOwners(): readonly ShardRow[] {
    return this.#shards.rows;
  }

  /**
   * Returns until when this member may start work on a shard.
   * @param shardId - the shard
   * @returns the end of its authority on this process's clock; negative infinity if not owned
   */
  getAuthorityUntilMs(shardId: ShardId): number {
    return this.#owned.has(shardId) ? this.#session.untilMs : Number.NEGATIVE_INFINITY;
  }

  /**
   * Returns the epoch under which this member owns a shard.
   * @param shardId - the shard
   * @returns the epoch; 0 if not owned
   */
  getEpoch(shardId: ShardId): Epoch {
    return this.#owned.get(shardId) ?? toEpoch(0);
  }

  /**
   * Returns the row check that makes this member's writes for a shard fail once the shard has
   * another owner.
   * @param shardId - the shard
   * @returns the shard row's version under this member's ownership; undefined until a scan shows it
   */
  tryGetFence(shardId: ShardId): RowCheck | undefined {
    const epoch = this.#owned.get(shardId);
    if (epoch === undefined || !this.#shards.isHeldBy(shardId, this.memberId, epoch)) {
      return undefined;
    }
    return this.#shards.getCheck(shardId);
  }

  /**
   * Grants another member the promise not to evict it, unless this process may already evict it.
   * @param memberId - the sender of a heartbeat
   * @param nowMs - the current time on this process's clock
   * @returns the duration of the promise in milliseconds; 0 if none is granted
   */
  getPromiseMs(memberId: MemberId, nowMs: number): number {
    return this.#judge.getPromiseMs(memberId, nowMs);
  }

  /**
   * Applies the reply to a heartbeat. A reply from another incarnation proves that the recipient of
   * the heartbeat is dead.
   * @param nowMs - the current time on this process's clock
   * @param outcome - the heartbeat and its reply
   */
  applyHeartbeatReply(nowMs: number, news: HeartbeatNews): void {
    this.#judge.applyEnded(news.answeredById, news.endedPromises);
    if (news.answeredById !== news.sentToId) this.applyPeerDeath(nowMs, news.sentToId);
    else if (news.sentById === this.memberId) {
      this.#session.applyPromise(news.answeredById, news.sentMs, news.promiseMs);
    }
  }

  /**
   * Records that an incarnation is proven dead, for example because its registered address refuses
   * connections.
   * @param nowMs - the current time on this process's clock
   * @param memberId - the incarnation
   */
  applyPeerDeath(nowMs: number, memberId: MemberId): void {
    this.#judge.applyDeath(memberId);
    this.#session.applyDeath(memberId, nowMs);
  }

  /**
   * Records the platform's list of Vms.
   * @param nowMs - the current time on this process's clock
   * @param vms - the list
   */
  applyVms(nowMs: number, vms: readonly Vm[]): void {
    this.#judge.applyVms(vms, nowMs);
  }

  /**
   * Renews the session, scans the tables and changes ownership as far as each is due.
   * @param nowMs - the current time on this process's clock
   * @param context - the shards that should be owned, and whether this member is stopping
   * @returns the effects to perform
   */
  tick(nowMs: number, context: LeaseContext): readonly LeaseEffect[] {
    const effects: LeaseEffect[] = [];
    this.#session.markRunning(nowMs);
    if (nowMs >= this.#nextRenewMs && !this.#isRenewing) {
      effects.push(this.#renew(nowMs, context.isLeaving));
    }
    if (nowMs >= this.#nextScanMs && !this.#isScanning) effects.push(this.#scanShards(nowMs));
    // Ownership changes are based only on scans that started after the previous change completed.
    const isScanned = this.#scannedMs >= this.#changedMs && Number.isFinite(this.#scannedMs);
    if (!this.#isChanging && isScanned && nowMs < this.#session.tableUntilMs) {
      effects.push(...this.#changeOwnership(nowMs, context));
    }
    return effects;
  }

  /**
   * Applies the result of a platform call.
   * @param nowMs - the current time on this process's clock
   * @param origin - identifies the call
   * @param result - the result
   * @returns the effects to perform
   */
  applyResult(nowMs: number, origin: LeaseOrigin, result: PlatformResult): readonly LeaseEffect[] {
    switch (origin.kind) {
      case 'leaseRenew':
        return origin.memberId === this.memberId ? this.#applyRenewal(origin.sentMs, result) : [];
      case 'leaseScanShards':
        return this.#scanMembers(nowMs, origin.sentMs, result);
      case 'leaseScanMembers':
        return this.#applyScan(nowMs, origin, result);
      case 'leaseEvict':
      case 'leaseRelease':
        this.#finishChange(nowMs);
        return [];
      case 'leaseAcquire':
        this.#finishChange(nowMs);
        // Shards that an evicted incarnation acquired do not pass to the current one.
        if (result.kind !== 'committed' || origin.memberId !== this.memberId) return [];
        return this.#applyAcquired(origin.rows);
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
    return toId<OperationId>(`${this.memberId}/lease/${this.#operationCount}`);
  }

  #renew(nowMs: number, isLeaving: boolean): LeaseEffect {
    this.#isRenewing = true;
    this.#nextRenewMs = nowMs + RENEW_INTERVAL_MS;
    const { memberId } = this;
    const promised = new Set(this.#session.getPromisedBy(nowMs));
    const candidates = this.#members.views.filter((view) => promised.has(view.row.memberId));
    const standbyIds = getStandbys(memberId, this.#identity.dataCentreId, candidates);
    const row: MemberRow = { ...this.#identity, memberId, isLeaving, standbyIds };
    return {
      kind: 'callPlatform',
      origin: { kind: 'leaseRenew', memberId, sentMs: nowMs },
      call: this.#session.createRenewal(row, this.#createOperationId()),
    };
  }

  #applyRenewal(sentMs: number, result: PlatformResult): readonly LeaseEffect[] {
    this.#isRenewing = false;
    const outcome = this.#session.applyRenewal(sentMs, result);
    switch (outcome) {
      case 'renewed':
      case 'unknown':
        return [];
      case 'retry':
        this.#nextRenewMs = sentMs;
        return [];
      case 'evicted':
        return this.#restartSession();
      default:
        return assertNever(outcome);
    }
  }

  /** Drops every lease and starts a new incarnation after another member has evicted this one. */
  #restartSession(): readonly LeaseEffect[] {
    const lost = this.ownedShardIds;
    this.#owned.clear();
    this.#session = new Session(toId<MemberId>(`${this.memberId}+`));
    this.#nextRenewMs = 0;
    return [
      ...lost.map((shardId) => ({ kind: 'shardLost', shardId, reason: 'evicted' }) as const),
      { kind: 'memberChanged', memberId: this.memberId },
    ];
  }

  #scanShards(nowMs: number): LeaseEffect {
    this.#isScanning = true;
    this.#nextScanMs = nowMs + SCAN_INTERVAL_MS;
    return {
      kind: 'callPlatform',
      origin: { kind: 'leaseScanShards', sentMs: nowMs },
      call: createShardScan(),
    };
  }

  #scanMembers(
    nowMs: number,
    scanStartedMs: number,
    result: PlatformResult,
  ): readonly LeaseEffect[] {
    this.#isScanning = result.kind === 'rows';
    if (result.kind !== 'rows') return [];
    const shardRows = result.rows;
    return [
      {
        kind: 'callPlatform',
        origin: { kind: 'leaseScanMembers', sentMs: nowMs, scanStartedMs, shardRows },
        call: createMemberScan(),
      },
    ];
  }

  #applyScan(
    nowMs: number,
    { sentMs, scanStartedMs, shardRows }: ScannedMembers,
    result: PlatformResult,
  ): readonly LeaseEffect[] {
    this.#isScanning = false;
    if (result.kind !== 'rows' || result.rows.length >= SCAN_LIMIT) return [];
    this.#members.updateFromScan(result.rows, sentMs, nowMs);
    this.#judge.forgetGone(nowMs);
    // A scan that overlaps an ownership change by this member may show rows from before the change.
    if (this.#isChanging || scanStartedMs < this.#changedMs) return [];
    this.#scannedMs = scanStartedMs;
    return this.#applyShardRows(shardRows);
  }

  #applyShardRows(rows: readonly Row[]): readonly LeaseEffect[] {
    this.#shards.updateFromScan(rows);
    const lost = [...this.#owned].filter(
      ([shardId, epoch]) => !this.#shards.isHeldBy(shardId, this.memberId, epoch),
    );
    lost.forEach(([shardId]) => this.#owned.delete(shardId));
    return lost.map(([shardId]) => ({ kind: 'shardLost', shardId, reason: 'row changed' }));
  }

  #applyAcquired(rows: readonly ShardRow[]): readonly LeaseEffect[] {
    return rows.map((row) => {
      this.#owned.set(row.shardId, row.epoch);
      return { kind: 'shardAcquired', shardId: row.shardId, epoch: row.epoch };
    });
  }

  #changeOwnership(nowMs: number, context: LeaseContext): readonly LeaseEffect[] {
    const evictable = this.#members.views.find(
      (view) =>
        view.row.memberId !== this.memberId && this.#judge.canEvict(view, this.memberId, nowMs),
    );
    if (evictable !== undefined) return [this.#evict(evictable)];
    // Between two scans, only a handover can become possible.
    if (this.#decidedScanMs === this.#scannedMs && !context.isHandingOver) return [];
    this.#decidedScanMs = this.#scannedMs;
    const holder = { memberId: this.memberId, owned: this.#owned };
    const released = this.#shards.getReleasable(holder, nowMs, context);
    if (released.length > 0) return this.#release(released);
    const wanted = context.isLeaving ? [] : this.#shards.getAcquirable(holder, context.shards);
    return wanted.length > 0 ? [this.#acquire(wanted)] : [];
  }

  #evict({ row, rowVersion }: MemberView): LeaseEffect {
    this.#isChanging = true;
    return {
      kind: 'callPlatform',
      origin: { kind: 'leaseEvict', memberId: row.memberId },
      call: createEviction(row.memberId, rowVersion, this.#createOperationId()),
    };
  }

  #acquire(rows: readonly ShardRow[]): LeaseEffect {
    this.#isChanging = true;
    return {
      kind: 'callPlatform',
      origin: { kind: 'leaseAcquire', memberId: this.memberId, rows },
      call: this.#shards.createChange(rows, this.#createOperationId()),
    };
  }

  /** Gives the shards up before the call is sent, whatever its result. */
  #release(rows: readonly ShardRow[]): readonly LeaseEffect[] {
    this.#isChanging = true;
    const lost = rows.filter((row) => this.#owned.delete(row.shardId));
    return [
      ...lost.map(({ shardId }) => ({ kind: 'shardLost', shardId, reason: 'released' }) as const),
      {
        kind: 'callPlatform',
        origin: { kind: 'leaseRelease', rows },
        call: this.#shards.createChange(rows, this.#createOperationId()),
      },
    ];
  }

  /**
   * Returns the state as plain data.
   * @returns the state; times are on this process's clock
   */
  dump() {
    return {
      session: this.#session.dump(),
      judge: this.#judge.dump(),
      members: this.#members.views,
      membersScannedMs: this.#members.scannedMs,
      shards: this.#shards.dump(),
      owned: [...this.#owned],
      nextRenewMs: this.#nextRenewMs,
      nextScanMs: this.#nextScanMs,
      isRenewing: this.#isRenewing,
      isScanning: this.#isScanning,
      isChanging: this.#isChanging,
      changedMs: this.#changedMs,
      scannedMs: this.#scannedMs,
      decidedScanMs: this.#decidedScanMs,
    };
  }
}
