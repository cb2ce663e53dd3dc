/** Decides when each target is looked at, and how far its lease is renewed. */

import {
  IDLE_ACKNOWLEDGE_MS,
  LEASE_MS,
  LOOK_SLACK_MS,
  LOOK_UNACKNOWLEDGED_MS,
  LOOK_WAIT_MS,
  STOP_LOOK_WAIT_MS,
} from './constants';
import type { OwnerState } from './ownerState';
import type { TargetState } from './targetState';

function hasPendingEnds(target: TargetState): boolean {
  return target.listedEndCount > 0 && !target.isEveryEndDurable;
}

/** Sends looks. */
export class LookPlanner {
  #state: OwnerState;

  /**
   * @param state - the owner's tables
   */
  constructor(state: OwnerState) {
    this.#state = state;
  }

  /** Sends every look that is due. */
  sendDueLooks(): void {
    this.#state.targets.forEach((target) => {
      if (target.lookSentAtMs !== undefined || target.nextLookAtMs > this.#state.nowMs) return;
      if (!target.isContacted || target.strays.size > 0) {
        this.#look(target, 0);
        return;
      }
      if (target.runs.size > 0 || hasPendingEnds(target)) this.#lookAtBusy(target);
      else if (target.listedEndCount > 0) this.#lookAtIdle(target);
      else if (!target.isResponding) this.#look(target, 0);
    });
  }

  #lookAtBusy(target: TargetState): void {
    if (!hasPendingEnds(target)) {
      this.#look(target, LookPlanner.#getWaitMs(target));
      return;
    }
    // While ends cannot be acknowledged a look returns at once; it is sent to renew the lease alone.
    const lowerMs = target.clock.getLowerMs(this.#state.nowMs) ?? 0;
    const isLeaseShort = target.leaseUntilMs - lowerMs < LEASE_MS - LOOK_UNACKNOWLEDGED_MS;
    if (isLeaseShort) this.#look(target, 0);
  }

  #lookAtIdle(target: TargetState): void {
    const { nowMs } = this.#state;
    if (target.idleSinceMs === undefined) {
      target.idleSinceMs = nowMs;
      return;
    }
    if (nowMs < target.idleSinceMs + IDLE_ACKNOWLEDGE_MS) return;
    this.#look(target, 0);
  }

  static #getWaitMs(target: TargetState): number {
    const phases = [...target.runs.values()].map((run) => run.phase);
    if (phases.includes('unconfirmed')) return 0;
    return phases.includes('stopping') ? STOP_LOOK_WAIT_MS : LOOK_WAIT_MS;
  }

  #look(target: TargetState, waitMs: number): void {
    const { nowMs, epoch } = this.#state;
    target.idleSinceMs = undefined;
    const upperMs = target.clock.getUpperMs(nowMs);
    // A target that does not answer is not told to go on, so that its lease can be known to lapse.
    const isNeeded = target.runs.size > 0 || target.listedEndCount > 0;
    const isRenewed = target.isResponding && upperMs !== undefined && isNeeded;
    const leaseUntilMs = isRenewed ? Math.ceil(upperMs + LEASE_MS) : undefined;
    if (leaseUntilMs !== undefined) target.extendLease(leaseUntilMs);
    const acknowledgedSequence = target.acknowledgeableSequence;
    target.setAcknowledged(acknowledgedSequence);
    target.lookSentAtMs = nowMs;
    this.#state.emit({
      kind: 'look',
      targetId: target.id,
      address: target.entry.address,
      bornAtMs: target.entry.bornAtMs,
      fence: epoch,
      leaseUntilMs,
      acknowledgedSequence,
      waitMs,
      timeoutMs: waitMs + LOOK_SLACK_MS,
    });
    this.#state.count('looks');
  }
}
