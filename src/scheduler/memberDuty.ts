/** Heartbeats between schedulers: status, promises and proofs of death. */

import type { LeaseKeeper } from '../lease/leaseKeeper';
import type { HeartbeatReply, MemberStatus, RpcResult } from '../rpc/types';
import type { Peers } from './peers';
import type { PeerOrigin, SchedulerEffect } from './types';

const HEARTBEAT_INTERVAL_MS = 1_000;

type HeartbeatOrigin = Extract<PeerOrigin, { kind: 'heartbeat' }>;

/** One scheduler's part in the exchange. */
export class MemberDuty {
  #lease: LeaseKeeper;

  #peers: Peers;

  #dueMs = 0;

  /**
   * @param lease - uses promises and proofs
   * @param peers - keeps the statuses
   */
  constructor(lease: LeaseKeeper, peers: Peers) {
    this.#lease = lease;
    this.#peers = peers;
  }

  /**
   * Sends a heartbeat to every other member when it is time to.
   * @param nowMs - this process's clock
   * @param getStatus - tells this process's status
   * @returns what to send
   */
  tick(nowMs: number, getStatus: () => MemberStatus): readonly SchedulerEffect[] {
    if (nowMs < this.#dueMs) return [];
    this.#dueMs = nowMs + HEARTBEAT_INTERVAL_MS;
    const from = getStatus();
    const sentById = this.#lease.memberId;
    return this.#lease.members.views
      .filter((view) => view.row.memberId !== sentById)
      .map(({ row }) => ({
        kind: 'callPeer',
        origin: { kind: 'heartbeat', memberId: row.memberId, sentById, sentMs: nowMs },
        address: row.address,
        call: { kind: 'heartbeat', from },
      }));
  }

  /**
   * Answers a heartbeat.
   * @param nowMs - this process's clock
   * @param from - the sender's status
   * @param status - this process's status
   * @returns the answer, with a promise if one can be given
   */
  answer(nowMs: number, from: MemberStatus, status: MemberStatus): HeartbeatReply {
    this.#peers.update(from, nowMs);
    const promiseMs = this.#lease.getPromiseMs(from.memberId, nowMs);
    return { from: status, promiseMs, endedPromises: this.#lease.endedPromises };
  }

  /**
   * Takes in what came of a heartbeat.
   * @param nowMs - this process's clock
   * @param origin - which heartbeat
   * @param result - what came of it
   * @returns the status of the member that answered, or undefined
   */
  applyResult(
    nowMs: number,
    origin: HeartbeatOrigin,
    result: RpcResult<HeartbeatReply>,
  ): MemberStatus | undefined {
    if (result.kind === 'notSent' && result.isRefused) {
      // The listening socket that the member registered is gone, and its process with it.
      this.#lease.applyPeerDeath(nowMs, origin.memberId);
      this.#peers.forget(origin.memberId);
    }
    if (result.kind !== 'ok') return undefined;
    const { from, promiseMs, endedPromises } = result.value;
    this.#lease.applyHeartbeatReply(nowMs, {
      sentToId: origin.memberId,
      sentById: origin.sentById,
      sentMs: origin.sentMs,
      answeredById: from.memberId,
      promiseMs,
      endedPromises,
    });
    if (from.memberId !== origin.memberId) this.#peers.forget(origin.memberId);
    this.#peers.update(from, nowMs);
    return from;
  }
}
