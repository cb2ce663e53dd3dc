/**
 * Elects the owner (leader) of the fleet. Safety rests on the epoch in the owner row alone: it is
 * raised by compare-and-set, and targets reject lower epochs. Everything else in this file only
 * decides when to attempt a claim.
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
  PeerAnswerCounts,
  SuspicionReason,
} from './ownershipTypes';

/** An owner that has not answered for this long is suspected; covers three heartbeats. */
const OWNER_SILENCE_TIMEOUT_MS = 700;

/**
 * For this long after the owner's last answer, a node reports to its peers that the owner is alive;
 * covers two heartbeats.
 */
const HEARTBEAT_FRESH_MS = 450;

/** Delay of a claim per rank, so that candidates do not compete; a claim takes about 10 ms. */
const CLAIM_STAGGER_MS = 120;

/**
 * With a slow store, a candidate waits the duration of this many reads for each higher-ranked
 * candidate; a claim takes two.
 */
const READS_PER_RANK = 3;

/** Interval between reads of the owner row while there is no owner to follow. */
const READ_INTERVAL_MS = 250;

/** Delay before reconnecting to an owner that other nodes still reach. */
const RECONNECT_INTERVAL_MS = 400;

/** An owner that has not reached the store for this long is replaced by a node that does. */
const OWNER_STORE_TIMEOUT_MS = 900;

/**
 * A node must have reached the store for this long before it replaces an owner that does not. When
 * the store recovers for all nodes, the owner notices within this time of the first other node.
 */
const STORE_STABLE_MS = 300;

/** A node that reaches no peer claims only when the alive row has not changed for this long. */
const ISOLATED_CLAIM_DELAY_MS = 2_500;

/** Interval at which the owner renews the alive row: three times before its authority would lapse. */
const RENEW_INTERVAL_MS = 600;

/** Mutable state that belongs to the current mode. */
interface ModeState {
  enteredAtMs: number;
  lastContactAtMs: number;
  isConnected: boolean;
  /** The owner has answered a heartbeat, not only accepted the connection. */
  hasAnswered: boolean;
  nextAttemptAtMs: number;
  isReading: boolean;
  isAskingPeers: boolean;
  peerAnswers: PeerAnswerCounts | undefined;
  aliveVersion: number;
  aliveChangedAtMs: number;
  /** Duration of the last read of the owner row. */
  readDurationMs: number;
  readSentAtMs: number;
  successorId: NodeId | undefined;
  /** Since when this node has reached the store while the owner has not. */
  storeReachableSinceMs: number | undefined;
  confirmedAtMs: number;
}

function createModeState(nowMs: number): ModeState {
  return {
    enteredAtMs: nowMs,
    lastContactAtMs: nowMs,
    isConnected: false,
    hasAnswered: false,
    nextAttemptAtMs: nowMs,
    isReading: false,
    isAskingPeers: false,
    peerAnswers: undefined,
    aliveVersion: -1,
    aliveChangedAtMs: nowMs,
    readDurationMs: 0,
    readSentAtMs: nowMs,
    successorId: undefined,
    storeReachableSinceMs: undefined,
    confirmedAtMs: nowMs,
  };
}

/** The ownership state machine of one node. */
export class OwnershipCore {
  #nodeId: NodeId;

  #mode: OwnershipMode = { kind: 'searching' };

  #state: ModeState = createModeState(0);

  /** Undefined until the list of nodes has been read. */
  #candidates: readonly OwnerCandidate[] | undefined;

  #isStopping = false;

  #isStoreReachable: () => boolean;

  #effects: OwnershipEffect[] = [];

  /**
   * @param nodeId - this node
   * @param isStoreReachable - whether the store answers this node's calls
   */
  constructor(nodeId: NodeId, isStoreReachable: () => boolean) {
    this.#nodeId = nodeId;
    this.#isStoreReachable = isStoreReachable;
  }

  /** The current mode of the state machine. */
  get mode(): OwnershipMode {
    return this.#mode;
  }

  /** The epoch that this node follows, owns or is claiming; 0 when none is known. */
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

  /** The owner that this node follows; undefined when it follows none. */
  get followedId(): NodeId | undefined {
    return this.#mode.kind === 'following' ? this.#mode.row.nodeId : undefined;
  }

  /** The epoch that this node owns or is claiming; 0 otherwise. */
  get ownedEpoch(): number {
    const isOwner = this.#mode.kind === 'owning' || this.#mode.kind === 'claiming';
    return isOwner ? this.epoch : 0;
  }

  /**
   * Checks whether this node may still act as the owner.
   * @param nowMs - current time, read right before a call is sent
   * @returns true while the store or a majority of nodes has confirmed the ownership recently
   */
  isAuthorized(nowMs: number): boolean {
    return this.#mode.kind === 'owning' && nowMs < this.#state.confirmedAtMs + OWNER_AUTHORITY_MS;
  }

  /**
   * Checks whether this node receives heartbeat answers from the owner of an epoch.
   * @param epoch - the epoch; a later one counts as well
   * @param nowMs - current time
   * @returns true when it does, or is that owner itself
   */
  isOwnerHeard(epoch: Epoch, nowMs: number): boolean {
    if (this.#mode.kind === 'owning') return this.#mode.epoch >= epoch;
    if (this.#mode.kind !== 'following' || this.#mode.row.epoch < epoch) return false;
    return this.#state.hasAnswered && nowMs < this.#state.lastContactAtMs + HEARTBEAT_FRESH_MS;
  }

  /**
   * Applies one event.
   * @param event - the event
   * @returns effects for the caller to perform
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
        // No node could be asked before.
        if (this.#candidates === undefined) this.#state.peerAnswers = undefined;
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
        this.#state.confirmedAtMs = Math.max(this.#state.confirmedAtMs, event.sinceMs);
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
        this.#tryReadOwnerRow(nowMs);
        return;
      case 'following':
        this.#checkOwner(this.#mode.row, nowMs);
        return;
      case 'suspecting':
        this.#tryReplaceOwner(this.#mode.row, this.#mode.suspicion, nowMs);
        return;
      case 'claiming':
        return;
      case 'owning':
        if (nowMs < this.#state.nextAttemptAtMs) return;
        this.#state.nextAttemptAtMs = nowMs + RENEW_INTERVAL_MS;
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

  #tryReadOwnerRow(nowMs: number): void {
    if (this.#state.isReading || nowMs < this.#state.nextAttemptAtMs) return;
    this.#state.isReading = true;
    this.#state.readSentAtMs = nowMs;
    this.#state.nextAttemptAtMs = nowMs + READ_INTERVAL_MS;
    this.#effects.push({ kind: 'readOwnerRow' });
  }

  #checkOwner(row: OwnerRow, nowMs: number): void {
    if (this.#state.isConnected && nowMs > this.#state.lastContactAtMs + OWNER_SILENCE_TIMEOUT_MS) {
      this.#suspect('silent', nowMs);
      return;
    }
    if (this.#state.isConnected || nowMs < this.#state.nextAttemptAtMs) return;
    this.#state.nextAttemptAtMs = nowMs + RECONNECT_INTERVAL_MS;
    this.#effects.push({ kind: 'openLink', address: row.address, epoch: row.epoch });
  }

  /** Refreshes the owner row and claims the ownership as soon as the conditions for it hold. */
  #tryReplaceOwner(row: OwnerRow, suspicion: SuspicionReason, nowMs: number): void {
    this.#tryReadOwnerRow(nowMs);
    if (this.#isStopping || !this.#canClaim(row, suspicion, nowMs)) return;
    const epoch = toEpoch(row.epoch + 1);
    this.#log('ownership claimed', { formerOwner: row.nodeId, epoch, suspicion });
    const silenceSinceEpoch = row.silenceSinceEpoch ?? epoch;
    this.#mode = { kind: 'claiming', epoch, silenceSinceEpoch };
    this.#effects.push({ kind: 'claim', epoch, expectedVersion: row.version, silenceSinceEpoch });
  }

  #canClaim(row: OwnerRow, suspicion: SuspicionReason, nowMs: number): boolean {
    const state = this.#state;
    // A named successor claims at once; if another node has claimed meanwhile, the row's version
    // makes the claim fail.
    const isSuccessor = state.successorId === this.#nodeId && row.version >= 0;
    if (isSuccessor) return true;
    // Every other candidate has to read the row again first, as another node may have claimed.
    if (state.aliveVersion < 0) return false;
    const rankDelayMs = Math.max(CLAIM_STAGGER_MS, state.readDurationMs * READS_PER_RANK);
    if (nowMs < state.enteredAtMs + this.#getRank(row) * rankDelayMs) return false;
    const isCertain =
      suspicion === 'resigned' || suspicion === 'withoutStore' || suspicion === 'none';
    if (isCertain || row.nodeId === this.#nodeId) return true;
    if (state.peerAnswers === undefined) {
      this.#askPeers(row);
      return false;
    }
    if (state.peerAnswers.answeredCount > 0 || this.#hasNoPeers(row)) return true;
    return nowMs > state.aliveChangedAtMs + ISOLATED_CLAIM_DELAY_MS;
  }

  /** A node without peers has nobody to ask, but one that does not know them yet may be wrong about the owner. */
  #hasNoPeers(row: OwnerRow): boolean {
    const isPeer = ({ nodeId }: OwnerCandidate) => nodeId !== this.#nodeId && nodeId !== row.nodeId;
    return this.#candidates !== undefined && !this.#candidates.some(isPeer);
  }

  #askPeers(row: OwnerRow): void {
    if (this.#state.isAskingPeers) return;
    this.#state.isAskingPeers = true;
    this.#effects.push({ kind: 'askPeers', epoch: row.epoch });
  }

  /**
   * Position of this node among the candidates. A successor named by the owner comes first, then nodes with
   * more processor capacity; among equals the order is pseudo-random and differs from epoch to epoch.
   */
  #getRank(row: OwnerRow): number {
    if (row.nodeId === this.#nodeId) return 0;
    const successorOffset = this.#state.successorId === undefined ? 0 : 1;
    const candidates = this.#candidates ?? [];
    const own = candidates.find(({ nodeId }) => nodeId === this.#nodeId);
    const ownMillis = own?.processorMillis ?? 0;
    const getScore = (nodeId: NodeId) => getHash(`${row.epoch}|${nodeId}`);
    const ownScore = getScore(this.#nodeId);
    const higherRanked = candidates.filter(({ nodeId, processorMillis }) => {
      if (nodeId === this.#nodeId || nodeId === row.nodeId) return false;
      if (processorMillis !== ownMillis) return processorMillis > ownMillis;
      return getScore(nodeId) > ownScore;
    });
    return successorOffset + higherRanked.length;
  }

  #onRowRead({ result, nowMs }: Extract<OwnershipEvent, { kind: 'rowRead' }>): void {
    this.#state.isReading = false;
    this.#state.readDurationMs = nowMs - this.#state.readSentAtMs;
    if (E.isLeft(result)) return;
    const row = result.right;
    if (this.#mode.kind === 'following') this.#state.storeReachableSinceMs ??= nowMs;
    const isIdle = this.#mode.kind === 'searching' || this.#mode.kind === 'suspecting';
    if (!isIdle) return;
    if (row === undefined) {
      this.#onNoOwner(nowMs);
      return;
    }
    if (this.#mode.kind === 'suspecting' && this.#mode.row.epoch === row.epoch) {
      this.#recordAliveVersion(row, nowMs);
      this.#mode = { ...this.#mode, row };
      this.#tryReplaceOwner(row, this.#mode.suspicion, nowMs);
      return;
    }
    if (row.nodeId === this.#nodeId) {
      // The row still names this node, which has restarted since.
      this.#mode = { kind: 'following', row };
      this.#suspect('none', nowMs);
      this.#recordAliveVersion(row, nowMs);
      this.#tryReplaceOwner(row, 'none', nowMs);
      return;
    }
    this.#follow(row, nowMs);
  }

  /**
   * Called while the owner reports that it cannot reach the store. The owner is suspected only after
   * this node has reached the store for a while: during an outage for all nodes, no replacement could
   * do better.
   */
  #checkOwnerStore(nowMs: number): void {
    const { storeReachableSinceMs } = this.#state;
    if (storeReachableSinceMs === undefined) this.#tryReadOwnerRow(nowMs);
    else if (nowMs >= storeReachableSinceMs + STORE_STABLE_MS) this.#suspect('withoutStore', nowMs);
  }

  #recordAliveVersion(row: OwnerRow, nowMs: number): void {
    if (this.#state.aliveVersion !== row.aliveVersion) this.#state.aliveChangedAtMs = nowMs;
    this.#state.aliveVersion = row.aliveVersion;
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
    this.#recordAliveVersion(row, nowMs);
    this.#tryReplaceOwner(row, 'none', nowMs);
  }

  #follow(row: OwnerRow, nowMs: number): void {
    this.#log('owner followed', { owner: row.nodeId, epoch: row.epoch });
    this.#mode = { kind: 'following', row };
    this.#state = createModeState(nowMs);
    this.#effects.push({ kind: 'closeLink' });
    this.#state.nextAttemptAtMs = nowMs + RECONNECT_INTERVAL_MS;
    this.#effects.push({ kind: 'openLink', address: row.address, epoch: row.epoch });
  }

  #onLinkOpened({ epoch, nowMs }: Extract<OwnershipEvent, { kind: 'linkOpened' }>): void {
    if (this.#mode.kind !== 'following' || this.#mode.row.epoch !== epoch) return;
    this.#state.isConnected = true;
    this.#state.lastContactAtMs = nowMs;
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
    this.#state.lastContactAtMs = event.nowMs;
    this.#state.hasAnswered = true;
    if (event.storeLostForMs <= OWNER_STORE_TIMEOUT_MS)
      this.#state.storeReachableSinceMs = undefined;
    else if (this.#isStoreReachable()) this.#checkOwnerStore(event.nowMs);
  }

  #suspect(suspicion: SuspicionReason, nowMs: number): void {
    if (this.#mode.kind !== 'following') return;
    const { row } = this.#mode;
    this.#log('owner suspected', { owner: row.nodeId, epoch: row.epoch, suspicion });
    this.#mode = { kind: 'suspecting', row, suspicion };
    this.#state = createModeState(nowMs);
    // An owner that resigns goes on working until it is replaced, so its connection stays open.
    if (suspicion !== 'resigned') this.#effects.push({ kind: 'closeLink' });
    this.#tryReadOwnerRow(nowMs);
  }

  #onResigned(event: Extract<OwnershipEvent, { kind: 'resigned' }>): void {
    if (this.#mode.kind !== 'following' || this.#mode.row.epoch !== event.epoch) return;
    this.#suspect('resigned', event.nowMs);
    this.#state.successorId = event.successorId;
    this.#tryReplaceOwner(this.#mode.row, 'resigned', event.nowMs);
  }

  #onPeersAnswered(event: Extract<OwnershipEvent, { kind: 'peersAnswered' }>): void {
    if (this.#mode.kind !== 'suspecting' || this.#mode.row.epoch !== event.epoch) return;
    this.#state.isAskingPeers = false;
    const { answers, nowMs } = event;
    this.#log('nodes asked for the owner', { ...answers, epoch: event.epoch });
    if (answers.heardCount > 0) {
      // Only this node's connection is lost; the owner is alive.
      const { row } = this.#mode;
      this.#mode = { kind: 'following', row };
      this.#state = createModeState(nowMs);
      this.#state.nextAttemptAtMs = nowMs + RECONNECT_INTERVAL_MS;
      return;
    }
    this.#state.peerAnswers = answers;
    this.#tryReplaceOwner(this.#mode.row, this.#mode.suspicion, nowMs);
  }

  #onAnnounced(event: Extract<OwnershipEvent, { kind: 'announced' }>): void {
    if (event.epoch <= this.epoch || event.nodeId === this.#nodeId) return;
    if (this.#mode.kind === 'owning') {
      this.#endOwning(`node ${event.nodeId} owns epoch ${event.epoch}`, event.nowMs);
    }
    const { nodeId, address, epoch, rowVersion, silenceSinceEpoch } = event;
    const row = { nodeId, address, epoch, version: rowVersion, aliveVersion: 0, silenceSinceEpoch };
    this.#follow(row, event.nowMs);
  }

  #onClaimed({ epoch, result, nowMs }: Extract<OwnershipEvent, { kind: 'claimed' }>): void {
    if (this.#mode.kind !== 'claiming' || this.#mode.epoch !== epoch) return;
    const { silenceSinceEpoch } = this.#mode;
    this.#state = createModeState(nowMs);
    if (E.isLeft(result)) {
      this.#log('claim failed', { epoch, failure: result.left });
      this.#mode = { kind: 'searching' };
      this.#tryReadOwnerRow(nowMs);
      return;
    }
    this.#mode = { kind: 'owning', epoch, rowVersion: result.right };
    this.#log('ownership taken', { epoch });
    const rowVersion = result.right;
    this.#effects.push({ kind: 'beginOwning', epoch, rowVersion, silenceSinceEpoch });
  }

  #onRenewed(event: Extract<OwnershipEvent, { kind: 'renewed' }>): void {
    if (this.#mode.kind !== 'owning' || this.#mode.epoch !== event.epoch) return;
    if (E.isRight(event.result)) {
      this.#state.confirmedAtMs = Math.max(this.#state.confirmedAtMs, event.sentAtMs);
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
    this.#state = createModeState(nowMs);
    this.#effects.push({ kind: 'endOwning', epoch, reason });
    this.#tryReadOwnerRow(nowMs);
  }

  #log(message: string, fields: Readonly<Record<string, unknown>>): void {
    this.#effects.push({ kind: 'log', message, fields });
  }
}
