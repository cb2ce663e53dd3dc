/** Exchanges heartbeats between schedulers, with their status, eviction promises and proofs of death. */

import type { LeaseManager } from '../lease/leaseManager';
import type { HeartbeatReply, MemberStatus, RpcResult, SchedulerCall } from '../rpc/types';
import type { MemberId } from '../types/ids';
import type { ConfigController } from './configController';
import type { PeerStatuses } from './peerStatuses';
import type { PeerOrigin, SchedulerEffect } from './types';

const HEARTBEAT_INTERVAL_MS = 1_000;

/** Recipient of heartbeats. */
interface HeartbeatPeer {
  readonly memberId: MemberId;
  readonly address: string;
}

type Heartbeat = Extract<SchedulerCall, { kind: 'heartbeat' }>;
type HeartbeatOrigin = Extract<PeerOrigin, { kind: 'heartbeat' }>;

/** Sends and answers the heartbeats of one scheduler. */
export class HeartbeatController {
  #lease: LeaseManager;

  #peerStatuses: PeerStatuses;

  #configController: ConfigController;

  #nextHeartbeatMs = 0;

  /**
   * @param lease - gives and receives promises, and applies proofs of death
   * @param peerStatuses - stores the received statuses
   * @param configController - supplies the configuration part of each heartbeat
   */
  constructor(lease: LeaseManager, peerStatuses: PeerStatuses, configController: ConfigController) {
    this.#lease = lease;
    this.#peerStatuses = peerStatuses;
    this.#configController = configController;
  }

  /**
   * Sends a heartbeat to every other scheduler if one is due.
   * @param nowMs - current time of this process's monotonic clock
   * @param getStatus - returns the status of this process
   * @returns the heartbeats to send
   */
  tick(nowMs: number, getStatus: () => MemberStatus): readonly SchedulerEffect[] {
    if (nowMs < this.#nextHeartbeatMs) return [];
    this.#nextHeartbeatMs = nowMs + HEARTBEAT_INTERVAL_MS;
    const status = getStatus();
    const gossip = this.#configController.getGossip(nowMs);
    const sentById = this.#lease.memberId;
    return this.#getHeartbeatPeers().map(({ memberId, address }) => ({
      kind: 'callPeer',
      origin: { kind: 'heartbeat', memberId, sentById, address, sentMs: nowMs },
      address,
      call: { kind: 'heartbeat', from: status, config: gossip },
    }));
  }

  /**
   * Creates the reply to a heartbeat.
   * @param nowMs - current time of this process's monotonic clock
   * @param heartbeat - the received heartbeat
   * @returns the reply; its promise is 0 if none can be given
   */
  answer(nowMs: number, { from, config }: Heartbeat): HeartbeatReply {
    this.#peerStatuses.update(from, nowMs);
    return {
      answeredById: this.#lease.memberId,
      promiseMs: this.#lease.getPromiseMs(from.memberId, nowMs),
      endedPromises: this.#lease.endedPromises,
      config: this.#configController.getGossip(nowMs),
      isCallerCounted: this.#configController.isCounted(config.processId),
    };
  }

  /**
   * Applies the result of a heartbeat.
   * @param nowMs - current time of this process's monotonic clock
   * @param origin - identifies the heartbeat
   * @param result - its result
   */
  applyResult(nowMs: number, origin: HeartbeatOrigin, result: RpcResult<HeartbeatReply>): void {
    if (result.kind === 'notSent' && result.isRefused) {
      // A refused connection proves that the process behind the registered address has ended.
      this.#lease.recordPeerDeath(nowMs, origin.memberId);
      this.#peerStatuses.removeMember(origin.memberId);
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
    if (answeredById !== origin.memberId) this.#peerStatuses.removeMember(origin.memberId);
  }

  /** Lists the members of the lease table and processes that only the configuration tracks. */
  #getHeartbeatPeers(): readonly HeartbeatPeer[] {
    const members = this.#lease.members.views
      .map(({ row }) => ({ memberId: row.memberId, address: row.address }))
      .filter(({ memberId }) => memberId !== this.#lease.memberId);
    const addresses = new Set(members.map(({ address }) => address));
    const others = this.#configController.peers
      .filter(({ address }) => !addresses.has(address))
      .map(({ processId, address }) => ({ memberId: processId, address }));
    return [...members, ...others];
  }
}
