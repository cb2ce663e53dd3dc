/** Group commit of progress: at most one transaction at a time, each with the changes since the previous one. */

import * as E from 'fp-ts/Either';
import { WRITE_BATCH_DELAY_MS, WRITE_RETRY_DELAY_MS, MAX_WRITE_ROWS } from './constants';
import type { SubmissionOutcome, SubmissionRecord } from './submissionRecord';
import type { OwnerEffect, WriteFailure } from './types';

/** A submission in a transaction, with its state when the transaction was created. */
interface BatchItem {
  readonly record: SubmissionRecord;
  readonly change: number;
  readonly outcome: SubmissionOutcome | undefined;
}

/** Result of a transaction. */
export type WriteOutcome =
  { readonly kind: 'committed' } | { readonly kind: 'retry' } | { readonly kind: 'superseded' };

/** Batches and schedules progress writes. */
export class ProgressWriter {
  #dirty = new Set<SubmissionRecord>();

  #dirtySinceMs = 0;

  #batch: readonly BatchItem[] = [];

  #batchNumber = 0;

  #isInFlight = false;

  #retryAtMs = 0;

  /** Number of submissions with changes that are not durable yet. */
  get dirtyCount(): number {
    return this.#dirty.size + this.#batch.length;
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
    if (this.#isInFlight || this.#dirty.size === 0) return undefined;
    if (nowMs < this.#retryAtMs || nowMs < this.#dirtySinceMs + WRITE_BATCH_DELAY_MS)
      return undefined;
    const records = [...this.#dirty].slice(0, MAX_WRITE_ROWS);
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
    if (batch !== this.#batchNumber || !this.#isInFlight) return { kind: 'retry' };
    this.#isInFlight = false;
    const items = this.#batch;
    this.#batch = [];
    if (E.isRight(result)) {
      items.forEach((item) => ProgressWriter.#applyCommit(item, result.right));
      return { kind: 'committed' };
    }
    items.forEach(({ record }) => this.#dirty.add(record));
    const failure = result.left;
    if (failure.kind === 'superseded') return { kind: 'superseded' };
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

  static #applyCommit({ record, change, outcome }: BatchItem, version: number): void {
    record.progressVersion = version;
    record.durableChangeCount = change;
    record.durableOutcome = outcome ?? record.durableOutcome;
  }
}
