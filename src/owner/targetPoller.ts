/** Schedules polls of targets, which also renew leases and acknowledge ends. */

import {
  HANDOVER_PROBE_TIMEOUT_MS,
  IDLE_ACKNOWLEDGE_DELAY_MS,
  LEASE_MS,
  UNACKNOWLEDGED_POLL_INTERVAL_MS,
  PROBE_INTERVAL_MS,
  STOPPING_POLL_WAIT_MS,
} from './constants';
import type { OwnerState } from './ownerState';
import type { Run } from './run';
import type { TargetState } from './targetState';

/** Why a poll is sent; only a `poll` may wait at the target, and a `handoverProbe` grants nothing. */
type PollPurpose = 'poll' | 'probe' | 'handoverProbe';

function hasUnwrittenEnds(target: TargetState): boolean {
  return target.unacknowledgedEndCount > 0 && !target.areAllEndsDurable;
}

function isUnconfirmed(run: Run): boolean {
  if (run.phase === 'unconfirmed') return true;
  return (
    run.phase === 'stopping' &&
    run.confirmedAtMs === undefined &&
    run.stopConfirmedAtMs !== undefined
  );
}

function hasUnconfirmedRun(target: TargetState): boolean {
  if (!target.mayHaveUnsettledRuns) return false;
  for (const run of target.runs.values()) {
    if (isUnconfirmed(run)) return true;
  }
  return false;
}

/** Polls targets. */
export class TargetPoller {
  #state: OwnerState;

  /**
   * @param state - the shared state of the owner
   */
  constructor(state: OwnerState) {
    this.#state = state;
  }

  /** Polls all targets that are due. */
  pollDueTargets(): void {
    this.#state.watch.getPollable().forEach((target) => this.pollIfDue(target));
  }

  /**
   * Polls a target if it is due; sends a probe instead while a poll is pending.
   * @param target - the target
   */
  pollIfDue(target: TargetState): void {
    if (target.pollSentAtMs !== undefined) {
      this.#probeIfDue(target);
      return;
    }
    if (target.nextPollAtMs > this.#state.nowMs) return;
    if (!target.isContacted || target.hasUnreadRuns || target.isVerificationDue) {
      this.#poll(target, 0);
      return;
    }
    const isBusy = target.runs.size > 0 || target.orphanRuns.size > 0;
    if (isBusy || hasUnwrittenEnds(target)) this.#pollBusyTarget(target);
    else if (target.unacknowledgedEndCount > 0 || target.isAcknowledgementPending)
      this.#pollIdleTarget(target);
    else if (!target.isResponding) this.#poll(target, 0);
    else this.#state.watch.unpolled.delete(target);
  }

  /**
   * Probes a target that answers, to find out whether it still does. Its lease is not renewed, so that a successor does
   * not wait for the probe.
   * @param probed - the target
   * @returns false when it does not answer this owner, so that nothing is waited for
   */
  probeForHandover(probed: TargetState): boolean {
    const target = probed;
    if (!target.isContacted || !target.isResponding) return false;
    if (target.isProbeInFlight) return true;
    target.isProbeInFlight = true;
    this.#send(target, 0, 'handoverProbe');
    return true;
  }

  /** Probes a target with unconfirmed runs or a trial while the regular poll waits for an end. */
  #probeIfDue(target: TargetState): void {
    const { nowMs } = this.#state;
    if (target.isProbeInFlight || target.nextProbeAtMs > nowMs || !target.isResponding) return;
    const isWanted =
      target.isVerificationDue || target.trial?.run !== undefined || hasUnconfirmedRun(target);
    if (!isWanted) return;
    target.isProbeInFlight = true;
    target.nextProbeAtMs = nowMs + PROBE_INTERVAL_MS;
    this.#send(target, 0, 'probe');
  }

  #pollBusyTarget(target: TargetState): void {
    if (!hasUnwrittenEnds(target) && !this.#isRecordedSilent(target)) {
      this.#poll(target, this.#getWaitMs(target));
      return;
    }
    // While ends cannot be acknowledged or leases renewed, a poll returns at once instead of waiting for further ends.
    const dueAtMs = (target.pollAnsweredAtMs ?? 0) + UNACKNOWLEDGED_POLL_INTERVAL_MS;
    if (this.#state.nowMs >= dueAtMs) this.#poll(target, 0);
  }

  #isRecordedSilent({ id }: TargetState): boolean {
    return this.#state.record.mayBeRecordedSilent(id);
  }

  #pollIdleTarget(target: TargetState): void {
    const { nowMs } = this.#state;
    if (target.idleSinceMs === undefined) {
      target.idleSinceMs = nowMs;
      return;
    }
    if (nowMs < target.idleSinceMs + IDLE_ACKNOWLEDGE_DELAY_MS) return;
    this.#poll(target, 0);
  }

  #getWaitMs(target: TargetState): number {
    if (!target.isResponding) return 0;
    let isStopping = target.orphanRuns.size > 0;
    for (const { phase } of target.runs.values()) {
      if (phase === 'unconfirmed') return 0;
      if (phase === 'stopping') isStopping = true;
    }
    const waitMs = this.#state.responseTimes.getPollWaitMs(this.#state.nowMs);
    return isStopping ? Math.min(STOPPING_POLL_WAIT_MS, waitMs) : waitMs;
  }

  #poll(target: TargetState, waitMs: number): void {
    target.idleSinceMs = undefined;
    target.pollSentAtMs = this.#state.nowMs;
    this.#send(target, waitMs, 'poll');
  }

  #send(target: TargetState, waitMs: number, purpose: PollPurpose): void {
    const { nowMs, steadyMs, epoch, responseTimes } = this.#state;
    const isProbe = purpose !== 'poll';
    const isForHandover = purpose === 'handoverProbe';
    const baseMs = target.clock.getLeaseBaseMs(steadyMs);
    // The lease of a target that does not respond is not renewed, so that its expiry can be relied on.
    const isNeeded =
      target.runs.size > 0 || target.unacknowledgedEndCount > 0 || target.hasUnreadRuns;
    // Nor that of one whose record tells later owners when it ends.
    const isRenewable = target.isResponding && !isForHandover && !this.#isRecordedSilent(target);
    const isRenewed = isRenewable && baseMs !== undefined && isNeeded;
    const leaseUntilMs = isRenewed ? Math.ceil(baseMs + LEASE_MS) : undefined;
    if (leaseUntilMs !== undefined) target.lease.extend(leaseUntilMs);
    // Another incarnation may answer. Its ends have numbers of their own, and it would drop them: so nothing is
    // acknowledged again once that is confirmed, nor after silence.
    const mayBeOther = !target.isResponding || target.isVerificationDue || isProbe;
    const dueSequence = target.acknowledgeableSequence;
    const isDue = !mayBeOther && dueSequence > target.confirmedAcknowledgement;
    const acknowledgedSequence = isDue ? dueSequence : 0;
    target.setAcknowledged(acknowledgedSequence);
    if (!isProbe) target.sentAcknowledgement = acknowledgedSequence;
    this.#state.emit({
      kind: 'poll',
      targetId: target.id,
      address: target.entry.address,
      incarnationStartMs: target.entry.incarnationStartMs,
      fence: epoch,
      leaseUntilMs,
      acknowledgedSequence,
      waitMs,
      timeoutMs: isForHandover
        ? Math.min(responseTimes.responseTimeoutMs, HANDOVER_PROBE_TIMEOUT_MS)
        : waitMs + responseTimes.getPollTimeoutMarginMs(nowMs),
      isProbe,
    });
    this.#state.count('looks');
  }
}
