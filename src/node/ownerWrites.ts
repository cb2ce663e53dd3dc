/**
 * Store writes of the owner. Progress rows and the record of used targets are written and deleted only while the
 * owner row is unchanged, which keeps a former owner from writing.
 */

import * as E from 'fp-ts/Either';
import type { OwnerEffect, RecordFailure, StoredCancellation, WriteFailure } from '../owner/types';
import type { RowStore, StoreFailure } from '../store/types';
import type { Epoch, SubmissionId, TargetId } from '../types/ids';
import { encodeProgress, getExtraRowKey } from './progressRows';
import {
  CANCELS_TABLE,
  DURATIONS_TABLE,
  getSubmissionParts,
  OWNER_KEY,
  OWNER_PART,
  OWNERSHIP_TABLE,
  PROGRESS_TABLE,
  RECORDED_KEY,
  SUBMISSIONS_TABLE,
  USED_TARGETS_TABLE,
} from './tables';
import { encodeRecordedEpoch, encodeRecordedTarget } from './usedTargetRows';

/** Rows that are removed in one transaction, of the 100 entries that the store allows. */
const MAX_REMOVALS = 90;

/** Timeout of each transaction. */
const WRITE_TIMEOUT_MS = 1_500;

/** Performs the writes of one epoch. */
export class OwnerWrites {
  #store: RowStore;

  #epoch: Epoch;

  #rowVersion: number;

  /** Further rows of submissions whose progress does not fit, or did not fit, into one. */
  #extraRowCounts = new Map<string, number>();

  /**
   * @param store - the store
   * @param epoch - the epoch
   * @param rowVersion - version of the owner row
   */
  constructor(store: RowStore, epoch: Epoch, rowVersion: number) {
    this.#store = store;
    this.#epoch = epoch;
    this.#rowVersion = rowVersion;
  }

  /**
   * Sets what the takeover has found, so that rows which are not needed any more are removed.
   * @param counts - further rows of submissions whose progress does not fit into one
   */
  setExtraRowCounts(counts: ReadonlyMap<string, number>): void {
    this.#extraRowCounts = new Map(counts);
  }

  /**
   * Writes progress rows in one transaction.
   * @param effect - the rows with their expected versions
   * @returns the new version of the rows, or the failure
   */
  async writeProgress(
    effect: Extract<OwnerEffect, { kind: 'writeProgress' }>,
  ): Promise<E.Either<WriteFailure, number>> {
    const toAddress = (key: string) => ({ table: PROGRESS_TABLE, part: OWNER_PART, key });
    const encoded = effect.rows.map(({ submissionId, value }) => ({
      submissionId,
      ...encodeProgress(value),
    }));
    const removals = encoded.flatMap(({ submissionId, extra }) =>
      this.#getExtraRowKeys(submissionId, extra.length).map(toAddress),
    );
    // Without an answer the rows may have been written.
    encoded.forEach(({ submissionId, extra }) => this.#expectExtraRows(submissionId, extra.length));
    const outcome = await this.#store.transact(
      {
        conditions: [
          this.#ownerCondition,
          ...effect.rows.map((row) => ({
            ...toAddress(row.submissionId),
            version: row.expectedVersion,
          })),
        ],
        puts: encoded.flatMap(({ submissionId, head, extra }) => [
          { ...toAddress(submissionId), value: head },
          ...extra.map((value, index) => ({
            ...toAddress(getExtraRowKey(submissionId, index + 1)),
            value,
          })),
        ]),
        removals,
      },
      WRITE_TIMEOUT_MS,
    );
    if (E.isRight(outcome)) {
      encoded.forEach(({ submissionId, extra }) => {
        this.#extraRowCounts.delete(submissionId);
        this.#expectExtraRows(submissionId, extra.length);
      });
      return E.right(outcome.right.version);
    }
    return E.left(this.#toWriteFailure(outcome.left));
  }

  /**
   * Changes the record of used targets in one transaction.
   * @param effect - the rows with their expected versions
   * @returns the new version of the rows, or the failure
   */
  async recordTargets(
    effect: Extract<OwnerEffect, { kind: 'recordTargets' }>,
  ): Promise<E.Either<RecordFailure, number>> {
    const toAddress = (key: TargetId) => ({ table: USED_TARGETS_TABLE, part: OWNER_PART, key });
    const declaration = {
      ...{ table: OWNERSHIP_TABLE, part: OWNER_PART, key: RECORDED_KEY },
      value: encodeRecordedEpoch(this.#epoch),
    };
    const outcome = await this.#store.transact(
      {
        conditions: [
          this.#ownerCondition,
          ...effect.puts.map(({ target, expectedVersion }) => ({
            ...toAddress(target.id),
            version: expectedVersion,
          })),
          ...effect.removals.map(({ targetId, version }) => ({ ...toAddress(targetId), version })),
        ],
        puts: [
          ...effect.puts.map(({ target }) => ({
            ...toAddress(target.id),
            value: encodeRecordedTarget(target),
          })),
          ...(effect.isComplete ? [declaration] : []),
        ],
        removals: effect.removals.map(({ targetId }) => toAddress(targetId)),
      },
      WRITE_TIMEOUT_MS,
    );
    if (E.isRight(outcome)) return E.right(outcome.right.version);
    const failure = this.#toWriteFailure(outcome.left);
    if (failure.kind !== 'conflict') return E.left(failure);
    const rows = outcome.left.kind === 'conflict' ? outcome.left.rows : [];
    const versions = rows
      .filter(({ table }) => table === USED_TARGETS_TABLE)
      .map(({ key, version }) => ({ targetId: key as TargetId, version }));
    return E.left({ kind: 'conflict', versions });
  }

  /**
   * Writes rows of what the owner learns in one transaction, apart from progress, whose rows must not fail with them.
   * @param effect - the rows
   * @returns the new version of the rows, or why they were not written
   */
  async writeLearnt(
    effect: Extract<OwnerEffect, { kind: 'writeLearnt' }>,
  ): Promise<E.Either<string, number>> {
    const outcome = await this.#store.transact(
      {
        conditions: [this.#ownerCondition],
        puts: effect.rows.map(({ key, value }) => ({
          ...{ table: DURATIONS_TABLE, part: OWNER_PART, key },
          value,
        })),
        removals: [],
      },
      WRITE_TIMEOUT_MS,
    );
    return E.isRight(outcome) ? E.right(outcome.right.version) : E.left(outcome.left.kind);
  }

  #expectExtraRows(submissionId: SubmissionId, count: number): void {
    const expected = Math.max(count, this.#extraRowCounts.get(submissionId) ?? 0);
    if (expected > 0) this.#extraRowCounts.set(submissionId, expected);
  }

  /** Keys of the further rows of a submission beyond those that are still needed. */
  #getExtraRowKeys(submissionId: SubmissionId, neededCount: number): readonly string[] {
    const count = this.#extraRowCounts.get(submissionId) ?? 0;
    return Array.from({ length: Math.max(0, count - neededCount) }, (_, index) =>
      getExtraRowKey(submissionId, neededCount + index + 1),
    );
  }

  get #ownerCondition() {
    return {
      table: OWNERSHIP_TABLE,
      part: OWNER_PART,
      key: OWNER_KEY,
      version: this.#rowVersion,
    };
  }

  #toWriteFailure(failure: StoreFailure): WriteFailure {
    if (failure.kind === 'rejected') return failure;
    if (failure.kind !== 'conflict') {
      return { kind: 'unavailable', detail: 'detail' in failure ? failure.detail : failure.kind };
    }
    const owner = failure.rows.find(
      ({ table, key }) => table === OWNERSHIP_TABLE && key === OWNER_KEY,
    );
    if (owner !== undefined && owner.version !== this.#rowVersion) return { kind: 'superseded' };
    return {
      kind: 'conflict',
      versions: failure.rows
        .filter(({ table }) => table === PROGRESS_TABLE)
        .map(({ key, version }) => ({ submissionId: key as SubmissionId, version })),
    };
  }

  /**
   * Deletes submissions whose retention has expired. The progress row goes last: a submission that is read without
   * its progress is taken for new work and would run again. A transaction holds rows of one part only.
   * @param submissionIds - the submissions to delete
   * @returns true when all rows are deleted
   */
  async deleteSubmissions(submissionIds: readonly SubmissionId[]): Promise<boolean> {
    const idsByPart = new Map<string, SubmissionId[]>();
    submissionIds.forEach((id) => {
      getSubmissionParts(id).forEach((part) => {
        idsByPart.set(part, [...(idsByPart.get(part) ?? []), id]);
      });
    });
    const accepted = await Promise.all(
      [...idsByPart].map(([part, ids]) => this.#deleteAccepted(part, ids)),
    );
    if (!accepted.every(E.isRight)) return false;
    const progress = await this.#store.transact(
      {
        conditions: [this.#ownerCondition],
        puts: [],
        removals: submissionIds
          .flatMap((id) => [id, ...this.#getExtraRowKeys(id, 0)])
          .map((key) => ({ table: PROGRESS_TABLE, part: OWNER_PART, key })),
      },
      WRITE_TIMEOUT_MS,
    );
    return E.isRight(progress);
  }

  /**
   * Deletes cancellations that were stored ahead of submissions which have not come.
   * @param rows - the rows
   * @returns those that are deleted
   */
  async deleteCancellations(
    rows: readonly StoredCancellation[],
  ): Promise<readonly StoredCancellation[]> {
    const batches = [...new Set(rows.map(({ part }) => part))].flatMap((part) => {
      const inPart = rows.filter((row) => row.part === part);
      const count = Math.ceil(inPart.length / MAX_REMOVALS);
      return Array.from({ length: count }, (_, index) =>
        inPart.slice(index * MAX_REMOVALS, (index + 1) * MAX_REMOVALS),
      );
    });
    const deleted = await Promise.all(
      batches.map(async (batch) => {
        const removals = batch.map(({ part, key }) => ({ table: CANCELS_TABLE, part, key }));
        const transaction = { conditions: [], puts: [], removals };
        return E.isRight(await this.#store.transact(transaction, WRITE_TIMEOUT_MS)) ? batch : [];
      }),
    );
    return deleted.flat();
  }

  #deleteAccepted(part: string, ids: readonly SubmissionId[]) {
    const removals = ids.flatMap((key) => [
      { table: CANCELS_TABLE, part, key },
      { table: SUBMISSIONS_TABLE, part, key },
    ]);
    return this.#store.transact({ conditions: [], puts: [], removals }, WRITE_TIMEOUT_MS);
  }
}
