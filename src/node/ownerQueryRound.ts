/** Collects the answers to one question about a suspected owner. */

import * as E from 'fp-ts/Either';
import type { OwnerQueryReply } from '../peer/types';
import type { NodeId } from '../types/ids';
import type { OwnershipEffect, PeerAnswers } from './ownershipTypes';
import { isVoteQuorum } from './voterSet';

/** A question of the ownership state machine. */
export type AskEffect = Extract<OwnershipEffect, { kind: 'askPeers' }>;

type QueryOutcome = E.Either<string, OwnerQueryReply>;

/** One question to the owner and to several peers. */
export class OwnerQueryRound {
  #effect: AskEffect;

  #peerCount: number;

  #resolve: (answers: PeerAnswers) => void;

  #pendingCount: number;

  #isOwnerPending = true;

  #isOwnerReached = false;

  #isOwnerYielding = false;

  #answeredCount = 0;

  #heardCount = 0;

  #votedIds: Set<NodeId>;

  /**
   * @param effect - what is asked
   * @param selfId - the asking node, which votes itself
   * @param peerCount - number of peers that are asked
   * @param resolve - called as soon as the answers decide, at the latest when all are known
   */
  constructor(
    effect: AskEffect,
    selfId: NodeId,
    peerCount: number,
    resolve: (answers: PeerAnswers) => void,
  ) {
    this.#effect = effect;
    this.#peerCount = peerCount;
    this.#pendingCount = peerCount + 1;
    this.#resolve = resolve;
    this.#votedIds = new Set(effect.votedIds);
    if (effect.votersVersion !== undefined) this.#votedIds.add(selfId);
  }

  /**
   * Applies the answer of the owner.
   * @param reply - the answer, or why there is none
   */
  onOwner(reply: QueryOutcome): void {
    this.#pendingCount -= 1;
    this.#isOwnerPending = false;
    if (E.isRight(reply)) {
      this.#isOwnerReached = reply.right.isHeard;
      this.#isOwnerYielding = reply.right.isYielding === true;
    }
    this.#check();
  }

  /**
   * Applies the answer of a peer.
   * @param nodeId - the peer
   * @param reply - the answer, or why there is none
   */
  onPeer(nodeId: NodeId, reply: QueryOutcome): void {
    this.#pendingCount -= 1;
    if (E.isRight(reply)) {
      this.#answeredCount += 1;
      if (reply.right.isHeard) this.#heardCount += 1;
      if (reply.right.isVoting === true) this.#votedIds.add(nodeId);
    }
    this.#check();
  }

  /** Does not wait for nodes that are lost once the answers decide. */
  #check(): void {
    const { row } = this.#effect;
    const areVotesNeeded = row.voterSet?.epoch === row.epoch;
    const hasVotes =
      !areVotesNeeded || row.voterSet === undefined || isVoteQuorum(row.voterSet, this.#votedIds);
    const isLost = !this.#isOwnerPending && this.#answeredCount > 0 && hasVotes;
    const isDecided = this.#heardCount > 0 || this.#isOwnerReached || isLost;
    if (this.#pendingCount > 0 && !isDecided) return;
    this.#resolve({
      askedCount: this.#peerCount,
      answeredCount: this.#answeredCount,
      heardCount: this.#heardCount,
      isOwnerReached: this.#isOwnerReached,
      isOwnerYielding: this.#isOwnerYielding,
      votersVersion: this.#effect.votersVersion,
      votedIds: [...this.#votedIds],
    });
  }
}
