/** Writes of the owner: each carries the owner row as its condition, so a former owner cannot write. */

import * as E from 'fp-ts/Either';
import type { OwnerEffect, WriteFailure } from '../owner/types';
import type { RowStore, StoreFailure } from '../store/types';
import type { SubmissionId } from '../types/ids';
import {
  CANCELS_TABLE,
  getAcceptedPart,
  OWNER_KEY,
  OWNER_PART,
  OWNERSHIP_TABLE,
  PROGRESS_TABLE,
  SUBMISSIONS_TABLE,
} from './tables';

/** Time limit of a write of progress. */
const WRITE_TIMEOUT_MS = 1_500;

/** Writes under one epoch. */
export class OwnerWrites {
  #store: RowStore;

  #rowVersion: number;

  /**
   * @param store - the store
   * @param rowVersion - version of the owner row
   */
  constructor(store: RowStore, rowVersion: number) {
    this.#store = store;
    this.#rowVersion = rowVersion;
  }

  /**
   * Writes progress.
   * @param effect - the rows
   * @returns their new version, or why they were not written
   */
  async writeProgress(
    effect: Extract<OwnerEffect, { kind: 'writeProgress' }>,
  ): Promise<E.Either<WriteFailure, number>> {
    const toAddress = (key: string) => ({ table: PROGRESS_TABLE, part: OWNER_PART, key });
    const outcome = await this.#store.transact(
      {
        conditions: [
          this.#ownerCondition,
          ...effect.rows.map((row) => ({
            ...toAddress(row.submissionId),
            version: row.expectedVersion,
          })),
        ],
        puts: effect.rows.map((row) => ({
          ...toAddress(row.submissionId),
          value: JSON.stringify(row.value),
        })),
        removals: [],
      },
      WRITE_TIMEOUT_MS,
    );
    if (E.isRight(outcome)) return E.right(outcome.right.version);
    return E.left(this.#toWriteFailure(outcome.left));
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
    if (failure.kind !== 'conflict') {
      return { kind: 'unavailable', detail: 'detail' in failure ? failure.detail : failure.kind };
    }
    const owner = failure.rows.find(({ table }) => table === OWNERSHIP_TABLE);
    if (owner !== undefined && owner.version !== this.#rowVersion) return { kind: 'superseded' };
    return {
      kind: 'conflict',
      versions: failure.rows
        .filter(({ table }) => table === PROGRESS_TABLE)
        .map(({ key, version }) => ({ submissionId: key as SubmissionId, version })),
    };
  }

  /**
   * Removes what nobody asks for any more. Submissions go last, so that what is left of a broken removal
   * can be removed again.
   * @param submissionIds - which submissions
   * @returns true when all of it is removed
   */
  async deleteSubmissions(submissionIds: readonly SubmissionId[]): Promise<boolean> {
    const progress = await this.#store.transact(
      {
        conditions: [this.#ownerCondition],
        puts: [],
        removals: submissionIds.map((key) => ({ table: PROGRESS_TABLE, part: OWNER_PART, key })),
      },
      WRITE_TIMEOUT_MS,
    );
    if (E.isLeft(progress)) return false;
    const removals = submissionIds.flatMap((key) => {
      const part = getAcceptedPart(key);
      return [
        { table: CANCELS_TABLE, part, key },
        { table: SUBMISSIONS_TABLE, part, key },
      ];
    });
    const accepted = await this.#store.transact(
      { conditions: [], puts: [], removals },
      WRITE_TIMEOUT_MS,
    );
    return E.isRight(accepted);
  }
}
