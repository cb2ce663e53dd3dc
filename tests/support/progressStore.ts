/** Stored progress rows with versions, as one part of the platform's store keeps them. */

import * as E from 'fp-ts/Either';
import type { ProgressRow, WriteFailure } from '../../src/owner/types';
import type { SubmissionId } from '../../src/types/ids';
import type { StoredProgress } from '../../src/work/storedProgress';

const FIRST_VERSION = 10;

interface StoredRow {
  readonly value: StoredProgress;
  readonly version: number;
}

/** Keeps the progress of submissions. */
export class ProgressStore {
  #version = FIRST_VERSION;

  #rows = new Map<SubmissionId, StoredRow>();

  get(submissionId: SubmissionId): StoredRow | undefined {
    return this.#rows.get(submissionId);
  }

  /** Writes all rows or, when a version is not the expected one, none of them. */
  write(rows: readonly ProgressRow[]): E.Either<WriteFailure, number> {
    const versions = rows.map(({ submissionId }) => ({
      submissionId,
      version: this.get(submissionId)?.version ?? 0,
    }));
    const isCurrent = rows.every((row, index) => row.expectedVersion === versions[index]?.version);
    if (!isCurrent) return E.left({ kind: 'conflict', versions });
    this.#version += 1;
    const version = this.#version;
    rows.forEach(({ submissionId, value }) =>
      this.#rows.set(submissionId, {
        value: JSON.parse(JSON.stringify(value)) as StoredProgress,
        version,
      }),
    );
    return E.right(version);
  }
}
