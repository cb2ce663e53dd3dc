/** Manages this member's session and the leases of the shards that it owns. */

import type { MemberRow, MemberView } from '../membership/types';
import { MemberTable } from '../membership/memberTable';
import type { PlatformResult, Row, RowCheck, Vm } from '../platform/types';
import { assertNever } from '../types/debug';
import { toEpoch, toId } from '../types/ids';
import type { Epoch, MemberId, OperationId, ShardId } from '../types/ids';
import { chooseStandbys } from './assignment';
import { RENEWAL_INTERVAL_MS, SCAN_INTERVAL_MS } from './constants';
import { EvictionPolicy } from './evictionPolicy';
import { Session } from './session';
import { ShardTable } from './shardTable';
import { createEviction, createMemberScan, createShardScan, SCAN_LIMIT } from './transactions';
import type {
  EndedPromise,
  HeartbeatOutcome,
  LeaseContext,
  LeaseEffect,
  LeaseIdentity,
  LeaseOrigin,
  ShardRow,
} from './types';

type ScannedMembers = Extract<LeaseOrigin, { kind: 'leaseScanMembers' }>;

/** The lease reducer of one scheduler. */
export class LeaseManager {
  #identity: LeaseIdentity;

  #session: Session;

  #members = new MemberTable();

  #evictionPolicy: EvictionPolicy;

  #shards: ShardTable;

  #owned = new Map<ShardId, Epoch>();

  #nextRenewalMs = 0;

  #nextScanMs = 0;

  #isRenewing = false;

  #isScanning = false;

  #isChanging = false;

  #lastChangeEndedMs = Number.NEGATIVE_INFINITY;

  #lastScanStartedMs = Number.NEGATIVE_INFINITY;

  /** Start of the scan on which ownership changes were last evaluated. */
  #evaluatedScanMs = Number.NEGATIVE_INFINITY;

  #operationCount = 0;

  /**
   * @param memberId - this incarnation of the scheduler
   * @param identity - the constant fields of its member row
   */
  constructor(memberId: MemberId, identity: LeaseIdentity) {
    this.#session = new Session(memberId);
    this.#identity = identity;
    this.#evictionPolicy = new EvictionPolicy(this.#members, identity.address, identity.vmId);
    this.#shards = new ShardTable(this.#members, this.#evictionPolicy);
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
    return this.#evictionPolicy.endedPromises;
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
    return this.#owned.has(shardId) ? this.#session.authorityUntilMs : Number.NEGATIVE_INFINITY;
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
    if (epoch === undefined || !this.#shards.isOwnedBy(shardId, this.memberId, epoch)) {
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
    return this.#evictionPolicy.getPromiseMs(memberId, nowMs);
  }

  /**
   * Applies the reply to a heartbeat. A reply from another incarnation proves that the recipient of
   * the heartbeat is dead.
   * @param nowMs - the current time on this process's clock
   * @param reply - the heartbeat and its reply
   */
  applyHeartbeatReply(nowMs: number, reply: HeartbeatOutcome): void {
    this.#evictionPolicy.recordEndedPromises(reply.answeredById, reply.endedPromises);
    if (reply.answeredById !== reply.recipientId) this.recordPeerDeath(nowMs, reply.recipientId);
    else if (reply.senderId === this.memberId) {
      this.#session.recordPromise(reply.answeredById, reply.sentMs, reply.promiseMs);
    }
  }

  /**
   * Records that an incarnation is proven dead, for example because its registered address refuses
   * connections.
   * @param nowMs - the current time on this process's clock
   * @param memberId - the incarnation
   */
  recordPeerDeath(nowMs: number, memberId: MemberId): void {
    this.#evictionPolicy.recordDeath(memberId);
    this.#session.recordStandbyDeath(memberId, nowMs);
  }

  /**
   * Records the platform's list of Vms.
   * @param nowMs - the current time on this process's clock
   * @param vms - the list
   */
  recordVmList(nowMs: number, vms: readonly Vm[]): void {
    this.#evictionPolicy.recordVmList(vms, nowMs);
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
    if (nowMs >= this.#nextRenewalMs && !this.#isRenewing) {
      effects.push(this.#renew(nowMs, context.isLeaving));
    }
    if (nowMs >= this.#nextScanMs && !this.#isScanning) effects.push(this.#scanShards(nowMs));
    // Ownership changes are based only on scans that started after the previous change completed.
    const isScanCurrent =
      this.#lastScanStartedMs >= this.#lastChangeEndedMs &&
      Number.isFinite(this.#lastScanStartedMs);
    if (!this.#isChanging && isScanCurrent && nowMs < this.#session.renewedUntilMs) {
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
        return this.#applyAcquisition(origin.rows);
      default:
        return assertNever(origin);
    }
  }

  #finishChange(nowMs: number): void {
    this.#isChanging = false;
    this.#lastChangeEndedMs = nowMs;
    this.#nextScanMs = nowMs;
  }

  #createOperationId(): OperationId {
    this.#operationCount += 1;
    return toId<OperationId>(`${this.memberId}/lease/${this.#operationCount}`);
  }

  #renew(nowMs: number, isLeaving: boolean): LeaseEffect {
    this.#isRenewing = true;
    this.#nextRenewalMs = nowMs + RENEWAL_INTERVAL_MS;
    const { memberId } = this;
    const promisingIds = new Set(this.#session.getPromisingIds(nowMs));
    const candidates = this.#members.views.filter((view) => promisingIds.has(view.row.memberId));
    const standbyIds = chooseStandbys(memberId, this.#identity.dataCentreId, candidates);
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
        this.#nextRenewalMs = sentMs;
        return [];
      case 'evicted':
        return this.#restartSession();
      default:
        return assertNever(outcome);
    }
  }

  /** Drops every lease and starts a new incarnation after another member has evicted this one. */
  #restartSession(): readonly LeaseEffect[] {
    const lostShardIds = this.ownedShardIds;
    this.#owned.clear();
    this.#session = new Session(toId<MemberId>(`${this.memberId}+`));
    this.#nextRenewalMs = 0;
    return [
      ...lostShardIds.map(
        (shardId) => ({ kind: 'shardLost', shardId, reason: 'evicted' }) as const,
      ),
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
    this.#evictionPolicy.prune(nowMs);
    // A scan that overlaps an ownership change by this member may show rows from before the change.
    if (this.#isChanging || scanStartedMs < this.#lastChangeEndedMs) return [];
    this.#lastScanStartedMs = scanStartedMs;
    return this.#applyShardRows(shardRows);
  }

  #applyShardRows(rows: readonly Row[]): readonly LeaseEffect[] {
    this.#shards.updateFromScan(rows);
    const lostShards = [...this.#owned].filter(
      ([shardId, epoch]) => !this.#shards.isOwnedBy(shardId, this.memberId, epoch),
    );
    lostShards.forEach(([shardId]) => this.#owned.delete(shardId));
    return lostShards.map(([shardId]) => ({ kind: 'shardLost', shardId, reason: 'row changed' }));
  }

  #applyAcquisition(rows: readonly ShardRow[]): readonly LeaseEffect[] {
    return rows.map((row) => {
      this.#owned.set(row.shardId, row.epoch);
      return { kind: 'shardAcquired', shardId: row.shardId, epoch: row.epoch };
    });
  }

  #changeOwnership(nowMs: number, context: LeaseContext): readonly LeaseEffect[] {
    const evictable = this.#members.views.find(
      (view) =>
        view.row.memberId !== this.memberId &&
        this.#evictionPolicy.canEvict(view, this.memberId, nowMs),
    );
    if (evictable !== undefined) return [this.#evict(evictable)];
    // Between two scans, only a handover can become possible.
    if (this.#evaluatedScanMs === this.#lastScanStartedMs && !context.isHandingOver) return [];
    this.#evaluatedScanMs = this.#lastScanStartedMs;
    const holder = { memberId: this.memberId, owned: this.#owned };
    const releasable = this.#shards.getReleasable(holder, nowMs, context);
    if (releasable.length > 0) return this.#release(releasable);
    const acquirable = context.isLeaving ? [] : this.#shards.getAcquirable(holder, context.shards);
    return acquirable.length > 0 ? [this.#acquire(acquirable)] : [];
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
    const ownedRows = rows.filter((row) => this.#owned.delete(row.shardId));
    return [
      ...ownedRows.map(
        ({ shardId }) => ({ kind: 'shardLost', shardId, reason: 'released' }) as const,
      ),
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
      evictionPolicy: this.#evictionPolicy.dump(),
      members: this.#members.views,
      membersScannedMs: this.#members.scanSentMs,
      shards: this.#shards.dump(),
      owned: [...this.#owned],
      nextRenewalMs: this.#nextRenewalMs,
      nextScanMs: this.#nextScanMs,
      isRenewing: this.#isRenewing,
      isScanning: this.#isScanning,
      isChanging: this.#isChanging,
      lastChangeEndedMs: this.#lastChangeEndedMs,
      lastScanStartedMs: this.#lastScanStartedMs,
      evaluatedScanMs: this.#evaluatedScanMs,
    };
  }
}
