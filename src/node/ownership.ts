/**
 * Decides who owns the fleet. The epoch in the owner row settles every race: it is raised by
 * compare-and-set, and targets refuse lower ones. All else here only decides when to try.
 */

import * as E from 'fp-ts/Either';
import { assertNever } from '../types/debug';
import { getHash } from '../types/hash';
import type { Epoch, NodeId } from '../types/ids';
import { toEpoch } from '../types/ids';
import { OWNER_AUTHORITY_MS } from '../owner/constants';
import type {
  OwnerRow,
  OwnershipEffect,
  OwnerCandidate,
  OwnershipEvent,
  OwnershipMode,
  PeerVerdict,
  Suspicion,
} from './ownershipTypes';

/** A silent owner is suspected after this; three heartbeats fit in. */
const SILENCE_MS = 700;

/** A node tells others that it hears the owner for this long; two heartbeats fit in. */
const HEARD_MS = 450;

/** Pause between candidates, by rank; a claim takes about 10 ms. */
const RANK_DELAY_MS = 120;

/** A candidate waits this many reads of the store for each one before it: a claim takes two. */
const CLAIM_READS = 3;

/** Pause between reads of the owner row while there is no owner to follow. */
const READ_PERIOD_MS = 250;

/** Pause before the connection to an owner that other nodes hear is tried again. */
const RELINK_PERIOD_MS = 400;

/** An owner whose store does not answer for this long is replaced by a node whose store does. */
const STORE_LOST_MS = 900;

/** When the store returns for all, the owner notices within this time of the first other node. */
const STORE_PROVEN_MS = 300;

/** A node that hears nobody claims only after the owner's row has not been renewed for this long. */
const ISOLATED_MS = 2_500;

/** How often the owner renews its row: three times within its authority. */
const RENEW_PERIOD_MS = 600;

/** Mutable notes of the present mode. */
interface Notes {
  sinceMs: number;
  heardAtMs: number;
  isLinked: boolean;
  /** The owner has answered a heartbeat, not only taken the connection. */
  hasHeard: boolean;
  nextTryAtMs: number;
  isReading: boolean;
  isAsking: boolean;
  verdict: PeerVerdict | undefined;
  aliveVersion: number;
  aliveSeenAtMs: number;
  /** How long the last read of the owner row took. */
  readMs: number;
  readSentAtMs: number;
  successorId: NodeId | undefined;
  /** Since when the store has answered this node while it does not answer the owner. */
  storeAnsweredAtMs: number | undefined;
  confirmedAtMs: number;
}

function createNotes(nowMs: number): Notes {
  return {
    sinceMs: nowMs,
    heardAtMs: nowMs,
    isLinked: false,
    hasHeard: false,
    nextTryAtMs: nowMs,
    isReading: false,
    isAsking: false,
    verdict: undefined,
    aliveVersion: -1,
    aliveSeenAtMs: nowMs,
    readMs: 0,
    readSentAtMs: nowMs,
    successorId: undefined,
    storeAnsweredAtMs: undefined,
    confirmedAtMs: nowMs,
  };
}

/** One node's part in ownership. */
export class OwnershipCore {
  #nodeId: NodeId;

  #mode: OwnershipMode = { kind: 'searching' };

  #notes: Notes = createNotes(0);

  #candidates: readonly OwnerCandidate[] = [];

  #isStopping = false;

  #isStoreReachable: () => boolean;

  #effects: OwnershipEffect[] = [];

  /**
   * @param nodeId - this node
   * @param isStoreReachable - whether this node's own calls to the store are answered
   */
  constructor(nodeId: NodeId, isStoreReachable: () => boolean) {
    this.#nodeId = nodeId;
    this.#isStoreReachable = isStoreReachable;
  }

  /** What this node is doing about ownership. */
  get mode(): OwnershipMode {
    return this.#mode;
  }

  /** The epoch that this node follows, owns or claims; 0 when it knows none. */
  get epoch(): Epoch {
    switch (this.#mode.kind) {
      case 'searching':
        return toEpoch(0);
      case 'following':
      case 'suspecting':
        return this.#mode.row.epoch;
      default:
        return this.#mode.epoch;
    }
  }

  /** The epoch that this node answers for; 0 when it owns nothing. */
  get ownedEpoch(): number {
    const isOwner = this.#mode.kind === 'owning' || this.#mode.kind === 'claiming';
    return isOwner ? this.epoch : 0;
  }

  /**
   * Asks whether the owner may still act.
   * @param nowMs - the clock, read right before a call leaves
   * @returns true while store or nodes have confirmed it recently
   */
  isAuthorized(nowMs: number): boolean {
    return this.#mode.kind === 'owning' && nowMs < this.#notes.confirmedAtMs + OWNER_AUTHORITY_MS;
  }

  /**
   * Asks whether this node hears the owner of an epoch.
   * @param epoch - the epoch
   * @param nowMs - our clock
   * @returns true when it does, or is that owner
   */
  isOwnerHeard(epoch: Epoch, nowMs: number): boolean {
    if (this.#mode.kind === 'owning') return this.#mode.epoch >= epoch;
    if (this.#mode.kind !== 'following' || this.#mode.row.epoch < epoch) return false;
    return this.#notes.hasHeard && nowMs < this.#notes.heardAtMs + HEARD_MS;
  }

  /**
   * Applies one event.
   * @param event - what happened
   * @returns what to do about it
   */
  reduce(event: OwnershipEvent): readonly OwnershipEffect[] {
    this.#apply(event);
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  #apply(event: OwnershipEvent): void {
    switch (event.kind) {
      case 'tick':
        this.#onTick(event.nowMs);
        return;
      case 'membersKnown':
        this.#candidates = event.candidates;
        return;
      case 'rowRead':
        this.#onRowRead(event);
        return;
      case 'linkOpened':
        this.#onLinkOpened(event);
        return;
      case 'linkLost':
        this.#onLinkLost(event);
        return;
      case 'heartbeatAnswered':
        this.#onHeartbeatAnswered(event);
        return;
      case 'peersAnswered':
        this.#onPeersAnswered(event);
        return;
      case 'announced':
        this.#onAnnounced(event);
        return;
      case 'resigned':
        this.#onResigned(event);
        return;
      case 'claimed':
        this.#onClaimed(event);
        return;
      case 'renewed':
        this.#onRenewed(event);
        return;
      case 'majorityHeard':
        if (this.#mode.kind !== 'owning' || this.#mode.epoch !== event.epoch) return;
        this.#notes.confirmedAtMs = Math.max(this.#notes.confirmedAtMs, event.sinceMs);
        return;
      case 'superseded':
        if (this.#mode.kind !== 'owning' || this.#mode.epoch !== event.epoch) return;
        this.#endOwning(event.reason, event.nowMs);
        return;
      case 'stopRequested':
        this.#isStopping = true;
        return;
      default:
        assertNever(event);
    }
  }

  #onTick(nowMs: number): void {
    switch (this.#mode.kind) {
      case 'searching':
        this.#tryRead(nowMs);
        return;
      case 'following':
        this.#checkOwner(this.#mode.row, nowMs);
        return;
      case 'suspecting':
        this.#pursue(this.#mode.row, this.#mode.suspicion, nowMs);
        return;
      case 'claiming':
        return;
      case 'owning':
        if (nowMs < this.#notes.nextTryAtMs) return;
        this.#notes.nextTryAtMs = nowMs + RENEW_PERIOD_MS;
        this.#effects.push({
          kind: 'renew',
          epoch: this.#mode.epoch,
          rowVersion: this.#mode.rowVersion,
        });
        return;
      default:
        assertNever(this.#mode);
    }
  }

  #tryRead(nowMs: number): void {
    if (this.#notes.isReading || nowMs < this.#notes.nextTryAtMs) return;
    this.#notes.isReading = true;
    this.#notes.readSentAtMs = nowMs;
    this.#notes.nextTryAtMs = nowMs + READ_PERIOD_MS;
    this.#effects.push({ kind: 'readOwnerRow' });
  }

  #checkOwner(row: OwnerRow, nowMs: number): void {
    if (this.#notes.isLinked && nowMs > this.#notes.heardAtMs + SILENCE_MS) {
      this.#suspect('silent', nowMs);
      return;
    }
    if (this.#notes.isLinked || nowMs < this.#notes.nextTryAtMs) return;
    this.#notes.nextTryAtMs = nowMs + RELINK_PERIOD_MS;
    this.#effects.push({ kind: 'openLink', address: row.address, epoch: row.epoch });
  }

  /** Takes the next step towards replacing an owner that is suspected. */
  #pursue(row: OwnerRow, suspicion: Suspicion, nowMs: number): void {
    this.#tryRead(nowMs);
    if (this.#isStopping || !this.#isClaimable(row, suspicion, nowMs)) return;
    const epoch = toEpoch(row.epoch + 1);
    this.#log('ownership claimed', { formerOwner: row.nodeId, epoch, suspicion });
    this.#mode = { kind: 'claiming', epoch };
    this.#effects.push({ kind: 'claim', epoch, expectedVersion: row.version });
  }

  #isClaimable(row: OwnerRow, suspicion: Suspicion, nowMs: number): boolean {
    const notes = this.#notes;
    // The row has to be read again first, as another node may have claimed meanwhile.
    const isSuccessor = notes.successorId === this.#nodeId && row.version >= 0;
    if (isSuccessor) return true;
    if (notes.aliveVersion < 0) return false;
    const rankDelayMs = Math.max(RANK_DELAY_MS, notes.readMs * CLAIM_READS);
    if (nowMs < notes.sinceMs + this.#getRank(row) * rankDelayMs) return false;
    const isCertain =
      suspicion === 'resigned' || suspicion === 'withoutStore' || suspicion === 'none';
    if (isCertain || row.nodeId === this.#nodeId) return true;
    if (notes.verdict === undefined) {
      this.#askPeers(row);
      return false;
    }
    if (notes.verdict.answeredCount > 0 || notes.verdict.askedCount === 0) return true;
    return nowMs > notes.aliveSeenAtMs + ISOLATED_MS;
  }

  #askPeers(row: OwnerRow): void {
    if (this.#notes.isAsking) return;
    this.#notes.isAsking = true;
    this.#effects.push({ kind: 'askPeers', epoch: row.epoch });
  }

  /** The strongest nodes come first; among equals the order differs from epoch to epoch. */
  #getRank(row: OwnerRow): number {
    if (row.nodeId === this.#nodeId) return 0;
    const named = this.#notes.successorId === undefined ? 0 : 1;
    const own = this.#candidates.find(({ nodeId }) => nodeId === this.#nodeId);
    const ownMillis = own?.processorMillis ?? 0;
    const getScore = (nodeId: NodeId) => getHash(`${row.epoch}|${nodeId}`);
    const ownScore = getScore(this.#nodeId);
    const before = this.#candidates.filter(({ nodeId, processorMillis }) => {
      if (nodeId === this.#nodeId || nodeId === row.nodeId) return false;
      if (processorMillis !== ownMillis) return processorMillis > ownMillis;
      return getScore(nodeId) > ownScore;
    });
    return named + before.length;
  }

  #onRowRead({ result, nowMs }: Extract<OwnershipEvent, { kind: 'rowRead' }>): void {
    this.#notes.isReading = false;
    this.#notes.readMs = nowMs - this.#notes.readSentAtMs;
    if (E.isLeft(result)) return;
    const row = result.right;
    if (this.#mode.kind === 'following') this.#notes.storeAnsweredAtMs ??= nowMs;
    const isIdle = this.#mode.kind === 'searching' || this.#mode.kind === 'suspecting';
    if (!isIdle) return;
    if (row === undefined) {
      this.#onNoOwner(nowMs);
      return;
    }
    if (this.#mode.kind === 'suspecting' && this.#mode.row.epoch === row.epoch) {
      this.#noteAlive(row, nowMs);
      this.#mode = { ...this.#mode, row };
      this.#pursue(row, this.#mode.suspicion, nowMs);
      return;
    }
    if (row.nodeId === this.#nodeId) {
      // The row names this node from before its restart.
      this.#mode = { kind: 'following', row };
      this.#suspect('none', nowMs);
      this.#noteAlive(row, nowMs);
      this.#pursue(row, 'none', nowMs);
      return;
    }
    this.#follow(row, nowMs);
  }

  /**
   * The owner gets no answers from the store. It is replaced only once the store has answered this node
   * for a while, as nobody could own the fleet while the store is away for all.
   */
  #checkStore(nowMs: number): void {
    const { storeAnsweredAtMs } = this.#notes;
    if (storeAnsweredAtMs === undefined) this.#tryRead(nowMs);
    else if (nowMs >= storeAnsweredAtMs + STORE_PROVEN_MS) this.#suspect('withoutStore', nowMs);
  }

  #noteAlive(row: OwnerRow, nowMs: number): void {
    if (this.#notes.aliveVersion !== row.aliveVersion) this.#notes.aliveSeenAtMs = nowMs;
    this.#notes.aliveVersion = row.aliveVersion;
  }

  #onNoOwner(nowMs: number): void {
    const row: OwnerRow = {
      nodeId: '' as NodeId,
      address: '',
      epoch: toEpoch(0),
      version: 0,
      aliveVersion: 0,
    };
    if (this.#mode.kind !== 'suspecting') {
      this.#mode = { kind: 'following', row };
      this.#suspect('none', nowMs);
    }
    this.#noteAlive(row, nowMs);
    this.#pursue(row, 'none', nowMs);
  }

  #follow(row: OwnerRow, nowMs: number): void {
    this.#log('owner followed', { owner: row.nodeId, epoch: row.epoch });
    this.#mode = { kind: 'following', row };
    this.#notes = createNotes(nowMs);
    this.#effects.push({ kind: 'closeLink' });
    this.#notes.nextTryAtMs = nowMs + RELINK_PERIOD_MS;
    this.#effects.push({ kind: 'openLink', address: row.address, epoch: row.epoch });
  }

  #onLinkOpened({ epoch, nowMs }: Extract<OwnershipEvent, { kind: 'linkOpened' }>): void {
    if (this.#mode.kind !== 'following' || this.#mode.row.epoch !== epoch) return;
    this.#notes.isLinked = true;
    this.#notes.heardAtMs = nowMs;
  }

  #onLinkLost(event: Extract<OwnershipEvent, { kind: 'linkLost' }>): void {
    if (this.#mode.kind !== 'following' || this.#mode.row.epoch !== event.epoch) return;
    this.#suspect('linkLost', event.nowMs);
  }

  #onHeartbeatAnswered(event: Extract<OwnershipEvent, { kind: 'heartbeatAnswered' }>): void {
    if (this.#mode.kind !== 'following' || this.#mode.row.epoch !== event.epoch) return;
    if (event.ownedEpoch !== event.epoch) {
      this.#suspect('notOwning', event.nowMs);
      return;
    }
    this.#notes.heardAtMs = event.nowMs;
    this.#notes.hasHeard = true;
    if (event.storeLostForMs <= STORE_LOST_MS) this.#notes.storeAnsweredAtMs = undefined;
    else if (this.#isStoreReachable()) this.#checkStore(event.nowMs);
  }

  #suspect(suspicion: Suspicion, nowMs: number): void {
    if (this.#mode.kind !== 'following') return;
    const { row } = this.#mode;
    this.#log('owner suspected', { owner: row.nodeId, epoch: row.epoch, suspicion });
    this.#mode = { kind: 'suspecting', row, suspicion };
    this.#notes = createNotes(nowMs);
    // An owner that stops by plan goes on until it is replaced.
    if (suspicion !== 'resigned') this.#effects.push({ kind: 'closeLink' });
    this.#tryRead(nowMs);
  }

  #onResigned(event: Extract<OwnershipEvent, { kind: 'resigned' }>): void {
    if (this.#mode.kind !== 'following' || this.#mode.row.epoch !== event.epoch) return;
    this.#suspect('resigned', event.nowMs);
    this.#notes.successorId = event.successorId;
    this.#pursue(this.#mode.row, 'resigned', event.nowMs);
  }

  #onPeersAnswered(event: Extract<OwnershipEvent, { kind: 'peersAnswered' }>): void {
    if (this.#mode.kind !== 'suspecting' || this.#mode.row.epoch !== event.epoch) return;
    this.#notes.isAsking = false;
    const { verdict, nowMs } = event;
    this.#log('nodes asked for the owner', { ...verdict, epoch: event.epoch });
    if (verdict.heardCount > 0) {
      // Only the connection from here is lost, so the owner stays.
      const { row } = this.#mode;
      this.#mode = { kind: 'following', row };
      this.#notes = createNotes(nowMs);
      this.#notes.nextTryAtMs = nowMs + RELINK_PERIOD_MS;
      return;
    }
    this.#notes.verdict = verdict;
    this.#pursue(this.#mode.row, this.#mode.suspicion, nowMs);
  }

  #onAnnounced(event: Extract<OwnershipEvent, { kind: 'announced' }>): void {
    if (event.epoch <= this.epoch || event.nodeId === this.#nodeId) return;
    if (this.#mode.kind === 'owning') {
      this.#endOwning(`node ${event.nodeId} owns epoch ${event.epoch}`, event.nowMs);
    }
    const { nodeId, address, epoch, rowVersion } = event;
    this.#follow({ nodeId, address, epoch, version: rowVersion, aliveVersion: 0 }, event.nowMs);
  }

  #onClaimed({ epoch, result, nowMs }: Extract<OwnershipEvent, { kind: 'claimed' }>): void {
    if (this.#mode.kind !== 'claiming' || this.#mode.epoch !== epoch) return;
    this.#notes = createNotes(nowMs);
    if (E.isLeft(result)) {
      this.#log('claim failed', { epoch, failure: result.left });
      this.#mode = { kind: 'searching' };
      this.#tryRead(nowMs);
      return;
    }
    this.#mode = { kind: 'owning', epoch, rowVersion: result.right };
    this.#log('ownership taken', { epoch });
    this.#effects.push({ kind: 'beginOwning', epoch, rowVersion: result.right });
  }

  #onRenewed(event: Extract<OwnershipEvent, { kind: 'renewed' }>): void {
    if (this.#mode.kind !== 'owning' || this.#mode.epoch !== event.epoch) return;
    if (E.isRight(event.result)) {
      this.#notes.confirmedAtMs = Math.max(this.#notes.confirmedAtMs, event.sentAtMs);
      return;
    }
    if (event.result.left.kind === 'conflict') {
      this.#endOwning('the owner row names another owner', event.nowMs);
    }
  }

  #endOwning(reason: string, nowMs: number): void {
    if (this.#mode.kind !== 'owning') return;
    const { epoch } = this.#mode;
    this.#log('ownership ended', { epoch, reason });
    this.#mode = { kind: 'searching' };
    this.#notes = createNotes(nowMs);
    this.#effects.push({ kind: 'endOwning', epoch, reason });
    this.#tryRead(nowMs);
  }

  #log(message: string, fields: Readonly<Record<string, unknown>>): void {
    this.#effects.push({ kind: 'log', message, fields });
  }
}
