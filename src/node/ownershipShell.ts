/** Performs the effects of the ownership state machine and maintains the connection to the owner. */

import * as E from 'fp-ts/Either';
import type { PeerLink } from '../peer/peerLink';
import { callPeerOnce, openPeerLink } from '../peer/peerLink';
import type { PeerHandlers, PeerReplies } from '../peer/types';
import type { RowStore } from '../store/types';
import { assertNever, throwRejection } from '../types/debug';
import type { Epoch, NodeId } from '../types/ids';
import type { DistributiveOmit } from '../types/distributiveOmit';
import type { MemberList, Member } from './memberList';
import { OwnerQueries } from './ownerQueries';
import { OwnershipCore } from './ownership';
import type { OwnerRow, OwnershipEffect, OwnershipEvent, OwnershipMode } from './ownershipTypes';
import { claimOwnerRow, readOwnerRow, renewAliveRow } from './ownerRows';
import type { NodePorts } from './ports';

/** Timeout for connecting to another node; the network latency between nodes is about 1 ms. */
const CONNECT_TIMEOUT_MS = 400;

/** Timeout for the answer to a heartbeat. */
const HEARTBEAT_TIMEOUT_MS = 600;

/** Timeout for announcing a new owner to one node. */
const ANNOUNCE_TIMEOUT_MS = 500;

/** Callbacks and queries that the shell uses on its node. */
export interface OwnershipDelegate {
  onBegin(epoch: Epoch, rowVersion: number, votersVersion: number | undefined): void;
  onEnd(reason: string): void;
  /** Called when the owner before an epoch of this node has confirmed that no former owner acts any more. */
  onFormerOwnersEnded(epoch: Epoch): void;
  /** Receives the version of the operator state that the owner reports with each heartbeat answer. */
  onOperatorVersion(version: number, link: PeerLink): void;
  /** Receives the load summary of the owner from each heartbeat answer; undefined when there is none. */
  onLoad?(load: unknown): void;
  getOperatorVersion(): number;
  isStoreReachable(): boolean;
  /** Whether this node is being stopped. */
  isStopping(): boolean;
  /** Makes this owner rely on the store alone. */
  yieldLease(): void;
}

type EventBody = DistributiveOmit<OwnershipEvent, 'nowMs'>;

/**
 * Gets the owner that this node sends heartbeats to. One that has resigned goes on until it is replaced, which takes as
 * long as the store is away, and it needs the heartbeats of a majority then.
 */
function getHeardRow(mode: OwnershipMode): OwnerRow | undefined {
  if (mode.kind === 'following') return mode.row;
  const isResigned = mode.kind === 'suspecting' && mode.suspicion === 'resigned';
  return isResigned ? mode.row : undefined;
}

/** Drives the ownership state machine of one node. */
export class OwnershipShell {
  #ports: NodePorts;

  #self: Member;

  #claimStore: RowStore;

  #members: MemberList;

  #handlers: PeerHandlers;

  #delegate: OwnershipDelegate;

  #core: OwnershipCore;

  #link: PeerLink | undefined;

  #queries: OwnerQueries;

  #isHeartbeatPending = false;

  /** Reading of the owner's clock in its last answer on the open connection. */
  #acknowledgedMs: number | undefined;

  #ownerStoreLostForMs = 0;

  #isOwnerStoreSlow = false;

  #startedAtMs: number;

  /**
   * @param ports - store, clock and logger
   * @param self - this node
   * @param claimStore - a store client that does not shorten the requested timeout, as a claim
   * that was given up early may still have taken effect
   * @param members - all nodes
   * @param handlers - handlers for the owner's calls
   * @param delegate - the node
   */
  constructor(
    ports: NodePorts,
    self: Member,
    claimStore: RowStore,
    members: MemberList,
    handlers: PeerHandlers,
    delegate: OwnershipDelegate,
  ) {
    this.#ports = ports;
    this.#self = self;
    this.#claimStore = claimStore;
    this.#members = members;
    this.#handlers = handlers;
    this.#delegate = delegate;
    this.#startedAtMs = ports.clock.wallMs();
    this.#core = new OwnershipCore(self.nodeId, () => delegate.isStoreReachable());
    this.#queries = new OwnerQueries({
      ...{ selfId: self.nodeId, core: this.#core },
      getNowMs: () => ports.clock.nowMs(),
      getMembers: () => members.members,
      isStoreReachable: () => delegate.isStoreReachable(),
      getOwnerStoreLostForMs: () => this.#ownerStoreLostForMs,
      yieldLease: () => delegate.yieldLease(),
      query: (address, query, timeoutMs) => callPeerOnce(address, 'isOwnerHeard', query, timeoutMs),
    });
  }

  /** Answers the questions of other nodes about the owner. */
  get queries(): OwnerQueries {
    return this.#queries;
  }

  /** The state machine, for queries. */
  get core(): OwnershipCore {
    return this.#core;
  }

  /** The open connection to the owner, if there is one. */
  get link(): PeerLink | undefined {
    return this.#link?.isClosed === false ? this.#link : undefined;
  }

  /** True when the owner is connected and reports that it reaches the store. */
  get isOwnerStoreReachable(): boolean {
    return this.link !== undefined && this.#ownerStoreLostForMs === 0;
  }

  /** True when the owner is connected and reports that the store answers late. */
  get isOwnerStoreSlow(): boolean {
    return this.link !== undefined && this.#isOwnerStoreSlow;
  }

  /** Epoch of the owner whose word this node can rely on, which may be this node; undefined when there is none. */
  get servingEpoch(): Epoch | undefined {
    const { mode } = this.#core;
    const nowMs = this.#ports.clock.nowMs();
    if (mode.kind === 'owning') return this.#core.isAuthorized(nowMs) ? mode.epoch : undefined;
    if (mode.kind !== 'following' || this.#core.isCutFromLiveOwner(nowMs)) return undefined;
    return this.#core.isOwnerHeard(mode.row.epoch, nowMs) ? mode.row.epoch : undefined;
  }

  /**
   * Applies an event and performs the resulting effects.
   * @param event - the event
   */
  dispatch(event: EventBody): void {
    const nowMs = this.#ports.clock.nowMs();
    const effects = this.#core.reduce({ ...event, nowMs } as OwnershipEvent);
    effects.forEach((effect) => this.#perform(effect));
    // The owner learns at once that this node is a lane for advice and a voter.
    if (event.kind === 'linkOpened') this.sendHeartbeat();
  }

  /** Sends a heartbeat on the open connection unless the previous one is unanswered. */
  sendHeartbeat(): void {
    const link = this.#link;
    const row = getHeardRow(this.#core.mode);
    if (link === undefined || link.isClosed || this.#isHeartbeatPending || row === undefined)
      return;
    this.#isHeartbeatPending = true;
    const { epoch } = row;
    const params = {
      nodeId: this.#self.nodeId,
      epoch,
      operatorVersion: this.#delegate.getOperatorVersion(),
      isStoreReachable: this.#delegate.isStoreReachable(),
      startedAtMs: this.#startedAtMs,
      processorMillis: this.#self.processorMillis,
      acknowledgedMs: this.#acknowledgedMs,
      votedVersion: this.#core.votedVersion,
      isLeaving: this.#delegate.isStopping(),
    };
    link
      .call('heartbeat', params, HEARTBEAT_TIMEOUT_MS)
      .then((reply) => {
        const { ownedEpoch, storeLostForMs } = reply;
        if (link === this.#link) this.#acknowledgedMs = reply.ownerMs;
        this.#ownerStoreLostForMs = storeLostForMs;
        this.#isOwnerStoreSlow = reply.isStoreSlow ?? false;
        this.dispatch({ kind: 'heartbeatAnswered', epoch, ownedEpoch, storeLostForMs });
        this.#delegate.onLoad?.(reply.load);
        this.#delegate.onOperatorVersion(reply.operatorVersion, link);
      })
      .catch((error: unknown) => {
        this.#ports.logger.debug({ epoch, reason: String(error) }, 'heartbeat not answered');
      })
      .finally(() => {
        this.#isHeartbeatPending = false;
      });
  }

  /** Closes the connection to the owner. */
  close(): void {
    this.#link?.close();
  }

  #perform(effect: OwnershipEffect): void {
    switch (effect.kind) {
      case 'readOwnerRow':
        this.#dispatchResult(readOwnerRow(this.#ports.store), (result) => ({
          kind: 'rowRead',
          result,
        }));
        return;
      case 'openLink':
        this.#dispatchResult(this.#openLink(effect.address, effect.epoch), (event) => event);
        return;
      case 'closeLink':
        this.#link?.close();
        this.#link = undefined;
        return;
      case 'askPeers':
        this.#dispatchResult(this.#queries.ask(effect), (answers) => ({
          ...{ kind: 'peersAnswered' as const, epoch: effect.row.epoch, answers },
        }));
        return;
      case 'probeOwner': {
        const { address, epoch } = effect;
        this.#dispatchResult(this.#queries.probe(address, epoch), (isOwning) => ({
          ...{ kind: 'ownerProbed' as const, epoch, isOwning },
        }));
        return;
      }
      case 'claim': {
        const { epoch, expectedVersion, votersVersion, voteless, silenceSinceEpoch } = effect;
        const { nodeId, address } = this.#self;
        const owner = { nodeId, address, epoch, silenceSinceEpoch };
        const claimed = claimOwnerRow(
          ...([this.#claimStore, owner, expectedVersion, votersVersion, voteless] as const),
        );
        this.#dispatchResult(claimed, (result) => ({ kind: 'claimed', epoch, result }));
        return;
      }
      case 'renew': {
        const { epoch, rowVersion } = effect;
        const sentAtMs = this.#ports.clock.nowMs();
        this.#dispatchResult(renewAliveRow(this.#ports.store, rowVersion), (result) => ({
          ...{ kind: 'renewed' as const, epoch, sentAtMs, result },
        }));
        return;
      }
      case 'beginOwning':
        this.#link?.close();
        this.#link = undefined;
        this.#delegate.onBegin(effect.epoch, effect.rowVersion, effect.votersVersion);
        this.#announce(effect.epoch, effect.rowVersion, effect.silenceSinceEpoch);
        return;
      case 'endOwning':
        this.#delegate.onEnd(effect.reason);
        return;
      case 'log':
        this.#ports.logger.info(effect.fields, effect.message);
        return;
      default:
        assertNever(effect);
    }
  }

  #dispatchResult<T>(call: Promise<T>, toEvent: (result: T) => EventBody): void {
    call.then((result) => this.dispatch(toEvent(result)), throwRejection);
  }

  async #openLink(address: string, epoch: Epoch): Promise<EventBody> {
    const events = { onClosed: () => this.#onLinkClosed(epoch) };
    const opened = await openPeerLink(address, this.#handlers, events, CONNECT_TIMEOUT_MS);
    if (E.isLeft(opened)) return { kind: 'linkLost', epoch, detail: opened.left };
    this.#link?.close();
    this.#link = opened.right;
    this.#acknowledgedMs = undefined;
    this.#isHeartbeatPending = false;
    return { kind: 'linkOpened', epoch };
  }

  #onLinkClosed(epoch: Epoch): void {
    if (this.#link?.isClosed !== true) return;
    this.#link = undefined;
    this.dispatch({ kind: 'linkLost', epoch, detail: 'closed' });
  }

  #getOtherMembers(): readonly Member[] {
    return this.#members.members.filter(({ nodeId }) => nodeId !== this.#self.nodeId);
  }

  #announce(epoch: Epoch, rowVersion: number, silenceSinceEpoch: Epoch): void {
    const { nodeId, address } = this.#self;
    this.#getOtherMembers().forEach((member) => {
      const params = { epoch, nodeId, address, rowVersion, silenceSinceEpoch };
      callPeerOnce(member.address, 'announce', params, ANNOUNCE_TIMEOUT_MS).then(
        (reply) => this.#onAnnounced(epoch, member.nodeId, reply),
        throwRejection,
      );
    });
  }

  /** A former owner sends nothing any more once it has taken the announcement. */
  #onAnnounced(
    epoch: Epoch,
    nodeId: NodeId,
    reply: E.Either<string, PeerReplies['announce']>,
  ): void {
    if (E.isLeft(reply)) {
      this.#ports.logger.info({ nodeId, reason: reply.left }, 'announcement of new owner failed');
      return;
    }
    const { endedEpoch, areFormerOwnersEnded } = reply.right;
    if (endedEpoch === epoch - 1 && areFormerOwnersEnded === true)
      this.#delegate.onFormerOwnersEnded(epoch);
  }
}
