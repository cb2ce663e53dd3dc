/** Keeps this member's session and the leases of the shards that it owns. */

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

  /** The scan on which shards were last looked through for changes. */
  #decidedScanMs = Number.NEGATIVE_INFINITY;

  #operationCount = 0;

  /**
   * @param memberId - this run of this scheduler
   * @param identity - what its row tells others
   */
  constructor(memberId: MemberId, identity: LeaseIdentity) {
    this.#session = new Session(memberId);
    this.#identity = identity;
    this.#judge = new EvictionJudge(this.#members, identity.address, identity.vmId);
    this.#shards = new ShardTable(this.#members, this.#judge);
  }

  /** This run of this scheduler. */
  get memberId(): MemberId {
    return this.#session.memberId;
  }

  /** Members as last scanned. */
  get members(): MemberTable {
    return this.#members;
  }

  /** Shards owned, whether or not the session is still valid. */
  get ownedShardIds(): readonly ShardId[] {
    return [...this.#owned.keys()];
  }

  /** Promises that this process has ended, for members that are no standbys themselves. */
  get endedPromises(): readonly EndedPromise[] {
    return this.#judge.endedPromises;
  }

  /**
   * Gets who owns each shard by the last scan.
   * @returns the rows of shards with an owner
   */
  getOwners(): readonly ShardRow[] {
    return this.#shards.rows;
  }

  /**
   * Gets until when this member may start work on a shard.
   * @param shardId - which shard
   * @returns the end of its authority on this process's clock; negative infinity when not owned
   */
  getAuthorityUntilMs(shardId: ShardId): number {
    return this.#owned.has(shardId) ? this.#session.untilMs : Number.NEGATIVE_INFINITY;
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
   * Gets the check that makes a write of a shard's owner fail once the shard has another owner.
   * @param shardId - which shard
   * @returns the shard's row at this member's acquisition, or undefined until it was scanned
   */
  tryGetFence(shardId: ShardId): RowCheck | undefined {
    const epoch = this.#owned.get(shardId);
    if (epoch === undefined || !this.#shards.isHeldBy(shardId, this.memberId, epoch)) {
      return undefined;
    }
    return this.#shards.getCheck(shardId);
  }

  /**
   * Promises another member not to evict it, if that can still be kept.
   * @param memberId - who asks with its heartbeat
   * @param nowMs - this process's clock
   * @returns for how long, in milliseconds; 0 for no promise
   */
  getPromiseMs(memberId: MemberId, nowMs: number): number {
    return this.#judge.getPromiseMs(memberId, nowMs);
  }

  /**
   * Takes in the answer to a heartbeat. An answer by another incarnation proves the one that the
   * heartbeat was meant for dead.
   * @param nowMs - this process's clock
   * @param news - what the answer says
   */
  applyHeartbeatReply(nowMs: number, news: HeartbeatNews): void {
    this.#judge.applyEnded(news.answeredById, news.endedPromises);
    if (news.answeredById !== news.sentToId) this.applyPeerDeath(nowMs, news.sentToId);
    else if (news.sentById === this.memberId) {
      this.#session.applyPromise(news.answeredById, news.sentMs, news.promiseMs);
    }
  }

  /**
   * Takes in a proof that an incarnation is dead: its registered address refuses connections.
   * @param nowMs - this process's clock
   * @param memberId - which incarnation
   */
  applyPeerDeath(nowMs: number, memberId: MemberId): void {
    this.#judge.applyDeath(memberId);
    this.#session.applyDeath(memberId, nowMs);
  }

  /**
   * Takes in the platform's list of Vms.
   * @param nowMs - this process's clock
   * @param vms - the list
   */
  applyVms(nowMs: number, vms: readonly Vm[]): void {
    this.#judge.applyVms(vms, nowMs);
  }

  /**
   * Renews, scans, evicts, acquires and releases as far as it is time to.
   * @param nowMs - this process's clock
   * @param context - what should be owned
   * @returns what to do
   */
  tick(nowMs: number, context: LeaseContext): readonly LeaseEffect[] {
    const effects: LeaseEffect[] = [];
    this.#session.markRunning(nowMs);
    if (nowMs >= this.#nextRenewMs && !this.#isRenewing) {
      effects.push(this.#renew(nowMs, context.isLeaving));
    }
    if (nowMs >= this.#nextScanMs && !this.#isScanning) effects.push(this.#scanShards(nowMs));
    // A change is decided only on rows that were scanned after the last change had ended.
    const isScanned = this.#scannedMs >= this.#changedMs && Number.isFinite(this.#scannedMs);
    if (!this.#isChanging && isScanned && nowMs < this.#session.tableUntilMs) {
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
        // What an evicted incarnation acquired belongs to nobody.
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

  /** Another member evicted this one, so every lease is gone and a new incarnation begins. */
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
    // A scan that overlaps a change of this member's own shows rows from before it.
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
    // Nothing but a handover can become possible between two scans.
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

  /** The shards are given up before the call leaves, whatever comes of it. */
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
   * Gets the state as plain data, for an operator.
   * @returns times on this process's clock
   */
  dump() {
    return {
      session: this.#session.dump(),
      judge: this.#judge.dump(),
      members: this.#members.views,
      membersScannedMs: this.#members.scanSentMs,
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
