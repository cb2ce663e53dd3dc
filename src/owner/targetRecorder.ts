/**
 * Keeps the record of used targets up to date: a row is written before the first start on a target and removed once the
 * target is silent or gone and holds nothing, so that no later owner waits for it.
 */

import * as E from 'fp-ts/Either';
import type { TargetId } from '../types/ids';
import { MAX_WRITE_ROWS, REJECTED_WRITE_DELAY_MS, WRITE_RETRY_DELAY_MS } from './constants';
import type { CrashTracker } from './crashTracker';
import type { Incarnations } from './incarnations';
import type { OwnerState } from './ownerState';
import { isVacant } from './runBounds';
import { SilenceTracker } from './silenceTracker';
import type { SilentTarget } from './silenceTracker';
import { toIncarnation } from './incarnationName';
import type { TargetState } from './targetState';
import type { OwnerEffect, OwnerEvent, RecordFailure, RecordRow, RecordVersion } from './types';

type RecordTargetsEffect = Extract<OwnerEffect, { kind: 'recordTargets' }>;
type TargetsRecordedEvent = Extract<OwnerEvent, { kind: 'targetsRecorded' }>;

/** Delay after a failure before rows are removed, as a target cannot be used while the fate of its row is unknown. */
const REMOVAL_RETRY_DELAY_MS = 10_000;

/** A row is removed when its target has been silent or gone, and without runs, for this long. */
const REMOVAL_DELAY_MS = 1_000;

/** Interval between checks for targets that have become empty. */
const OBSERVE_INTERVAL_MS = 100;

/** Targets with runs come first, those whose leases end soonest before the others, as a lease may wait for the row. */
function compareUrgency(left: TargetState, right: TargetState): number {
  if (left.runs.size === 0 || right.runs.size === 0)
    return Number(left.runs.size === 0) - Number(right.runs.size === 0);
  const leftMs = left.lease.getExpiryMs();
  const rightMs = right.lease.getExpiryMs();
  return leftMs === rightMs ? 0 : leftMs - rightMs;
}

/** Writes the record. */
export class TargetRecorder {
  #state: OwnerState;

  #incarnations: Incarnations;

  #crashTracker: CrashTracker;

  #isLoadedAdded = false;

  #inFlight: RecordTargetsEffect | undefined;

  /** Targets whose rows are to be written again, though nothing waits for that. */
  #outdatedIds = new Set<TargetId>();

  #silenceTracker: SilenceTracker;

  /** Silent targets that are to be recorded as such. */
  #silentDue: readonly SilentTarget[] = [];

  /** Targets that the transaction in flight records as silent and that were not before. */
  #newlySilentIds: readonly TargetId[] = [];

  /** Targets whose rows were rejected, with the time from which each is written by itself. */
  #rejected = new Map<TargetId, number>();

  /** Since when targets have been silent or gone without runs. */
  #emptySinceMs = new Map<TargetId, number>();

  #retryAtMs = 0;

  #nextRemovalAtMs = 0;

  #isDeclaredComplete = false;

  #silentCount = 0;

  #removedCount = 0;

  /** Whether rows have been written, or are being removed, since targets were last compared with the record. */
  #isChanged = true;

  #registrationCount = 0;

  #nextObserveAtMs = 0;

  /**
   * @param state - the shared state of the owner
   * @param incarnations - adds targets that are not registered
   * @param crashTracker - knows which runs are reported
   */
  constructor(state: OwnerState, incarnations: Incarnations, crashTracker: CrashTracker) {
    this.#state = state;
    this.#incarnations = incarnations;
    this.#crashTracker = crashTracker;
    this.#silenceTracker = new SilenceTracker(state);
  }

  /** Adds the recorded targets that the first list of the registry does not name. */
  addUnregistered(): void {
    if (this.#isLoadedAdded) return;
    this.#isLoadedAdded = true;
    this.#state.record.loaded
      .filter(({ id }) => !this.#state.targets.has(id))
      .forEach((recorded) => this.#incarnations.addRecorded(recorded));
  }

  /** Determines on which targets something may be started. */
  refresh(): void {
    const { watch, targets } = this.#state;
    const isChanged = this.#isChanged || watch.registrationCount !== this.#registrationCount;
    this.#isChanged = false;
    this.#registrationCount = watch.registrationCount;
    // Targets that are not recorded are among the unusual ones.
    const refreshedTargets = isChanged ? targets.values() : watch.getUnusual();
    for (const target of refreshedTargets) target.isRecorded = this.#isRecorded(target);
  }

  /** Rows that have been written for silent targets. */
  get silentCount(): number {
    return this.#silentCount;
  }

  /** Rows that have been removed. */
  get removedCount(): number {
    return this.#removedCount;
  }

  /**
   * Writes the changes that are due.
   * @returns true when none is left and none is in flight
   */
  flush(): boolean {
    this.#nextObserveAtMs = Math.min(this.#nextObserveAtMs, this.#state.nowMs);
    this.write();
    return this.#inFlight === undefined && this.#state.nowMs >= this.#retryAtMs;
  }

  /** Writes the changes that are due. */
  write(): void {
    const { nowMs } = this.#state;
    if (nowMs >= this.#nextObserveAtMs) {
      this.#nextObserveAtMs = nowMs + (this.#state.isHandingOver ? 0 : OBSERVE_INTERVAL_MS);
      this.#observeEmptyTargets();
      this.#observeOutdatedRows();
      this.#silentDue = this.#silenceTracker.getDue();
    }
    if (this.#inFlight !== undefined || nowMs < this.#retryAtMs) return;
    const puts = this.#getDuePuts();
    const removals = puts.length > 0 ? [] : this.#getRemovals();
    const isComplete = !this.#isDeclaredComplete && this.#isComplete();
    if (puts.length === 0 && removals.length === 0 && !isComplete) return;
    this.#inFlight = { kind: 'recordTargets', puts, removals, isComplete };
    this.#isChanged = true;
    this.#newlySilentIds = this.#state.record.setSent(puts);
    puts.forEach(({ target: { id } }) => {
      const target = this.#state.targets.get(id);
      if (target !== undefined) target.isRecorded = this.#isRecorded(target);
    });
    this.#state.emit(this.#inFlight);
  }

  /**
   * Handles the result of a transaction.
   * @param event - the result
   */
  onRecorded({ result }: TargetsRecordedEvent): void {
    const written = this.#inFlight;
    this.#inFlight = undefined;
    this.#isChanged = true;
    if (written === undefined) return;
    // Until a later write nothing relies on a row whose removal may be performed.
    this.#state.record.setRemoved(written.removals.map(({ targetId }) => targetId));
    if (E.isLeft(result)) {
      this.#onFailed(written, result.left);
      return;
    }
    this.#state.record.setWritten(written.puts, result.right);
    written.puts.forEach(({ target }) => {
      this.#rejected.delete(target.id);
      this.#outdatedIds.delete(target.id);
    });
    this.#state.record.setAbsent(written.removals.map(({ targetId }) => targetId));
    written.removals.forEach(({ targetId }) => {
      this.#emptySinceMs.delete(targetId);
      this.#state.vacated.delete(targetId);
    });
    if (written.isComplete) this.#isDeclaredComplete = true;
    this.#state.isPlanDue = true;
    this.#logWritten(written);
    this.write();
  }

  #onFailed({ puts, removals }: RecordTargetsEffect, failure: RecordFailure): void {
    if (failure.kind === 'superseded') {
      this.#state.emit({ kind: 'stepDown', reason: 'the owner row names another owner' });
      return;
    }
    if (failure.kind === 'rejected' && puts.length > 0) {
      this.#state.record.setNotSent(this.#newlySilentIds);
      this.#onRejected(puts, failure.detail);
      return;
    }
    if (failure.kind === 'conflict') this.#state.record.setVersions(failure.versions);
    this.#retryAtMs = this.#state.nowMs + WRITE_RETRY_DELAY_MS;
    // A row that only tells of silence fails without telling that the store cannot remove rows either.
    const isAwaited = puts.length === 0 || puts.some(({ target }) => target.silence === undefined);
    if (isAwaited) this.#nextRemovalAtMs = this.#state.nowMs + REMOVAL_RETRY_DELAY_MS;
    this.#state.count('target_record_failures');
    this.#state.log(
      'record of targets not written; targets that are not recorded wait',
      {
        failure,
        targetIds: puts.map(({ target }) => target.id),
        removedIds: removals.map(({ targetId }) => targetId),
      },
      'warn',
    );
  }

  #logWritten({ puts, removals, isComplete }: RecordTargetsEffect): void {
    this.#state.count('targets_recorded', puts.length);
    const silentIds = puts.flatMap(({ target }) => (target.silence === undefined ? [] : target.id));
    this.#state.count('targets_recorded_silent', silentIds.length);
    this.#silentCount += silentIds.length;
    this.#removedCount += removals.length;
    this.#state.log('record of targets written', {
      targetIds: puts.map(({ target }) => target.id),
      removedIds: removals.map(({ targetId }) => targetId),
      isComplete,
      ...(silentIds.length > 0 ? { silentIds } : {}),
    });
  }

  /** Rows that something waits for go first, then those that a later owner needs; outdated ones have time. */
  #getDuePuts(): readonly RecordRow[] {
    const { watch, targets } = this.#state;
    const awaited = this.#takeBatch(
      watch
        .getUnusual()
        .filter((target) => this.#isWanted(target) && !this.#isRowSufficient(target))
        .sort(compareUrgency),
    );
    if (awaited.length > 0) return awaited.map((target) => this.#createRow(target));
    const silent = this.#takeSilent();
    if (silent.length > 0) return silent;
    const outdated = [...this.#outdatedIds].flatMap((id) => targets.get(id) ?? []);
    return this.#takeBatch(outdated).map((target) => this.#createRow(target));
  }

  #createRow(target: TargetState): RecordRow {
    const { steadyMs, record } = this.#state;
    const silence = this.#silenceTracker.getToWrite(target);
    return record.createRow(target.entry, target.lease.mayBeLong(steadyMs), silence);
  }

  #takeSilent(): readonly RecordRow[] {
    const { record, targets } = this.#state;
    const due = this.#silentDue.flatMap(({ id, silence }) => {
      const target = targets.get(id);
      const wasReached = target !== undefined && target.lastAnsweredAtMs > 0;
      const row = wasReached ? this.#createRow(target) : record.createSilentRow(id, silence);
      return row === undefined ? [] : { id, row };
    });
    this.#silentDue = [];
    return this.#takeBatch(due).map(({ row }) => row);
  }

  /** Rows that were rejected together are written one by one, so that one of them does not hold up the others. */
  #takeBatch<T extends { readonly id: TargetId }>(due: readonly T[]): readonly T[] {
    if (this.#rejected.size === 0) return due.slice(0, MAX_WRITE_ROWS);
    const { nowMs } = this.#state;
    const sound = due.filter(({ id }) => !this.#rejected.has(id));
    if (sound.length > 0) return sound.slice(0, MAX_WRITE_ROWS);
    return due.filter(({ id }) => nowMs >= (this.#rejected.get(id) ?? 0)).slice(0, 1);
  }

  #onRejected(puts: RecordTargetsEffect['puts'], detail: string): void {
    const { nowMs } = this.#state;
    const dueAtMs = puts.length > 1 ? nowMs : nowMs + REJECTED_WRITE_DELAY_MS;
    puts.forEach(({ target }) => this.#rejected.set(target.id, dueAtMs));
    this.#state.count('target_record_rows_rejected', puts.length);
    this.#state.log(
      'store rejects rows of the record of targets; nothing is started on a target whose row is rejected',
      { targetIds: puts.map(({ target }) => target.id), detail },
      'warn',
    );
  }

  /** Finds the rows that make a later owner count on a lease which has ended, or that cannot be there any more. */
  #observeOutdatedRows(): void {
    const { record, targets, steadyMs } = this.#state;
    this.#outdatedIds.clear();
    record.ids.forEach((id) => {
      const target = targets.get(id);
      const recorded = record.get(id);
      if (target === undefined || !target.isContacted || !target.isResponding) return;
      const isOther = recorded?.incarnationStartMs !== target.entry.incarnationStartMs;
      const isEnded = recorded?.mayHoldLongLease && !target.lease.mayBeLong(steadyMs);
      if (isOther || isEnded) this.#outdatedIds.add(id);
    });
  }

  #isRecorded(target: TargetState): boolean {
    return !this.#state.record.mayBeRecordedSilent(target.id) && this.#isRowSound(target);
  }

  /** What is recorded of the silence of a target holds until it answers. */
  #isRowSufficient(target: TargetState): boolean {
    return target.isResponding ? this.#isRecorded(target) : this.#isRowSound(target);
  }

  /**
   * A row that is being removed does not count, nor does one that hides a long lease, nor one of a former incarnation
   * whose runs may be reported: a later owner would take these for all runs of the target.
   */
  #isRowSound(target: TargetState): boolean {
    const { id, entry } = target;
    const { record, steadyMs } = this.#state;
    const recorded = record.get(id);
    const isInRemoval = this.#inFlight?.removals.some(({ targetId }) => targetId === id) ?? false;
    if (recorded === undefined || isInRemoval || !record.covers(entry)) return false;
    if (recorded.incarnationStartMs === entry.incarnationStartMs)
      return recorded.mayHoldLongLease || !target.lease.mayBeLong(steadyMs);
    const incarnation = toIncarnation(recorded.address, recorded.incarnationStartMs);
    return !this.#crashTracker.mayBeReported(incarnation);
  }

  /** A target that has listed its runs is recorded once it can be used or its lease renewed, or when it holds runs. */
  #isWanted({ id, isContacted, isResponding, isRegistered, entry, runs }: TargetState): boolean {
    if (!isContacted) return false;
    if (runs.size > 0 || !isResponding) return runs.size > 0;
    return (isRegistered && !entry.isDraining) || this.#state.record.mayBeRecordedSilent(id);
  }

  #observeEmptyTargets(): void {
    const { nowMs, record, targets } = this.#state;
    record.ids.forEach((targetId) => {
      const target = targets.get(targetId);
      const isEmpty = target === undefined || this.#isEmpty(target);
      if (!isEmpty) this.#emptySinceMs.delete(targetId);
      else if (!this.#emptySinceMs.has(targetId)) this.#emptySinceMs.set(targetId, nowMs);
    });
  }

  /** One that drains gets no starts, so what it has listed is all that it will ever hold. */
  #isEmpty(target: TargetState): boolean {
    if (target.isResponding && !target.entry.isDraining) return false;
    if (target.isContacted) return isVacant(this.#state, target);
    const { steadyMs } = this.#state;
    if (target.runs.size > 0 || !target.areAllEndsDurable || target.trial !== undefined)
      return false;
    if (target.lease.mayBeInherited(steadyMs)) return false;
    if (steadyMs <= this.#state.getUnresolvedUntilMs(target.entry)) return false;
    const mayListMore = target.orphanRuns.size > 0 || target.hasUnseenEnds;
    return !mayListMore || target.lease.isExpired(steadyMs);
  }

  #getRemovals(): readonly RecordVersion[] {
    const { nowMs, steadyMs, unresolvedUntilMs, record } = this.#state;
    if (nowMs < this.#nextRemovalAtMs) return [];
    // Until then a former owner may use any target that is recorded, unless that has seen the fence of this one.
    const mayBeUsed = steadyMs <= unresolvedUntilMs;
    const emptyIds = record.ids.filter(
      (id) => this.#isRemovalDue(id) && (!mayBeUsed || this.#isLeaving(id)),
    );
    return [...(mayBeUsed ? [] : record.malformedIds), ...emptyIds]
      .slice(0, MAX_WRITE_ROWS)
      .map((targetId) => ({ targetId, version: record.getVersion(targetId) }));
  }

  /** Whether a target has answered this owner, and has left since or is about to leave. */
  #isLeaving(id: TargetId): boolean {
    const { vacated, targets } = this.#state;
    const target = targets.get(id);
    return target === undefined ? vacated.has(id) : target.isContacted && target.entry.isDraining;
  }

  /** The delay only saves writes, as most interruptions are short. */
  #isRemovalDue(id: TargetId): boolean {
    const { nowMs, isHandingOver } = this.#state;
    const emptySinceMs = this.#emptySinceMs.get(id);
    if (emptySinceMs === undefined) return false;
    return isHandingOver || this.#isLeaving(id) || nowMs > emptySinceMs + REMOVAL_DELAY_MS;
  }

  /**
   * A record that was complete at the takeover stays so. Otherwise it is complete once the leases of former owners have
   * ended and every target with runs is recorded.
   */
  #isComplete(): boolean {
    const { record, steadyMs, unresolvedUntilMs, targets } = this.#state;
    if (record.isLoadedComplete) return true;
    if (steadyMs <= unresolvedUntilMs) return false;
    return [...targets.values()].every(
      (target) => target.runs.size === 0 || this.#isRowSound(target),
    );
  }
}
