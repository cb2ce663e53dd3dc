/** What this scheduler knows of the others from heartbeats. */

import type { MemberStatus } from '../rpc/types';
import type { MemberId } from '../types/ids';

/** A peer's status counts for this long after the heartbeat that brought it. */
const STATUS_VALID_MS = 3_000;

interface PeerState {
  readonly status: MemberStatus;
  readonly heardMs: number;
}

/** The newest status of each peer. */
export class Peers {
  #states = new Map<MemberId, PeerState>();

  /**
   * Takes in a peer's status.
   * @param status - what it said
   * @param heardMs - when, on this process's clock
   */
  update(status: MemberStatus, heardMs: number): void {
    this.#states.set(status.memberId, { status, heardMs });
  }

  /**
   * Drops an incarnation that is proven dead.
   * @param memberId - which
   */
  forget(memberId: MemberId): void {
    this.#states.delete(memberId);
  }

  /**
   * Gets the peers heard lately.
   * @param nowMs - this process's clock
   * @returns their statuses
   */
  getHeard(nowMs: number): readonly MemberStatus[] {
    this.#states.forEach((state, memberId) => {
      if (nowMs - state.heardMs > STATUS_VALID_MS) this.#states.delete(memberId);
    });
    return [...this.#states.values()].map((state) => state.status);
  }
}
