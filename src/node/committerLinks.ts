/** Hands rows to the nodes that commit them for all gates while the store is slow. */

import * as E from 'fp-ts/Either';
import type { Logger } from '../observe/logger';
import type { Metrics } from '../observe/metrics';
import { openPeerLink } from '../peer/peerLink';
import type { PeerLinkHandle } from '../peer/types';
import type { RowPut } from '../store/types';
import type { Clock } from '../types/clock';
import type { NodeId } from '../types/ids';
import type { DelegatedOutcome, RowDelegate } from './acceptance';
import { chooseCommitter } from './committerChoice';
import type { Member } from './memberList';
import { SUBMISSION_PARTS } from './tables';

/** Timeout for connecting to another node; the network latency between nodes is about 1 ms. */
const CONNECT_TIMEOUT_MS = 200;

/** A committer that failed is not used for this long. */
const EXCLUSION_MS = 2_000;

/** Committers tried for one row before this node commits it itself. */
const MAX_TRIES = 2;

/** Time reserved for the answer of a committer, so that it arrives before the gate gives up. */
const ANSWER_MARGIN_MS = 100;

/** A committer without an answer for this long is checked, as a slow commit and a lost node look alike. */
const LIVENESS_CHECK_DELAY_MS = 300;

/** Timeout of that check. */
const LIVENESS_TIMEOUT_MS = 250;

/** A connection is closed when it has not been used for this long. */
const IDLE_TIMEOUT_MS = 10_000;

/** Dependencies of the links. */
export interface CommitterPorts {
  readonly selfId: NodeId;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Whether the store answers late, or answers are missing. */
  isStoreSlow(): boolean;
  /** Whether the store answers late. */
  isStoreLate(): boolean;
  getMembers(): readonly Member[];
  /** The owner of the fleet, which has enough other work. */
  getOwnerId(): NodeId | undefined;
}

interface CommitterLink {
  readonly opened: Promise<PeerLinkHandle | undefined>;
  idleTimer: NodeJS.Timeout | undefined;
}

/** Connections to committers, opened when they are first used. */
export class CommitterLinks implements RowDelegate {
  #ports: CommitterPorts;

  #links = new Map<NodeId, CommitterLink>();

  #excludedUntilMs = new Map<NodeId, number>();

  /**
   * @param ports - the nodes, the state of the store, clock and logger
   */
  constructor(ports: CommitterPorts) {
    this.#ports = ports;
  }

  /** {@inheritDoc RowDelegate.isStoreLate} */
  isStoreLate(): boolean {
    return this.#ports.isStoreLate();
  }

  /** {@inheritDoc RowDelegate.tryDelegate} */
  tryDelegate(put: RowPut, timeoutMs: number): Promise<DelegatedOutcome> | undefined {
    if (!this.#ports.isStoreSlow()) return undefined;
    const committer = this.#choose(put.part);
    if (committer === undefined) return undefined;
    return this.#store(committer, put, this.#ports.clock.nowMs() + timeoutMs, 1);
  }

  /** Closes all connections. */
  close(): void {
    [...this.#links.keys()].forEach((nodeId) => this.#closeLink(nodeId));
  }

  #choose(part: string): Member | undefined {
    const { selfId, clock, getMembers, getOwnerId } = this.#ports;
    const members = getMembers();
    // With fewer gates than parts, transactions are few enough without committers.
    if (members.length <= SUBMISSION_PARTS.length) return undefined;
    const nowMs = clock.nowMs();
    const ownerId = getOwnerId();
    const committer = chooseCommitter(
      part,
      members,
      (nodeId) => nodeId === ownerId || nowMs < (this.#excludedUntilMs.get(nodeId) ?? 0),
    );
    return committer?.nodeId === selfId ? undefined : committer;
  }

  async #store(
    committer: Member,
    put: RowPut,
    expiresAtMs: number,
    tryNumber: number,
  ): Promise<DelegatedOutcome> {
    const outcome = await this.#storeAt(committer, put, expiresAtMs);
    this.#ports.metrics.count(`rows_delegated_${outcome.kind}`);
    if (outcome.kind !== 'notSent') return outcome;
    const next = tryNumber < MAX_TRIES ? this.#choose(put.part) : undefined;
    return next === undefined ? outcome : this.#store(next, put, expiresAtMs, tryNumber + 1);
  }

  async #storeAt(
    { nodeId, address }: Member,
    { table, key, value }: RowPut,
    expiresAtMs: number,
  ): Promise<DelegatedOutcome> {
    const link = await this.#getLink(nodeId, address);
    const remainingMs = expiresAtMs - this.#ports.clock.nowMs();
    if (link === undefined || remainingMs <= ANSWER_MARGIN_MS) return { kind: 'notSent' };
    const timer = setTimeout(() => this.#checkLiveness(nodeId, link), LIVENESS_CHECK_DELAY_MS);
    try {
      const params = { table, key, value, timeoutMs: remainingMs - ANSWER_MARGIN_MS };
      const reply = await link.call('storeRow', params, remainingMs);
      if (reply.kind === 'notSent') this.#exclude(nodeId, 'it takes no rows now');
      return reply;
    } catch (error) {
      // A committer that is alive but late is kept: it also queues the rows of all other gates of the part.
      if (link.isClosed) this.#exclude(nodeId, String(error));
      return { kind: 'unknown', detail: `committer ${nodeId}: ${String(error)}` };
    } finally {
      clearTimeout(timer);
    }
  }

  /** Closes the connection to a committer that does not answer, which ends all calls that wait for it. */
  #checkLiveness(nodeId: NodeId, link: PeerLinkHandle): void {
    link.call('ping', {}, LIVENESS_TIMEOUT_MS).catch(() => {
      this.#ports.logger.info({ nodeId }, 'committer does not answer; its rows are committed here');
      link.close();
    });
  }

  async #getLink(nodeId: NodeId, address: string): Promise<PeerLinkHandle | undefined> {
    const known = this.#links.get(nodeId) ?? this.#open(nodeId, address);
    clearTimeout(known.idleTimer);
    known.idleTimer = setTimeout(() => this.#closeLink(nodeId), IDLE_TIMEOUT_MS);
    known.idleTimer.unref();
    const link = await known.opened;
    if (link !== undefined && !link.isClosed) return link;
    this.#exclude(nodeId, 'not connected');
    return undefined;
  }

  #open(nodeId: NodeId, address: string): CommitterLink {
    const events = { onClosed: () => this.#closeLink(nodeId) };
    const opened = openPeerLink(address, {}, events, CONNECT_TIMEOUT_MS).then((result) =>
      E.isRight(result) ? result.right : undefined,
    );
    const link: CommitterLink = { opened, idleTimer: undefined };
    this.#links.set(nodeId, link);
    return link;
  }

  #exclude(nodeId: NodeId, reason: string): void {
    this.#ports.logger.info({ nodeId, reason, excludedMs: EXCLUSION_MS }, 'committer not used');
    this.#excludedUntilMs.set(nodeId, this.#ports.clock.nowMs() + EXCLUSION_MS);
    this.#closeLink(nodeId);
  }

  #closeLink(nodeId: NodeId): void {
    const known = this.#links.get(nodeId);
    if (known === undefined) return;
    this.#links.delete(nodeId);
    clearTimeout(known.idleTimer);
    known.opened.then((link) => link?.close()).catch(() => undefined);
  }
}
