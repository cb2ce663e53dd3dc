/** Group commits of progress: at most one transaction at a time, each with what has changed since. */

import * as E from 'fp-ts/Either';
import { WRITE_DELAY_MS, WRITE_RETRY_MS, WRITE_ROWS } from './constants';
import type { SubmissionOutcome, SubmissionRecord } from './submissionRecord';
import type { OwnerEffect, WriteFailure } from './types';

/** One submission in a transaction, as it was when the transaction was cut. */
interface BatchItem {
  readonly record: SubmissionRecord;
  readonly change: number;
  readonly outcome: SubmissionOutcome | undefined;
}

/** What came of a transaction. */
export type WriteOutcome =
  { readonly kind: 'committed' } | { readonly kind: 'retry' } | { readonly kind: 'superseded' };

/** Decides what is written when. */
export class ProgressWriter {
  #dirty = new Set<SubmissionRecord>();

  #dirtySinceMs = 0;

  #batch: readonly BatchItem[] = [];

  #batchNumber = 0;

  #isInFlight = false;

  #notBeforeMs = 0;

  /** Submissions with changes that are not written yet. */
  get dirtyCount(): number {
    return this.#dirty.size + this.#batch.length;
  }

  /**
   * Notes a change of what is stored of a submission.
   * @param record - the submission
   * @param nowMs - our clock
   */
  markDirty(record: SubmissionRecord, nowMs: number): void {
    record.changeCount += 1;
    if (this.#dirty.size === 0) this.#dirtySinceMs = nowMs;
    this.#dirty.add(record);
  }

  /**
   * Cuts the next transaction if one is due.
   * @param nowMs - our clock
   * @returns the effect that writes it, or undefined
   */
  tryCutBatch(nowMs: number): OwnerEffect | undefined {
    if (this.#isInFlight || this.#dirty.size === 0) return undefined;
    if (nowMs < this.#notBeforeMs || nowMs < this.#dirtySinceMs + WRITE_DELAY_MS) return undefined;
    const records = [...this.#dirty].slice(0, WRITE_ROWS);
    records.forEach((record) => this.#dirty.delete(record));
    this.#batch = records.map((record) => ({
      record,
      change: record.changeCount,
      outcome: record.outcome,
    }));
    this.#batchNumber += 1;
    this.#isInFlight = true;
    return {
      kind: 'writeProgress',
      batch: this.#batchNumber,
      rows: records.map((record) => ({
        submissionId: record.submission.id,
        expectedVersion: record.progressVersion,
        value: record.toStored(),
      })),
    };
  }

  /**
   * Takes the outcome of a transaction.
   * @param batch - its number
   * @param result - the version of its rows, or why it did not take effect
   * @param nowMs - our clock
   * @returns what follows from it
   */
  onWritten(batch: number, result: E.Either<WriteFailure, number>, nowMs: number): WriteOutcome {
    if (batch !== this.#batchNumber || !this.#isInFlight) return { kind: 'retry' };
    this.#isInFlight = false;
    const items = this.#batch;
    this.#batch = [];
    if (E.isRight(result)) {
      items.forEach((item) => ProgressWriter.#commit(item, result.right));
      return { kind: 'committed' };
    }
    items.forEach(({ record }) => this.#dirty.add(record));
    const failure = result.left;
    if (failure.kind === 'superseded') return { kind: 'superseded' };
    if (failure.kind === 'unavailable') {
      this.#notBeforeMs = nowMs + WRITE_RETRY_MS;
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

  static #commit({ record, change, outcome }: BatchItem, version: number): void {
    record.progressVersion = version;
    record.durableChangeCount = change;
    record.durableOutcome = outcome ?? record.durableOutcome;
  }
}
