/** Maintains the table of targets from the registry, and detects lost targets and stalled runs. */

import type { TargetId } from '../types/ids';
import {
  MAX_REGISTRY_DELAY_MS,
  STALL_TIMEOUT_MS,
  STOP_RETRY_DELAY_MS,
  UNKNOWN_INCARNATION_MS,
} from './constants';
import { Departures } from './departures';
import type { Incarnations } from './incarnations';
import type { OwnerState } from './ownerState';
import type { Run } from './run';
import { getRunEndMs } from './runBounds';
import type { RunManager } from './runManager';
import type { TargetState } from './targetState';
import type { TargetEntry } from './types';

/** Delay before a target is polled again whose answer could not be applied. */
const UNUSABLE_ANSWER_DELAY_MS = 1_000;

/** Applies registry changes and timeouts to targets. */
export class TargetTable {
  #state: OwnerState;

  #runManager: RunManager;

  #incarnations: Incarnations;

  #departures: Departures;

  /** Whether leases have expired that a successor may have renewed. */
  #isExpiryUnproven = false;

  /** The last entry of each target that was taken for an earlier one. */
  #setAside = new Map<TargetId, TargetEntry>();

  /**
   * @param state - the shared state of the owner
   * @param runManager - stops runs
   * @param incarnations - registers, replaces and removes incarnations
   */
  constructor(state: OwnerState, runManager: RunManager, incarnations: Incarnations) {
    this.#state = state;
    this.#runManager = runManager;
    this.#incarnations = incarnations;
    this.#departures = new Departures(state);
  }

  /**
   * Applies a snapshot of the registry.
   * @param entries - all registered targets
   * @param unreadableIds - targets whose entries cannot be read; what was known of them holds
   */
  onTargetsListed(entries: readonly TargetEntry[], unreadableIds: readonly TargetId[] = []): void {
    const listed = new Set([...entries.map(({ id }) => id), ...unreadableIds]);
    entries.forEach((entry) => this.onTargetChanged(entry));
    unreadableIds.forEach((targetId) => this.#incarnations.awaitOwnEntry(targetId));
    [...this.#state.targets.keys()].forEach((targetId) => {
      if (!listed.has(targetId)) this.#removeEntry(targetId);
    });
  }

  /**
   * Applies a registration. One that causes an unexpected error is left out, as each owner in turn reads it.
   * @param entry - the registry entry
   * @param writtenAfterMs - lower bound of the time at which it was stored, on the steady clock, if it is known
   */
  onTargetChanged(entry: TargetEntry, writtenAfterMs?: number): void {
    try {
      this.#applyEntry(entry, writtenAfterMs);
    } catch (error) {
      this.#state.count('registry_entries_unusable');
      this.#state.log(
        'registry entry caused an unexpected error; it is left out',
        { targetId: entry.id, reason: String(error) },
        'warn',
      );
    }
  }

  #applyEntry(entry: TargetEntry, writtenAfterMs: number | undefined): void {
    const known = this.#state.targets.get(entry.id);
    const latest = this.#state.latestEntries.get(entry.id);
    const isEarlier =
      TargetTable.#isEarlier(entry, latest) || TargetTable.#isEarlier(entry, known?.entry);
    if (isEarlier && !this.#isCounting(entry)) {
      this.#setAside.set(entry.id, entry);
      known?.ownEntries.clear();
      if (known?.entry.incarnationStartMs === entry.incarnationStartMs) known.isRegistered = true;
      return;
    }
    this.#setAside.delete(entry.id);
    const namesIncarnation = entry.incarnationStartMs !== UNKNOWN_INCARNATION_MS;
    if (known === undefined || namesIncarnation) this.#state.latestEntries.set(entry.id, entry);
    if (known !== undefined) TargetTable.#noteRenewal(known, entry, writtenAfterMs);
    if (known === undefined) this.#incarnations.register(entry);
    else if (known.entry.incarnationStartMs === entry.incarnationStartMs)
      this.#onSameIncarnation(known, entry, latest);
    else if (entry.incarnationStartMs > known.entry.incarnationStartMs && !known.hasReplaced(entry))
      this.#onLaterIncarnation(known, entry);
    else this.#onFormerIncarnation(known, entry);
  }

  /** A target that goes on counting its entries was alive some time before the last one was stored. */
  static #noteRenewal(
    renewed: TargetState,
    { incarnationStartMs, address, revision, isDraining }: TargetEntry,
    writtenAfterMs: number | undefined,
  ): void {
    const target = renewed;
    const { entry } = target;
    if (incarnationStartMs !== entry.incarnationStartMs) return;
    const isOwn = address === entry.address && revision === entry.revision + 1;
    if (isOwn && writtenAfterMs !== undefined) target.ownEntries.add(isDraining, writtenAfterMs);
    else target.ownEntries.clear();
    if (writtenAfterMs === undefined || address !== entry.address || revision <= entry.revision)
      return;
    target.aliveAtMs = Math.max(target.aliveAtMs, writtenAfterMs - MAX_REGISTRY_DELAY_MS);
  }

  /**
   * Handles an entry that cannot be read, which is not the target's own.
   * @param targetId - the target whose entry it replaces
   */
  onEntryUnreadable(targetId: TargetId): void {
    this.#state.targets.get(targetId)?.ownEntries.clear();
  }

  /**
   * The registry may go back by a late write, and a target that drains must not be used again. But when the entries go
   * on counting below the latest one, that one was not the target's own.
   */
  #isCounting(entry: TargetEntry): boolean {
    const aside = this.#setAside.get(entry.id);
    if (aside === undefined || !TargetTable.#isEarlier(aside, entry)) return false;
    this.#state.count('registry_entries_foreign');
    this.#state.log('registry entries go on below the latest one, which counts as foreign', {
      targetId: entry.id,
      revision: entry.revision,
      latestRevision: this.#state.latestEntries.get(entry.id)?.revision,
    });
    return true;
  }

  static #isEarlier(entry: TargetEntry, other: TargetEntry | undefined): boolean {
    return (
      entry.incarnationStartMs === other?.incarnationStartMs && entry.revision < other.revision
    );
  }

  #onSameIncarnation(
    known: TargetState,
    entry: TargetEntry,
    former: TargetEntry | undefined,
  ): void {
    const isMoved = known.entry.address !== entry.address;
    const isNamed = entry.incarnationStartMs !== UNKNOWN_INCARNATION_MS;
    if (isMoved && isNamed && known.isAddressProven) {
      this.#onForeignAddress(known, entry, former);
      return;
    }
    if (known.entry.isDraining !== entry.isDraining) {
      this.#state.log('target drains', { targetId: entry.id, isDraining: entry.isDraining });
    }
    known.setEntry(entry);
    if (isMoved && !known.isAddressProven) known.restartPolls(this.#state.nowMs);
    this.#state.isPlanDue = true;
  }

  /** An incarnation does not move: one that has answered keeps its address until its lease has expired. */
  #onForeignAddress(known: TargetState, entry: TargetEntry, former: TargetEntry | undefined): void {
    this.#state.count('registry_entries_foreign');
    // It takes the place of the next entries of the target only until they come.
    this.#state.latestEntries.set(entry.id, { ...entry, revision: 0 });
    known.requestVerification(this.#state.nowMs);
    if (former?.address === entry.address) return;
    this.#state.log(
      'registry shows another address of a target that has answered; it is not used',
      {
        targetId: entry.id,
        address: known.entry.address,
        registeredAddress: entry.address,
      },
    );
  }

  /** What a target that answers has listed ends when a poll finds the other incarnation, whatever an entry says. */
  #onLaterIncarnation(known: TargetState, entry: TargetEntry): void {
    const listsRuns = known.orphanRuns.size > 0 || known.hasListedRuns;
    if (!known.isContacted || !known.isResponding || !listsRuns) {
      this.#incarnations.replace(known, entry, 'the target has restarted');
      return;
    }
    this.#state.log('registry shows a later start of a target that answers; the target is polled', {
      targetId: entry.id,
      bornAtMs: known.entry.incarnationStartMs,
      registeredBornAtMs: entry.incarnationStartMs,
    });
    known.requestVerification(this.#state.nowMs);
  }

  /** The registry may go back, and start times follow clocks that may be set back: a poll tells which one is alive. */
  #onFormerIncarnation(known: TargetState, entry: TargetEntry): void {
    this.#state.count('registry_entries_outdated');
    this.#state.log('registry shows another start time that is not later; the target is polled', {
      targetId: entry.id,
      bornAtMs: known.entry.incarnationStartMs,
      registeredBornAtMs: entry.incarnationStartMs,
    });
    known.requestVerification(this.#state.nowMs);
    // Whoever answers at the address that was written last tells its start time.
    const isNamed = entry.incarnationStartMs !== UNKNOWN_INCARNATION_MS;
    if (known.isAddressProven || !isNamed || known.entry.address === entry.address) return;
    known.setEntry({ ...known.entry, address: entry.address });
    known.restartPolls(this.#state.nowMs);
  }

  /**
   * Handles a target that has left the registry. The registry drops targets that it does not hear from;
   * one that still responds keeps its runs.
   * @param targetId - the target
   */
  onTargetRemoved(targetId: TargetId): void {
    const target = this.#removeEntry(targetId);
    if (target !== undefined) this.#departures.onRemoved(target);
  }

  /** A target that a list of the registry does not name proves nothing by that, as it does not tell since when. */
  #removeEntry(targetId: TargetId): TargetState | undefined {
    this.#state.latestEntries.delete(targetId);
    const target = this.#state.targets.get(targetId);
    if (target === undefined) return undefined;
    target.isRegistered = false;
    this.#state.log('target left the registry', {
      targetId,
      runCount: target.runs.size,
      isDraining: target.entry.isDraining,
      renewedWithinMs: Math.round(this.#state.steadyMs - target.ownEntries.writtenAfterMs),
    });
    return target;
  }

  /**
   * Treats a target as one that does not answer, after an answer that could not be applied.
   * @param targetId - the target
   */
  setSilent(targetId: TargetId): void {
    const target = this.#state.targets.get(targetId);
    if (target === undefined) return;
    target.isResponding = false;
    target.nextPollAtMs = this.#state.nowMs + UNUSABLE_ANSWER_DELAY_MS;
  }

  /** Handles expired leases and removed targets, repeats stops and stops stalled runs. */
  check(): void {
    const { provenMs, steadyMs } = this.#state;
    const unprovenIds: TargetId[] = [];
    this.#incarnations.checkAwaited();
    this.#departures.takeDeparted().forEach((target) => this.#incarnations.depart(target));
    this.#state.watch.getCheckable().forEach((target) => {
      if (!target.isResponding) this.#runManager.crashTracker.onStillLost(target);
      if (target.mayNeedStops) this.#checkRuns(target);
      if (!target.isResponding && target.lease.isExpired(provenMs)) this.#releaseExpired(target);
      else if (!target.isResponding && target.lease.isExpired(steadyMs))
        unprovenIds.push(target.id);
      if (!target.isRegistered && this.#canRemove(target)) {
        if (TargetTable.#wasReached(target)) this.#state.setVacated(target);
        this.#incarnations.remove(target, 'the target has left the registry', false);
      }
    });
    this.#logUnproven(unprovenIds);
  }

  /** Without the store a successor may renew leases that this owner would take for expired. */
  #logUnproven(targetIds: readonly TargetId[]): void {
    const wasWaiting = this.#isExpiryUnproven;
    this.#isExpiryUnproven = targetIds.length > 0;
    if (wasWaiting === this.#isExpiryUnproven) return;
    this.#state.log(
      this.#isExpiryUnproven
        ? 'runs of silent targets wait until the store confirms this owner'
        : 'no silent target waits for the store any more',
      { targetIds },
    );
  }

  /** Repeats stops and stops stalled runs; only an answer to a poll can show that another run has stalled. */
  #checkRuns(checked: TargetState): void {
    const target = checked;
    const { nowMs } = this.#state;
    let isStopping = false;
    target.runs.forEach((run) => {
      const isRepeatDue =
        run.phase === 'stopping' &&
        run.stopConfirmedAtMs === undefined &&
        nowMs > run.stopSentAtMs + STOP_RETRY_DELAY_MS;
      if (isRepeatDue) this.#runManager.stop(run, 'repeated');
      if (run.phase === 'running') this.#stopIfStalled(target, run);
      isStopping ||= run.phase === 'stopping';
    });
    target.mayNeedStops = isStopping;
  }

  #releaseExpired(target: TargetState): void {
    const { provenMs } = this.#state;
    const runs = [...target.runs.values()].filter(
      (run) => provenMs > getRunEndMs(this.#state, target, run),
    );
    if (runs.length > 0) {
      this.#runManager.crashTracker.onLeaseExpired(target);
      this.#incarnations.releaseRuns(target, runs, 'its lease has expired');
    }
    const latest = this.#state.latestEntries.get(target.id);
    const isOther =
      latest?.incarnationStartMs !== target.entry.incarnationStartMs ||
      latest.address !== target.entry.address;
    if (latest !== undefined && isOther && target.runs.size === 0 && !target.hasReplaced(latest))
      this.#incarnations.replace(target, latest, 'it is silent and another one is registered');
  }

  /** Stops a run without progress, so that its task is started elsewhere. */
  #stopIfStalled(target: TargetState, run: Run): void {
    // Progress is known only from polls, so time without a successful poll does not count.
    if (run.percent >= 100 || run.percentReportedAtMs - run.percentChangedAtMs < STALL_TIMEOUT_MS)
      return;
    this.#runManager.stop(run, 'no progress');
    this.#state.count('runs_stuck');
    this.#runManager.recordFailure(target, run.step.record);
  }

  /** Whether it has listed its runs to this owner, and none has been unseen since. */
  static #wasReached({ isContacted, lastAnsweredAtMs }: TargetState): boolean {
    return isContacted && lastAnsweredAtMs > 0;
  }

  /** Checks whether an unregistered target can be removed; it is kept while it may still run something. */
  #canRemove(target: TargetState): boolean {
    const { provenMs } = this.#state;
    if (target.runs.size > 0 || target.lease.mayBeInherited(provenMs)) return false;
    if (target.orphanRuns.size > 0 && !target.lease.isExpired(provenMs)) return false;
    // Until then polls have to keep former owners' calls from being carried out, also when nothing waits for it.
    if (!TargetTable.#wasReached(target))
      return provenMs > this.#state.getFormerCallsUntilMs(target.entry);
    return !target.isResponding || target.unacknowledgedEndCount === 0;
  }
}
