/**
 * The durable record of the targets that owners use. A target is recorded before anything is started on it, so that one
 * that is not in the record cannot hold runs of a former owner, and one that has left the registry is still known.
 */

import { NO_DEMAND } from '../work/types';
import type { Epoch, TargetId } from '../types/ids';
import { toEpoch } from '../types/ids';
import type {
  RecordedTarget,
  RecordRow,
  RecordVersion,
  StoredTargetRecord,
  TargetEntry,
  TargetSilence,
} from './types';

/**
 * Checks whether the owners before an epoch have recorded all targets that may hold their runs.
 * @param epoch - the epoch of the owner that has read the record
 * @param completeEpoch - the last epoch whose owner has declared the record complete, if any
 * @returns false when the owner before, or one whose runs may remain, kept no record
 */
export function isRecordComplete(epoch: Epoch, completeEpoch: Epoch | undefined): boolean {
  return completeEpoch === toEpoch(epoch - 1) || epoch === 1;
}

/**
 * Rebuilds the registration of a target that is not in the registry.
 * @param recorded - its row
 * @returns an entry with which it can be polled; it has no capacity, so nothing is placed there
 */
export function toTargetEntry(recorded: RecordedTarget): TargetEntry {
  return {
    id: recorded.id,
    serviceName: recorded.serviceNames.at(-1) ?? '',
    address: recorded.address,
    dataCentreId: recorded.dataCentreId,
    capacity: NO_DEMAND,
    labels: recorded.labels,
    rack: '',
    isDraining: false,
    incarnationStartMs: recorded.incarnationStartMs,
    revision: 0,
  };
}

/** Adds names to a list, in which the latest are last. */
function mergeNames(kept: readonly string[], added: readonly string[]): readonly string[] {
  return [...kept.filter((name) => !added.includes(name)), ...added];
}

/** The record as this owner has read and written it. */
export class TargetRecord {
  #rows = new Map<TargetId, RecordedTarget>();

  /** Versions of all rows that may exist, which are preconditions of their changes. */
  #versions = new Map<TargetId, number>();

  /** Targets whose rows cannot be decoded. */
  #malformedIds = new Set<TargetId>();

  /** Targets that may be recorded as silent, also by a write that is performed late. */
  #maybeSilentIds = new Set<TargetId>();

  #loaded: ReadonlyMap<TargetId, RecordedTarget>;

  /** Whether the former owners have recorded every target that they used. */
  readonly isLoadedComplete: boolean;

  /** The rows that the takeover has read. */
  readonly loaded: readonly RecordedTarget[];

  /**
   * @param stored - the rows that the takeover has read
   */
  constructor(stored: StoredTargetRecord) {
    this.isLoadedComplete = stored.isComplete;
    this.loaded = stored.targets.map(({ target }) => target);
    this.#loaded = new Map(this.loaded.map((target) => [target.id, target]));
    stored.targets.forEach(({ target, version }) => {
      if (target.silence !== undefined) this.#maybeSilentIds.add(target.id);
      this.#setRow(target, version);
    });
    stored.malformed.forEach(({ targetId, version }) => {
      this.#malformedIds.add(targetId);
      this.#versions.set(targetId, version);
    });
  }

  /**
   * Checks whether a former owner may have started something on a target.
   * @param targetId - the target
   * @returns false when all former owners kept the record and none has recorded it
   */
  mayHoldFormerRuns(targetId: TargetId): boolean {
    return !this.isLoadedComplete || this.#loaded.has(targetId);
  }

  /**
   * Checks whether a call of a former owner for an earlier incarnation may have granted a lease, which is then as long
   * as the target allows instead of as long as owners ask for.
   * @param entry - the registration of the target
   * @returns false when no former owner has started anything there, or the last one knew all leases of the incarnation
   */
  mayHoldLongLease(entry: TargetEntry): boolean {
    const recorded = this.#loaded.get(entry.id);
    if (recorded === undefined) return !this.isLoadedComplete;
    return this.isLongLeaseRecorded(entry);
  }

  /**
   * Checks whether the row that former owners have left names a lease of unknown length, or another incarnation.
   * @param entry - the registration of the target
   * @returns false when it does not, or there is no row
   */
  isLongLeaseRecorded({ id, incarnationStartMs }: TargetEntry): boolean {
    const recorded = this.#loaded.get(id);
    if (recorded === undefined) return false;
    return recorded.mayHoldLongLease || recorded.incarnationStartMs !== incarnationStartMs;
  }

  /**
   * Checks whether a target may be recorded as silent, so that nothing may be granted that lasts longer than recorded.
   * @param targetId - the target
   * @returns true from the sending of such a row until one without it is written
   */
  mayBeRecordedSilent(targetId: TargetId): boolean {
    return this.#maybeSilentIds.has(targetId);
  }

  /** Ids of the targets whose rows may exist, apart from malformed ones; the content of some may not be known. */
  get ids(): readonly TargetId[] {
    return [...this.#versions]
      .filter(([id, version]) => version > 0 && !this.#malformedIds.has(id))
      .map(([id]) => id);
  }

  /** Targets whose rows cannot be decoded and have not been replaced; they tell a later owner nothing. */
  get malformedIds(): readonly TargetId[] {
    return [...this.#malformedIds];
  }

  /**
   * Looks up a row.
   * @param targetId - the target
   * @returns its row, if it is recorded
   */
  get(targetId: TargetId): RecordedTarget | undefined {
    return this.#rows.get(targetId);
  }

  /**
   * Looks up the version of a row.
   * @param targetId - the target
   * @returns the version, or 0 when there is no row as far as this owner knows
   */
  getVersion(targetId: TargetId): number {
    return this.#versions.get(targetId) ?? 0;
  }

  /**
   * Checks whether the record tells a later owner how to reach a target, and which tasks it may run.
   * @param entry - the registration of the target
   * @returns false when something may be started there only after a write
   */
  covers({ id, address, serviceName, labels }: TargetEntry): boolean {
    const recorded = this.get(id);
    if (recorded === undefined || recorded.address !== address) return false;
    if (!recorded.serviceNames.includes(serviceName)) return false;
    return labels.every((label) => recorded.labels.includes(label));
  }

  /**
   * Creates the row of a target. Services and labels of earlier incarnations are kept, as their runs may remain.
   * @param entry - the registration of the target
   * @param mayHoldLongLease - whether a call for an earlier incarnation may have granted it the longest lease
   * @param silence - until when it may hold runs, while it does not answer
   * @returns the row to write
   */
  createRow(
    entry: TargetEntry,
    mayHoldLongLease: boolean,
    silence: TargetSilence | undefined = undefined,
  ): RecordRow {
    const former = this.get(entry.id);
    const target = {
      id: entry.id,
      address: entry.address,
      serviceNames: mergeNames(former?.serviceNames ?? [], [entry.serviceName]),
      labels: mergeNames(former?.labels ?? [], entry.labels),
      dataCentreId: entry.dataCentreId,
      incarnationStartMs: entry.incarnationStartMs,
      mayHoldLongLease,
      ...(silence === undefined ? {} : { silence }),
    };
    return { target, expectedVersion: this.getVersion(entry.id) };
  }

  /**
   * Creates the row of a target that this owner has not reached: what is known of it holds.
   * @param targetId - the target
   * @param silence - until when it may hold runs
   * @returns the row to write, or undefined when the present one is not known
   */
  createSilentRow(targetId: TargetId, silence: TargetSilence): RecordRow | undefined {
    const target = this.get(targetId);
    if (target === undefined) return undefined;
    return { target: { ...target, silence }, expectedVersion: this.getVersion(targetId) };
  }

  /**
   * Handles the sending of rows.
   * @param rows - the rows
   * @returns the targets that may be recorded as silent from now on
   */
  setSent(rows: readonly RecordRow[]): readonly TargetId[] {
    const addedIds = rows
      .filter(
        ({ target: { id, silence } }) => silence !== undefined && !this.#maybeSilentIds.has(id),
      )
      .map(({ target }) => target.id);
    addedIds.forEach((id) => this.#maybeSilentIds.add(id));
    return addedIds;
  }

  /**
   * Handles rows that the store has not taken.
   * @param addedIds - the targets that only these rows would have recorded as silent
   */
  setNotSent(addedIds: readonly TargetId[]): void {
    addedIds.forEach((id) => this.#maybeSilentIds.delete(id));
  }

  /**
   * Adopts written rows.
   * @param rows - the rows
   * @param version - their version
   */
  setWritten(rows: readonly RecordRow[], version: number): void {
    rows.forEach(({ target }) => {
      if (target.silence === undefined) this.#maybeSilentIds.delete(target.id);
      this.#setRow(target, version);
    });
  }

  /**
   * Relies no longer on rows that are or may have been removed.
   * @param targetIds - the targets
   */
  setRemoved(targetIds: readonly TargetId[]): void {
    targetIds.forEach((targetId) => {
      this.#rows.delete(targetId);
      this.#malformedIds.delete(targetId);
    });
  }

  /**
   * Adopts the removal of rows.
   * @param targetIds - the targets
   */
  setAbsent(targetIds: readonly TargetId[]): void {
    this.setVersions(targetIds.map((targetId) => ({ targetId, version: 0 })));
    targetIds.forEach((targetId) => this.#maybeSilentIds.delete(targetId));
  }

  /**
   * Adopts the versions that a transaction has found, of rows whose content this owner does not know. Of targets that
   * may be recorded as silent only the silence is not known, and nothing is started there until the next write.
   * @param versions - the versions
   */
  setVersions(versions: readonly RecordVersion[]): void {
    versions.forEach(({ targetId, version }) => {
      this.#versions.set(targetId, version);
      const row = this.get(targetId);
      const isKept = version > 0 && row !== undefined && this.mayBeRecordedSilent(targetId);
      if (isKept) this.#rows.set(targetId, { ...row, silence: undefined });
      else this.#rows.delete(targetId);
    });
  }

  #setRow(target: RecordedTarget, version: number): void {
    this.#rows.set(target.id, target);
    this.#malformedIds.delete(target.id);
    this.#versions.set(target.id, version);
  }
}
