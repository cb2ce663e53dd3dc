/**
 * Elects the owner (leader) of the fleet. The epoch in the owner row is raised by compare-and-set, and targets reject
 * lower epochs. That a former owner ends soon after a claim rests on the rule in voterSet.ts.
 */

import * as E from 'fp-ts/Either';
import { assertNever } from '../types/debug';
import type { Epoch, NodeId } from '../types/ids';
import { toEpoch } from '../types/ids';
import type {
  OwnerRow,
  OwnershipEffect,
  OwnerCandidate,
  OwnershipEvent,
  OwnershipMode,
  SuspicionReason,
} from './ownershipTypes';
import { OwnerAuthority } from './ownerAuthority';
import { OwnerContact } from './ownerContact';
import { createModeState, createVacantRow, OWNER_STORE_TIMEOUT_MS } from './ownershipState';
import type { ModeState } from './ownershipState';
import { SuspectedOwner } from './suspectedOwner';

/** An owner that has not answered for this long is suspected; covers three heartbeats. */
const OWNER_SILENCE_TIMEOUT_MS = 700;

/**
 * For this long after the owner's last answer, a node reports to its peers that the owner is alive;
 * covers two heartbeats.
 */
const HEARTBEAT_FRESH_MS = 450;

/** Interval between reads of the owner row while there is no owner to follow. */
const READ_INTERVAL_MS = 250;

/** Delay before reconnecting to an owner that other nodes still reach. */
const RECONNECT_INTERVAL_MS = 400;

/**
 * A node must have reached the store for this long before it replaces an owner that does not. When
 * the store recovers for all nodes, the owner notices within this time of the first other node.
 */
const STORE_STABLE_MS = 300;

/** An unanswered call to the store or to peers is not waited for any longer; each has a shorter timeout of its own. */
const CALL_LIMIT_MS = 5_000;

/** Interval at which the owner renews the alive row: three times before its authority would lapse. */
const RENEW_INTERVAL_MS = 600;

/** The ownership state machine of one node. */
export class OwnershipCore {
  #nodeId: NodeId;

  #mode: OwnershipMode = { kind: 'searching' };

  #state: ModeState = createModeState(0);

  /** That of the last ownership of this process. */
  #authority = new OwnerAuthority(-Infinity);

  /** Set in mode `suspecting`. */
  #suspected: SuspectedOwner | undefined;

  /** Undefined until the list of nodes has been read. */
  #candidates: readonly OwnerCandidate[] | undefined;

  /** Version of the last voter set against which this node has voted. */
  #votedVersion = 0;

  /** Time of the last attempt to connect to an owner. */
  #connectedAtMs = -Infinity;

  #contact = new OwnerContact();

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
   * @returns true while the store or a quorum of voters has confirmed the ownership recently
   */
  isAuthorized(nowMs: number): boolean {
    return this.#mode.kind === 'owning' && this.#authority.isValid(nowMs);
  }

  /**
   * Checks whether this owner has been without the store for so long that claims need no votes.
   * @param nowMs - current time
   * @returns true once it has
   */
  isStorelessLimitReached(nowMs: number): boolean {
    return this.#mode.kind === 'owning' && this.#authority.isStorelessLimitReached(nowMs);
  }

  /**
   * Gets how long the store has not confirmed this owner.
   * @param nowMs - current time
   * @returns the time since the confirmed call was sent, in milliseconds; 0 when this node is no owner
   */
  getStoreUnconfirmedForMs(nowMs: number): number {
    return this.#mode.kind === 'owning' ? this.#authority.getStoreUnconfirmedForMs(nowMs) : 0;
  }

  /** Version of the last voter set against which this node has voted; 0 when it never has. */
  get votedVersion(): number {
    return this.#votedVersion;
  }

  /**
   * Votes for a claim: from now on this node does not confirm the owner against whose voter set it votes.
   * @param votersVersion - version of the voter set
   */
  vote(votersVersion: number): void {
    this.#votedVersion = Math.max(this.#votedVersion, votersVersion);
  }

  /**
   * Checks whether this node lacks a connection to an owner that serves other nodes.
   * @param nowMs - current time
   * @returns true once that has lasted for a while
   */
  isCutFromLiveOwner(nowMs: number): boolean {
    return this.#contact.isCutFromLiveOwner(nowMs);
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
        if (this.#candidates === undefined) this.#suspected?.forgetAnswers();
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
      case 'ownerProbed':
        this.#onOwnerProbed(event);
        return;
      case 'claimed':
        this.#onClaimed(event);
        return;
      case 'renewed':
        this.#onRenewed(event);
        return;
      case 'leaseConfirmed':
        if (this.#mode.kind !== 'owning' || this.#mode.epoch !== event.epoch) return;
        this.#authority.onVotersConfirmed(event.sinceMs);
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
    this.#checkConnection(nowMs);
    switch (this.#mode.kind) {
      case 'searching':
        this.#tryReadOwnerRow(nowMs);
        return;
      case 'following':
        this.#checkOwner(this.#mode.row, nowMs);
        return;
      case 'suspecting':
        this.#tryReplaceOwner(nowMs);
        return;
      case 'claiming':
        // Should the claim take effect later, the row names this node, which then claims again.
        if (nowMs >= this.#state.enteredAtMs + CALL_LIMIT_MS) this.#search(nowMs);
        return;
      case 'owning':
        if (nowMs < this.#state.nextAttemptAtMs) return;
        this.#state.nextAttemptAtMs = nowMs + RENEW_INTERVAL_MS;
        this.#effects.push({ ...this.#mode, kind: 'renew' });
        return;
      default:
        assertNever(this.#mode);
    }
  }

  #checkConnection(nowMs: number): void {
    const { kind } = this.#mode;
    const isResigned = kind === 'suspecting' && this.#suspected?.suspicion === 'resigned';
    const isFollowing = kind === 'following' && this.#state.isConnected;
    const fields = this.#contact.update(isFollowing || isResigned || kind === 'owning', nowMs);
    if (fields === undefined) return;
    const line = { mode: kind, epoch: this.epoch, ...fields };
    this.#log('not connected to the owner; still trying', line);
  }

  #tryReadOwnerRow(nowMs: number): void {
    const isPending = this.#state.isReading && nowMs < this.#state.readSentAtMs + CALL_LIMIT_MS;
    if (isPending || nowMs < this.#state.nextAttemptAtMs) return;
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
    this.#connectedAtMs = nowMs;
    this.#effects.push({ kind: 'openLink', address: row.address, epoch: row.epoch });
  }

  /** Refreshes the owner row and claims the ownership as soon as the conditions for it hold. */
  #tryReplaceOwner(nowMs: number): void {
    this.#tryReadOwnerRow(nowMs);
    const suspected = this.#suspected;
    if (this.#mode.kind !== 'suspecting' || suspected === undefined) return;
    const { row } = this.#mode;
    const self = { nodeId: this.#nodeId, candidates: this.#candidates };
    const step = suspected.getNextStep(row, self, nowMs);
    if (step === 'wait') this.#tryProbeOwner(nowMs);
    // A node that stops asks as well, as the owner may only be lost to this node.
    if (step === 'ask' && suspected.takeAsk(nowMs)) this.#askPeers(row, suspected);
    if (this.#isStopping || step === 'wait' || step === 'ask') return;
    const epoch = toEpoch(row.epoch + 1);
    const { suspicion } = suspected;
    const voteCount = suspected.votedIds.size;
    const voteless = step === 'claimWithoutVotes' ? suspected.getVotelessClaim(row) : undefined;
    this.#log('ownership claimed', {
      ...{ formerOwner: row.nodeId, epoch, suspicion, voteCount },
      ...{ voterCount: row.voterSet?.voters.length, isVoteless: voteless !== undefined },
    });
    const silenceSinceEpoch = row.silenceSinceEpoch ?? epoch;
    const votersVersion = suspected.isReleased ? undefined : row.voterSet?.version;
    this.#mode = { kind: 'claiming', epoch, silenceSinceEpoch, votersVersion };
    this.#suspected = undefined;
    this.#state = createModeState(nowMs);
    this.#effects.push({
      ...{ kind: 'claim', epoch, expectedVersion: row.version },
      ...{ votersVersion, voteless, silenceSinceEpoch },
    });
  }

  #tryProbeOwner(nowMs: number): void {
    if (this.#mode.kind !== 'suspecting' || this.#suspected?.takeProbe(nowMs) !== true) return;
    const { address, epoch } = this.#mode.row;
    this.#effects.push({ kind: 'probeOwner', address, epoch });
  }

  #askPeers(row: OwnerRow, suspected: SuspectedOwner): void {
    const { voterSet } = row;
    const votersVersion = voterSet?.epoch === row.epoch ? voterSet.version : undefined;
    // Only a node that may claim asks for votes, and it votes itself.
    const isCandidate = votersVersion !== undefined && !this.#isStopping;
    if (isCandidate) this.vote(votersVersion);
    this.#effects.push({
      ...{ kind: 'askPeers', row, suspicion: suspected.suspicion },
      votersVersion: isCandidate ? votersVersion : undefined,
      votedIds: [...suspected.votedIds],
    });
  }

  #onRowRead({ result, nowMs }: Extract<OwnershipEvent, { kind: 'rowRead' }>): void {
    this.#state.isReading = false;
    if (this.#suspected !== undefined)
      this.#suspected.readDurationMs = nowMs - this.#state.readSentAtMs;
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
      this.#onSuspectRead(row, nowMs);
      return;
    }
    if (row.nodeId === this.#nodeId) {
      // The row still names this node, which has restarted since.
      this.#mode = { kind: 'following', row };
      this.#suspect('none', nowMs);
      this.#onSuspectRead(row, nowMs);
      return;
    }
    this.#follow(row, nowMs);
  }

  #onSuspectRead(row: OwnerRow, nowMs: number): void {
    const suspected = this.#suspected;
    if (this.#mode.kind !== 'suspecting' || suspected === undefined) return;
    suspected.onRead(row, nowMs);
    if (suspected.hasRenewed) {
      this.#contact.noteSignOfLife(nowMs);
      if (suspected.suspicion === 'withoutStore') {
        this.#follow(row, nowMs);
        return;
      }
    }
    this.#mode = { ...this.#mode, row };
    this.#tryReplaceOwner(nowMs);
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

  #onNoOwner(nowMs: number): void {
    const row = createVacantRow();
    if (this.#mode.kind !== 'suspecting') {
      this.#mode = { kind: 'following', row };
      this.#suspect('none', nowMs);
    }
    this.#onSuspectRead(row, nowMs);
  }

  #follow(row: OwnerRow, nowMs: number): void {
    this.#log('owner followed', { owner: row.nodeId, epoch: row.epoch });
    this.#effects.push({ kind: 'closeLink' });
    this.#connect(row, nowMs, nowMs);
  }

  #connect(row: OwnerRow, nowMs: number, connectAtMs: number): void {
    this.#mode = { kind: 'following', row };
    this.#suspected = undefined;
    this.#state = createModeState(nowMs);
    this.#state.nextAttemptAtMs = connectAtMs;
    this.#checkOwner(row, nowMs);
  }

  /** The owner is alive, but its connection was lost; connects again, at most once per interval. */
  #reconnect(row: OwnerRow, nowMs: number): void {
    this.#connect(row, nowMs, Math.max(nowMs, this.#connectedAtMs + RECONNECT_INTERVAL_MS));
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
    const { nodeId, epoch } = row;
    this.#log('owner suspected', { owner: nodeId, epoch, suspicion });
    // The voter set may have been replaced since the row was read.
    this.#mode = { kind: 'suspecting', row: { ...row, voterSet: undefined }, suspicion };
    this.#state = createModeState(nowMs);
    this.#suspected = new SuspectedOwner(suspicion, nowMs);
    // An owner that resigns goes on working until it is replaced, so its connection stays open.
    if (suspicion !== 'resigned') this.#effects.push({ kind: 'closeLink' });
    this.#tryProbeOwner(nowMs);
    this.#tryReadOwnerRow(nowMs);
  }

  #onResigned(event: Extract<OwnershipEvent, { kind: 'resigned' }>): void {
    if (this.#mode.kind !== 'following' || this.#mode.row.epoch !== event.epoch) return;
    this.#suspect('resigned', event.nowMs);
    const suspected = this.#suspected;
    if (suspected === undefined) return;
    suspected.successorId = event.successorId;
    if (event.isYielding === true) suspected.onReleased();
    this.#tryReplaceOwner(event.nowMs);
  }

  #onOwnerProbed(event: Extract<OwnershipEvent, { kind: 'ownerProbed' }>): void {
    if (this.#mode.kind !== 'suspecting' || this.#mode.row.epoch !== event.epoch) return;
    if (!event.isOwning) return;
    this.#contact.noteSignOfLife(event.nowMs);
    this.#log('owner answers on a new connection', { epoch: event.epoch });
    this.#reconnect(this.#mode.row, event.nowMs);
  }

  #onPeersAnswered(event: Extract<OwnershipEvent, { kind: 'peersAnswered' }>): void {
    const suspected = this.#suspected;
    if (this.#mode.kind !== 'suspecting' || suspected === undefined) return;
    if (this.#mode.row.epoch !== event.epoch) return;
    const { answers, nowMs } = event;
    const { votedIds = [], ...counts } = answers;
    const logged = { ...counts, voteCount: votedIds.length, epoch: event.epoch };
    this.#log('nodes asked for the owner', logged);
    if (answers.isOwnerReached === true || answers.heardCount > 0)
      this.#contact.noteSignOfLife(nowMs);
    suspected.onAnswered(answers);
    const { row } = this.#mode;
    switch (suspected.suspicion) {
      case 'resigned':
        break;
      case 'withoutStore':
        // The owner reaches the store again.
        if (answers.isOwnerReached === true && answers.isOwnerYielding !== true) {
          this.#reconnect(row, nowMs);
          return;
        }
        break;
      case 'linkLost':
      case 'silent':
      case 'notOwning':
      case 'none':
        // Only this node's connection is lost; the owner is alive.
        if (answers.isOwnerReached === true) {
          this.#reconnect(row, nowMs);
          return;
        }
        if (answers.heardCount > 0) {
          this.#connect(row, nowMs, nowMs + RECONNECT_INTERVAL_MS);
          return;
        }
        break;
      default:
        assertNever(suspected.suspicion);
    }
    this.#tryReplaceOwner(nowMs);
  }

  #onAnnounced(event: Extract<OwnershipEvent, { kind: 'announced' }>): void {
    if (event.epoch <= this.epoch || event.nodeId === this.#nodeId) return;
    if (this.#mode.kind === 'owning') {
      this.#endOwning(`node ${event.nodeId} owns epoch ${event.epoch}`, event.nowMs);
    }
    const { nodeId, address, epoch, rowVersion, silenceSinceEpoch } = event;
    const row = { nodeId, address, epoch, version: rowVersion, aliveVersion: 0, silenceSinceEpoch };
    this.#contact.noteSignOfLife(event.nowMs);
    this.#follow(row, event.nowMs);
  }

  #onClaimed({ epoch, result, nowMs }: Extract<OwnershipEvent, { kind: 'claimed' }>): void {
    if (this.#mode.kind !== 'claiming' || this.#mode.epoch !== epoch) return;
    const { silenceSinceEpoch, votersVersion } = this.#mode;
    if (E.isLeft(result)) {
      this.#log('claim failed', { epoch, failure: result.left });
      this.#search(nowMs);
      return;
    }
    // Another node may have claimed since, so the authority counts from the sending of the claim.
    this.#authority = new OwnerAuthority(this.#state.enteredAtMs);
    this.#state = createModeState(nowMs);
    this.#mode = { kind: 'owning', epoch, rowVersion: result.right };
    this.#log('ownership taken', { epoch });
    this.#effects.push({
      ...{ kind: 'beginOwning', epoch, rowVersion: result.right },
      ...{ votersVersion, silenceSinceEpoch },
    });
  }

  #onRenewed(event: Extract<OwnershipEvent, { kind: 'renewed' }>): void {
    if (this.#mode.kind !== 'owning' || this.#mode.epoch !== event.epoch) return;
    if (E.isRight(event.result)) {
      this.#authority.onStoreConfirmed(event.sentAtMs);
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
    this.#effects.push({ kind: 'endOwning', epoch, reason });
    this.#search(nowMs);
  }

  #search(nowMs: number): void {
    this.#mode = { kind: 'searching' };
    this.#suspected = undefined;
    this.#state = createModeState(nowMs);
    this.#tryReadOwnerRow(nowMs);
  }

  #log(message: string, fields: Readonly<Record<string, unknown>>): void {
    this.#effects.push({ kind: 'log', message, fields });
  }
}
