/**
 * Group commit of progress. Outcomes go first: callers wait for them, while other progress only saves work at a
 * takeover.
 *
 * Load pattern: under a burst on a slow store a transaction takes over half a second and holds 45 rows. One
 * transaction at a time then writes fewer rows than submissions end, and each write of an unfinished submission
 * delays an outcome.
 */

import * as E from 'fp-ts/Either';
import type { StoredProgress } from '../work/storedProgress';
import {
  MAX_WRITE_BYTES,
  MAX_WRITE_BYTES_PER_ROW,
  MAX_WRITE_ROWS,
  MAX_WRITES_IN_FLIGHT,
  REJECTED_WRITE_DELAY_MS,
  WRITE_BATCH_DELAY_MS,
  WRITE_RETRY_DELAY_MS,
} from './constants';
import type { SubmissionOutcome, SubmissionRecord } from './submissionRecord';
import type { OwnerEffect, WriteFailure } from './types';

/** A submission in a transaction, with its state when the transaction was created. */
interface BatchItem {
  readonly record: SubmissionRecord;
  readonly change: number;
  readonly outcome: SubmissionOutcome | undefined;
}

/** A submission and what is to be stored of it. */
interface RecordProgress {
  readonly record: SubmissionRecord;
  readonly value: StoredProgress;
}

/** A change of a submission that has to become durable. */
export interface UndurableChange {
  readonly record: SubmissionRecord;
  readonly change: number;
}

/** Result of a transaction. */
export type WriteOutcome =
  | { readonly kind: 'committed' }
  | { readonly kind: 'retry' }
  | { readonly kind: 'superseded' }
  /** The store does not take the progress of this submission. */
  | { readonly kind: 'rejected'; readonly record: SubmissionRecord; readonly detail: string };

/** Batches and schedules progress writes. */
export class ProgressWriter {
  #dirty = new Set<SubmissionRecord>();

  #dirtySinceMs = 0;

  /** Transactions in flight, by number. */
  #batches = new Map<number, readonly BatchItem[]>();

  /** Submissions in those transactions; further changes of them wait for the outcome. */
  #inFlight = new Set<SubmissionRecord>();

  /** Submissions from transactions that were rejected, with the time from which each is written by itself. */
  #rejected = new Map<SubmissionRecord, number>();

  #batchNumber = 0;

  #retryAtMs = 0;

  /** Number of submissions with changes that are not durable yet. */
  get dirtyCount(): number {
    return new Set([...this.#dirty, ...this.#inFlight]).size;
  }

  /** The submissions with changes that are not durable yet, with their number of changes at present. */
  get undurableChanges(): readonly UndurableChange[] {
    return [...new Set([...this.#dirty, ...this.#inFlight])].map((record) => ({
      record,
      change: record.changeCount,
    }));
  }

  /**
   * Marks the stored state of a submission as changed.
   * @param record - the submission
   * @param nowMs - current time on the owner's clock
   */
  markDirty(record: SubmissionRecord, nowMs: number): void {
    record.changeCount += 1;
    if (this.#dirty.size === 0) this.#dirtySinceMs = nowMs;
    this.#dirty.add(record);
  }

  /**
   * Creates the next transaction if one is due.
   * @param nowMs - current time on the owner's clock
   * @returns the effect that writes it, or undefined
   */
  tryCreateBatch(nowMs: number): OwnerEffect | undefined {
    if (this.#dirty.size === 0 || this.#batches.size >= MAX_WRITES_IN_FLIGHT) return undefined;
    if (nowMs < this.#retryAtMs || nowMs < this.#dirtySinceMs + WRITE_BATCH_DELAY_MS)
      return undefined;
    const chosen = this.#chooseRejected(nowMs) ?? this.#chooseRecords();
    if (chosen.length === 0) return undefined;
    const progress = chosen.map((record) => ({ record, value: record.toStored() }));
    const rows = ProgressWriter.#limitSize(progress);
    const records = this.#take(rows.map(({ record }) => record));
    this.#dirtySinceMs = nowMs;
    this.#batchNumber += 1;
    this.#batches.set(
      this.#batchNumber,
      records.map((record) => ({ record, change: record.changeCount, outcome: record.outcome })),
    );
    return {
      kind: 'writeProgress',
      batch: this.#batchNumber,
      rows: rows.map(({ record, value }) => ({
        submissionId: record.submission.id,
        expectedVersion: record.progressVersion,
        value,
      })),
    };
  }

  /** Chooses the records of one transaction from the dirty ones, those with an outcome first. */
  #chooseRecords(): SubmissionRecord[] {
    const ended: SubmissionRecord[] = [];
    const unfinished: SubmissionRecord[] = [];
    for (const record of this.#dirty) {
      if (ended.length >= MAX_WRITE_ROWS) break;
      if (this.#inFlight.has(record) || this.#rejected.has(record)) continue;
      if (record.outcome !== undefined) ended.push(record);
      else if (unfinished.length < MAX_WRITE_ROWS) unfinished.push(record);
    }
    return [...ended, ...unfinished].slice(0, MAX_WRITE_ROWS);
  }

  /** One transaction holds a limited number of bytes and rows, and a large progress takes several rows. */
  static #limitSize(rows: readonly RecordProgress[]): readonly RecordProgress[] {
    let byteCount = 0;
    let rowCount = 0;
    const end = rows.findIndex(({ value }) => {
      const size = JSON.stringify(value).length;
      byteCount += size;
      rowCount += Math.ceil(size / MAX_WRITE_BYTES_PER_ROW);
      return byteCount > MAX_WRITE_BYTES || rowCount > MAX_WRITE_ROWS;
    });
    return end < 0 ? rows : rows.slice(0, Math.max(1, end));
  }

  /** Chooses one of the records that are written by themselves; the other transaction goes on with the others. */
  #chooseRejected(nowMs: number): SubmissionRecord[] | undefined {
    if (this.#rejected.size === 0) return undefined;
    const rejected = [...this.#rejected];
    if (rejected.some(([record]) => this.#inFlight.has(record))) return undefined;
    const due = rejected.find(([record, dueAtMs]) => this.#dirty.has(record) && nowMs >= dueAtMs);
    return due === undefined ? undefined : [due[0]];
  }

  #take(records: SubmissionRecord[]): SubmissionRecord[] {
    records.forEach((record) => {
      this.#dirty.delete(record);
      this.#inFlight.add(record);
    });
    return records;
  }

  /**
   * Handles the result of a transaction.
   * @param batch - number of the transaction
   * @param result - the new version of its rows, or why it was not committed
   * @param nowMs - current time on the owner's clock
   * @returns what the owner has to do next
   */
  onBatchWritten(
    batch: number,
    result: E.Either<WriteFailure, number>,
    nowMs: number,
  ): WriteOutcome {
    const items = this.#batches.get(batch);
    if (items === undefined) return { kind: 'retry' };
    this.#batches.delete(batch);
    items.forEach(({ record }) => this.#inFlight.delete(record));
    if (E.isRight(result)) {
      items.forEach((item) => ProgressWriter.#applyCommit(item, result.right));
      items.forEach(({ record }) => this.#rejected.delete(record));
      return { kind: 'committed' };
    }
    items.forEach(({ record }) => this.#dirty.add(record));
    const failure = result.left;
    if (failure.kind === 'superseded') return { kind: 'superseded' };
    if (failure.kind === 'rejected') return this.#onRejected(items, failure.detail, nowMs);
    if (failure.kind === 'unavailable') {
      this.#retryAtMs = nowMs + WRITE_RETRY_DELAY_MS;
      return { kind: 'retry' };
    }
    const versions = new Map(
      failure.versions.map(({ submissionId, version }) => [submissionId, version]),
    );
    items.forEach(({ record }) => {
      record.progressVersion = versions.get(record.submission.id) ?? record.progressVersion;
    });
    return { kind: 'retry' };
  }

  /** One submission whose progress the store does not take must not keep those of the others from being stored. */
  #onRejected(items: readonly BatchItem[], detail: string, nowMs: number): WriteOutcome {
    const [first] = items;
    if (first !== undefined && items.length === 1) {
      this.#rejected.set(first.record, nowMs + REJECTED_WRITE_DELAY_MS);
      first.record.isUnstorable = true;
      return { kind: 'rejected', record: first.record, detail };
    }
    items.forEach(({ record }) => this.#rejected.set(record, nowMs));
    return { kind: 'retry' };
  }

  static #applyCommit({ record, change, outcome }: BatchItem, version: number): void {
    record.progressVersion = version;
    record.isUnstorable = false;
    record.durableChangeCount = change;
    record.durableOutcome = outcome ?? record.durableOutcome;
  }
}
