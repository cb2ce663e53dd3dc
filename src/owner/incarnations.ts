/**
 * Follows the incarnations of targets.
 *
 * Calls are addressed by the target's id, which outlives a restart. A restart therefore ends what the former
 * incarnation has listed, but not a start that was only sent or answered: the new incarnation may have carried it out,
 * or may still do so. Such a start stays charged to the target until the new incarnation has listed it or refused it,
 * its stop is confirmed, or the longest lease that it can have taken has ended.
 */

import type { TargetId } from '../types/ids';
import { MAX_CALL_DELAY_MS, MAX_START_TIMEOUT_MS, OWN_ENTRY_WAIT_MS } from './constants';
import type { OwnerState } from './ownerState';
import type { Run } from './run';
import type { RunManager } from './runManager';
import { toTargetEntry } from './targetRecord';
import { TargetState } from './targetState';
import type { RecordedTarget, TargetEntry } from './types';

/** For the log. */
const DEPARTURE_REASON = 'it has left as announced';

/** Replaces and removes incarnations. */
export class Incarnations {
  #state: OwnerState;

  #runManager: RunManager;

  /** Unknown targets that may hold runs of a former owner, with the end of the wait for their own entries. */
  #awaitedUntilMs = new Map<TargetId, number>();

  /**
   * @param state - the shared state of the owner
   * @param runManager - releases and stops runs
   */
  constructor(state: OwnerState, runManager: RunManager) {
    this.#state = state;
    this.#runManager = runManager;
  }

  /**
   * Registers an incarnation of a target that the owner does not know.
   * @param entry - the registration
   * @returns its state
   */
  register(entry: TargetEntry): TargetState {
    const target = new TargetState(entry);
    this.#state.addTarget(target);
    const mayHoldFormerRuns =
      this.#mayHoldFormerRuns(entry.id, entry) && !this.#runManager.tryRestoreRuns(target);
    this.#onRegistered(target, mayHoldFormerRuns);
    return target;
  }

  /**
   * Adds a target that a former owner has used and that is not in the registry.
   * @param recorded - its row in the record
   */
  addRecorded(recorded: RecordedTarget): void {
    const target = new TargetState(toTargetEntry(recorded));
    target.isRegistered = false;
    this.#state.addTarget(target);
    const isRestored = this.#runManager.tryRestoreRuns(target);
    const isOver = this.#state.steadyMs >= this.#state.getUnresolvedUntilMs(target.entry);
    if (isRestored || isOver) this.#state.unresolvedTargets.delete(recorded.id);
    else this.#state.unresolvedTargets.add(recorded.id);
    this.#state.log('target is not registered; a former owner has used it', {
      targetId: recorded.id,
      address: recorded.address,
      bornAtMs: recorded.incarnationStartMs,
    });
  }

  /**
   * Replaces an incarnation by a later one. Starts that the former one has never listed move to the new one.
   * @param former - the former incarnation
   * @param entry - the registration of the new one
   * @param reason - for the log
   * @returns the state of the new one
   */
  replace(former: TargetState, entry: TargetEntry, reason: string): TargetState {
    const givenUp = this.#runManager.crashTracker.onCrashed(former);
    const unlisted = [...former.runs.values()].filter(({ isListed }) => !isListed);
    const target = new TargetState(entry, former);
    // A call for the former incarnation may grant any lease on the clock of the new one.
    target.lease.inheritedEndsAtMs = this.#state.steadyMs + this.#state.maxInheritedLeaseMs;
    target.lease.formerCallsEndAtMs =
      this.#state.steadyMs + MAX_START_TIMEOUT_MS + MAX_CALL_DELAY_MS;
    unlisted.forEach((run) => this.#moveRun(run, former, target));
    this.#state.addTarget(target);
    this.releaseRuns(former, [...former.runs.values()], reason);
    this.#state.log('target gone', {
      targetId: former.id,
      bornAtMs: former.entry.incarnationStartMs,
      reason,
    });
    if (unlisted.length > 0) this.#onStartsInDoubt(former, target, unlisted);
    this.#onRegistered(target, this.#mayHoldFormerRuns(entry.id, entry));
    this.#runManager.giveUp(givenUp);
    return target;
  }

  /**
   * Releases runs of a target that is gone or whose lease has expired.
   * @param target - the target
   * @param runs - the runs that can no longer take place
   * @param reason - for the log
   */
  releaseRuns(target: TargetState, runs: readonly Run[], reason: string): void {
    if (runs.length > 0) {
      this.#state.log('runs lost with their target', {
        targetId: target.id,
        reason,
        bornAtMs: target.entry.incarnationStartMs,
        tasks: runs.map(({ taskKey }) => taskKey),
        unlisted: this.#describe(runs.filter(({ isListed }) => !isListed)),
      });
      this.#state.count('runs_lost', runs.length);
    }
    runs.forEach((run) => {
      target.removeRun(run.key);
      this.#runManager.release(run, reason);
    });
    runs.forEach((run) =>
      this.#runManager.stopGangMembers(run.step, run.run, 'a gang member was lost'),
    );
  }

  /**
   * Removes a target that has left or whose address belongs to another one, with all its runs.
   * @param target - the target
   * @param reason - for the log
   * @param isEndKnown - whether it is known to have ended
   */
  remove(target: TargetState, reason: string, isEndKnown: boolean): void {
    const givenUp =
      isEndKnown || target.wasConnectionClosed
        ? this.#runManager.crashTracker.onCrashed(target)
        : [];
    this.releaseRuns(target, [...target.runs.values()], reason);
    this.#state.removeTarget(target);
    this.#state.unresolvedTargets.delete(target.id);
    this.#state.log('target gone', {
      targetId: target.id,
      bornAtMs: target.entry.incarnationStartMs,
      reason,
    });
    this.#runManager.giveUp(givenUp);
  }

  /**
   * Handles a target that has left as announced: what it ran has ended. A start that it has neither answered nor listed
   * may still be carried out by a later incarnation, so it stays charged.
   * @param target - the target, which does not answer
   */
  depart(target: TargetState): void {
    const { nowMs } = this.#state;
    const { id, entry } = target;
    const ended = [...target.runs.values()].filter(
      ({ isListed, confirmedAtMs }) => isListed || confirmedAtMs !== undefined,
    );
    this.#state.count('targets_departed');
    this.#state.log('target has left as announced; its runs have ended', {
      targetId: id,
      bornAtMs: entry.incarnationStartMs,
      answeredAgoMs: Math.round(nowMs - target.lastAnsweredAtMs),
      runCount: ended.length,
      unansweredStartCount: target.runs.size - ended.length,
    });
    this.#runManager.crashTracker.onLeaseExpired(target);
    this.releaseRuns(target, ended, DEPARTURE_REASON);
    if (target.runs.size > 0) return;
    this.#state.setVacated(target);
    this.remove(target, DEPARTURE_REASON, true);
  }

  /**
   * Removes a target at whose address another one has answered. One that this owner has not contacted may be alive
   * elsewhere, as the address may come from another writer.
   * @param target - the target
   * @returns false when the target is kept as one that does not answer, as a start may take place there
   */
  tryRemoveDisplaced(target: TargetState): boolean {
    if (!target.isAddressProven && target.runs.size > 0) return false;
    const mayBeElsewhere = !target.isAddressProven && target.isRegistered;
    this.remove(target, 'another target responds at its address', true);
    if (mayBeElsewhere) this.awaitOwnEntry(target.id);
    return true;
  }

  /**
   * Waits for the own entry of a target that this owner does not know otherwise, as it may hold runs of a former owner.
   * @param targetId - the target, whose present entry is that of another writer
   */
  awaitOwnEntry(targetId: TargetId): void {
    if (this.#state.targets.has(targetId) || !this.#mayHoldFormerRuns(targetId)) return;
    this.#state.unresolvedTargets.add(targetId);
    this.#awaitedUntilMs.set(targetId, this.#state.steadyMs + OWN_ENTRY_WAIT_MS);
  }

  /** Ends the wait for entries that have not come. */
  checkAwaited(): void {
    this.#awaitedUntilMs.forEach((untilMs, targetId) => {
      const isKnown = this.#state.targets.has(targetId);
      if (!isKnown && this.#state.steadyMs < untilMs) return;
      this.#awaitedUntilMs.delete(targetId);
      if (!isKnown) this.#state.unresolvedTargets.delete(targetId);
    });
  }

  /** Whether a former owner's starts may still take place on an incarnation that has not seen this owner's fence. */
  #mayHoldFormerRuns(targetId: TargetId, entry?: TargetEntry): boolean {
    const { steadyMs, record } = this.#state;
    if (steadyMs >= this.#state.getUnresolvedUntilMs(entry)) return false;
    return record.mayHoldFormerRuns(targetId);
  }

  #onRegistered(target: TargetState, mayHoldFormerRuns: boolean): void {
    const { entry } = target;
    if (mayHoldFormerRuns) this.#state.unresolvedTargets.add(entry.id);
    else this.#state.unresolvedTargets.delete(entry.id);
    this.#state.log('target registered', {
      targetId: entry.id,
      address: entry.address,
      bornAtMs: entry.incarnationStartMs,
      isDraining: entry.isDraining,
    });
    this.#verifyFormerHolders(entry);
    this.#runManager.giveUp(this.#runManager.crashTracker.onRegistered(target));
  }

  /** An address has one holder, so targets that were registered there before may be gone. */
  #verifyFormerHolders({ id, address, incarnationStartMs }: TargetEntry): void {
    this.#state.targets.forEach((other) => {
      const isEarlier = other.entry.incarnationStartMs < incarnationStartMs;
      if (other.id !== id && other.entry.address === address && isEarlier)
        other.requestVerification(this.#state.nowMs);
    });
  }

  #moveRun(moved: Run, former: TargetState, target: TargetState): void {
    const run = moved;
    former.removeRun(run.key);
    if (run.phase !== 'stopping') run.phase = 'unconfirmed';
    run.confirmedAtMs = undefined;
    run.stopConfirmedAtMs = undefined;
    run.stopSentAtMs = 0;
    run.formerIncarnations = [...run.formerIncarnations, former.incarnation];
    run.doubtSinceMs ??= this.#state.nowMs;
    target.addRun(run);
  }

  #onStartsInDoubt(former: TargetState, target: TargetState, runs: readonly Run[]): void {
    this.#state.count('starts_in_doubt', runs.length);
    this.#state.log('starts in doubt, as their target has restarted', {
      targetId: target.id,
      formerBornAtMs: former.entry.incarnationStartMs,
      bornAtMs: target.entry.incarnationStartMs,
      starts: this.#describe(runs),
    });
  }

  #describe(runs: readonly Run[]): readonly object[] {
    return runs.map(({ taskKey, run, phase, sentAtMs }) => ({
      task: taskKey,
      run,
      phase,
      ageMs: Math.round(this.#state.nowMs - sentAtMs),
    }));
  }
}
