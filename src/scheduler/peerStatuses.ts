/** Statuses that other schedulers have sent with their heartbeats. */

import type { MemberStatus } from '../rpc/types';
import type { MemberId } from '../types/ids';

/** Time after its heartbeat for which a peer's status is used. */
const STATUS_TTL_MS = 3_000;

interface PeerState {
  readonly status: MemberStatus;
  readonly receivedAtMs: number;
}

/** Latest status of each peer. */
export class PeerStatuses {
  #states = new Map<MemberId, PeerState>();

  /**
   * Stores the status of a peer.
   * @param status - status from its heartbeat
   * @param receivedAtMs - when the heartbeat was received, on this process's monotonic clock
   */
  update(status: MemberStatus, receivedAtMs: number): void {
    this.#states.set(status.memberId, { status, receivedAtMs });
  }

  /**
   * Removes an incarnation that has been proven dead.
   * @param memberId - the incarnation
   */
  removeMember(memberId: MemberId): void {
    this.#states.delete(memberId);
  }

  /**
   * Lists the statuses that have not expired, and removes the others.
   * @param nowMs - current time of this process's monotonic clock
   * @returns the unexpired statuses
   */
  getRecent(nowMs: number): readonly MemberStatus[] {
    this.#states.forEach((state, memberId) => {
      if (nowMs - state.receivedAtMs > STATUS_TTL_MS) this.#states.delete(memberId);
    });
    return [...this.#states.values()].map((state) => state.status);
  }
}
