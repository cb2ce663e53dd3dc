/** Heartbeats between schedulers: status, promises and proofs of death. */

import type { LeaseManager } from '../lease/leaseManager';
import type { HeartbeatReply, MemberStatus, RpcResult, SchedulerCall } from '../rpc/types';
import type { MemberId } from '../types/ids';
import type { ConfigDuty } from './configDuty';
import type { Peers } from './peers';
import type { PeerOrigin, SchedulerEffect } from './types';

const HEARTBEAT_INTERVAL_MS = 1_000;

/** Where a heartbeat goes. */
interface HeartbeatPeer {
  readonly memberId: MemberId;
  readonly address: string;
}

type Heartbeat = Extract<SchedulerCall, { kind: 'heartbeat' }>;
type HeartbeatOrigin = Extract<PeerOrigin, { kind: 'heartbeat' }>;

/** One scheduler's part in the exchange. */
export class MemberDuty {
  #lease: LeaseManager;

  #peers: Peers;

  #config: ConfigDuty;

  #dueMs = 0;

  /**
   * @param lease - uses promises and proofs
   * @param peers - keeps the statuses
   * @param config - says what of the configuration each heartbeat carries
   */
  constructor(lease: LeaseManager, peers: Peers, config: ConfigDuty) {
    this.#lease = lease;
    this.#peers = peers;
    this.#config = config;
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
    const config = this.#config.getGossip(nowMs);
    const sentById = this.#lease.memberId;
    return this.#getHeartbeatPeers().map(({ memberId, address }) => ({
      kind: 'callPeer',
      origin: { kind: 'heartbeat', memberId, sentById, address, sentMs: nowMs },
      address,
      call: { kind: 'heartbeat', from, config },
    }));
  }

  /**
   * Answers a heartbeat.
   * @param nowMs - this process's clock
   * @param heartbeat - what the sender says
   * @returns the answer, with a promise if one can be given
   */
  answer(nowMs: number, { from, config }: Heartbeat): HeartbeatReply {
    this.#peers.update(from, nowMs);
    return {
      answeredById: this.#lease.memberId,
      promiseMs: this.#lease.getPromiseMs(from.memberId, nowMs),
      endedPromises: this.#lease.endedPromises,
      config: this.#config.getGossip(nowMs),
      isCallerCounted: this.#config.isCounted(config.processId),
    };
  }

  /**
   * Takes in what came of a heartbeat.
   * @param nowMs - this process's clock
   * @param origin - which heartbeat
   * @param result - what came of it
   */
  applyResult(nowMs: number, origin: HeartbeatOrigin, result: RpcResult<HeartbeatReply>): void {
    if (result.kind === 'notSent' && result.isRefused) {
      // The listening socket that the member registered is gone, and its process with it.
      this.#lease.recordPeerDeath(nowMs, origin.memberId);
      this.#peers.forget(origin.memberId);
    }
    if (result.kind !== 'ok') return;
    const { answeredById, promiseMs, endedPromises } = result.value;
    this.#lease.applyHeartbeatReply(nowMs, {
      recipientId: origin.memberId,
      senderId: origin.sentById,
      sentMs: origin.sentMs,
      answeredById,
      promiseMs,
      endedPromises,
    });
    if (answeredById !== origin.memberId) this.#peers.forget(origin.memberId);
  }

  /** Members of the lease table, and further processes that only the configuration counts. */
  #getHeartbeatPeers(): readonly HeartbeatPeer[] {
    const members = this.#lease.members.views
      .map(({ row }) => ({ memberId: row.memberId, address: row.address }))
      .filter(({ memberId }) => memberId !== this.#lease.memberId);
    const addresses = new Set(members.map(({ address }) => address));
    const others = this.#config.peers
      .filter(({ address }) => !addresses.has(address))
      .map(({ processId, address }) => ({ memberId: processId, address }));
    return [...members, ...others];
  }
}
