/** Asks other nodes about a suspected owner, and answers such questions. */

import * as E from 'fp-ts/Either';
import type { OwnerQuery, OwnerQueryReply } from '../peer/types';
import type { Epoch, NodeId } from '../types/ids';
import { throwRejection } from '../types/debug';
import type { Member } from './memberList';
import type { OwnershipCore } from './ownership';
import { OwnerQueryRound } from './ownerQueryRound';
import type { AskEffect } from './ownerQueryRound';
import { OWNER_STORE_TIMEOUT_MS, tryGetUnheardAddress } from './ownershipState';
import type { PeerAnswers } from './ownershipTypes';
import { getVoteQuorum } from './voterSet';

/** Timeout for asking a peer whether it hears from the owner; covers a probe of its own. */
const PEER_QUERY_TIMEOUT_MS = 250;

/** Timeout for connecting to the owner again, and again for its answer; the usual channel has been silent before. */
const PROBE_TIMEOUT_MS = 100;

/** How many peers are asked at least, if there are as many. */
const MIN_PEERS_ASKED = 8;

/** What the answers depend on. */
export interface QueryPorts {
  readonly selfId: NodeId;
  readonly core: OwnershipCore;
  getNowMs(): number;
  getMembers(): readonly Member[];
  isStoreReachable(): boolean;
  /** How long the followed owner does not reach the store, by its last heartbeat answer. */
  getOwnerStoreLostForMs(): number;
  /** Makes this owner rely on the store alone. */
  yieldLease(): void;
  /** Asks the node at an address over a new connection; the timeout is for connecting and again for the answer. */
  query(
    address: string,
    query: OwnerQuery,
    timeoutMs: number,
  ): Promise<E.Either<string, OwnerQueryReply>>;
}

/** The questions of one node. */
export class OwnerQueries {
  #ports: QueryPorts;

  /** Rotates the peers that are asked, as those in front may all be lost. */
  #askCount = 0;

  /**
   * @param ports - the node
   */
  constructor(ports: QueryPorts) {
    this.#ports = ports;
  }

  /**
   * Calls the owner on a new connection.
   * @param address - `ip:port` of the owner
   * @param epoch - its epoch
   * @returns true when it answers that it owns the epoch
   */
  async probe(address: string, epoch: Epoch): Promise<boolean> {
    const query: OwnerQuery = { epoch, isProbe: true };
    const reply = await this.#ports.query(address, query, PROBE_TIMEOUT_MS);
    return E.isRight(reply) && reply.right.isHeard;
  }

  /**
   * Asks the owner and a number of peers.
   * @param effect - what to ask
   * @returns what is known when the answers decide, or after the timeout
   */
  ask(effect: AskEffect): Promise<PeerAnswers> {
    const { row, suspicion, votersVersion } = effect;
    const isOwnerWithoutStore = suspicion === 'withoutStore';
    const query: OwnerQuery = { epoch: row.epoch, votersVersion, isOwnerWithoutStore };
    const peers = this.#choosePeers(effect);
    return new Promise((resolve) => {
      const round = new OwnerQueryRound(effect, this.#ports.selfId, peers.length, resolve);
      this.#ports
        .query(row.address, { ...query, isProbe: true }, PROBE_TIMEOUT_MS)
        .then((reply) => round.onOwner(reply), throwRejection);
      peers.forEach(({ nodeId, address }) => {
        this.#ports
          .query(address, query, PEER_QUERY_TIMEOUT_MS)
          .then((reply) => round.onPeer(nodeId, reply), throwRejection);
      });
    });
  }

  /**
   * Answers the question of another node. A node that does not hear the owner tries to reach it before it votes, as
   * all channels may have been reset at the same time.
   * @param query - the question
   * @returns the answer
   */
  async answer(query: OwnerQuery): Promise<OwnerQueryReply> {
    const { epoch, isProbe = false, isOwnerWithoutStore = false, votersVersion } = query;
    const { core } = this.#ports;
    const isHeard = core.isOwnerHeard(epoch, this.#ports.getNowMs());
    if (isHeard && isOwnerWithoutStore) return this.#answerWithoutStore(epoch, votersVersion);
    if (isHeard || isProbe) return { isHeard };
    const address = tryGetUnheardAddress(core.mode, epoch);
    if (address !== undefined && (await this.probe(address, epoch))) return { isHeard: true };
    return { isHeard: false, ...this.#vote(votersVersion) };
  }

  #answerWithoutStore(epoch: Epoch, votersVersion: number | undefined): OwnerQueryReply {
    const { core, isStoreReachable, getOwnerStoreLostForMs, yieldLease } = this.#ports;
    if (core.ownedEpoch === epoch) {
      if (isStoreReachable()) return { isHeard: true };
      yieldLease();
      return { isHeard: true, isYielding: true };
    }
    if (getOwnerStoreLostForMs() <= OWNER_STORE_TIMEOUT_MS) return { isHeard: true };
    return { isHeard: false, ...this.#vote(votersVersion) };
  }

  #vote(votersVersion: number | undefined): Pick<OwnerQueryReply, 'isVoting'> {
    if (votersVersion === undefined) return {};
    this.#ports.core.vote(votersVersion);
    return { isVoting: true };
  }

  /** Voters that have not voted yet come first, in an order that changes from one question to the next. */
  #choosePeers({ row, votersVersion, votedIds }: AskEffect): readonly Member[] {
    const { selfId, getMembers } = this.#ports;
    const isPeer = ({ nodeId }: Member) => nodeId !== selfId && nodeId !== row.nodeId;
    const peers = getMembers().filter(isPeer);
    if (peers.length === 0) return [];
    const offset = (this.#askCount * MIN_PEERS_ASKED) % peers.length;
    this.#askCount += 1;
    const rotated = [...peers.slice(offset), ...peers.slice(0, offset)];
    const voters = row.voterSet?.voters ?? [];
    if (votersVersion === undefined || voters.length === 0)
      return rotated.slice(0, MIN_PEERS_ASKED);
    const missingIds = new Set(voters.map(({ nodeId }) => nodeId));
    votedIds.forEach((nodeId) => missingIds.delete(nodeId));
    const first = rotated.filter(({ nodeId }) => missingIds.has(nodeId));
    const others = rotated.filter(({ nodeId }) => !missingIds.has(nodeId));
    const count = Math.max(MIN_PEERS_ASKED, 2 * getVoteQuorum(voters.length));
    return [...first, ...others].slice(0, count);
  }
}
