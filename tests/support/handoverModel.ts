/** Planned handovers: the owner prepares, resigns, and stops once it is told of its successor, which it confirms. */

import type { VirtualTime } from './virtualTime';
import * as limits from './worldConstants';
import type { Owner } from './worldTypes';

/** What the simulation provides. */
export interface HandoverPorts {
  getOwner(): Owner | undefined;
  /** Has a new owner take over; the former one goes on. */
  takeOver(): void;
  dispatch(owner: Owner, event: object): void;
}

/** Plays the messages between an owner and its successor. */
export class HandoverModel {
  #time: VirtualTime;

  #ports: HandoverPorts;

  /** Whether successors are there. */
  areClaimed = true;

  constructor(time: VirtualTime, ports: HandoverPorts) {
    this.#time = time;
    this.#ports = ports;
  }

  /** The owner is asked to hand over. */
  request(): void {
    const owner = this.#ports.getOwner();
    if (owner !== undefined) this.#ports.dispatch(owner, { kind: 'handoverRequested' });
  }

  /** An owner resigns. */
  onPrepared(former: Owner): void {
    const advice = former.core.getHandedAdvice(this.#time.nowMs);
    this.#time.after(limits.CLAIM_MS, () => {
      if (this.#ports.getOwner() !== former || !this.areClaimed) return;
      this.#ports.takeOver();
      const successor = this.#ports.getOwner();
      if (successor === undefined) return;
      const receivedAtMs = this.#time.nowMs;
      this.#ports.dispatch(successor, { kind: 'adviceHandedOver', advice, receivedAtMs });
      this.#time.after(limits.ANNOUNCEMENT_MS, () => this.#onAnnounced(former, successor));
    });
  }

  #onAnnounced(stopped: Owner, successor: Owner): void {
    const former = stopped;
    former.isStopped = true;
    if (this.#time.nowMs < former.formerOwnersEndAtMs) return;
    this.#time.after(limits.CONFIRMATION_MS, () => {
      Object.assign(successor, { formerOwnersEndAtMs: this.#time.nowMs });
      this.#ports.dispatch(successor, { kind: 'formerAuthorityEnded' });
    });
  }
}
