/** Performs the effects of the ownership reducer and keeps the connection to the owner. */

import * as E from 'fp-ts/Either';
import type { PeerLink } from '../peer/peerLink';
import { callPeerOnce, openPeerLink } from '../peer/peerLink';
import type { PeerHandlers } from '../peer/types';
import type { RowStore } from '../store/types';
import { assertNever, throwRejection } from '../types/debug';
import type { Epoch, NodeId } from '../types/ids';
import type { DistributiveOmit } from '../types/distributiveOmit';
import type { MemberList, Member } from './memberList';
import { OwnershipCore } from './ownership';
import type { OwnershipEffect, OwnershipEvent } from './ownershipTypes';
import { claimOwnerRow, readOwnerRow, renewAliveRow } from './ownerRows';
import type { NodePorts } from './ports';

/** Time limit of a connection to another node; the nets between them take 1 ms. */
const CONNECT_TIMEOUT_MS = 400;

/** Time limit of a heartbeat's answer. */
const HEARTBEAT_TIMEOUT_MS = 600;

/** Time limit of a question to another node. */
const ASK_TIMEOUT_MS = 250;

/** Nodes asked whether they hear the owner. */
const MAX_ASKED = 8;

/** Time limit of an announcement. */
const ANNOUNCE_TIMEOUT_MS = 500;

/** What the shell needs of its node. */
export interface OwnershipListener {
  onBegin(epoch: Epoch, rowVersion: number): void;
  onEnd(reason: string): void;
  /** An answer of the owner shows that its operator state has another version. */
  onOperatorVersion(version: number, link: PeerLink): void;
  getOperatorVersion(): number;
  isStoreReachable(): boolean;
}

type EventBody = DistributiveOmit<OwnershipEvent, 'nowMs'>;

/** Drives the ownership reducer of one node. */
export class OwnershipShell {
  #ports: NodePorts;

  #self: Member;

  #claimStore: RowStore;

  #members: MemberList;

  #handlers: PeerHandlers;

  #listener: OwnershipListener;

  #core: OwnershipCore;

  #link: PeerLink | undefined;

  #isBeating = false;

  #ownerStoreLostForMs = 0;

  #startedAtMs: number;

  /**
   * @param ports - store, clock and log
   * @param self - this node
   * @param claimStore - the store with no shorter time limit than the one asked for, as a claim that is
   * given up may have taken effect
   * @param members - all nodes
   * @param handlers - answers the owner's calls
   * @param listener - the node
   */
  constructor(
    ports: NodePorts,
    self: Member,
    claimStore: RowStore,
    members: MemberList,
    handlers: PeerHandlers,
    listener: OwnershipListener,
  ) {
    this.#ports = ports;
    this.#self = self;
    this.#claimStore = claimStore;
    this.#members = members;
    this.#handlers = handlers;
    this.#listener = listener;
    this.#startedAtMs = ports.clock.wallMs();
    this.#core = new OwnershipCore(self.nodeId, () => listener.isStoreReachable());
  }

  /** The reducer, for questions. */
  get core(): OwnershipCore {
    return this.#core;
  }

  /** The open connection to the owner, if there is one. */
  get link(): PeerLink | undefined {
    return this.#link?.isClosed === false ? this.#link : undefined;
  }

  /** True when the owner is connected and its store answers. */
  get isOwnerStoreReachable(): boolean {
    return this.link !== undefined && this.#ownerStoreLostForMs === 0;
  }

  /**
   * Applies an event.
   * @param event - what happened
   */
  dispatch(event: EventBody): void {
    const nowMs = this.#ports.clock.nowMs();
    const effects = this.#core.reduce({ ...event, nowMs } as OwnershipEvent);
    effects.forEach((effect) => this.#perform(effect));
  }

  /** Sends a heartbeat on the open connection, unless one waits for its answer. */
  beat(): void {
    const link = this.#link;
    const { mode } = this.#core;
    if (link === undefined || link.isClosed || this.#isBeating || mode.kind !== 'following') return;
    this.#isBeating = true;
    const { epoch } = mode.row;
    const params = {
      nodeId: this.#self.nodeId,
      epoch,
      operatorVersion: this.#listener.getOperatorVersion(),
      isStoreReachable: this.#listener.isStoreReachable(),
      startedAtMs: this.#startedAtMs,
      processorMillis: this.#self.processorMillis,
    };
    link
      .call('heartbeat', params, HEARTBEAT_TIMEOUT_MS)
      .then((reply) => {
        const { ownedEpoch, storeLostForMs } = reply;
        this.#ownerStoreLostForMs = storeLostForMs;
        this.dispatch({ kind: 'heartbeatAnswered', epoch, ownedEpoch, storeLostForMs });
        this.#listener.onOperatorVersion(reply.operatorVersion, link);
      })
      .catch((error: unknown) => {
        this.#ports.logger.debug({ epoch, reason: String(error) }, 'heartbeat not answered');
      })
      .finally(() => {
        this.#isBeating = false;
      });
  }

  /** Ends the connection to the owner. */
  close(): void {
    this.#link?.close();
  }

  #perform(effect: OwnershipEffect): void {
    switch (effect.kind) {
      case 'readOwnerRow':
        this.#run(readOwnerRow(this.#ports.store), (result) => ({ kind: 'rowRead', result }));
        return;
      case 'openLink':
        this.#run(this.#openLink(effect.address, effect.epoch), (event) => event);
        return;
      case 'closeLink':
        this.#link?.close();
        this.#link = undefined;
        return;
      case 'askPeers':
        this.#run(this.#askPeers(effect.epoch), (verdict) => ({
          ...{ kind: 'peersAnswered' as const, epoch: effect.epoch, verdict },
        }));
        return;
      case 'claim': {
        const { epoch, expectedVersion } = effect;
        const claimed = claimOwnerRow(this.#claimStore, { ...this.#self, epoch }, expectedVersion);
        this.#run(claimed, (result) => ({ kind: 'claimed', epoch, result }));
        return;
      }
      case 'renew': {
        const { epoch, rowVersion } = effect;
        const sentAtMs = this.#ports.clock.nowMs();
        this.#run(renewAliveRow(this.#ports.store, rowVersion), (result) => ({
          ...{ kind: 'renewed' as const, epoch, sentAtMs, result },
        }));
        return;
      }
      case 'beginOwning':
        this.#link?.close();
        this.#link = undefined;
        this.#listener.onBegin(effect.epoch, effect.rowVersion);
        this.#announce(effect.epoch, effect.rowVersion);
        return;
      case 'endOwning':
        this.#listener.onEnd(effect.reason);
        return;
      case 'log':
        this.#ports.logger.info(effect.fields, effect.message);
        return;
      default:
        assertNever(effect);
    }
  }

  #run<T>(call: Promise<T>, toEvent: (result: T) => EventBody): void {
    call.then((result) => this.dispatch(toEvent(result)), throwRejection);
  }

  async #openLink(address: string, epoch: Epoch): Promise<EventBody> {
    const events = { onClosed: () => this.#onLinkClosed(epoch) };
    const opened = await openPeerLink(address, this.#handlers, events, CONNECT_TIMEOUT_MS);
    if (E.isLeft(opened)) return { kind: 'linkLost', epoch, detail: opened.left };
    this.#link?.close();
    this.#link = opened.right;
    this.#isBeating = false;
    return { kind: 'linkOpened', epoch };
  }

  #onLinkClosed(epoch: Epoch): void {
    if (this.#link?.isClosed !== true) return;
    this.#link = undefined;
    this.dispatch({ kind: 'linkLost', epoch, detail: 'closed' });
  }

  async #askPeers(epoch: Epoch) {
    const { mode } = this.#core;
    const ownerId = mode.kind === 'suspecting' ? mode.row.nodeId : undefined;
    const asked = this.#getOthers()
      .filter(({ nodeId }) => nodeId !== ownerId)
      .slice(0, MAX_ASKED);
    const replies = await Promise.all(
      asked.map(({ address }) => callPeerOnce(address, 'isOwnerHeard', { epoch }, ASK_TIMEOUT_MS)),
    );
    const answers = replies.flatMap((reply) => (E.isRight(reply) ? [reply.right] : []));
    return {
      askedCount: asked.length,
      answeredCount: answers.length,
      heardCount: answers.filter(({ isHeard }) => isHeard).length,
    };
  }

  #getOthers(): readonly Member[] {
    return this.#members.members.filter(({ nodeId }) => nodeId !== this.#self.nodeId);
  }

  #announce(epoch: Epoch, rowVersion: number): void {
    const { nodeId, address } = this.#self;
    this.#getOthers().forEach((member) => {
      const params = { epoch, nodeId, address, rowVersion };
      callPeerOnce(member.address, 'announce', params, ANNOUNCE_TIMEOUT_MS).then(
        (reply) => this.#logAnnounced(member.nodeId, reply),
        throwRejection,
      );
    });
  }

  #logAnnounced(nodeId: NodeId, reply: E.Either<string, unknown>): void {
    if (E.isRight(reply)) return;
    this.#ports.logger.info({ nodeId, reason: reply.left }, 'node did not hear of its new owner');
  }
}
