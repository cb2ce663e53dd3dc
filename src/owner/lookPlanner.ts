/** Schedules polls of targets, which also renew leases and acknowledge ends. */

import {
  IDLE_ACKNOWLEDGE_MS,
  LEASE_MS,
  LOOK_UNACKNOWLEDGED_MS,
  PROBE_PERIOD_MS,
  STOP_LOOK_WAIT_MS,
} from './constants';
import type { OwnerState } from './ownerState';
import type { TargetState } from './targetState';

function hasPendingEnds(target: TargetState): boolean {
  return target.listedEndCount > 0 && !target.isEveryEndDurable;
}

/** Polls targets. */
export class LookPlanner {
  #state: OwnerState;

  /**
   * @param state - the shared state of the owner
   */
  constructor(state: OwnerState) {
    this.#state = state;
  }

  /** Polls all targets that are due. */
  sendDueLooks(): void {
    this.#state.targets.forEach((target) => this.sendDueLook(target));
  }

  /**
   * Polls a target if it is due; sends a probe instead while a poll is pending.
   * @param target - the target
   */
  sendDueLook(target: TargetState): void {
    if (target.lookSentAtMs !== undefined) {
      this.#probe(target);
      return;
    }
    if (target.nextLookAtMs > this.#state.nowMs) return;
    if (!target.isContacted || target.strays.size > 0) {
      this.#look(target, 0);
      return;
    }
    if (target.runs.size > 0 || hasPendingEnds(target)) this.#lookAtBusy(target);
    else if (target.listedEndCount > 0) this.#lookAtIdle(target);
    else if (!target.isResponding) this.#look(target, 0);
  }

  /** Probes a target with unconfirmed runs while the regular poll waits for an end. */
  #probe(target: TargetState): void {
    const { nowMs } = this.#state;
    if (target.isProbed || target.nextProbeAtMs > nowMs || !target.isResponding) return;
    const isDoubtful = [...target.runs.values()].some(
      (run) =>
        run.phase === 'unconfirmed' ||
        (run.phase === 'stopping' &&
          run.confirmedAtMs === undefined &&
          run.stopConfirmedAtMs !== undefined),
    );
    if (!isDoubtful) return;
    target.isProbed = true;
    target.nextProbeAtMs = nowMs + PROBE_PERIOD_MS;
    this.#send(target, 0, true);
  }

  #lookAtBusy(target: TargetState): void {
    if (!hasPendingEnds(target)) {
      this.#look(target, this.#getWaitMs(target));
      return;
    }
    // While ends cannot be acknowledged, a poll returns at once instead of waiting for further ends.
    const dueAtMs = (target.lookAnsweredAtMs ?? 0) + LOOK_UNACKNOWLEDGED_MS;
    if (this.#state.nowMs >= dueAtMs) this.#look(target, 0);
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

  #getWaitMs(target: TargetState): number {
    const phases = [...target.runs.values()].map((run) => run.phase);
    if (phases.includes('unconfirmed')) return 0;
    if (!target.isResponding) return 0;
    const waitMs = this.#state.answerTimes.getLookWaitMs(this.#state.nowMs);
    return phases.includes('stopping') ? Math.min(STOP_LOOK_WAIT_MS, waitMs) : waitMs;
  }

  #look(target: TargetState, waitMs: number): void {
    target.idleSinceMs = undefined;
    target.lookSentAtMs = this.#state.nowMs;
    this.#send(target, waitMs, false);
  }

  #send(target: TargetState, waitMs: number, isProbe: boolean): void {
    const { nowMs, epoch } = this.#state;
    const upperMs = target.clock.getUpperMs(nowMs);
    // The lease of a target that does not respond is not renewed, so that its expiry can be relied on.
    const isNeeded = target.runs.size > 0 || target.listedEndCount > 0;
    const isRenewed = target.isResponding && upperMs !== undefined && isNeeded;
    const leaseUntilMs = isRenewed ? Math.ceil(upperMs + LEASE_MS) : undefined;
    if (leaseUntilMs !== undefined) target.extendLease(leaseUntilMs);
    const acknowledgedSequence = target.acknowledgeableSequence;
    target.setAcknowledged(acknowledgedSequence);
    this.#state.emit({
      kind: 'look',
      targetId: target.id,
      address: target.entry.address,
      bornAtMs: target.entry.bornAtMs,
      fence: epoch,
      leaseUntilMs,
      acknowledgedSequence,
      waitMs,
      timeoutMs: waitMs + this.#state.answerTimes.getLookSlackMs(nowMs),
      isProbe,
    });
    this.#state.count('looks');
  }
}
